#pragma once

#include <utility>

#include <boost/asio.hpp>
#include <nlohmann/json.hpp>
#include <string>

#include "net/http_connection.h"
#include "net/http_message.h"

namespace poplarmoor {

/// One connection to a stand-in. Each call blocks until its answer arrives.
class BlockingClient {
 public:
  explicit BlockingClient(const std::string& address)
      : connection(this->context.get_executor(), address) {
    this->Run([this]() -> boost::asio::awaitable<void> {
      co_await this->connection.Connect(std::chrono::milliseconds(10000));
    });
  }

  /// Sends one request and waits for its answer.
  /// @throws HttpError if no answer arrives.
  HttpResponse Send(const std::string& method,
                    const std::string& target,
                    const std::string& body,
                    std::chrono::milliseconds timeout = std::chrono::milliseconds(10000)) {
    HttpRequest request;
    request.method = method;
    request.target = target;
    request.body = body;
    HttpResponse response;
    this->Run([&]() -> boost::asio::awaitable<void> {
      response = co_await this->connection.Exchange(request, timeout);
    });
    return response;
  }

  /// Sends an operation of the endpoint protocol and returns the JSON body of the answer.
  nlohmann::json Post(const std::string& operation, const nlohmann::json& body) {
    return nlohmann::json::parse(this->Send("POST", "/v1/" + operation, body.dump()).body);
  }

 private:
  template <typename Function>
  void Run(Function function) {
    std::exception_ptr failure;
    boost::asio::co_spawn(this->context, function,
                          [&](std::exception_ptr error) { failure = error; });
    this->context.restart();
    this->context.run();
    if (failure != nullptr) {
      std::rethrow_exception(failure);
    }
  }

  boost::asio::io_context context{1};
  HttpConnection connection;
};

}  // namespace poplarmoor
