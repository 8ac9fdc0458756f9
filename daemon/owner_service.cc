#include "daemon/owner_service.h"

#include <algorithm>
#include <boost/asio.hpp>

#include "daemon/cluster_view.h"
#include "daemon/endpoint_owner.h"
#include "daemon/in_flight_guard.h"
#include "daemon/refusal.h"
#include "daemon/telemetry.h"
#include "daemon/write_confirmer.h"
#include "kernel/group_state.h"
#include "kernel/service_settings.h"
#include "net/endpoint_driver.h"
#include "net/now.h"
#include "net/strand.h"
#include "telemetry/span.h"

namespace poplarmoor {

namespace asio = boost::asio;

namespace {

constexpr Duration kMaintenanceInterval = 20ms;  // Time between two runs of Maintain().

/// @returns Whether an operation starts new work instead of continuing an open transaction.
bool IsNewWork(Operation operation) {
  return operation == Operation::kRead || operation == Operation::kWrite ||
         operation == Operation::kBegin || operation == Operation::kOutcome;
}

bool ChangesData(Operation operation) {
  return operation == Operation::kWrite || operation == Operation::kCommit;
}

}  // namespace

OwnerService::OwnerService(asio::any_io_executor executor,
                           ClusterView* view,
                           std::unique_ptr<EndpointDriver> driver,
                           Telemetry* telemetry)
    : executor(executor), view(view), driver(std::move(driver)), telemetry(telemetry) {}

OwnerService::~OwnerService() = default;

void OwnerService::Start() {
  asio::co_spawn(
      MakeStrand(this->executor), [self = this->shared_from_this()] { return self->Maintain(); },
      asio::detached);
}

asio::awaitable<void> OwnerService::Maintain() {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  while (!this->stopped) {
    boost::system::error_code ignored;
    timer.expires_after(kMaintenanceInterval);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    for (const auto& owner : this->AllOwners()) {
      owner->Maintain();
    }
    this->confirmers.ForEach([now = Now()](Confirmers& known) {
      std::erase_if(known, [now](const auto& each) {
        if (!each.second->IsIdle(now)) {
          return false;
        }
        each.second->Stop();
        return true;
      });
    });
  }
}

asio::awaitable<StatementResult> OwnerService::Run(ForwardRequest forward) {
  const auto self = this->shared_from_this();
  const InFlightGuard guard(&this->in_flight);
  Span span(&this->telemetry->spans, "owner.request", forward.statement.trace_id,
            forward.statement.span_id);
  span.SetAttribute("pm.endpoint", forward.endpoint);
  forward.statement.trace_id = span.TraceId();
  forward.statement.span_id = span.SpanId();
  StatementResult result = co_await this->RunAtEndpoint(std::move(forward));
  if (result.verdict != Verdict::kRan) {
    span.SetFailed(kReasonNames.NameOf(result.reason));
  }
  co_return result;
}

asio::awaitable<StatementResult> OwnerService::RunAtEndpoint(ForwardRequest forward) {
  const StatementRequest& request = forward.statement;
  const std::optional<GroupState> group = this->view->FindGroup(request.service);
  const std::optional<ServiceSettings> settings =
      this->view->FindSettings(request.service, request.site);
  if (!group || !settings) {
    co_return MakeRefusal(Reason::kNotOwner,
                          "the owner daemon does not know service " + request.service);
  }
  const auto endpoint =
      std::find_if(group->endpoints.begin(), group->endpoints.end(),
                   [&](const auto& each) { return each.name == forward.endpoint; });
  if (endpoint == group->endpoints.end()) {
    co_return MakeRefusal(Reason::kNotOwner,
                          "the owner daemon does not know endpoint " + forward.endpoint);
  }
  if (IsNewWork(request.operation)) {
    if (this->draining) {
      co_return MakeRefusal(Reason::kStopping, "the daemon is stopping");
    }
    if (endpoint->leaving) {
      co_return MakeRefusal(Reason::kLeaving, "endpoint " + endpoint->name + " is leaving");
    }
  }
  if (forward.term > group->term) {
    this->view->ReportHigherTerm(request.service, forward.term);
  }
  if (forward.term < group->term && group->phase == GroupPhase::kServing &&
      request.operation == Operation::kWrite && endpoint->name != group->primary) {
    co_return MakeRefusal(Reason::kNotPrimary,
                          "endpoint " + endpoint->name + " is not the primary of the current term");
  }
  const uint64_t term = std::max(forward.term, group->term);
  std::shared_ptr<WriteConfirmer> confirmer;
  if (ChangesData(request.operation) && settings->acknowledge == AcknowledgeMode::kQuorum &&
      group->endpoints.size() > 1) {
    confirmer = this->FindConfirmer(request.service);
    confirmer->SetTerm(*group, term, endpoint->name);
    if (!confirmer->CanConfirm(request.deadline)) {
      co_return MakeRefusal(Reason::kNoQuorum,
                            "too few replicas can confirm the write before its deadline");
    }
  }
  const auto owner = this->FindOwner(*endpoint, *settings);
  const TimePoint deadline = request.deadline;
  StatementResult result = co_await owner->Run(std::move(forward.statement), term);
  if (result.status && result.status->term > term) {
    this->view->ReportHigherTerm(group->service, result.status->term);
  }
  const uint64_t answer_term = result.status ? result.status->term : term;
  if (confirmer != nullptr && result.verdict == Verdict::kRan && result.position.term != 0 &&
      !co_await confirmer->Confirm(answer_term, result.position, deadline)) {
    result.verdict = Verdict::kMayHaveRun;
    result.reason = Reason::kUnconfirmed;
    result.message =
        "the write ran at the primary, but too few replicas confirmed it before the deadline";
  }
  co_return result;
}

std::shared_ptr<EndpointOwner> OwnerService::FindOwner(const EndpointInfo& endpoint,
                                                       const ServiceSettings& settings) {
  return this->owners.With(endpoint.name, [&](Owners& known) {
    auto& owner = known[endpoint.name];
    if (owner == nullptr || owner->address() != endpoint.address) {
      if (owner != nullptr) {
        owner->Stop();  // The endpoint's name now belongs to a server at another address.
      }
      owner = std::make_shared<EndpointOwner>(
          this->executor, endpoint, settings, this->driver.get(), this->telemetry,
          [view = this->view, service = settings.service, name = endpoint.name] {
            view->ReportSuspicion(service, name);
          });
    }
    return owner;
  });
}

std::shared_ptr<WriteConfirmer> OwnerService::FindConfirmer(const std::string& service) {
  return this->confirmers.With(service, [&](Confirmers& known) {
    auto& confirmer = known[service];
    if (confirmer == nullptr) {
      confirmer = std::make_shared<WriteConfirmer>(this->executor, this->driver.get());
    }
    return confirmer;
  });
}

std::vector<std::shared_ptr<EndpointOwner>> OwnerService::AllOwners() {
  std::vector<std::shared_ptr<EndpointOwner>> all;
  this->owners.ForEach([&](Owners& known) {
    for (const auto& [name, owner] : known) {
      all.push_back(owner);
    }
  });
  return all;
}

std::vector<EndpointLoad> OwnerService::EndpointLoads() {
  std::vector<EndpointLoad> loads;
  for (const auto& owner : this->AllOwners()) {
    loads.push_back(owner->Load());
  }
  std::sort(loads.begin(), loads.end(),
            [](const auto& a, const auto& b) { return a.endpoint < b.endpoint; });
  return loads;
}

size_t OwnerService::TransactionCount() {
  size_t count = 0;
  for (const auto& owner : this->AllOwners()) {
    count += owner->TransactionCount();
  }
  return count;
}

void OwnerService::Stop() {
  this->stopped = true;
  for (const auto& owner : this->AllOwners()) {
    owner->Stop();
  }
  this->confirmers.ForEach([](Confirmers& known) {
    for (const auto& [service, confirmer] : known) {
      confirmer->Stop();
    }
  });
}

}  // namespace poplarmoor
