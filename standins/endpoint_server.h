#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "kernel/log_position.h"
#include "standins/endpoint_options.h"
#include "standins/signal.h"
#include "standins/standin_server.h"

namespace poplarmoor {

class EndpointLog;

/// Stand-in for one database server. Its protocol is in section 11 of the design page, "Endpoint".
class EndpointServer : public StandinServer {
 public:
  explicit EndpointServer(EndpointOptions options);
  ~EndpointServer() override;

 private:
  using Json = nlohmann::json;
  using Clock = std::chrono::steady_clock;
  struct Connection;
  struct SlotGuard;
  using ConnectionPtr = std::shared_ptr<Connection>;

  // Replay of the received log entries up to `index`, scheduled for the time `due` because the
  // fault `replay_lag_ms` delays it.
  struct Replay {
    Clock::time_point due;
    // Arrival time of the `replicate` answer that contained the entries, if the replica had the
    // primary's whole log after this answer; else the clock's epoch.
    Clock::time_point as_of;
    uint64_t index = 0;
  };

  boost::asio::awaitable<HttpResponse> Handle(HttpRequest request, ConnectionId id) override;
  void OnStart() override;
  void OnClose(ConnectionId id) override;

  boost::asio::awaitable<HttpResponse> HandleOperation(HttpRequest request, ConnectionId id);
  HttpResponse HandleControl(const HttpRequest& request);
  void SetFaults(const Json& json);
  Json MakeLogJson() const;

  // Each of these functions runs the protocol operation of the same name and returns the answer's
  // fields that only this operation has. AddStatus() adds the fields that all answers have.
  boost::asio::awaitable<Json> Connect(ConnectionPtr connection, Json request);
  boost::asio::awaitable<Json> Execute(ConnectionPtr connection, Json request);
  boost::asio::awaitable<Json> Begin(ConnectionPtr connection, Json request);
  boost::asio::awaitable<Json> Commit(ConnectionPtr connection, Json request);
  boost::asio::awaitable<Json> Rollback(ConnectionPtr connection, Json request);
  boost::asio::awaitable<Json> Outcome(ConnectionPtr connection, Json request);
  boost::asio::awaitable<Json> Status(ConnectionPtr connection, Json request);
  boost::asio::awaitable<Json> Fence(ConnectionPtr connection, Json request);
  boost::asio::awaitable<Json> Promote(ConnectionPtr connection, Json request);
  boost::asio::awaitable<Json> Follow(ConnectionPtr connection, Json request);
  boost::asio::awaitable<Json> Replicate(ConnectionPtr connection, Json request);

  std::string FindRefusalReason(const Json& request, bool is_write) const;
  Json FindDuplicate(const std::string& request_id, const Json& statements) const;
  Json RunStatements(ConnectionPtr connection, const Json& request);
  void AddStatus(Json& answer) const;
  void SetTerm(uint64_t term, const std::string& proposer);
  int64_t StalenessMs() const;

  boost::asio::awaitable<void> WaitWhileFrozen();
  boost::asio::awaitable<void> ReplicateLoop();
  boost::asio::awaitable<void> ReplayLoop();
  void Receive(const Json& answer, Clock::time_point arrival);

  EndpointOptions options;
  EndpointFaults faults;
  std::unique_ptr<EndpointLog> log;
  std::map<ConnectionId, ConnectionPtr> connections;
  Signal changed;  // Wakes waiting coroutines when the log, the term or the faults change.

  uint64_t term = 0;
  uint64_t role_epoch = 0;  // Number of times that the term or the primary to follow has changed.
  // Proposer, "DAEMON#NONCE", that obtained `term` with a `fence` or `promote` request; empty if
  // unknown.
  std::string proposer;
  bool is_primary = false;
  // True if the log is known to be a prefix of the log of the primary of `term`.
  bool synced = false;
  // True if the endpoint may grant a `fence` request, which is a vote for a new term. An endpoint
  // that starts as a replica has an empty log. It may not vote until it has once received all log
  // entries of a primary.
  bool can_vote = false;
  std::string primary_address;
  std::deque<Replay> pending_replays;
  // Arrival time of the latest `replicate` answer after which this replica had the primary's whole
  // log and whose entries are all replayed. Until there is such an answer, the start time of the
  // endpoint. A replica's staleness is the time since `fresh_as_of`.
  Clock::time_point fresh_as_of;

  int open_data_connections = 0;
  int max_connections_seen = 0;
  int active = 0;  // Number of statements that are running.
  int max_active_seen = 0;
  uint64_t data_answers = 0;
  // Number of runs of each request on this endpoint, by request id. Runs whose log entry was
  // truncated later are included.
  std::map<std::string, int> executions;
};

}  // namespace poplarmoor
