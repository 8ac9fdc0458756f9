#pragma once

#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/organisation/access_check.h"
#include "kernel/route_table.h"
#include "kernel/session_state.h"
#include "session/statement_error.h"

namespace poplarmoor {

class Metrics;

/// Why a session or statement is refused because of its API key.
struct AccessRefusal {
  AccessVerdict verdict = AccessVerdict::kUnknownKey;
  StatementError error = StatementError::kUnauthorised;
  std::string cause;
};

/// What a gateway knows about the access of a relayed statement.
struct RelayedAccess {
  KeyId key = 0;
  std::string organisation;
  uint64_t version = 0;               // Configuration of the sender.
  std::optional<TimePoint> verified;  // When the sender's copy was last verified; see AccessCopy.
};

/// Checks API keys with this daemon's copy of the configuration and tells when the copy changes.
class AccessControl {
 public:
  /// @param routes The configuration in force; must outlive this object.
  AccessControl(boost::asio::any_io_executor executor, const RouteTable* routes);

  /// @param bound Time after which a withdrawn key must not be used; empty: no bound.
  void SetRevocationBound(std::optional<Duration> bound) { this->check = AccessCheck(bound); }

  /// @param metrics Counts refusals; must outlive this object.
  void SetMetrics(Metrics* metrics) { this->metrics = metrics; }

  /// Records that the configuration in force was certainly the store's latest one at some time.
  void NoteVerified(TimePoint verified);

  /// @returns Highest possible age of the copy; empty: it was never verified.
  std::optional<Duration> Age() const;

  /// @returns Version of the configuration in force.
  uint64_t version() const { return this->routes->version; }

  /// Sets the session's key and organisation according to the configuration in force.
  /// @param presented Fingerprint of the key that the caller has sent; 0: none.
  void Resolve(const DatabaseRoute& route, KeyId presented, SessionState* state) const;

  /// @returns Why a statement of the session may not run now, or nothing.
  std::optional<AccessRefusal> Check(const SessionState& state) const;

  /// @returns Why a statement that another daemon has sent may not run now, or nothing.
  std::optional<AccessRefusal> CheckRelayed(const RelayedAccess& access) const;

  /// @returns Whether the configuration in force no longer has the session's key.
  bool IsWithdrawn(const SessionState& state) const;

  /// @returns Whether the configuration in force, if it is as new as the sender's, no longer has
  ///     the key.
  bool IsWithdrawn(const RelayedAccess& access) const;

  /// Logs and counts a refusal.
  /// @param subject What is refused, such as "session".
  /// @param organisation Name of the organisation; empty: unknown.
  /// @param request_id Id of the statement; empty: none.
  void NoteRefusal(std::string_view subject,
                   std::string_view organisation,
                   std::string_view request_id,
                   const AccessRefusal& refusal) const;

  /// Registers a function that is called after each change of the configuration.
  void OnChange(std::function<void()> listener) { this->listeners.push_back(std::move(listener)); }

  /// To be called after each change of the configuration.
  void NotifyChange();

  /// Waits for the result of other work, but not after the configuration in force forbids the
  /// access for which it is wanted.
  /// @param allowed Whether the access is still allowed; called after each change of the
  ///     configuration.
  /// @param work Runs to its end in the background in any case; must not refer to objects of the
  ///     calling function.
  /// @param discard Called with a result that comes after the wait was ended.
  /// @returns The result, or nothing when the access is no longer allowed.
  template <typename Result>
  boost::asio::awaitable<std::optional<Result>> AwaitWhile(std::function<bool()> allowed,
                                                           boost::asio::awaitable<Result> work,
                                                           std::function<void(Result)> discard);

 private:
  using Timer = boost::asio::steady_timer;

  AccessCopy OwnCopy() const;
  std::optional<AccessRefusal> ToRefusal(AccessVerdict verdict) const;

  boost::asio::any_io_executor executor;
  const RouteTable* routes;
  AccessCheck check{std::nullopt};
  std::optional<TimePoint> verified;
  Metrics* metrics = nullptr;
  std::vector<std::function<void()>> listeners;
  std::set<std::shared_ptr<Timer>> waits;  // Timers of the AwaitWhile() calls in progress.
};

template <typename Result>
boost::asio::awaitable<std::optional<Result>> AccessControl::AwaitWhile(
    std::function<bool()> allowed,
    boost::asio::awaitable<Result> work,
    std::function<void(Result)> discard) {
  struct Pending {
    std::optional<Result> result;
    std::exception_ptr failure;
    bool abandoned = false;
  };
  const auto pending = std::make_shared<Pending>();
  const auto timer = std::make_shared<Timer>(this->executor);
  boost::asio::co_spawn(
      this->executor, std::move(work),
      [pending, timer, discard = std::move(discard)](std::exception_ptr failure, Result result) {
        if (pending->abandoned) {
          if (!failure) {
            discard(std::move(result));
          }
          return;
        }
        pending->failure = failure;
        pending->result.emplace(std::move(result));
        timer->cancel();
      });
  this->waits.insert(timer);
  while (!pending->result && !pending->abandoned) {
    timer->expires_at(Timer::time_point::max());
    boost::system::error_code error;
    co_await timer->async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, error));
    pending->abandoned = !pending->result && !allowed();
  }
  this->waits.erase(timer);
  if (pending->failure) {
    std::rethrow_exception(pending->failure);
  }
  co_return std::move(pending->result);
}

}  // namespace poplarmoor
