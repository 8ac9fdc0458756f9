#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "kernel/log_position.h"
#include "kernel/time.h"

namespace poplarmoor {

/// A statement that a session has prepared.
struct PreparedStatement {
  bool read_only = true;
  std::string shape;  // Text that identifies the statement to the endpoint.

  // clang-tidy 14 takes a defaulted comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const PreparedStatement&, const PreparedStatement&) = default;
};

/// Values that a session has set, by name.
using SessionValues = std::map<std::string, std::string, std::less<>>;

/// What a session expects of every connection that runs its statements.
struct SessionState {
  uint64_t session = 0;  // Unique in the fleet.
  SessionValues values;
  std::map<std::string, PreparedStatement, std::less<>> prepared;  // By the caller's name.
  LogPosition last_commit;                                         // Newest acknowledged commit.
  TimePoint last_commit_time;                                      // When it was acknowledged.
};

/// One step that prepares a connection for a session.
struct SetupStep {
  enum class Kind { kReset, kSetValue, kPrepare };

  Kind kind = Kind::kReset;
  std::string name;   // Of the value or of the statement at the endpoint.
  std::string value;  // Of kSetValue.
  PreparedStatement statement;
};

/// What an endpoint connection holds of the sessions that used it. Statements are prepared under
/// names of the pool's own, so that the names of two sessions cannot collide and a prepared
/// statement serves every session.
class ConnectionState {
 public:
  /// @param state Session that is about to use the connection.
  /// @param needed Statement that it is about to execute; null when it executes none.
  /// @returns Steps that must succeed before the session's statement is sent.
  std::vector<SetupStep> StepsFor(const SessionState& state, const PreparedStatement* needed) const;

  /// Records that the steps have succeeded.
  /// @param state Session that uses the connection now.
  /// @param needed As for StepsFor().
  void Apply(const SessionState& state, const PreparedStatement* needed);

  /// @param statement A statement.
  /// @returns Its name at the endpoint.
  static std::string PooledName(const PreparedStatement& statement);

 private:
  // Whether the connection holds a value that the session does not have.
  bool HoldsForeignValue(const SessionState& state) const;

  SessionValues values;
  std::set<PreparedStatement> prepared;
};

}  // namespace poplarmoor
