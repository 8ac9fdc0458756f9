#include "kernel/peer_health.h"

#include <algorithm>
#include <iterator>

namespace poplarmoor {

namespace {

// So many lost daemons of one failure domain, without an answer from it, mean that it is cut off.
constexpr size_t kLostOfCut = 3;
// A lost daemon is asked again after this time; about that of a process restart.
constexpr Duration kProbeInterval = 400ms;
// The interval doubles up to this one, which is short against a cut of some seconds.
constexpr Duration kMaxProbeInterval = 1600ms;
// Probes of a cut failure domain at the same time; one answer ends the cut.
constexpr size_t kProbesPerDomain = 3;
// A domain that has answered within this time is not cut off. Above the time in which its first
// lost daemons are found: silence and two probes.
constexpr Duration kRecentAnswer = 300ms;
// A gateway that lost an endpoint is left alone for about the time of the gateway's own next probe.
constexpr Duration kUnreachedPause = 500ms;

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
  if (domain != this->own_domain && !answered && this->LostIn(domain) >= kLostOfCut) {
    this->cut.try_emplace(domain, now + kProbeInterval);
  }
}

void PeerHealth::NoteAnswer(const Peer& peer, TimePoint now) {
  this->last_answers[peer.failure_domain] = now;
  if (this->lost.empty() && this->cut.empty()) {
    return;
  }
  this->lost.erase(peer.address);
  if (this->cut.erase(peer.failure_domain) == 0) {
    return;
  }
  // The others are probed at once, so that they are back soon.
  for (auto& [address, entry] : this->lost) {
    if (entry.peer.failure_domain == peer.failure_domain) {
      entry.next_probe = now;
      entry.interval = kProbeInterval;
    }
  }
}

void PeerHealth::NoteUnreached(const std::string& endpoint, const Peer& peer, TimePoint now) {
  std::erase_if(this->unreached, [now](const auto& entry) { return entry.second <= now; });
  this->unreached[{endpoint, peer.address}] = now + kUnreachedPause;
}

bool PeerHealth::IsLost(const Peer& peer) const {
  return this->lost.contains(peer.address) || this->cut.contains(peer.failure_domain);
}

bool PeerHealth::IsUnreached(const std::string& endpoint, const Peer& peer, TimePoint now) const {
  const auto found = this->unreached.find({endpoint, peer.address});
  return found != this->unreached.end() && now < found->second;
}

size_t PeerHealth::LostIn(const std::string& failure_domain) const {
  return static_cast<size_t>(
      std::count_if(this->lost.begin(), this->lost.end(), [&failure_domain](const auto& entry) {
        return entry.second.peer.failure_domain == failure_domain;
      }));
}

std::vector<Peer> PeerHealth::TakeDueProbes(TimePoint now, RandomEngine* random) {
  std::vector<Peer> due;
  for (auto& [address, entry] : this->lost) {
    if (now >= entry.next_probe && !this->cut.contains(entry.peer.failure_domain)) {
      entry.next_probe = now + entry.interval;
      due.push_back(entry.peer);
    }
  }
  for (auto& [domain, next_probe] : this->cut) {
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
