#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "kernel/organisation/token_grant.h"
#include "kernel/time.h"

namespace poplarmoor {

/// What an entry daemon knows of one organisation: the tokens that it holds, an estimate of the
/// demand, and which issuers have no token.
class TokenAccount {
 public:
  /// Records that an operation needs a token.
  void NoteDemand(TimePoint now);

  /// Takes a token.
  /// @returns When the token expires, or nothing if there is no token.
  std::optional<TimePoint> Take(TimePoint now);

  /// @returns Number of tokens that have not expired.
  uint32_t Available(TimePoint now) const;

  /// Puts back the token of an operation that has not run. An expired token is dropped.
  /// @param expires When the token expires.
  void Return(TimePoint expires, TimePoint now);

  /// @param waiting Number of operations that wait for a token.
  /// @returns Number of tokens to ask an issuer for: one for each waiting operation, and those that
  ///     will probably be needed soon unless the issuers had none lately. Extra tokens that expire
  ///     unused would then be missing elsewhere.
  uint32_t Wanted(uint32_t waiting, TimePoint now) const;

  /// @param issuer Name of a daemon.
  /// @returns Whether the issuer may have a token, as far as its last answer tells.
  bool MayHaveToken(const std::string& issuer, TimePoint now) const;

  /// Records the answer of an issuer and adds the granted tokens.
  /// @param sent Time at which the issuer was asked; the tokens' validity begins then.
  void NoteAnswer(const std::string& issuer,
                  const TokenGrant& grant,
                  uint32_t wanted,
                  TimePoint sent,
                  TimePoint now);

  /// @returns Smoothed rate of the operations at this daemon, per second.
  double Rate(TimePoint now) const;

  /// Time from the request for a token until the token expires. The limit's tolerance allows for
  /// tokens that are used this much later than they were issued.
  static constexpr Duration kTokenLifetime = 400ms;

 private:
  void DropExpired(TimePoint now);

  std::map<TimePoint, uint32_t> tokens;          // Number of tokens by time of expiry.
  std::map<std::string, TimePoint> empty_until;  // By name of the issuer.
  TimePoint scarce_until;                        // Until then, no extra tokens are asked for.
  double smoothed_rate = 0;
  TimePoint rate_updated;
};

}  // namespace poplarmoor
