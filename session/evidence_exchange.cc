#include "session/evidence_exchange.h"

#include <utility>

#include "net/peer_network.h"
#include "session/background_task.h"
#include "session/boot_clock.h"
#include "session/cluster.h"
#include "session/relay_router.h"
#include "session/statement_runner.h"
#include "telemetry/log.h"
#include "wire/relay_codec.h"

namespace poplarmoor {

namespace asio = boost::asio;

namespace {

constexpr Duration kCheckInterval = 100ms;
// A lead watcher asks a primary for its position if the newest one that it knows is at least this
// old. With the following steps, positions reach all daemons well within a usual bound of 1.5 s.
constexpr Duration kRefreshAge = 250ms;
constexpr Duration kReadInterval = 300ms;  // Time between two reads from one lead watcher.
// The same with several regions: positions of another region pass through one more daemon.
constexpr Duration kRegionalReadInterval = 150ms;
constexpr Duration kReadTimeout = 250ms;
// Older positions are not told to other daemons: they would not serve a read any more.
constexpr Duration kMaxAge = 5s;

}  // namespace

std::vector<PositionEvidence> CollectEvidence(Cluster* cluster, TimePoint now) {
  std::vector<PositionEvidence> evidence;
  if (!GatewayPlan::SpreadsPositions(cluster->groups().size())) {
    return evidence;
  }
  for (const auto& [service, group] : cluster->groups()) {
    const auto newest = group->freshness.Newest();
    if (newest && newest->sent <= now && now - newest->sent < kMaxAge) {
      evidence.push_back(
          {service, newest->position, static_cast<uint64_t>((now - newest->sent).count())});
    }
  }
  return evidence;
}

void RecordEvidence(Cluster* cluster,
                    const std::vector<PositionEvidence>& evidence,
                    TimePoint answered) {
  for (const PositionEvidence& entry : evidence) {
    ServiceGroup* group = cluster->FindGroup(entry.service);
    if (group != nullptr) {
      group->freshness.Record(answered - Duration(static_cast<int64_t>(entry.age_us)),
                              entry.position);
    }
  }
}

void EvidenceExchange::Attach(PeerNetwork* network) {
  network->SetHandler(kEvidenceMessage,
                      [this](std::string, PeerMessage) { return this->Answer(); });
}

void EvidenceExchange::Start() {
  SpawnService(this->executor, "exchange log positions", [this] { return this->Run(); });
}

asio::awaitable<PeerMessage> EvidenceExchange::Answer() {
  std::string body = EncodeEvidence(CollectEvidence(this->cluster, BootNow()));
  co_return PeerMessage(kEvidenceMessage, std::move(body));
}

asio::awaitable<void> EvidenceExchange::Run() {
  TimePoint next_read;
  for (;;) {
    co_await Pause(kCheckInterval);
    RelayRouter& relays = this->cluster->relays();
    const GatewayPlan& plan = relays.plan();
    const bool spreads = GatewayPlan::SpreadsPositions(this->cluster->groups().size());
    if (!spreads || plan.EveryDaemonWatches() || !plan.IsWatcher() || relays.peers() == nullptr) {
      continue;
    }
    this->RefreshOwnDomain();
    if (BootNow() < next_read) {
      continue;
    }
    next_read = BootNow() + (this->cluster->regions().HasSeveralRegions() ? kRegionalReadInterval
                                                                          : kReadInterval);
    const auto usable = [&relays](const Peer& peer) { return !relays.health().IsLost(peer); };
    for (const Peer& source : plan.EvidenceSources(this->cluster->regions(), usable)) {
      if (this->reading.insert(source.daemon).second) {
        SpawnTask(this->executor, "read log positions", this->ReadFrom(source),
                  [this, source] { this->reading.erase(source.daemon); });
      }
    }
  }
}

void EvidenceExchange::RefreshOwnDomain() {
  if (!this->IsLead()) {
    return;
  }
  const std::string domain = this->cluster->relays().plan().OwnDomain();
  for (const auto& [service, group] : this->cluster->groups()) {
    const auto primary = group->Primary();
    if (primary != nullptr && primary->record().failure_domain == domain) {
      this->runner->RefreshEvidence(group.get(), kRefreshAge);
    }
  }
}

bool EvidenceExchange::IsLead() const {
  RelayRouter& relays = this->cluster->relays();
  const auto usable = [&relays](const Peer& peer) { return !relays.health().IsLost(peer); };
  const auto lead = relays.plan().LeadWatcher(relays.plan().OwnDomain(), usable);
  return lead && lead->daemon == relays.plan().Self();
}

void EvidenceExchange::SuspectPrimaries(const std::string& failure_domain) {
  if (!this->IsLead()) {
    return;
  }
  for (const auto& [service, group] : this->cluster->groups()) {
    const auto primary = group->Primary();
    if (primary != nullptr && primary->record().failure_domain == failure_domain) {
      primary->suspected = true;
    }
  }
}

asio::awaitable<void> EvidenceExchange::ReadFrom(Peer source) {
  PeerMessage query(kEvidenceMessage, std::string());
  const TimePoint sent = BootNow();
  try {
    const PeerMessage answer = co_await this->cluster->relays().peers()->Call(
        source.address, std::move(query), std::chrono::milliseconds(ToMillis(kReadTimeout)),
        PeerCallKind::kRepeatable);
    RecordEvidence(this->cluster, DecodeEvidence(answer.body), sent);
  } catch (const PeerError& error) {
    Log(LogLevel::kDebug, "cannot read log positions from a watcher",
        {{"peer", source.daemon}, {"cause", error.what()}});
    this->cluster->relays().NoteLost(source);
    this->SuspectPrimaries(source.failure_domain);
  }
}

}  // namespace poplarmoor
