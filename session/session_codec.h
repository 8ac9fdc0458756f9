#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "kernel/log_position.h"
#include "kernel/session_state.h"
#include "kernel/time.h"
#include "session/caller_message.h"
#include "session/endpoint_line.h"

namespace poplarmoor {

struct StatementAnswer;

/// Administrative orders (commands) to an endpoint: report its state, pause or resume replication,
/// or step down as the primary.
enum class EndpointOrder { kStatus, kPause, kResume, kStepDown };

inline constexpr NameTable<EndpointOrder, 4> kEndpointOrderNames{{{
    {EndpointOrder::kStatus, "status"},
    {EndpointOrder::kPause, "pause"},
    {EndpointOrder::kResume, "resume"},
    {EndpointOrder::kStepDown, "step_down"},
}}};

/// State that an endpoint reports in its answer to an administrative order.
struct EndpointReport {
  bool is_primary = false;
  uint64_t term = 0;
  LogPosition received;  // End of the log that the endpoint has received.
  // Term of the order that pauses replication and is in force at the endpoint; 0: none.
  uint64_t active_pause_term = 0;
  // When the connection was opened that carried the order. The endpoint has not restarted since.
  TimePoint connected_since;
};

/// Encoding of the session protocol between callers, daemons and endpoints. One message is one
/// line.
class SessionCodec {
 public:
  virtual ~SessionCodec() = default;

  /// @returns Largest accepted message, in bytes.
  virtual size_t max_message() const = 0;

  // --- Messages from and to callers ---

  virtual CallerMessage DecodeCaller(std::string_view line) const = 0;

  /// @returns Answer that accepts a caller's opening message.
  virtual std::string EncodeOpened() const = 0;

  /// @returns Error answer to a caller's message; this daemon closes the session after sending it.
  virtual std::string EncodeRefusal(StatementError error, std::string_view text) const = 0;
  virtual std::string EncodeAnswer(const StatementAnswer& answer) const = 0;

  // --- Messages to and from endpoints ---

  /// @param organisation Organisation whose statements the connection will carry; empty: none.
  /// @returns Opening message to an endpoint.
  virtual std::string EncodeOpen(std::string_view service,
                                 std::string_view organisation,
                                 std::string_view endpoint) const = 0;

  /// @param id Statement id that the caller chose, or empty for this daemon's own statements.
  /// @param text Text of the statement.
  /// @param demanded Log position that the endpoint must hold; {0, 0}: none.
  virtual std::string EncodeStatement(std::string_view id,
                                      std::string_view text,
                                      LogPosition demanded) const = 0;
  virtual std::string EncodeSetup(const SetupStep& step) const = 0;
  virtual std::string EncodeBegin() const = 0;

  /// @param demanded Log position that the endpoint must hold.
  virtual std::string EncodeReadOnlyBegin(LogPosition demanded) const = 0;
  virtual std::string EncodeRollback() const = 0;
  virtual std::string EncodeClose() const = 0;

  /// @param name Name of the prepared statement at the endpoint.
  /// @param argument Arguments as the caller sent them.
  /// @returns Text of the statement that executes the prepared statement.
  virtual std::string ExecuteText(std::string_view name, std::string_view argument) const = 0;
  virtual std::string EncodeOrder(EndpointOrder order, uint64_t term) const = 0;
  virtual EndpointLine DecodeEndpoint(std::string_view line) const = 0;

  /// @param row Row of the endpoint's answer to an administrative order.
  /// @returns The state that the endpoint reports.
  /// @throws std::runtime_error when the row is malformed.
  virtual EndpointReport DecodeReport(std::string_view row) const = 0;
};

}  // namespace poplarmoor
