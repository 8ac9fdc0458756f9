#include "kernel/site_queues.h"

#include <cassert>

namespace poplarmoor {

SiteQueues::Handle SiteQueues::Push(const AdmissionItem& item,
                                    const std::string& site,
                                    double quantum) {
  SiteQueue& queue = this->sites[site];
  if (queue.items.empty()) {
    queue.quantum = quantum;
    queue.deficit = quantum;
    queue.in_turns = this->turns.insert(this->turns.end(), &queue);
    this->active_quanta += quantum;
  }
  ++this->count;
  return {&queue, queue.items.insert(queue.items.end(), item)};
}

const AdmissionItem& SiteQueues::Front() const {
  assert(!this->turns.empty() && "the queue must not be empty");
  return this->turns.front()->items.front();
}

void SiteQueues::PopFront() {
  SiteQueue* site = this->turns.front();
  site->items.pop_front();
  --this->count;
  site->deficit -= 1.0;
  if (site->items.empty()) {
    this->Deactivate(site);
  } else if (site->deficit < 1.0) {
    // The quantum for its next visit; the rest of this visit's quantum is kept.
    site->deficit += site->quantum;
    this->turns.splice(this->turns.end(), this->turns, site->in_turns);
  }
}

void SiteQueues::Erase(const Handle& handle) {
  handle.site->items.erase(handle.item);
  --this->count;
  if (handle.site->items.empty()) {
    this->Deactivate(handle.site);
  }
}

size_t SiteQueues::SizeOf(const std::string& site) const {
  const auto found = this->sites.find(site);
  return found == this->sites.end() ? 0 : found->second.items.size();
}

void SiteQueues::Deactivate(SiteQueue* site) {
  this->turns.erase(site->in_turns);
  this->active_quanta -= site->quantum;
}

}  // namespace poplarmoor
