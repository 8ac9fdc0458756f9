#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace poplarmoor {

/// Objects of the platform stand-in. Each object has a version, which counts its updates. The store
/// has one revision, which counts the updates of all objects.
class ObjectStore {
 public:
  /// Stored object with its version.
  struct Object {
    std::string kind;
    std::string name;
    uint64_t version = 0;   // Number of updates of the object; 0 if it does not exist.
    uint64_t revision = 0;  // Revision of the store after the object's last update.
    nlohmann::json value;
  };

  /// Updates an object if it has the expected version.
  /// @param kind Kind of the object.
  /// @param name Name of the object.
  /// @param value New value.
  /// @param if_version Expected version; 0 if the object must not exist.
  /// @returns True if the object was updated; false if it had another version and is unchanged.
  bool Put(const std::string& kind,
           const std::string& name,
           nlohmann::json value,
           uint64_t if_version);

  /// @returns The object; its version is 0 if it does not exist.
  Object Get(const std::string& kind, const std::string& name) const;

  /// @param kind Kind of the listed objects.
  /// @param since Only objects that changed after this revision are listed; 0 lists all.
  /// @returns JSON object {revision, objects} with the revision of the store.
  nlohmann::json List(const std::string& kind, uint64_t since) const;

  /// @returns True if an object of this kind changed after the store had the revision `since`.
  bool HasChanged(const std::string& kind, uint64_t since) const;

 private:
  std::map<std::pair<std::string, std::string>, Object> objects;
  // Revision of the store after the last update of an object of a kind, by kind.
  std::map<std::string, uint64_t> kind_revisions;
  uint64_t revision = 0;
};

/// @returns The object as JSON {kind, name, version, revision, value}.
nlohmann::json ToJson(const ObjectStore::Object& object);

}  // namespace poplarmoor
