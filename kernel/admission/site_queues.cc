#include "kernel/admission/site_queues.h"

#include <cassert>

namespace poplarmoor {

SiteQueues::Handle SiteQueues::Push(const AdmissionItem& item,
                                    const std::string& site,
                                    double quantum) {
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

const AdmissionItem& SiteQueues::Front() const {
  assert(!this->active_sites.empty() && "the queue must not be empty");
  return this->active_sites.front()->items.front();
}

void SiteQueues::PopFront() {
  SiteQueue* site = this->active_sites.front();
  site->items.pop_front();
  --this->count;
  site->deficit -= 1.0;
  if (site->items.empty()) {
    this->Deactivate(site);
  } else if (site->deficit < 1.0) {
    // Deficit round robin: adds the quantum of the site's next turn and keeps the unused rest of
    // its current quantum.
    site->deficit += site->quantum;
    this->active_sites.splice(this->active_sites.end(), this->active_sites, site->active_position);
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
  this->active_sites.erase(site->active_position);
  this->active_quanta -= site->quantum;
}

}  // namespace poplarmoor
