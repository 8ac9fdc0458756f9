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

/// Why no connection could be had.
enum class AcquireFailure {
  kNone,
  kOverloaded,     // The wait would exceed the patience, or did.
  kUnreachable,    // No connection could be opened.
  kTooMany,        // The endpoint's connection limit is reached.
  kWrongEndpoint,  // Another endpoint lives at the address.
};

inline constexpr NameTable<AcquireFailure, 5> kAcquireFailureNames{{{
    {AcquireFailure::kNone, "none"},
    {AcquireFailure::kOverloaded, "overloaded"},
    {AcquireFailure::kUnreachable, "unreachable"},
    {AcquireFailure::kTooMany, "too_many_connections"},
    {AcquireFailure::kWrongEndpoint, "wrong_endpoint"},
}}};

/// How a statement's transaction starts at the endpoint.
enum class Opening {
  kNone,      // It has started already, or the statement runs outside of one.
  kWritable,  // The endpoint must be the primary.
  kReadOnly,  // The endpoint must hold the demanded position.
};

inline constexpr NameTable<Opening, 3> kOpeningNames{{{
    {Opening::kNone, "none"},
    {Opening::kWritable, "writable"},
    {Opening::kReadOnly, "read_only"},
}}};

/// What an endpoint is to do for a session.
struct StatementSpec {
  std::string id;                             // Caller's id of the statement.
  std::string text;                           // Empty: only open the transaction.
  std::optional<PreparedStatement> prepared;  // That the text executes.
  Opening opening = Opening::kNone;
  LogPosition demanded;    // Position that the endpoint must hold; {0, 0}: none.
  bool repeatable = true;  // It may run again elsewhere: it commits nothing.
};

/// Result of one try at an endpoint.
struct StatementAttempt {
  enum class Outcome {
    kAnswered,  // The endpoint answered the statement.
    kNotSent,   // The statement was not sent.
    kLost,      // It was sent and no complete answer came.
  };

  Outcome outcome = Outcome::kNotSent;
  AcquireFailure failure = AcquireFailure::kNone;  // Of kNotSent: why there was no connection.
  StatementAnswer answer;
  std::string cause;
  Duration setup{};                             // Time of the preparation.
  std::optional<LogPosition> opened_at;         // Primary's position when the transaction opened.
  std::optional<LogPosition> relayed_position;  // Newest position that a gateway knows.
  Duration relayed_age{};                       // Its age when the gateway answered.
  bool connection_failed = false;               // The endpoint itself is under suspicion.
};

inline constexpr NameTable<StatementAttempt::Outcome, 3> kAttemptOutcomeNames{{{
    {StatementAttempt::Outcome::kAnswered, "answered"},
    {StatementAttempt::Outcome::kNotSent, "not_sent"},
    {StatementAttempt::Outcome::kLost, "lost"},
}}};

/// A way to an endpoint that one statement or transaction uses at a time.
class EndpointChannel {
 public:
  virtual ~EndpointChannel() = default;

  /// Prepares the connection for the session, opens a transaction if asked, and runs the statement.
  /// @param spec Statement.
  /// @param state Session.
  /// @param limit Time limit.
  virtual boost::asio::awaitable<StatementAttempt> Run(const StatementSpec& spec,
                                                       const SessionState& state,
                                                       Duration limit) = 0;

  /// Rolls back what is open. Afterwards the channel is clean or closed.
  virtual boost::asio::awaitable<void> RollBack() = 0;

  /// @returns Whether another statement may use the channel.
  virtual bool IsReusable() = 0;
  virtual bool is_open() const = 0;

  /// Closes the channel; a statement in progress fails.
  virtual void Close() = 0;

  uint64_t used_by = 0;  // Session that used the channel last.
};

}  // namespace poplarmoor
