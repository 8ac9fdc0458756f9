#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "kernel/log_position.h"

namespace poplarmoor {

/// Key-value state of the stand-in database.
using EndpointState = std::map<std::string, nlohmann::json>;

/// One entry of an endpoint's log: a write or a whole transaction.
struct EndpointLogEntry {
  LogPosition position;
  std::string request_id;
  bool transaction = false;
  nlohmann::json statements;  // Array.
  nlohmann::json result;      // Returned again when the request id is repeated.
};

/// @returns The entry as it stands in `replicate` and in `GET /control/log`.
nlohmann::json ToJson(const EndpointLogEntry& entry);

/// Parses what ToJson() wrote.
EndpointLogEntry ParseLogEntry(const nlohmann::json& json);

/// Runs one statement.
/// @param statement {op, key, value or delta}.
/// @param base State that is read when `writes` lacks the key.
/// @param writes Receives what the statement writes.
/// @returns The statement's result.
/// @throws std::invalid_argument for an unknown op or a missing field.
nlohmann::json RunStatement(const nlohmann::json& statement,
                            const EndpointState& base,
                            EndpointState& writes);

/// Log, request-id table and replayed state of one endpoint. No I/O and no clock.
class EndpointLog {
 public:
  /// Appends an entry as the primary and replays it.
  /// @param term Term of the primary.
  /// @param request_id Id, or empty to record none.
  /// @param statements Array of statements.
  /// @param transaction Whether the entry is a transaction.
  /// @returns The new entry.
  /// @throws std::invalid_argument when a statement is invalid; nothing is appended then.
  const EndpointLogEntry& Execute(uint64_t term,
                                  const std::string& request_id,
                                  const nlohmann::json& statements,
                                  bool transaction);

  /// Appends an entry received from the primary without replaying it.
  void Append(EndpointLogEntry entry);

  /// Replays the entries up to an index.
  void ReplayTo(uint64_t index);

  /// Removes all entries above an index, also from the replayed state and the request-id table.
  void TruncateTo(uint64_t index);

  /// @returns The entry that recorded a request id, or null.
  const EndpointLogEntry* FindRequest(const std::string& request_id) const;

  /// @returns The term of an entry, 0 when there is none at this index.
  uint64_t TermAt(uint64_t index) const;

  /// @param index Last index of a follower, with its term.
  /// @returns The index up to which the follower keeps its log before it asks again; `index`
  /// itself when the follower's log is a prefix of this one.
  uint64_t FindCommonPrefix(LogPosition follower) const;

  /// @returns Position of the last entry.
  LogPosition last() const;

  /// @returns Snapshot of the replayed state; later writes do not change it.
  std::shared_ptr<const EndpointState> snapshot() const { return this->state; }

  const std::vector<EndpointLogEntry>& entries() const { return this->log; }
  uint64_t received() const { return this->log.size(); }
  uint64_t replayed() const { return this->replayed_index; }

 private:
  EndpointState& Mutable();

  std::vector<EndpointLogEntry> log;
  std::map<std::string, uint64_t> requests;  // Request id to index.
  uint64_t replayed_index = 0;
  std::shared_ptr<EndpointState> state = std::make_shared<EndpointState>();
};

}  // namespace poplarmoor
