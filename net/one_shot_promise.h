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

/// Value that one coroutine waits for and that any thread may set once. The waiting coroutine runs
/// on the executor given to the constructor, which runs one handler at a time (a strand).
template <typename Value>
class OneShotPromise : public std::enable_shared_from_this<OneShotPromise<Value>> {
 public:
  /// @param executor Strand of the waiting coroutine.
  explicit OneShotPromise(boost::asio::any_io_executor executor) : timer(executor) {}

  /// Sets the value and wakes the waiting coroutine. Only the first call has an effect.
  /// @returns Whether the coroutine gets this value: false when a value was set before, or when
  ///     the wait has ended at its deadline.
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
  /// @param deadline Time until which the coroutine waits.
  /// @returns The value, or nothing when the deadline passed.
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
  bool ended = false;  // Wait() has returned.
};

}  // namespace poplarmoor
