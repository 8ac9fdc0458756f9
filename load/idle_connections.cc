#include "load/idle_connections.h"

#include <algorithm>
#include <boost/asio.hpp>

#include "net/http_connection.h"
#include "net/http_message.h"

namespace poplarmoor {

namespace {
constexpr std::chrono::milliseconds kOpenTimeout{2000};
}

IdleConnections::IdleConnections(boost::asio::io_context& context) : context(context) {}

IdleConnections::~IdleConnections() = default;

boost::asio::awaitable<void> IdleConnections::Open(std::vector<std::string> addresses, int count) {
  HttpRequest request;
  request.target = "/healthz";
  for (int i = 0; i < count && !addresses.empty(); ++i) {
    auto connection = std::make_unique<HttpConnection>(
        this->context.get_executor(), addresses[static_cast<size_t>(i) % addresses.size()]);
    try {
      co_await connection->Connect(kOpenTimeout);
      co_await connection->Exchange(request, kOpenTimeout);
      this->connections.push_back(std::move(connection));
    } catch (const HttpError&) {
      continue;
    }
  }
}

int IdleConnections::CountLost() const {
  return static_cast<int>(
      std::count_if(this->connections.begin(), this->connections.end(),
                    [](const auto& connection) { return !connection->IsReusable(); }));
}

}  // namespace poplarmoor
