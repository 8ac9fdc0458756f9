#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/member.h"

namespace poplarmoor {

/// @param key Endpoint, group or role.
/// @param daemon Name of a daemon.
/// @returns Score of the daemon in rendezvous hashing; the highest score wins.
uint64_t RendezvousScore(std::string_view key, std::string_view daemon);

/// Assigns endpoints, groups and watches to live daemons by rendezvous hashing. All daemons with
/// the same member table compute the same assignment.
class Ownership {
 public:
  /// Takes over a change of the member table. Members that are dead or leaving get no assignment.
  /// @returns Whether any assignment may have changed.
  bool Update(const Member& member);

  /// @param endpoint Name of an endpoint.
  /// @param failure_domain Its failure domain.
  /// @param max Upper limit of the result's size.
  /// @returns Daemons in rendezvous order, the owner first: those of the failure domain, then,
  ///     when these are fewer than two, those of other failure domains.
  std::vector<Member> OwnersOf(const std::string& endpoint,
                               const std::string& failure_domain,
                               size_t max = 4) const;

  /// @param service Name of a service.
  /// @returns The two monitors of its group, or fewer when there are fewer daemons.
  std::vector<Member> MonitorsOf(const std::string& service) const;

  /// @param failure_domain Failure domain.
  /// @returns The two daemons that watch the platform for it.
  std::vector<Member> WatchersOf(const std::string& failure_domain) const;

  /// Adds a group to those whose monitors are kept up to date.
  void AddGroup(const std::string& service);

  /// @param daemon Name of a daemon.
  /// @returns Groups that it monitors, sorted; only groups that were added.
  std::vector<std::string> GroupsOf(const std::string& daemon) const;

  /// @returns Number of changes of the assignments so far; caches compare it.
  uint64_t Generation() const { return this->changes; }

 private:
  /// Monitors of one group, by name and score.
  struct Monitors {
    std::string first;
    std::string second;
    uint64_t first_score = 0;
    uint64_t second_score = 0;
    std::string first_domain;
    std::string second_domain;
  };
  using Domain = std::map<std::string, Member>;

  std::vector<Member> TopOf(const std::string& key,
                            const std::string& failure_domain,
                            bool inside,
                            size_t max) const;
  Monitors Compute(const std::string& service) const;
  void UpdateMonitors(const Member& member, bool added);
  const Member* Find(const std::string& daemon) const;

  std::map<std::string, Domain> domains;
  std::map<std::string, std::string> domain_of;  // By daemon.
  std::map<std::string, Monitors> groups;
  uint64_t changes = 0;
};

}  // namespace poplarmoor
