#include "session/background_task.h"

#include <boost/asio/co_spawn.hpp>
#include <exception>

#include "session/wait_list.h"
#include "telemetry/log.h"

namespace poplarmoor {

namespace asio = boost::asio;

namespace {

// Pause before a task that has ended with an exception is started again, so that a permanent cause
// does not keep the processor busy.
constexpr Duration kRestartDelay = 500ms;

void LogFailure(const std::string& name, const std::string& cause) {
  Log(LogLevel::kError, "task ended with an unexpected error", {{"task", name}, {"cause", cause}});
}

asio::awaitable<void> RunRepeatedly(std::string name,
                                    std::function<asio::awaitable<void>()> start) {
  for (;;) {
    std::string cause;
    try {
      co_await start();
      co_return;
    } catch (const std::exception& error) {
      cause = error.what();
    }
    LogFailure(name, cause);
    co_await Pause(kRestartDelay);
  }
}

}  // namespace

void SpawnTask(const asio::any_io_executor& executor,
               std::string name,
               asio::awaitable<void> work,
               std::function<void()> on_end) {
  asio::co_spawn(executor, std::move(work),
                 [name = std::move(name), on_end = std::move(on_end)](std::exception_ptr failure) {
                   if (on_end) {
                     on_end();
                   }
                   try {
                     if (failure) {
                       std::rethrow_exception(failure);
                     }
                   } catch (const std::exception& error) {
                     LogFailure(name, error.what());
                   }
                 });
}

void SpawnService(const asio::any_io_executor& executor,
                  std::string name,
                  std::function<asio::awaitable<void>()> start) {
  SpawnTask(executor, name, RunRepeatedly(name, std::move(start)));
}

}  // namespace poplarmoor
