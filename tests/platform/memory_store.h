#pragma once

#include <map>
#include <utility>

#include "session/object_store.h"

namespace poplarmoor::platform {

/// Object store that keeps its objects in memory and refuses all requests to watch them.
class MemoryStore : public ObjectStore {
 public:
  boost::asio::awaitable<StoreSnapshot> List(std::string kind, bool) override {
    StoreSnapshot snapshot;
    snapshot.revision = {this->era, this->revision};
    for (const auto& [name, object] : this->kinds[kind]) {
      snapshot.objects.push_back(object);
      snapshot.objects.back().revision.era = this->era;
    }
    co_return snapshot;
  }

  boost::asio::awaitable<StoreSnapshot> Watch(std::string,
                                              uint64_t,
                                              std::chrono::milliseconds) override {
    throw StoreError(StoreFailure::kRefused, "the memory store has no watches");
    co_return StoreSnapshot();
  }

  boost::asio::awaitable<std::optional<StoredObject>> Get(std::string kind,
                                                          std::string name,
                                                          bool) override {
    ++this->reads;
    if (this->refuses_reads) {
      throw StoreError(StoreFailure::kRefused, "the memory store refuses reads");
    }
    const auto found = this->kinds[kind].find(name);
    if (found == this->kinds[kind].end()) {
      co_return std::nullopt;
    }
    StoredObject object = found->second;
    object.revision.era = this->era;
    co_return object;
  }

  boost::asio::awaitable<StoreRevision> Put(std::string kind,
                                            std::string name,
                                            std::string value,
                                            uint64_t expected) override {
    StoredObject& object = this->kinds[kind][name];
    if (object.revision.number != expected) {
      throw StoreError(StoreFailure::kConflict, "the object has another revision");
    }
    object = {name, this->NextRevision(), std::move(value), false};
    co_return object.revision;
  }

  boost::asio::awaitable<void> Set(std::string kind, std::string name, std::string value) override {
    this->kinds[kind][name] = {name, this->NextRevision(), std::move(value), false};
    co_return;
  }

  boost::asio::awaitable<void> Remove(std::string kind, std::string name) override {
    this->kinds[kind].erase(name);
    co_return;
  }

  /// @returns Revision of the next change.
  StoreRevision NextRevision() { return {this->era, ++this->revision}; }

  /// Restores the store from a copy, which begins a new era.
  /// @param copy Earlier state of this store.
  void RestoreFrom(const MemoryStore& copy) {
    this->kinds = copy.kinds;
    this->revision = copy.revision;
    ++this->era;
  }

  int reads = 0;               // Number of calls of Get().
  bool refuses_reads = false;  // Whether Get() fails.
  uint64_t era = 0;
  uint64_t revision = 1;  // Number of the latest change.
  std::map<std::string, std::map<std::string, StoredObject>> kinds;
};

}  // namespace poplarmoor::platform
