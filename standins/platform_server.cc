#include "standins/platform_server.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <nlohmann/json.hpp>

#include "standins/object_store.h"

namespace poplarmoor {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr size_t kMaxValueBytes = 1 << 20;  // Maximum size of an object's value, in bytes.
constexpr std::string_view kObjects = "/v1/objects/";
constexpr std::string_view kWatch = "/v1/watch/";
constexpr std::string_view kVms = "/control/vms/";

// Splits "kind/name" into kind and name. The name is empty if the path has no slash.
std::pair<std::string, std::string> SplitPath(const std::string& path) {
  const size_t slash = path.find('/');
  return slash == std::string::npos ? std::pair{path, std::string()}
                                    : std::pair{path.substr(0, slash), path.substr(slash + 1)};
}

}  // namespace

bool PlatformServer::Bucket::Take(int rate) {
  const auto now = Clock::now();
  const std::chrono::duration<double> passed = now - this->refilled_at;
  this->level = std::min<double>(rate, this->level + passed.count() * rate);
  this->refilled_at = now;
  if (this->level < 1) {
    return false;
  }
  this->level -= 1;
  return true;
}

PlatformServer::PlatformServer(PlatformOptions options)
    : options(options), store(std::make_unique<ObjectStore>()) {}

PlatformServer::~PlatformServer() {
  this->Stop();
}

void PlatformServer::Seed(const std::string& json) {
  const Json seed = Json::parse(json);
  for (const Json& object : seed.value("objects", Json::array())) {
    this->store->Put(object.at("kind"), object.at("name"), object.at("value"), 0);
  }
  for (const Json& vm : seed.value("vms", Json::array())) {
    this->vms[vm.at("name")].push_back({Clock::time_point::min(), vm.dump()});
  }
}

asio::awaitable<HttpResponse> PlatformServer::Handle(HttpRequest request, ConnectionId) {
  try {
    if (request.target.starts_with("/control/")) {
      co_return this->HandleControl(request);
    }
    if (this->down) {
      co_return MakeDroppedResponse();
    }
    co_await Sleep(milliseconds(this->slow_ms));
    HttpResponse response = co_await this->HandleCall(std::move(request));
    co_return this->down ? MakeDroppedResponse() : response;
  } catch (const Json::exception& error) {
    co_return MakeErrorResponse(400, "bad_request", error.what());
  }
}

asio::awaitable<HttpResponse> PlatformServer::HandleCall(HttpRequest request) {
  const bool is_write = request.method == "PUT";
  const bool allowed = is_write ? this->write_bucket.Take(this->options.writes_per_s)
                                : this->read_bucket.Take(this->options.reads_per_s);
  if (!allowed) {
    ++this->limited;
    co_return MakeErrorResponse(429, "overloaded", "the call exceeds the platform's rate limit");
  }
  ++(is_write ? this->writes : this->reads);
  const std::string& target = request.target;
  if (target.starts_with(kObjects)) {
    const std::string path = target.substr(kObjects.size());
    const auto [kind, name] = SplitPath(path);
    if (!is_write) {
      co_return this->Get(path);
    }
    if (!name.empty()) {
      HttpResponse response = this->Put(kind, name, Json::parse(request.body));
      co_return this->ConsumeLostAnswer() ? MakeDroppedResponse() : response;
    }
  }
  if (target.starts_with(kWatch) && !is_write) {
    const std::string path = target.substr(kWatch.size());
    co_return co_await this->Watch(path.substr(0, path.find('?')), target);
  }
  if (target == "/v1/vms" && !is_write) {
    co_return MakeJsonResponse(200, this->ListVms());
  }
  co_return MakeErrorResponse(404, "bad_request", "unknown resource or method");
}

bool PlatformServer::ConsumeLostAnswer() {
  if (this->answers_to_lose > 0) {
    --this->answers_to_lose;
    return true;
  }
  return this->answers_to_lose < 0;
}

HttpResponse PlatformServer::Get(const std::string& path) const {
  const auto [kind, name] = SplitPath(path);
  if (name.empty()) {
    return MakeJsonResponse(200, this->store->List(kind, 0));
  }
  const ObjectStore::Object object = this->store->Get(kind, name);
  return object.version == 0 ? MakeErrorResponse(404, "not_found", "no object " + path)
                             : MakeJsonResponse(200, ToJson(object));
}

HttpResponse PlatformServer::Put(const std::string& kind,
                                 const std::string& name,
                                 const Json& request) {
  if (request.at("value").dump().size() > kMaxValueBytes) {
    return MakeErrorResponse(413, "bad_request", "the value is larger than 1 MiB");
  }
  const bool done = this->store->Put(kind, name, request["value"], request.at("if_version"));
  const ObjectStore::Object object = this->store->Get(kind, name);
  Json answer{{"version", object.version}, {"revision", object.revision}};
  if (!done) {
    answer["value"] = object.value;
    return MakeJsonResponse(409, answer);
  }
  this->changed.Notify();
  return MakeJsonResponse(200, answer);
}

asio::awaitable<HttpResponse> PlatformServer::Watch(std::string kind, std::string target) {
  ++this->watches;
  const uint64_t since = QueryNumber(target, "since", 0);
  const auto limit = Clock::now() + milliseconds(QueryNumber(target, "timeout_ms", 30000));
  while (!this->down && !this->store->HasChanged(kind, since) && Clock::now() < limit) {
    co_await this->changed.Wait(limit);
  }
  co_return MakeJsonResponse(200, this->store->List(kind, since));
}

nlohmann::json PlatformServer::ListVms() const {
  const auto as_of = Clock::now() - milliseconds(this->options.vm_list_lag_ms);
  Json list = Json::array();
  for (const auto& [name, changes] : this->vms) {
    const auto newer = std::find_if(changes.begin(), changes.end(),
                                    [&](const VmChange& change) { return change.at > as_of; });
    if (newer != changes.begin()) {
      Json vm = Json::parse(std::prev(newer)->vm);
      if (vm.value("state", "live") != "gone") {
        list.push_back(std::move(vm));
      }
    }
  }
  return {{"vms", list}};
}

HttpResponse PlatformServer::HandleControl(const HttpRequest& request) {
  if (request.method == "GET" && request.target == "/control/stats") {
    return MakeJsonResponse(200, {{"reads", this->reads},
                                  {"writes", this->writes},
                                  {"watches", this->watches},
                                  {"limited", this->limited}});
  }
  if (request.method == "PUT" && request.target == "/control/faults") {
    const Json faults = Json::parse(request.body);
    this->down = faults.value("down", this->down);
    this->slow_ms = faults.value("slow_ms", this->slow_ms);
    this->options.vm_list_lag_ms = faults.value("vm_list_lag_ms", this->options.vm_list_lag_ms);
    if (faults.contains("lose_answers")) {
      const Json& lose = faults["lose_answers"];
      this->answers_to_lose = lose.is_boolean() ? (lose.get<bool>() ? -1 : 0) : lose.get<int64_t>();
    }
    this->changed.Notify();
    return MakeJsonResponse(200, Json::object());
  }
  if (request.method == "PUT" && request.target.starts_with(kVms)) {
    const std::string name = request.target.substr(kVms.size());
    auto& changes = this->vms[name];
    Json vm = changes.empty() ? Json{{"name", name}} : Json::parse(changes.back().vm);
    vm.update(Json::parse(request.body));
    changes.push_back({Clock::now(), vm.dump()});
    return MakeJsonResponse(200, vm);
  }
  return MakeErrorResponse(404, "bad_request", "unknown control operation or method");
}

}  // namespace poplarmoor
