#include "tests/platform/fake_line_endpoint.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <sstream>
#include <utility>

#include "net/address.h"
#include "session/wait_list.h"

namespace poplarmoor::platform {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

// Rows of the answer to a read whose text contains "large-answer", and bytes in each of them.
constexpr int kLargeAnswerRows = 6;
constexpr size_t kLargeAnswerRowSize = 900000;

std::string MakeRows(const std::string& text) {
  if (text.find("large-answer") == std::string::npos) {
    return "ROW data\r\n";
  }
  std::string rows;
  for (int row = 0; row < kLargeAnswerRows; ++row) {
    rows += "ROW " + std::string(kLargeAnswerRowSize, 'r') + "\r\n";
  }
  return rows;
}

}  // namespace

struct FakeLineEndpoint::Connection {
  explicit Connection(tcp::socket socket) : socket(std::move(socket)) {}

  tcp::socket socket;
  std::string buffer;
  std::string organisation;
  std::map<std::string, std::string> values;
  // Kind and shape of each prepared statement, as "KIND shape", by the statement's name.
  std::map<std::string, std::string> prepared;
  bool in_transaction = false;
  bool writable = false;  // Whether the open transaction may write.
  uint64_t term_at_begin = 0;
};

FakeLineEndpoint::FakeLineEndpoint(asio::any_io_executor executor, std::string id, FakeGroup* group)
    : id(std::move(id)), group(group), acceptor(executor, tcp::endpoint(tcp::v4(), 0)) {
  asio::co_spawn(executor, this->Accept(), asio::detached);
}

std::string FakeLineEndpoint::address() const {
  return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
}

void FakeLineEndpoint::Crash() {
  boost::system::error_code ignored;
  this->acceptor.close(ignored);
  for (const auto& connection : this->connections) {
    connection->socket.close(ignored);
  }
}

asio::awaitable<void> FakeLineEndpoint::Accept() {
  for (;;) {
    boost::system::error_code error;
    auto socket =
        co_await this->acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      co_return;
    }
    ++this->opened;
    if (this->connections.size() >= this->max_connections) {
      ++this->refused;
      continue;  // The destructor of `socket` closes the connection.
    }
    auto connection = std::make_shared<Connection>(std::move(socket));
    this->connections.insert(connection);
    asio::co_spawn(this->acceptor.get_executor(), this->Serve(connection), asio::detached);
  }
}

asio::awaitable<void> FakeLineEndpoint::Serve(std::shared_ptr<Connection> connection) {
  for (bool close = false; !close;) {
    boost::system::error_code error;
    const size_t size = co_await asio::async_read_until(
        connection->socket, asio::dynamic_buffer(connection->buffer), "\r\n",
        asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      break;
    }
    const std::string line = connection->buffer.substr(0, size - 2);
    connection->buffer.erase(0, size);
    const std::string answer = this->Answer(connection.get(), line, &close);
    while (this->holds_answers || (!this->unanswered_text.empty() &&
                                   line.find(this->unanswered_text) != std::string::npos)) {
      co_await Pause(1ms);
    }
    co_await asio::async_write(connection->socket, asio::buffer(answer),
                               asio::redirect_error(asio::use_awaitable, error));
  }
  this->rolled_back += connection->in_transaction ? 1 : 0;
  boost::system::error_code ignored;
  connection->socket.close(ignored);
  this->connections.erase(connection);
}

std::string FakeLineEndpoint::Answer(Connection* connection, const std::string& line, bool* close) {
  std::istringstream words(line);
  std::string word;
  std::string id;
  words >> word >> id;
  const std::string position =
      std::to_string(this->group->term) + "." + std::to_string(this->group->index);
  if (word == "OPEN") {
    std::string expected;
    words >> connection->organisation >> expected;
    *close = id != this->group->service || expected != this->id;
    return *close ? "ERROR WRONGNODE " + this->id + "\r\n" : "READY I " + position + "\r\n";
  }
  if (word != "QUERY") {
    *close = true;
    return {};
  }
  std::string text = line.substr(line.find(id, 6) + id.size() + 1);
  std::string answer = this->AnswerStatement(connection, id, text);
  const std::string first = text.substr(0, text.find(' '));
  if (this->cut_answers.contains(first)) {
    *close = true;
    return answer.substr(0, answer.size() / 2);
  }
  const std::string state = connection->in_transaction ? "T " : "I ";
  return answer + "READY " + state + std::to_string(this->group->term) + "." +
         std::to_string(this->group->index) + "\r\n";
}

std::string FakeLineEndpoint::AnswerStatement(Connection* connection,
                                              std::string id,
                                              std::string text) {
  const bool acts_as_primary = this->group->primary == this->id;
  std::istringstream words(text);
  std::string word;
  words >> word;
  if (word == "WAITPOS") {
    std::string position;
    words >> position;
    if (this->refuses_demanded_positions) {
      return "ERROR LAGGING -\r\n";
    }
    text = text.substr(std::string("WAITPOS ").size() + position.size() + 1);
    words >> word;
  }
  std::string name;
  words >> name;
  if (word == "SET") {
    std::string value;
    words >> value;
    connection->values[name] = value;
    return "COMPLETE -\r\n";
  }
  if (word == "RESET") {
    connection->values.clear();
    connection->prepared.clear();
    return "COMPLETE -\r\n";
  }
  if (word == "PREPARE") {
    std::string kind;
    std::string shape;
    words >> kind >> shape;
    connection->prepared[name] = kind + " " + shape;
    return "COMPLETE -\r\n";
  }
  if (word == "STATUS" || word == "PAUSE" || word == "RESUME" || word == "STEPDOWN") {
    this->active_pause_term = word == "PAUSE"    ? std::stoull(name)
                              : word == "RESUME" ? 0
                                                 : this->active_pause_term;
    this->resumed += word == "RESUME" ? 1 : 0;
    const bool steps_down = word == "STEPDOWN" && acts_as_primary;
    if (steps_down) {
      this->group->primary.clear();
    }
    if (word == "PAUSE" && this->on_pause) {
      std::exchange(this->on_pause, nullptr)();
    }
    return std::string("ROW ") + (acts_as_primary && !steps_down ? "primary " : "replica ") +
           std::to_string(this->group->term) + " " + std::to_string(this->group->term) + "." +
           std::to_string(this->group->index - this->lag) + " " +
           std::to_string(this->active_pause_term) + " 0 0 1\r\nCOMPLETE -\r\n";
  }
  if (word == "BEGIN") {
    if (name != "READ" && !acts_as_primary) {
      return "ERROR READONLY " + this->id + "\r\n";
    }
    connection->in_transaction = true;
    connection->writable = name != "READ";
    connection->term_at_begin = this->group->term;
    return "COMPLETE -\r\n";
  }
  if (word == "ROLLBACK") {
    this->rolled_back += connection->in_transaction ? 1 : 0;
    connection->in_transaction = false;
    return "COMPLETE -\r\n";
  }
  bool writes = word == "WRITE";
  if (word == "EXECUTE") {
    const auto prepared = connection->prepared.find(name);
    if (prepared == connection->prepared.end()) {
      return "ERROR UNKSTMT " + name + "\r\n";
    }
    writes = prepared->second.starts_with("WRITE");
    text = prepared->second + " " + text;
  }
  const bool lost_primary_role =
      connection->in_transaction && connection->writable &&
      (!acts_as_primary || connection->term_at_begin != this->group->term);
  if ((writes && !acts_as_primary) || lost_primary_role) {
    return "ERROR READONLY " + this->id + "\r\n";
  }
  // Long texts are not recorded, so that a test with large messages does not hold them all.
  const std::string recorded = text.size() > (64 << 10) ? text.substr(0, 16) : text;
  this->group->executed.push_back({id, recorded, connection->values, connection->in_transaction,
                                   acts_as_primary, connection->organisation});
  if (word == "COMMIT") {
    connection->in_transaction = false;
  }
  if (writes || word == "COMMIT") {
    ++this->group->index;
  }
  return (word == "READ" ? MakeRows(text) : std::string()) + "COMPLETE signed." + id + "\r\n";
}

}  // namespace poplarmoor::platform
