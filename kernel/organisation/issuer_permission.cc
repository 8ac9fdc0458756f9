#include "kernel/organisation/issuer_permission.h"

#include <algorithm>

namespace poplarmoor {

void IssuerPermission::NoteEntryWritten(const EntryWrite& write) {
  const bool is_first = this->valid_until == TimePoint();
  if (is_first || write.sent >= this->valid_until) {
    this->announced = is_first && write.known;
    this->established = false;
    this->lapsed_by = write.sent + write.validity;
    this->listed_by = write.sent + write.listed_after;
  }
  this->valid_until = std::max(this->valid_until, write.sent + write.validity);
}

bool IssuerPermission::MayIssue(TimePoint now) const {
  return !this->stopped && now < this->valid_until && (this->announced || now >= this->WaitEnd());
}

bool IssuerPermission::MustAnnounce(TimePoint now) const {
  return !this->stopped && !this->announced && now < this->valid_until && now < this->WaitEnd();
}

}  // namespace poplarmoor
