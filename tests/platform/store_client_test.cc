#include "platform/store_client.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <future>
#include <set>

#include "net/http_client.h"
#include "net/http_message.h"
#include "net/http_server.h"
#include "platform/platform_registry_codec.h"
#include "telemetry/metrics.h"

namespace poplarmoor::platform {
namespace {

namespace asio = boost::asio;

constexpr size_t kDeepNesting = 200000;  // Levels; as JSON text they fit into an object's 1 MiB.
constexpr size_t kManyDigits = 400;      // Digits of a number that no double can hold.

struct OddItem {
  std::string fault;
  std::string text;  // Item of a listing, as JSON text.
};

std::string MakeSpec(const std::string& address, const std::string& slots) {
  return R"({"service":"s","address":")" + address + R"(","zone":"z1","version":"v1","slots":)" +
         slots + R"(,"state":"ready","coldLeftMs":0,"dbRole":"replica","seq":4,"born":17})";
}

std::string MakeItem(const std::string& name, const std::string& spec) {
  return R"({"meta":{"name":")" + name + R"(","rev":7},"spec":)" + spec + "}";
}

std::string MakeGoodItem(const std::string& name) {
  return MakeItem(name, MakeSpec("10.0.0.1:80", "3"));
}

// Returns a registry entry that is valid except for one more field.
std::string MakeItemWith(const std::string& field) {
  std::string spec = MakeSpec("10.0.0.1:80", "3");
  spec.insert(1, R"("extra":)" + field + ",");
  return MakeItem("odd", spec);
}

std::vector<OddItem> OddItems() {
  const std::string good_spec = MakeSpec("10.0.0.1:80", "3");
  return {
      {"array nested too deeply",
       MakeItemWith(std::string(kDeepNesting, '[') + std::string(kDeepNesting, ']'))},
      {"array nested too deeply as spec",
       MakeItem("odd", std::string(kDeepNesting, '[') + std::string(kDeepNesting, ']'))},
      {"exponent too large", MakeItemWith("1e999")},
      {"exponent beyond an integer", MakeItemWith("-1.5E+99999999999")},
      {"several numbers too large", MakeItemWith("[1e999,2e999,[3e999]]")},
      {"number just too large", MakeItemWith("1.9e308")},
      {"too many digits", MakeItemWith(std::string(kManyDigits, '9'))},
      {"bytes that are not UTF-8", MakeItemWith("\"\xff\xfe\"")},
      {"key that is not UTF-8", MakeItemWith("{\"\xff\":1}")},
      {"first half of a surrogate pair", MakeItemWith(R"("\ud800")")},
      {"two first halves of surrogate pairs", MakeItemWith(R"("\ud800\ud800x")")},
      {"second half of a surrogate pair", MakeItemWith(R"("\udcff")")},
      {"no meta", R"({"spec":)" + good_spec + "}"},
      {"no name", R"({"meta":{"rev":7},"spec":)" + good_spec + "}"},
      {"name of a wrong type", R"({"meta":{"name":5,"rev":7},"spec":)" + good_spec + "}"},
      {"meta of a wrong type", R"({"meta":[1],"spec":)" + good_spec + "}"},
      {"item of a wrong type", "5"},
      {"no spec", R"({"meta":{"name":"odd","rev":7}})"},
      {"spec of a wrong type", MakeItem("odd", R"("text")")},
      {"port out of range", MakeItem("odd", MakeSpec("10.0.0.1:65536", "3"))},
      {"port 0", MakeItem("odd", MakeSpec("10.0.0.1:0", "3"))},
      {"slots beyond 32 bits", MakeItem("odd", MakeSpec("10.0.0.1:80", "4294967299"))},
      {"no slots", MakeItem("odd", MakeSpec("10.0.0.1:80", "0"))},
      {"slots of a wrong type", MakeItem("odd", MakeSpec("10.0.0.1:80", "\"3\""))},
  };
}

// Store client and a server that answers each of its requests with the same body.
struct StoreFixture {
  StoreFixture()
      : client(this->context.get_executor()),
        server(std::make_shared<HttpServer>(
            this->context.get_executor(),
            [this](HttpRequest, ConnectionId) -> asio::awaitable<HttpResponse> {
              HttpResponse response;
              response.body = this->body;
              co_return response;
            })) {
    this->server->Listen("127.0.0.1:0");
    this->store =
        std::make_unique<StoreClient>(&this->client, this->server->address(), &this->metrics);
  }

  template <typename Result>
  Result Run(asio::awaitable<Result> call) {
    std::future<Result> result = asio::co_spawn(this->context, std::move(call), asio::use_future);
    while (result.wait_for(std::chrono::seconds(0)) != std::future_status::ready) {
      this->context.run_one();
    }
    return result.get();
  }

  asio::io_context context{1};
  Metrics metrics;
  HttpClient client;
  std::string body;
  std::shared_ptr<HttpServer> server;
  std::unique_ptr<StoreClient> store;
};

// Returns the ids of the endpoints that the objects describe.
std::set<std::string> EndpointIds(const StoreSnapshot& snapshot) {
  std::set<std::string> ids;
  for (const StoredObject& object : snapshot.objects) {
    const auto record = PlatformRegistryCodec().DecodeEndpoint(object);
    if (record) {
      ids.insert(record->id);
    }
  }
  return ids;
}

const std::set<std::string> kGoodIds{"a", "b"};

// Guards against the loss of all endpoints, or of the process, through one registry entry that
// another program wrote.
TEST_CASE("one unreadable entry in a listing of the store leaves the other entries readable") {
  for (const OddItem& odd : OddItems()) {
    DYNAMIC_SECTION(odd.fault) {
      StoreFixture fixture;
      fixture.body = R"({"items":[)" + MakeGoodItem("a") + "," + odd.text + "," +
                     MakeGoodItem("b") + R"(],"hasMore":false,"currentRev":40})";
      const StoreSnapshot snapshot = fixture.Run(fixture.store->List("servers", false));
      CHECK((snapshot.revision == StoreRevision{0, 40}));
      CHECK(EndpointIds(snapshot) == kGoodIds);
    }
  }
}

// Guards against a watch that fails for as long as the store reports the change to such an entry.
TEST_CASE(
    "one unreadable entry in the store's answer to a watch leaves the other changes readable") {
  for (const OddItem& odd : OddItems()) {
    DYNAMIC_SECTION(odd.fault) {
      StoreFixture fixture;
      fixture.body = R"({"events":[{"object":)" + MakeGoodItem("a") +
                     R"(,"deleted":false},{"object":)" + odd.text +
                     R"(,"deleted":false},{"object":)" + MakeGoodItem("b") +
                     R"(,"deleted":false}],"currentRev":41})";
      const std::chrono::milliseconds wait(1);
      const StoreSnapshot snapshot = fixture.Run(fixture.store->Watch("servers", 40, wait));
      CHECK((snapshot.revision == StoreRevision{0, 41}));
      CHECK(EndpointIds(snapshot) == kGoodIds);
    }
  }
}

// Guards against an endpoint that stays in use although its entry has become unreadable or was
// removed: the change must reach the reader under the entry's name and revision.
TEST_CASE("an unreadable entry keeps its name, its revision and its removal") {
  StoreFixture fixture;
  fixture.body =
      R"({"events":[{"deleted":true,"object":)" + MakeItemWith("1e999") + R"(}],"currentRev":41})";
  const std::chrono::milliseconds wait(1);
  const StoreSnapshot snapshot = fixture.Run(fixture.store->Watch("servers", 40, wait));
  REQUIRE(snapshot.objects.size() == 1);
  CHECK(snapshot.objects[0].name == "odd");
  CHECK((snapshot.objects[0].revision == StoreRevision{0, 7}));
  CHECK(snapshot.objects[0].deleted);
}

// Guards against an answer without its revision, or cut off in the middle, that counts as complete:
// all endpoints that it does not name would be marked as missing.
TEST_CASE("an answer of the store that is not a complete listing is an error") {
  for (const char* body : {"", "{", R"({"items":[]})", R"({"items":[],"currentRev":"x"})",
                           R"({"items":[{"meta":{"name":"a"},"spec":{}}],"currentRev":4)",
                           R"({"items":5,"currentRev":4})", R"({"items":[],"currentRev":1e999})"}) {
    INFO(body);
    StoreFixture fixture;
    fixture.body = body;
    CHECK_THROWS_AS(fixture.Run(fixture.store->List("servers", false)), StoreError);
  }
}

}  // namespace
}  // namespace poplarmoor::platform
