#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace poplarmoor::platform {

/// A statement that a FakeLineEndpoint ran.
struct ExecutedStatement {
  std::string id;
  std::string text;
  std::map<std::string, std::string> values;  // Of the connection when it ran.
  bool in_transaction = false;
  bool as_primary = false;
};

/// State that the endpoints of one fake group share: the log and who leads.
struct FakeGroup {
  std::string service = "ledger";
  uint64_t term = 1;
  uint64_t index = 10;  // End of the log; every endpoint has received it.
  std::string primary;  // Id of the endpoint that leads.
  std::vector<ExecutedStatement> executed;
  std::map<std::string, std::string> items;
};

/// Database endpoint that speaks the platform's line protocol, on the test's io_context.
class FakeLineEndpoint {
 public:
  FakeLineEndpoint(boost::asio::any_io_executor executor, std::string id, FakeGroup* group);

  /// @returns "IP:port" of its listener.
  std::string address() const;

  /// Stops listening and closes its connections, as a crash does.
  void Crash();

  std::string id;
  uint64_t held_term = 0;             // Of the pause order that it obeys.
  std::set<std::string> cut_answers;  // Words of statements that run but are answered by half.
  bool lacks_positions = false;       // Refuses every demanded position.
  int rolled_back = 0;                // Transactions that ended without a commit.
  uint64_t lag = 0;                   // Entries of the group's log that it has not received.
  size_t max_connections = 1000;      // Further ones are closed at once.
  int opened = 0;                     // Connections accepted.

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
