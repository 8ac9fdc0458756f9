#include "kernel/freshness_log.h"

#include <algorithm>

namespace poplarmoor {

void FreshnessLog::Record(TimePoint sent, LogPosition position) {
  if (position < this->highest_position) {
    // This answer is older than the last one recorded, or its sender is no longer the primary.
    return;
  }
  this->highest_position = position;
  if (!this->entries.empty() && sent <= this->entries.back().sent) {
    return;
  }
  // If the last entry was sent less than kMinSpacing after the one before it, the new entry
  // replaces the last one.
  const size_t size = this->entries.size();
  if (size >= 2 && this->entries[size - 1].sent - this->entries[size - 2].sent < kMinSpacing) {
    this->entries.back() = {sent, position};
    return;
  }
  this->entries.push_back({sent, position});
  if (this->entries.size() > kMaxEntries) {
    this->entries.pop_front();
  }
}

std::optional<FreshnessEvidence> FreshnessLog::RequiredPosition(TimePoint since) const {
  const auto found = std::lower_bound(
      this->entries.begin(), this->entries.end(), since,
      [](const FreshnessEvidence& entry, TimePoint time) { return entry.sent < time; });
  if (found == this->entries.end()) {
    return std::nullopt;
  }
  return *found;
}

std::optional<FreshnessEvidence> FreshnessLog::Newest() const {
  if (this->entries.empty()) {
    return std::nullopt;
  }
  return this->entries.back();
}

}  // namespace poplarmoor
