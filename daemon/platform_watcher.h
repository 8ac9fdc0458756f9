#pragma once

#include <utility>

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "kernel/config_unit.h"

namespace poplarmoor {

class ControlState;
class PlatformClient;

/// Reads changes from the platform while this daemon is one of the two platform watchers of its
/// failure domain. Reads configuration units of every kind by long polling, and the VM list
/// periodically. When the VM list shows another state of a VM than the unit of kind kVm that is
/// stored on the platform, writes the listed state to that unit. Thread-safe.
class PlatformWatcher : public std::enable_shared_from_this<PlatformWatcher> {
 public:
  using Publish = std::function<void(std::vector<ConfigUnit>)>;

  /// @param executor Executor of the I/O threads.
  /// @param platform Client of the platform; must outlive this object.
  /// @param state Decides whether this daemon is a watcher, and limits the platform calls; must
  ///     outlive this object.
  /// @param publish Called with units read from or written to the platform.
  /// @param watch Longest time for which the platform may hold a long poll without a change.
  /// @param vm_poll Interval between reads of the VM list.
  PlatformWatcher(boost::asio::any_io_executor executor,
                  PlatformClient* platform,
                  ControlState* state,
                  Publish publish,
                  std::chrono::milliseconds watch,
                  std::chrono::milliseconds vm_poll);

  void Start();
  void Stop() { this->stopped = true; }

 private:
  boost::asio::awaitable<void> WatchKind(UnitKind kind);
  boost::asio::awaitable<void> PollVms();
  boost::asio::awaitable<void> StoreVmChanges(size_t rank);

  boost::asio::any_io_executor executor;
  PlatformClient* platform;
  ControlState* state;
  Publish publish;
  std::chrono::milliseconds watch;
  std::chrono::milliseconds vm_poll;

  // For each VM name, the number of reads of the VM list in which the listed state of the VM
  // differed from its stored state, counted since the two were last equal. Only PollVms() uses the
  // map, so no lock guards it.
  std::map<std::string, int> differing_polls;

  std::atomic<bool> stopped{false};
};

}  // namespace poplarmoor
