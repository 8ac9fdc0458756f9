#include "kernel/copy_age.h"

#include <algorithm>

namespace poplarmoor {

CopyAge::CopyAge(ChangeSchedule schedule) : limits(schedule) {}

void CopyAge::NoteStoreAnswer(TimePoint /*sent*/, TimePoint now) {
  this->confirmed = now;
}

void CopyAge::NoteStaleListing(TimePoint now) {
  this->confirmed = now;
}

bool CopyAge::NotePeerAnswer(const PeerCopy& answer, TimePoint now) {
  this->confirmed = std::max(this->confirmed, std::optional(now - answer.confirmed_age));
  return answer.reachable && this->limits.IsCurrent(answer.confirmed_age);
}

std::optional<Duration> CopyAge::Age(TimePoint now) const {
  return this->confirmed ? std::optional(now - *this->confirmed) : std::nullopt;
}

CopyUse CopyAge::Use(TimePoint /*now*/, size_t /*others*/) const {
  return CopyUse::kAll;
}

bool CopyAge::NeedsYoungerCopy(TimePoint now) const {
  return this->limits.NeedsYoungerCopy(this->Age(now));
}

}  // namespace poplarmoor
