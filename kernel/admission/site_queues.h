#pragma once

#include <algorithm>
#include <cassert>
#include <cstddef>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

namespace poplarmoor {

/// Waiting items of one rank, in a queue for each site (a group of callers such as a site or an
/// organisation). Sites are served by deficit round robin: in each turn a site may take as many
/// items as its quantum, so that a flood from one site does not delay the others.
/// @tparam Item Copyable type of the items.
template <typename Item>
class SiteQueues {
 private:
  struct SiteQueue;

 public:
  /// Place of a waiting item in its site's queue, valid until the item is removed.
  struct Handle {
    SiteQueue* site = nullptr;
    typename std::list<Item>::iterator item;
  };

  SiteQueues() = default;
  // Handles and the order of turns point into the queues.
  SiteQueues(const SiteQueues&) = delete;
  SiteQueues& operator=(const SiteQueues&) = delete;

  /// @param item Item to append to its site's queue.
  /// @param site Key of the queue; policies without site fairness use one key for all.
  /// @param quantum Items that the site may take in a turn of deficit round robin, at least 1.
  /// @returns Handle for Erase().
  Handle Push(const Item& item, const std::string& site, double quantum) {
    SiteQueue& queue = this->sites[site];
    if (queue.items.empty()) {
      queue.quantum = quantum;
      queue.deficit = quantum;
      queue.active_position = this->active_sites.insert(this->active_sites.end(), &queue);
      this->active_quanta += quantum;
    }
    ++this->count;
    return {&queue, queue.items.insert(queue.items.end(), item)};
  }

  /// @returns The next item. The queue must not be empty.
  const Item& Front() const {
    assert(!this->active_sites.empty() && "the queue must not be empty");
    return this->active_sites.front()->items.front();
  }

  /// Removes the item of Front() and subtracts 1 from the deficit counter of the item's site.
  void PopFront() {
    this->Serve(this->active_sites.front(), this->active_sites.front()->items.begin());
  }

  /// Removes the first item that may be served, in the order of the sites' turns and in the order
  /// of arrival within a site. A site without such an item keeps its turn.
  /// @param may_serve Tells whether an item may be served now.
  /// @returns The item, or nothing when none may be served.
  template <typename Predicate>
  std::optional<Item> TakeIf(const Predicate& may_serve) {
    for (SiteQueue* site : this->active_sites) {
      const auto item = std::find_if(site->items.begin(), site->items.end(), may_serve);
      if (item != site->items.end()) {
        Item taken = *item;
        this->Serve(site, item);
        return taken;
      }
    }
    return std::nullopt;
  }

  /// Removes an item without serving it.
  /// @param handle Result of Push().
  void Erase(const Handle& handle) {
    handle.site->items.erase(handle.item);
    --this->count;
    if (handle.site->items.empty()) {
      this->Deactivate(handle.site);
    }
  }

  /// @returns The number of waiting items of all sites.
  size_t size() const { return this->count; }

  /// @returns Whether no item waits.
  bool empty() const { return this->count == 0; }

  /// @param site Key of a queue.
  /// @returns The number of waiting items of the site.
  size_t SizeOf(const std::string& site) const {
    const auto found = this->sites.find(site);
    return found == this->sites.end() ? 0 : found->second.items.size();
  }

  /// @param site Key of a queue.
  /// @returns Number of items that are served before a new item of the site when all sites have
  ///     the same quantum.
  size_t SizeAheadOf(const std::string& site) const {
    const size_t own = this->SizeOf(site);
    size_t ahead = 0;
    for (const SiteQueue* other : this->active_sites) {
      ahead += std::min(other->items.size(), own + 1);
    }
    return ahead;
  }

  /// @returns Sum of the deficit round robin quanta of the sites with waiting items.
  double ActiveQuanta() const { return this->active_quanta; }

  /// Calls `visit` with the key and the number of waiting items of each site that has any.
  template <typename Visitor>
  void VisitSizes(const Visitor& visit) const {
    for (const auto& [site, queue] : this->sites) {
      if (!queue.items.empty()) {
        visit(site, queue.items.size());
      }
    }
  }

 private:
  struct SiteQueue {
    std::list<Item> items;
    double quantum = 1.0;
    double deficit = 0.0;  // Items that the site may still take in this turn.
    // Place in active_sites while items wait.
    typename std::list<SiteQueue*>::iterator active_position;
  };

  void Serve(SiteQueue* site, typename std::list<Item>::iterator item) {
    site->items.erase(item);
    --this->count;
    site->deficit -= 1.0;
    if (site->items.empty()) {
      this->Deactivate(site);
    } else if (site->deficit < 1.0) {
      // Deficit round robin: adds the quantum of the site's next turn and keeps the unused rest of
      // its current quantum.
      site->deficit += site->quantum;
      this->active_sites.splice(this->active_sites.end(), this->active_sites,
                                site->active_position);
    }
  }

  void Deactivate(SiteQueue* site) {
    this->active_sites.erase(site->active_position);
    this->active_quanta -= site->quantum;
  }

  std::unordered_map<std::string, SiteQueue> sites;
  std::list<SiteQueue*> active_sites;  // Sites with waiting items, in the order of their turns.
  size_t count = 0;
  double active_quanta = 0.0;
};

}  // namespace poplarmoor
