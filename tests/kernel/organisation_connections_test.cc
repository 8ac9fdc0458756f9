#include <catch2/catch.hpp>
#include <cmath>
#include <functional>
#include <map>
#include <numeric>
#include <random>
#include <set>
#include <vector>

#include "kernel/admission/opening_limit.h"
#include "kernel/admission/statement_queue.h"
#include "kernel/placement/gateway_plan.h"
#include "kernel/placement/idle_connections.h"
#include "kernel/placement/read_placement.h"

namespace poplarmoor {
namespace {

constexpr int kOrganisations = 79;
constexpr double kZipfExponent = 1.2;
constexpr uint32_t kConnections = 27;    // Half of an endpoint's 54 usable connections.
constexpr uint32_t kStatements = 6;      // Half of 3 statements for each of the endpoint's 4 slots.
constexpr Duration kOpeningTime = 18ms;  // 12 ms of a slot and two round trips.
constexpr Duration kHold = 20ms;         // A statement of 14 ms and two round trips.

std::string NameOf(int organisation) {
  return "org" + std::to_string(organisation);
}

bool All(int) {
  return true;
}

std::vector<double> ZipfWeights() {
  std::vector<double> weights;
  for (int place = 1; place <= kOrganisations; ++place) {
    weights.push_back(std::pow(place, -kZipfExponent));
  }
  return weights;
}

// One gateway's connections to one endpoint on a virtual clock, with the decisions of EndpointPool.
class GatewayLoad {
 public:
  struct Count {
    int served = 0;
    int refused = 0;
    Duration longest_wait{};
  };

  explicit GatewayLoad(uint32_t statements = kStatements, uint32_t connections = kConnections) {
    this->queue.SetFair(true);
    this->queue.SetLimits(statements, connections);
  }

  void Arrive(const std::string& organisation,
              int rank,
              bool transaction,
              Duration hold,
              Duration max_wait) {
    const uint64_t ticket = this->next_ticket++;
    this->requests[ticket] = {organisation, transaction, hold, this->now};
    const auto decision = this->queue.Enter(ticket, rank, transaction, max_wait, organisation);
    if (decision == StatementQueue::Decision::kStart) {
      this->Lease(ticket);
    } else if (decision == StatementQueue::Decision::kRefuse) {
      ++this->counts[organisation].refused;
    } else {
      this->waiting.insert(ticket);
      this->At(max_wait, [this, ticket] {
        if (this->waiting.erase(ticket) > 0) {
          this->queue.Withdraw(ticket);
          ++this->counts[this->requests[ticket].organisation].refused;
          this->StartNext();
        }
      });
    }
  }

  // Arrivals of all organisations by Zipf demand, with 15% transactions.
  void Demand(double per_second, Duration length, const std::function<bool(int)>& takes_part) {
    std::vector<double> weights = ZipfWeights();
    for (int organisation = 0; organisation < kOrganisations; ++organisation) {
      weights[static_cast<size_t>(organisation)] *= takes_part(organisation) ? 1.0 : 0.0;
    }
    std::discrete_distribution<int> organisation(weights.begin(), weights.end());
    std::exponential_distribution<double> gap(per_second);
    Duration at{};
    while (at < length) {
      at += Duration(static_cast<int64_t>(gap(this->random) * 1e6));
      const std::string name = NameOf(organisation(this->random));
      const bool transaction = this->random() % 100 < 15;
      this->At(at, [this, name, transaction] {
        this->Arrive(name, transaction ? 0 : 1, transaction, transaction ? 300ms : kHold, 1200ms);
      });
    }
  }

  void At(Duration delay, std::function<void()> event) {
    this->events.emplace(this->now + delay, std::move(event));
  }

  void Run(Duration length) {
    const TimePoint end = this->now + length;
    while (!this->events.empty() && this->events.begin()->first <= end) {
      auto event = this->events.extract(this->events.begin());
      this->now = event.key();
      event.mapped()();
      // The endpoint would reset connections beyond its limit.
      REQUIRE(this->Connected() + this->idle.size() <= this->queue.TotalLimit());
      REQUIRE(this->openings.InProgress() <= 2);
    }
    this->now = end;
  }

  size_t Connected() const { return this->queue.InUse() - this->openings.Waiting(); }

  int Served() const {
    int sum = 0;
    for (const auto& [organisation, count] : this->counts) {
      sum += count.served;
    }
    return sum;
  }

  StatementQueue queue;
  IdleConnections<int> idle;
  OpeningLimit openings{2};
  std::map<std::string, Count> counts;
  int opened = 0;
  TimePoint now{};

 private:
  struct Request {
    std::string organisation;
    bool transaction = false;
    Duration hold{};
    TimePoint arrived;
  };

  void Lease(uint64_t ticket) {
    const std::string& organisation = this->requests[ticket].organisation;
    if (this->idle.Take(&organisation, ticket)) {
      this->Hold(ticket);
    } else if (this->openings.Enter(ticket, organisation)) {
      this->Open(ticket);
    }
  }

  void Open(uint64_t ticket) {
    this->idle.TakeExcess(this->Connected(), this->queue.TotalLimit());
    ++this->opened;
    this->At(kOpeningTime, [this, ticket] {
      if (const auto next = this->openings.Finish()) {
        this->Open(*next);
      }
      this->Hold(ticket);
    });
  }

  void Hold(uint64_t ticket) {
    const Request request = this->requests[ticket];
    Count& count = this->counts[request.organisation];
    count.longest_wait = std::max(count.longest_wait, this->now - request.arrived);
    const TimePoint since = this->now;
    this->At(request.hold, [this, request, since] {
      ++this->counts[request.organisation].served;
      this->idle.Put(1, request.organisation, 0, this->now);
      if (const auto woken = this->openings.TakeWaiting(request.organisation)) {
        this->Lease(*woken);
      }
      this->queue.Leave(request.transaction, this->now - since, request.organisation);
      this->StartNext();
    });
  }

  void StartNext() {
    while (const auto ticket = this->queue.Next()) {
      this->waiting.erase(*ticket);
      this->Lease(*ticket);
    }
  }

  std::multimap<TimePoint, std::function<void()>> events;
  std::map<uint64_t, Request> requests;
  std::set<uint64_t> waiting;
  uint64_t next_ticket = 1;
  std::mt19937 random{7};
};

// Openings per operation of a gateway with `connections` connections and a part of the demand.
double OpeningRatio(uint32_t connections,
                    uint32_t statements,
                    double per_second,
                    const std::function<bool(int)>& takes_part) {
  GatewayLoad load(statements, connections);
  load.Demand(per_second, 300s, takes_part);
  load.Run(305s);
  for (const auto& [organisation, count] : load.counts) {
    INFO(organisation);
    CHECK(count.refused == 0);
  }
  return static_cast<double>(load.opened) / load.Served();
}

// Guards against connections that change their organisation for nearly every operation: an opening
// takes as much of the endpoint as a statement.
TEST_CASE(
    "79 organisations with Zipf demand on 27 connections: few operations open a connection, and "
    "nobody starves") {
  constexpr double kDemand = 120.0;  // Operations per second at the endpoint.
  // The arrangement without organisations: 13 gateways with four connections each.
  const double many_gateways = OpeningRatio(4, 1, kDemand / 13, All);
  const double all_at_one = OpeningRatio(kConnections, kStatements, kDemand / 2, All);
  const double preferred = OpeningRatio(kConnections, kStatements, kDemand / 2,
                                        [](int organisation) { return organisation % 2 == 0; });
  INFO("openings per operation: 13 gateways " << many_gateways << ", all organisations at each of "
                                              << "two " << all_at_one << ", half " << preferred);
  CHECK(all_at_one < 0.5);
  CHECK(preferred < many_gateways / 3);
}

// Guards against a flood of one organisation that makes the statements of all others wait or be
// refused.
TEST_CASE(
    "one organisation that floods is refused at once, and the statements of 78 others are served "
    "in time") {
  GatewayLoad load;
  load.Demand(60, 20s, [](int organisation) { return organisation != 0; });
  for (int number = 0; number < 20'000; ++number) {
    load.At(number * 1ms, [&load] { load.Arrive(NameOf(0), 1, false, kHold, 1200ms); });
  }
  for (int number = 0; number < 20; ++number) {
    load.At(number * 1s, [&load] { load.Arrive("lookups", 2, false, kHold, 1200ms); });
  }
  load.Run(25s);
  CHECK(load.counts[NameOf(0)].refused > 10'000);
  for (const auto& [organisation, count] : load.counts) {
    if (organisation != NameOf(0)) {
      INFO(organisation);
      CHECK(count.refused == 0);
      CHECK(count.longest_wait < 600ms);
    }
  }
}

// Guards against an organisation whose clients begin transactions and leave them idle.
TEST_CASE(
    "transactions of one organisation that stay idle hold at most half of the connections, and the "
    "other organisations' transactions start") {
  GatewayLoad load;
  for (int number = 0; number < 100; ++number) {
    load.At(1ms, [&load] { load.Arrive("idle", 0, true, 3s, 1200ms); });
  }
  load.Demand(60, 10s, All);
  load.Run(500ms);
  CHECK(load.queue.HeldByOrganisation().at("idle") == kConnections / 2);
  // The organisation's own statements do not wait for its transactions.
  CHECK(load.queue.Enter(1'000'000, 0, false, 1200ms, "idle") == StatementQueue::Decision::kStart);
  load.queue.Leave(false, kHold, "idle");
  load.Run(12s);
  for (const auto& [organisation, count] : load.counts) {
    if (organisation != "idle") {
      INFO(organisation);
      CHECK(count.refused == 0);
    }
  }
}

// Guards against openings that take all slots of the endpoint when one gateway's organisations
// arrive at the other.
TEST_CASE(
    "the loss of the other gateway: its organisations' connections are opened two at a time, and "
    "no statement is refused") {
  GatewayLoad load;
  load.Demand(30, 10s, [](int organisation) { return organisation % 2 == 0; });
  load.Run(10s);
  load.queue.SetLimits(kStatements, kConnections + kConnections / 2);
  const int opened_before = load.opened;
  load.Demand(60, 10s, All);
  load.Run(12s);
  CHECK(load.opened > opened_before);
  for (const auto& [organisation, count] : load.counts) {
    INFO(organisation);
    CHECK(count.refused == 0);
    CHECK(count.longest_wait < 1200ms);
  }
}

TEST_CASE("an idle connection of another organisation is closed, never lent") {
  IdleConnections<int> idle;
  const std::string north = "north";
  const std::string south = "south";
  idle.Put(1, north, 11, TimePoint{});
  idle.Put(2, south, 12, TimePoint{} + 1s);
  idle.Put(3, south, 13, TimePoint{} + 2s);
  idle.Put(4, south, 14, TimePoint{} + 3s);
  const std::string west = "west";
  CHECK_FALSE(idle.Take(&west, 11));
  // The organisation with several idle ones goes first, although north's is idle for longer.
  CHECK(idle.TakeExcess(1, 3) == std::vector<int>{2, 3});
  CHECK(idle.TakeExcess(2, 3) == std::vector<int>{1});
  CHECK(idle.Take(nullptr, 0) == 4);
}

std::vector<Peer> MakeDomain() {
  std::vector<Peer> peers;
  for (int number = 0; number < 24; ++number) {
    const double capacity = number < 2 ? 0.5 : 0.15 + 0.004 * number;
    peers.push_back({"d" + std::to_string(number), "", "fd1", capacity});
  }
  return peers;
}

// Guards against small VMs that carry the statements of an endpoint, and against daemons that send
// an organisation's statements to different gateways, where each needs connections of its own.
TEST_CASE(
    "with organisations, all daemons send an organisation's statements to one large gateway") {
  const std::vector<Peer> peers = MakeDomain();
  std::set<std::string> firsts;
  for (int number = 0; number < kOrganisations; ++number) {
    std::set<std::string> first;
    std::set<std::string> fallback;
    for (const Peer& peer : peers) {
      GatewayPlan plan(peer.daemon);
      plan.SetOrganisations(true);
      plan.SetPeers(peers);
      CHECK(plan.ConnectionShare(54) == kConnections);
      CHECK(plan.IsGateway("e", "fd1", 54) == (peer.daemon == "d0" || peer.daemon == "d1"));
      const auto all = [](const Peer&) { return true; };
      first.insert(plan.GatewaysOf("e", "fd1", 54, all, NameOf(number)).front().daemon);
      const auto without = [&first](const Peer& each) { return each.daemon != *first.begin(); };
      const auto rest = plan.GatewaysOf("e", "fd1", 54, without, NameOf(number));
      CHECK(rest.size() >= 2);
      fallback.insert(rest.front().daemon);
    }
    REQUIRE(first.size() == 1);
    REQUIRE(fallback.size() == 1);
    CHECK(*fallback.begin() == (*first.begin() == "d0" ? "d1" : "d0"));
    firsts.insert(*first.begin());
  }
  CHECK(firsts.size() == 2);
}

TEST_CASE("reads of an organisation prefer one replica only while the delays are similar") {
  ReadCandidate preferred;
  preferred.id = "b";
  preferred.limit = 6;
  preferred.service_time = 20ms;
  ReadCandidate other = preferred;
  other.id = "a";
  preferred.affinity = 9;
  other.affinity = 5;
  preferred.busy = 1;
  CHECK(OrderForRead({other, preferred}).front() == "b");
  preferred.busy = 3;
  CHECK(OrderForRead({other, preferred}).front() == "a");
}

}  // namespace
}  // namespace poplarmoor
