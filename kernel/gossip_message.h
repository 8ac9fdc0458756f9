#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "kernel/member.h"
#include "kernel/name_table.h"

namespace poplarmoor {

/// Purpose of a gossip message.
enum class GossipKind {
  kProbe,          // Asks for a kAck.
  kAck,            // Answers kProbe, or reports the success of a kIndirectProbe.
  kIndirectProbe,  // Asks the receiver to probe `target`.
  kDigest,         // Probe between failure domains that compares the member tables.
  kDigestAnswer,   // Answers kDigest; carries bucket hashes when the tables differ.
  kMembers,        // Entries of the buckets that differ; asks for the receiver's newer entries.
  kMembersAnswer,  // Entries that are newer at the receiver of kMembers.
  kJoin,           // First contact with a seed; asks for the whole table.
};

inline constexpr NameTable<GossipKind, 8> kGossipKindNames{{{
    {GossipKind::kProbe, "probe"},
    {GossipKind::kAck, "ack"},
    {GossipKind::kIndirectProbe, "indirect_probe"},
    {GossipKind::kDigest, "digest"},
    {GossipKind::kDigestAnswer, "digest_answer"},
    {GossipKind::kMembers, "members"},
    {GossipKind::kMembersAnswer, "members_answer"},
    {GossipKind::kJoin, "join"},
}}};

/// Message of the membership protocol.
struct GossipMessage {
  GossipKind kind = GossipKind::kProbe;
  Member sender;                        // The sender describes itself in every message.
  uint64_t sequence = 0;                // Pairs an answer with its question.
  std::string target;                   // Daemon to probe, for kIndirectProbe.
  uint64_t member_hash = 0;             // Hash of the sender's live members.
  uint64_t member_count = 0;            // Number of the sender's live members.
  uint64_t config_hash = 0;             // Hash of the sender's configuration store.
  std::vector<uint64_t> bucket_hashes;  // For kDigestAnswer; empty when the tables agree.
  std::vector<uint32_t> differing;      // Bucket numbers, for kMembers.
  std::vector<Member> updates;          // Piggybacked changes, or the entries of kMembers.
};

/// A gossip message with its destination.
struct GossipEnvelope {
  std::string daemon;   // Empty when only the address is known.
  std::string address;  // "IP:port".
  GossipMessage message;
};

}  // namespace poplarmoor
