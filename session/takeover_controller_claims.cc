// Claims of TakeoverController in the store: claim, phases and the recorded members.
#include <algorithm>

#include "session/boot_clock.h"
#include "session/cluster.h"
#include "session/object_store.h"
#include "session/takeover_run.h"
#include "telemetry/log.h"

namespace poplarmoor {

namespace asio = boost::asio;

namespace {

bool HaveSameMembers(const TakeoverClaim& left, const TakeoverClaim& right) {
  return std::equal(left.members.begin(), left.members.end(), right.members.begin(),
                    right.members.end(),
                    [](const auto& one, const auto& other) { return one.id == other.id; });
}

TakeoverMember RecordOf(const EndpointPool& pool) {
  const EndpointRecord& record = pool.record();
  return {record.id, record.address, record.failure_domain};
}

bool HaveSameOrders(const TakeoverClaim& left, const TakeoverClaim& right) {
  return std::equal(
      left.ordered.begin(), left.ordered.end(), right.ordered.begin(), right.ordered.end(),
      [](const auto& one, const auto& other) { return one.endpoint == other.endpoint; });
}

}  // namespace

bool IsRecorded(const TakeoverClaim& claim, const std::string& id) {
  return std::any_of(claim.members.begin(), claim.members.end(),
                     [&id](const TakeoverMember& member) { return member.id == id; });
}

asio::awaitable<bool> TakeoverController::ClaimTakeover(ServiceGroup* group,
                                                        TakeoverReason reason) {
  TakeoverClaim claim;
  claim.service = group->name;
  claim.phase = TakeoverPhase::kClaimed;
  claim.holder = this->daemon;
  claim.nonce = this->random();
  claim.resume_pending = BootNow() < group->resume_pending_until;
  claim.ordered = group->claim.ordered;
  if (!claim.ordered.empty() && !group->HasOrderedPromotion()) {
    claim.ordered.erase(claim.ordered.begin(), claim.ordered.end() - 1);
  }
  if (reason == TakeoverReason::kPrimaryLost) {
    claim.lost_primary = group->old_primary;
  }
  // A member that has joined since is recorded after the takeover: no commit rests on its log.
  const bool has_record = !group->claim.members.empty();
  for (const auto& [id, pool] : group->members) {
    if (!has_record || IsRecorded(group->claim, id)) {
      claim.members.push_back(RecordOf(*pool));
    }
  }
  std::string cause;
  claim.revision = co_await this->StoreClaim(claim, group->claim.revision.number, &cause);
  Log(LogLevel::kInfo, claim.revision.Exists() ? "takeover claimed" : "takeover not claimed",
      {{"service", group->name},
       {"reason", kTakeoverReasonNames.NameOf(reason)},
       {"old_primary", group->old_primary},
       {"token", FencingToken(claim.revision)},
       {"cause", cause}});
  if (!claim.revision.Exists()) {
    co_return false;
  }
  group->ApplyClaim(claim);
  co_return true;
}

asio::awaitable<StoreRevision> TakeoverController::StoreClaim(TakeoverClaim claim,
                                                              uint64_t expected,
                                                              std::string* cause) {
  try {
    co_return co_await this->store->Put(kTakeoverKind, claim.service, EncodeTakeoverClaim(claim),
                                        expected);
  } catch (const StoreError& error) {
    *cause = error.what();
    if (error.failure == StoreFailure::kRefused) {
      co_return StoreRevision();
    }
  }
  // Another daemon stored its takeover claim first, or the store stored this daemon's claim but the
  // answer was lost; the claim in the store shows which.
  try {
    const auto stored = co_await this->store->Get(kTakeoverKind, claim.service, false);
    if (stored) {
      const TakeoverClaim current = DecodeTakeoverClaim(stored->value, stored->revision);
      if (current.holder == claim.holder && current.nonce == claim.nonce &&
          current.phase == claim.phase && HaveSameMembers(current, claim) &&
          HaveSameOrders(current, claim)) {
        co_return current.revision;
      }
      this->cluster->ApplyClaim(current);
    }
  } catch (const std::runtime_error& error) {
    *cause = error.what();
  }
  co_return StoreRevision();
}

asio::awaitable<void> TakeoverController::ReadClaim(ServiceGroup* group) {
  const TimePoint sent = BootNow();
  try {
    const auto stored = co_await this->store->Get(kTakeoverKind, group->name, false);
    if (stored) {
      this->cluster->ApplyClaim(DecodeTakeoverClaim(stored->value, stored->revision));
    }
    group->NoteClaimVerified(sent);
    group->statuses_changed.NotifyAll();
  } catch (const std::runtime_error& error) {
    Log(LogLevel::kDebug, "cannot read the takeover claim",
        {{"service", group->name}, {"cause", error.what()}});
  }
}

asio::awaitable<bool> TakeoverController::PublishPhase(ServiceGroup* group,
                                                       TakeoverPhase phase,
                                                       std::vector<OrderedPromotion> ordered) {
  TakeoverClaim claim = group->claim;
  claim.phase = phase;
  claim.resume_pending = phase == TakeoverPhase::kResuming ||
                         (claim.resume_pending && phase != TakeoverPhase::kAbandoned);
  claim.endpoint = ordered.empty() ? std::string() : ordered.back().endpoint;
  claim.ordered = std::move(ordered);
  const auto candidate = group->members.find(claim.endpoint);
  if (candidate != group->members.end() && !IsRecorded(claim, claim.endpoint)) {
    // Daemons ask only recorded members for what they have received.
    claim.members.push_back(RecordOf(*candidate->second));
  }
  std::string cause;
  claim.revision = co_await this->StoreClaim(claim, claim.revision.number, &cause);
  if (!claim.revision.Exists()) {
    Log(LogLevel::kInfo, "takeover phase not stored",
        {{"service", group->name}, {"phase", kTakeoverPhaseNames.NameOf(phase)}, {"cause", cause}});
    co_return false;
  }
  group->ApplyClaim(std::move(claim));
  co_return true;
}

}  // namespace poplarmoor
