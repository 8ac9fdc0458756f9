#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "kernel/config_unit.h"
#include "kernel/name_table.h"

namespace poplarmoor {

/// Purpose of a configuration message.
enum class ConfigMessageKind {
  kPush,      // Carries units; receivers forward them when `fresh` is set.
  kSummary,   // Carries the bucket hashes of the sender's store.
  kVersions,  // Answers kSummary with the versions in the buckets that differ.
  kFetch,     // Requests the units in `versions`.
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
  std::string sender;                   // Name of the sending daemon.
  std::string sender_address;           // Peer listener of the sender, "IP:port".
  bool fresh = false;                   // kPush: the change is new, so receivers forward it.
  bool more = false;                    // The answer was truncated at the size limit.
  std::vector<uint64_t> bucket_hashes;  // kSummary: one hash per bucket.
  std::vector<uint32_t> buckets;        // kVersions: the buckets that `versions` covers.
  std::vector<UnitVersion> versions;    // kVersions: all units in `buckets`; kFetch: wanted units.
  std::vector<ConfigUnit> units;        // kPush: the units themselves.
};

/// A configuration message with its destination.
struct ConfigEnvelope {
  std::string daemon;   // Name of the receiver.
  std::string address;  // Peer listener of the receiver, "IP:port".
  ConfigMessage message;
};

}  // namespace poplarmoor
