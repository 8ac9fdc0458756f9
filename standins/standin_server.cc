#include "standins/standin_server.h"

#include <boost/asio.hpp>
#include <future>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace poplarmoor {

namespace asio = boost::asio;

StandinServer::~StandinServer() {
  this->Stop();
}

void StandinServer::Start(const std::string& listen) {
  this->context = std::make_unique<asio::io_context>(1);
  HttpServerOptions options;
  options.max_body = 2 << 20;  // In bytes: a value of up to 1 MiB and the JSON around it.
  this->server = std::make_shared<HttpServer>(
      this->context->get_executor(),
      [this](HttpRequest request, ConnectionId id) { return this->Handle(std::move(request), id); },
      options);
  this->server->SetCloseHandler([this](ConnectionId id) { this->OnClose(id); });
  this->server->Listen(listen);
  this->bound_address = this->server->address();
  this->OnStart();
  this->thread = std::thread([this] {
    // The guard keeps the I/O loop running while no work is pending.
    auto guard = asio::make_work_guard(*this->context);
    this->context->run();
    guard.reset();
    this->server.reset();
    // Destroys the context only after the lock is released. The context's destructor closes the
    // sockets of all coroutines.
    std::unique_ptr<asio::io_context> stopped;
    std::lock_guard lock(this->mutex);
    stopped = std::move(this->context);
  });
}

void StandinServer::Stop() {
  {
    std::lock_guard lock(this->mutex);
    if (this->context != nullptr) {
      this->context->stop();
    }
  }
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void StandinServer::RunUntilSignal() {
  {
    std::lock_guard lock(this->mutex);
    if (this->context != nullptr) {
      auto signals = std::make_shared<asio::signal_set>(*this->context, SIGINT, SIGTERM);
      signals->async_wait(
          [this, signals](const boost::system::error_code&, int) { this->context->stop(); });
    }
  }
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

HttpResponse StandinServer::Call(const std::string& method,
                                 const std::string& target,
                                 const std::string& body) {
  HttpRequest request;
  request.method = method;
  request.target = target;
  request.body = body;
  std::future<HttpResponse> answer;
  {
    std::lock_guard lock(this->mutex);
    if (this->context == nullptr) {
      throw std::runtime_error("the stand-in at " + this->bound_address + " has stopped");
    }
    answer = asio::co_spawn(*this->context, this->Handle(std::move(request), 0), asio::use_future);
  }
  return answer.get();
}

HttpResponse MakeJsonResponse(unsigned status, const nlohmann::json& body) {
  HttpResponse response;
  response.status = status;
  response.body = body.dump();
  return response;
}

HttpResponse MakeErrorResponse(unsigned status,
                               const std::string& reason,
                               const std::string& message) {
  return MakeJsonResponse(status, {{"error", {{"reason", reason}, {"message", message}}}});
}

HttpResponse MakeDroppedResponse() {
  HttpResponse response;
  response.drop = true;
  return response;
}

uint64_t QueryNumber(const std::string& target, const std::string& name, uint64_t fallback) {
  const size_t query = target.find('?');
  if (query == std::string::npos) {
    return fallback;
  }
  const std::string text = "&" + target.substr(query + 1);
  const size_t found = text.find("&" + name + "=");
  return found == std::string::npos ? fallback : std::stoull(text.substr(found + name.size() + 2));
}

asio::awaitable<void> Sleep(std::chrono::milliseconds duration) {
  if (duration.count() <= 0) {
    co_return;
  }
  asio::steady_timer timer(co_await asio::this_coro::executor, duration);
  co_await timer.async_wait(asio::use_awaitable);
}

}  // namespace poplarmoor
