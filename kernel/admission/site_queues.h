#pragma once

#include <cstddef>
#include <list>
#include <string>
#include <unordered_map>

#include "kernel/admission/admission_queue.h"

namespace poplarmoor {

/// Waiting items of one rank, in a queue for each site. Sites are served by deficit round robin: in
/// each turn a site may take as many items as its quantum, so that a flood from one site does not
/// delay the others. All operations take constant time.
class SiteQueues {
 private:
  struct SiteQueue;

 public:
  /// Place of a waiting item in its site's queue, valid until the item is removed.
  struct Handle {
    SiteQueue* site = nullptr;
    std::list<AdmissionItem>::iterator item;
  };

  /// @param item Item to append to its site's queue.
  /// @param site Key of the queue; policies without site fairness use one key for all.
  /// @param quantum Items that the site may take in a turn of deficit round robin, at least 1.
  /// @returns Handle for Erase().
  Handle Push(const AdmissionItem& item, const std::string& site, double quantum);

  /// @returns The next item. The queue must not be empty.
  const AdmissionItem& Front() const;

  /// Removes the item of Front() and subtracts 1 from the deficit counter of the item's site.
  void PopFront();

  /// Removes an item without serving it.
  /// @param handle Result of Push().
  void Erase(const Handle& handle);

  /// @returns The number of waiting items of all sites.
  size_t size() const { return this->count; }

  /// @returns Whether no item waits.
  bool empty() const { return this->count == 0; }

  /// @param site Key of a queue.
  /// @returns The number of waiting items of the site.
  size_t SizeOf(const std::string& site) const;

  /// @returns Sum of the deficit round robin quanta of the sites with waiting items.
  double ActiveQuanta() const { return this->active_quanta; }

 private:
  struct SiteQueue {
    std::list<AdmissionItem> items;
    double quantum = 1.0;
    double deficit = 0.0;  // Items that the site may still take in this turn.
    std::list<SiteQueue*>::iterator active_position;  // Place in active_sites while items wait.
  };

  void Deactivate(SiteQueue* site);

  std::unordered_map<std::string, SiteQueue> sites;
  std::list<SiteQueue*> active_sites;  // Sites with waiting items, in the order of their turns.
  size_t count = 0;
  double active_quanta = 0.0;
};

}  // namespace poplarmoor
