#include "cli/operators_client.h"

#include <boost/asio.hpp>

#include "cli/command_error.h"
#include "net/http_connection.h"
#include "net/http_message.h"

namespace poplarmoor {

namespace asio = boost::asio;

OperatorsClient::OperatorsClient(std::vector<std::string> daemons,
                                 std::string token,
                                 std::chrono::milliseconds timeout)
    : daemons(std::move(daemons)),
      token(std::move(token)),
      timeout(timeout),
      client(this->runner.Executor()) {}

asio::awaitable<DaemonAnswer> OperatorsClient::SendRequest(std::string address,
                                                           std::string method,
                                                           std::string target,
                                                           std::string body) {
  DaemonAnswer answer;
  answer.address = address;
  HttpRequest request;
  request.method = std::move(method);
  request.target = std::move(target);
  request.headers["authorization"] = "Bearer " + this->token;
  request.body = std::move(body);
  try {
    HttpResponse response = co_await this->client.Send(address, std::move(request), this->timeout);
    answer.status = response.status;
    answer.body = std::move(response.body);
  } catch (const HttpError& error) {
    answer.error = error.what();
    answer.sent = error.sent;
  }
  co_return answer;
}

std::vector<DaemonAnswer> OperatorsClient::GetFromAll(const std::string& target) {
  std::vector<DaemonAnswer> answers(this->daemons.size());
  // Sends the requests in parallel, in one coroutine for each daemon, and waits for all of them.
  return this->runner.Run([&]() -> asio::awaitable<std::vector<DaemonAnswer>> {
    const auto executor = co_await asio::this_coro::executor;
    asio::steady_timer done(executor, asio::steady_timer::time_point::max());
    size_t pending = answers.size();
    for (size_t i = 0; i < answers.size(); ++i) {
      asio::co_spawn(executor, this->SendRequest(this->daemons[i], "GET", target, ""),
                     [&, i](std::exception_ptr failure, DaemonAnswer answer) {
                       answers[i] = std::move(answer);
                       if (failure) {
                         answers[i].address = this->daemons[i];
                         answers[i].error = "internal error of the command line";
                       }
                       if (--pending == 0) {
                         done.cancel();
                       }
                     });
    }
    boost::system::error_code ignored;
    if (pending > 0) {
      co_await done.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_return std::move(answers);
  }());
}

DaemonAnswer OperatorsClient::SendToFirstReachable(const std::string& method,
                                                   const std::string& target,
                                                   std::string body) {
  std::string errors;
  for (const std::string& daemon : this->daemons) {
    DaemonAnswer answer = this->runner.Run(this->SendRequest(daemon, method, target, body));
    // A request that this daemon may have received is sent to the next daemon only if it is a GET
    // request, which changes nothing.
    if (answer.status != 0 || (answer.sent && method != "GET")) {
      return answer;
    }
    errors += "\n  " + answer.error;
  }
  throw CommandError(ExitCode::kUnreachable, "no daemon is reachable:" + errors);
}

}  // namespace poplarmoor
