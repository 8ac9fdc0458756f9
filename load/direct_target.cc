#include "load/direct_target.h"

#include <boost/asio.hpp>
#include <nlohmann/json.hpp>

#include "load/load_session.h"
#include "net/http_connection.h"
#include "net/http_message.h"

namespace poplarmoor {

namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kRetryPause{5};
constexpr milliseconds kControlTimeout{500};

HttpRequest MakePost(const std::string& operation, const nlohmann::json& body) {
  HttpRequest request;
  request.method = "POST";
  request.target = "/v1/" + operation;
  request.body = body.dump();
  return request;
}

const char* OperationName(LoadCall::Step step) {
  switch (step) {
    case LoadCall::Step::kBegin:
      return "begin";
    case LoadCall::Step::kCommit:
      return "commit";
    case LoadCall::Step::kRollback:
      return "rollback";
    default:
      return "execute";
  }
}

}  // namespace

DirectTarget::DirectTarget(asio::io_context& context,
                           const std::map<std::string, std::vector<std::string>>& endpoints,
                           int connections)
    : context(context), connections(connections) {
  for (const auto& [service, addresses] : endpoints) {
    this->services[service].endpoints = addresses;
  }
}

DirectTarget::~DirectTarget() = default;

asio::awaitable<void> DirectTarget::FindPrimary(Service& service) {
  for (const std::string& address : service.endpoints) {
    HttpConnection connection(this->context.get_executor(), address);
    try {
      co_await connection.Connect(kControlTimeout);
      const HttpResponse response =
          co_await connection.Exchange(MakePost("status", Json::object()), kControlTimeout);
      const Json status = Json::parse(response.body);
      if (status.at("role") == "primary" && status.at("term") >= service.term) {
        service.term = status["term"];
        service.primary = address;
      }
    } catch (const std::exception&) {
      continue;  // Skips an endpoint that cannot be reached.
    }
  }
}

asio::awaitable<bool> DirectTarget::TakeConnection(Service& service, LoadSession& session) {
  if (session.connection != nullptr) {
    co_return true;
  }
  if (service.primary.empty()) {
    co_await this->FindPrimary(service);
  }
  if (!service.idle.empty()) {
    session.connection = std::move(service.idle.back());
    service.idle.pop_back();
    co_return true;
  }
  if (service.primary.empty() || service.open >= this->connections) {
    co_return false;
  }
  ++service.open;
  auto connection = std::make_unique<HttpConnection>(this->context.get_executor(), service.primary);
  bool ok = false;
  try {
    co_await connection->Connect(kControlTimeout);
    const HttpResponse response =
        co_await connection->Exchange(MakePost("connect", Json::object()), kControlTimeout);
    ok = Json::parse(response.body).value("status", "") == "ok";
  } catch (const std::exception&) {
    service.primary.clear();
  }
  if (!ok) {
    --service.open;
    co_return false;
  }
  session.connection = std::move(connection);
  co_return true;
}

void DirectTarget::Release(Service& service, LoadSession& session) {
  if (session.connection->is_open()) {
    service.idle.push_back(std::move(session.connection));
  } else {
    --service.open;
    service.primary.clear();  // Another endpoint may be the primary by now.
  }
  session.connection.reset();
}

asio::awaitable<CallOutcome> DirectTarget::Attempt(Service& service,
                                                   const LoadCall& call,
                                                   LoadSession& session) {
  Json body{{"request_id", call.request_id}, {"term", service.term}};
  if (call.step == LoadCall::Step::kStatement ||
      call.step == LoadCall::Step::kTransactionStatement) {
    body["kind"] = call.is_write ? "write" : "read";
    body["statement"] = call.is_write
                            ? Json{{"op", "put"}, {"key", call.key}, {"value", call.request_id}}
                            : Json{{"op", "get"}, {"key", call.key}};
    body["transaction"] = call.step == LoadCall::Step::kTransactionStatement;
  }
  CallOutcome outcome;
  const auto left = std::chrono::duration_cast<milliseconds>(call.deadline - Clock::now());
  try {
    const HttpResponse response = co_await session.connection->Exchange(
        MakePost(OperationName(call.step), body), std::max(left, milliseconds(1)));
    const Json answer = Json::parse(response.body);
    const bool ok = answer.value("status", "") == "ok";
    outcome.verdict = ok ? Verdict::kRan : Verdict::kNotRun;
    outcome.reason = answer.value("reason", "");
    outcome.echoed_id = answer.value("request_id", "");
    const Json result = answer.value("result", Json());
    outcome.value = result.is_string() ? result.get<std::string>() : "";
    if (outcome.reason == "fenced" || outcome.reason == "not_primary") {
      session.connection->Close();
    }
  } catch (const HttpError& error) {
    outcome.verdict = error.sent ? Verdict::kMayHaveRun : Verdict::kNotRun;
    outcome.cut = error.sent && !error.timeout;
    outcome.reason = error.timeout ? "client:timeout" : "client:cut";
  }
  co_return outcome;
}

asio::awaitable<CallOutcome> DirectTarget::Call(LoadCall call, LoadSession& session) {
  Service& service = this->services.at(call.service);
  // A statement outside a transaction, and the call that begins a transaction, may be repeated on
  // another connection. All other calls need the connection on which the server holds the open
  // transaction.
  const bool may_change_connection =
      call.step == LoadCall::Step::kStatement || call.step == LoadCall::Step::kBegin;
  CallOutcome outcome;
  outcome.verdict = Verdict::kNotRun;
  outcome.reason = "client:no_connection";
  while (Clock::now() < call.deadline) {
    const bool connected = co_await this->TakeConnection(service, session);
    if (connected) {
      outcome = co_await this->Attempt(service, call, session);
      if (outcome.verdict != Verdict::kNotRun) {
        break;
      }
    }
    if (!may_change_connection && (!connected || outcome.reason != "no_slot")) {
      break;
    }
    if (connected && may_change_connection) {
      this->Release(service, session);
    }
    asio::steady_timer timer(this->context, kRetryPause);
    co_await timer.async_wait(asio::use_awaitable);
  }
  const bool stays_pinned =
      outcome.verdict == Verdict::kRan &&
      (call.step == LoadCall::Step::kBegin || call.step == LoadCall::Step::kTransactionStatement);
  if (session.connection != nullptr && !stays_pinned) {
    if (call.step != LoadCall::Step::kStatement && outcome.verdict != Verdict::kRan) {
      session.connection->Close();  // The server then rolls back a transaction that is still open.
    }
    this->Release(service, session);
  }
  co_return outcome;
}

}  // namespace poplarmoor
