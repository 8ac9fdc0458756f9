#pragma once

#include <utility>

#include <optional>
#include <string>

#include "kernel/time.h"

namespace poplarmoor {

/// Whether an operation may run. This is not an aggregate: g++ 12 destroys an aggregate twice when
/// a co_await expression builds it from braces.
class Admission {
 public:
  /// Admits an operation that needs no token.
  Admission() = default;

  /// Admits an operation with a token.
  /// @param expires When the token expires.
  explicit Admission(TimePoint expires) : token_expiry(expires) {}

  /// Refuses an operation.
  /// @param refusal Text for the caller.
  explicit Admission(std::string refusal) : refusal_text(std::move(refusal)) {}

  bool IsRefused() const { return !this->refusal_text.empty(); }
  const std::string& refusal() const { return this->refusal_text; }

  /// @returns When the operation's token expires; empty if it has none.
  const std::optional<TimePoint>& token() const { return this->token_expiry; }

 private:
  std::optional<TimePoint> token_expiry;
  std::string refusal_text;
};

}  // namespace poplarmoor
