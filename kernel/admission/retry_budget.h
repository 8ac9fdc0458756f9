#pragma once

namespace poplarmoor {

/// Token bucket that limits the number of retries to a fraction of the number of requests, so that
/// retries cannot multiply an overload.
class RetryBudget {
 public:
  /// @param share Fraction of a token that each new request adds; a retry takes a whole token.
  /// @param burst Maximum and initial number of tokens.
  explicit RetryBudget(double share = 0.1, double burst = 20.0);

  /// Adds the fraction of a token that a new request earns.
  void OnRequest();

  /// Takes one token, which allows one retry.
  /// @returns Whether a token was left, so that the retry is allowed.
  bool TryTake();

  /// @returns The tokens left; each whole one allows a retry.
  double Tokens() const { return this->tokens; }

 private:
  double share;
  double burst;
  double tokens;
};

}  // namespace poplarmoor
