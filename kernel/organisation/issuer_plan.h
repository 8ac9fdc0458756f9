#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/placement/gateway_plan.h"

namespace poplarmoor {

/// Chooses the issuers of each organisation: the daemons that issue the tokens for its operations.
/// Daemons with equal lists of daemons choose equal issuers.
class IssuerPlan {
 public:
  IssuerPlan() = default;

  /// @param daemons All live daemons.
  explicit IssuerPlan(const std::vector<Peer>& daemons);

  /// @returns Number of issuers of each organisation: at least three if there are as many daemons,
  ///     at most eight. Each issuer issues this fraction of an organisation's rate and burst.
  size_t Count() const;

  /// @returns The issuers of an organisation, Count() daemons.
  std::vector<Peer> IssuersOf(std::string_view organisation) const;

  /// @param daemon Name and failure domain of a daemon.
  /// @returns Whether the daemon is an issuer of the organisation.
  bool IsIssuer(std::string_view organisation, const Peer& daemon) const;

  /// @param entry The daemon that asks for tokens.
  /// @param regions Region of each failure domain; a domain that is missing has no region.
  /// @returns The issuers of an organisation, those nearest to `entry` first: those in its failure
  ///     domain, then in its region, then the others.
  std::vector<Peer> NearestIssuers(std::string_view organisation,
                                   const Peer& entry,
                                   const std::map<std::string, std::string>& regions) const;

  /// @param daemon A daemon of this plan.
  /// @returns Whether daemons of other failure domains choose other issuers, or another number of
  ///     them, because of this daemon. In a fleet with three or more domains this holds only for
  ///     the single daemon of a domain.
  bool AffectsOtherDomains(const Peer& daemon) const;

  /// @returns The daemons of a failure domain.
  const std::vector<Peer>& DaemonsOf(const std::string& failure_domain) const;

  /// @returns All daemons.
  std::vector<Peer> Daemons() const;

 private:
  using Domains = std::map<std::string, std::vector<Peer>>;

  size_t IssuersPerDomain() const;
  // Failure domains with issuers of the organisation.
  std::vector<const Domains::value_type*> DomainsOf(std::string_view organisation) const;
  std::vector<Peer> IssuersIn(const std::vector<Peer>& daemons,
                              std::string_view organisation) const;

  Domains domains;
};

}  // namespace poplarmoor
