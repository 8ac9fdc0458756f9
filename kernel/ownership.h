#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/member.h"

namespace poplarmoor {

/// @param key Name of an endpoint, group or role.
/// @param daemon Name of a daemon.
/// @returns Rendezvous hashing score of the daemon for the key. The key is assigned to the daemon
///     with the highest score.
uint64_t RendezvousScore(std::string_view key, std::string_view daemon);

/// Assigns the ownership of endpoints, the monitoring of groups and the watching of the platform to
/// live daemons by rendezvous hashing. Daemons with equal member tables compute equal assignments.
class Ownership {
 public:
  /// Applies a change of the member table. Dead and leaving members get no assignment.
  /// @returns Whether any assignment may have changed.
  bool Update(const Member& member);

  /// @param endpoint Name of an endpoint.
  /// @param failure_domain Failure domain of the endpoint.
  /// @param max Maximum number of daemons taken from the failure domain.
  /// @returns Daemons of the failure domain by descending rendezvous score, the owner first. If the
  ///     domain has fewer than two daemons, up to two daemons of other failure domains follow.
  std::vector<Member> OwnersOf(const std::string& endpoint,
                               const std::string& failure_domain,
                               size_t max = 4) const;

  /// @param service Name of a service.
  /// @returns The two daemons that monitor the service's group, in different failure domains if
  ///     possible; fewer if there are fewer daemons.
  std::vector<Member> MonitorsOf(const std::string& service) const;

  /// @param failure_domain Name of a failure domain.
  /// @returns The two daemons that read changes from the platform for all daemons of the domain.
  std::vector<Member> WatchersOf(const std::string& failure_domain) const;

  /// Adds a group. Its two monitoring daemons are computed now and updated with each member change.
  /// @param service Name of the group's service.
  void AddGroup(const std::string& service);

  /// @param daemon Name of a daemon.
  /// @returns Sorted names of the groups that the daemon monitors, among those added by AddGroup.
  std::vector<std::string> GroupsOf(const std::string& daemon) const;

  /// @returns Number of changes to the assignments so far. A caller's cached assignments are valid
  ///     while this number stays the same.
  uint64_t Generation() const { return this->assignment_changes; }

 private:
  /// The daemons that monitor one group, with their rendezvous scores and failure domains.
  struct Monitors {
    std::string first;
    std::string second;
    uint64_t first_score = 0;
    uint64_t second_score = 0;
    std::string first_domain;
    std::string second_domain;
  };
  using Domain = std::map<std::string, Member>;

  std::vector<Member> HighestScored(const std::string& key,
                                    const std::string& failure_domain,
                                    bool inside,
                                    size_t max) const;
  Monitors ComputeMonitors(const std::string& service) const;
  void UpdateMonitors(const Member& member, bool added);
  const Member* Find(const std::string& daemon) const;

  std::map<std::string, Domain> domains;         // Assignable daemons by failure domain.
  std::map<std::string, std::string> domain_of;  // Failure domain of each daemon, by daemon name.
  std::map<std::string, Monitors> groups;        // Groups added by AddGroup(), by service name.
  uint64_t assignment_changes = 0;
};

}  // namespace poplarmoor
