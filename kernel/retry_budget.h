#pragma once

namespace poplarmoor {

/// Limits retries to a share of the traffic, so that retries cannot multiply an overload.
class RetryBudget {
 public:
  /// @param share Retries allowed for each request, 0.1 by default.
  /// @param burst Largest number of saved retries; also the initial number.
  explicit RetryBudget(double share = 0.1, double burst = 20.0);

  /// Counts a first attempt.
  void OnRequest();

  /// @returns Whether a retry is allowed; if so, it is counted.
  bool TryTake();

  /// @returns Retries that are allowed now.
  double Tokens() const { return this->tokens; }

 private:
  double share;
  double burst;
  double tokens;
};

}  // namespace poplarmoor
