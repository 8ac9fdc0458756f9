#include "daemon/platform_watcher.h"

#include <boost/asio.hpp>
#include <nlohmann/json.hpp>
#include <optional>

#include "daemon/control_state.h"
#include "net/now.h"
#include "net/platform_client.h"
#include "telemetry/log.h"

namespace poplarmoor {

namespace asio = boost::asio;

namespace {

// Delay before this daemon asks again whether it may call the platform, after
// ControlState::TakePlatformCall() has refused the call.
constexpr std::chrono::milliseconds kBudgetCheckInterval{100};

// Time between two checks whether this daemon has become a platform watcher.
constexpr std::chrono::milliseconds kRoleCheckInterval{500};

// Longest time for which the platform may delay its answer to the first watch call after a failed
// platform call. It is short because the circuit breaker admits no other call, not even one of a
// promotion, until this watch call has ended.
constexpr std::chrono::milliseconds kTrialWatchWait{50};

ConfigUnit ToUnit(UnitKind kind, const PlatformObject& object) {
  return {kind, object.name, object.version, object.revision, object.value};
}

asio::awaitable<void> Sleep(std::chrono::milliseconds duration) {
  asio::steady_timer timer(co_await asio::this_coro::executor, duration);
  co_await timer.async_wait(asio::use_awaitable);
}

}  // namespace

PlatformWatcher::PlatformWatcher(asio::any_io_executor executor,
                                 PlatformClient* platform,
                                 ControlState* state,
                                 Publish publish,
                                 std::chrono::milliseconds watch,
                                 std::chrono::milliseconds vm_poll)
    : executor(executor),
      platform(platform),
      state(state),
      publish(std::move(publish)),
      watch(watch),
      vm_poll(vm_poll) {}

void PlatformWatcher::Start() {
  for (const UnitKind kind : {UnitKind::kConfig, UnitKind::kGroup, UnitKind::kVm}) {
    asio::co_spawn(
        asio::make_strand(this->executor),
        [self = this->shared_from_this(), kind] { return self->WatchKind(kind); }, asio::detached);
  }
  asio::co_spawn(
      asio::make_strand(this->executor),
      [self = this->shared_from_this()] { return self->PollVms(); }, asio::detached);
}

asio::awaitable<void> PlatformWatcher::WatchKind(UnitKind kind) {
  const std::string name(kUnitKindNames.NameOf(kind));
  std::optional<uint64_t> since;
  bool failed = false;  // Whether the latest platform call failed.
  while (!this->stopped) {
    if (!this->state->WatcherRank()) {
      // A daemon that is no watcher misses changes. If this daemon becomes a watcher, it therefore
      // lists all units before it watches for changes.
      since.reset();
      co_await Sleep(kRoleCheckInterval);
      continue;
    }
    if (!this->state->TakePlatformCall(/*urgent=*/false, Now())) {
      co_await Sleep(kBudgetCheckInterval);
      continue;
    }
    try {
      PlatformSnapshot snapshot;
      if (!since) {
        snapshot = co_await this->platform->List(name);
      } else {
        snapshot =
            co_await this->platform->Watch(name, *since, failed ? kTrialWatchWait : this->watch);
      }
      this->state->OnPlatformAnswer(true, Now());
      failed = false;
      since = snapshot.revision;
      std::vector<ConfigUnit> units;
      for (const PlatformObject& object : snapshot.objects) {
        units.push_back(ToUnit(kind, object));
      }
      this->publish(std::move(units));
    } catch (const PlatformError& error) {
      this->state->OnPlatformAnswer(false, Now());
      failed = true;
      Log(LogLevel::kWarn, "cannot read or watch configuration units on the platform",
          {{"kind", name}, {"error", error.what()}});
    }
  }
}

asio::awaitable<void> PlatformWatcher::PollVms() {
  while (!this->stopped) {
    co_await Sleep(this->vm_poll);
    const std::optional<size_t> rank = this->state->WatcherRank();
    if (!rank || !this->state->TakePlatformCall(/*urgent=*/false, Now())) {
      continue;
    }
    try {
      co_await this->StoreVmChanges(*rank);
    } catch (const PlatformError& error) {
      const bool answered = error.failure == PlatformFailure::kConflict;
      this->state->OnPlatformAnswer(answered, Now());
      if (!answered) {
        Log(LogLevel::kWarn, "cannot read the VM list or store a VM's state on the platform",
            {{"error", error.what()}});
      }
    }
  }
}

asio::awaitable<void> PlatformWatcher::StoreVmChanges(size_t rank) {
  const std::vector<VmInfo> vms = co_await this->platform->Vms();
  this->state->OnPlatformAnswer(true, Now());
  for (const VmInfo& vm : vms) {
    const std::optional<ConfigUnit> unit = this->state->FindUnit(UnitKind::kVm, vm.name);
    bool known_leaving = false;
    if (unit) {
      const auto json = nlohmann::json::parse(unit->content, nullptr, false);
      known_leaving = json.is_object() && json.value("state", "") == "leaving";
      // An endpoint that an operator drained stays drained even if its VM is listed as live.
      if (json.is_object() && json.value("drained", false)) {
        continue;
      }
    }
    if (known_leaving == vm.leaving) {
      this->differing_polls.erase(vm.name);
      continue;
    }
    // The first watcher of the failure domain writes a changed VM state at the first read that
    // shows the change. The second watcher writes it one read later, and only if the first watcher
    // has not written it by then.
    if (++this->differing_polls[vm.name] <= static_cast<int>(rank) ||
        !this->state->TakePlatformCall(/*urgent=*/true, Now())) {
      continue;
    }
    const std::string value = nlohmann::json{{"name", vm.name},
                                             {"role", vm.role},
                                             {"failure_domain", vm.failure_domain},
                                             {"state", vm.leaving ? "leaving" : "live"}}
                                  .dump();
    const PlatformObject stored =
        co_await this->platform->Put("vm", vm.name, value, unit ? unit->version : 0);
    this->state->OnPlatformAnswer(true, Now());
    this->publish({ToUnit(UnitKind::kVm, stored)});
  }
}

}  // namespace poplarmoor
