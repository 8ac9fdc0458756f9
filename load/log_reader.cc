#include "load/log_reader.h"

#include <boost/asio.hpp>
#include <nlohmann/json.hpp>

#include "load/service_history.h"
#include "net/http_connection.h"
#include "net/http_message.h"

namespace poplarmoor {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

// Time limit for reading the log of one endpoint, which may have many megabytes.
constexpr std::chrono::seconds kLogTimeout{20};

std::vector<LoggedWrite> ParseEntries(const json& entries) {
  std::vector<LoggedWrite> writes;
  for (const json& entry : entries) {
    LoggedWrite write;
    write.index = entry.at("index");
    write.transaction = entry.at("transaction");
    for (const json& statement : entry.at("statements")) {
      const json value = statement.value("value", json());
      write.puts.emplace_back(statement.at("key"),
                              value.is_string() ? value.get<std::string>() : value.dump());
    }
    writes.push_back(std::move(write));
  }
  return writes;
}

}  // namespace

asio::awaitable<std::string> ReadServiceLogs(std::vector<std::string> endpoints,
                                             ServiceHistory& history) {
  history = {};
  std::string primary;
  uint64_t primary_term = 0;
  for (const std::string& address : endpoints) {
    HttpConnection connection(co_await asio::this_coro::executor, address);
    json log;
    try {
      co_await connection.Connect(std::chrono::seconds(1));
      HttpRequest request;
      request.target = "/control/log";
      log = json::parse((co_await connection.Exchange(request, kLogTimeout)).body);
    } catch (const std::exception&) {
      continue;  // Skips an endpoint that does not answer, such as a crashed one.
    }
    for (const auto& [request_id, count] : log.at("executions").items()) {
      history.executions[request_id] += count.get<int>();
    }
    const uint64_t term = log.at("term");
    if (log.at("role") == "primary" && term > primary_term) {
      primary = log.at("endpoint");
      primary_term = term;
      history.entries = ParseEntries(log.at("entries"));
    }
  }
  co_return primary;
}

}  // namespace poplarmoor
