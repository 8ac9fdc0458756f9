#pragma once

#include <cstdint>
#include <list>
#include <optional>
#include <string>

namespace poplarmoor {

/// Limits how many connections a daemon opens to one endpoint at the same time. Opening a
/// connection occupies a slot of the endpoint, so that after a loss of power the openings of all
/// organisations together would leave no slots for statements. Requests beyond the limit wait in
/// the order of arrival, or until a connection of their organisation becomes idle.
class OpeningLimit {
 public:
  using Ticket = uint64_t;

  /// @param limit Largest number of openings at the same time.
  explicit OpeningLimit(uint32_t limit) : limit(limit) {}

  /// Asks to open a connection.
  /// @param ticket Unique number of the request.
  /// @param organisation Organisation that the connection is for.
  /// @returns Whether the connection may be opened now; otherwise the request waits.
  bool Enter(Ticket ticket, const std::string& organisation);

  /// Records that an opening has ended, successfully or not.
  /// @returns The waiting request that may open its connection now, if any.
  std::optional<Ticket> Finish();

  /// Removes a request that waits for a connection of an organisation, because one became idle.
  /// @returns The organisation's first waiting request, if any.
  std::optional<Ticket> TakeWaiting(const std::string& organisation);

  /// Removes a waiting request.
  void Withdraw(Ticket ticket);

  /// @returns Number of openings in progress.
  uint32_t InProgress() const { return this->in_progress; }

  /// @returns Number of waiting requests.
  size_t Waiting() const { return this->waiting.size(); }

 private:
  struct Waiter {
    Ticket ticket = 0;
    std::string organisation;
  };

  uint32_t limit;
  uint32_t in_progress = 0;
  std::list<Waiter> waiting;
};

}  // namespace poplarmoor
