#include "kernel/session_state.h"

#include <xxhash.h>

namespace poplarmoor {

bool ConnectionState::HoldsValuesOf(const SessionState& state) const {
  if (!this->holds_values) {
    return state.values.empty();
  }
  return this->session == state.session && this->values_version == state.values_version;
}

std::vector<SetupStep> ConnectionState::StepsFor(const SessionState& state,
                                                 const PreparedStatement* needed) const {
  std::vector<SetupStep> steps;
  const bool matches = this->HoldsValuesOf(state);
  if (!matches) {
    if (this->holds_values) {
      steps.push_back({SetupStep::Kind::kReset, "", "", {}});
    }
    for (const auto& [name, value] : state.values) {
      steps.push_back({SetupStep::Kind::kSetValue, name, value, {}});
    }
  }
  // A reset also forgets the prepared statements.
  const bool forgotten = !matches && this->holds_values;
  if (needed != nullptr && (forgotten || !this->prepared.contains(*needed))) {
    steps.push_back({SetupStep::Kind::kPrepare, PooledName(*needed), "", *needed});
  }
  return steps;
}

void ConnectionState::Apply(const SessionState& state, const PreparedStatement* needed) {
  if (!this->HoldsValuesOf(state)) {
    if (this->holds_values) {
      this->prepared.clear();
    }
    this->session = state.session;
    this->values_version = state.values_version;
    this->holds_values = !state.values.empty();
  }
  if (needed != nullptr) {
    this->prepared.insert(*needed);
  }
}

void ConnectionState::ApplyValue(const SessionState& state) {
  this->session = state.session;
  this->values_version = state.values_version;
  this->holds_values = true;
}

std::string ConnectionState::PooledName(const PreparedStatement& statement) {
  constexpr char kDigits[] = "0123456789abcdef";
  uint64_t hash = XXH64(statement.shape.data(), statement.shape.size(), statement.read_only);
  std::string name = statement.read_only ? "r" : "w";
  for (int digit = 0; digit < 16; ++digit, hash >>= 4) {
    name += kDigits[hash & 15];
  }
  return name;
}

}  // namespace poplarmoor
