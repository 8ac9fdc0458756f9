// Two planned replacements of servers of one database, one shortly after the other. Checks that no
// acknowledged write is missing in the log of a server that is promoted.

#include "../common/world.hpp"

using namespace review;

namespace {

constexpr int kWorkMs = 6;  // Mean work of the primary requests.
constexpr int kCallers = 12;
constexpr int kRounds = 3;
constexpr int kLinkUs = 900;  // One way between zones.
// One way, 0.9 ms between zones; the replicas of the two other zones receive a commit later than
// that of the primary's zone.
constexpr int kDelayMs[] = {1, 2};
constexpr int64_t kSecondReleaseMs = 400;  // From the first drain to the start of the next server.

}  // namespace

int main(int, char** arguments) {
  const std::string folder = arguments[1];
  record.Open(folder + "/record.txt");
  const bool trouble = WithTrouble();
  auto& store = *new Store();
  auto& service = *new Service("ledger", &store, 2, kWorkMs);
  auto& cloud = *new Cloud(&service);
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
  SleepMs(5000);  // The daemons learn of each other.

  std::mutex mutex;
  std::map<std::string, int64_t> acknowledged;  // Time of the answer by the id of the write.
  std::atomic<bool> stop{false};
  std::atomic<bool> calling{false};  // The callers pause between the rounds.
  std::vector<std::thread> clients;
  for (int number = 0; number < kCallers; ++number) {
    clients.emplace_back([&, number] {
      Client client;
      for (int count = 0; !stop; ++count) {
        if (!calling) {
          SleepMs(20);
          continue;
        }
        if (!client.is_open() && !client.Open(daemons[number % 3]->front_port, "orders")) {
          SleepMs(100);
          continue;
        }
        const std::string id = "w" + std::to_string(number) + "x" + std::to_string(count);
        const std::string text = "WRITE item" + std::to_string(number) + " data";
        record.Line("client " + std::to_string(number) + " sends " + id + " " + text);
        const Answer answer = client.Query(id, text, 1500);
        record.Line("client " + std::to_string(number) + " gets for " + id + ": " +
                    Describe(answer));
        if (answer.end != Answer::End::kComplete) {
          client.Close();
        } else if (answer.error.empty()) {
          std::lock_guard lock(mutex);
          acknowledged[id] = NowMs();
        }
        SleepMs(10);
      }
    });
  }
  SleepMs(3000);
  int next = 3;
  for (int round = 0; round < kRounds; ++round) {
    // A release starts the new server first; a second later the old one drains.
    const auto leaders = service.RunningServers();
    Server* const old_primary = leaders.front();
    Server* const old_replica = leaders.back();
    service.Add("i-server" + std::to_string(next++), "zone-a", kDelayMs[0]);
    calling = true;
    SleepMs(1000);
    service.Drain(old_primary);
    SleepMs(kSecondReleaseMs);
    if (trouble) {
      service.Add("i-server" + std::to_string(next++), "zone-b", kDelayMs[0]);
      SleepMs(1000);
      service.Drain(old_replica);
    }
    SleepMs(1000);
    calling = false;
    SleepMs(7000);
    service.Crash(old_primary);  // The planned end of the servers.
    if (trouble) {
      service.Crash(old_replica);
    }
    SleepMs(10000);  // The daemons forget them.
  }
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

  std::lock_guard lock(service.mutex);
  std::lock_guard clients_lock(mutex);
  int broken = 0;
  for (const Promotion& promotion : service.promotions) {
    const std::set<std::string> log(promotion.log.begin(), promotion.log.end());
    size_t missing = 0;
    for (const auto& [id, answered] : acknowledged) {
      missing += answered < promotion.at_ms && !log.contains(id) ? 1 : 0;
    }
    record.Line("promoted " + promotion.server + " with " + std::to_string(log.size()) +
                " entries; acknowledged before and missing: " + std::to_string(missing));
    broken += missing > 0 ? 1 : 0;
  }
  record.Line("writes acknowledged: " + std::to_string(acknowledged.size()) +
              ", promotions: " + std::to_string(service.promotions.size()) +
              (broken > 0 ? ", LOST is broken" : ", LOST holds"));
  if (acknowledged.empty()) {
    return 2;
  }
  return broken > 0 ? 1 : 0;
}
