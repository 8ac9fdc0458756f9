#pragma once

#include <array>
#include <optional>
#include <string>

#include "kernel/rank.h"
#include "kernel/service_settings.h"
#include "kernel/time.h"

namespace poplarmoor {

/// Settings of one rank that the unit "common", a service or a site overrides. Members without a
/// value leave the setting as it is.
struct RankOverride {
  std::optional<double> floor_share;  // Minimum fraction of the slots for this rank, 0 to 1.
  std::optional<Duration> target;
  std::optional<double> worth;
  std::optional<size_t> max_queue;

  /// Copies the members that have a value into `settings`.
  void ApplyTo(RankSettings* settings) const;
};

/// Settings that a service or a site overrides. Members without a value leave the setting as it is.
struct SettingsOverride {
  std::array<RankOverride, kRankCount> ranks;  // Indexed by Rank.
  std::optional<Duration> deadline;
  std::optional<std::string> routing;

  /// Copies the members that have a value into `settings`.
  void ApplyTo(ServiceSettings* settings) const;
};

}  // namespace poplarmoor
