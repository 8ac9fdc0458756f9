#include "net/http_client.h"

#include <boost/asio.hpp>

#include "net/http_connection.h"
#include "net/http_message.h"
#include "net/strand.h"

namespace poplarmoor {

namespace asio = boost::asio;

HttpClient::HttpClient(asio::any_io_executor executor,
                       size_t max_idle,
                       std::shared_ptr<TrafficCounter> traffic)
    : executor(executor), max_idle(max_idle), traffic(std::move(traffic)) {}

HttpClient::~HttpClient() = default;

std::unique_ptr<HttpConnection> HttpClient::TakeIdle(const std::string& address) {
  std::lock_guard lock(this->mutex);
  auto& connections = this->idle[address];
  while (!connections.empty()) {
    auto connection = std::move(connections.back());
    connections.pop_back();
    if (connection->IsReusable()) {
      return connection;
    }
  }
  return nullptr;
}

void HttpClient::KeepIdle(const std::string& address, std::unique_ptr<HttpConnection> connection) {
  std::lock_guard lock(this->mutex);
  auto& connections = this->idle[address];
  if (connections.size() < this->max_idle) {
    connections.push_back(std::move(connection));
  }
}

asio::awaitable<HttpResponse> HttpClient::Send(std::string address,
                                               HttpRequest request,
                                               std::chrono::milliseconds timeout) {
  auto connection = this->TakeIdle(address);
  const bool reused = connection != nullptr;
  if (!reused) {
    connection = std::make_unique<HttpConnection>(MakeStrand(this->executor), address);
    connection->CountTraffic(this->traffic);
    co_await connection->Connect(timeout);
  }
  bool retry = false;
  HttpResponse response;
  try {
    response = co_await connection->Exchange(request, timeout);
  } catch (const HttpError& error) {
    if (!reused || request.method != "GET" || error.timeout) {
      throw;
    }
    retry = true;
  }
  if (retry) {
    connection = std::make_unique<HttpConnection>(MakeStrand(this->executor), address);
    connection->CountTraffic(this->traffic);
    co_await connection->Connect(timeout);
    response = co_await connection->Exchange(request, timeout);
  }
  if (connection->is_open()) {
    this->KeepIdle(address, std::move(connection));
  }
  co_return response;
}

}  // namespace poplarmoor
