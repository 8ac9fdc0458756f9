#pragma once

#include <cstdint>
#include <string>

namespace poplarmoor {

/// Settings of the stand-in for a database server.
struct EndpointOptions {
  std::string name = "endpoint";
  std::string failure_domain;
  int slots = 3;                // Maximum number of statements that run at the same time.
  int connections = 25;         // Maximum number of data connections.
  int connect_ms = 10;          // Time that the operation `connect` takes.
  int statement_ms = 2;         // Time that a statement takes to run.
  int delay_ms = 0;             // Delay of every answer; simulates a one-way network delay.
  bool is_primary = false;      // True: starts as the primary of `term`; false: as a replica.
  uint64_t term = 1;            // Term of the endpoint at its start.
  std::string primary_address;  // "IP:port" of the primary to copy the log from; empty: unknown.
  // True: POST /control/crash ends the whole process; false: it only stops the server.
  bool exit_on_crash = false;
};

/// Faults that can be set at run time with PUT /control/faults.
struct EndpointFaults {
  bool frozen = false;           // While set, no statement runs and no answer is sent.
  bool cut_replication = false;  // While set, the endpoint neither sends nor fetches log entries.
  int answer_delay_ms = 0;       // Delay added to every answer.
  int late_answers_ms = 0;       // Delay added to every third answer to a data operation.
  int receive_lag_ms = 0;  // Delay from the arrival of a `replicate` answer to its processing.
  int replay_lag_ms = 0;   // Delay between appending received entries and replaying them.
};

}  // namespace poplarmoor
