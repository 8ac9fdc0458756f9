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
#include "net/one_shot_promise.h"

namespace poplarmoor {

class EndpointDriver;

/// Waits until enough replicas have received the writes of one group; runs at the daemon that owns
/// the group's primary. To each replica it sends one `status` request at a time, a long poll that
/// serves all waiting writes. Thread-safe.
class WriteConfirmer : public std::enable_shared_from_this<WriteConfirmer> {
 public:
  /// @param executor Executor of the I/O threads.
  /// @param driver Makes connections to the replicas; must outlive this object.
  WriteConfirmer(boost::asio::any_io_executor executor, EndpointDriver* driver);

  /// Sets the term in which writes are sent, and starts to poll the replicas of the group.
  /// @param group State of the group.
  /// @param term Term of the group. The call has no effect if an earlier call set a higher term.
  /// @param primary Name of the primary of the term; all other endpoints are replicas.
  void SetTerm(const GroupState& group, uint64_t term, const std::string& primary);

  /// Predicts whether a write that is sent now would be confirmed before its deadline.
  /// @param deadline Deadline of the write.
  /// @returns False when too few replicas can confirm the write by the deadline; the write must
  ///     then not be sent.
  bool CanConfirm(TimePoint deadline);

  /// Waits until enough replicas have received a write.
  /// @param answer_term Term that the primary had when it answered the write.
  /// @param position Log position of the write.
  /// @param deadline Time until which the call waits at most.
  /// @returns Whether enough replicas have reported by the deadline that they received the write.
  boost::asio::awaitable<bool> Confirm(uint64_t answer_term,
                                       LogPosition position,
                                       TimePoint deadline);

  /// @param now Current time.
  /// @returns True when no write waits for a confirmation and none has asked for one in the last
  ///     minute, for example because another daemon now owns the primary.
  bool IsIdle(TimePoint now);

  /// Stops polling the replicas.
  void Stop();

 private:
  using PendingResult = OneShotPromise<bool>;

  boost::asio::awaitable<void> Poll(EndpointInfo replica, uint64_t generation);
  bool IsCurrentGeneration(uint64_t generation);
  uint64_t NextWaitIndex(uint64_t received);
  void FinishWaiting(const std::vector<uint64_t>& ids, bool confirmed);

  boost::asio::any_io_executor executor;
  EndpointDriver* driver;

  std::mutex mutex;  // Guards all members below.
  ConfirmationTracker tracker;

  // Results that Confirm() waits for, keyed by the id that it gave to the write.
  std::map<uint64_t, std::shared_ptr<PendingResult>> waiting;

  uint64_t next_id = 1;
  uint64_t term = 0;
  std::vector<EndpointInfo> replicas;
  TimePoint last_used;

  // Number of calls of SetTerm() or Stop() that ended all running polls. Each poll keeps the number
  // at its start, and ends when the number has changed.
  uint64_t generation = 0;
};

}  // namespace poplarmoor
