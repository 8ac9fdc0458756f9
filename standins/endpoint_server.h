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

/// Stand-in for one database server: section 11 of the design page, "Endpoint".
class EndpointServer : public StandinServer {
 public:
  /// @param options Settings.
  explicit EndpointServer(EndpointOptions options);
  ~EndpointServer() override;

 private:
  using Json = nlohmann::json;
  using Clock = std::chrono::steady_clock;
  struct Connection;
  struct StatementGuard;
  using ConnectionPtr = std::shared_ptr<Connection>;

  // Received entries that wait for the replay lag.
  struct Replay {
    Clock::time_point due;
    Clock::time_point as_of;  // When the primary had nothing newer, or the epoch.
    uint64_t index = 0;
  };

  boost::asio::awaitable<HttpResponse> Handle(HttpRequest request, ConnectionId id) override;
  void OnStart() override;
  void OnClose(ConnectionId id) override;

  boost::asio::awaitable<HttpResponse> HandleOperation(HttpRequest request, ConnectionId id);
  HttpResponse HandleControl(const HttpRequest& request);
  void SetFaults(const Json& json);
  Json MakeLogJson() const;

  // Operations. Each returns the fields that it adds to the common ones.
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

  std::string FindRefusal(const Json& request, bool is_write) const;
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
  Signal changed;  // Entries received, term or faults changed.

  uint64_t term = 0;
  uint64_t role_epoch = 0;  // Counts changes of term and of the primary followed.
  std::string proposer;     // Proposer of the term that was granted.
  bool is_primary = false;
  bool synced = false;    // The log is a prefix of that of the term's primary.
  bool can_vote = false;  // Has held a complete log; an endpoint that starts empty has not.
  std::string primary_address;
  std::deque<Replay> replays;
  Clock::time_point fresh_at;  // The replayed state was that of the primary at this time.

  int open_data_connections = 0;
  int max_connections_seen = 0;
  int active = 0;  // Statements running now.
  int max_active_seen = 0;
  uint64_t data_answers = 0;
  std::map<std::string, int> executions;  // By request id; kept when the entry is truncated.
};

}  // namespace poplarmoor
