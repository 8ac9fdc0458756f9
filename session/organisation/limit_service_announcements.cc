#include <boost/asio/co_spawn.hpp>

#include "net/peer_network.h"
#include "session/background_task.h"
#include "session/boot_clock.h"
#include "session/cluster.h"
#include "session/organisation/limit_service.h"
#include "session/wait_list.h"
#include "telemetry/log.h"
#include "wire/relay_codec.h"

namespace poplarmoor {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds kAnnounceTimeout{500};
constexpr Duration kAnnounceInterval = 1s;
// Announcements under way at the same time, so that a new daemon of a large fleet does not open
// hundreds of connections at once.
constexpr size_t kAnnouncementsAtOnce = 16;
// A daemon that announced itself is added to the listed ones for this time, or for the time per
// daemon if that is longer: listings may be some seconds old, and are rarer in a large fleet.
constexpr Duration kAnnouncedTime = 60s;
constexpr Duration kAnnouncedTimePerDaemon = 600ms;
// A daemon that was down when the new daemon announced itself is told again for this time: its
// first listing after its start may be some seconds old.
constexpr Duration kAnnounceTime = 45s;

}  // namespace

/// Announcement of this daemon to several others.
struct LimitService::Announcement {
  explicit Announcement(asio::any_io_executor executor) : ended(std::move(executor)) {}

  std::vector<Peer> remaining;      // Daemons that are still to be called in this pass.
  std::set<std::string> informed;   // Daemons that have answered.
  std::set<std::string> unreached;  // Daemons that may run and have not answered in this pass.
  bool established = false;         // A daemon of the own domain that issues tokens has answered.
  int running = 0;                  // Tasks that call daemons.
  WaitList ended;                   // Notified when a task ends.
};

asio::awaitable<void> LimitService::Announce() {
  const TimePoint begun = BootNow();
  const auto announcement = std::make_shared<Announcement>(this->executor);
  bool to_all = false;
  while (BootNow() - begun < kAnnounceTime || this->permission.MustAnnounce(BootNow())) {
    this->Refresh();
    const bool affects_all = this->plan.AffectsOtherDomains(this->self);
    to_all = to_all || affects_all;
    announcement->remaining =
        to_all ? this->plan.Daemons() : this->plan.DaemonsOf(this->self.failure_domain);
    std::erase_if(announcement->remaining, [this, &announcement](const Peer& peer) {
      return peer.daemon == this->self.daemon || announcement->informed.contains(peer.daemon);
    });
    if (announcement->remaining.empty() && !this->permission.MustAnnounce(BootNow())) {
      co_return;
    }
    if (announcement->remaining.empty() || this->cluster->relays().peers() != nullptr) {
      co_await this->RunAnnouncements(announcement);
      if (announcement->established && !affects_all) {
        this->permission.NoteDomainEstablished();
      } else if (!to_all) {
        // No issuer of the own domain has answered, so the other domains have to know this daemon.
        to_all = true;
        continue;
      }
      if (announcement->unreached.empty() && this->permission.MustAnnounce(BootNow())) {
        Log(LogLevel::kInfo, "daemon announced as an issuer",
            {{"informed", announcement->informed.size()},
             {"elapsed_ms", ToMillis(BootNow() - begun)}});
        this->permission.NoteAnnounced();
        this->Refresh();
      }
    }
    co_await Pause(kAnnounceInterval);
  }
}

asio::awaitable<void> LimitService::RunAnnouncements(std::shared_ptr<Announcement> announcement) {
  announcement->unreached.clear();
  const size_t tasks = std::min(announcement->remaining.size(), kAnnouncementsAtOnce);
  for (size_t i = 0; i < tasks; ++i) {
    ++announcement->running;
    SpawnTask(this->executor, "announce this daemon as an issuer", this->AnnounceTo(announcement),
              [announcement] {
                --announcement->running;
                announcement->ended.NotifyAll();
              });
  }
  while (announcement->running > 0) {
    co_await announcement->ended.Wait(kAnnounceInterval);
  }
}

asio::awaitable<void> LimitService::AnnounceTo(std::shared_ptr<Announcement> announcement) {
  IssuerJoined joined;
  joined.daemon = this->self.daemon;
  joined.address = this->self.address;
  joined.failure_domain = this->self.failure_domain;
  const std::string body = EncodeIssuerJoined(joined);
  while (!announcement->remaining.empty()) {
    const Peer peer = announcement->remaining.back();
    announcement->remaining.pop_back();
    announcement->unreached.insert(peer.daemon);
    PeerMessage message(kIssuerJoinedMessage, body);
    try {
      const PeerMessage answer = co_await this->cluster->relays().peers()->Call(
          peer.address, std::move(message), kAnnounceTimeout, PeerCallKind::kRepeatable);
      const bool is_near = peer.failure_domain == this->self.failure_domain;
      const bool is_issuer = DecodeIssuerAdded(answer.body).may_issue;
      announcement->established = announcement->established || (is_near && is_issuer);
      announcement->informed.insert(peer.daemon);
      announcement->unreached.erase(peer.daemon);
    } catch (const PeerError& error) {
      Log(LogLevel::kDebug, "cannot announce this daemon as an issuer",
          {{"peer", peer.daemon}, {"cause", error.what()}});
      // A daemon that does not run issues no tokens either. It is called again in the next pass.
      if (error.connection_refused) {
        announcement->unreached.erase(peer.daemon);
      }
    }
  }
}

asio::awaitable<PeerMessage> LimitService::HandleIssuerJoined(PeerMessage message) {
  const IssuerJoined joined = DecodeIssuerJoined(message.body);
  Peer peer;
  peer.daemon = joined.daemon;
  peer.address = joined.address;
  peer.failure_domain = joined.failure_domain;
  const size_t daemon_count = this->cluster->relays().plan().size();
  const Duration kept = std::max<Duration>(kAnnouncedTime, daemon_count * kAnnouncedTimePerDaemon);
  this->announced[joined.daemon] = {peer, BootNow() + kept};
  this->announced_changed = true;
  this->Refresh();
  Log(LogLevel::kInfo, "new issuer added", {{"peer", joined.daemon}});
  IssuerAdded added;
  added.may_issue = this->issuing;
  co_return PeerMessage(kIssuerJoinedMessage, EncodeIssuerAdded(added));
}

}  // namespace poplarmoor
