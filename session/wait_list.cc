#include "session/wait_list.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace poplarmoor {

namespace asio = boost::asio;

asio::awaitable<bool> WaitList::Wait(Duration limit) {
  asio::steady_timer timer(this->executor, limit);
  const auto place = this->timers.insert(this->timers.end(), &timer);
  boost::system::error_code error;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
  // NotifyAll() sets the list entry of each timer that it cancels to null.
  const bool notified = *place == nullptr;
  this->timers.erase(place);
  co_return notified;
}

void WaitList::NotifyAll() {
  for (asio::steady_timer*& timer : this->timers) {
    if (timer != nullptr) {
      timer->cancel();
      timer = nullptr;
    }
  }
}

asio::awaitable<void> Pause(Duration duration) {
  asio::steady_timer timer(co_await asio::this_coro::executor, duration);
  boost::system::error_code error;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
}

}  // namespace poplarmoor
