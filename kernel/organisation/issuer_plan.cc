#include "kernel/organisation/issuer_plan.h"

#include <algorithm>
#include <utility>

#include "kernel/ownership.h"

namespace poplarmoor {

namespace {

// With three issuers, two thirds of an organisation's rate remain when one issuer is lost, which is
// more than the usual demand (the rate divided by 1.6).
constexpr size_t kMinIssuers = 3;
// Limits the calls of an entry daemon for an operation of an organisation that has reached its
// limit.
constexpr size_t kMaxIssuers = 8;

std::string ScoreKey(std::string_view organisation) {
  return "limit/" + std::string(organisation);
}

// Keeps the `count` items with the highest scores, in descending order.
template <typename Item, typename Score>
void KeepHighest(std::vector<Item>* items, size_t count, Score score) {
  std::vector<std::pair<uint64_t, Item>> scored;
  scored.reserve(items->size());
  for (Item& item : *items) {
    const uint64_t item_score = score(item);
    scored.emplace_back(item_score, std::move(item));
  }
  const size_t kept = std::min(count, scored.size());
  std::partial_sort(scored.begin(), scored.begin() + static_cast<ptrdiff_t>(kept), scored.end(),
                    [](const auto& left, const auto& right) { return left.first > right.first; });
  items->clear();
  for (size_t i = 0; i < kept; ++i) {
    items->push_back(std::move(scored[i].second));
  }
}

}  // namespace

IssuerPlan::IssuerPlan(const std::vector<Peer>& daemons) {
  for (const Peer& daemon : daemons) {
    this->domains[daemon.failure_domain].push_back(daemon);
  }
}

size_t IssuerPlan::IssuersPerDomain() const {
  const size_t count = std::max<size_t>(this->domains.size(), 1);
  return (kMinIssuers + count - 1) / count;
}

size_t IssuerPlan::Count() const {
  const size_t per_domain = this->IssuersPerDomain();
  size_t count = 0;
  for (const auto& [name, daemons] : this->domains) {
    count += std::min(per_domain, daemons.size());
  }
  return std::min(count, kMaxIssuers);
}

std::vector<const IssuerPlan::Domains::value_type*> IssuerPlan::DomainsOf(
    std::string_view organisation) const {
  std::vector<const Domains::value_type*> chosen;
  for (const auto& domain : this->domains) {
    chosen.push_back(&domain);
  }
  if (chosen.size() > kMaxIssuers) {
    const std::string key = ScoreKey(organisation);
    KeepHighest(&chosen, kMaxIssuers, [&key](const Domains::value_type* domain) {
      return RendezvousScore(key, domain->first);
    });
  }
  return chosen;
}

std::vector<Peer> IssuerPlan::IssuersIn(const std::vector<Peer>& daemons,
                                        std::string_view organisation) const {
  const std::string key = ScoreKey(organisation);
  std::vector<const Peer*> chosen;
  chosen.reserve(daemons.size());
  for (const Peer& daemon : daemons) {
    chosen.push_back(&daemon);
  }
  KeepHighest(&chosen, this->IssuersPerDomain(),
              [&key](const Peer* daemon) { return RendezvousScore(key, daemon->daemon); });
  std::vector<Peer> issuers;
  issuers.reserve(chosen.size());
  for (const Peer* daemon : chosen) {
    issuers.push_back(*daemon);
  }
  return issuers;
}

std::vector<Peer> IssuerPlan::IssuersOf(std::string_view organisation) const {
  std::vector<Peer> issuers;
  for (const Domains::value_type* domain : this->DomainsOf(organisation)) {
    for (Peer& issuer : this->IssuersIn(domain->second, organisation)) {
      issuers.push_back(std::move(issuer));
    }
  }
  return issuers;
}

bool IssuerPlan::IsIssuer(std::string_view organisation, const Peer& daemon) const {
  for (const Domains::value_type* domain : this->DomainsOf(organisation)) {
    if (domain->first == daemon.failure_domain) {
      const std::vector<Peer> issuers = this->IssuersIn(domain->second, organisation);
      return std::any_of(issuers.begin(), issuers.end(),
                         [&daemon](const Peer& issuer) { return issuer.daemon == daemon.daemon; });
    }
  }
  return false;
}

std::vector<Peer> IssuerPlan::NearestIssuers(
    std::string_view organisation,
    const Peer& entry,
    const std::map<std::string, std::string>& regions) const {
  const auto region_of = [&regions](const std::string& domain) {
    const auto found = regions.find(domain);
    return found == regions.end() ? std::string() : found->second;
  };
  const std::string own_region = region_of(entry.failure_domain);
  std::vector<Peer> issuers = this->IssuersOf(organisation);
  // Among equally near issuers, different daemons prefer different ones.
  KeepHighest(&issuers, issuers.size(), [&entry](const Peer& issuer) {
    return RendezvousScore(entry.daemon, issuer.daemon);
  });
  const auto distance = [&](const Peer& issuer) {
    if (issuer.failure_domain == entry.failure_domain) {
      return 0;
    }
    return region_of(issuer.failure_domain) == own_region ? 1 : 2;
  };
  std::stable_sort(issuers.begin(), issuers.end(), [&](const Peer& left, const Peer& right) {
    return distance(left) < distance(right);
  });
  return issuers;
}

bool IssuerPlan::AffectsOtherDomains(const Peer& daemon) const {
  std::vector<Peer> others = this->Daemons();
  std::erase_if(others, [&daemon](const Peer& other) { return other.daemon == daemon.daemon; });
  const IssuerPlan without(others);
  return without.DaemonsOf(daemon.failure_domain).empty() || without.Count() != this->Count();
}

const std::vector<Peer>& IssuerPlan::DaemonsOf(const std::string& failure_domain) const {
  static const std::vector<Peer> none;
  const auto found = this->domains.find(failure_domain);
  return found == this->domains.end() ? none : found->second;
}

std::vector<Peer> IssuerPlan::Daemons() const {
  std::vector<Peer> all;
  for (const auto& [name, daemons] : this->domains) {
    all.insert(all.end(), daemons.begin(), daemons.end());
  }
  return all;
}

}  // namespace poplarmoor
