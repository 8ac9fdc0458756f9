#pragma once

#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>

namespace poplarmoor {

/// Makes a strand. It is built over the io_context's own executor type where possible: compared
/// with a strand over any_io_executor, that saves one level of type erasure for every handler.
/// @param executor Executor of the I/O threads.
/// @returns A new strand.
inline boost::asio::any_io_executor MakeStrand(const boost::asio::any_io_executor& executor) {
  using ContextExecutor = boost::asio::io_context::executor_type;
  if (const auto* context = executor.target<ContextExecutor>()) {
    return boost::asio::make_strand(*context);
  }
  return boost::asio::make_strand(executor);
}

}  // namespace poplarmoor
