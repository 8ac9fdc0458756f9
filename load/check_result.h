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
  uint64_t cut_in_flight = 0;  // Requests whose connection was closed before the answer.
  // Reads that returned a value which the service's log lacks and which is not known to be older
  // than the session's own write.
  uint64_t reads_of_lost_writes = 0;

  // Counts of violated guarantees.
  uint64_t lost_acked_writes = 0;  // Acknowledged writes that are missing in the log.
  uint64_t doubled_writes = 0;     // Writes that are in several log entries.
  uint64_t stale_reads = 0;        // Reads that miss an acknowledged write of their session.
  // Transactions that are only partly in the log, whose log entry also contains writes of another
  // transaction, or whose reads return values of different transactions.
  uint64_t mixed_transactions = 0;
  uint64_t crossed_answers = 0;          // Answers that belong to another request.
  uint64_t not_run_that_ran = 0;         // Requests that ran despite the verdict not_run.
  uint64_t nonrepeatable_run_twice = 0;  // Non-repeatable requests that ran more than once.

  std::vector<std::string> examples;  // Descriptions of the first violations.

  /// @returns The sum of the violation counts. `cut_in_flight` is not among them, because the crash
  /// of a daemon or an endpoint may close connections.
  uint64_t violations() const {
    return this->lost_acked_writes + this->doubled_writes + this->stale_reads +
           this->mixed_transactions + this->crossed_answers + this->not_run_that_ran +
           this->nonrepeatable_run_twice;
  }
};

}  // namespace poplarmoor
