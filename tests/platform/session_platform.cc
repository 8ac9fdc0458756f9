#include "tests/platform/session_platform.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>
#include <sstream>

#include "net/address.h"
#include "net/http_message.h"
#include "net/http_server.h"
#include "session/wait_list.h"

namespace poplarmoor::platform {

namespace asio = boost::asio;

using Json = nlohmann::json;

namespace {

constexpr char kObjects[] = "/v1/objects/";
// Longest wait of a watch; shorter than the one that the daemon asks for, which is allowed.
constexpr Duration kWatchWait = 500ms;

Json Encode(const StoredObject& object) {
  return {{"meta", {{"name", object.name}, {"rev", object.revision.number}}},
          {"spec", Json::parse(object.value)}};
}

}  // namespace

SessionPlatform::SessionPlatform() : guard(this->context.get_executor()) {
  this->group.primary = "p";
  for (const char* id : {"p", "a", "b"}) {
    this->endpoints.push_back(
        std::make_unique<FakeLineEndpoint>(this->context.get_executor(), id, &this->group));
    const Json record{
        {"service", "ledger"}, {"address", this->endpoints.back()->address()},
        {"zone", "z1"},        {"slots", 4},
        {"state", "ready"},    {"dbRole", id == this->group.primary ? "primary" : "replica"}};
    this->Publish("servers", id, record.dump());
  }
  const Json route{{"name", "r"},  {"host", "orders"}, {"kind", "primary"},   {"timeoutMs", 20000},
                   {"sloMs", 150}, {"priority", 0},    {"service", "ledger"}, {"noAuth", true}};
  const Json configuration{{"version", 1},
                           {"routes", Json::array({route})},
                           {"services", {{{"name", "ledger"}, {"maxConns", 40}}}},
                           {"limits", Json::object()}};
  this->Publish("config", "main", configuration.dump());
  this->server = std::make_shared<HttpServer>(
      this->context.get_executor(),
      [this](HttpRequest request, ConnectionId) { return this->Handle(std::move(request)); });
  this->server->Listen("127.0.0.1:0");
  this->thread = std::thread([this] { this->context.run(); });
}

SessionPlatform::~SessionPlatform() {
  this->context.stop();
  this->thread.join();
}

void SessionPlatform::Publish(const std::string& kind,
                              const std::string& name,
                              const std::string& value) {
  this->store.kinds[kind][name] = {name, this->store.NextRevision(), value, false};
}

std::string SessionPlatform::MakeSettings(const Listeners& listeners,
                                          int memory_mb,
                                          size_t max_descriptors) const {
  std::ostringstream text;
  text << "node=d1\nip=127.0.0.1\nzone=z1\nlisten.front=" << listeners.callers
       << "\nlisten.readyAddr=" << listeners.readiness
       << "\nportRange=" << ParseAddress(listeners.peers).port() << ","
       << ParseAddress(listeners.metrics).port()
       << "\nbounds.graceS=6\nbounds.configApplyMs=3000\nbounds.drainMs=7000\nlimits.maxFds="
       << max_descriptors << "\nlimits.memoryMb=" << memory_mb
       << "\nplatform.address=" << this->server->address() << "\n";
  return text.str();
}

void SessionPlatform::SetAnswering(bool answering) {
  asio::post(this->context, [this, answering] {
    for (const auto& endpoint : this->endpoints) {
      endpoint->unanswered_text = answering ? "" : "unanswered";
    }
  });
}

asio::awaitable<HttpResponse> SessionPlatform::Handle(HttpRequest request) {
  HttpResponse response;
  response.headers["store-era"] = "1";
  const size_t query = request.target.find('?');
  const std::string path = request.target.substr(0, query);
  if (!path.starts_with(kObjects)) {
    response.status = 404;
    co_return response;
  }
  std::string kind = path.substr(sizeof(kObjects) - 1);
  std::string name;
  if (const size_t slash = kind.find('/'); slash != std::string::npos) {
    name = kind.substr(slash + 1);
    kind.resize(slash);
  }
  auto& objects = this->store.kinds[kind];
  if (request.method == "GET" && name.empty()) {
    const size_t watch = request.target.find("watch=");
    const uint64_t since =
        watch == std::string::npos ? 0 : std::stoull(request.target.substr(watch + 6));
    if (since >= this->store.revision) {
      co_await Pause(kWatchWait);
    }
    Json items = Json::array();
    for (const auto& [object_name, object] : objects) {
      if (object.revision.number > since) {
        const Json item = Encode(object);
        items.push_back(watch == std::string::npos ? item : Json{{"object", item}});
      }
    }
    Json body{{"currentRev", this->store.revision}};
    body[watch == std::string::npos ? "items" : "events"] = items;
    response.body = body.dump();
    co_return response;
  }
  if (request.method == "POST" || request.method == "PUT") {
    const Json body = Json::parse(request.body);
    name = body.at("meta").at("name");
    if (request.method == "PUT" && !objects.contains(name)) {
      response.status = 404;
      co_return response;
    }
    if (request.method == "POST" && objects.contains(name)) {
      response.status = 409;
      co_return response;
    }
    this->Publish(kind, name, body.at("spec").dump());
  } else if (request.method == "DELETE") {
    objects.erase(name);
    co_return response;
  }
  const auto found = objects.find(name);
  if (found == objects.end()) {
    response.status = 404;
    co_return response;
  }
  response.body = Encode(found->second).dump();
  co_return response;
}

}  // namespace poplarmoor::platform
