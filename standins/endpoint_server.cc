#include "standins/endpoint_server.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "net/http_connection.h"
#include "net/http_message.h"
#include "standins/endpoint_log.h"

namespace poplarmoor {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

// Time from a request on a connection with the fault `silent_connections` until the connection is
// closed without an answer.
constexpr milliseconds kSilentConnectionHold = std::chrono::hours(1);
// Delay of every third answer to a data operation if the fault is set with "late_answers": true.
constexpr int kLateAnswerMs = 1500;

nlohmann::json MakeRefusal(const std::string& reason) {
  return {{"status", "refused"}, {"reason", reason}};
}

nlohmann::json MakePosition(LogPosition position) {
  return {{"term", position.term}, {"index", position.index}};
}

LogPosition ParsePosition(const nlohmann::json& json) {
  return {json.at("term"), json.at("index")};
}

}  // namespace

struct EndpointServer::Connection {
  bool is_data = false;  // True after a successful `connect` on the connection.
  bool counted = false;  // True if the connection counts against the connection limit.
  bool silent = false;   // True if the fault `silent_connections` suppresses its answers.
  bool in_transaction = false;
  // State that the transaction reads: the replayed state at the time of its `begin` request.
  std::shared_ptr<const EndpointState> snapshot;
  // Values that the transaction wrote. Its reads prefer them to the values of the snapshot.
  EndpointState writes;
  nlohmann::json statements = nlohmann::json::array();
  // Value of EndpointServer::role_epoch when the transaction began. If the endpoint's value differs
  // later, the endpoint has changed its term or the primary that it follows, and it refuses to
  // continue the transaction.
  uint64_t role_epoch = 0;

  void EndTransaction() {
    this->in_transaction = false;
    this->snapshot.reset();
    this->writes.clear();
    this->statements = nlohmann::json::array();
  }
};

// Occupies one of the endpoint's statement slots during the lifetime of the guard.
struct EndpointServer::SlotGuard {
  explicit SlotGuard(EndpointServer& server) : server(server) {
    ++server.active;
    server.max_active_seen = std::max(server.max_active_seen, server.active);
  }
  ~SlotGuard() { --this->server.active; }
  SlotGuard(const SlotGuard&) = delete;
  SlotGuard& operator=(const SlotGuard&) = delete;

  EndpointServer& server;
};

EndpointServer::EndpointServer(EndpointOptions options)
    : options(std::move(options)), log(std::make_unique<EndpointLog>()) {
  this->term = this->options.term;
  this->is_primary = this->options.is_primary;
  this->synced = this->is_primary;
  this->can_vote = this->is_primary;
  this->primary_address = this->options.primary_address;
  this->fresh_as_of = Clock::now();
}

EndpointServer::~EndpointServer() {
  this->Stop();
}

void EndpointServer::OnStart() {
  asio::co_spawn(this->io(), this->ReplicateLoop(), asio::detached);
  asio::co_spawn(this->io(), this->ReplayLoop(), asio::detached);
}

void EndpointServer::OnClose(ConnectionId id) {
  const auto found = this->connections.find(id);
  if (found == this->connections.end()) {
    return;
  }
  if (found->second->counted) {
    --this->open_data_connections;
  }
  found->second->counted = false;
  this->connections.erase(found);
}

asio::awaitable<void> EndpointServer::WaitWhileFrozen() {
  while (this->faults.frozen) {
    co_await this->changed.Wait(Clock::time_point::max());
  }
}

// --- Requests -----------------------------------------------------------------------------------

asio::awaitable<HttpResponse> EndpointServer::Handle(HttpRequest request, ConnectionId id) {
  try {
    if (request.target.starts_with("/control/")) {
      co_return this->HandleControl(request);
    }
    co_return co_await this->HandleOperation(std::move(request), id);
  } catch (const nlohmann::json::exception& error) {
    co_return MakeErrorResponse(400, "bad_request", error.what());
  }
}

asio::awaitable<HttpResponse> EndpointServer::HandleOperation(HttpRequest request,
                                                              ConnectionId id) {
  using Operation = asio::awaitable<Json> (EndpointServer::*)(ConnectionPtr, Json);
  struct Row {
    Operation operation;
    bool is_data;  // True if the operation requires an earlier `connect` on the connection.
  };
  static const std::map<std::string, Row> kOperations{
      {"/v1/connect", {&EndpointServer::Connect, false}},
      {"/v1/execute", {&EndpointServer::Execute, true}},
      {"/v1/begin", {&EndpointServer::Begin, true}},
      {"/v1/commit", {&EndpointServer::Commit, true}},
      {"/v1/rollback", {&EndpointServer::Rollback, true}},
      {"/v1/outcome", {&EndpointServer::Outcome, false}},
      {"/v1/status", {&EndpointServer::Status, false}},
      {"/v1/fence", {&EndpointServer::Fence, false}},
      {"/v1/promote", {&EndpointServer::Promote, false}},
      {"/v1/follow", {&EndpointServer::Follow, false}},
      {"/v1/replicate", {&EndpointServer::Replicate, false}},
  };
  const auto found = kOperations.find(request.target);
  if (found == kOperations.end() || request.method != "POST") {
    co_return MakeErrorResponse(404, "bad_request", "unknown operation or method");
  }
  const Json body = Json::parse(request.body.empty() ? "{}" : request.body);
  ConnectionPtr& entry = this->connections[id];
  if (entry == nullptr) {
    entry = std::make_shared<Connection>();
  }
  const ConnectionPtr connection = entry;
  co_await this->WaitWhileFrozen();
  Json answer;
  if (found->second.is_data && !connection->is_data) {
    answer = {{"status", "error"},
              {"reason", "bad_request"},
              {"message", "the operation requires a data connection; send connect first"}};
  } else {
    try {
      answer = co_await (this->*found->second.operation)(connection, body);
    } catch (const std::invalid_argument& error) {
      answer = {{"status", "error"}, {"reason", "bad_request"}, {"message", error.what()}};
    }
  }
  co_await this->WaitWhileFrozen();
  if (!answer.is_object()) {
    co_return MakeDroppedResponse();
  }
  if (body.contains("request_id")) {
    answer["request_id"] = body["request_id"];
  }
  this->AddStatus(answer);
  int delay = this->options.delay_ms + this->faults.answer_delay_ms;
  if (found->second.is_data && this->faults.late_answers_ms > 0 && ++this->data_answers % 3 == 0) {
    delay += this->faults.late_answers_ms;
  }
  co_await Sleep(milliseconds(delay));
  if (connection->silent) {
    co_await Sleep(kSilentConnectionHold);
    co_return MakeDroppedResponse();
  }
  co_return MakeJsonResponse(200, answer);
}

void EndpointServer::AddStatus(Json& answer) const {
  if (!answer.contains("status")) {
    answer["status"] = "ok";
  }
  answer["endpoint"] = this->options.name;
  answer["role"] = this->is_primary ? "primary" : "replica";
  answer["term"] = this->term;
  // The proxy regards all writes up to the log index `received` as confirmed by this endpoint. The
  // index is therefore 0 unless this endpoint's log is known to be a prefix of the primary's log.
  answer["received"] = this->synced ? this->log->received() : 0;
  answer["replayed"] = this->log->replayed();
  answer["last"] = MakePosition(this->log->last());
  answer["staleness_ms"] = this->StalenessMs();
  answer["active"] = this->active;
}

int64_t EndpointServer::StalenessMs() const {
  return this->is_primary
             ? 0
             : std::chrono::duration_cast<milliseconds>(Clock::now() - this->fresh_as_of).count();
}

// --- Data operations ----------------------------------------------------------------------------

asio::awaitable<nlohmann::json> EndpointServer::Connect(ConnectionPtr connection, Json) {
  if (connection->is_data) {
    co_return Json::object();
  }
  if (this->open_data_connections >= this->options.connections) {
    co_return MakeRefusal("too_many_connections");
  }
  connection->counted = true;
  this->max_connections_seen = std::max(this->max_connections_seen, ++this->open_data_connections);
  co_await Sleep(milliseconds(this->options.connect_ms));
  connection->is_data = true;
  co_return Json::object();
}

// Returns the reason why a request must not run, or an empty string if it may run.
std::string EndpointServer::FindRefusalReason(const Json& request, bool is_write) const {
  const uint64_t request_term = request.value("term", uint64_t{0});
  if (request_term < this->term) {
    return "fenced";
  }
  if (is_write && (!this->is_primary || request_term > this->term)) {
    return "not_primary";
  }
  const LogPosition min = request.contains("min") ? ParsePosition(request["min"]) : LogPosition{};
  if (min.index > 0 &&
      (this->log->replayed() < min.index || this->log->TermAt(min.index) != min.term)) {
    return "behind";
  }
  if (request.contains("max_staleness_ms") && !request["max_staleness_ms"].is_null() &&
      this->StalenessMs() > request["max_staleness_ms"].get<int64_t>()) {
    return "stale";
  }
  return "";
}

// Returns the answer to a request whose id is already in the log, or null if it is not. The answer
// is a refusal if `statements` is not null and differs from the statements in the log.
nlohmann::json EndpointServer::FindDuplicate(const std::string& request_id,
                                             const Json& statements) const {
  const EndpointLogEntry* entry = request_id.empty() ? nullptr : this->log->FindRequest(request_id);
  if (entry == nullptr) {
    return nullptr;
  }
  if (!statements.is_null() && entry->statements != statements) {
    return MakeRefusal("request_id_reused");
  }
  return {
      {"result", entry->result}, {"position", MakePosition(entry->position)}, {"duplicate", true}};
}

asio::awaitable<nlohmann::json> EndpointServer::Execute(ConnectionPtr connection, Json request) {
  const bool is_write = request.at("kind") == "write";
  if (const std::string reason = this->FindRefusalReason(request, is_write); !reason.empty()) {
    co_return MakeRefusal(reason);
  }
  if (this->active >= this->options.slots) {
    co_return MakeRefusal("no_slot");
  }
  const SlotGuard guard(*this);
  co_await Sleep(milliseconds(this->options.statement_ms));
  co_await this->WaitWhileFrozen();
  if (const std::string reason = this->FindRefusalReason(request, is_write); !reason.empty()) {
    co_return MakeRefusal(reason);
  }
  co_return this->RunStatements(connection, request);
}

nlohmann::json EndpointServer::RunStatements(ConnectionPtr connection, const Json& request) {
  const std::string request_id = request.value("request_id", "");
  const Json& statement = request.at("statement");
  const bool is_write = request.at("kind") == "write";
  if (request.value("transaction", false)) {
    if (!connection->in_transaction || connection->role_epoch != this->role_epoch) {
      connection->EndTransaction();
      return MakeRefusal("transaction_gone");
    }
    const Json result = RunStatement(statement, *connection->snapshot, connection->writes);
    if (is_write) {
      connection->statements.push_back(statement);
    }
    return {{"result", result}};
  }
  if (!is_write) {
    EndpointState unused;
    const Json result = RunStatement(statement, *this->log->snapshot(), unused);
    if (!unused.empty()) {
      throw std::invalid_argument("the statement of a read must not write");
    }
    ++this->executions[request_id];
    return {{"result", result},
            {"position",
             MakePosition({this->log->TermAt(this->log->replayed()), this->log->replayed()})}};
  }
  const Json statements = Json::array({statement});
  if (Json duplicate = this->FindDuplicate(request_id, statements); !duplicate.is_null()) {
    return duplicate;
  }
  const EndpointLogEntry& entry = this->log->Execute(this->term, request_id, statements, false);
  ++this->executions[request_id];
  this->changed.Notify();
  return {
      {"result", entry.result}, {"position", MakePosition(entry.position)}, {"duplicate", false}};
}

asio::awaitable<nlohmann::json> EndpointServer::Begin(ConnectionPtr connection, Json request) {
  if (const std::string reason = this->FindRefusalReason(request, true); !reason.empty()) {
    co_return MakeRefusal(reason);
  }
  connection->EndTransaction();
  connection->in_transaction = true;
  connection->snapshot = this->log->snapshot();
  connection->role_epoch = this->role_epoch;
  co_return Json::object();
}

asio::awaitable<nlohmann::json> EndpointServer::Commit(ConnectionPtr connection, Json request) {
  if (const std::string reason = this->FindRefusalReason(request, true); !reason.empty()) {
    connection->EndTransaction();
    co_return MakeRefusal(reason);
  }
  const std::string request_id = request.value("request_id", "");
  const bool open = connection->in_transaction && connection->role_epoch == this->role_epoch;
  const Json statements = open ? connection->statements : Json();
  connection->EndTransaction();
  if (Json duplicate = this->FindDuplicate(request_id, statements); !duplicate.is_null()) {
    co_return duplicate;
  }
  if (!open) {
    co_return MakeRefusal("transaction_gone");
  }
  ++this->executions[request_id];
  if (statements.empty()) {
    co_return Json{{"position", MakePosition(this->log->last())}};
  }
  const EndpointLogEntry& entry = this->log->Execute(this->term, request_id, statements, true);
  this->changed.Notify();
  co_return Json{{"position", MakePosition(entry.position)}, {"duplicate", false}};
}

asio::awaitable<nlohmann::json> EndpointServer::Rollback(ConnectionPtr connection, Json) {
  connection->EndTransaction();
  co_return Json::object();
}

asio::awaitable<nlohmann::json> EndpointServer::Outcome(ConnectionPtr, Json request) {
  const EndpointLogEntry* entry = this->log->FindRequest(request.at("request_id"));
  if (entry == nullptr) {
    co_return Json{{"found", false}};
  }
  co_return Json{{"found", true}, {"position", MakePosition(entry->position)}};
}

// --- Control ------------------------------------------------------------------------------------

HttpResponse EndpointServer::HandleControl(const HttpRequest& request) {
  if (request.target == "/control/faults" && request.method == "PUT") {
    this->SetFaults(Json::parse(request.body));
    return MakeJsonResponse(200, Json::object());
  }
  if (request.target == "/control/log" && request.method == "GET") {
    return MakeJsonResponse(200, this->MakeLogJson());
  }
  if (request.target == "/control/crash" && request.method == "POST") {
    if (this->options.exit_on_crash) {
      std::_Exit(1);
    }
    this->StopLoop();
    return MakeDroppedResponse();
  }
  return MakeErrorResponse(404, "bad_request", "unknown control operation or method");
}

void EndpointServer::SetFaults(const Json& json) {
  this->faults.frozen = json.value("frozen", this->faults.frozen);
  this->faults.cut_replication = json.value("cut_replication", this->faults.cut_replication);
  this->faults.answer_delay_ms = json.value("answer_delay_ms", this->faults.answer_delay_ms);
  if (json.contains("late_answers")) {
    const Json& late = json["late_answers"];
    this->faults.late_answers_ms =
        late.is_boolean() ? (late.get<bool>() ? kLateAnswerMs : 0) : late.get<int>();
  }
  this->faults.receive_lag_ms = json.value("receive_lag_ms", this->faults.receive_lag_ms);
  this->faults.replay_lag_ms = json.value("replay_lag_ms", this->faults.replay_lag_ms);
  this->options.statement_ms = json.value("statement_ms", this->options.statement_ms);
  if (json.value("silent_connections", false)) {
    for (auto& [id, connection] : this->connections) {
      if (connection->is_data) {
        connection->silent = true;
        // The connection no longer counts against the connection limit, as on a server that has
        // noticed that the client is gone. New connections are therefore accepted.
        this->open_data_connections -= connection->counted ? 1 : 0;
        connection->counted = false;
      }
    }
  }
  this->changed.Notify();
}

nlohmann::json EndpointServer::MakeLogJson() const {
  Json entries = Json::array();
  for (const EndpointLogEntry& entry : this->log->entries()) {
    entries.push_back(ToJson(entry));
  }
  Json answer{{"entries", entries},
              {"executions", this->executions},
              {"max_connections_seen", this->max_connections_seen},
              {"max_active_seen", this->max_active_seen},
              {"connections", this->open_data_connections},
              {"slots", this->options.slots},
              {"connection_limit", this->options.connections}};
  this->AddStatus(answer);
  return answer;
}

}  // namespace poplarmoor
