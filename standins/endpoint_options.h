#pragma once

#include <cstdint>
#include <string>

namespace poplarmoor {

/// Settings of an endpoint stand-in.
struct EndpointOptions {
  std::string name = "endpoint";
  std::string failure_domain;
  int slots = 3;                // Statements run at once.
  int connections = 25;         // Data connections.
  int connect_ms = 10;          // Time to open a data connection.
  int statement_ms = 2;         // Time a statement takes.
  int delay_ms = 0;             // One-way network delay of every answer.
  bool is_primary = false;      // Starts as primary of `term`.
  uint64_t term = 1;            // Term at the start.
  std::string primary_address;  // "IP:port" to replicate from; empty until told to follow.
  bool exit_on_crash = false;   // POST /control/crash ends the process, not only this server.
};

/// Faults that can be set at run time with PUT /control/faults.
struct EndpointFaults {
  bool frozen = false;           // Nothing runs and nothing is answered until it is cleared.
  bool cut_replication = false;  // No replication in either direction.
  int answer_delay_ms = 0;       // Added to every answer.
  int late_answers_ms = 0;       // Added to every third answer on a data connection.
  int receive_lag_ms = 0;        // From the primary's answer to receipt.
  int replay_lag_ms = 0;         // From receipt to replay.
};

}  // namespace poplarmoor
