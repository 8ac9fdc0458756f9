#include "config/config_problem.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace poplarmoor {

namespace {

std::string JoinProblems(const std::vector<ConfigProblem>& problems) {
  std::string text;
  for (const ConfigProblem& problem : problems) {
    text += (text.empty() ? "" : "\n") + problem.ToString();
  }
  return text;
}

// Computes the Levenshtein distance of two strings.
size_t EditDistance(const std::string& left, const std::string& right) {
  std::vector<size_t> row(right.size() + 1);
  std::iota(row.begin(), row.end(), size_t{0});
  for (size_t i = 1; i <= left.size(); ++i) {
    size_t diagonal = std::exchange(row[0], i);
    for (size_t j = 1; j <= right.size(); ++j) {
      const size_t substitution = diagonal + (left[i - 1] == right[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({row[j] + 1, row[j - 1] + 1, substitution});
    }
  }
  return row.back();
}

}  // namespace

std::string ConfigProblem::ToString() const {
  std::string text = this->file + ": " + (this->pointer.empty() ? "/" : this->pointer) + ": ";
  text += this->message;
  if (!this->value.empty()) {
    text += ", found " + this->value;
  }
  if (!this->allowed.empty()) {
    text += "; allowed: " + this->allowed;
  }
  return text;
}

ConfigError::ConfigError(std::vector<ConfigProblem> problems)
    : std::runtime_error(JoinProblems(problems)), problems(std::move(problems)) {}

std::string FindNearest(const std::string& name, const std::vector<std::string>& known) {
  std::string nearest;
  // A suggestion that differs from `name` in more than half of the letters would mislead more often
  // than help.
  size_t best = name.size() / 2 + 1;
  for (const std::string& candidate : known) {
    const size_t distance = EditDistance(name, candidate);
    if (distance < best) {
      best = distance;
      nearest = candidate;
    }
  }
  return nearest;
}

std::string JoinNames(const std::vector<std::string>& names) {
  std::string text;
  for (const std::string& name : names) {
    text += (text.empty() ? "" : ", ") + name;
  }
  return text;
}

}  // namespace poplarmoor
