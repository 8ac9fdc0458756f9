#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <deque>
#include <optional>

#include "net/now.h"

namespace poplarmoor {

/// Event queue that one coroutine reads. Call its functions only on the strand of that coroutine:
/// the queue has no lock.
template <typename Event>
class EventQueue {
 public:
  /// @param executor Strand of the coroutine that reads the queue.
  explicit EventQueue(boost::asio::any_io_executor executor) : timer(executor) {}

  /// Adds an event and wakes the coroutine that waits in Pop(), if any.
  void Push(Event event) {
    this->events.push_back(std::move(event));
    this->timer.cancel();
  }

  /// Waits for the next event.
  /// @param deadline Time at which the wait ends.
  /// @returns The oldest event, which is removed from the queue; nothing when the queue was empty
  ///     until the deadline.
  boost::asio::awaitable<std::optional<Event>> Pop(TimePoint deadline) {
    if (this->events.empty()) {
      boost::system::error_code ignored;
      this->timer.expires_at(ToSteady(deadline));
      co_await this->timer.async_wait(
          boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }
    if (this->events.empty()) {
      co_return std::nullopt;
    }
    Event event = std::move(this->events.front());
    this->events.pop_front();
    co_return event;
  }

 private:
  boost::asio::steady_timer timer;
  std::deque<Event> events;
};

}  // namespace poplarmoor
