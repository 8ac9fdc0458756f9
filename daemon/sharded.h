#pragma once

#include <array>
#include <functional>
#include <mutex>
#include <string>

namespace poplarmoor {

/// State that is divided by a text key, each part under its own lock.
template <typename State>
class Sharded {
 public:
  /// Runs a function on the part of a key, under the part's lock.
  /// @param key Any text.
  /// @param function Takes a State&.
  /// @returns The function's result.
  template <typename Function>
  auto With(const std::string& key, Function function) {
    Shard& shard = this->shards[std::hash<std::string>()(key) % kShards];
    std::lock_guard lock(shard.mutex);
    return function(shard.state);
  }

  /// Runs a function on each part in turn, under that part's lock.
  /// @param function Takes a State&.
  template <typename Function>
  void ForEach(Function function) {
    for (Shard& shard : this->shards) {
      std::lock_guard lock(shard.mutex);
      function(shard.state);
    }
  }

 private:
  static constexpr size_t kShards = 16;

  struct alignas(64) Shard {  // A cache line of its own, so that threads do not share one.
    std::mutex mutex;
    State state;
  };

  std::array<Shard, kShards> shards;
};

}  // namespace poplarmoor
