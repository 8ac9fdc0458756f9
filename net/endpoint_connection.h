#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <string>

#include "kernel/statement_request.h"
#include "net/endpoint_reply.h"
#include "wire/endpoint_answer.h"

namespace poplarmoor {

/// Connection to an endpoint (a database server) that runs one operation at a time. Operations may
/// be awaited from any executor; they run on the connection's own strand.
class EndpointConnection {
 public:
  virtual ~EndpointConnection() = default;

  /// Opens a data connection, which counts against the endpoint's connection limit.
  /// @param timeout Time limit of connecting and of the endpoint's answer, each.
  /// @returns Verdict kRan when the connection is open, or kNotRun with the reason:
  ///     kConnectFailed, or why the endpoint refused the connection, such as kTooManyConnections.
  virtual boost::asio::awaitable<StatementResult> Open(Duration timeout) = 0;

  /// Opens a control connection, which the endpoint's connection limit does not count.
  /// @param timeout Time limit of connecting.
  /// @returns Verdict kRan when the connection is open, or kNotRun with reason kConnectFailed.
  virtual boost::asio::awaitable<StatementResult> OpenControl(Duration timeout) = 0;

  /// Runs a statement or another operation of a request. Every failure is returned as a verdict;
  /// kNotRun is returned only when the endpoint refused the operation, reported that the statement
  /// is erroneous, or was sent no byte of the request.
  /// @param request Request; its operation selects what is sent.
  /// @param term Current term of the endpoint's group.
  /// @param timeout Time limit of the exchange.
  /// @returns The outcome of the operation. For Operation::kOutcome, the result is "true" when the
  ///     endpoint has run an earlier operation with the id of this request, else "false".
  virtual boost::asio::awaitable<EndpointReply> Run(const StatementRequest& request,
                                                    uint64_t term,
                                                    Duration timeout) = 0;

  /// Asks for the endpoint's status. The endpoint answers once it has received its log up to
  /// `wait_index`, but after the time `wait` at the latest.
  /// @param wait_index Log index to wait for; with 0 the endpoint answers at once.
  /// @param wait Longest time that the endpoint waits for the log index.
  /// @param timeout Time limit of the exchange; must be longer than `wait`.
  /// @returns The endpoint's answer.
  /// @throws std::runtime_error when there is no answer; the connection is closed then.
  virtual boost::asio::awaitable<EndpointAnswer> Status(uint64_t wait_index,
                                                        Duration wait,
                                                        Duration timeout) = 0;

  /// Fences the endpoint: it refuses operations of terms lower than `term` from now on.
  /// @param proposer Proposer of the term.
  /// @throws std::runtime_error when there is no answer.
  virtual boost::asio::awaitable<EndpointAnswer> Fence(uint64_t term,
                                                       std::string proposer,
                                                       Duration timeout) = 0;

  /// Makes the endpoint the primary of a term.
  /// @param proposer Proposer of the term.
  /// @param start_index Index of the last log entry before the term's first one.
  /// @throws std::runtime_error when there is no answer.
  virtual boost::asio::awaitable<EndpointAnswer> Promote(uint64_t term,
                                                         std::string proposer,
                                                         uint64_t start_index,
                                                         Duration timeout) = 0;

  /// Makes the endpoint a replica of the primary of a term.
  /// @param primary Name of the primary.
  /// @param address Address of the primary, "IP:port".
  /// @throws std::runtime_error when there is no answer.
  virtual boost::asio::awaitable<EndpointAnswer> Follow(uint64_t term,
                                                        std::string primary,
                                                        std::string address,
                                                        Duration timeout) = 0;

  /// Closes the connection; an operation in progress fails. Thread-safe.
  virtual void Close() = 0;
};

}  // namespace poplarmoor
