#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "kernel/service_settings.h"
#include "kernel/time.h"

namespace poplarmoor {

/// Settings of the connections from one owner to one endpoint.
struct PoolSettings {
  int budget = 12;     // Maximum number of this owner's connections, open or being opened.
  int min_open = 4;    // Number of connections kept open even when no request needs them.
  int max_pinned = 6;  // Maximum number of connections that open transactions use.
  // Maximum number of connections that are being opened at the same time, so that a restarted
  // endpoint is not flooded.
  int max_opening = 3;
  Duration connect_time = 10ms;  // Expected time to open a connection.
  // Idle time after which a connection is closed if the pool has more connections than its requests
  // and min_open need.
  Duration idle_limit = 60s;
  // Longest wait after the first failed attempt to open a connection; each further failure doubles
  // the wait, up to backoff_cap.
  Duration backoff_base = 50ms;
  Duration backoff_cap = 5000ms;

  /// Makes the settings of one owner's pool. Its budget is half of the service's connection limit,
  /// so that an old and a new owner of an endpoint can have connections at the same time.
  /// @param service Settings of the service.
  /// @returns Settings of an owner's pool for any endpoint of the service.
  static PoolSettings FromService(const ServiceSettings& service);
};

/// Decides which connections to one endpoint its owner opens, uses and closes. The owner does the
/// I/O and reports the results.
class ConnectionPool {
 public:
  using ConnectionId = uint64_t;

  /// Connections that the daemon that owns the endpoint must open and close now.
  struct Plan {
    // Connections to open; for each, the daemon reports the result by OnOpened() or OnOpenFailed().
    std::vector<ConnectionId> open;
    std::vector<ConnectionId> close;  // Connections to close; already removed from the pool.
    // Latest time of the next call of Tick(); empty: no call is due by time alone.
    std::optional<TimePoint> next;
  };

  explicit ConnectionPool(const PoolSettings& settings) : settings(settings) {}

  /// Applies changed settings. If the budget falls below the number of connections, Tick() closes
  /// idle ones.
  /// @param settings New settings.
  void Configure(const PoolSettings& settings) { this->settings = settings; }

  /// Takes the most recently used idle connection, so that connections that are not needed stay
  /// idle and are closed after idle_limit.
  /// @param for_transaction True to begin a transaction, which holds the connection (pinned) until
  ///     Release().
  /// @param now Current time.
  /// @returns The connection, or nothing when none is idle or transactions already hold max_pinned.
  std::optional<ConnectionId> Acquire(bool for_transaction, TimePoint now);

  /// Gives a connection back.
  /// @param id Connection from Acquire().
  /// @param clean True when the last request got a complete answer and no transaction is open.
  /// @param now Current time.
  /// @returns True when the owner must close the connection: `clean` is false, or OnTimeout() has
  ///     marked the connection, or it is no longer in the pool.
  bool Release(ConnectionId id, bool clean, TimePoint now);

  /// Records that an acquired connection delivered an answer, without releasing it.
  /// @param id Connection from Acquire().
  /// @param now Time of the answer.
  void OnAnswer(ConnectionId id, TimePoint now);

  /// Records that a connection was opened, so that Acquire() may return it.
  /// @param id Id from Plan::open.
  /// @param now Current time.
  void OnOpened(ConnectionId id, TimePoint now);

  /// Records that a connection could not be opened. Until a randomised wait (backoff) ends, Tick()
  /// plans no new connection.
  /// @param id Id from Plan::open.
  /// @param now Current time.
  /// @param random Uniformly distributed random bits, for jitter.
  void OnOpenFailed(ConnectionId id, TimePoint now, uint64_t random);

  /// Removes a connection that the endpoint closed, whether idle or in use.
  /// @param id Any connection.
  void OnClosed(ConnectionId id);

  /// Records that a request got no answer in time. Also closes every other connection whose
  /// opening and last answer were both longer than `timeout` ago, because a connection that stops
  /// responding reports no error.
  /// @param id Connection of the request; it is removed and the owner must close it.
  /// @param timeout How long the request waited.
  /// @param now Current time.
  /// @returns The connections to close now: `id` and idle ones. Connections in use are closed at
  ///     Release().
  std::vector<ConnectionId> OnTimeout(ConnectionId id, Duration timeout, TimePoint now);

  /// Decides which connections to open and close now.
  /// @param waiting Number of requests that wait for a connection or a slot.
  /// @param now Current time.
  /// @returns The plan.
  Plan Tick(size_t waiting, TimePoint now);

  /// @returns The number of connections that are open or being opened.
  int Size() const { return static_cast<int>(this->connections.size()); }

  /// @returns The number of idle connections, which Acquire() may return.
  int Idle() const { return this->Count(State::kIdle); }

  /// @returns The number of connections that transactions hold.
  int Pinned() const;

 private:
  enum class State { kOpening, kIdle, kInUse };

  struct Connection {
    State state = State::kOpening;
    bool pinned = false;
    bool close_on_release = false;
    // Time of the last answer; before the first answer, the time at which the connection was
    // opened.
    TimePoint last_success;
    TimePoint last_used;
  };

  int Count(State state) const;

  PoolSettings settings;
  std::map<ConnectionId, Connection> connections;
  ConnectionId next_id = 1;
  int failures = 0;           // Consecutive failed attempts to open a connection.
  TimePoint open_not_before;  // End of the backoff; no connection is opened before this time.
};

}  // namespace poplarmoor
