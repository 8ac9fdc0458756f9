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
  // JSON array that contains the statement of a single write, or all writing statements of a
  // transaction. Empty for the entry that a promotion appends.
  nlohmann::json statements;
  // Result of the last statement. It is also the answer to a repeated request with the same id.
  nlohmann::json result;
};

/// @returns The entry in the JSON form that the answers to `replicate` and `GET /control/log` use.
nlohmann::json ToJson(const EndpointLogEntry& entry);

/// Parses an entry in the JSON form that ToJson() returns.
EndpointLogEntry ParseLogEntry(const nlohmann::json& json);

/// Runs one statement.
/// @param statement Statement as {op, key, value or delta}.
/// @param base State from which the statement reads a key that `writes` does not contain.
/// @param[in,out] writes Keys and values that the earlier statements of the same transaction wrote.
/// The statement's own writes are added.
/// @returns The statement's result.
/// @throws std::invalid_argument for an unknown op or a missing field.
nlohmann::json RunStatement(const nlohmann::json& statement,
                            const EndpointState& base,
                            EndpointState& writes);

/// Log of one endpoint, the table of the request ids in the log, and the state that results from
/// the replayed log entries. Uses no I/O and no clock.
class EndpointLog {
 public:
  /// Runs statements on the primary: appends them to the log as one entry and replays the entry.
  /// @param term Term of the primary, recorded in the entry.
  /// @param request_id Id of the request, or empty to record no id.
  /// @param statements Array of statements.
  /// @param transaction True if the statements are a transaction, false for a single write.
  /// @returns The new entry.
  /// @throws std::invalid_argument when a statement is invalid; nothing is appended then.
  const EndpointLogEntry& Execute(uint64_t term,
                                  const std::string& request_id,
                                  const nlohmann::json& statements,
                                  bool transaction);

  /// Appends an entry received from the primary without replaying it.
  void Append(EndpointLogEntry entry);

  /// Applies the received entries, up to and including the entry at `index`, to the replayed state.
  void ReplayTo(uint64_t index);

  /// Removes all entries above an index, with their effects on the replayed state and their request
  /// ids.
  void TruncateTo(uint64_t index);

  /// @returns The log entry with a request id, or null if the log has none.
  const EndpointLogEntry* FindRequest(const std::string& request_id) const;

  /// @returns The term of the entry at an index, or 0 if there is no entry.
  uint64_t TermAt(uint64_t index) const;

  /// Compares this log, which is the primary's, with the log of a replica that follows the primary.
  /// @param follower Term and index of the last entry of the follower's log.
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
  std::map<std::string, uint64_t> requests;  // Index of the log entry, by request id.
  uint64_t replayed_index = 0;
  std::shared_ptr<EndpointState> state = std::make_shared<EndpointState>();
};

}  // namespace poplarmoor
