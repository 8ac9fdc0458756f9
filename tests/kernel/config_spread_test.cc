#include "kernel/config_spread.h"

#include <catch2/catch.hpp>
#include <map>

#include "kernel/virtual_cluster.h"

namespace poplarmoor {
namespace {

ConfigUnit MakeUnit(const std::string& name, uint64_t version) {
  return {UnitKind::kConfig, name, version, version * 10, "content " + std::to_string(version)};
}

/// Deliberately faulty store that accepts every version of a unit. A test shows that
/// CountReversals() detects this fault.
class UncheckedStore : public ConfigStore {
 protected:
  bool Accepts(const ConfigUnit& current, const ConfigUnit& offered) const override {
    return !(current == offered);
  }
};

/// Publishes ever higher versions of three configuration units at random daemons, and in between
/// also publishes older versions of the same units again. 20 % of the messages are lost.
/// @returns How often a check found that a daemon holds a lower version of a unit than it held at
///     an earlier check. Counting ends with the first round of checks that finds this.
size_t CountReversals(const VirtualCluster::MakeStore& make_store) {
  VirtualClusterOptions options;
  options.members = 24;
  options.loss = 0.2;
  options.seed = 3;
  VirtualCluster cluster(options, make_store);
  RandomEngine random(5);
  std::map<std::pair<size_t, std::string>, uint64_t> highest_seen;
  size_t reversals = 0;
  // Stops once a daemon has replaced a unit by a lower version: a store without a version check
  // makes daemons forward old and new units to each other in an ever growing number of messages.
  for (uint64_t version = 1; version <= 60 && reversals == 0; ++version) {
    const std::string name = "service." + std::to_string(version % 3);
    cluster.Publish(RandomBelow(&random, cluster.size()), {MakeUnit(name, version)});
    if (version > 6) {
      // Models a platform watcher that publishes an old version because it received this version
      // from the platform late.
      cluster.Publish(RandomBelow(&random, cluster.size()), {MakeUnit(name, version - 6)});
    }
    cluster.Run(100ms);
    for (size_t i = 0; i < cluster.size(); ++i) {
      for (const ConfigUnit& unit : cluster.GetNode(i).store->UnitsOf(UnitKind::kConfig)) {
        uint64_t& highest = highest_seen[{i, unit.name}];
        reversals += unit.version < highest ? 1 : 0;
        highest = std::max(highest, unit.version);
      }
    }
  }
  return reversals;
}

TEST_CASE("a delayed message never replaces a configuration unit by an older version of it") {
  CHECK(CountReversals([] { return std::make_unique<ConfigStore>(); }) == 0);
}

TEST_CASE(
    "CountReversals() detects that daemons replace configuration units by older versions if their "
    "configuration stores accept every version") {
  CHECK(CountReversals([] { return std::make_unique<UncheckedStore>(); }) > 0);
}

TEST_CASE("a configuration unit reaches every daemon within 6 s despite lost messages") {
  for (const double loss : {0.0, 0.1, 0.3}) {
    VirtualClusterOptions options;
    options.members = 100;
    options.failure_domains = 13;
    options.loss = loss;
    VirtualCluster cluster(options);
    cluster.Run(3s);
    cluster.Publish(17, {MakeUnit("common", 1)});
    const Duration elapsed = cluster.RunUntil(
        [&] { return cluster.ConfigConverged() && cluster.GetNode(0).store->size() == 1; }, 30s);
    INFO("loss " << loss << ", at every daemon after ms " << ToMillis(elapsed));
    CHECK(elapsed < 6s);
  }
}

TEST_CASE(
    "a daemon that starts while the platform is down gets all configuration from its peers, even "
    "if the configuration exceeds one message") {
  VirtualClusterOptions options;
  options.members = 9;
  options.spread.max_bytes = 4000;
  VirtualCluster cluster(options);
  std::vector<ConfigUnit> units;
  for (int i = 0; i < 300; ++i) {
    units.push_back(MakeUnit("service." + std::to_string(i), 1));
  }
  cluster.Publish(2, units);
  CHECK(cluster.RunUntil([&] { return cluster.ConfigConverged(); }, 60s) < 30s);
  cluster.Restart(4);
  CHECK(cluster.GetNode(4).store->size() == 0);
  CHECK(cluster.RunUntil([&] { return cluster.ConfigConverged(); }, 60s) < 20s);
  CHECK(cluster.GetNode(4).store->size() == 300);
}

TEST_CASE(
    "after a network partition, a failure domain receives the configuration changes that it "
    "missed") {
  VirtualClusterOptions options;
  options.members = 30;
  VirtualCluster cluster(options);
  cluster.SetPartition([](size_t from, size_t to) { return (from % 3 == 0) != (to % 3 == 0); });
  cluster.Run(20s);
  cluster.Publish(1, {MakeUnit("common", 2), MakeUnit("site.biella", 4)});
  cluster.Publish(0, {MakeUnit("common", 1)});
  cluster.Run(10s);
  CHECK(cluster.GetNode(3).store->Find(UnitKind::kConfig, "common")->version == 1);
  cluster.SetPartition(nullptr);
  CHECK(cluster.RunUntil([&] { return cluster.ConfigConverged(); }, 60s) < 30s);
  CHECK(cluster.GetNode(3).store->Find(UnitKind::kConfig, "common")->version == 2);
}

}  // namespace
}  // namespace poplarmoor
