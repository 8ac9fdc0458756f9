#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>

#include "kernel/name_table.h"
#include "kernel/session_state.h"
#include "kernel/time.h"
#include "session/statement_answer.h"

namespace poplarmoor {

class AccessControl;

/// Why no connection to an endpoint was available.
enum class AcquireFailure {
  kNone,
  // No connection became free in time, or the load of this daemon or of the endpoint was too high.
  kOverloaded,
  kUnreachable,    // No connection could be opened.
  kTooMany,        // The endpoint has reached its connection limit.
  kWrongEndpoint,  // A different endpoint answers at the address.
};

inline constexpr NameTable<AcquireFailure, 5> kAcquireFailureNames{{{
    {AcquireFailure::kNone, "none"},
    {AcquireFailure::kOverloaded, "overloaded"},
    {AcquireFailure::kUnreachable, "unreachable"},
    {AcquireFailure::kTooMany, "too_many_connections"},
    {AcquireFailure::kWrongEndpoint, "wrong_endpoint"},
}}};

/// Kind of transaction that is opened at the endpoint before a statement runs.
enum class Opening {
  kNone,      // No transaction is opened: one is open already, or the statement needs none.
  kWritable,  // Read-write transaction; the endpoint must be the primary.
  kReadOnly,  // Read-only transaction; the endpoint must hold the demanded log position.
};

inline constexpr NameTable<Opening, 3> kOpeningNames{{{
    {Opening::kNone, "none"},
    {Opening::kWritable, "writable"},
    {Opening::kReadOnly, "read_only"},
}}};

/// Statement that an endpoint is to run for a session.
struct StatementSpec {
  std::string id;    // Statement id that the caller chose.
  std::string text;  // Statement text; empty: only the transaction is opened.
  std::optional<PreparedStatement> prepared;  // Prepared statement that `text` executes, if any.
  Opening opening = Opening::kNone;
  LogPosition demanded;    // Log position that the endpoint must hold; {0, 0}: none.
  bool repeatable = true;  // The statement may be sent more than once, because it commits nothing.
  // Checks the session's API key before each attempt to relay the statement; null: no check.
  const AccessControl* access = nullptr;
};

/// Result of one attempt to run a statement at an endpoint.
struct StatementAttempt {
  enum class Outcome {
    kAnswered,  // The endpoint answered the statement.
    kNotSent,   // The statement was not sent.
    kLost,      // The statement was sent and no complete answer arrived.
  };

  Outcome outcome = Outcome::kNotSent;
  AcquireFailure failure = AcquireFailure::kNone;  // Why there was no connection; set for kNotSent.
  // For kAnswered: the answer to the statement. For kNotSent: the endpoint's error if it refused
  // a session value, the prepared statement or the begin of the transaction, else empty.
  StatementAnswer answer;
  std::string cause;  // Why the endpoint did not answer the statement, as text for the log.
  // Time from sending the session values, the prepared statement and the begin of the transaction
  // that precede the statement until the endpoint has answered them; 0 for a relayed statement.
  Duration setup{};
  // Log position of the primary when this attempt opened a transaction there.
  std::optional<LogPosition> opening_position;
  // Newest log position of the primary that the gateway knew when it answered; empty if the
  // statement was not relayed or the gateway reported none.
  std::optional<LogPosition> relayed_position;
  // Age of `relayed_position`: time from when it was requested from the primary until the gateway
  // answered.
  Duration relayed_age{};
  bool connection_failed = false;  // The connection failed; the endpoint may be down.
};

inline constexpr NameTable<StatementAttempt::Outcome, 3> kAttemptOutcomeNames{{{
    {StatementAttempt::Outcome::kAnswered, "answered"},
    {StatementAttempt::Outcome::kNotSent, "not_sent"},
    {StatementAttempt::Outcome::kLost, "lost"},
}}};

/// A path to an endpoint, either direct or through a relaying daemon (gateway). Only one statement
/// or transaction uses the path at a time.
class EndpointChannel {
 public:
  virtual ~EndpointChannel() = default;

  /// Sets the session's values and prepared statement on the connection, opens a transaction if
  /// `spec` asks for one, and runs the statement.
  /// @param spec Statement to run.
  /// @param state Session that the statement belongs to.
  /// @param limit Time limit of the whole call.
  virtual boost::asio::awaitable<StatementAttempt> Run(const StatementSpec& spec,
                                                       const SessionState& state,
                                                       Duration limit) = 0;

  /// Rolls back an open transaction. Afterwards the channel has no transaction or is closed.
  virtual boost::asio::awaitable<void> RollBack() = 0;

  /// @returns Whether the channel may be used for a further statement or transaction.
  virtual bool IsReusable() = 0;
  virtual bool is_open() const = 0;

  /// Closes the channel; a statement in progress fails.
  virtual void Close() = 0;

  std::string organisation;  // Organisation with which the connection was opened; empty: none.
  TimePoint opened_at;       // When the endpoint accepted the connection; unset for relays.
  uint64_t used_by = 0;      // Session number of the caller's session that used the channel last.
};

}  // namespace poplarmoor
