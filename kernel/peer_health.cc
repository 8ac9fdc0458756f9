#include "kernel/peer_health.h"

#include <algorithm>

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
}

void PeerHealth::NoteAnswer(const Peer& peer, TimePoint now) {
  const bool healed = this->IsCut(peer.failure_domain, now);
  this->last_answers[peer.failure_domain] = now;
  this->lost.erase(peer.address);
  if (!healed) {
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

bool PeerHealth::IsLost(const Peer& peer, TimePoint now) const {
  if (this->lost.empty()) {
    return false;
  }
  return this->lost.contains(peer.address) || this->IsCut(peer.failure_domain, now);
}

bool PeerHealth::IsCut(const std::string& failure_domain, TimePoint now) const {
  if (failure_domain == this->own_domain || this->LostIn(failure_domain) < kLostOfCut) {
    return false;
  }
  const auto answer = this->last_answers.find(failure_domain);
  return answer == this->last_answers.end() || now - answer->second > kRecentAnswer;
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

std::vector<Peer> PeerHealth::WitnessesFor(const Peer& failed,
                                           const std::vector<Peer>& live,
                                           RandomEngine* random) const {
  const size_t known = this->LostIn(failed.failure_domain);
  std::vector<Peer> others;
  for (const Peer& peer : live) {
    if (peer.failure_domain == failed.failure_domain && !peer.address.empty() &&
        !this->lost.contains(peer.address)) {
      others.push_back(peer);
    }
  }
  std::shuffle(others.begin(), others.end(), *random);
  others.resize(std::min(others.size(), known < kLostOfCut ? kLostOfCut - known : 0));
  return others;
}

std::vector<Peer> PeerHealth::TakeDueProbes(TimePoint now) {
  std::map<std::string, size_t> chosen;  // By failure domain that is cut off.
  std::vector<Peer> due;
  for (auto& [address, entry] : this->lost) {
    if (now < entry.next_probe) {
      continue;
    }
    const std::string& domain = entry.peer.failure_domain;
    if (this->IsCut(domain, now) && ++chosen[domain] > kProbesPerDomain) {
      continue;
    }
    entry.next_probe = now + entry.interval;
    due.push_back(entry.peer);
  }
  return due;
}

void PeerHealth::Retain(const std::vector<Peer>& live) {
  std::erase_if(this->lost, [&live](const auto& entry) {
    return std::none_of(live.begin(), live.end(),
                        [&entry](const Peer& peer) { return peer.address == entry.first; });
  });
}

}  // namespace poplarmoor
