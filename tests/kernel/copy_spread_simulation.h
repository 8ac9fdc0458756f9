#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "kernel/change_schedule.h"
#include "kernel/copy_age.h"
#include "kernel/random.h"
#include "tests/kernel/simulated_clock.h"

namespace poplarmoor {

/// Fault of a simulated store, link or daemon.
enum class SpreadFault {
  kStoreDown,     // Calls are not answered.
  kStoreRefuses,  // Calls of some daemons are refused at once.
  kStoreSlow,     // Answers take longer.
  kAnswersLost,   // Some calls are not answered.
  kHistoryGone,   // The record of past changes is dropped; waiting watches hear nothing more.
  kStoreCut,      // Some daemons do not reach the store.
  kCut,           // Some daemons reach neither the store nor the others.
  kDomainCut,     // The daemons of a failure domain reach only each other.
  kFullLinks,     // Messages of some daemons wait in their links.
  kRestarts,      // Some daemons are killed and start again.
};

/// Fault in a period of a simulated run.
struct SpreadFaultPeriod {
  SpreadFault fault = SpreadFault::kStoreDown;
  TimePoint begin;
  TimePoint end;
  std::vector<bool> hit;  // By daemon.
  Duration delay{};       // Of an answer, or of each message in a full link.
};

/// Copy of the configuration at one simulated daemon.
struct SpreadDaemon : SimulatedProcess {
  SpreadDaemon(size_t number, const ChangeSchedule& schedule, TimePoint started)
      : number(number), started(started), age(schedule, started) {}

  size_t number;
  TimePoint started;
  uint64_t version = 0;
  bool reachable = true;
  bool stale_ok = true;
  bool is_relisting = false;
  size_t next_source = 0;  // Counts the daemons that were asked for a younger copy.
  CopyAge age;
};

/// Spreads changes of a configuration among daemons on a virtual clock and checks what each of them
/// claims of its copy and does with it. The decisions are those of CopyAge and ChangeSchedule; the
/// order of the calls is that of StoreSync.
class CopySpreadSimulation {
 public:
  explicit CopySpreadSimulation(uint64_t seed);

  /// @returns What was violated first; empty: nothing.
  std::string Run();

  /// @returns Share of the samples in which an undisturbed daemon refused anything.
  double refused_share() const;

  /// @returns Number of samples in which a daemon refused everything although only the store had
  ///     failed, and had done so for a time in which the daemons could learn this of each other.
  uint64_t refused_in_outage() const { return this->outage_refused; }

  uint64_t outage_samples() const { return this->outage_sample_count; }

  uint64_t samples() const { return this->sample_count; }

 private:
  struct StoreAnswer {
    uint64_t version = 0;
    bool refused = false;
    bool history_gone = false;
  };
  struct PeerAnswer {
    PeerCopy copy;
    uint64_t version = 0;
  };
  using StoreReply = SimulatedReply<std::optional<StoreAnswer>>;
  using PeerReply = SimulatedReply<std::optional<PeerAnswer>>;

  void PlanFaults();
  void Start(size_t number);
  const SpreadFaultPeriod* Find(SpreadFault fault, size_t daemon, TimePoint now) const;
  bool ReachesStore(size_t daemon) const;
  bool ReachEachOther(size_t left, size_t right) const;
  // Number of other daemons that a daemon takes to be in reach.
  size_t ReachableOthers(size_t daemon) const;
  Duration LinkDelay(size_t daemon);
  bool IsWatcher(size_t daemon) const;
  std::vector<size_t> WatchersToFollow(size_t daemon);

  SimulatedTask<bool> Sync(SpreadDaemon* self);
  SimulatedTask<bool> Seek(SpreadDaemon* self);
  SimulatedTask<bool> SyncFromStore(SpreadDaemon* self);
  SimulatedTask<bool> SyncFromPeer(SpreadDaemon* self, size_t peer, Duration wait, Duration limit);
  SimulatedTask<bool> AnswerStore(std::shared_ptr<StoreReply> reply,
                                  size_t daemon,
                                  std::optional<uint64_t> since,
                                  Duration wait,
                                  bool stale_ok);
  SimulatedTask<bool> AnswerPeer(std::shared_ptr<PeerReply> reply,
                                 SpreadDaemon* self,
                                 size_t asker,
                                 uint64_t since,
                                 Duration wait,
                                 TimePoint sent);
  SimulatedTask<bool> ChangeConfiguration();
  SimulatedTask<bool> Judge();
  void JudgeDaemon(const SpreadDaemon& daemon);

  // Newest version that was acknowledged at or before a time.
  uint64_t VersionAt(TimePoint time) const;
  // Whether the store is down, and nothing else has disturbed any daemon for a time.
  bool IsPureOutage(TimePoint now, Duration time) const;
  // Whether nothing has disturbed the store, the links or any daemon for a time.
  bool IsCalm(TimePoint now, Duration time) const;
  // Whether a daemon has been running, and has been connected to a store without faults, for a
  // time. Its link may be full.
  bool IsInTouch(const SpreadDaemon& daemon, TimePoint now, Duration time) const;
  void Fail(const SpreadDaemon& daemon, const std::string& what);

  RandomEngine random;
  SimulatedClock clock;
  Duration bound{};
  std::optional<ChangeSchedule> schedule;
  bool standby_watchers = false;
  size_t fleet = 0;
  std::vector<SpreadDaemon*> current;                    // Running daemons by number.
  std::vector<std::unique_ptr<SpreadDaemon>> processes;  // Including those that were killed.
  std::vector<SpreadFaultPeriod> faults;
  std::vector<TimePoint> acknowledged;  // By version - 1.
  std::string violation;
  uint64_t sample_count = 0;
  uint64_t calm_samples = 0;
  uint64_t calm_refused = 0;
  uint64_t outage_sample_count = 0;
  uint64_t outage_refused = 0;
};

}  // namespace poplarmoor
