#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <string>

#include "kernel/statement_request.h"
#include "net/endpoint_reply.h"
#include "wire/endpoint_answer.h"

namespace poplarmoor {

/// One connection to an endpoint: one operation at a time. Its operations may be awaited from any
/// executor; they run on the connection's own strand.
class EndpointConnection {
 public:
  virtual ~EndpointConnection() = default;

  /// Opens a data connection, which counts against the endpoint's connection limit.
  /// @param timeout Time limit.
  /// @returns Verdict kRan when it is open, or kNotRun with the reason: kConnectFailed or
  ///     kTooManyConnections.
  virtual boost::asio::awaitable<StatementResult> Open(Duration timeout) = 0;

  /// Opens a control connection, which does not count against the limit.
  /// @param timeout Time limit.
  /// @returns As Open().
  virtual boost::asio::awaitable<StatementResult> OpenControl(Duration timeout) = 0;

  /// Runs a statement or another operation of a request. Every failure becomes a verdict: kNotRun
  /// only when the endpoint refused, or when no byte was sent.
  /// @param request Request; its operation selects what is sent.
  /// @param term Term of the group.
  /// @param timeout Time limit of the exchange.
  /// @returns The outcome. For kOutcome, the result is "true" or "false".
  virtual boost::asio::awaitable<EndpointReply> Run(const StatementRequest& request,
                                                    uint64_t term,
                                                    Duration timeout) = 0;

  /// Waits on the endpoint until it has received an index.
  /// @param wait_index Log index; 0 answers at once.
  /// @param wait Longest wait at the endpoint.
  /// @param timeout Time limit of the exchange; longer than the wait.
  /// @returns The answer.
  /// @throws std::runtime_error when there is none; the connection is closed then.
  virtual boost::asio::awaitable<EndpointAnswer> Status(uint64_t wait_index,
                                                        Duration wait,
                                                        Duration timeout) = 0;

  /// Forbids the endpoint to work for lower terms.
  /// @throws std::runtime_error when there is no answer.
  virtual boost::asio::awaitable<EndpointAnswer> Fence(uint64_t term,
                                                       std::string proposer,
                                                       Duration timeout) = 0;

  /// Makes the endpoint the primary of a term.
  /// @param start_index Last index before the term's first entry.
  /// @throws std::runtime_error when there is no answer.
  virtual boost::asio::awaitable<EndpointAnswer> Promote(uint64_t term,
                                                         std::string proposer,
                                                         uint64_t start_index,
                                                         Duration timeout) = 0;

  /// Makes the endpoint a replica of a primary.
  /// @throws std::runtime_error when there is no answer.
  virtual boost::asio::awaitable<EndpointAnswer> Follow(uint64_t term,
                                                        std::string primary,
                                                        std::string address,
                                                        Duration timeout) = 0;

  /// Closes the connection, from any thread. An operation that is under way fails.
  virtual void Close() = 0;
};

}  // namespace poplarmoor
