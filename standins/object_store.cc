#include "standins/object_store.h"

namespace poplarmoor {

using nlohmann::json;

bool ObjectStore::Put(const std::string& kind,
                      const std::string& name,
                      json value,
                      uint64_t if_version) {
  const auto found = this->objects.find({kind, name});
  const uint64_t version = found == this->objects.end() ? 0 : found->second.version;
  if (version != if_version) {
    return false;
  }
  ++this->revision;
  this->kind_revisions[kind] = this->revision;
  this->objects[{kind, name}] = {kind, name, version + 1, this->revision, std::move(value)};
  return true;
}

ObjectStore::Object ObjectStore::Get(const std::string& kind, const std::string& name) const {
  const auto found = this->objects.find({kind, name});
  return found == this->objects.end() ? Object{kind, name, 0, 0, nullptr} : found->second;
}

json ObjectStore::List(const std::string& kind, uint64_t since) const {
  json list = json::array();
  for (auto object = this->objects.lower_bound({kind, ""});
       object != this->objects.end() && object->first.first == kind; ++object) {
    if (object->second.revision > since) {
      list.push_back(ToJson(object->second));
    }
  }
  return {{"revision", this->revision}, {"objects", list}};
}

bool ObjectStore::HasChanged(const std::string& kind, uint64_t since) const {
  const auto found = this->kind_revisions.find(kind);
  return found != this->kind_revisions.end() && found->second > since;
}

json ToJson(const ObjectStore::Object& object) {
  return {{"kind", object.kind},
          {"name", object.name},
          {"version", object.version},
          {"revision", object.revision},
          {"value", object.value}};
}

}  // namespace poplarmoor
