#include "kernel/organisation/token_issuer.h"

#include <algorithm>

namespace poplarmoor {

namespace {

// Tokens in a new bucket, at most. The daemon may have issued a full bucket just before it was
// restarted, so these tokens come on top of the limit.
constexpr double kFirstTokens = 2;
// Number of restarts of issuers in one window that the slack has to allow for.
constexpr double kRestarts = 3;
// Smallest capacity of a bucket, if the slack allows it. With one token per bucket, organisations
// of 2.6 operations/s and less that stay below their limit lose more than 5% of their operations
// (see docs/design/organisation-limits.md).
constexpr double kSmallestCapacity = 3;
// Share of the burst that the buckets hold. The rest accrues over the window in addition to the
// rate, so that an organisation with steady demand also gets the rate times the window and the
// burst in each window. The share that is held serves short peaks.
constexpr double kHeldBurst = 0.4;

double CapacityOf(double burst, double issuers, double slack) {
  const double smallest =
      std::clamp((slack - kRestarts * kFirstTokens) / issuers, 1.0, kSmallestCapacity);
  return std::max(kHeldBurst * burst / issuers, smallest);
}

double RateOf(const Organisation& organisation, double issuers, Duration window) {
  const double seconds = std::chrono::duration<double>(window).count();
  return (organisation.rate + (1 - kHeldBurst) * organisation.burst / seconds) / issuers;
}

}  // namespace

void TokenIssuer::Update(const IssuerPlan& plan,
                         const OrganisationTable& organisations,
                         TimePoint now) {
  const auto issuers = static_cast<double>(std::max<size_t>(plan.Count(), 1));
  std::erase_if(this->buckets, [&](const auto& bucket) {
    return organisations.FindByName(bucket.first) == nullptr ||
           !plan.IsIssuer(bucket.first, this->self);
  });
  for (const auto& [name, organisation] : organisations.Organisations()) {
    const double rate = RateOf(organisation, issuers, this->window);
    const double capacity = CapacityOf(organisation.burst, issuers, this->slack);
    const auto found = this->buckets.find(name);
    if (found != this->buckets.end()) {
      found->second.SetLimit(rate, capacity, now);
    } else if (plan.IsIssuer(name, this->self)) {
      const double first = std::min(kHeldBurst * organisation.burst / issuers, kFirstTokens);
      this->buckets.emplace(name, TokenBucket(rate, capacity, first, now));
    }
  }
}

TokenGrant TokenIssuer::Issue(std::string_view organisation, uint32_t wanted, TimePoint now) {
  TokenGrant grant;
  const auto found = this->buckets.find(organisation);
  if (found == this->buckets.end()) {
    return grant;
  }
  grant.is_issuer = true;
  grant.granted = found->second.Take(wanted, now);
  return grant;
}

void TokenIssuer::VisitFillLevels(TimePoint now,
                                  const std::function<void(const std::string&, double)>& visit) {
  for (auto& [name, bucket] : this->buckets) {
    visit(name, bucket.FillLevel(now));
  }
}

}  // namespace poplarmoor
