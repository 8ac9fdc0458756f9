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

/// Entry of an endpoint's log: a write or a whole transaction.
struct EndpointLogEntry {
  LogPosition position;
  std::string request_id;
  bool transaction = false;
  nlohmann::json statements;  // Array: the write, or all statements of the transaction.
  nlohmann::json result;      // Result of the last statement, also for a repeated request.
};

/// @returns The entry in the JSON form of `replicate` and `GET /control/log`.
nlohmann::json ToJson(const EndpointLogEntry& entry);

/// Parses an entry in the JSON form that ToJson() returns.
EndpointLogEntry ParseLogEntry(const nlohmann::json& json);

/// Runs one statement.
/// @param statement Statement as {op, key, value or delta}.
/// @param base State that is read if `writes` does not contain the key.
/// @param writes Receives the keys and values that the statement writes.
/// @returns The statement's result.
/// @throws std::invalid_argument for an unknown op or a missing field.
nlohmann::json RunStatement(const nlohmann::json& statement,
                            const EndpointState& base,
                            EndpointState& writes);

/// Log, request-id table and replayed state of one endpoint. Uses no I/O and no clock.
class EndpointLog {
 public:
  /// Appends an entry as the primary and replays it.
  /// @param term Term of the primary.
  /// @param request_id Id of the request, or empty to record no id.
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

  /// @returns The term of the entry at an index, or 0 if there is no entry.
  uint64_t TermAt(uint64_t index) const;

  /// @param follower Term and index of the last entry of a follower.
  /// @returns `follower.index` if the follower's log is a prefix of this log. Otherwise a lower
  /// index, to which the follower truncates its log before it sends `replicate` again.
  uint64_t FindCommonPrefix(LogPosition follower) const;

  /// @returns Position of the last entry, or a zero position if the log is empty.
  LogPosition last() const;

  /// @returns Snapshot of the replayed state; later writes do not change it.
  std::shared_ptr<const EndpointState> snapshot() const { return this->state; }

  const std::vector<EndpointLogEntry>& entries() const { return this->log; }
  uint64_t received() const { return this->log.size(); }
  uint64_t replayed() const { return this->replayed_index; }

 private:
  EndpointState& MutableState();

  std::vector<EndpointLogEntry> log;
  std::map<std::string, uint64_t> requests;  // Log index by request id.
  uint64_t replayed_index = 0;
  std::shared_ptr<EndpointState> state = std::make_shared<EndpointState>();
};

}  // namespace poplarmoor
