#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "kernel/confirmation_tracker.h"
#include "kernel/group_state.h"
#include "net/one_shot.h"

namespace poplarmoor {

class EndpointDriver;

/// Confirms the writes of one group at the owner of its primary. It keeps one status long poll per
/// replica, which all waiting writes share. Thread-safe.
class WriteConfirmer : public std::enable_shared_from_this<WriteConfirmer> {
 public:
  /// @param executor Executor of the I/O threads.
  /// @param driver Makes connections; must outlive this object.
  WriteConfirmer(boost::asio::any_io_executor executor, EndpointDriver* driver);

  /// Takes over the term under which writes are sent, and polls its replicas.
  /// @param group State of the group.
  /// @param term Term; an older one than before changes nothing.
  /// @param primary Name of the primary of the term.
  void SetTerm(const GroupState& group, uint64_t term, const std::string& primary);

  /// @param deadline Deadline of a write.
  /// @returns False when too few replicas can confirm it in time, so that it must not be sent.
  bool CanConfirm(TimePoint deadline);

  /// Waits until enough replicas have received a write.
  /// @param answer_term Term of the primary when it answered.
  /// @param position Position of the write.
  /// @param deadline Latest time.
  /// @returns Whether it is confirmed.
  boost::asio::awaitable<bool> Confirm(uint64_t answer_term,
                                       LogPosition position,
                                       TimePoint deadline);

  /// Ends the polls.
  void Stop();

 private:
  using Slot = OneShot<bool>;

  boost::asio::awaitable<void> Poll(EndpointInfo replica, uint64_t generation);
  bool IsCurrent(uint64_t generation);
  uint64_t NextIndex(uint64_t received);
  void Finish(const std::vector<uint64_t>& ids, bool confirmed);

  boost::asio::any_io_executor executor;
  EndpointDriver* driver;

  std::mutex mutex;  // Guards everything below.
  ConfirmationTracker tracker;
  std::map<uint64_t, std::shared_ptr<Slot>> waiting;  // By id of the write.
  uint64_t next_id = 1;
  uint64_t term = 0;
  std::vector<EndpointInfo> replicas;
  uint64_t generation = 0;  // Polls of an earlier generation end.
};

}  // namespace poplarmoor
