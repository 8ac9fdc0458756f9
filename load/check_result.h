#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace poplarmoor {

/// Counts of the checker. All violations are zero when the promises were kept.
struct CheckResult {
  uint64_t acked_writes = 0;  // Including transactions.
  uint64_t reads_total = 0;   // Answered reads outside transactions.
  uint64_t reads_by_replica = 0;
  uint64_t cut_in_flight = 0;         // Connections closed on a request in flight.
  uint64_t reads_of_lost_writes = 0;  // Reads of a value that no acknowledged log contains.

  // Violations.
  uint64_t lost_acked_writes = 0;
  uint64_t doubled_writes = 0;
  uint64_t stale_reads = 0;
  uint64_t mixed_transactions = 0;
  uint64_t crossed_answers = 0;
  uint64_t not_run_that_ran = 0;
  uint64_t nonrepeatable_run_twice = 0;

  std::vector<std::string> examples;  // The first violations, for people.

  /// @returns The number of violations, without cut_in_flight, which a crash causes rightly.
  uint64_t violations() const {
    return this->lost_acked_writes + this->doubled_writes + this->stale_reads +
           this->mixed_transactions + this->crossed_answers + this->not_run_that_ran +
           this->nonrepeatable_run_twice;
  }
};

}  // namespace poplarmoor
