#include <catch2/catch.hpp>

#include "standins/endpoint_server.h"
#include "tests/standins/blocking_client.h"

namespace poplarmoor {
namespace {

using nlohmann::json;
using std::chrono_literals::operator""ms;

EndpointOptions FastOptions() {
  EndpointOptions options;
  options.connect_ms = 0;
  options.statement_ms = 0;
  options.is_primary = true;
  return options;
}

json MakeWrite(const std::string& request_id, uint64_t term, const json& statement) {
  return {{"request_id", request_id}, {"term", term}, {"kind", "write"}, {"statement", statement}};
}

json MakePut(const std::string& key, const json& value) {
  return {{"op", "put"}, {"key", key}, {"value", value}};
}

json MakeGet(uint64_t term, const std::string& key) {
  return {{"request_id", "read-" + key},
          {"term", term},
          {"kind", "read"},
          {"statement", {{"op", "get"}, {"key", key}}}};
}

/// One primary and the endpoints that a test adds, all in the test process.
struct GroupFixture {
  GroupFixture() { this->Add(FastOptions()); }

  EndpointServer& Add(const EndpointOptions& options) {
    this->servers.push_back(std::make_unique<EndpointServer>(options));
    this->servers.back()->Start("127.0.0.1:0");
    return *this->servers.back();
  }

  EndpointServer& AddReplica() {
    EndpointOptions options = FastOptions();
    options.is_primary = false;
    options.name = "replica";
    options.primary_address = this->servers[0]->address();
    return this->Add(options);
  }

  json Post(size_t server, const std::string& operation, const json& body) {
    return json::parse(this->servers[server]->Call("POST", "/v1/" + operation, body.dump()).body);
  }

  json Log(size_t server) {
    return json::parse(this->servers[server]->Call("GET", "/control/log").body);
  }

  void SetFaults(size_t server, const json& faults) {
    this->servers[server]->Call("PUT", "/control/faults", faults.dump());
  }

  // Waits until an endpoint has received the entry at an index. The time limit of 20 s is reached
  // only if the test fails.
  json AwaitReceived(size_t server, uint64_t index) {
    return this->Post(server, "status", {{"wait_index", index}, {"timeout_ms", 20000}});
  }

  // Repeats a `fence` request until the endpoint grants the term. A replica grants terms once it
  // has received the primary's complete log.
  void AwaitTermGranted(size_t server, uint64_t term, const std::string& proposer) {
    for (int attempt = 0; attempt < 2000; ++attempt) {
      if (this->Post(server, "fence", {{"term", term}, {"proposer", proposer}})["granted"]) {
        return;
      }
      std::this_thread::sleep_for(5ms);
    }
    FAIL("the endpoint did not grant the term in time");
  }

  std::unique_ptr<BlockingClient> OpenData(size_t server) {
    auto client = std::make_unique<BlockingClient>(this->servers[server]->address());
    REQUIRE(client->Post("connect", json::object())["status"] == "ok");
    return client;
  }

  std::vector<std::unique_ptr<EndpointServer>> servers;
};

TEST_CASE_METHOD(GroupFixture,
                 "a request with a repeated id gets the first answer and does not run again") {
  const auto data = this->OpenData(0);
  const json add = MakeWrite("r1", 1, {{"op", "add"}, {"key", "n"}, {"delta", 5}});
  const json first = data->Post("execute", add);
  const json second = data->Post("execute", add);
  CHECK(first["result"] == 5);
  CHECK(second["result"] == 5);
  CHECK(second["duplicate"] == true);
  CHECK(second["position"] == first["position"]);
  CHECK(second["request_id"] == "r1");
  CHECK(this->Log(0)["executions"]["r1"] == 1);
  CHECK(data->Post("execute", MakeWrite("r1", 1, MakePut("n", 0)))["reason"] ==
        "request_id_reused");
  CHECK(this->Post(0, "outcome", {{"request_id", "r1"}})["found"] == true);
  CHECK(this->Post(0, "outcome", {{"request_id", "r2"}})["found"] == false);
}

TEST_CASE_METHOD(
    GroupFixture,
    "an endpoint never runs a refused statement, and runs no statement on a connection without a "
    "successful connect operation") {
  EndpointOptions options = FastOptions();
  options.slots = 0;
  options.connections = 1;
  this->Add(options);
  const auto data = this->OpenData(1);
  CHECK(data->Post("execute", MakeWrite("r1", 1, MakePut("a", 1)))["reason"] == "no_slot");
  CHECK(data->Post("execute", MakeWrite("r2", 0, MakePut("a", 1)))["reason"] == "fenced");
  CHECK(data->Post("execute", MakeWrite("r3", 2, MakePut("a", 1)))["reason"] == "not_primary");
  BlockingClient second(this->servers[1]->address());
  CHECK(second.Post("connect", json::object())["reason"] == "too_many_connections");
  CHECK(second.Post("execute", MakeWrite("r4", 1, MakePut("a", 1)))["status"] == "error");
  CHECK(this->Log(1)["executions"].empty());
  CHECK(this->Log(1)["entries"].empty());
  CHECK(this->Log(1)["max_connections_seen"] == 1);
}

TEST_CASE_METHOD(GroupFixture, "a transaction reads its own writes and commits as one log entry") {
  const auto data = this->OpenData(0);
  const auto other = this->OpenData(0);
  const json in_transaction{{"transaction", true}};
  data->Post("begin", {{"request_id", "b"}, {"term", 1}});
  for (const char* key : {"a", "b"}) {
    json write = MakeWrite(std::string("s") + key, 1, MakePut(key, "tag"));
    write.update(in_transaction);
    CHECK(data->Post("execute", write)["status"] == "ok");
  }
  json read = MakeGet(1, "a");
  CHECK(other->Post("execute", read)["result"].is_null());
  read.update(in_transaction);
  CHECK(data->Post("execute", read)["result"] == "tag");
  CHECK(data->Post("commit", {{"request_id", "c"}, {"term", 1}})["position"]["index"] == 1);
  CHECK(other->Post("execute", MakeGet(1, "b"))["result"] == "tag");
  const json log = this->Log(0);
  REQUIRE(log["entries"].size() == 1);
  CHECK(log["entries"][0]["statements"].size() == 2);
  CHECK(log["entries"][0]["transaction"] == true);
  // A client that lost the answer to a commit can repeat the commit with the same request id on any
  // connection and gets the first answer.
  CHECK(other->Post("commit", {{"request_id", "c"}, {"term", 1}})["duplicate"] == true);
  CHECK(other->Post("commit", {{"request_id", "x"}, {"term", 1}})["reason"] == "transaction_gone");
}

TEST_CASE_METHOD(GroupFixture,
                 "an endpoint rolls back an open transaction when its connection is closed") {
  auto data = this->OpenData(0);
  data->Post("begin", {{"request_id", "b"}, {"term", 1}});
  json write = MakeWrite("s", 1, MakePut("a", "lost"));
  write["transaction"] = true;
  data->Post("execute", write);
  data.reset();
  const auto other = this->OpenData(0);
  CHECK(other->Post("commit", {{"request_id", "c"}, {"term", 1}})["reason"] == "transaction_gone");
  CHECK(this->Log(0)["entries"].empty());
}

TEST_CASE_METHOD(
    GroupFixture,
    "a replica refuses a read if it has not replayed the log position that the read requires or is "
    "staler than the read allows") {
  this->AddReplica();
  this->SetFaults(1, {{"replay_lag_ms", 3600000}});
  const auto data = this->OpenData(0);
  data->Post("execute", MakeWrite("r1", 1, MakePut("a", 1)));
  const json status = this->AwaitReceived(1, 1);
  CHECK(status["received"] == 1);
  CHECK(status["replayed"] == 0);
  const auto replica = this->OpenData(1);
  json read = MakeGet(1, "a");
  CHECK(replica->Post("execute", read)["result"].is_null());
  read["min"] = {{"term", 1}, {"index", 1}};
  CHECK(replica->Post("execute", read)["reason"] == "behind");
  CHECK(data->Post("execute", read)["result"] == 1);
  // The log has an entry 1, but not of term 7. A read requires such an entry if it was truncated.
  read["min"]["term"] = 7;
  CHECK(data->Post("execute", read)["reason"] == "behind");
  json write = MakeWrite("r2", 1, MakePut("a", 2));
  CHECK(replica->Post("execute", write)["reason"] == "not_primary");
  this->SetFaults(1, {{"cut_replication", true}});
  std::this_thread::sleep_for(2ms);
  read = MakeGet(1, "a");
  read["max_staleness_ms"] = 0;
  CHECK(replica->Post("execute", read)["reason"] == "stale");
}

TEST_CASE_METHOD(GroupFixture,
                 "an endpoint grants a term to one proposer only and refuses all lower terms") {
  const auto data = this->OpenData(0);
  CHECK(this->Post(0, "fence", {{"term", 2}, {"proposer", "d1"}})["granted"] == true);
  CHECK(this->Post(0, "fence", {{"term", 2}, {"proposer", "d2"}})["granted"] == false);
  CHECK(this->Post(0, "fence", {{"term", 1}, {"proposer", "d1"}})["granted"] == false);
  CHECK(this->Post(0, "fence", {{"term", 2}, {"proposer", "d1"}})["granted"] == true);
  CHECK(data->Post("execute", MakeWrite("r1", 1, MakePut("a", 1)))["reason"] == "fenced");
  CHECK(data->Post("execute", MakeWrite("r2", 2, MakePut("a", 1)))["reason"] == "not_primary");
  const json promote{{"term", 2}, {"proposer", "d2"}, {"start_index", 0}};
  CHECK(this->Post(0, "promote", promote)["reason"] == "fenced");
  CHECK(this->Log(0)["entries"].empty());
}

TEST_CASE_METHOD(GroupFixture,
                 "a replaced primary removes the log entries that the new primary never received") {
  this->AddReplica();
  const auto data = this->OpenData(0);
  data->Post("execute", MakeWrite("kept", 1, MakePut("a", "kept")));
  this->AwaitReceived(1, 1);
  this->SetFaults(0, {{"cut_replication", true}});
  data->Post("execute", MakeWrite("lost1", 1, MakePut("a", "lost")));
  data->Post("execute", MakeWrite("lost2", 1, MakePut("b", "lost")));
  this->AwaitTermGranted(1, 2, "d1");
  const json promote{{"term", 2}, {"proposer", "d1"}, {"start_index", 1}};
  REQUIRE(this->Post(1, "promote", promote)["role"] == "primary");
  const json follow{{"term", 2}, {"primary", "replica"}, {"address", this->servers[1]->address()}};
  const json following = this->Post(0, "follow", follow);
  CHECK(following["role"] == "replica");
  // The old primary has an entry 2 of its own. This must not count as a confirmation that it has
  // the new primary's entry 2, so `received` is 0 until the two logs have been compared.
  CHECK(following["received"] == 0);
  const auto new_primary = this->OpenData(1);
  new_primary->Post("execute", MakeWrite("new", 2, MakePut("a", "new")));
  this->SetFaults(0, {{"cut_replication", false}});
  // The promotion appended an empty entry at index 2, so that the new write is at index 3.
  CHECK(this->AwaitReceived(0, 3)["last"] == json{{"term", 2}, {"index", 3}});
  const json log = this->Log(0);
  CHECK(log["entries"] == this->Log(1)["entries"]);
  CHECK(log["executions"]["lost1"] == 1);
  CHECK(this->Post(0, "outcome", {{"request_id", "lost1"}})["found"] == false);
  json read = MakeGet(2, "a");
  read["min"] = {{"term", 1}, {"index", 2}};
  CHECK(new_primary->Post("execute", read)["reason"] == "behind");
}

TEST_CASE_METHOD(
    GroupFixture,
    "a replica with an empty log refuses a fence request, so it has no vote in a promotion") {
  EndpointOptions options = FastOptions();
  options.is_primary = false;
  this->Add(options);
  CHECK(this->Post(1, "fence", {{"term", 2}, {"proposer", "d1"}})["granted"] == false);
}

TEST_CASE_METHOD(
    GroupFixture,
    "a transaction that is open when the endpoint is fenced and promoted cannot be committed") {
  const auto data = this->OpenData(0);
  data->Post("begin", {{"request_id", "b"}, {"term", 1}});
  this->Post(0, "fence", {{"term", 2}, {"proposer", "d1"}});
  this->Post(0, "promote", {{"term", 2}, {"proposer", "d1"}, {"start_index", 0}});
  CHECK(data->Post("commit", {{"request_id", "c"}, {"term", 2}})["reason"] == "transaction_gone");
}

TEST_CASE_METHOD(
    GroupFixture,
    "the fault silent_connections suppresses answers on open connections but not on new ones") {
  const auto old = this->OpenData(0);
  this->SetFaults(0, {{"silent_connections", true}});
  const json write = MakeWrite("r1", 1, MakePut("a", 1));
  CHECK_THROWS_AS(old->Send("POST", "/v1/execute", write.dump(), 50ms), HttpError);
  const auto fresh = this->OpenData(0);
  CHECK(fresh->Post("execute", write)["status"] == "ok");
  CHECK(this->Log(0)["executions"]["r1"] == 1);
}

TEST_CASE_METHOD(GroupFixture, "a frozen endpoint answers no request until the fault is cleared") {
  BlockingClient client(this->servers[0]->address());
  this->SetFaults(0, {{"frozen", true}});
  CHECK_THROWS_AS(client.Send("POST", "/v1/status", "{}", 50ms), HttpError);
  this->SetFaults(0, {{"frozen", false}});
  BlockingClient again(this->servers[0]->address());
  CHECK(again.Post("status", json::object())["status"] == "ok");
}

TEST_CASE_METHOD(GroupFixture, "a crashed endpoint closes its connections without an answer") {
  const auto data = this->OpenData(0);
  BlockingClient control(this->servers[0]->address());
  CHECK_THROWS_AS(control.Send("POST", "/control/crash", ""), HttpError);
  CHECK_THROWS_AS(data->Post("status", json::object()), HttpError);
}

}  // namespace
}  // namespace poplarmoor
