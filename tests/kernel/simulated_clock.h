#pragma once

#include <algorithm>
#include <coroutine>
#include <functional>
#include <memory>
#include <optional>
#include <tuple>
#include <utility>
#include <vector>

#include "kernel/time.h"
#include "tests/kernel/simulated_task.h"

namespace poplarmoor {

/// State of a simulated process. The events of a dead process are dropped, and those of a frozen
/// one run once it goes on.
struct SimulatedProcess {
  bool alive = true;
  TimePoint frozen_until;
};

/// Virtual clock with a queue of events. Events of the same time run in the order of their
/// creation.
class SimulatedClock {
 public:
  /// Awaitable that resumes a coroutine after a delay.
  struct Sleeper {
    SimulatedClock* clock;
    Duration delay;
    const SimulatedProcess* process;

    bool await_ready() const { return false; }
    void await_suspend(std::coroutine_handle<> waiter) const {
      this->clock->After(
          this->delay, [waiter] { waiter.resume(); }, this->process);
    }
    void await_resume() const {}
  };

  TimePoint Now() const { return this->now; }

  /// @param delay Time from now to the event.
  /// @param action Work of the event.
  /// @param process Process in which the event runs; must outlive this object. Null: none.
  void After(Duration delay,
             std::function<void()> action,
             const SimulatedProcess* process = nullptr) {
    size_t slot = this->actions.size();
    if (this->free_slots.empty()) {
      this->actions.emplace_back();
    } else {
      slot = this->free_slots.back();
      this->free_slots.pop_back();
    }
    this->actions[slot] = std::move(action);
    this->events.push_back({this->now + delay, this->sequence++, slot, process});
    std::push_heap(this->events.begin(), this->events.end());
  }

  Sleeper Sleep(Duration delay, const SimulatedProcess* process) { return {this, delay, process}; }

  /// Runs a coroutine until it ends or this object is destroyed.
  void Spawn(SimulatedTask<bool> task) {
    if (this->tasks.size() > 64) {
      std::erase_if(this->tasks, [](const auto& one) { return one->IsDone(); });
    }
    this->tasks.push_back(std::make_unique<SimulatedTask<bool>>(std::move(task)));
    this->tasks.back()->Start();
  }

  /// Runs events until a time, or until Stop() is called.
  void RunUntil(TimePoint end) {
    while (!this->stopped && !this->events.empty() && this->events.front().time <= end) {
      std::pop_heap(this->events.begin(), this->events.end());
      const Event event = this->events.back();
      this->events.pop_back();
      this->now = event.time;
      const std::function<void()> action = std::move(this->actions[event.slot]);
      this->free_slots.push_back(event.slot);
      if (event.process != nullptr && !event.process->alive) {
        continue;
      }
      if (event.process != nullptr && event.process->frozen_until > this->now) {
        this->After(event.process->frozen_until - this->now, action, event.process);
        continue;
      }
      action();
    }
  }

  void Stop() { this->stopped = true; }

 private:
  struct Event {
    TimePoint time;
    uint64_t sequence = 0;
    size_t slot = 0;  // Index of the event's action.
    const SimulatedProcess* process = nullptr;

    bool operator<(const Event& other) const {
      return std::tie(other.time, other.sequence) < std::tie(this->time, this->sequence);
    }
  };

  TimePoint now;
  uint64_t sequence = 0;
  bool stopped = false;
  std::vector<Event> events;  // A heap. Actions are kept apart: they are slow to move.
  std::vector<std::function<void()>> actions;
  std::vector<size_t> free_slots;
  std::vector<std::unique_ptr<SimulatedTask<bool>>> tasks;
};

/// Answer that a simulated process waits for. The first completion counts.
template <typename T>
class SimulatedReply {
 public:
  SimulatedReply(SimulatedClock* clock, const SimulatedProcess* process)
      : clock(clock), process(process) {}
  SimulatedReply(const SimulatedReply&) = delete;
  SimulatedReply& operator=(const SimulatedReply&) = delete;

  void Complete(T result) {
    if (this->value) {
      return;
    }
    this->value = std::move(result);
    if (this->waiter) {
      this->clock->After(
          {}, [waiter = this->waiter] { waiter.resume(); }, this->process);
    }
  }

  /// Awaits the completion of a reply.
  struct Awaiter {
    SimulatedReply* reply;

    bool await_ready() const { return this->reply->value.has_value(); }
    void await_suspend(std::coroutine_handle<> handle) const { this->reply->waiter = handle; }
    T await_resume() const { return *this->reply->value; }
  };

  // g++ 12 copies an awaiter that is awaited as an lvalue, so this class is not one itself.
  Awaiter operator co_await() { return {this}; }

 private:
  SimulatedClock* clock;
  const SimulatedProcess* process;
  std::coroutine_handle<> waiter;
  std::optional<T> value;
};

}  // namespace poplarmoor
