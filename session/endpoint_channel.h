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

/// Why no connection to an endpoint was available.
enum class AcquireFailure {
  kNone,
  kOverloaded,     // Waiting for a connection took too long or would have, or was refused.
  kUnreachable,    // No connection could be opened.
  kTooMany,        // The endpoint's connection limit is reached.
  kWrongEndpoint,  // A different endpoint answers at the address.
};

inline constexpr NameTable<AcquireFailure, 5> kAcquireFailureNames{{{
    {AcquireFailure::kNone, "none"},
    {AcquireFailure::kOverloaded, "overloaded"},
    {AcquireFailure::kUnreachable, "unreachable"},
    {AcquireFailure::kTooMany, "too_many_connections"},
    {AcquireFailure::kWrongEndpoint, "wrong_endpoint"},
}}};

/// Which transaction is opened at the endpoint before a statement runs.
enum class Opening {
  kNone,      // The transaction is already open, or the statement runs outside one.
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
  bool repeatable = true;  // The statement commits nothing, so it may be sent more than once.
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
  StatementAnswer answer;  // Set for kAnswered; kNotSent: error of a refused preparation, if any.
  std::string cause;       // Why the endpoint did not answer the statement, as text for the log.
  Duration setup{};        // Time spent preparing the connection.
  std::optional<LogPosition> opening_position;  // Primary's position when the transaction opened.
  std::optional<LogPosition> relayed_position;  // Primary's newest position known to a gateway.
  // Time from the request that read `relayed_position` at the primary to the gateway's answer.
  Duration relayed_age{};
  bool connection_failed = false;  // The connection failed; the endpoint may be down.
};

inline constexpr NameTable<StatementAttempt::Outcome, 3> kAttemptOutcomeNames{{{
    {StatementAttempt::Outcome::kAnswered, "answered"},
    {StatementAttempt::Outcome::kNotSent, "not_sent"},
    {StatementAttempt::Outcome::kLost, "lost"},
}}};

/// A path to an endpoint, direct or through a relaying daemon (gateway). One statement or
/// transaction uses the path at a time.
class EndpointChannel {
 public:
  virtual ~EndpointChannel() = default;

  /// Prepares the connection for the session, opens a transaction if `spec` asks for one, and runs
  /// the statement.
  /// @param spec Statement to run.
  /// @param state Session that the statement belongs to.
  /// @param limit Time limit of the whole call.
  virtual boost::asio::awaitable<StatementAttempt> Run(const StatementSpec& spec,
                                                       const SessionState& state,
                                                       Duration limit) = 0;

  /// Rolls back an open transaction. Afterwards the channel has no transaction or is closed.
  virtual boost::asio::awaitable<void> RollBack() = 0;

  /// @returns Whether another statement may use the channel.
  virtual bool IsReusable() = 0;
  virtual bool is_open() const = 0;

  /// Closes the channel; a statement in progress fails.
  virtual void Close() = 0;

  uint64_t used_by = 0;  // Number of the session that used the channel last.
};

}  // namespace poplarmoor
