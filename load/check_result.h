#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace poplarmoor {

/// Result of a Checker. All violation counts are zero if the system kept its guarantees.
struct CheckResult {
  uint64_t acked_writes = 0;  // Acknowledged writes, including transactions.
  uint64_t reads_total = 0;   // Answered reads outside transactions.
  uint64_t reads_by_replica = 0;
  uint64_t cut_in_flight = 0;         // Requests whose connection was closed in flight.
  uint64_t reads_of_lost_writes = 0;  // Reads of a value that is missing in the service's log.

  // Counts of violated guarantees.
  uint64_t lost_acked_writes = 0;  // Acknowledged writes that are missing in the log.
  uint64_t doubled_writes = 0;     // Writes that are in several log entries.
  uint64_t stale_reads = 0;        // Reads older than a write of their session.
  uint64_t mixed_transactions =
      0;                          // Transactions that are not atomic in the log or in their reads.
  uint64_t crossed_answers = 0;   // Answers that belong to another request.
  uint64_t not_run_that_ran = 0;  // Requests that ran despite the verdict not_run.
  uint64_t nonrepeatable_run_twice = 0;  // Non-repeatable requests that ran more than once.

  std::vector<std::string> examples;  // Descriptions of the first violations.

  /// @returns The number of violations. cut_in_flight is left out: a crash may close connections.
  uint64_t violations() const {
    return this->lost_acked_writes + this->doubled_writes + this->stale_reads +
           this->mixed_transactions + this->crossed_answers + this->not_run_that_ran +
           this->nonrepeatable_run_twice;
  }
};

}  // namespace poplarmoor
