#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "kernel/config_unit.h"
#include "kernel/name_table.h"

namespace poplarmoor {

/// Purpose of a configuration message.
enum class ConfigMessageKind {
  kPush,      // Units; forwarded further when `fresh`.
  kSummary,   // Bucket hashes of the sender.
  kVersions,  // Answers kSummary: the versions in the buckets that differ.
  kFetch,     // Asks for units.
};

inline constexpr NameTable<ConfigMessageKind, 4> kConfigMessageKindNames{{{
    {ConfigMessageKind::kPush, "push"},
    {ConfigMessageKind::kSummary, "summary"},
    {ConfigMessageKind::kVersions, "versions"},
    {ConfigMessageKind::kFetch, "fetch"},
}}};

/// Message that spreads or repairs configuration.
struct ConfigMessage {
  ConfigMessageKind kind = ConfigMessageKind::kPush;
  std::string sender;                   // Daemon.
  std::string sender_address;           // Of its peer listener, "IP:port".
  bool fresh = false;                   // kPush: a new change, which receivers forward.
  bool more = false;                    // The answer was cut at the size limit.
  std::vector<uint64_t> bucket_hashes;  // kSummary.
  std::vector<uint32_t> buckets;        // kVersions: the buckets that `versions` covers.
  std::vector<UnitVersion> versions;    // kVersions, kFetch.
  std::vector<ConfigUnit> units;        // kPush.
};

/// A configuration message with its destination.
struct ConfigEnvelope {
  std::string daemon;
  std::string address;  // "IP:port".
  ConfigMessage message;
};

}  // namespace poplarmoor
