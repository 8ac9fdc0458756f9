#include "kernel/organisation/organisation_table.h"

#include <xxhash.h>

#include <cmath>
#include <stdexcept>
#include <utility>

namespace poplarmoor {

namespace {

[[noreturn]] void Refuse(const Organisation& organisation, const std::string& rule) {
  throw std::invalid_argument("organisation '" + organisation.name + "' " + rule);
}

bool IsLimit(double number) {
  return std::isfinite(number) && number > 0;
}

}  // namespace

KeyId KeyIdOf(std::string_view key) {
  const KeyId id = XXH64(key.data(), key.size(), 0);
  return id == 0 ? 1 : id;
}

void OrganisationTable::Add(Organisation organisation, const std::vector<std::string>& keys) {
  // The name is a word of a message to endpoints, which blanks and control characters would split.
  const bool is_word = organisation.name.find_first_of(" \t\r\n") == std::string::npos;
  if (organisation.name.empty() || !is_word) {
    Refuse(organisation, "must have a name without blanks");
  }
  if (!IsLimit(organisation.rate) || !IsLimit(organisation.burst)) {
    Refuse(organisation, "must have a rate and a burst above 0");
  }
  if (this->by_name.contains(organisation.name)) {
    Refuse(organisation, "is listed twice");
  }
  for (const std::string& key : keys) {
    if (key.empty()) {
      Refuse(organisation, "has an empty API key");
    }
    const auto [place, added] = this->name_by_key.emplace(KeyIdOf(key), organisation.name);
    if (!added && place->second != organisation.name) {
      Refuse(organisation, "has an API key of organisation '" + place->second + "'");
    }
  }
  std::string name = organisation.name;
  this->by_name.emplace(std::move(name), std::move(organisation));
}

const Organisation* OrganisationTable::FindByKeyId(KeyId key) const {
  const auto found = this->name_by_key.find(key);
  return found == this->name_by_key.end() ? nullptr : this->FindByName(found->second);
}

const Organisation* OrganisationTable::FindByName(std::string_view name) const {
  const auto found = this->by_name.find(name);
  return found == this->by_name.end() ? nullptr : &found->second;
}

}  // namespace poplarmoor
