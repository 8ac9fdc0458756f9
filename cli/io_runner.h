#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

namespace poplarmoor {

/// Runs a coroutine on the calling thread and blocks until it has ended.
class IoRunner {
 public:
  boost::asio::any_io_executor Executor() { return this->context.get_executor(); }

  /// @param coroutine Coroutine to run.
  /// @returns The coroutine's result.
  /// @throws The exception that the coroutine throws.
  template <typename Result>
  Result Run(boost::asio::awaitable<Result> coroutine) {
    auto future =
        boost::asio::co_spawn(this->context, std::move(coroutine), boost::asio::use_future);
    this->context.restart();
    this->context.run();
    return future.get();
  }

 private:
  boost::asio::io_context context{1};
};

}  // namespace poplarmoor
