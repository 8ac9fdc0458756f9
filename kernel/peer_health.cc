#include "kernel/peer_health.h"

#include <algorithm>
#include <iterator>

namespace poplarmoor {

namespace {

// Minimum number of lost daemons (daemons that do not answer) for their failure domain to count as
// partitioned, if none of its daemons has answered recently.
constexpr size_t kMinLostForPartition = 3;
// Time from the first unanswered call, after which a daemon counts as lost, to the first probe of
// the daemon: about the time that a process restart takes.
constexpr Duration kProbeInterval = 400ms;
// Maximum time between two probes of a lost daemon; the time doubles with each failed probe. The
// maximum is short compared to a partition of several seconds.
constexpr Duration kMaxProbeInterval = 1600ms;
// Number of daemons of a partitioned failure domain that are probed at the same time. One answer
// suffices to end the domain's partitioned state.
constexpr size_t kProbesPerDomain = 3;
// If a daemon of a failure domain answered less than this time before a call or probe of a daemon
// of the domain fails, this failure does not make the domain count as partitioned. The value is
// longer than it takes to detect the first lost daemons after a domain is cut off: the silence
// after which a daemon is pinged (kSuspiciousSilence) plus the ping's time limit (kPingTimeout).
constexpr Duration kRecentAnswer = 300ms;
// Time for which a gateway is not used for an endpoint after it reported that it cannot reach the
// endpoint: about the time until the gateway itself probes the endpoint again.
constexpr Duration kUnreachableRetryDelay = 500ms;

}  // namespace

void PeerHealth::NoteFailure(const Peer& peer, TimePoint now) {
  const auto [place, added] = this->lost.try_emplace(peer.address);
  LostPeer& entry = place->second;
  entry.peer = peer;
  entry.interval = added ? kProbeInterval : std::min(entry.interval * 2, kMaxProbeInterval);
  entry.next_probe = now + entry.interval;
  const std::string& domain = peer.failure_domain;
  const auto answer = this->last_answers.find(domain);
  const bool answered = answer != this->last_answers.end() && now - answer->second < kRecentAnswer;
  if (domain != this->own_domain && !answered &&
      this->CountLostIn(domain) >= kMinLostForPartition) {
    this->partitioned_domains.try_emplace(domain, now + kProbeInterval);
  }
}

void PeerHealth::NoteAnswer(const Peer& peer, TimePoint now) {
  this->last_answers[peer.failure_domain] = now;
  if (this->lost.empty() && this->partitioned_domains.empty()) {
    return;
  }
  this->lost.erase(peer.address);
  if (this->partitioned_domains.erase(peer.failure_domain) == 0) {
    return;
  }
  // The other lost daemons of the domain are probed immediately, so that statements soon
  // reach them again.
  for (auto& [address, entry] : this->lost) {
    if (entry.peer.failure_domain == peer.failure_domain) {
      entry.next_probe = now;
      entry.interval = kProbeInterval;
    }
  }
}

void PeerHealth::NoteUnreachable(const std::string& endpoint, const Peer& peer, TimePoint now) {
  std::erase_if(this->unreachable_until, [now](const auto& entry) { return entry.second <= now; });
  this->unreachable_until[{endpoint, peer.address}] = now + kUnreachableRetryDelay;
}

bool PeerHealth::IsLost(const Peer& peer) const {
  return this->lost.contains(peer.address) ||
         this->partitioned_domains.contains(peer.failure_domain);
}

bool PeerHealth::IsUnreachable(const std::string& endpoint, const Peer& peer, TimePoint now) const {
  const auto found = this->unreachable_until.find({endpoint, peer.address});
  return found != this->unreachable_until.end() && now < found->second;
}

size_t PeerHealth::CountLostIn(const std::string& failure_domain) const {
  return static_cast<size_t>(
      std::count_if(this->lost.begin(), this->lost.end(), [&failure_domain](const auto& entry) {
        return entry.second.peer.failure_domain == failure_domain;
      }));
}

std::vector<Peer> PeerHealth::TakeDueProbes(TimePoint now, RandomEngine* random) {
  std::vector<Peer> due;
  for (auto& [address, entry] : this->lost) {
    if (now >= entry.next_probe && !this->partitioned_domains.contains(entry.peer.failure_domain)) {
      entry.next_probe = now + entry.interval;
      due.push_back(entry.peer);
    }
  }
  for (auto& [domain, next_probe] : this->partitioned_domains) {
    if (now < next_probe) {
      continue;
    }
    next_probe = now + kProbeInterval;
    std::vector<Peer> members;
    for (const Peer& peer : this->live_peers) {
      if (peer.failure_domain == domain) {
        members.push_back(peer);
      }
    }
    std::sample(members.begin(), members.end(), std::back_inserter(due), kProbesPerDomain, *random);
  }
  return due;
}

void PeerHealth::SetPeers(std::vector<Peer> live) {
  this->live_peers = std::move(live);
  std::erase_if(this->lost, [this](const auto& entry) {
    return std::none_of(this->live_peers.begin(), this->live_peers.end(),
                        [&entry](const Peer& peer) { return peer.address == entry.first; });
  });
}

}  // namespace poplarmoor
