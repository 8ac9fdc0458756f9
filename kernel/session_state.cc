#include "kernel/session_state.h"

#include <xxhash.h>

#include <algorithm>

namespace poplarmoor {

bool ConnectionState::HasValueMissingIn(const SessionState& state) const {
  return std::any_of(this->values.begin(), this->values.end(),
                     [&state](const auto& value) { return !state.values.contains(value.first); });
}

std::vector<SetupStep> ConnectionState::SetupStepsFor(const SessionState& state,
                                                      const PreparedStatement* needed) const {
  std::vector<SetupStep> steps;
  // A connection cannot unset one session value and keep the others. A reset of the connection
  // unsets all values and also drops the prepared statements.
  const bool reset = this->HasValueMissingIn(state);
  if (reset) {
    steps.push_back({SetupStep::Kind::kReset, "", "", {}});
  }
  for (const auto& [name, value] : state.values) {
    const auto current = this->values.find(name);
    if (reset || current == this->values.end() || current->second != value) {
      steps.push_back({SetupStep::Kind::kSetValue, name, value, {}});
    }
  }
  if (needed != nullptr && (reset || !this->prepared.contains(*needed))) {
    steps.push_back({SetupStep::Kind::kPrepare, PreparedName(*needed), "", *needed});
  }
  return steps;
}

void ConnectionState::Apply(const SessionState& state, const PreparedStatement* needed) {
  if (this->HasValueMissingIn(state)) {
    this->prepared.clear();
  }
  this->values = state.values;
  if (needed != nullptr) {
    this->prepared.insert(*needed);
  }
}

std::string ConnectionState::PreparedName(const PreparedStatement& statement) {
  constexpr char kDigits[] = "0123456789abcdef";
  uint64_t hash = XXH64(statement.shape.data(), statement.shape.size(), statement.read_only);
  std::string name = statement.read_only ? "r" : "w";
  for (int digit = 0; digit < 16; ++digit, hash >>= 4) {
    name += kDigits[hash & 15];
  }
  return name;
}

}  // namespace poplarmoor
