#include "kernel/ownership.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace poplarmoor {

namespace {

using Scored = std::pair<uint64_t, const Member*>;

bool HigherScore(const Scored& a, const Scored& b) {
  return a.first > b.first;
}

// If an endpoint's failure domain has fewer assignable daemons than this, up to this many daemons
// of other domains also become owners of the endpoint.
constexpr size_t kMinOwners = 2;

constexpr std::string_view kWatcherKey = "platform-watch";

}  // namespace

uint64_t RendezvousScore(std::string_view key, std::string_view daemon) {
  return XXH64(daemon.data(), daemon.size(), XXH64(key.data(), key.size(), 0));
}

bool Ownership::Update(const Member& member) {
  const bool assignable =
      member.state == MemberState::kAlive || member.state == MemberState::kSuspect;
  const Member* current = this->Find(member.daemon);
  if (current == nullptr && !assignable) {
    return false;
  }
  if (current != nullptr && assignable && current->address == member.address &&
      current->failure_domain == member.failure_domain) {
    return false;
  }
  ++this->assignment_changes;
  if (current != nullptr) {
    const Member old = *current;
    this->domains[old.failure_domain].erase(old.daemon);
    this->domain_of.erase(old.daemon);
    this->UpdateMonitors(old, /*added=*/false);
  }
  if (assignable) {
    this->domains[member.failure_domain][member.daemon] = member;
    this->domain_of[member.daemon] = member.failure_domain;
    this->UpdateMonitors(member, /*added=*/true);
  }
  return true;
}

const Member* Ownership::Find(const std::string& daemon) const {
  const auto domain = this->domain_of.find(daemon);
  return domain == this->domain_of.end() ? nullptr : &this->domains.at(domain->second).at(daemon);
}

std::vector<Member> Ownership::HighestScored(const std::string& key,
                                             const std::string& failure_domain,
                                             bool inside,
                                             size_t max) const {
  std::vector<Scored> scored;
  for (const auto& [name, domain] : this->domains) {
    if ((name == failure_domain) == inside) {
      for (const auto& entry : domain) {
        scored.emplace_back(RendezvousScore(key, entry.first), &entry.second);
      }
    }
  }
  const size_t count = std::min(max, scored.size());
  std::partial_sort(scored.begin(), scored.begin() + static_cast<ptrdiff_t>(count), scored.end(),
                    HigherScore);
  std::vector<Member> result;
  for (size_t i = 0; i < count; ++i) {
    result.push_back(*scored[i].second);
  }
  return result;
}

std::vector<Member> Ownership::OwnersOf(const std::string& endpoint,
                                        const std::string& failure_domain,
                                        size_t max) const {
  std::vector<Member> owners = this->HighestScored(endpoint, failure_domain, /*inside=*/true, max);
  if (owners.size() < kMinOwners) {
    for (Member& other :
         this->HighestScored(endpoint, failure_domain, /*inside=*/false, kMinOwners)) {
      owners.push_back(std::move(other));
    }
  }
  return owners;
}

std::vector<Member> Ownership::WatchersOf(const std::string& failure_domain) const {
  return this->HighestScored(std::string(kWatcherKey), failure_domain, /*inside=*/true, 2);
}

std::vector<Member> Ownership::MonitorsOf(const std::string& service) const {
  const auto found = this->groups.find(service);
  const Monitors monitors =
      found == this->groups.end() ? this->ComputeMonitors(service) : found->second;
  std::vector<Member> result;
  for (const std::string& daemon : {monitors.first, monitors.second}) {
    const Member* member = this->Find(daemon);
    if (member != nullptr) {
      result.push_back(*member);
    }
  }
  return result;
}

Ownership::Monitors Ownership::ComputeMonitors(const std::string& service) const {
  Monitors best;
  for (const auto& [name, domain] : this->domains) {
    for (const auto& entry : domain) {
      const uint64_t score = RendezvousScore(service, entry.first);
      if (best.first.empty() || score > best.first_score) {
        best.first = entry.first;
        best.first_score = score;
        best.first_domain = name;
      }
    }
  }
  for (const bool other_domain : {true, false}) {
    for (const auto& [name, domain] : this->domains) {
      if ((name != best.first_domain) != other_domain) {
        continue;
      }
      for (const auto& entry : domain) {
        const uint64_t score = RendezvousScore(service, entry.first);
        if (entry.first != best.first && (best.second.empty() || score > best.second_score)) {
          best.second = entry.first;
          best.second_score = score;
          best.second_domain = name;
        }
      }
    }
    if (!best.second.empty()) {
      break;
    }
  }
  return best;
}

void Ownership::AddGroup(const std::string& service) {
  if (!this->groups.contains(service)) {
    this->groups[service] = this->ComputeMonitors(service);
    ++this->assignment_changes;
  }
}

void Ownership::UpdateMonitors(const Member& member, bool added) {
  // For most groups, a comparison of scores shows that the monitoring daemons stay the same. The
  // monitoring daemons of a group are selected again from all daemons only if the change may affect
  // them.
  for (auto& [service, monitors] : this->groups) {
    if (!added) {
      if (monitors.first == member.daemon || monitors.second == member.daemon) {
        monitors = this->ComputeMonitors(service);
      }
      continue;
    }
    const uint64_t score = RendezvousScore(service, member.daemon);
    const bool second_shares_domain =
        monitors.second.empty() || monitors.second_domain == monitors.first_domain;
    if (score > monitors.first_score || score > monitors.second_score || second_shares_domain) {
      monitors = this->ComputeMonitors(service);
    }
  }
}

std::vector<std::string> Ownership::GroupsOf(const std::string& daemon) const {
  std::vector<std::string> result;
  for (const auto& [service, monitors] : this->groups) {
    if (monitors.first == daemon || monitors.second == daemon) {
      result.push_back(service);
    }
  }
  return result;
}

}  // namespace poplarmoor
