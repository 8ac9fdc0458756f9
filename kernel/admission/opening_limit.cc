#include "kernel/admission/opening_limit.h"

#include <algorithm>

namespace poplarmoor {

bool OpeningLimit::Enter(Ticket ticket, const std::string& organisation) {
  if (this->in_progress < this->limit) {
    ++this->in_progress;
    return true;
  }
  this->waiting.push_back({ticket, organisation});
  return false;
}

std::optional<OpeningLimit::Ticket> OpeningLimit::Finish() {
  --this->in_progress;
  if (this->waiting.empty() || this->in_progress >= this->limit) {
    return std::nullopt;
  }
  ++this->in_progress;
  const Ticket ticket = this->waiting.front().ticket;
  this->waiting.pop_front();
  return ticket;
}

std::optional<OpeningLimit::Ticket> OpeningLimit::TakeWaiting(const std::string& organisation) {
  const auto first = std::find_if(
      this->waiting.begin(), this->waiting.end(),
      [&organisation](const Waiter& each) { return each.organisation == organisation; });
  if (first == this->waiting.end()) {
    return std::nullopt;
  }
  const Ticket ticket = first->ticket;
  this->waiting.erase(first);
  return ticket;
}

void OpeningLimit::Withdraw(Ticket ticket) {
  this->waiting.remove_if([ticket](const Waiter& waiter) { return waiter.ticket == ticket; });
}

}  // namespace poplarmoor
