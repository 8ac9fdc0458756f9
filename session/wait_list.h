#pragma once

#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>

#include "kernel/time.h"

namespace poplarmoor {

/// Lets coroutines wait until NotifyAll() tells them that a condition may have changed. Not
/// thread-safe.
class WaitList {
 public:
  explicit WaitList(boost::asio::any_io_executor executor) : executor(std::move(executor)) {}

  /// Waits for NotifyAll().
  /// @param limit Longest wait.
  /// @returns Whether NotifyAll() ended the wait.
  boost::asio::awaitable<bool> Wait(Duration limit);

  void NotifyAll();

 private:
  boost::asio::any_io_executor executor;
  std::list<boost::asio::steady_timer*> timers;
};

/// Suspends the calling coroutine.
/// @param duration Length of the pause.
boost::asio::awaitable<void> Pause(Duration duration);

}  // namespace poplarmoor
