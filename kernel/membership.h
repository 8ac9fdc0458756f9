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

/// Intervals and limits of the membership protocol.
struct MembershipOptions {
  Duration probe_interval = 1000ms;  // Time between probes of members in this failure domain.
  Duration probe_timeout = 300ms;    // Time from a probe until indirect probes are requested.
  // Time from requesting indirect probes of a member until the member is suspected.
  Duration indirect_timeout = 500ms;
  size_t indirect_probes = 3;  // Number of members asked to probe one that did not answer.
  // Minimum time from the suspicion of a member until this daemon declares it dead.
  Duration suspicion_period = 3000ms;
  // Time between exchanges of digests (hashes of the member table) with other failure domains.
  Duration digest_interval = 2000ms;
  Duration rejoin_interval = 10000ms;  // Time between attempts to contact seeds and dead members.
  Duration dead_retention = 2h;        // Time that a member stays in the table once declared dead.
  // If two Tick() calls are further apart, this process is assumed to have been paused.
  Duration pause_threshold = 700ms;
  size_t max_updates = 12;  // Maximum number of updates piggybacked on one message.
  size_t push_fanout = 3;   // Number of random members to which one Tick() sends changes.
};

/// Gossip membership similar to the SWIM protocol. Members of one failure domain probe each other.
/// Digests, hashes of the member table, are exchanged between failure domains. They distribute and
/// repair the table and detect the loss of a whole failure domain.
class Membership {
 public:
  /// @param self Description of this daemon. Its incarnation should exceed those of earlier starts,
  ///     for example by using the wall clock.
  /// @param options Intervals and limits of the protocol.
  /// @param random Random number generator; must outlive this object.
  Membership(Member self, MembershipOptions options, RandomEngine* random);

  /// Sets the seeds, the daemons that this daemon contacts first.
  /// @param addresses Peer listener addresses ("IP:port") from the settings and the platform's VM
  ///     list.
  void SetSeeds(std::vector<std::string> addresses);

  /// Adds the members of a known table at start, without sending them to other members.
  /// @param members Members; an entry for this daemon is ignored.
  void LoadTable(const std::vector<Member>& members);

  /// Advances the probes, the suspicion periods and the exchange of digests. Call about every
  /// 100 ms.
  void Tick(TimePoint now);

  /// Handles a message from another daemon.
  void Receive(const GossipMessage& message, TimePoint now);

  /// Announces that this daemon is about to stop and gets no more assignments (see Ownership).
  void Leave();

  /// Reports this daemon as dead to a few random members, because it stops now.
  void Stop();

  /// Sets the configuration hash that outgoing messages carry.
  void SetConfigHash(uint64_t hash) { this->config_hash = hash; }

  /// @returns Queued messages to send, the oldest first; each is returned once.
  std::vector<GossipEnvelope> TakeOutgoing();

  /// @returns Members whose entry changed, the oldest change first; each change is returned once.
  std::vector<Member> TakeChanges();

  /// @returns Description of this daemon.
  const Member& Self() const { return this->self_info; }

  /// @returns All known members, including this daemon and dead ones.
  const MemberTable& Table() const { return this->members; }

  /// @param max Maximum number of members to return.
  /// @returns Random members that are not dead, excluding this daemon.
  std::vector<Member> RandomPeers(size_t max);

 private:
  /// A probe that has not been answered yet.
  struct Probe {
    std::string target;
    TimePoint deadline;
    bool indirect = false;  // Other members have been asked to probe the target.
  };
  /// A probe that another daemon requested with a kIndirectProbe message.
  struct Relay {
    std::string daemon;     // Name of the requesting daemon.
    std::string address;    // Address of the requesting daemon.
    uint64_t sequence = 0;  // Sequence number of the requester's direct probe.
    TimePoint expires;
  };
  /// A member change that is still being piggybacked on outgoing messages.
  struct PendingUpdate {
    std::string daemon;
    int sends_left = 0;
  };

  GossipMessage MakeMessage(GossipKind kind, uint64_t sequence);
  GossipMessage MakeRefutationRequest(const Member& suspected);
  void Send(const Member& to, GossipMessage message);
  void Answer(const GossipMessage& message, GossipKind kind);
  void AddUpdates(GossipMessage* message);
  void StartProbe(const Member& target, GossipKind kind, TimePoint now);
  void ProbeNext(TimePoint now);
  void DigestNext(TimePoint now);
  void Rejoin(TimePoint now);
  void PushChanges();
  void ExpireProbes(TimePoint now);
  void ExpireSuspicions(TimePoint now);
  void SendIndirect(const std::string& target, uint64_t sequence);
  void RecoverFromPause(TimePoint now);
  void Apply(const Member& update, const Member& from, TimePoint now);
  void ApplyToSelf(const Member& update);
  bool Store(const Member& update, TimePoint now);
  void Suspect(const std::string& daemon, TimePoint now);
  void QueueUpdate(const std::string& daemon);
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
  // Number of this daemon's probes that failed in a row, whichever member they went to. It
  // lengthens the suspicion periods.
  int failed_probes = 0;
  bool started = false;
  bool joined = false;                // True once a member table was loaded or received.
  bool has_unpushed_changes = false;  // True if a stored member change was not pushed yet.
  // Number of probes that this daemon has started to verify reports in the message that Receive()
  // is handling.
  size_t verification_probes = 0;
  TimePoint last_tick;
  TimePoint next_probe;
  TimePoint next_digest;
  TimePoint next_rejoin;
  std::vector<std::string> seeds;
  // Names of the members to probe next, in random order; refilled when it is empty.
  std::vector<std::string> probe_order;
  std::map<uint64_t, Probe> probes;  // Unanswered probes by sequence number.
  std::map<uint64_t, Relay> relays;  // Requested probes by the sequence number sent to the target.
  std::unordered_map<std::string, TimePoint> suspicions;  // When each suspicion period ends.
  std::unordered_map<std::string, TimePoint> deaths;      // When each member was declared dead.
  std::vector<PendingUpdate> pending_updates;
  std::vector<GossipEnvelope> outgoing;
  std::vector<Member> changes;
};

}  // namespace poplarmoor
