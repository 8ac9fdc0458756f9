// Planned stop of a daemon while callers have transactions open. Checks that no statement which
// the daemon has read and passed on to a server is cut off without an answer.

#include <random>

#include "../common/world.hpp"

using namespace review;

namespace {

constexpr int64_t kGraceMs = 6000;           // bounds.graceS
constexpr int64_t kStatementTimeout = 2000;  // timeoutMs of the route
constexpr int64_t kLossSlackMs = 200;        // bounds.lossSlackMs
constexpr int kCallers = 80;
constexpr int kReads = 11;  // With COMMIT, 12 statements in a transaction.
// Pauses between the statements of a transaction; far below txIdleMs, 3,000.
constexpr int kMinPauseMs = 200;
constexpr int kMaxPauseMs = 400;
constexpr int kWorkMs = 200;  // Below the longest work of the bounded requests, 220.

struct Request {
  std::string id;
  int64_t sent_ms = 0;
  int64_t ended_ms = 0;
  Answer answer;
};

}  // namespace

int main(int, char** arguments) {
  const std::string folder = arguments[1];
  record.Open(folder + "/record.txt");
  const bool trouble = WithTrouble();
  auto& store = *new Store();
  auto& service = *new Service("ledger", &store, 2, kWorkMs);
  auto& cloud = *new Cloud(&service);
  std::mutex mutex;
  std::map<std::string, int64_t> reached;  // When a statement reached a server, by its id.
  service.on_statement = [&](const Server&, const std::string& id, const std::string&) {
    std::lock_guard lock(mutex);
    reached.emplace(id, NowMs());
  };
  store.Write(
      "config", "main",
      Config(7, Json::array({Route("lookup", "ledger", "bounded", kStatementTimeout, 1000, 2)}),
             "ledger", 166));
  Daemon daemon("front-0", "zone-a", WorkFolder(), store.address(), cloud.address());
  if (!daemon.Start() || !daemon.AwaitReady(10000)) {
    record.Line("the daemon is not ready: the case cannot run");
    daemon.End(0);
    return 2;
  }
  SleepMs(6000);  // contactMs passes, and the daemon opens its connections.

  std::vector<Request> requests;
  std::atomic<bool> stop{false};
  std::vector<std::thread> clients;
  for (int number = 0; number < kCallers; ++number) {
    clients.emplace_back([&, number] {
      SleepMs(number * 60);
      std::mt19937 random(static_cast<unsigned>(number));
      std::uniform_int_distribution<int> pause(kMinPauseMs, kMaxPauseMs);
      Client client;
      int count = 0;
      const auto ask = [&](const std::string& text) {
        Request request;
        request.id = "q" + std::to_string(number) + "x" + std::to_string(count++);
        record.Line("client " + std::to_string(number) + " sends " + request.id + " " + text);
        request.sent_ms = NowMs();
        request.answer = client.Query(request.id, text, 4000);
        request.ended_ms = NowMs();
        record.Line("client " + std::to_string(number) + " gets for " + request.id + ": " +
                    Describe(request.answer));
        std::lock_guard lock(mutex);
        requests.push_back(request);
        return request.answer;
      };
      while (!stop) {
        if (!client.is_open() && !client.Open(daemon.front_port, "lookup")) {
          SleepMs(200);
          continue;
        }
        Answer answer = ask("BEGIN READ");
        for (int read = 0; read < kReads && answer.state == 'T'; ++read) {
          answer = ask("READ item" + std::to_string(read));
          SleepMs(pause(random));
        }
        if (answer.end == Answer::End::kComplete && answer.state != 'I') {
          answer = ask(answer.state == 'T' ? "COMMIT" : "ROLLBACK");
        }
        if (answer.end != Answer::End::kComplete || answer.state != 'I') {
          client.Close();
        }
        SleepMs(50);
      }
    });
  }
  SleepMs(9000);
  const int64_t stop_ms = NowMs();
  if (trouble) {
    record.Line("SIGTERM");
    daemon.Signal(SIGTERM);
    daemon.End(kGraceMs);
    stop = true;
  } else {
    SleepMs(kGraceMs);
    stop = true;
  }
  for (std::thread& client : clients) {
    client.join();
  }
  if (!trouble) {
    daemon.Signal(SIGTERM);
    daemon.End(kGraceMs);
  }

  std::lock_guard lock(mutex);
  int cut = 0;
  int excused = 0;
  int answered = 0;
  for (const Request& request : requests) {
    answered += request.answer.end == Answer::End::kComplete ? 1 : 0;
    if (request.answer.end != Answer::End::kClosed) {
      continue;
    }
    const auto at_server = reached.find(request.id);
    const bool passed_on = at_server != reached.end();
    if (!passed_on && request.ended_ms - request.sent_ms <= kLossSlackMs) {
      continue;  // The daemon may not have read the request.
    }
    // Not counted: the route's timeout was reached, or the server was still at work in the last
    // sixth of the grace on a request that was sent no later than 3 s after the signal.
    const bool timeout = request.ended_ms - request.sent_ms >= kStatementTimeout;
    const bool late_work = passed_on && at_server->second + kWorkMs >= stop_ms + kGraceMs * 5 / 6 &&
                           request.sent_ms <= stop_ms + 3000;
    excused += timeout || late_work ? 1 : 0;
    if (timeout || late_work || !passed_on) {
      continue;
    }
    ++cut;
    record.Line("cut off: " + request.id + ", sent " + std::to_string(request.sent_ms - stop_ms) +
                " ms after SIGTERM, at the server after " +
                std::to_string(at_server->second - stop_ms) + " ms, connection ended after " +
                std::to_string(request.ended_ms - stop_ms) + " ms");
  }
  record.Line("requests: " + std::to_string(requests.size()) +
              ", answered: " + std::to_string(answered) + ", excused: " + std::to_string(excused) +
              ", cut off: " + std::to_string(cut) +
              (cut > 0 ? ", LOST is broken" : ", LOST holds"));
  if (answered == 0) {
    return 2;
  }
  return cut > 0 ? 1 : 0;
}
