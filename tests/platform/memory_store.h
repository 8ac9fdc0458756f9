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
    snapshot.revision = this->revision;
    for (const auto& [name, object] : this->kinds[kind]) {
      snapshot.objects.push_back(object);
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
    const auto found = this->kinds[kind].find(name);
    if (found == this->kinds[kind].end()) {
      co_return std::nullopt;
    }
    co_return found->second;
  }

  boost::asio::awaitable<uint64_t> Put(std::string kind,
                                       std::string name,
                                       std::string value,
                                       uint64_t expected) override {
    StoredObject& object = this->kinds[kind][name];
    if (object.revision != expected) {
      throw StoreError(StoreFailure::kConflict, "the object has another revision");
    }
    object = {name, ++this->revision, std::move(value), false};
    co_return object.revision;
  }

  boost::asio::awaitable<void> Set(std::string kind, std::string name, std::string value) override {
    this->kinds[kind][name] = {name, ++this->revision, std::move(value), false};
    co_return;
  }

  boost::asio::awaitable<void> Remove(std::string kind, std::string name) override {
    this->kinds[kind].erase(name);
    co_return;
  }

  uint64_t revision = 1;
  std::map<std::string, std::map<std::string, StoredObject>> kinds;
};

}  // namespace poplarmoor::platform
