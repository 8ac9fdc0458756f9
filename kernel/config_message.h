#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "kernel/config_unit.h"
#include "kernel/name_table.h"

namespace poplarmoor {

/// Purpose of a configuration message.
enum class ConfigMessageKind {
  kPush,  // Carries units; receivers forward them when `fresh` is set.
  // Carries the bucket hashes: the sender's cached units are divided into buckets by a hash of kind
  // and name, and each bucket has one hash of its units.
  kSummary,
  // Answers kSummary with the versions of the units in each bucket whose hash differs from the
  // receiver's.
  kVersions,
  kFetch,  // Requests the units in `versions`.
};

inline constexpr NameTable<ConfigMessageKind, 4> kConfigMessageKindNames{{{
    {ConfigMessageKind::kPush, "push"},
    {ConfigMessageKind::kSummary, "summary"},
    {ConfigMessageKind::kVersions, "versions"},
    {ConfigMessageKind::kFetch, "fetch"},
}}};

/// Message that distributes or repairs configuration.
struct ConfigMessage {
  ConfigMessageKind kind = ConfigMessageKind::kPush;
  std::string sender;          // Name of the sending daemon.
  std::string sender_address;  // Address of the sender's peer listener, "IP:port".
  bool fresh = false;          // True for a kPush of a new change; receivers forward it.
  bool more = false;           // True if the size limit made the sender omit units or versions.
  std::vector<uint64_t> bucket_hashes;  // Hashes of the sender's buckets; set for kSummary.
  // Indexes of the buckets whose units' versions are in `versions`; set for kVersions.
  std::vector<uint32_t> buckets;
  // For kVersions: versions of all units in `buckets`. For kFetch: versions of the wanted units.
  std::vector<UnitVersion> versions;
  std::vector<ConfigUnit> units;  // Configuration units with their contents; set for kPush.
};

/// A configuration message with its destination.
struct ConfigEnvelope {
  std::string daemon;   // Name of the receiver.
  std::string address;  // Address of the receiver's peer listener, "IP:port".
  ConfigMessage message;
};

}  // namespace poplarmoor
