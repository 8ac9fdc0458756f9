#pragma once

#include <coroutine>
#include <exception>
#include <optional>
#include <utility>

namespace poplarmoor {

/// Coroutine of a simulated process. It starts when it is awaited or resumed, and its frame is
/// destroyed with this object.
/// @tparam T Type of the result.
template <typename T>
class SimulatedTask {
 public:
  // The C++ standard requires a coroutine's result type to have a member of this name.
  struct promise_type {  // NOLINT(readability-identifier-naming)
    struct FinalAwaiter {
      bool await_ready() noexcept { return false; }
      std::coroutine_handle<> await_suspend(std::coroutine_handle<promise_type> task) noexcept {
        const std::coroutine_handle<> next = task.promise().continuation;
        return next ? next : std::noop_coroutine();
      }
      void await_resume() noexcept {}
    };

    SimulatedTask get_return_object() {
      return SimulatedTask(std::coroutine_handle<promise_type>::from_promise(*this));
    }
    std::suspend_always initial_suspend() noexcept { return {}; }
    FinalAwaiter final_suspend() noexcept { return {}; }
    void return_value(T result) { this->value = std::move(result); }
    void unhandled_exception() { std::terminate(); }

    std::coroutine_handle<> continuation;
    std::optional<T> value;
  };

  explicit SimulatedTask(std::coroutine_handle<promise_type> handle) : handle(handle) {}
  SimulatedTask(SimulatedTask&& other) noexcept : handle(std::exchange(other.handle, {})) {}
  SimulatedTask& operator=(SimulatedTask&& other) noexcept {
    std::swap(this->handle, other.handle);
    return *this;
  }
  SimulatedTask(const SimulatedTask&) = delete;
  SimulatedTask& operator=(const SimulatedTask&) = delete;
  ~SimulatedTask() {
    if (this->handle) {
      this->handle.destroy();
    }
  }

  void Start() { this->handle.resume(); }
  bool IsDone() const { return this->handle.done(); }

  bool await_ready() const noexcept { return false; }
  std::coroutine_handle<> await_suspend(std::coroutine_handle<> waiter) noexcept {
    this->handle.promise().continuation = waiter;
    return this->handle;
  }
  T await_resume() { return std::move(*this->handle.promise().value); }

 private:
  std::coroutine_handle<promise_type> handle;
};

}  // namespace poplarmoor
