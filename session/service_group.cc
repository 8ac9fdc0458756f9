#include "session/service_group.h"

#include <algorithm>

#include "kernel/ownership.h"
#include "session/boot_clock.h"
#include "telemetry/log.h"

namespace poplarmoor {

namespace asio = boost::asio;

namespace {

// Expected time from the loss of a primary until a daemon sends the promotion order. It covers
// the detection of the loss, the takeover claim in the store and the comparison of the replicas'
// logs.
constexpr Duration kExpectedDecisionTime = 300ms;
// First estimate of the time from a promotion order until the promoted endpoint is the primary.
// Each measured time is averaged with the estimate so far.
constexpr Duration kInitialPromotionTime = 1000ms;
// For this time after a takeover claim in phase kResuming has arrived, an endpoint may still carry
// out an unanswered order to resume replication. An endpoint may do so up to 12 s after the order
// was sent; the rest covers the time until the claim arrives through the store.
constexpr Duration kLateOrderWindow = 15s;
// A promotion counts as failed when there is still no primary after this time. The time starts with
// the promotion order, or with the outage if no order was sent. After a failed promotion, the rest
// of the outage cannot be estimated.
constexpr Duration kMaxPromotionTime = 2000ms;
// A commit that CommitVerifier has not confirmed for this time shows that the members do not
// receive the primary's log. Usually they have received it within some milliseconds.
constexpr Duration kCommitStall = 150ms;

}  // namespace

ServiceGroup::ServiceGroup(asio::any_io_executor executor,
                           std::string name,
                           const RegionMap* regions)
    : name(std::move(name)),
      statuses_changed(executor),
      regions(regions),
      promotion_time(kInitialPromotionTime),
      changed(std::move(executor)) {}

std::shared_ptr<EndpointPool> ServiceGroup::Primary() const {
  const auto found = this->members.find(this->primary);
  return found == this->members.end() || found->second->departed ? nullptr : found->second;
}

void ServiceGroup::SetPrimary(const std::string& endpoint,
                              uint64_t term,
                              std::string_view evidence) {
  if (term != 0 && term < this->term) {
    return;
  }
  this->term = std::max(this->term, term);
  if (this->primary == endpoint) {
    return;
  }
  const TimePoint now = BootNow();
  const Duration outage = this->outage_since ? now - *this->outage_since : Duration{};
  if (this->promotion_ordered) {
    this->promotion_time = (this->promotion_time + (now - *this->promotion_ordered)) / 2;
  }
  Log(LogLevel::kInfo, "endpoint leads",
      {{"service", this->name},
       {"endpoint", endpoint},
       {"previous", this->primary},
       {"term", term},
       {"evidence", evidence},
       {"outage_ms", ToMillis(outage)}});
  this->primary = endpoint;
  this->old_primary = endpoint;
  this->primary_since = now;
  this->outage_since.reset();
  this->promotion_ordered.reset();
  this->promotion_overdue = false;
  this->commits.clear();
  this->changed.NotifyAll();
}

void ServiceGroup::ClearPrimary(const std::string& endpoint, std::string_view evidence) {
  if (endpoint != this->primary || endpoint.empty()) {
    return;
  }
  Log(LogLevel::kWarn, "endpoint no longer leads",
      {{"service", this->name}, {"endpoint", endpoint}, {"evidence", evidence}});
  this->primary.clear();
  this->outage_since = BootNow();
}

void ServiceGroup::RetirePrimary() {
  this->ClearPrimary(this->primary, "it leaves, and its drain bound is near");
  this->promotion_overdue = true;
}

void ServiceGroup::ApplyRegistryRole(const EndpointRecord& record) {
  if (record.claims_primary && record.revision > this->registry_revision) {
    this->registry_revision = record.revision;
    this->SetPrimary(record.id, 0, "registry");
  } else if (!record.claims_primary && record.id == this->primary &&
             record.revision > this->registry_revision) {
    this->registry_revision = record.revision;
    this->ClearPrimary(record.id, "registry");
  }
}

void ServiceGroup::ApplyClaim(TakeoverClaim newer) {
  if (newer.revision <= this->claim.revision) {
    return;
  }
  if (newer.revision.era > this->claim.revision.era && this->claim.revision.Exists()) {
    this->AdoptRestoredClaim(std::move(newer));
    return;
  }
  const bool same_takeover = this->claim.revision.Exists() && newer.nonce == this->claim.nonce &&
                             newer.phase == this->claim.phase;
  if (same_takeover) {
    // Only the list of members was recorded anew: the takeover has made no progress.
    this->claim = std::move(newer);
    return;
  }
  const bool is_new_resume = newer.resume_pending && !this->claim.resume_pending;
  if (newer.phase == TakeoverPhase::kResuming || is_new_resume) {
    this->resume_pending_until = BootNow() + kLateOrderWindow;
  } else if (newer.phase == TakeoverPhase::kAbandoned) {
    this->resume_pending_until = {};
  }
  // Whether the claim was stored recently. The first takeover claim that this daemon reads after
  // its start may be old, so it counts as recent only if its phase is kClaimed.
  const bool is_recent = this->claim.revision.Exists() || newer.phase == TakeoverPhase::kClaimed;
  this->claim = std::move(newer);
  this->claim_seen = BootNow();
  Log(LogLevel::kInfo, "takeover claim",
      {{"service", this->name},
       {"phase", kTakeoverPhaseNames.NameOf(this->claim.phase)},
       {"holder", this->claim.holder},
       {"endpoint", this->claim.endpoint},
       {"revision", this->claim.revision.ToText()}});
  const auto lost = this->members.find(this->claim.lost_primary);
  if (this->claim.phase == TakeoverPhase::kClaimed && lost != this->members.end()) {
    lost->second->suspected = true;
    if (lost->second->is_relayed()) {
      this->ClearPrimary(this->claim.lost_primary, "takeover claim");
    }
  }
  if (is_recent && this->claim.phase == TakeoverPhase::kOrdered && this->Primary() == nullptr) {
    this->promotion_ordered = this->claim_seen;
  }
}

std::vector<std::string> ServiceGroup::PendingCandidates(const std::string& primary,
                                                         uint64_t term) const {
  return CandidatesOf(PendingPromotions(this->claim.ordered, primary, term), primary);
}

bool ServiceGroup::HasTakeoverInProgress() const {
  return this->claim.phase == TakeoverPhase::kClaimed || this->HasOrderedPromotion();
}

Duration ServiceGroup::ExpectedCommitStall() const {
  const TimePoint now = BootNow();
  if (this->unconfirmed.empty() || now - *this->unconfirmed.begin() < kCommitStall) {
    return {};
  }
  const Duration elapsed = now - this->claim_seen;
  return this->HasOrderedPromotion() && elapsed < kMaxPromotionTime
             ? std::max<Duration>(this->promotion_time - elapsed, 50ms)
             : Duration::max();
}

void ServiceGroup::NoteClaimVerified(TimePoint verified) {
  if (!this->HasTakeoverInProgress()) {
    this->calm_at = std::max(this->calm_at, std::optional(verified));
  }
}

bool ServiceGroup::HasRegisteredMember() const {
  return std::any_of(this->members.begin(), this->members.end(),
                     [](const auto& member) { return !member.second->departed; });
}

bool ServiceGroup::HasDepartedMember() const {
  return std::any_of(this->members.begin(), this->members.end(),
                     [](const auto& member) { return member.second->departed; });
}

void ServiceGroup::AdoptRestoredClaim(TakeoverClaim restored) {
  const bool is_same = restored.nonce == this->claim.nonce && restored.phase == this->claim.phase;
  Log(LogLevel::kInfo, "takeover claim of a restored store",
      {{"service", this->name},
       {"same", is_same},
       {"phase", kTakeoverPhaseNames.NameOf(restored.phase)},
       {"holder", restored.holder},
       {"revision", restored.revision.ToText()},
       {"previous_phase", kTakeoverPhaseNames.NameOf(this->claim.phase)},
       {"previous_holder", this->claim.holder},
       {"previous_revision", this->claim.revision.ToText()}});
  // A phase kAbandoned may be older than an order to resume replication that was not answered, so
  // it does not end that order's window here.
  if (restored.phase == TakeoverPhase::kResuming) {
    this->resume_pending_until = BootNow() + kLateOrderWindow;
  }
  if (restored.revision.number < this->claim.revision.number) {
    // The copy is older than the known claim and lacks the promotions that were ordered since.
    restored.ordered = this->claim.ordered;
  }
  this->claim = std::move(restored);
  if (!is_same) {
    this->claim_seen = BootNow();
  }
}

void ServiceGroup::ForgetClaim(StoreRevision listed) {
  if (listed.era <= this->claim.revision.era || !this->claim.revision.Exists()) {
    return;
  }
  TakeoverClaim none;
  none.service = this->name;
  none.revision = {listed.era, 0};
  this->AdoptRestoredClaim(std::move(none));
}

Duration ServiceGroup::ExpectedOutage() const {
  if (this->Primary() != nullptr) {
    return {};
  }
  const TimePoint now = BootNow();
  if (this->promotion_ordered) {
    const Duration elapsed = now - *this->promotion_ordered;
    return elapsed > kMaxPromotionTime ? Duration::max()
                                       : std::max<Duration>(this->promotion_time - elapsed, 50ms);
  }
  if (this->promotion_overdue) {
    return Duration::max();
  }
  const Duration elapsed = this->outage_since ? now - *this->outage_since : Duration{};
  if (elapsed > kMaxPromotionTime) {
    return Duration::max();
  }
  return std::max<Duration>(kExpectedDecisionTime - elapsed, Duration{}) + this->promotion_time;
}

asio::awaitable<std::shared_ptr<EndpointPool>> ServiceGroup::AwaitPrimary(Duration max_wait) {
  const TimePoint deadline = BootNow() + max_wait;
  for (;;) {
    if (auto leading = this->Primary()) {
      co_return leading;
    }
    const Duration left = deadline - BootNow();
    if (left <= Duration{} || this->ExpectedOutage() > left) {
      co_return nullptr;
    }
    co_await this->changed.Wait(std::min<Duration>(left, 100ms));
  }
}

std::vector<std::shared_ptr<EndpointPool>> ServiceGroup::EndpointsForRead(
    const std::string& own_domain,
    Duration demand_age,
    const std::string& organisation) const {
  const std::string affinity_key = this->name + "/" + organisation;
  const TimePoint now = BootNow();
  std::vector<ReadCandidate> candidates;
  for (const auto& [id, pool] : this->members) {
    ReadCandidate candidate;
    candidate.id = id;
    candidate.distance = this->regions->DistanceBetween(own_domain, pool->record().failure_domain);
    candidate.is_primary = id == this->primary;
    candidate.relayed = pool->UsesRelay() && !pool->is_relayed();
    candidate.usable = (!pool->down || pool->UsesRelay()) && !pool->record().leaving &&
                       !pool->departed && pool->IsFreshEnough(demand_age) &&
                       now >= pool->avoid_until;
    candidate.busy = pool->busy();
    candidate.limit = pool->queue().SingleLimit();
    candidate.affinity = organisation.empty() ? 0 : RendezvousScore(affinity_key, id);
    candidate.service_time = pool->queue().SmoothedStatementTime();
    candidates.push_back(std::move(candidate));
  }
  std::vector<std::shared_ptr<EndpointPool>> order;
  for (const std::string& id : OrderForRead(candidates)) {
    order.push_back(this->members.at(id));
  }
  return order;
}

}  // namespace poplarmoor
