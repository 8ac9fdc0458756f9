#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace poplarmoor::platform {

/// A statement that a FakeLineEndpoint executed.
struct ExecutedStatement {
  std::string id;
  std::string text;
  // Session values of the connection when the statement was executed.
  std::map<std::string, std::string> values;
  bool in_transaction = false;
  bool as_primary = false;
  std::string organisation;  // Organisation with which the connection was opened.
};

/// State that all fake endpoints of one group share: the log and which endpoint is the primary.
struct FakeGroup {
  std::string service = "ledger";
  uint64_t term = 1;
  uint64_t index = 10;  // Index of the log's last entry; endpoints may lag behind it.
  std::string primary;  // Id of the primary.
  std::vector<ExecutedStatement> executed;
  std::map<std::string, std::string> items;
};

/// Database endpoint for tests. It speaks the platform's line protocol and runs on the test's
/// io_context.
class FakeLineEndpoint {
 public:
  FakeLineEndpoint(boost::asio::any_io_executor executor, std::string id, FakeGroup* group);

  /// @returns Address of the endpoint's listener, "IP:port".
  std::string address() const;

  /// Stops listening and closes all connections, as a crash of the endpoint does.
  void Crash();

  std::string id;
  // Term in the PAUSE command that paused replication; 0 while replication is not paused.
  uint64_t active_pause_term = 0;
  int resumed = 0;                 // Number of RESUME commands.
  std::function<void()> on_pause;  // If set, it is called once, at the next PAUSE command.
  // First words of the statements whose answers are cut off: the endpoint runs such a statement,
  // sends half of the answer and closes the connection.
  std::set<std::string> cut_answers;
  // Statements whose text contains this get no answer while it is set; empty: all are answered.
  std::string unanswered_text;
  bool holds_answers = false;  // Statements run, but their answers are sent only later.
  bool refuses_demanded_positions = false;  // Refuses statements that require a log position.
  int rolled_back = 0;                      // Number of transactions that ended without a commit.
  uint64_t lag = 0;               // Number of log entries of the group that the endpoint lacks.
  size_t max_connections = 1000;  // Connections beyond this number are closed immediately.
  int opened = 0;                 // Number of connections accepted so far.
  int refused = 0;                // Number of connections closed because of `max_connections`.

 private:
  struct Connection;

  boost::asio::awaitable<void> Accept();
  boost::asio::awaitable<void> Serve(std::shared_ptr<Connection> connection);
  std::string Answer(Connection* connection, const std::string& line, bool* close);
  std::string AnswerStatement(Connection* connection, std::string id, std::string text);

  FakeGroup* group;
  boost::asio::ip::tcp::acceptor acceptor;
  std::set<std::shared_ptr<Connection>> connections;
};

}  // namespace poplarmoor::platform
