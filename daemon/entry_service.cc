#include "daemon/entry_service.h"

#include <algorithm>
#include <boost/asio.hpp>

#include "daemon/cluster_view.h"
#include "daemon/entry_exchange.h"
#include "daemon/in_flight_guard.h"
#include "daemon/statement_router.h"
#include "daemon/telemetry.h"
#include "kernel/service_settings.h"
#include "kernel/session_positions.h"
#include "kernel/trace_id.h"
#include "net/bad_token_error.h"
#include "net/key_ring.h"
#include "net/now.h"
#include "net/random_bits.h"
#include "net/session_token.h"
#include "net/transaction_token.h"
#include "telemetry/log.h"
#include "wire/caller_codec.h"
#include "wire/codec_error.h"

namespace poplarmoor {

namespace asio = boost::asio;

namespace {

constexpr std::string_view kOutcomePathPrefix = "/v1/requests/";

/// Time from the arrival of an outcome query to its deadline. Outcome queries do not use the
/// default deadline of the service.
constexpr Duration kDefaultDeadline = 2000ms;

/// Thrown to answer a request with an HTTP error: the request is refused before it is routed to an
/// endpoint, or an outcome query failed.
struct Rejection {
  unsigned status = 400;
  Reason reason = Reason::kBadRequest;
  std::string field;
  std::string message;
};

HttpResponse MakeError(const Rejection& rejection) {
  HttpResponse response;
  response.status = rejection.status;
  response.body = EncodeError(rejection.reason, rejection.field, rejection.message);
  return response;
}

HttpResponse MakeResponse(const CallerAnswer& answer) {
  HttpResponse response;
  response.status = HttpStatusOf(answer.result.verdict, answer.result.reason);
  response.body = EncodeAnswer(answer);
  if (response.status == 429) {
    const int64_t seconds = std::max<int64_t>(1, ToMillis(answer.result.retry_after) / 1000);
    response.headers["retry-after"] = std::to_string(seconds);
  }
  return response;
}

Rejection UnknownService(const std::string& service, const ClusterView& view) {
  std::string known;
  for (const std::string& name : view.ServiceNames()) {
    known += (known.empty() ? "" : ", ") + name;
  }
  return {404, Reason::kUnknownService, "service",
          "no service is named '" + service + "'; known: " + known};
}

ServiceSettings FindService(const ClusterView& view,
                            const std::string& service,
                            const std::string& site) {
  std::optional<ServiceSettings> settings = view.FindSettings(service, site);
  // FindSettings() accepts an empty site, for use by operators; a caller has to name a site.
  if (view.FindSettings(service, "") && (!settings || site.empty())) {
    throw Rejection{400, Reason::kBadRequest, "site",
                    "site '" + site + "' is not allowed to use service " + service};
  }
  if (!settings) {
    throw UnknownService(service, view);
  }
  return std::move(*settings);
}

}  // namespace

EntryService::EntryService(ClusterView* view,
                           const KeyRing* keys,
                           std::shared_ptr<StatementRouter> router,
                           Telemetry* telemetry,
                           EntryLimits limits)
    : view(view), keys(keys), router(std::move(router)), telemetry(telemetry), limits(limits) {}

asio::awaitable<HttpResponse> EntryService::Handle(HttpRequest request) {
  const auto self = this->shared_from_this();
  if (request.target == "/healthz") {
    HttpResponse response;
    response.status = this->draining ? 503 : 200;
    response.body = this->draining ? R"({"state":"stopping"})" : R"({"state":"serving"})";
    co_return response;
  }
  const InFlightGuard guard(&this->in_flight);
  if (this->in_flight > this->limits.max_in_flight) {
    co_return MakeError(
        {429, Reason::kOverloaded, "", "the daemon has too many requests in progress"});
  }
  const TimePoint start = Now();
  std::string trace_id;
  std::string parent_span;
  const auto traceparent = request.headers.find("traceparent");
  if (traceparent != request.headers.end()) {
    ParseTraceparent(traceparent->second, &trace_id, &parent_span);
  }
  EntryExchange exchange(
      Span(&this->telemetry->spans, "entry.request", std::move(trace_id), std::move(parent_span)));
  exchange.answer.trace_id = exchange.span.TraceId();
  HttpResponse response;
  try {
    response = co_await this->Route(request, &exchange);
  } catch (const CodecError& error) {
    response = MakeError({400, Reason::kBadRequest, error.field, error.what()});
  } catch (const Rejection& rejection) {
    response = MakeError(rejection);
  }
  this->Observe(&exchange, response, start);
  co_return response;
}

void EntryService::Observe(EntryExchange* exchange, const HttpResponse& response, TimePoint start) {
  exchange->span.SetAttribute("http.status_code", std::to_string(response.status));
  if (exchange->service.empty()) {
    exchange->span.SetFailed("the request was rejected");
    return;  // A misspelt service name must not create a new metric series.
  }
  const StatementResult& result = exchange->answer.result;
  const std::string_view verdict = kVerdictNames.NameOf(result.verdict);
  const std::string_view reason = kReasonNames.NameOf(result.reason);
  const std::string_view rank = kRankNames.NameOf(exchange->rank);
  exchange->span.SetAttribute("pm.service", exchange->service);
  exchange->span.SetAttribute("pm.verdict", verdict);
  if (result.verdict != Verdict::kRan) {
    exchange->span.SetFailed(reason);
  }
  Metrics& metrics = this->telemetry->metrics;
  metrics.Add(Metric::kRequests, {exchange->service, rank, verdict, reason});
  metrics.Observe(Metric::kRequestSeconds, {exchange->service, rank}, Now() - start);
  if (exchange->operation == Operation::kRead && result.verdict == Verdict::kRan) {
    metrics.Add(Metric::kReads, {exchange->service, result.from_primary ? "primary" : "replica"});
  }
}

asio::awaitable<HttpResponse> EntryService::Route(const HttpRequest& request,
                                                  EntryExchange* exchange) {
  const std::string path = request.target.substr(0, request.target.find('?'));
  if (path.starts_with(kOutcomePathPrefix)) {
    if (request.method != "GET") {
      throw Rejection{405, Reason::kBadRequest, "", "this path accepts only GET"};
    }
    co_return co_await this->FindOutcome(path, exchange);
  }
  const bool known = path == "/v1/statements" || path == "/v1/transactions" ||
                     path == "/v1/transactions/statements" || path == "/v1/transactions/commit" ||
                     path == "/v1/transactions/rollback";
  if (!known) {
    throw Rejection{404, Reason::kBadRequest, "", "unknown path: " + path};
  }
  if (request.method != "POST") {
    throw Rejection{405, Reason::kBadRequest, "", "this path accepts only POST"};
  }
  if (path == "/v1/statements") {
    co_return co_await this->RunStatement(DecodeStatement(request.body), exchange);
  }
  if (path == "/v1/transactions") {
    co_return co_await this->RunStatement(DecodeBegin(request.body), exchange);
  }
  if (path == "/v1/transactions/statements") {
    co_return co_await this->RunInTransaction(DecodeTransactionStatement(request.body), exchange);
  }
  const Operation end =
      path == "/v1/transactions/commit" ? Operation::kCommit : Operation::kRollback;
  co_return co_await this->RunInTransaction(DecodeTransactionEnd(request.body, end), exchange);
}

void EntryService::Prepare(CallerRequest* request,
                           Duration default_deadline,
                           EntryExchange* exchange) const {
  StatementRequest& statement = request->statement;
  if (statement.request_id.empty()) {
    statement.request_id = MakeRandomId();
  }
  statement.trace_id = exchange->answer.trace_id;
  statement.span_id = exchange->span.SpanId();
  statement.deadline =
      Now() + std::min(request->deadline.value_or(default_deadline), this->limits.max_deadline);
  exchange->answer.request_id = statement.request_id;
  exchange->service = statement.service;
  exchange->rank = statement.rank;
  exchange->operation = statement.operation;
}

void EntryService::RecordWrite(const StatementResult& result,
                               const std::string& service,
                               SessionPositions* positions) const {
  for (const std::string& dropped : positions->Record(service, result.position)) {
    Log(LogLevel::kWarn,
        "a session wrote to more services than its token holds; reads of the dropped service go to "
        "the primary",
        {{"service", dropped}});
  }
}

asio::awaitable<HttpResponse> EntryService::RunStatement(CallerRequest request,
                                                         EntryExchange* exchange) {
  StatementRequest& statement = request.statement;
  ServiceSettings settings = FindService(*this->view, statement.service, statement.site);
  SessionPositions positions;
  try {
    positions = DecodeSessionToken(*this->keys, request.session);
  } catch (const BadTokenError& error) {
    throw Rejection{400, Reason::kBadToken, "session", error.what()};
  }
  this->Prepare(&request, settings.default_deadline, exchange);
  const bool is_begin = statement.operation == Operation::kBegin;
  if (is_begin && this->draining) {
    exchange->answer.result.reason = Reason::kStopping;
    exchange->answer.result.message = "the daemon is stopping and accepts no new transactions";
    co_return MakeResponse(exchange->answer);
  }
  bool primary_required = false;
  if (request.own_writes) {
    const SessionPositions::Requirement requirement = positions.Require(statement.service);
    statement.required = requirement.position;
    primary_required = requirement.needs_primary;
  }
  const std::string service = statement.service;
  const std::string site = statement.site;
  const Rank rank = statement.rank;
  const bool is_write = statement.operation == Operation::kWrite;
  RoutedResult routed =
      co_await this->router->Run(std::move(statement), std::move(settings), primary_required);
  exchange->answer.result = std::move(routed.result);
  exchange->answer.session = std::move(request.session);
  if (exchange->answer.result.verdict == Verdict::kRan && is_write) {
    this->RecordWrite(exchange->answer.result, service, &positions);
    exchange->answer.session = EncodeSessionToken(*this->keys, positions);
  }
  if (exchange->answer.result.verdict == Verdict::kRan && is_begin) {
    exchange->answer.transaction = EncodeTransactionToken(
        *this->keys, {routed.owner, routed.owner_address, service, site,
                      exchange->answer.result.endpoint, exchange->answer.result.transaction, rank});
  }
  co_return MakeResponse(exchange->answer);
}

asio::awaitable<HttpResponse> EntryService::RunInTransaction(CallerRequest request,
                                                             EntryExchange* exchange) {
  StatementRequest& statement = request.statement;
  TransactionToken transaction;
  SessionPositions positions;
  std::string field = "transaction";
  try {
    transaction = DecodeTransactionToken(*this->keys, request.transaction);
    field = "session";
    positions = DecodeSessionToken(*this->keys, request.session);
  } catch (const BadTokenError& error) {
    throw Rejection{400, Reason::kBadToken, field, error.what()};
  }
  const std::optional<ServiceSettings> settings =
      this->view->FindSettings(transaction.service, transaction.site);
  if (!settings) {
    throw UnknownService(transaction.service, *this->view);
  }
  statement.service = transaction.service;
  statement.site = transaction.site;
  statement.rank = transaction.rank;
  statement.transaction = transaction.id;
  this->Prepare(&request, settings->default_deadline, exchange);
  const bool is_commit = statement.operation == Operation::kCommit;
  const bool records_ids = settings->records_request_ids;
  RoutedResult routed = co_await this->router->RunInTransaction(statement, transaction);
  exchange->answer.result = std::move(routed.result);
  if (is_commit && records_ids && exchange->answer.result.reason == Reason::kTransactionGone) {
    exchange->answer.result =
        co_await this->ResolveCommit(std::move(statement), std::move(exchange->answer.result));
  }
  exchange->answer.session = std::move(request.session);
  if (is_commit && exchange->answer.result.verdict == Verdict::kRan) {
    this->RecordWrite(exchange->answer.result, transaction.service, &positions);
    exchange->answer.session = EncodeSessionToken(*this->keys, positions);
  }
  co_return MakeResponse(exchange->answer);
}

asio::awaitable<StatementResult> EntryService::ResolveCommit(StatementRequest request,
                                                             StatementResult commit_refusal) {
  // The transaction may be gone because an earlier commit with the same request id ran: look up
  // the outcome of that request id.
  std::optional<ServiceSettings> settings = this->view->FindSettings(request.service, request.site);
  if (!settings) {
    co_return commit_refusal;
  }
  request.operation = Operation::kOutcome;
  request.transaction.clear();
  RoutedResult routed = co_await this->router->Run(std::move(request), std::move(*settings), false);
  if (routed.result.verdict == Verdict::kRan) {
    const bool found = routed.result.result == "true";
    routed.result.result.clear();
    co_return found ? std::move(routed.result) : std::move(commit_refusal);
  }
  commit_refusal.verdict = Verdict::kMayHaveRun;
  commit_refusal.message =
      "the transaction is gone, and the outcome of the commit cannot be determined";
  co_return commit_refusal;
}

asio::awaitable<HttpResponse> EntryService::FindOutcome(const std::string& path,
                                                        EntryExchange* exchange) {
  const std::string rest = path.substr(kOutcomePathPrefix.size());
  const size_t slash = rest.find('/');
  if (slash == std::string::npos || slash == 0 || slash + 1 == rest.size()) {
    throw Rejection{404, Reason::kBadRequest, "",
                    "the path must be /v1/requests/SERVICE/REQUEST_ID"};
  }
  CallerRequest request;
  request.statement.service = rest.substr(0, slash);
  request.statement.request_id = rest.substr(slash + 1);
  request.statement.operation = Operation::kOutcome;
  std::optional<ServiceSettings> settings = this->view->FindSettings(request.statement.service, "");
  if (!settings) {
    throw UnknownService(request.statement.service, *this->view);
  }
  this->Prepare(&request, kDefaultDeadline, exchange);
  RoutedResult routed =
      co_await this->router->Run(std::move(request.statement), std::move(*settings), false);
  exchange->answer.result = routed.result;
  if (routed.result.verdict != Verdict::kRan) {
    throw Rejection{503, routed.result.reason, "", routed.result.message};
  }
  HttpResponse response;
  response.body = EncodeOutcome(routed.result.result == "true");
  co_return response;
}

}  // namespace poplarmoor
