#pragma once

#include <array>
#include <functional>
#include <mutex>
#include <string>

namespace poplarmoor {

/// State divided into shards by the hash of a text key, with one lock for each shard.
template <typename State>
class Sharded {
 public:
  /// Calls a function with the state of the shard that a key belongs to, under the shard's lock.
  /// @param key Any text.
  /// @param function Takes a State&.
  /// @returns The function's result.
  template <typename Function>
  auto With(const std::string& key, Function function) {
    Shard& shard = this->shards[std::hash<std::string>()(key) % kShards];
    std::lock_guard lock(shard.mutex);
    return function(shard.state);
  }

  /// Calls a function with the state of each shard in turn, under that shard's lock.
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

  struct alignas(64) Shard {  // Aligned to a cache line, which prevents false sharing.
    std::mutex mutex;
    State state;
  };

  std::array<Shard, kShards> shards;
};

}  // namespace poplarmoor
