#include "session/cluster.h"

#include <algorithm>

#include "session/background_task.h"
#include "session/boot_clock.h"
#include "telemetry/log.h"

namespace poplarmoor {

namespace asio = boost::asio;

namespace {

// An endpoint without a registry entry is kept for this time: entries that expired during an outage
// of the registry are back within 2 s of the end of the outage.
constexpr Duration kMissingGrace = 2500ms;
// Number of daemons that a daemon assumes until it knows the others; the usual fleet has 7 or 8.
constexpr uint32_t kAssumedDaemons = 8;
// Number of connections to each endpoint that are not divided among the daemons, but reserved for
// administrative orders to the endpoint and for takeovers.
constexpr uint32_t kReservedConnections = 2;
// Connections that have been idle for longer than this are closed, except for those that are kept
// ready for later statements, so that other daemons can open connections instead.
constexpr Duration kSurplusIdleAge = 1s;
// Shortest interval between calls to the store for a service's newest takeover claim.
constexpr Duration kClaimReadInterval = 500ms;
// For each slot of an endpoint, all daemons together run at most this number of statements outside
// transactions concurrently.
constexpr uint32_t kStatementsPerSlot = 3;
// An endpoint counts as overloaded when its statements take longer than the service's shortest
// latency objective divided by this number: with the network round trip and a retry added, the most
// urgent statements would then miss that objective.
constexpr int kStatementTimeLimitDivisor = 2;

// An endpoint that leaves gets no statements once the rest of its drain bound is less than the
// bound divided by this number. The rest covers the time until the announcement reaches this daemon
// (a fifth of the bound at most in large fleets), and statements on their way through a gateway.
constexpr int kDrainMarginDivisor = 5;

// Compares an endpoint's first registry entry of an era, which may come from an older copy of the
// store, with the known entry, and keeps what cannot have become untrue since.
// @param known Newest entry of an earlier era.
// @param restored First entry of the new era. An endpoint that leaves stays leaving until it has
//     started again.
// @returns Whether the restored entry is to be used; false: it is of an earlier start.
bool KeepNewer(const EndpointRecord& known, EndpointRecord* restored) {
  const bool is_older = restored->incarnation_ms < known.incarnation_ms;
  const bool undoes_leaving =
      restored->incarnation_ms == known.incarnation_ms && known.leaving && !restored->leaving;
  if (is_older || undoes_leaving) {
    Log(LogLevel::kInfo, "registry entry of a restored store is older",
        {{"service", known.service},
         {"endpoint", known.id},
         {"revision", restored->revision.ToText()},
         {"known_revision", known.revision.ToText()},
         {"older_start", is_older},
         {"undoes_leaving", undoes_leaving}});
  }
  restored->leaving = restored->leaving || undoes_leaving;
  return !is_older;
}

}  // namespace

Cluster::Cluster(asio::any_io_executor executor,
                 const SessionCodec* codec,
                 std::string daemon,
                 std::string failure_domain)
    : executor(executor),
      codec(codec),
      own_domain(std::move(failure_domain)),
      access_control(executor, &this->table),
      router(std::move(daemon), this->own_domain),
      changed(executor) {}

void Cluster::ApplyRoutes(RouteTable table) {
  if (table.version <= this->table.version) {
    return;
  }
  Log(LogLevel::kInfo, "configuration in force",
      {{"version", table.version},
       {"previous", this->table.version},
       {"routes", table.routes.size()},
       {"organisations", table.organisations ? table.organisations->Organisations().size() : 0}});
  this->table = std::move(table);
  this->table.SetShortestObjectives();
  this->router.SetOrganisations(this->table.organisations.has_value());
  this->SetAllLimits();
  this->changed.NotifyAll();
  this->access_control.NotifyChange();
}

void Cluster::ApplyEndpoint(EndpointRecord record, std::optional<TimePoint> unchanged_until) {
  this->missing_since.erase(record.id);
  const auto known = this->FindEndpoint(record.id);
  if (known != nullptr && record.revision >= known->record().revision) {
    known->departed = record.leaving && this->retired.contains(record.id);
  }
  if (known != nullptr && record.revision <= known->record().revision) {
    // The record was applied before, or it is older: records also come from peers, whose copy may
    // be older than the store's, and from answers that were under way when the store was restored.
    Log(LogLevel::kDebug, "registry entry ignored: it is not newer than the known one",
        {{"endpoint", record.id},
         {"revision", record.revision.ToText()},
         {"known_revision", known->record().revision.ToText()}});
    return;
  }
  const bool is_restored = known != nullptr && record.revision.era > known->record().revision.era;
  if (is_restored && !KeepNewer(known->record(), &record)) {
    return;
  }
  ServiceGroup* group = this->EnsureGroup(record.service);
  auto& pool = group->members[record.id];
  if (pool == nullptr) {
    pool = std::make_shared<EndpointPool>(this->executor, this->codec, record, &this->router);
    Log(LogLevel::kInfo, "endpoint registered",
        {{"service", record.service}, {"endpoint", record.id}, {"address", record.address}});
  } else {
    if (record.leaving && !pool->record().leaving) {
      Log(LogLevel::kInfo, "endpoint leaves",
          {{"service", record.service},
           {"endpoint", record.id},
           {"revision", record.revision.ToText()}});
    }
    pool->Update(record);
  }
  if (!record.leaving) {
    this->leaving_since.erase(record.id);
    this->retired.erase(record.id);
  } else {
    this->leaving_since.emplace(record.id, unchanged_until.value_or(BootNow()));
  }
  this->SetLimits(pool.get());
  // The role in the first entry of an era may be older than what this daemon knows. It is used only
  // when there is nothing better. A primary that gets no more statements still reports its role.
  if (!pool->departed && (!is_restored || group->Primary() == nullptr)) {
    group->ApplyRegistryRole(record);
  }
  this->changed.NotifyAll();
}

void Cluster::MarkEndpointMissing(const std::string& id) {
  const auto pool = this->FindEndpoint(id);
  if (pool != nullptr && !pool->departed) {
    this->missing_since.emplace(id, BootNow());
  }
}

void Cluster::ApplyClaim(TakeoverClaim claim) {
  ServiceGroup* group = this->EnsureGroup(claim.service);
  if (claim.revision <= group->claim.revision) {
    return;
  }
  for (const TakeoverMember& member : claim.members) {
    if (group->members.contains(member.id)) {
      continue;
    }
    EndpointRecord record;
    record.id = member.id;
    record.service = claim.service;
    record.address = member.address;
    record.failure_domain = member.failure_domain;
    const auto pool =
        std::make_shared<EndpointPool>(this->executor, this->codec, record, &this->router);
    pool->departed = true;
    pool->suspected = true;
    group->members.emplace(member.id, pool);
    this->SetLimits(pool.get());
  }
  group->ApplyClaim(std::move(claim));
}

void Cluster::RefreshClaim(ServiceGroup* group) {
  const TimePoint now = BootNow();
  if (!this->claim_reader || group->reading_claim || now < group->next_claim_read) {
    return;
  }
  group->reading_claim = true;
  group->next_claim_read = now + kClaimReadInterval;
  SpawnTask(this->executor, "read a takeover claim", this->claim_reader(group),
            [group] { group->reading_claim = false; });
}

void Cluster::NoteClaimsVerified(TimePoint verified) {
  for (auto& [service, group] : this->by_service) {
    group->NoteClaimVerified(verified);
  }
}

Duration Cluster::UseTime() const {
  return this->drain_bound - this->drain_bound / kDrainMarginDivisor;
}

bool Cluster::TakesStatements(const EndpointPool& pool) const {
  const auto since = this->leaving_since.find(pool.record().id);
  const bool is_due =
      since != this->leaving_since.end() && BootNow() - since->second >= this->UseTime();
  return !pool.departed && !is_due;
}

void Cluster::RetireLeavingPrimaries() {
  const TimePoint now = BootNow();
  const Duration use_time = this->UseTime();
  for (auto& [service, group] : this->by_service) {
    const auto primary = group->Primary();
    const auto since = primary == nullptr ? this->leaving_since.end()
                                          : this->leaving_since.find(primary->record().id);
    if (since != this->leaving_since.end() && now - since->second >= use_time) {
      // Like an endpoint without a registry entry: takeovers compare its log, but nothing else uses
      // it, and it is not promoted again.
      group->RetirePrimary();
      primary->departed = true;
      this->retired.insert(primary->record().id);
    }
  }
}

void Cluster::RunMaintenance() {
  const TimePoint now = BootNow();
  this->configuration_guard.Observe(this->table.version);
  this->RetireLeavingPrimaries();
  std::erase_if(this->leaving_since,
                [this](const auto& entry) { return this->FindEndpoint(entry.first) == nullptr; });
  for (auto& [service, group] : this->by_service) {
    for (auto& [id, pool] : group->members) {
      if (this->table.organisations && !pool->is_relayed()) {
        this->SetLimits(pool.get());  // The other gateway may have been lost or regained.
      }
      pool->CloseIdle(kSurplusIdleAge);
      if (!pool->departed) {
        pool->WarmUp();
      }
    }
  }
  for (auto missing = this->missing_since.begin(); missing != this->missing_since.end();) {
    if (now - missing->second < kMissingGrace) {
      ++missing;
      continue;
    }
    for (auto& [service, group] : this->by_service) {
      const auto found = group->members.find(missing->first);
      if (found == group->members.end()) {
        continue;
      }
      Log(LogLevel::kInfo, "endpoint gone",
          {{"service", service},
           {"endpoint", missing->first},
           {"missing_ms", ToMillis(now - missing->second)},
           {"serving", group->Primary() != nullptr},
           {"members", group->members.size()}});
      group->ClearPrimary(missing->first, "its registry entry is gone");
      found->second->departed = true;
      found->second->suspected = true;
      found->second->CloseAll();
    }
    // The entry may come back, for example after an outage of the registry: the time since the
    // announcement is kept until the endpoint is forgotten.
    this->retired.erase(missing->first);
    missing = this->missing_since.erase(missing);
  }
}

void Cluster::SetPeers(std::vector<Peer> live) {
  this->router.SetPeers(std::move(live));
  this->SetAllLimits();
}

void Cluster::SetNetwork(PeerNetwork* network) {
  this->router.SetNetwork(network);
  this->SetAllLimits();
}

void Cluster::SetAllLimits() {
  for (auto& [service, group] : this->by_service) {
    for (auto& [id, pool] : group->members) {
      this->SetLimits(pool.get());
    }
  }
}

void Cluster::SetLimits(EndpointPool* pool) {
  const auto service = this->table.services.find(pool->record().service);
  if (service == this->table.services.end()) {
    return;
  }
  const uint32_t limit = service->second.max_connections;
  const uint32_t usable = limit > kReservedConnections ? limit - kReservedConnections : 1;
  const EndpointRecord& record = pool->record();
  const GatewayPlan& plan = this->router.plan();
  // Until the other daemons are known, the usual number of daemons is assumed.
  const uint32_t share = plan.size() > 1 ? plan.ConnectionShare(usable)
                                         : std::max<uint32_t>(usable / kAssumedDaemons, 1);
  const uint32_t sharing_daemons = std::max<uint32_t>(usable / share, 1);
  const uint32_t statement_share =
      (record.slots * kStatementsPerSlot + sharing_daemons - 1) / sharing_daemons;
  this->router.SetConnections(record.service, usable);
  pool->SetRelayed(this->router.peers() != nullptr &&
                   !plan.IsGateway(record.id, record.failure_domain, usable));
  pool->SetStatementTimeLimit(service->second.shortest_latency_objective /
                              kStatementTimeLimitDivisor);
  // Number of connections that this daemon may open beyond its share. An open transaction occupies
  // a connection even between its statements, but few daemons have many transactions at the same
  // time, so each daemon may open half of its share in addition.
  uint32_t borrowed = std::max<uint32_t>(share / 2, 1);
  const bool has_organisations = this->table.organisations.has_value();
  if (has_organisations && !this->router.IsLastGateway(record)) {
    // The other gateway keeps its share open for its organisations, so that the endpoint would
    // refuse the additional connections.
    borrowed = 0;
  }
  pool->SetOrganisations(has_organisations);
  pool->SetLimits(std::min(share, statement_share), share, borrowed);
}

ServiceGroup* Cluster::FindGroup(const std::string& service) {
  const auto found = this->by_service.find(service);
  return found == this->by_service.end() ? nullptr : found->second.get();
}

ServiceGroup* Cluster::EnsureGroup(const std::string& service) {
  auto& group = this->by_service[service];
  if (group == nullptr) {
    group = std::make_unique<ServiceGroup>(this->executor, service, &this->region_map);
  }
  return group.get();
}

std::shared_ptr<EndpointPool> Cluster::FindEndpoint(const std::string& id) {
  for (auto& [service, group] : this->by_service) {
    const auto found = group->members.find(id);
    if (found != group->members.end()) {
      return found->second;
    }
  }
  return nullptr;
}

bool Cluster::IsReady() const {
  return this->table.version != 0 &&
         std::any_of(this->by_service.begin(), this->by_service.end(),
                     [](const auto& entry) { return entry.second->HasRegisteredMember(); });
}

asio::awaitable<bool> Cluster::AwaitReady(Duration max_wait) {
  const TimePoint deadline = BootNow() + max_wait;
  while (!this->IsReady() && BootNow() < deadline) {
    co_await this->changed.Wait(deadline - BootNow());
  }
  co_return this->IsReady();
}

}  // namespace poplarmoor
