#include "load/daemon_target.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <nlohmann/json.hpp>

#include "load/load_session.h"
#include "net/http_connection.h"
#include "net/http_message.h"

namespace poplarmoor {

namespace asio = boost::asio;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kHealthInterval{200};
constexpr milliseconds kHealthTimeout{500};
// Maximum time that the load tool waits for an answer after the call's deadline.
constexpr milliseconds kAnswerSlack{1000};

json MakeStatement(const LoadCall& call) {
  return call.is_write ? json{{"op", "put"}, {"key", call.key}, {"value", call.request_id}}
                       : json{{"op", "get"}, {"key", call.key}};
}

HttpRequest MakeRequest(const LoadCall& call, const LoadSession& session, milliseconds left) {
  const char* kind = call.is_write ? "write" : "read";
  json body;
  std::string target = "/v1/transactions";
  switch (call.step) {
    case LoadCall::Step::kStatement: {
      target = "/v1/statements";
      json freshness{{"own_writes", call.own_writes}};
      if (call.max_staleness_ms > 0) {
        freshness["max_staleness_ms"] = call.max_staleness_ms;
      }
      body = {{"kind", kind},
              {"statement", MakeStatement(call)},
              {"freshness", freshness},
              {"request_id", call.request_id},
              {"repeatable", call.repeatable}};
      break;
    }
    case LoadCall::Step::kBegin:
      break;
    case LoadCall::Step::kTransactionStatement:
      target += "/statements";
      body = {{"transaction", session.transaction},
              {"sequence", session.sequence},
              {"kind", kind},
              {"statement", MakeStatement(call)}};
      break;
    case LoadCall::Step::kCommit:
      target += "/commit";
      body = {{"transaction", session.transaction},
              {"request_id", call.request_id},
              {"repeatable", call.repeatable}};
      break;
    case LoadCall::Step::kRollback:
      target += "/rollback";
      body = {{"transaction", session.transaction}};
      break;
  }
  if (call.step == LoadCall::Step::kStatement || call.step == LoadCall::Step::kBegin) {
    body["service"] = call.service;
    body["site"] = session.site;
    body["rank"] = kRankNames.NameOf(call.rank);
    body["deadline_ms"] = left.count();
    if (!session.token.empty()) {
      body["session"] = session.token;
    }
  }
  HttpRequest request;
  request.method = "POST";
  request.target = target;
  request.body = body.dump();
  return request;
}

std::string ToText(const json& value) {
  return value.is_null() ? "" : value.is_string() ? value.get<std::string>() : value.dump();
}

CallOutcome ReadAnswer(const HttpResponse& response, LoadSession& session) {
  CallOutcome outcome;
  const json answer = json::parse(response.body, nullptr, false);
  if (!answer.is_object()) {
    outcome.reason = "client:bad_answer";
    return outcome;
  }
  if (answer.contains("verdict")) {
    const auto verdict = kVerdictNames.Find(answer["verdict"].get<std::string>());
    outcome.verdict = verdict.value_or(Verdict::kMayHaveRun);
    outcome.reason = answer.value("reason", "");
  } else {
    // A daemon sends no verdict when it refuses malformed input (HTTP status below 500) or has an
    // internal error (500 and above).
    outcome.verdict = response.status < 500 ? Verdict::kNotRun : Verdict::kMayHaveRun;
    outcome.reason = answer.value("error", json::object()).value("reason", "no_verdict");
  }
  outcome.echoed_id = answer.value("request_id", "");
  outcome.by_replica = answer.value("served_by", "") == "replica";
  outcome.value = ToText(answer.value("result", json()));
  if (const std::string token = answer.value("session", ""); !token.empty()) {
    session.token = token;
  }
  if (answer.contains("transaction")) {
    session.transaction = answer["transaction"].get<std::string>();
  }
  return outcome;
}

}  // namespace

DaemonTarget::DaemonTarget(asio::io_context& context,
                           std::vector<std::string> daemons,
                           size_t max_idle,
                           uint64_t seed)
    : context(context),
      daemons(std::move(daemons)),
      client(context.get_executor(), max_idle),
      health_client(context.get_executor(), 1),
      random(seed) {
  for (const std::string& daemon : this->daemons) {
    this->healthy[daemon] = true;
    asio::co_spawn(context, this->CheckHealth(daemon), asio::detached);
  }
}

asio::awaitable<void> DaemonTarget::CheckHealth(std::string daemon) {
  asio::steady_timer timer(this->context);
  for (;;) {
    HttpRequest request;
    request.target = "/healthz";
    bool ok = false;
    try {
      ok = (co_await this->health_client.Send(daemon, request, kHealthTimeout)).status == 200;
    } catch (const HttpError&) {
      ok = false;
    }
    this->healthy[daemon] = ok;
    timer.expires_after(kHealthInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

// Returns the healthy daemons in random order, followed by the unhealthy ones.
std::vector<std::string> DaemonTarget::OrderDaemons() {
  std::vector<std::string> order = this->daemons;
  std::shuffle(order.begin(), order.end(), this->random);
  std::stable_partition(order.begin(), order.end(),
                        [this](const std::string& daemon) { return this->healthy[daemon]; });
  return order;
}

asio::awaitable<CallOutcome> DaemonTarget::Call(LoadCall call, LoadSession& session) {
  CallOutcome outcome;
  outcome.verdict = Verdict::kNotRun;
  outcome.reason = "client:no_daemon";
  for (const std::string& daemon : this->OrderDaemons()) {
    const auto left =
        std::chrono::duration_cast<milliseconds>(call.deadline - std::chrono::steady_clock::now());
    if (left <= milliseconds(0)) {
      break;
    }
    try {
      const HttpResponse response =
          co_await this->client.Send(daemon, MakeRequest(call, session, left), left + kAnswerSlack);
      outcome = ReadAnswer(response, session);
      break;
    } catch (const HttpError& error) {
      if (error.sent) {
        outcome.verdict = Verdict::kMayHaveRun;
        outcome.cut = !error.timeout;
        outcome.reason = error.timeout ? "client:timeout" : "client:cut";
        break;
      }
      this->healthy[daemon] = false;
    }
  }
  const bool in_transaction = call.step == LoadCall::Step::kTransactionStatement;
  session.sequence = in_transaction ? session.sequence + 1 : session.sequence;
  if (call.step == LoadCall::Step::kBegin) {
    session.sequence = 1;
  }
  co_return outcome;
}

}  // namespace poplarmoor
