#include "daemon/control_plane.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <thread>

#include "config/daemon_settings.h"
#include "net/endpoint_driver.h"
#include "net/http_client.h"
#include "net/key_ring.h"
#include "net/platform_client.h"
#include "standins/endpoint_server.h"
#include "standins/platform_server.h"
#include "wire/control_codec.h"

namespace poplarmoor {
namespace {

using nlohmann::json;

/// Longest time that WaitFor() waits for a condition, long enough for a busy machine. WaitFor()
/// returns as soon as the condition holds.
constexpr std::chrono::seconds kWaitLimit{30};

template <typename Condition>
bool WaitFor(Condition condition) {
  const auto end = std::chrono::steady_clock::now() + kWaitLimit;
  while (std::chrono::steady_clock::now() < end) {
    if (condition()) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return false;
}

DaemonSettings MakeSettings(int number, const std::string& platform) {
  const auto address = [](int daemon) {
    return "127.77.0." + std::to_string(daemon) + ":" + std::to_string(20000 + getpid() % 20000);
  };
  DaemonSettings settings;
  settings.daemon = "d" + std::to_string(number);
  settings.failure_domain = "fd" + std::to_string(number);
  settings.listen.peers = address(number);
  settings.platform = platform;
  for (int i = 1; i <= 3; ++i) {
    settings.seed_peers.push_back({"d" + std::to_string(i), address(i), "fd" + std::to_string(i)});
  }
  return settings;
}

/// Control plane of one daemon and the thread that runs it.
struct Node {
  Node(int number, const std::string& platform_address)
      : settings(MakeSettings(number, platform_address)),
        keys("k", {{"k", std::string(32, 'x')}}),
        http(this->context.get_executor()),
        platform(&this->http, platform_address, std::chrono::milliseconds(1000)),
        peers(this->context.get_executor(), this->settings.daemon, &this->keys),
        plane(std::make_shared<ControlPlane>(this->context.get_executor(),
                                             this->settings,
                                             &this->platform,
                                             &this->peers,
                                             Registry<EndpointDriver>::Create("http"))) {
    this->plane->SetHandlers();
    this->peers.Listen(this->settings.listen.peers);
    this->plane->Start();
    this->thread = std::thread([this] { this->context.run(); });
  }

  ~Node() {
    this->plane->Stop();
    this->peers.Stop();
    this->context.stop();
    this->thread.join();
  }

  DaemonSettings settings;
  KeyRing keys;
  boost::asio::io_context context;
  HttpClient http;
  PlatformClient platform;
  PeerNetwork peers;
  std::shared_ptr<ControlPlane> plane;
  std::thread thread;
};

/// A platform server, a group of three endpoints, and three daemons.
struct Fleet {
  Fleet() {
    json endpoint_list = json::array();
    for (int i = 0; i < 3; ++i) {
      EndpointOptions options;
      options.name = "e" + std::to_string(i);
      options.is_primary = i == 0;
      options.primary_address = i == 0 ? "" : this->endpoints[0]->address();
      this->endpoints.push_back(std::make_unique<EndpointServer>(options));
      this->endpoints.back()->Start("127.0.0.1:0");
      endpoint_list.push_back({{"name", options.name},
                               {"address", this->endpoints.back()->address()},
                               {"failure_domain", "fd1"}});
    }
    const json group{{"service", "orders"},
                     {"term", 1},
                     {"phase", "serving"},
                     {"primary", "e0"},
                     {"proposer", ""},
                     {"endpoints", endpoint_list},
                     {"term_starts", json::array({{{"term", 1}, {"index", 0}}})}};
    this->platform.Start("127.0.0.1:0");
    this->Put("group/orders", group);
    for (int i = 1; i <= 3; ++i) {
      this->nodes.push_back(std::make_unique<Node>(i, this->platform.address()));
    }
  }

  void Put(const std::string& object, const json& value) {
    this->platform.Call("PUT", "/v1/objects/" + object,
                        json{{"value", value}, {"if_version", 0}}.dump());
  }

  /// Writes one key directly at the initial primary e0, without the proxy.
  void Write() {
    this->endpoints[0]->Call("POST", "/v1/connect", "{}");
    this->endpoints[0]->Call("POST", "/v1/execute",
                             json{{"request_id", "w1"},
                                  {"term", 1},
                                  {"kind", "write"},
                                  {"statement", {{"op", "put"}, {"key", "k"}, {"value", "v"}}}}
                                 .dump());
  }

  /// @returns Whether every daemon knows the group, and the condition holds for the state of the
  ///     group that each daemon knows.
  template <typename Condition>
  bool HoldsAtEveryDaemon(Condition condition) {
    return std::all_of(this->nodes.begin(), this->nodes.end(), [&](const auto& node) {
      const std::optional<GroupState> group = node->plane->FindGroup("orders");
      return group && condition(*group);
    });
  }

  PlatformServer platform;
  std::vector<std::unique_ptr<EndpointServer>> endpoints;
  std::vector<std::unique_ptr<Node>> nodes;
};

TEST_CASE(
    "every daemon learns of its peers, of the primary promoted after a crash, and of a drained "
    "endpoint") {
  Fleet fleet;
  REQUIRE(WaitFor([&] {
    return fleet.HoldsAtEveryDaemon([](const GroupState& group) { return group.term == 1; }) &&
           std::all_of(fleet.nodes.begin(), fleet.nodes.end(),
                       [](const auto& node) { return node->plane->Members().size() == 3; });
  }));

  // A replica votes in a promotion only after it has caught up with the primary once.
  fleet.Write();
  REQUIRE(WaitFor([&] {
    return std::all_of(fleet.endpoints.begin(), fleet.endpoints.end(), [](const auto& each) {
      return json::parse(each->Call("POST", "/v1/status", "{}").body).value("received", 0) > 0;
    });
  }));

  // Guards against daemons that do not learn of a promotion recorded on the platform: they would
  // send writes to the stopped primary.
  fleet.endpoints[0]->Stop();
  REQUIRE(WaitFor([&] {
    return fleet.HoldsAtEveryDaemon([](const GroupState& group) {
      return group.term > 1 && group.phase == GroupPhase::kServing && group.primary != "e0";
    });
  }));
  const GroupState group = *fleet.nodes[0]->plane->FindGroup("orders");
  const size_t primary = group.primary == "e1" ? 1 : 2;
  // Guards against an endpoint that the platform records as primary but that never receives the
  // `promote` call: such an endpoint would refuse all writes.
  REQUIRE(WaitFor([&] {
    const auto role = [&](size_t index) {
      return json::parse(fleet.endpoints[index]->Call("POST", "/v1/status", "{}").body)
          .value("role", "");
    };
    return role(primary) == "primary" && role(3 - primary) == "replica";
  }));

  Node& node = *fleet.nodes[2];
  const std::string replica = primary == 1 ? "e2" : "e1";
  boost::asio::co_spawn(node.context, node.plane->Drain(replica), boost::asio::detached);
  CHECK(WaitFor([&] {
    return fleet.HoldsAtEveryDaemon([&](const GroupState& each) {
      return std::any_of(each.endpoints.begin(), each.endpoints.end(), [&](const auto& endpoint) {
        return endpoint.name == replica && endpoint.leaving;
      });
    });
  }));
}

TEST_CASE(
    "a daemon that is no platform watcher, or that starts while the platform is down, gets the "
    "configuration from its peers") {
  Fleet fleet;
  fleet.Put(
      "config/common",
      json{
          {"deployment", "test"},
          {"sites", json::array({{{"name", "s1"}, {"failure_domain", "fd1"}}})},
          {"pools",
           json::array({{{"name", "p"}, {"slots", 3}, {"connections", 25}, {"connect_ms", 10}}})}});
  fleet.Put("config/service.orders",
            json{{"name", "orders"}, {"pool", "p"}, {"sites", json::array({"s1"})}});
  const auto has_configuration = [](const auto& node) {
    return node->plane->FindSettings("orders", "s1").has_value() &&
           node->plane->FindGroup("orders").has_value();
  };
  REQUIRE(WaitFor(
      [&] { return std::all_of(fleet.nodes.begin(), fleet.nodes.end(), has_configuration); }));
  fleet.nodes.pop_back();
  fleet.platform.Call("PUT", "/control/faults", R"({"down": true})");
  fleet.nodes.push_back(std::make_unique<Node>(3, fleet.platform.address()));
  CHECK(WaitFor([&] { return has_configuration(fleet.nodes.back()); }));
}

TEST_CASE(
    "an unpacked control message has the fields that were packed, and a malformed message is "
    "refused") {
  GossipMessage gossip;
  gossip.kind = GossipKind::kMembers;
  gossip.sender = {"d1", "127.0.0.1:1", "fd1", 7, MemberState::kLeaving};
  gossip.sequence = 9;
  gossip.bucket_hashes = {1, UINT64_MAX};
  gossip.differing = {3};
  gossip.updates = {{"d2", "127.0.0.1:2", "fd2", 8, MemberState::kDead}};
  const std::vector<GossipMessage> unpacked = UnpackGossip(PackGossip({gossip, gossip}));
  REQUIRE(unpacked.size() == 2);
  CHECK(unpacked[1].kind == gossip.kind);
  CHECK(unpacked[1].sender == gossip.sender);
  CHECK(unpacked[1].bucket_hashes == gossip.bucket_hashes);
  CHECK(unpacked[1].differing == gossip.differing);
  CHECK(unpacked[1].updates == gossip.updates);

  ConfigMessage config;
  config.kind = ConfigMessageKind::kVersions;
  config.more = true;
  config.versions = {{UnitKind::kVm, "e1", 4}};
  config.units = {{UnitKind::kGroup, "orders", 5, 6, "{}"}};
  const std::vector<ConfigMessage> unpacked_config = UnpackConfig(PackConfig({config}));
  REQUIRE(unpacked_config.size() == 1);
  CHECK(unpacked_config[0].versions == config.versions);
  CHECK(unpacked_config[0].units == config.units);
  CHECK(unpacked_config[0].more);

  CHECK_THROWS_AS(UnpackGossip("no msgpack"), std::exception);
  CHECK_THROWS_AS(UnpackConfig(PackGossip({gossip})), std::exception);
  CHECK_THROWS_AS(UnpackProbeOutcome(PackEndpointReference({"s", "e", "a"})), std::exception);
}

}  // namespace
}  // namespace poplarmoor
