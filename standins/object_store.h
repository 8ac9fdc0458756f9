#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace poplarmoor {

/// Objects of the platform stand-in, with versions and one revision over all of them.
class ObjectStore {
 public:
  /// One object.
  struct Object {
    std::string kind;
    std::string name;
    uint64_t version = 0;   // Counts the object's updates; 0 means that it does not exist.
    uint64_t revision = 0;  // The store's revision after the object's last update.
    nlohmann::json value;
  };

  /// Updates an object if it has the expected version.
  /// @param kind Kind of the object.
  /// @param name Name of the object.
  /// @param value New value.
  /// @param if_version Expected version; 0 when the object must not exist.
  /// @returns Whether the update took effect.
  bool Put(const std::string& kind,
           const std::string& name,
           nlohmann::json value,
           uint64_t if_version);

  /// @returns The object; its version is 0 when it does not exist.
  Object Get(const std::string& kind, const std::string& name) const;

  /// @param kind Kind of objects.
  /// @param since Only objects changed after this revision.
  /// @returns {revision, objects}.
  nlohmann::json List(const std::string& kind, uint64_t since) const;

  /// @returns Whether an object of this kind changed after the revision.
  bool HasChanged(const std::string& kind, uint64_t since) const;

 private:
  std::map<std::pair<std::string, std::string>, Object> objects;
  std::map<std::string, uint64_t> kind_revisions;  // Revision of each kind's last change.
  uint64_t revision = 0;
};

/// @returns {kind, name, version, revision, value}.
nlohmann::json ToJson(const ObjectStore::Object& object);

}  // namespace poplarmoor
