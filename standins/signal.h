#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <set>

namespace poplarmoor {

/// Lets coroutines on one thread wait for a change of shared state. Must outlive the I/O context:
/// the context's destructor destroys the waiting coroutines, which then unregister from the signal.
class Signal {
 public:
  /// Waits until the next Notify() or the time limit.
  /// @param limit Time at which the wait ends if Notify() is not called before.
  boost::asio::awaitable<void> Wait(std::chrono::steady_clock::time_point limit) {
    Waiter waiter(*this, co_await boost::asio::this_coro::executor);
    waiter.timer.expires_at(limit);
    boost::system::error_code ignored;
    co_await waiter.timer.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
  }

  /// Wakes all waiting coroutines.
  void Notify() {
    for (Waiter* waiter : this->waiters) {
      waiter->timer.cancel();
    }
  }

 private:
  struct Waiter {
    Waiter(Signal& signal, boost::asio::any_io_executor executor)
        : signal(signal), timer(std::move(executor)) {
      this->signal.waiters.insert(this);
    }
    ~Waiter() { this->signal.waiters.erase(this); }
    Waiter(const Waiter&) = delete;
    Waiter& operator=(const Waiter&) = delete;

    Signal& signal;
    boost::asio::steady_timer timer;
  };

  std::set<Waiter*> waiters;
};

}  // namespace poplarmoor
