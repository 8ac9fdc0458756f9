#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "kernel/organisation/issuer_plan.h"
#include "kernel/organisation/organisation_table.h"
#include "kernel/organisation/token_bucket.h"
#include "kernel/organisation/token_grant.h"

namespace poplarmoor {

/// The token buckets of the organisations that one daemon is an issuer of.
class TokenIssuer {
 public:
  /// @param self This daemon.
  /// @param window Window of the limits: an organisation may run its rate times the window and its
  ///     burst in each.
  /// @param slack Number of operations by which an organisation may exceed its limit in one window.
  TokenIssuer(Peer self, Duration window, double slack)
      : self(std::move(self)), window(window), slack(slack) {}

  /// Follows a changed list of daemons or configuration. A new bucket begins almost empty. A
  /// lowered limit takes effect at once, and buckets of organisations that this daemon is no longer
  /// an issuer of are removed.
  void Update(const IssuerPlan& plan, const OrganisationTable& organisations, TimePoint now);

  /// Removes all buckets.
  void Clear() { this->buckets.clear(); }

  /// Issues up to `wanted` tokens of an organisation.
  TokenGrant Issue(std::string_view organisation, uint32_t wanted, TimePoint now);

  /// @returns Number of buckets.
  size_t size() const { return this->buckets.size(); }

  /// Calls `visit` for each bucket with its organisation and the filled share of its capacity.
  void VisitFillLevels(TimePoint now, const std::function<void(const std::string&, double)>& visit);

 private:
  Peer self;
  Duration window;
  double slack;
  std::map<std::string, TokenBucket, std::less<>> buckets;  // By organisation.
};

}  // namespace poplarmoor
