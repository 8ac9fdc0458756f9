#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "kernel/organisation/issuer_permission.h"
#include "kernel/organisation/issuer_plan.h"
#include "kernel/organisation/token_account.h"
#include "kernel/organisation/token_issuer.h"
#include "kernel/random.h"

namespace poplarmoor {

/// A fleet that limits the operations of one organisation, on a virtual clock. Calls between
/// daemons take no time; those across a cut between failure domains and to dead or frozen daemons
/// are not answered.
class LimitSimulation {
 public:
  LimitSimulation(size_t domains, size_t daemons, double rate, uint64_t seed);

  /// One operation at a daemon.
  /// @returns Whether it was served.
  bool Operate(size_t daemon);

  /// Runs operations with exponentially distributed gaps.
  /// @param demand Operations per second of the fleet.
  /// @param uneven Whether most operations arrive in the first failure domain.
  /// @returns Share of the operations that were served.
  double Run(double demand, Duration duration, bool uneven = false);

  /// Lets time pass; the daemons list each other at their intervals.
  void Advance(Duration duration);

  void SetRate(double rate);
  void SetDomainCut(size_t domain, bool cut);
  void Kill(size_t daemon);
  void Restart(size_t daemon);  ///< Restarts a daemon under the entry that it had.
  void AddDaemon(size_t domain);

  /// @returns Largest number of operations served in any window of 5 s.
  size_t LargestWindow() const { return this->largest_window; }

  /// @returns Largest excess of any window of 5 s over (rate * 5 + burst) * 1.1 + 20, with the
  ///     highest rate in force in the window; negative when the bound holds.
  double LargestExcess() const { return this->largest_excess; }

  size_t size() const { return this->daemons.size(); }
  RandomEngine* random() { return &this->engine; }

 private:
  struct Daemon {
    Peer peer;
    bool alive = true;
    size_t domain = 0;
    IssuerPlan plan;
    std::vector<Peer> issuers;
    std::unique_ptr<TokenIssuer> issuer;
    IssuerPermission permission;
    bool issuing = false;  // State for which `issuer` was updated last.
    TokenAccount account;
    TimePoint next_listing;
    TimePoint next_entry_write;
    std::map<std::string, Peer> announced;
  };
  // A daemon's entry in the store, which cannot be reached from a domain that is cut off.
  struct Entry {
    Peer peer;
    TimePoint written;
  };

  bool Reaches(const Daemon& from, const Daemon& to) const;
  void WriteEntry(Daemon* daemon, bool first_fleet_start = false);
  void List(Daemon* daemon);
  // Lets the daemon's buckets follow its permission to issue, and its list of daemons and the limit
  // if these have changed.
  void Follow(Daemon* daemon, bool changed);
  void Announce(Daemon* daemon);
  void Tick();
  bool TakeToken(Daemon* daemon);
  void NoteServed();

  TimePoint now = TimePoint(1000s);
  std::vector<std::unique_ptr<Daemon>> daemons;
  std::map<std::string, Entry> store;
  std::set<size_t> cut_domains;
  OrganisationTable organisations;
  double rate;
  double previous_rate;          // Rate before the last change.
  TimePoint previous_until;      // The previous rate may show in windows up to this time.
  std::deque<TimePoint> window;  // Served operations of the last 5 s.
  size_t largest_window = 0;
  double largest_excess = -1e9;
  RandomEngine engine;
};

}  // namespace poplarmoor
