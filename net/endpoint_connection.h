#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <string>

#include "kernel/statement_request.h"
#include "net/endpoint_reply.h"
#include "wire/endpoint_answer.h"

namespace poplarmoor {

/// Connection to an endpoint, which is a database server. A connection runs one operation at a
/// time. Operations may be awaited from any executor; they run on the connection's own strand.
class EndpointConnection {
 public:
  virtual ~EndpointConnection() = default;

  /// Opens a data connection, which counts against the endpoint's connection limit.
  /// @param timeout Time limit for connecting. The same limit applies again to the wait for the
  ///     endpoint's answer, which says whether the endpoint accepts the connection.
  /// @returns Verdict kRan when the connection is open, else kNotRun. The reason is then
  ///     kConnectFailed or the endpoint's reason for refusing it, such as kTooManyConnections.
  virtual boost::asio::awaitable<StatementResult> Open(Duration timeout) = 0;

  /// Opens a control connection, which the endpoint's connection limit does not count.
  /// @param timeout Time limit for connecting.
  /// @returns Verdict kRan when the connection is open, or kNotRun with reason kConnectFailed.
  virtual boost::asio::awaitable<StatementResult> OpenControl(Duration timeout) = 0;

  /// Runs one operation, for example a statement or a commit, at the endpoint. Reports every
  /// failure as a verdict. The verdict is kNotRun only when no byte of the request was sent, or
  /// when the endpoint refused the operation or reported that the statement is erroneous.
  /// @param request Request whose field `operation` says which operation the endpoint runs.
  /// @param term Current term of the endpoint's group.
  /// @param timeout Time limit from sending the request to the end of the answer.
  /// @returns The outcome of the operation. For Operation::kOutcome, the result is "true" when the
  ///     endpoint has run an earlier operation with the id of this request, else "false".
  virtual boost::asio::awaitable<EndpointReply> Run(const StatementRequest& request,
                                                    uint64_t term,
                                                    Duration timeout) = 0;

  /// Asks for the endpoint's status. The endpoint answers as soon as it has received the log
  /// entries up to `wait_index`, but no later than `wait` after the request.
  /// @param wait_index Log index that the endpoint waits for; with 0 it answers immediately.
  /// @param wait Longest time that the endpoint waits for the log index.
  /// @param timeout Time limit from sending the request to the end of the answer; must be longer
  ///     than `wait`.
  /// @returns The endpoint's answer, with the status of the endpoint.
  /// @throws std::runtime_error when no valid answer arrives in time. The connection is closed when
  ///     no answer arrives.
  virtual boost::asio::awaitable<EndpointAnswer> Status(uint64_t wait_index,
                                                        Duration wait,
                                                        Duration timeout) = 0;

  /// Fences the endpoint: from now on, the endpoint refuses operations of terms below `term`.
  /// @param proposer Proposer of the term, "DAEMON#NONCE": name of the daemon and a random nonce.
  /// @throws std::runtime_error when no valid answer arrives in time.
  virtual boost::asio::awaitable<EndpointAnswer> Fence(uint64_t term,
                                                       std::string proposer,
                                                       Duration timeout) = 0;

  /// Makes the endpoint the primary of a term.
  /// @param proposer Proposer of the term, "DAEMON#NONCE": name of the daemon and a random nonce.
  /// @param start_index Index of the last log entry before the first entry of the term.
  /// @throws std::runtime_error when no valid answer arrives in time.
  virtual boost::asio::awaitable<EndpointAnswer> Promote(uint64_t term,
                                                         std::string proposer,
                                                         uint64_t start_index,
                                                         Duration timeout) = 0;

  /// Makes the endpoint a replica of the primary of a term.
  /// @param primary Name of the primary.
  /// @param address Address of the primary, "IP:port".
  /// @throws std::runtime_error when no valid answer arrives in time.
  virtual boost::asio::awaitable<EndpointAnswer> Follow(uint64_t term,
                                                        std::string primary,
                                                        std::string address,
                                                        Duration timeout) = 0;

  /// Closes the connection. An operation that is in progress on the connection fails. Thread-safe.
  virtual void Close() = 0;
};

}  // namespace poplarmoor
