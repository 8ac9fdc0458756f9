#include "platform/platform_registry_codec.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "session/object_store.h"

namespace poplarmoor::platform {
namespace {

using Json = nlohmann::json;

Json MakeEntry() {
  return {{"service", "huvo11a"},
          {"address", "10.128.0.9:8080"},
          {"zone", "z1"},
          {"version", "v1"},
          {"slots", 3},
          {"state", "ready"},
          {"coldLeftMs", 0},
          {"dbRole", "replica"},
          {"seq", 4},
          {"born", 1754000000123}};
}

std::optional<EndpointRecord> DecodeEntry(const Json& entry) {
  StoredObject object;
  object.name = "i-7f3a91c2";
  object.revision = {3, 12};
  object.value = entry.dump();
  return PlatformRegistryCodec().DecodeEndpoint(object);
}

TEST_CASE("decoding a registry entry does not lose fields of the endpoint") {
  const auto record = DecodeEntry(MakeEntry());
  REQUIRE(record);
  CHECK(record->id == "i-7f3a91c2");
  CHECK(record->service == "huvo11a");
  CHECK(record->slots == 3);
  CHECK_FALSE(record->leaving);
  CHECK_FALSE(record->claims_primary);
  CHECK(record->incarnation_ms == 1754000000123);
  CHECK(record->revision == StoreRevision{3, 12});
}

TEST_CASE(
    "a malformed registry entry of a database server yields no endpoint, so that no statement goes "
    "to a wrong address") {
  for (const char* field : {"service", "address", "zone", "slots", "state", "dbRole"}) {
    INFO(field);
    Json missing = MakeEntry();
    missing.erase(field);
    CHECK_FALSE(DecodeEntry(missing));
    Json wrong = MakeEntry();
    wrong[field] = Json::array();
    CHECK_FALSE(DecodeEntry(wrong));
  }
  Json unknown = MakeEntry();
  unknown["state"] = "resting";
  CHECK_FALSE(DecodeEntry(unknown));
  unknown = MakeEntry();
  unknown["address"] = "not an address";
  CHECK_FALSE(DecodeEntry(unknown));
  unknown = MakeEntry();
  unknown["slots"] = -1;
  CHECK_FALSE(DecodeEntry(unknown));
  StoredObject bytes;
  bytes.name = "i-1";
  bytes.value = "{\"service\":\xff";
  CHECK_FALSE(PlatformRegistryCodec().DecodeEndpoint(bytes));
}

// Guards against numbers that are cut to the width of a field: 2^32 + 3 slots would become 3.
TEST_CASE("a registry entry with a number out of range yields no endpoint") {
  for (const Json& slots : {Json(4294967299), Json(4294967296), Json(0), Json(3.5)}) {
    INFO(slots.dump());
    Json entry = MakeEntry();
    entry["slots"] = slots;
    CHECK_FALSE(DecodeEntry(entry));
  }
  for (const char* address :
       {"10.0.0.1:65536", "10.0.0.1:0", "10.0.0.1:-1", "10.0.0.1:99999999999"}) {
    INFO(address);
    Json entry = MakeEntry();
    entry["address"] = address;
    CHECK_FALSE(DecodeEntry(entry));
  }
  Json entry = MakeEntry();
  entry["born"] = 9223372036854775808U;
  CHECK_FALSE(DecodeEntry(entry));
}

TEST_CASE("decoding routes does not lose their limits and does not fail on unknown fields") {
  StoredObject object;
  object.value = R"({"version":7,"routes":[{"name":"r","host":"fiti","pathPrefix":"/",
    "kind":"read_your_writes","timeoutMs":800,"sloMs":250,"priority":1,"service":"s",
    "maxAttempts":2,"maxStalenessMs":2500,"later":true}],
    "services":[{"name":"s","healthPath":"/health","maxConns":23,"syncReplicas":1}],
    "limits":{"txIdleMs":3000}})";
  const RouteTable table = PlatformRegistryCodec().DecodeRoutes(object);
  CHECK(table.version == 7);
  const DatabaseRoute* route = table.Find("fiti");
  REQUIRE(route != nullptr);
  CHECK(route->consistency == Consistency::kOwnWrites);
  CHECK(route->max_staleness == 2500ms);
  CHECK(route->statement_timeout == 800ms);
  CHECK(route->rank == 1);
  CHECK(table.services.at("s").max_connections == 23);
  CHECK(table.services.at("s").synchronous_replicas == 1);
  CHECK(table.transaction_idle_limit == 3s);
  CHECK(table.Find("fit") == nullptr);
}

TEST_CASE(
    "decoding malformed routes throws an error, so that a daemon does not serve an incomplete "
    "route table") {
  for (const char* text : {"", "{}", R"({"version":1,"routes":[{}],"services":[],"limits":{}})",
                           R"({"version":1,"routes":[],"services":[]})"}) {
    INFO(text);
    StoredObject object;
    object.value = text;
    CHECK_THROWS_AS(PlatformRegistryCodec().DecodeRoutes(object), std::runtime_error);
  }
}

StoredObject MakeConfiguration(const Json& organisations) {
  StoredObject object;
  object.name = "main";
  object.value = Json{{"version", 7},
                      {"routes",
                       {{{"name", "r"},
                         {"host", "orders"},
                         {"kind", "primary"},
                         {"timeoutMs", 800},
                         {"sloMs", 150},
                         {"priority", 0},
                         {"service", "ledger"},
                         {"noAuth", true}}}},
                      {"services", {{{"name", "ledger"}, {"maxConns", 56}}}},
                      {"limits", Json::object()},
                      {"tenants", organisations}}
                     .dump();
  return object;
}

Json MakeOrganisation() {
  return {{"name", "miny420"},
          {"apiKeys", {"k1", "k2"}},
          {"priority", 1},
          {"ratePerS", 2.6},
          {"burst", 3}};
}

TEST_CASE("decoding a configuration does not lose the organisations, their keys or their limits") {
  const RouteTable table =
      PlatformRegistryCodec().DecodeRoutes(MakeConfiguration(Json::array({MakeOrganisation()})));
  REQUIRE(table.organisations);
  const Organisation* organisation = table.organisations->FindByKeyId(KeyIdOf("k2"));
  REQUIRE(organisation != nullptr);
  CHECK(organisation->name == "miny420");
  CHECK(organisation->rate == 2.6);
  CHECK(organisation->burst == 3);
  CHECK_FALSE(table.Find("orders")->requires_key);
}

// Guards against a configuration that is applied in part, without some of the organisations.
TEST_CASE("a configuration with a malformed organisation is refused as a whole") {
  for (const auto& [field, value] : std::vector<std::pair<std::string, Json>>{{"name", ""},
                                                                              {"name", "a b"},
                                                                              {"name", 5},
                                                                              {"apiKeys", "k1"},
                                                                              {"apiKeys", {1}},
                                                                              {"ratePerS", 0},
                                                                              {"ratePerS", -3},
                                                                              {"ratePerS", "5"},
                                                                              {"burst", 0}}) {
    INFO(field << " " << value.dump());
    Json wrong = MakeOrganisation();
    wrong[field] = value;
    CHECK_THROWS_AS(PlatformRegistryCodec().DecodeRoutes(
                        MakeConfiguration(Json::array({MakeOrganisation(), wrong}))),
                    std::runtime_error);
  }
  Json same_key = MakeOrganisation();
  same_key["name"] = "other";
  CHECK_THROWS_AS(PlatformRegistryCodec().DecodeRoutes(
                      MakeConfiguration(Json::array({MakeOrganisation(), same_key}))),
                  std::runtime_error);
}

}  // namespace
}  // namespace poplarmoor::platform
