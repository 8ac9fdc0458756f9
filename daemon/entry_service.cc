#include "daemon/entry_service.h"

#include <algorithm>
#include <boost/asio.hpp>

#include "daemon/cluster_view.h"
#include "daemon/statement_router.h"
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

constexpr std::string_view kOutcomePath = "/v1/requests/";
constexpr Duration kDefaultDeadline = 2000ms;  // Where no service's default applies.

/// A request that is refused before it is routed.
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
  if (!settings) {
    throw UnknownService(service, view);
  }
  if (!settings->sites.empty() &&
      std::find(settings->sites.begin(), settings->sites.end(), site) == settings->sites.end()) {
    throw Rejection{400, Reason::kBadRequest, "site",
                    "site '" + site + "' may not reach service " + service};
  }
  return std::move(*settings);
}

/// Counts a request in progress.
class InFlightGuard {
 public:
  explicit InFlightGuard(std::atomic<int>* count) : count(count) { ++*this->count; }
  ~InFlightGuard() { --*this->count; }
  InFlightGuard(const InFlightGuard&) = delete;
  InFlightGuard& operator=(const InFlightGuard&) = delete;

 private:
  std::atomic<int>* count;
};

}  // namespace

EntryService::EntryService(ClusterView* view,
                           const KeyRing* keys,
                           std::shared_ptr<StatementRouter> router,
                           EntryLimits limits)
    : view(view), keys(keys), router(std::move(router)), limits(limits) {}

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
    co_return MakeError({429, Reason::kOverloaded, "", "the daemon has too many requests"});
  }
  CallerAnswer answer;
  std::string parent_span;
  const auto traceparent = request.headers.find("traceparent");
  if (traceparent == request.headers.end() ||
      !ParseTraceparent(traceparent->second, &answer.trace_id, &parent_span)) {
    answer.trace_id = MakeRandomId();
  }
  try {
    co_return co_await this->Route(request, &answer);
  } catch (const CodecError& error) {
    co_return MakeError({400, Reason::kBadRequest, error.field, error.what()});
  } catch (const Rejection& rejection) {
    co_return MakeError(rejection);
  }
}

asio::awaitable<HttpResponse> EntryService::Route(const HttpRequest& request,
                                                  CallerAnswer* answer) {
  const std::string path = request.target.substr(0, request.target.find('?'));
  if (path.starts_with(kOutcomePath)) {
    if (request.method != "GET") {
      throw Rejection{405, Reason::kBadRequest, "", "use GET"};
    }
    co_return co_await this->FindOutcome(path, answer);
  }
  const bool known = path == "/v1/statements" || path == "/v1/transactions" ||
                     path == "/v1/transactions/statements" || path == "/v1/transactions/commit" ||
                     path == "/v1/transactions/rollback";
  if (!known) {
    throw Rejection{404, Reason::kBadRequest, "", "no such path: " + path};
  }
  if (request.method != "POST") {
    throw Rejection{405, Reason::kBadRequest, "", "use POST"};
  }
  if (path == "/v1/statements") {
    co_return co_await this->RunStatement(DecodeStatement(request.body), answer);
  }
  if (path == "/v1/transactions") {
    co_return co_await this->RunStatement(DecodeBegin(request.body), answer);
  }
  if (path == "/v1/transactions/statements") {
    co_return co_await this->RunInTransaction(DecodeTransactionStatement(request.body), answer);
  }
  const Operation end =
      path == "/v1/transactions/commit" ? Operation::kCommit : Operation::kRollback;
  co_return co_await this->RunInTransaction(DecodeTransactionEnd(request.body, end), answer);
}

void EntryService::Prepare(CallerRequest* request,
                           Duration default_deadline,
                           CallerAnswer* answer) const {
  StatementRequest& statement = request->statement;
  if (statement.request_id.empty()) {
    statement.request_id = MakeRandomId();
  }
  statement.trace_id = answer->trace_id;
  statement.span_id = FormatHex64(RandomBits());
  statement.deadline =
      Now() + std::min(request->deadline.value_or(default_deadline), this->limits.max_deadline);
  answer->request_id = statement.request_id;
}

void EntryService::RecordWrite(const StatementResult& result,
                               const std::string& service,
                               SessionPositions* positions) const {
  for (const std::string& dropped : positions->Record(service, result.position)) {
    Log(LogLevel::kWarn, "a session wrote to too many services; its reads go to the primary",
        {{"service", dropped}});
  }
}

asio::awaitable<HttpResponse> EntryService::RunStatement(CallerRequest request,
                                                         CallerAnswer* answer) {
  StatementRequest& statement = request.statement;
  ServiceSettings settings = FindService(*this->view, statement.service, statement.site);
  SessionPositions positions;
  try {
    positions = DecodeSessionToken(*this->keys, request.session);
  } catch (const BadTokenError& error) {
    throw Rejection{400, Reason::kBadToken, "session", error.what()};
  }
  this->Prepare(&request, settings.default_deadline, answer);
  const bool is_begin = statement.operation == Operation::kBegin;
  if (is_begin && this->draining) {
    answer->result.reason = Reason::kStopping;
    answer->result.message = "the daemon is stopping and takes no new transactions";
    co_return MakeResponse(*answer);
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
  answer->result = std::move(routed.result);
  answer->session = std::move(request.session);
  if (answer->result.verdict == Verdict::kRan && is_write) {
    this->RecordWrite(answer->result, service, &positions);
    answer->session = EncodeSessionToken(*this->keys, positions);
  }
  if (answer->result.verdict == Verdict::kRan && is_begin) {
    answer->transaction = EncodeTransactionToken(
        *this->keys, {routed.owner, routed.owner_address, service, site, answer->result.endpoint,
                      answer->result.transaction, rank});
  }
  co_return MakeResponse(*answer);
}

asio::awaitable<HttpResponse> EntryService::RunInTransaction(CallerRequest request,
                                                             CallerAnswer* answer) {
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
  this->Prepare(&request, settings->default_deadline, answer);
  statement.service = transaction.service;
  statement.site = transaction.site;
  statement.rank = transaction.rank;
  statement.transaction = transaction.id;
  const bool is_commit = statement.operation == Operation::kCommit;
  RoutedResult routed = co_await this->router->RunInTransaction(std::move(statement), transaction);
  answer->result = std::move(routed.result);
  answer->session = std::move(request.session);
  if (is_commit && answer->result.verdict == Verdict::kRan) {
    this->RecordWrite(answer->result, transaction.service, &positions);
    answer->session = EncodeSessionToken(*this->keys, positions);
  }
  co_return MakeResponse(*answer);
}

asio::awaitable<HttpResponse> EntryService::FindOutcome(const std::string& path,
                                                        CallerAnswer* answer) {
  const std::string rest = path.substr(kOutcomePath.size());
  const size_t slash = rest.find('/');
  if (slash == std::string::npos || slash == 0 || slash + 1 == rest.size()) {
    throw Rejection{404, Reason::kBadRequest, "", "use /v1/requests/SERVICE/REQUEST_ID"};
  }
  CallerRequest request;
  request.statement.service = rest.substr(0, slash);
  request.statement.request_id = rest.substr(slash + 1);
  request.statement.operation = Operation::kOutcome;
  std::optional<ServiceSettings> settings = this->view->FindSettings(request.statement.service, "");
  if (!settings) {
    throw UnknownService(request.statement.service, *this->view);
  }
  this->Prepare(&request, kDefaultDeadline, answer);
  RoutedResult routed =
      co_await this->router->Run(std::move(request.statement), std::move(*settings), false);
  if (routed.result.verdict != Verdict::kRan) {
    throw Rejection{503, routed.result.reason, "", routed.result.message};
  }
  HttpResponse response;
  response.body = EncodeOutcome(routed.result.result == "true");
  co_return response;
}

}  // namespace poplarmoor
