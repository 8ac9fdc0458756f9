#pragma once

#include "net/endpoint_connection.h"
#include "net/http_connection.h"

namespace poplarmoor {

/// Endpoint connection of the driver "http".
class HttpEndpointConnection : public EndpointConnection,
                               public std::enable_shared_from_this<HttpEndpointConnection> {
 public:
  /// @param strand Strand of this connection.
  /// @param address Address of the endpoint, "IP:port".
  /// @param control_traffic Counts the bytes if this connection is opened as a control connection;
  ///     null: they are not counted.
  HttpEndpointConnection(boost::asio::any_io_executor strand,
                         const std::string& address,
                         std::shared_ptr<TrafficCounter> control_traffic);

  boost::asio::awaitable<StatementResult> Open(Duration timeout) override;
  boost::asio::awaitable<StatementResult> OpenControl(Duration timeout) override;
  boost::asio::awaitable<EndpointReply> Run(const StatementRequest& request,
                                            uint64_t term,
                                            Duration timeout) override;
  boost::asio::awaitable<EndpointAnswer> Status(uint64_t wait_index,
                                                Duration wait,
                                                Duration timeout) override;
  boost::asio::awaitable<EndpointAnswer> Fence(uint64_t term,
                                               std::string proposer,
                                               Duration timeout) override;
  boost::asio::awaitable<EndpointAnswer> Promote(uint64_t term,
                                                 std::string proposer,
                                                 uint64_t start_index,
                                                 Duration timeout) override;
  boost::asio::awaitable<EndpointAnswer> Follow(uint64_t term,
                                                std::string primary,
                                                std::string address,
                                                Duration timeout) override;
  void Close() override;

 private:
  boost::asio::awaitable<void> ConnectOnStrand(Duration timeout);
  boost::asio::awaitable<EndpointAnswer> Control(const char* operation,
                                                 std::string body,
                                                 Duration timeout);
  boost::asio::awaitable<EndpointReply> RunOnStrand(const StatementRequest& request,
                                                    uint64_t term,
                                                    Duration timeout);

  boost::asio::any_io_executor strand;
  std::shared_ptr<TrafficCounter> control_traffic;
  HttpConnection connection;
};

}  // namespace poplarmoor
