#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "kernel/endpoint_status.h"
#include "kernel/reason.h"
#include "kernel/statement_request.h"

namespace poplarmoor {

/// Answer of a fake endpoint.
struct FakeReply {
  bool ok = false;
  Reason reason = Reason::kNone;
  std::string request_id;  // Id of the request that is answered.
  std::string result;
  LogPosition position;
  EndpointStatus status;
};

/// Simulated database server with a log, terms, recorded request ids and one transaction per
/// connection. Implements the endpoint protocol without any I/O.
class FakeEndpoint {
 public:
  struct Entry {
    uint64_t term = 0;
    std::string id;                       // Request id; empty if the entry marks a promotion.
    std::vector<std::string> statements;  // Ids of the statements that the entry commits.
  };

  std::string name;
  uint64_t term = 1;
  bool is_primary = false;
  bool is_alive = true;
  bool records_ids = true;  // False: executes a write again when its request id is repeated.
  // False: accepts requests of any term, and accepts writes even while it is a replica.
  bool checks_terms = true;
  std::vector<Entry> log;
  size_t replayed = 0;
  std::map<uint64_t, std::vector<std::string>> transactions;  // Open transactions by connection.
  std::map<std::string, int> executions;                      // Number of executions by request id.

  /// Runs a request that arrived on a connection.
  FakeReply Execute(uint64_t connection, const StatementRequest& request, uint64_t request_term);

  /// Moves this endpoint to `new_term`: it becomes a replica and discards its open transactions.
  void Fence(uint64_t new_term);

  /// Becomes the primary of its term and appends a log entry that marks the promotion.
  void Promote();

  /// Replaces the log of this endpoint by a copy of the primary's log.
  void CopyLog(const FakeEndpoint& primary);

  EndpointStatus Status() const;
  LogPosition Last() const;

 private:
  Reason Check(uint64_t connection, const StatementRequest& request, uint64_t request_term) const;
  uint64_t TermAt(uint64_t index) const;
  void Append(const std::string& id, std::vector<std::string> statements);
};

}  // namespace poplarmoor
