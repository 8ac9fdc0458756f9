#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "kernel/log_position.h"
#include "kernel/organisation/organisation_table.h"
#include "kernel/time.h"

namespace poplarmoor {

/// A statement that a session has prepared.
struct PreparedStatement {
  bool read_only = true;
  // Text of the caller's request to prepare the statement, without the statement's arguments, which
  // come with each execution. It is sent unchanged to the endpoint, which prepares the statement
  // that the text identifies.
  std::string shape;

  // clang-tidy 14 wrongly reports a null pointer constant in a defaulted operator<=>.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const PreparedStatement&, const PreparedStatement&) = default;
};

/// Values that a session has set, by name.
using SessionValues = std::map<std::string, std::string, std::less<>>;

/// State of one caller session. Before a statement of the session runs on a connection, the
/// connection must have the session's values and, if the statement is a prepared one, this prepared
/// statement.
struct SessionState {
  uint64_t session = 0;      // Session id, unique among all daemons.
  std::string organisation;  // Organisation of the caller; empty: none.
  // Fingerprint of the API key that the session's access depends on; 0: none, as for a database
  // that needs no key.
  KeyId key = 0;
  SessionValues values;
  // Prepared statements by the name that the caller gave them.
  std::map<std::string, PreparedStatement, std::less<>> prepared;
  LogPosition last_commit;     // Log position of the newest acknowledged commit.
  TimePoint last_commit_time;  // When last_commit was acknowledged.
};

/// One step that brings a connection to the state of a session.
struct SetupStep {
  enum class Kind { kReset, kSetValue, kPrepare };

  Kind kind = Kind::kReset;
  // Name of the value (kSetValue) or of the prepared statement at the endpoint (kPrepare).
  std::string name;
  std::string value;            // Value to assign; set for kSetValue.
  PreparedStatement statement;  // Statement to prepare; set for kPrepare.
};

/// Session values and prepared statements of one endpoint connection. A statement is prepared under
/// a name that PreparedName() derives from its content, so that the names of two sessions cannot
/// collide and all sessions share the prepared statement.
class ConnectionState {
 public:
  /// @param state Session that is about to use the connection.
  /// @param needed Prepared statement that the session is about to execute; null when none.
  /// @returns Steps that must succeed before the session's statement is sent.
  std::vector<SetupStep> SetupStepsFor(const SessionState& state,
                                       const PreparedStatement* needed) const;

  /// Records that the steps of SetupStepsFor() have succeeded.
  /// @param state Session that was passed to SetupStepsFor().
  /// @param needed Prepared statement that was passed to SetupStepsFor(); null when none.
  void Apply(const SessionState& state, const PreparedStatement* needed);

  /// @param statement A statement.
  /// @returns The name under which the statement is prepared at endpoints.
  static std::string PreparedName(const PreparedStatement& statement);

 private:
  /// @returns Whether the connection has a value set that the session has not set.
  bool HasValueMissingIn(const SessionState& state) const;

  SessionValues values;
  std::set<PreparedStatement> prepared;
};

}  // namespace poplarmoor
