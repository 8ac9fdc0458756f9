#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "kernel/member.h"
#include "kernel/name_table.h"

namespace poplarmoor {

/// Purpose of a gossip message.
enum class GossipKind {
  kProbe,          // Asks the receiver to answer with kAck.
  kAck,            // Answers kProbe, reports that a kIndirectProbe succeeded, or pushes `updates`.
  kIndirectProbe,  // Asks the receiver to probe `target`.
  kDigest,         // Probe between failure domains that compares the member tables.
  kDigestAnswer,   // Answers kDigest; carries bucket hashes when the tables differ.
  // Sends the member table entries of the buckets (groups of entries by hash of the daemon's name)
  // whose hashes differ; requests newer entries in return.
  kMembers,
  kMembersAnswer,  // Answers kMembers with newer entries, or kJoin with the whole table.
  // Requests the whole member table from a seed (a daemon that the sender contacts first).
  kJoin,
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
  Member sender;              // Current description of the sending daemon.
  uint64_t sequence = 0;      // Sequence number of a request, repeated in its answer.
  std::string target;         // For kIndirectProbe: daemon to probe.
  uint64_t member_hash = 0;   // Hash of the sender's live members.
  uint64_t member_count = 0;  // Number of the sender's live members.
  uint64_t config_hash = 0;   // Hash of all configuration units that the sender has.
  // For kDigestAnswer: hash of each bucket of the sender's member table; empty when the tables
  // agree.
  std::vector<uint64_t> bucket_hashes;
  std::vector<uint32_t> differing;  // For kMembers: indexes of the buckets that differ.
  std::vector<Member> updates;      // Recent member changes, or entries of the member table.
};

/// A gossip message with its destination.
struct GossipEnvelope {
  std::string daemon;   // Name of the receiver; empty when only its address is known.
  std::string address;  // Address of the receiver's peer listener, "IP:port".
  GossipMessage message;
};

}  // namespace poplarmoor
