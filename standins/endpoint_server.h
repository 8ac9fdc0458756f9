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
  /// @param options Settings of the endpoint.
  explicit EndpointServer(EndpointOptions options);
  ~EndpointServer() override;

 private:
  using Json = nlohmann::json;
  using Clock = std::chrono::steady_clock;
  struct Connection;
  struct SlotGuard;
  using ConnectionPtr = std::shared_ptr<Connection>;

  // Scheduled replay of the received log entries up to an index, delayed by the replay lag.
  struct Replay {
    Clock::time_point due;
    Clock::time_point as_of;  // Arrival of the primary's answer if complete, else the epoch.
    uint64_t index = 0;
  };

  boost::asio::awaitable<HttpResponse> Handle(HttpRequest request, ConnectionId id) override;
  void OnStart() override;
  void OnClose(ConnectionId id) override;

  boost::asio::awaitable<HttpResponse> HandleOperation(HttpRequest request, ConnectionId id);
  HttpResponse HandleControl(const HttpRequest& request);
  void SetFaults(const Json& json);
  Json MakeLogJson() const;

  // Operations of the protocol. Each returns its own fields of the answer; AddStatus() adds the
  // common fields.
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
  Signal changed;  // Notified when the log, the term or the faults change.

  uint64_t term = 0;
  uint64_t role_epoch = 0;  // Number of changes of the term or of the followed primary.
  std::string proposer;     // Proposer to which `term` was granted; empty if unknown.
  bool is_primary = false;
  bool synced = false;  // The log is known to be a prefix of the log of the primary of `term`.
  // Whether the endpoint may grant a term: true once it has held the complete log of a primary, so
  // false after a start with an empty log.
  bool can_vote = false;
  std::string primary_address;
  std::deque<Replay> pending_replays;
  // Latest time at which the primary is known to have had no entry beyond the replayed ones.
  Clock::time_point fresh_as_of;

  int open_data_connections = 0;
  int max_connections_seen = 0;
  int active = 0;  // Number of statements that run now.
  int max_active_seen = 0;
  uint64_t data_answers = 0;
  std::map<std::string, int> executions;  // Runs by request id, including truncated entries.
};

}  // namespace poplarmoor
