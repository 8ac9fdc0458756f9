#pragma once

#include "kernel/organisation/entry_write.h"
#include "kernel/time.h"

namespace poplarmoor {

/// Whether a daemon may issue tokens. A daemon that the others do not know, or no longer know, must
/// not: they have divided the limits among other issuers.
class IssuerPermission {
 public:
  /// Records a write of this daemon's entry.
  void NoteEntryWritten(const EntryWrite& write);

  /// Records that another issuer of this daemon's failure domain has added this daemon to its list,
  /// and that the daemons of other domains need not know this one. Until then, daemons of a domain
  /// that is cut off may issue this domain's share, until their own entries lapse.
  void NoteDomainEstablished() { this->established = true; }

  /// Records that all daemons that have to know this one have added it to their lists or are down.
  void NoteAnnounced() { this->announced = true; }

  /// Ends the permission for good, because the daemon stops.
  void Stop() { this->stopped = true; }

  /// @returns Whether the daemon may issue tokens.
  bool MayIssue(TimePoint now) const;

  /// @returns Whether the daemon has to announce itself to others.
  bool MustAnnounce(TimePoint now) const;

 private:
  // When the daemon may issue tokens although others have not answered.
  TimePoint WaitEnd() const { return this->established ? this->listed_by : this->lapsed_by; }

  bool stopped = false;
  bool announced = false;
  bool established = false;
  TimePoint lapsed_by;    // From then on, those that have not listed this daemon must not issue.
  TimePoint listed_by;    // From then on, all others have listed this daemon.
  TimePoint valid_until;  // From then on, others may count this daemon as gone.
};

}  // namespace poplarmoor
