#pragma once

#include <cstdint>
#include <string>

namespace poplarmoor {

/// Settings of the stand-in for a database server.
struct EndpointOptions {
  std::string name = "endpoint";
  std::string failure_domain;
  int slots = 3;                // Maximum number of statements that run at once.
  int connections = 25;         // Maximum number of data connections.
  int connect_ms = 10;          // Time to open a data connection.
  int statement_ms = 2;         // Time a statement takes.
  int delay_ms = 0;             // One-way network delay of every answer.
  bool is_primary = false;      // Starts the endpoint as the primary of `term`.
  uint64_t term = 1;            // Term when the endpoint starts.
  std::string primary_address;  // "IP:port" to replicate from; empty until told to follow.
  bool exit_on_crash = false;   // POST /control/crash ends the process instead of only the server.
};

/// Faults that can be set at run time with PUT /control/faults.
struct EndpointFaults {
  bool frozen = false;           // Stops running statements and answering until it is cleared.
  bool cut_replication = false;  // Stops replication to and from the endpoint.
  int answer_delay_ms = 0;       // Delay added to every answer.
  int late_answers_ms = 0;       // Delay added to every third answer to a data operation.
  int receive_lag_ms = 0;        // Delay from the primary's answer to receipt of its entries.
  int replay_lag_ms = 0;         // Delay from receipt of entries to their replay.
};

}  // namespace poplarmoor
