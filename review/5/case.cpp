// A primary announces its end while the platform's promotion call is down. Checks that no
// statement reaches the server later than drainMs after the store has accepted the announcement.

#include "../common/world.hpp"

using namespace review;

namespace {

constexpr int kWorkMs = 20;  // Below the longest work of the primary requests, 45.
constexpr int kCallers = 12;
constexpr int64_t kDrainMs = 7000;    // bounds.drainMs
constexpr int64_t kOutageMs = 9000;   // How long the promotion call answers 503.
constexpr int64_t kServingMs = 8500;  // How long the server serves after its announcement.

}  // namespace

int main(int, char** arguments) {
  const std::string folder = arguments[1];
  record.Open(folder + "/record.txt");
  const bool trouble = WithTrouble();
  auto& store = *new Store();
  auto& service = *new Service("ledger", &store, 2, kWorkMs);
  auto& cloud = *new Cloud(&service);
  std::mutex mutex;
  struct Arrival {
    int64_t at_ms = 0;
    std::string server;
    std::string id;
  };
  std::vector<Arrival> arrivals;
  service.on_statement = [&](const Server& server, const std::string& id, const std::string&) {
    std::lock_guard lock(mutex);
    arrivals.push_back({NowMs(), server.id, id});
  };
  store.Write(
      "config", "main",
      Config(7, Json::array({Route("orders", "ledger", "primary", 800, 150, 0)}), "ledger", 23));
  std::vector<std::unique_ptr<Daemon>> daemons;
  const char* zones[] = {"zone-a", "zone-b", "zone-c"};
  bool ready = true;
  for (int number = 0; number < 3; ++number) {
    daemons.push_back(std::make_unique<Daemon>("front-" + std::to_string(number), zones[number],
                                               WorkFolder(), store.address(), cloud.address()));
    ready = daemons.back()->Start() && ready;
  }
  for (auto& daemon : daemons) {
    ready = ready && daemon->AwaitReady(10000);
  }
  if (!ready) {
    record.Line("a daemon is not ready: the case cannot run");
    for (auto& daemon : daemons) {
      daemon->End(0);
    }
    return 2;
  }
  SleepMs(5000);  // contactMs passes, and the daemons learn of each other.

  std::atomic<bool> stop{false};
  std::atomic<int> served{0};
  std::atomic<int> in_doubt{0};
  std::vector<std::thread> clients;
  for (int number = 0; number < kCallers; ++number) {
    clients.emplace_back([&, number] {
      Client client;
      for (int count = 0; !stop; ++count) {
        if (!client.is_open() && !client.Open(daemons[number % 3]->front_port, "orders")) {
          SleepMs(100);
          continue;
        }
        const std::string id = "w" + std::to_string(number) + "x" + std::to_string(count);
        const std::string text = (count % 2 == 0 ? "WRITE item" : "READ item") +
                                 std::to_string(number) + (count % 2 == 0 ? " data" : "");
        record.Line("client " + std::to_string(number) + " sends " + id + " " + text);
        const Answer answer = client.Query(id, text, 1500);
        record.Line("client " + std::to_string(number) + " gets for " + id + ": " +
                    Describe(answer));
        served += answer.end == Answer::End::kComplete && answer.error.empty() ? 1 : 0;
        in_doubt += answer.error == "INDOUBT" || answer.end != Answer::End::kComplete ? 1 : 0;
        if (answer.end != Answer::End::kComplete) {
          client.Close();
        }
        SleepMs(50);
      }
    });
  }
  SleepMs(3000);
  Server* leaving = service.servers[0].get();
  if (trouble) {
    record.Line("the promotion call is down");
    cloud.down = true;
  }
  const int64_t announced = NowMs();
  service.Drain(leaving);
  SleepMs(kServingMs);
  service.Crash(leaving);  // The planned end of the server.
  SleepMs(kOutageMs - kServingMs);
  cloud.down = false;
  record.Line("the promotion call is not down");
  SleepMs(3000);
  stop = true;
  for (std::thread& client : clients) {
    client.join();
  }
  for (auto& daemon : daemons) {
    daemon->Signal(SIGTERM);
  }
  for (auto& daemon : daemons) {
    daemon->End(8000);
  }

  std::lock_guard lock(mutex);
  int late = 0;
  int64_t latest = 0;
  for (const Arrival& arrival : arrivals) {
    if (arrival.server == leaving->id && arrival.at_ms > announced + kDrainMs) {
      ++late;
      latest = std::max(latest, arrival.at_ms - announced);
    }
  }
  record.Line("statements served: " + std::to_string(served) +
              ", in doubt or unanswered: " + std::to_string(in_doubt) + "; reached " + leaving->id +
              " later than " + std::to_string(kDrainMs) +
              " ms after its announcement: " + std::to_string(late) + ", the last one after " +
              std::to_string(latest) + " ms" + (late > 0 ? ", DRAIN is broken" : ", DRAIN holds"));
  if (served == 0) {
    return 2;
  }
  return late > 0 ? 1 : 0;
}
