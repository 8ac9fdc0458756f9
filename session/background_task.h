#pragma once

#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string>

namespace poplarmoor {

/// Runs a coroutine in the background. An exception that leaves the coroutine is logged and ends
/// only this task, not the process.
/// @param name What the task does, for the log.
/// @param on_end Called after the task has ended, whether or not with an exception.
void SpawnTask(const boost::asio::any_io_executor& executor,
               std::string name,
               boost::asio::awaitable<void> work,
               std::function<void()> on_end = {});

/// Like SpawnTask(), for a task that runs as long as the process: after an exception, it is started
/// again.
/// @param start Returns the coroutine; called for each start.
void SpawnService(const boost::asio::any_io_executor& executor,
                  std::string name,
                  std::function<boost::asio::awaitable<void>()> start);

}  // namespace poplarmoor
