#include <algorithm>
#include <map>
#include <set>

#include "kernel/takeover_members.h"
#include "session/background_task.h"
#include "session/boot_clock.h"
#include "session/cluster.h"
#include "session/takeover_controller.h"
#include "telemetry/log.h"

namespace poplarmoor {

namespace asio = boost::asio;

namespace {

// Time limit of one status call in a review of departures.
constexpr Duration kReviewStatusTimeout = 250ms;
// Interval at which a daemon checks whether departed members may be forgotten. It grows with the
// number of daemons, because each check asks every member for its status.
constexpr Duration kMinDepartureReviewInterval = 1s;
constexpr Duration kDepartureReviewIntervalPerDaemon = 50ms;
// Only this number of daemons write the record of a group's members; if two of them fail, one
// remains. The number bounds the store calls while the store is down.
constexpr size_t kRecorders = 3;
// Interval at which a group's members are compared with its record. At each check of the endpoints,
// the comparison for hundreds of services would take a noticeable part of a small VM's processor.
constexpr Duration kRecordCheckInterval = 500ms;
// Time from a change of the members to the first daemon's record. Entries that register together,
// for example at the start of the fleet, are recorded with one store call.
constexpr Duration kRecordDelay = 1s;
// Time between the attempts of two successive daemons. Changes of the store reach daemons that do
// not watch it within about 1 s.
constexpr Duration kRecordStagger = 3s;
// Additional delay of a daemon that knows no other one: it may just have started.
constexpr Duration kUnknownFleetDelay = 2s;
// Interval between attempts after a failure, and between checks whether this daemon has become one
// of the recorders.
constexpr Duration kRecordRetry = 10s;

std::set<std::string> RecordedIds(const ServiceGroup& group) {
  std::set<std::string> ids;
  for (const TakeoverMember& member : group.claim.members) {
    ids.insert(member.id);
  }
  return ids;
}

std::set<std::string> IdsToRecord(const ServiceGroup& group) {
  std::map<std::string, bool> known;
  for (const auto& [id, pool] : group.members) {
    known.emplace(id, pool->departed);
  }
  return MembersToRecord(RecordedIds(group), known);
}

}  // namespace

asio::awaitable<void> TakeoverController::ReviewDepartures(ServiceGroup* group) {
  const Duration scaled_interval =
      this->cluster->relays().plan().size() * kDepartureReviewIntervalPerDaemon;
  const Duration interval = std::max(kMinDepartureReviewInterval, scaled_interval);
  // All daemons learn of a departure at the same time.
  co_await Pause(RandomDuration(&this->random, interval));
  const auto first = co_await this->CollectStatuses(group, kReviewStatusTimeout);
  co_await Pause(kMinDepartureReviewInterval);
  const auto second = co_await this->CollectStatuses(group, kReviewStatusTimeout);
  for (const std::string& id : MembersToForget(first, second)) {
    const auto member = group->members.find(id);
    // The endpoint may have registered again while the statuses were collected.
    if (member != group->members.end() && member->second->departed) {
      Log(LogLevel::kInfo, "departed endpoint forgotten",
          {{"service", group->name}, {"endpoint", id}, {"primary", group->old_primary}});
      member->second->CloseAll();
      group->members.erase(member);
    }
  }
  group->next_departure_review = BootNow() + interval / 2;
}

void TakeoverController::CheckMemberRecord(ServiceGroup* group) {
  if (group->taking_over || this->stopping || group->HasTakeoverInProgress() ||
      this->IsClaimed(*group)) {
    group->record_due.reset();
    return;
  }
  const TimePoint now = BootNow();
  if (now < group->next_record_check) {
    return;
  }
  group->next_record_check = now + kRecordCheckInterval;
  if (IdsToRecord(*group) == RecordedIds(*group)) {
    group->record_due.reset();
    return;
  }
  if (group->record_due && now < *group->record_due) {
    return;
  }
  const GatewayPlan& plan = this->cluster->relays().plan();
  std::vector<std::string> daemons;
  for (const Peer& peer : plan.Peers()) {
    daemons.push_back(peer.daemon);
  }
  const size_t rank = RecorderRank(group->name, plan.Self(), daemons);
  const bool is_recorder = rank < kRecorders;
  if (group->record_due && is_recorder) {
    SpawnTask(this->executor, "record the members of a group", this->RecordMembers(group));
  }
  const Duration first_delay =
      kRecordDelay + rank * kRecordStagger + (plan.size() > 1 ? Duration{} : kUnknownFleetDelay);
  group->record_due = now + (group->record_due || !is_recorder ? kRecordRetry : first_delay);
}

asio::awaitable<void> TakeoverController::RecordMembers(ServiceGroup* group) {
  TakeoverClaim claim = group->claim;
  claim.service = group->name;
  claim.members.clear();
  std::string names;
  for (const std::string& id : IdsToRecord(*group)) {
    const EndpointRecord& record = group->members.at(id)->record();
    claim.members.push_back({id, record.address, record.failure_domain});
    names += (names.empty() ? "" : " ") + id;
  }
  std::string cause;
  claim.revision = co_await this->StoreClaim(claim, claim.revision.number, &cause);
  Log(LogLevel::kInfo,
      claim.revision.Exists() ? "group members recorded" : "group members not recorded",
      {{"service", group->name}, {"members", names}, {"cause", cause}});
  if (claim.revision.Exists()) {
    group->ApplyClaim(std::move(claim));
  }
}

}  // namespace poplarmoor
