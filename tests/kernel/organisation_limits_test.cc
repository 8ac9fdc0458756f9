#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <utility>
#include <vector>

#include "kernel/organisation/issuer_permission.h"
#include "kernel/organisation/issuer_plan.h"
#include "kernel/organisation/token_issuer.h"
#include "tests/kernel/limit_simulation.h"

namespace poplarmoor {
namespace {

// The usual demand is the limit divided by this.
constexpr double kHeadroom = 1.6;

// Guards against daemons that each allow the organisation a share of their own.
TEST_CASE("an organisation that sends five times its limit from 74 daemons gets its limit") {
  for (const double rate : {2.6, 20.0, 390.0}) {
    LimitSimulation fleet(3, 74, rate, 1);
    const double served = fleet.Run(5 * rate, 30s) * 5;  // Share of the limit.
    INFO("rate " << rate << ", served " << served << " of the limit");
    CHECK(fleet.LargestExcess() <= 0);
    CHECK(served >= 0.9);
  }
}

// Guards against shares that are too small for a whole token, and against tokens that expire in the
// stock of one of many daemons.
TEST_CASE("a small organisation (2.6 operations/s) below its limit is served from 74 daemons") {
  LimitSimulation fleet(3, 74, 2.6, 2);
  CHECK(fleet.Run(2.6 / kHeadroom, 600s) >= 0.95);
}

// Guards against tokens that are unused in one domain while they are missing in another.
TEST_CASE("an organisation whose callers are mostly in one failure domain is served") {
  for (const size_t domains : {1, 2, 3, 6, 13}) {
    for (const double rate : {2.6, 100.0}) {
      LimitSimulation fleet(domains, std::max<size_t>(2, 5 * domains), rate, 3);
      INFO("domains " << domains << ", rate " << rate);
      CHECK(fleet.Run(rate / kHeadroom, rate < 10 ? Duration(300s) : Duration(30s), true) >= 0.95);
    }
  }
}

TEST_CASE("a new daemon issues tokens only after the others have it in their lists") {
  const TimePoint start(1000s);
  EntryWrite write;
  write.sent = start;
  write.validity = 120s;
  write.listed_after = 45s;
  IssuerPermission fresh;
  CHECK_FALSE(fresh.MayIssue(start));
  fresh.NoteEntryWritten(write);
  CHECK_FALSE(fresh.MayIssue(start + 44s));
  CHECK(fresh.MustAnnounce(start + 44s));
  CHECK_FALSE(fresh.MayIssue(start + 45s));
  fresh.NoteDomainEstablished();
  CHECK(fresh.MayIssue(start + 45s));
  fresh.NoteAnnounced();
  CHECK(fresh.MayIssue(start + 1s));
  // A daemon that could not renew its entry may have been replaced, so it has to begin again.
  CHECK_FALSE(fresh.MayIssue(start + 120s));
  write.sent = start + 200s;
  write.known = true;
  fresh.NoteEntryWritten(write);
  CHECK_FALSE(fresh.MayIssue(start + 201s));
  fresh.NoteAnnounced();
  CHECK(fresh.MayIssue(start + 201s));
  fresh.Stop();
  CHECK_FALSE(fresh.MayIssue(start + 202s));
  IssuerPermission restarted;
  write.sent = start;
  restarted.NoteEntryWritten(write);
  CHECK(restarted.MayIssue(start));
}

// Guards against a limit that is lowered only after the old burst has been used up.
TEST_CASE("a lowered limit cuts the bucket at once") {
  const Peer self{"d0", "a0", "fd0"};
  const IssuerPlan plan({self});
  TokenIssuer issuer(self, 5s, 20);
  const TimePoint start(1000s);
  OrganisationTable high;
  high.Add({"school", 100, 100}, {});
  OrganisationTable low;
  low.Add({"school", 5, 5}, {});
  issuer.Update(plan, high, start);
  CHECK(issuer.Issue("school", 1000, start).granted == 2);  // A new bucket is almost empty.
  issuer.Update(plan, low, start + 10s);
  // The smallest capacity of a bucket; 0.4 of the burst is less.
  CHECK(issuer.Issue("school", 1000, start + 10s).granted == 3);
  CHECK_FALSE(issuer.Issue("other", 1, start).is_issuer);
}

TEST_CASE(
    "all daemons choose the same issuers: at least three, at most eight, spread over domains") {
  for (const size_t domains : {1, 2, 3, 8, 13}) {
    for (const size_t size : {2, 3, 74, 3300}) {
      std::vector<Peer> fleet;
      for (size_t i = 0; i < size; ++i) {
        fleet.push_back({"d" + std::to_string(i), "", "fd" + std::to_string(i % domains)});
      }
      const IssuerPlan plan(fleet);
      std::reverse(fleet.begin(), fleet.end());
      const IssuerPlan same(fleet);
      INFO("domains " << domains << ", daemons " << size);
      const std::vector<Peer> issuers = plan.IssuersOf("school");
      CHECK(issuers.size() == plan.Count());
      CHECK(plan.Count() >= std::min<size_t>(3, size));
      CHECK(plan.Count() <= 8);
      size_t count = 0;
      for (const Peer& peer : fleet) {
        count += same.IsIssuer("school", peer) ? 1 : 0;
      }
      CHECK(count == plan.Count());
      for (const Peer& peer : issuers) {
        CHECK(same.IsIssuer("school", peer));
      }
      CHECK(plan.NearestIssuers("school", issuers[0], {})[0].failure_domain ==
            issuers[0].failure_domain);
    }
  }
}

// Guards against operations that are refused later and use up the limit without having run.
TEST_CASE("a returned token serves another operation until it expires") {
  TokenAccount account;
  const TimePoint start(1000s);
  TokenGrant grant;
  grant.granted = 1;
  grant.is_issuer = true;
  account.NoteAnswer("d1", grant, 1, start, start + 10ms);
  const auto expires = account.Take(start + 20ms);
  REQUIRE(expires);
  CHECK_FALSE(account.Take(start + 20ms));
  account.Return(*expires, start + 390ms);
  CHECK(account.Available(start + 390ms) == 1);
  CHECK_FALSE(account.Take(start + 400ms));
  account.Return(*expires, start + 400ms);
  CHECK_FALSE(account.Take(start + 400ms));
}

// One step of a random schedule, derived from a number.
void RunStep(LimitSimulation* fleet, size_t domains, double* rate, uint16_t step) {
  const size_t argument = step / 8;
  const size_t daemon = argument % fleet->size();
  switch (step % 8) {
    case 0:
      fleet->SetDomainCut(argument % domains, true);
      break;
    case 1:
      fleet->SetDomainCut(argument % domains, false);
      break;
    case 2:
      fleet->Kill(daemon);
      break;
    case 3:
      fleet->Restart(daemon);
      break;
    case 4:
      *rate = std::clamp(*rate * (argument % 2 == 0 ? 0.5 : 1.5), 1.0, 50.0);
      fleet->SetRate(*rate);
      break;
    case 5:
      fleet->AddDaemon(argument % domains);
      break;
    case 6:
      // Long enough for entries to expire and for cut daemons to be replaced as issuers.
      fleet->Advance(argument % 4 == 0 ? Duration(200s) : Duration(20s));
      break;
    default:
      break;
  }
  fleet->Run(*rate * static_cast<double>(argument % 6), 3s, argument % 2 == 0);
}

// Guards against two daemons that both count as the issuer of a share.
TEST_CASE("no schedule of cuts, kills, restarts, new daemons and limits exceeds the limit") {
  CHECK(rc::check("limit", [](uint8_t shape, uint16_t seed, const std::vector<uint16_t>& steps) {
    const size_t domains = 1 + shape % 5;
    double rate = shape % 3 == 0 ? 2.6 : 20.0;
    LimitSimulation fleet(domains, domains * (1 + shape % 4) + 1, rate, seed);
    for (const uint16_t step : steps) {
      RunStep(&fleet, domains, &rate, step);
    }
    RC_ASSERT(fleet.LargestExcess() <= 0);
  }));
}

TEST_CASE("without faults, a demand at the limit divided by 1.6 is served") {
  CHECK(rc::check("served", [](uint8_t shape, uint16_t seed, bool uneven) {
    const size_t domains = 1 + shape % 13;
    const double rate = shape % 3 == 0 ? 2.6 : 10.0 * (1 + shape % 10);
    LimitSimulation fleet(domains, 2 + domains * (shape % 7 + 1), rate, seed);
    const Duration duration = std::chrono::seconds(static_cast<int64_t>(10 + 1200 / rate));
    RC_ASSERT(fleet.Run(rate / kHeadroom, duration, uneven) >= 0.95);
  }));
}

}  // namespace
}  // namespace poplarmoor
