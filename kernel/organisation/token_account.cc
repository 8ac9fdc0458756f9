#include "kernel/organisation/token_account.h"

#include <algorithm>
#include <cmath>

namespace poplarmoor {

namespace {

// Time constant of the smoothed rate: long enough for rates of a few operations/s.
constexpr double kSmoothingSeconds = 2.0;
// Extra tokens are those needed within this time. It is shorter than the tokens' lifetime, so that
// few of them expire.
constexpr double kStockSeconds = 0.3;
// No extra tokens are asked for during this time after an issuer had fewer than were wanted.
constexpr Duration kScarceTime = 1s;
// An issuer that had fewer tokens than were wanted is not asked again for this time, so that most
// operations far beyond the limit are refused without a message. Each of 74 daemons then sends the
// issuer 5 messages a second at most, which a VM with 0.12 cores can answer.
constexpr Duration kEmptyTime = 200ms;
// A daemon that is not an issuer by its own list is not asked again for this time: the lists of the
// daemons differ for up to 30 s.
constexpr Duration kNotIssuerTime = 1s;

}  // namespace

double TokenAccount::Rate(TimePoint now) const {
  const double seconds = std::chrono::duration<double>(now - this->rate_updated).count();
  return this->smoothed_rate * std::exp(-std::max(seconds, 0.0) / kSmoothingSeconds);
}

void TokenAccount::NoteDemand(TimePoint now) {
  this->smoothed_rate = this->Rate(now) + 1.0 / kSmoothingSeconds;
  this->rate_updated = std::max(this->rate_updated, now);
}

void TokenAccount::DropExpired(TimePoint now) {
  this->tokens.erase(this->tokens.begin(), this->tokens.upper_bound(now));
}

std::optional<TimePoint> TokenAccount::Take(TimePoint now) {
  this->DropExpired(now);
  if (this->tokens.empty()) {
    return std::nullopt;
  }
  const auto first = this->tokens.begin();
  const TimePoint expires = first->first;
  if (--first->second == 0) {
    this->tokens.erase(first);
  }
  return expires;
}

uint32_t TokenAccount::Available(TimePoint now) const {
  uint32_t available = 0;
  for (auto lot = this->tokens.upper_bound(now); lot != this->tokens.end(); ++lot) {
    available += lot->second;
  }
  return available;
}

void TokenAccount::Return(TimePoint expires, TimePoint now) {
  if (expires > now) {
    ++this->tokens[expires];
  }
}

uint32_t TokenAccount::Wanted(uint32_t waiting, TimePoint now) const {
  const uint32_t needed = std::max<uint32_t>(waiting, 1);
  if (now < this->scarce_until) {
    return needed;
  }
  return needed + static_cast<uint32_t>(std::floor(this->Rate(now) * kStockSeconds));
}

bool TokenAccount::MayHaveToken(const std::string& issuer, TimePoint now) const {
  const auto found = this->empty_until.find(issuer);
  return found == this->empty_until.end() || found->second <= now;
}

void TokenAccount::NoteAnswer(const std::string& issuer,
                              const TokenGrant& grant,
                              uint32_t wanted,
                              TimePoint sent,
                              TimePoint now) {
  const TimePoint expires = sent + kTokenLifetime;
  if (grant.granted > 0 && expires > now) {
    this->tokens[expires] += std::min(grant.granted, wanted);
  }
  if (!grant.is_issuer) {
    this->empty_until[issuer] = now + kNotIssuerTime;
  } else if (grant.granted < wanted) {
    this->empty_until[issuer] = now + kEmptyTime;
    this->scarce_until = now + kScarceTime;
  } else {
    this->empty_until.erase(issuer);
  }
}

}  // namespace poplarmoor
