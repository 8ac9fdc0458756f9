#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace poplarmoor {

/// Decides which members of a group the store's record of the group is to name. Daemons that start
/// during an outage find only some of the members in the registry, and learn of the others from
/// this record.
/// @param recorded Ids of the members that the record names. All of them are in `known`, except for
///     those that MembersToForget() has named since.
/// @param known Whether each member that this daemon knows is departed, by id.
/// @returns Ids of the registered members and of the departed ones that the record already names.
///     A departed member that the record lacks was forgotten by another daemon.
std::set<std::string> MembersToRecord(const std::set<std::string>& recorded,
                                      const std::map<std::string, bool>& known);

/// @param service Name of the service.
/// @param self Name of this daemon.
/// @param daemons Names of all live daemons.
/// @returns Place of this daemon in the order in which daemons write the record of the service's
///     members; 0 is the first one. Without a failure only the first daemon calls the store.
size_t RecorderRank(const std::string& service,
                    const std::string& self,
                    const std::vector<std::string>& daemons);

}  // namespace poplarmoor
