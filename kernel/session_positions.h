#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "kernel/log_position.h"

namespace poplarmoor {

/// Content of a session token: for each service, the position of the session's newest acknowledged
/// write. The number of services is bounded, because the caller sends the token with each request.
class SessionPositions {
 public:
  static constexpr size_t kMaxServices = 64;

  /// What a read of one service must observe.
  struct Requirement {
    // Log position up to which the endpoint must have replayed the log; a position with term 0
    // means that the session has no recorded write to the service.
    LogPosition position;
    // True if the read must run at the primary: the session has no position for the service, but
    // the position may have been removed to keep the session within kMaxServices.
    bool needs_primary = false;
  };

  /// Records an acknowledged write. A position older than the recorded one does not replace it.
  /// @param service Exact name of the service.
  /// @param position Position of the acknowledged write; term 0 is ignored.
  /// @returns Services whose positions were removed from this object to stay within kMaxServices;
  ///     the caller logs them. Require() sets needs_primary for such a service until its next
  ///     write.
  std::vector<std::string> Record(const std::string& service, LogPosition position);

  /// Records every position of another session, for callers that join two sessions.
  /// @param other Positions to add.
  /// @returns Services whose positions were removed to stay within kMaxServices.
  std::vector<std::string> Merge(const SessionPositions& other);

  /// @param service Exact name of the service.
  /// @returns What a read of this service must observe.
  Requirement Require(const std::string& service) const;

  /// @returns The number of services with a known position.
  size_t size() const { return this->entries.size(); }

  /// @returns Whether a position of this session was ever removed to stay within kMaxServices.
  bool HasDropped() const { return this->dropped; }

  /// @returns The payload of a session token, without its authentication code.
  std::string Encode() const;

  /// @param payload Result of Encode().
  /// @returns The decoded positions.
  /// @throws std::invalid_argument when the payload is malformed.
  static SessionPositions Decode(const std::string& payload);

  friend bool operator==(const SessionPositions&, const SessionPositions&) = default;

 private:
  struct Entry {
    std::string service;
    LogPosition position;

    friend bool operator==(const Entry&, const Entry&) = default;
  };

  std::vector<Entry> entries;  // Least recently written service first.
  bool dropped = false;
};

}  // namespace poplarmoor
