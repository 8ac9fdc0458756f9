#include "tests/kernel/copy_spread_simulation.h"

#include <algorithm>
#include <array>

namespace poplarmoor {

namespace {

constexpr Duration kLength = 40s;
constexpr size_t kDomains = 3;
constexpr size_t kWatchersPerDomain = 3;
constexpr size_t kLargestWatchingFleet = 16;
constexpr Duration kPoll = 20ms;
constexpr Duration kCallLimit = 800ms;
constexpr Duration kWatchSlack = 600ms;
constexpr Duration kAnswerLimit = ChangeSchedule::kPeerAnswerTimeout;
constexpr Duration kQueryLimit = 1s;
constexpr Duration kOldestListing = 4s;  // A listing that may be stale is at most this old.
constexpr size_t kQueries = 2;           // Peers that are asked in one round.

}  // namespace

CopySpreadSimulation::CopySpreadSimulation(uint64_t seed) : random(seed) {
  constexpr std::array<size_t, 4> kFleets{3, 8, 24, 40};
  constexpr std::array<Duration, 3> kBounds{3s, 5s, 6s};
  this->fleet = kFleets.at(RandomBelow(&this->random, kFleets.size()));
  this->bound = kBounds.at(RandomBelow(&this->random, kBounds.size()));
  const bool has_keys = RandomBelow(&this->random, 3) == 0;
  this->standby_watchers = has_keys || RandomBelow(&this->random, 2) == 0;
  this->schedule = has_keys ? ChangeSchedule::ForConfiguration(this->bound, this->bound)
                            : ChangeSchedule::ForConfiguration(this->bound);
  this->acknowledged.push_back(TimePoint{});
  this->PlanFaults();
}

void CopySpreadSimulation::PlanFaults() {
  const size_t count = 1 + RandomBelow(&this->random, 4);
  for (size_t number = 0; number < count; ++number) {
    SpreadFaultPeriod period;
    period.fault = static_cast<SpreadFault>(RandomBelow(&this->random, 10));
    period.begin = TimePoint{} + 5s + RandomDuration(&this->random, 20s);
    period.end = period.begin + 500ms + RandomDuration(&this->random, 9s);
    const size_t one_of = 1 + RandomBelow(&this->random, 4);
    const size_t domain = RandomBelow(&this->random, kDomains);
    for (size_t daemon = 0; daemon < this->fleet; ++daemon) {
      const bool is_hit = period.fault == SpreadFault::kDomainCut
                              ? daemon % kDomains == domain
                              : RandomBelow(&this->random, one_of) == 0;
      period.hit.push_back(is_hit);
    }
    period.delay = 50ms + RandomDuration(&this->random, 1500ms);
    this->faults.push_back(std::move(period));
  }
}

const SpreadFaultPeriod* CopySpreadSimulation::Find(SpreadFault fault,
                                                    size_t daemon,
                                                    TimePoint now) const {
  for (const SpreadFaultPeriod& period : this->faults) {
    if (period.fault == fault && period.hit[daemon] && now >= period.begin && now < period.end) {
      return &period;
    }
  }
  return nullptr;
}

bool CopySpreadSimulation::ReachesStore(size_t daemon) const {
  const TimePoint now = this->clock.Now();
  return this->Find(SpreadFault::kStoreCut, daemon, now) == nullptr &&
         this->Find(SpreadFault::kCut, daemon, now) == nullptr &&
         this->Find(SpreadFault::kDomainCut, daemon, now) == nullptr;
}

bool CopySpreadSimulation::ReachEachOther(size_t left, size_t right) const {
  const TimePoint now = this->clock.Now();
  return this->Find(SpreadFault::kCut, left, now) == nullptr &&
         this->Find(SpreadFault::kCut, right, now) == nullptr &&
         this->Find(SpreadFault::kDomainCut, left, now) ==
             this->Find(SpreadFault::kDomainCut, right, now);
}

Duration CopySpreadSimulation::LinkDelay(size_t daemon) {
  const SpreadFaultPeriod* full = this->Find(SpreadFault::kFullLinks, daemon, this->clock.Now());
  const Duration queue = full == nullptr ? Duration{} : full->delay;
  return 500us + RandomDuration(&this->random, 2ms) + RandomDuration(&this->random, queue);
}

bool CopySpreadSimulation::IsWatcher(size_t daemon) const {
  return this->fleet <= kLargestWatchingFleet || daemon < kDomains * kWatchersPerDomain;
}

std::vector<size_t> CopySpreadSimulation::WatchersToFollow(size_t daemon) {
  std::vector<size_t> watchers;
  if (this->fleet <= kLargestWatchingFleet ||
      (this->IsWatcher(daemon) && !this->standby_watchers)) {
    return watchers;
  }
  for (size_t watcher = daemon % kDomains; watcher < kDomains * kWatchersPerDomain;
       watcher += kDomains) {
    if (watcher == daemon) {
      break;
    }
    watchers.push_back(watcher);
  }
  if (!this->standby_watchers) {
    std::rotate(
        watchers.begin(),
        watchers.begin() + static_cast<std::ptrdiff_t>(RandomBelow(&this->random, watchers.size())),
        watchers.end());
  }
  return watchers;
}

void CopySpreadSimulation::Start(size_t number) {
  this->processes.push_back(
      std::make_unique<SpreadDaemon>(number, *this->schedule, this->clock.Now()));
  SpreadDaemon* daemon = this->processes.back().get();
  daemon->stale_ok = !this->schedule->HasKeys();
  this->current[number] = daemon;
  this->clock.Spawn(this->Sync(daemon));
  this->clock.Spawn(this->Seek(daemon));
}

std::string CopySpreadSimulation::Run() {
  this->current.resize(this->fleet);
  for (size_t number = 0; number < this->fleet; ++number) {
    this->clock.After(RandomDuration(&this->random, 300ms),
                      [this, number] { this->Start(number); });
  }
  for (const SpreadFaultPeriod& period : this->faults) {
    for (size_t number = 0; number < this->fleet; ++number) {
      if (period.fault == SpreadFault::kRestarts && period.hit[number]) {
        this->clock.After(period.begin - TimePoint{},
                          [this, number] { this->current[number]->alive = false; });
        this->clock.After(period.end - TimePoint{}, [this, number] { this->Start(number); });
      }
    }
  }
  this->clock.Spawn(this->ChangeConfiguration());
  this->clock.Spawn(this->Judge());
  this->clock.RunUntil(TimePoint{} + kLength);
  return this->violation;
}

double CopySpreadSimulation::refused_share() const {
  return this->calm_samples == 0
             ? 0.0
             : static_cast<double>(this->calm_refused) / static_cast<double>(this->calm_samples);
}

// -----------------------------------------------------------------------------
// Daemons

SimulatedTask<bool> CopySpreadSimulation::Sync(SpreadDaemon* self) {
  Duration retry = 100ms;
  for (;;) {
    bool succeeded = false;
    const std::vector<size_t> watchers = this->WatchersToFollow(self->number);
    Duration wait = this->schedule->FollowWait();
    for (const size_t watcher : watchers) {
      succeeded = co_await this->SyncFromPeer(self, watcher, wait, kAnswerLimit);
      if (succeeded) {
        break;
      }
      wait = Duration{};
    }
    if (!succeeded) {
      succeeded = co_await this->SyncFromStore(self);
    }
    self->reachable = succeeded;
    if (succeeded) {
      retry = 100ms;
      continue;
    }
    const size_t peer = RandomBelow(&this->random, this->fleet);
    co_await this->SyncFromPeer(self, peer, Duration{}, kAnswerLimit);
    const Duration pause = retry + RandomDuration(&this->random, retry);
    co_await this->clock.Sleep(pause, self);
    retry = std::min<Duration>(retry * 2, watchers.empty() ? 1s : 3s);
  }
}

SimulatedTask<bool> CopySpreadSimulation::Seek(SpreadDaemon* self) {
  for (;;) {
    const Duration interval = this->schedule->QueryInterval();
    co_await this->clock.Sleep(interval, self);
    const size_t others = this->fleet - 1;
    for (size_t query = 0; query < kQueries; ++query) {
      if (self->age.NeedsYoungerCopy(this->clock.Now())) {
        const size_t peer = (self->number + 1 + self->next_source++ % others) % this->fleet;
        this->clock.Spawn(this->SyncFromPeer(self, peer, Duration{}, kQueryLimit));
      }
    }
  }
}

SimulatedTask<bool> CopySpreadSimulation::SyncFromStore(SpreadDaemon* self) {
  const bool lists = self->version == 0 || self->is_relisting;
  const bool follows = this->fleet > kLargestWatchingFleet;
  Duration wait = follows ? this->schedule->WatcherWait() : this->schedule->WatchWait();
  const TimePoint sent = this->clock.Now();
  if (!self->reachable || self->age.NeedsYoungerCopy(sent)) {
    wait = std::min<Duration>(wait, 200ms);
  }
  const auto reply = std::make_shared<StoreReply>(&this->clock, self);
  const auto since = lists ? std::nullopt : std::optional(self->version);
  const bool stale_ok = lists && self->stale_ok;
  this->clock.Spawn(this->AnswerStore(reply, self->number, since, wait, stale_ok));
  this->clock.After(lists ? kCallLimit : wait + kWatchSlack,
                    [reply] { reply->Complete(std::nullopt); });
  const std::optional<StoreAnswer> answer = co_await *reply;
  if (!answer || answer->refused) {
    self->age.NoteStoreFailure(sent);
    co_return false;
  }
  if (answer->history_gone) {
    self->is_relisting = true;
    const bool listed = co_await this->SyncFromStore(self);
    co_return listed;
  }
  self->version = std::max(self->version, answer->version);
  self->stale_ok = self->stale_ok && !lists;
  self->is_relisting = false;
  if (stale_ok) {
    self->age.NoteStaleListing(this->clock.Now());
  } else {
    self->age.NoteStoreAnswer(sent, this->clock.Now());
  }
  co_return true;
}

SimulatedTask<bool> CopySpreadSimulation::SyncFromPeer(SpreadDaemon* self,
                                                       size_t peer,
                                                       Duration wait,
                                                       Duration limit) {
  if (peer == self->number || this->current[peer] == nullptr) {
    co_return false;
  }
  const auto reply = std::make_shared<PeerReply>(&this->clock, self);
  this->clock.Spawn(this->AnswerPeer(reply, this->current[peer], self->number, self->version, wait,
                                     this->clock.Now()));
  this->clock.After(wait + limit, [reply] { reply->Complete(std::nullopt); });
  const std::optional<PeerAnswer> answer = co_await *reply;
  if (!answer) {
    co_return false;
  }
  self->version = std::max(self->version, answer->version);
  co_return self->age.NotePeerAnswer(answer->copy, this->clock.Now());
}

SimulatedTask<bool> CopySpreadSimulation::AnswerPeer(std::shared_ptr<PeerReply> reply,
                                                     SpreadDaemon* self,
                                                     size_t asker,
                                                     uint64_t since,
                                                     Duration wait,
                                                     TimePoint sent) {
  if (!this->ReachEachOther(self->number, asker)) {
    co_return false;
  }
  const Duration request_delay = this->LinkDelay(self->number) + this->LinkDelay(asker);
  co_await this->clock.Sleep(request_delay, self);
  const TimePoint arrived = this->clock.Now();
  const TimePoint deadline = arrived + wait;
  const std::optional<Duration> known = self->age.Age(arrived);
  while (self->reachable && self->version <= since) {
    const TimePoint now = this->clock.Now();
    const std::optional<Duration> age = self->age.Age(now);
    const bool is_verified_again =
        this->schedule->HasKeys() && age &&
        (!known || *known + (now - arrived) - *age >= this->schedule->VerificationStep());
    const Duration silence = self->age.Silence(now).value_or(kLength);
    const Duration left = this->schedule->AnswerWait(deadline - now, silence);
    if (is_verified_again || left == Duration{}) {
      break;
    }
    const Duration step = std::min<Duration>(left, kPoll);
    co_await this->clock.Sleep(step, self);
  }
  PeerAnswer answer;
  answer.version = self->version;
  answer.copy.daemon = std::to_string(self->number);
  answer.copy.sent = sent;
  answer.copy.held = this->clock.Now() - arrived;
  answer.copy.age = self->age.Age(this->clock.Now());
  answer.copy.silence = self->age.Silence(this->clock.Now()).value_or(kLength);
  answer.copy.reachable = self->reachable && self->version > 0;
  const Duration delay = this->LinkDelay(self->number) + this->LinkDelay(asker);
  co_await this->clock.Sleep(delay, nullptr);
  if (this->ReachEachOther(self->number, asker)) {
    reply->Complete(answer);
  }
  co_return true;
}

// -----------------------------------------------------------------------------
// Store

SimulatedTask<bool> CopySpreadSimulation::AnswerStore(std::shared_ptr<StoreReply> reply,
                                                      size_t daemon,
                                                      std::optional<uint64_t> since,
                                                      Duration wait,
                                                      bool stale_ok) {
  const Duration request_delay = this->LinkDelay(daemon);
  co_await this->clock.Sleep(request_delay, nullptr);
  const TimePoint arrived = this->clock.Now();
  if (!this->ReachesStore(daemon) || this->Find(SpreadFault::kStoreDown, 0, arrived) != nullptr) {
    co_return false;
  }
  if (this->Find(SpreadFault::kStoreRefuses, daemon, arrived) != nullptr) {
    reply->Complete(StoreAnswer{0, true, false});
    co_return true;
  }
  StoreAnswer answer;
  if (since) {
    for (const SpreadFaultPeriod& period : this->faults) {
      const bool is_dropped = period.fault == SpreadFault::kHistoryGone && period.begin <= arrived;
      answer.history_gone |= is_dropped && *since < this->VersionAt(period.begin);
    }
    bool is_muted = false;
    answer.version = *since;
    while (!answer.history_gone && this->clock.Now() < arrived + wait && answer.version == *since) {
      if (!is_muted) {
        answer.version = std::max(*since, this->VersionAt(this->clock.Now()));
      }
      const Duration step = std::min<Duration>(kPoll, wait);
      co_await this->clock.Sleep(step, nullptr);
      for (const SpreadFaultPeriod& period : this->faults) {
        is_muted |= period.fault == SpreadFault::kHistoryGone && period.begin > arrived &&
                    period.begin <= this->clock.Now();
      }
    }
  } else {
    const Duration age = stale_ok ? RandomDuration(&this->random, kOldestListing) : Duration{};
    answer.version = this->VersionAt(std::max(TimePoint{}, arrived - age));
  }
  const SpreadFaultPeriod* slow = this->Find(SpreadFault::kStoreSlow, 0, this->clock.Now());
  const bool is_lost = this->Find(SpreadFault::kAnswersLost, 0, this->clock.Now()) != nullptr &&
                       RandomBelow(&this->random, 3) == 0;
  Duration delay = 4ms + this->LinkDelay(daemon);
  delay += slow == nullptr ? Duration{} : slow->delay;
  co_await this->clock.Sleep(delay, nullptr);
  if (!is_lost && this->ReachesStore(daemon)) {
    reply->Complete(answer);
  }
  co_return true;
}

SimulatedTask<bool> CopySpreadSimulation::ChangeConfiguration() {
  for (;;) {
    const Duration pause = 300ms + RandomDuration(&this->random, 4s);
    co_await this->clock.Sleep(pause, nullptr);
    this->acknowledged.push_back(this->clock.Now());
  }
}

uint64_t CopySpreadSimulation::VersionAt(TimePoint time) const {
  return static_cast<uint64_t>(
      std::upper_bound(this->acknowledged.begin(), this->acknowledged.end(), time) -
      this->acknowledged.begin());
}

// -----------------------------------------------------------------------------
// Checks

bool CopySpreadSimulation::IsPureOutage(TimePoint now, Duration time) const {
  return std::all_of(this->faults.begin(), this->faults.end(), [&](const auto& period) {
    const bool is_over = period.begin > now || period.end + time < now;
    return is_over || (period.fault == SpreadFault::kStoreDown && period.begin + time <= now &&
                       now < period.end);
  });
}

bool CopySpreadSimulation::IsCalm(TimePoint now, Duration time) const {
  return std::none_of(this->faults.begin(), this->faults.end(), [&](const auto& period) {
    return period.begin <= now && period.end + time >= now;
  });
}

size_t CopySpreadSimulation::ReachableOthers(size_t daemon) const {
  size_t count = 0;
  for (const SpreadDaemon* other : this->current) {
    count += other != nullptr && other->alive && other->number != daemon &&
                     this->ReachEachOther(daemon, other->number)
                 ? 1
                 : 0;
  }
  // A daemon whose link is full may take all others for lost.
  const bool is_full = this->Find(SpreadFault::kFullLinks, daemon, this->clock.Now()) != nullptr;
  return is_full ? 0 : count;
}

bool CopySpreadSimulation::IsInTouch(const SpreadDaemon& daemon,
                                     TimePoint now,
                                     Duration time) const {
  const bool is_disturbed =
      std::any_of(this->faults.begin(), this->faults.end(), [&](const auto& period) {
        const bool concerns_store = period.fault <= SpreadFault::kHistoryGone;
        return period.fault != SpreadFault::kFullLinks && period.begin <= now &&
               period.end + time >= now && (concerns_store || period.hit[daemon.number]);
      });
  return !is_disturbed && now - daemon.started >= time;
}

void CopySpreadSimulation::Fail(const SpreadDaemon& daemon, const std::string& what) {
  if (!this->violation.empty()) {
    return;
  }
  const TimePoint now = this->clock.Now();
  const std::optional<Duration> age = daemon.age.Age(now);
  this->violation = what + ": daemon " + std::to_string(daemon.number) + " of " +
                    std::to_string(this->fleet) + " at " +
                    std::to_string(ToMillis(now.time_since_epoch())) + " ms, bound " +
                    std::to_string(ToMillis(this->bound)) + " ms, version " +
                    std::to_string(daemon.version) + " of " + std::to_string(this->VersionAt(now)) +
                    ", age " + std::to_string(age ? ToMillis(*age) : -1) + " ms";
  this->clock.Stop();
}

void CopySpreadSimulation::JudgeDaemon(const SpreadDaemon& daemon) {
  const TimePoint now = this->clock.Now();
  const CopyUse use = daemon.age.Use(now, this->ReachableOthers(daemon.number));
  ++this->sample_count;
  const auto age = daemon.age.Age(now);
  if (age && daemon.version < this->VersionAt(now - *age)) {
    this->Fail(daemon, "the copy lacks a change that is older than its claimed age");
  }
  const bool is_outdated = daemon.version < this->VersionAt(now - this->bound);
  if (is_outdated && use == CopyUse::kAll) {
    this->Fail(daemon, "a database is refused as unknown by a copy that is older than the bound");
  }
  if (is_outdated && use == CopyUse::kKnownRoutes && this->IsInTouch(daemon, now, this->bound)) {
    this->Fail(daemon, "a route is served by a copy that is older than the bound");
  }
  if (age && *age > this->bound + this->bound / 4 && this->IsPureOutage(now, this->bound)) {
    ++this->outage_sample_count;
    this->outage_refused += use == CopyUse::kNothing ? 1 : 0;
  }
  if (this->IsCalm(now, 2 * this->bound) && now - daemon.started >= this->bound) {
    ++this->calm_samples;
    this->calm_refused += use == CopyUse::kAll ? 0 : 1;
  }
}

SimulatedTask<bool> CopySpreadSimulation::Judge() {
  for (;;) {
    co_await this->clock.Sleep(50ms, nullptr);
    for (const SpreadDaemon* daemon : this->current) {
      if (daemon != nullptr && daemon->alive && daemon->version > 0) {
        this->JudgeDaemon(*daemon);
      }
    }
  }
}

}  // namespace poplarmoor
