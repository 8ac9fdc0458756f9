#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>
#include <mutex>
#include <optional>

#include "net/now.h"

namespace poplarmoor {

/// Value that one coroutine waits for. Any thread may set the value; it is set at most once. The
/// coroutine runs on the strand that the constructor is given.
template <typename Value>
class OneShotPromise : public std::enable_shared_from_this<OneShotPromise<Value>> {
 public:
  /// @param executor Strand of the waiting coroutine.
  explicit OneShotPromise(boost::asio::any_io_executor executor) : timer(executor) {}

  /// Sets the value and wakes the waiting coroutine. Only the first call has an effect.
  /// @returns Whether the value was stored for the coroutine; false when a value was set before, or
  ///     when Wait() has already returned.
  bool Set(Value new_value) {
    {
      std::lock_guard lock(this->mutex);
      if (this->value || this->ended) {
        return false;
      }
      this->value = std::move(new_value);
    }
    boost::asio::dispatch(this->timer.get_executor(),
                          [self = this->shared_from_this()] { self->timer.cancel(); });
    return true;
  }

  /// Waits for the value.
  /// @param deadline Time at which the wait ends.
  /// @returns The value; nothing when it was not set before the deadline.
  boost::asio::awaitable<std::optional<Value>> Wait(TimePoint deadline) {
    const auto self = this->shared_from_this();
    if (!this->IsSet()) {
      boost::system::error_code ignored;
      this->timer.expires_at(ToSteady(deadline));
      co_await this->timer.async_wait(
          boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }
    std::lock_guard lock(this->mutex);
    this->ended = true;
    co_return std::move(this->value);
  }

 private:
  bool IsSet() {
    std::lock_guard lock(this->mutex);
    return this->value.has_value();
  }

  boost::asio::steady_timer timer;
  std::mutex mutex;
  std::optional<Value> value;
  bool ended = false;  // Whether Wait() has ended, after which the value cannot be set.
};

}  // namespace poplarmoor
