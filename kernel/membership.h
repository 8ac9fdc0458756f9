#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "kernel/gossip_message.h"
#include "kernel/member.h"
#include "kernel/member_table.h"
#include "kernel/random.h"
#include "kernel/time.h"

namespace poplarmoor {

/// Intervals of the membership protocol.
struct MembershipOptions {
  Duration probe_interval = 1000ms;    // Between probes within the failure domain.
  Duration probe_timeout = 300ms;      // Until indirect probes are sent.
  Duration indirect_timeout = 500ms;   // Until the member is suspected.
  size_t indirect_probes = 3;          // Members asked to probe on this daemon's behalf.
  Duration suspicion_period = 3000ms;  // Until a suspected member is declared dead.
  Duration digest_interval = 2000ms;   // Between exchanges with other failure domains.
  Duration rejoin_interval = 10000ms;  // Between contacts to seeds and dead members.
  Duration dead_retention = 2h;        // Until a dead member is forgotten.
  Duration pause_threshold = 700ms;    // A longer gap between ticks means that this daemon paused.
  size_t max_updates = 12;             // Updates piggybacked on one message.
  size_t news_fanout = 3;              // Random members that are told of a change at once.
};

/// Membership in the style of SWIM. Members of one failure domain probe each other; digests between
/// failure domains spread and repair the member table and detect the loss of a whole domain.
class Membership {
 public:
  /// @param self Description of this daemon. Its incarnation must exceed that of earlier starts as
  ///     far as possible, for example by using the wall clock.
  /// @param options Intervals.
  /// @param random Generator; must outlive the object.
  Membership(Member self, MembershipOptions options, RandomEngine* random);

  /// Sets the first contacts.
  /// @param addresses Peer addresses ("IP:port") from the settings and the platform's VM list.
  void SetSeeds(std::vector<std::string> addresses);

  /// Takes over a member table without spreading it, for a start with a known table.
  /// @param members Members; an entry for this daemon is ignored.
  void LoadTable(const std::vector<Member>& members);

  /// Advances probes, suspicions and digests. Call every 100 ms or so.
  void Tick(TimePoint now);

  /// Handles a message of another daemon.
  void Receive(const GossipMessage& message, TimePoint now);

  /// Announces that this daemon stops soon and owns nothing any more.
  void Leave();

  /// Announces that this daemon stops now.
  void Stop();

  /// Sets the configuration hash that outgoing messages carry.
  void SetConfigHash(uint64_t hash) { this->config_hash = hash; }

  /// @returns Messages to send, in order; they are handed out once.
  std::vector<GossipEnvelope> TakeOutgoing();

  /// @returns Members whose state or address changed, in order; handed out once.
  std::vector<Member> TakeChanges();

  /// @returns Description of this daemon.
  const Member& Self() const { return this->self_info; }

  /// @returns All known members, this daemon and the dead ones included.
  const MemberTable& Table() const { return this->members; }

  /// @param max Upper limit of the result's size.
  /// @returns Random members that are not dead, without this daemon.
  std::vector<Member> RandomPeers(size_t max);

 private:
  /// A probe that waits for its answer.
  struct Probe {
    std::string target;
    TimePoint deadline;
    bool indirect = false;  // The indirect probes have been sent.
  };
  /// A probe sent on behalf of another daemon.
  struct Relay {
    std::string daemon;
    std::string address;
    uint64_t sequence = 0;
    TimePoint expires;
  };
  /// A change that is still piggybacked on messages.
  struct Rumour {
    std::string daemon;
    int sends_left = 0;
  };

  GossipMessage MakeMessage(GossipKind kind, uint64_t sequence);
  GossipMessage MakeNotice(const Member& accused);
  void Send(const Member& to, GossipMessage message);
  void Answer(const GossipMessage& message, GossipKind kind);
  void AddUpdates(GossipMessage* message);
  void StartProbe(const Member& target, GossipKind kind, TimePoint now);
  void ProbeNext(TimePoint now);
  void DigestNext(TimePoint now);
  void Rejoin(TimePoint now);
  void PushNews();
  void ExpireProbes(TimePoint now);
  void ExpireSuspicions(TimePoint now);
  void SendIndirect(const std::string& target, uint64_t sequence);
  void RecoverFromPause(TimePoint now);
  void Apply(const Member& update, const Member& from, TimePoint now);
  void ApplyToSelf(const Member& update);
  bool Store(const Member& update, TimePoint now);
  void Suspect(const std::string& daemon, TimePoint now);
  void Spread(const std::string& daemon);
  bool HandleDeadSender(const GossipMessage& message);
  void ReceiveAck(const GossipMessage& message);
  void RelayProbe(const GossipMessage& message, TimePoint now);
  void CompareTables(const GossipMessage& message);
  void AnswerMembers(const GossipMessage& message, std::vector<Member> newer);

  MembershipOptions options;
  RandomEngine* random;
  Member self_info;
  MemberTable members;
  uint64_t config_hash = 0;
  uint64_t next_sequence = 1;
  int failed_probes = 0;  // In a row, of any member; stretches this daemon's own suspicions.
  bool started = false;
  bool joined = false;
  bool has_news = false;  // A change was stored since the last tick.
  size_t checks = 0;      // Probes started because of the current message.
  TimePoint last_tick;
  TimePoint next_probe;
  TimePoint next_digest;
  TimePoint next_rejoin;
  std::vector<std::string> seeds;
  std::vector<std::string> probe_order;  // Members of the failure domain, shuffled.
  std::map<uint64_t, Probe> probes;      // By sequence.
  std::map<uint64_t, Relay> relays;      // By the sequence of the relayed probe.
  std::unordered_map<std::string, TimePoint> suspicions;  // Ends of the suspicion periods.
  std::unordered_map<std::string, TimePoint> deaths;      // When members were declared dead.
  std::vector<Rumour> rumours;
  std::vector<GossipEnvelope> outgoing;
  std::vector<Member> changes;
};

}  // namespace poplarmoor
