#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <memory>
#include <mutex>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <thread>

#include "net/http_message.h"
#include "net/http_server.h"

namespace poplarmoor {

/// Base class of the stand-ins: an HTTP server with its own I/O context and a single thread, so
/// that the state of a stand-in needs no lock.
class StandinServer {
 public:
  StandinServer() = default;
  StandinServer(const StandinServer&) = delete;
  StandinServer& operator=(const StandinServer&) = delete;
  virtual ~StandinServer();

  /// Starts listening and handling requests.
  /// @param listen Address to listen on, "IP:port"; port 0 selects a free port.
  /// @throws std::runtime_error when the address is malformed or in use.
  void Start(const std::string& listen);

  /// @returns The address that the server listens on, "IP:port".
  const std::string& address() const { return this->bound_address; }

  /// Stops the server as a crash of its process would: closes all connections without an answer to
  /// pending requests. Blocks until the server's thread has ended.
  void Stop();

  /// Blocks until the server has stopped. SIGINT and SIGTERM stop it.
  void RunUntilSignal();

  /// Handles a request without a network connection and blocks until it is answered; used by tests.
  /// @param method HTTP method.
  /// @param target Path and query of the request.
  /// @param body JSON text of the request.
  /// @returns The answer.
  /// @throws std::runtime_error when the server has stopped.
  HttpResponse Call(const std::string& method,
                    const std::string& target,
                    const std::string& body = "");

 protected:
  /// Handles one request on the server's thread and returns its answer.
  virtual boost::asio::awaitable<HttpResponse> Handle(HttpRequest request, ConnectionId id) = 0;
  virtual void OnStart() {}
  virtual void OnClose(ConnectionId) {}

  /// Ends the I/O loop. Must be called on the server's thread. All connections are closed without
  /// an answer.
  void StopLoop() { this->context->stop(); }
  boost::asio::io_context& io() { return *this->context; }

 private:
  std::mutex mutex;
  // Null before Start() and after the server has stopped.
  std::unique_ptr<boost::asio::io_context> context;
  std::shared_ptr<HttpServer> server;
  std::thread thread;
  std::string bound_address;
};

/// @returns An HTTP answer with a JSON body.
HttpResponse MakeJsonResponse(unsigned status, const nlohmann::json& body);

/// @returns An HTTP answer with the error body {"error": {reason, message}} that section 11 of the
/// design page defines.
HttpResponse MakeErrorResponse(unsigned status,
                               const std::string& reason,
                               const std::string& message);

/// @returns A response that makes the server close the connection without an answer.
HttpResponse MakeDroppedResponse();

/// @returns The value of a numeric query parameter of a request target, or the fallback if the
/// parameter is missing.
uint64_t QueryNumber(const std::string& target, const std::string& name, uint64_t fallback);

/// Suspends the calling coroutine for the duration.
boost::asio::awaitable<void> Sleep(std::chrono::milliseconds duration);

}  // namespace poplarmoor
