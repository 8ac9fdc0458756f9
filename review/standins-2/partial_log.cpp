// Case 6: a replica starts again under its id and receives the log anew, while the other replica
// receives nothing for a while. Usage: partial_log PROGRAM RECORD DIRECTORY TROUBLE
#include "replication.hpp"

using namespace standin;

namespace {

constexpr size_t kInitialEntries = 20'000;
constexpr double kCopiedPerMs = 5;    // The whole log is copied in 4 s.
constexpr long kCalmMs = 10'000;      // Traffic before the disruption.
constexpr long kDeafMs = 6'000;       // replica_lag, how "deaf": for_s 6.0 to 6.5 in the site files.
constexpr long kRestartAfterMs = 2'000;
constexpr long kDownMs = 300;
constexpr long kAfterMs = 16'000;

void RunWriter(const Machine& machine,
               const std::atomic<bool>& stop,
               Promotions* promotions,
               Record* record) {
  while (!stop) {
    Client client;
    if (!client.Open(machine.front(), "ledgerdb")) {
      SleepMs(100);
      continue;
    }
    for (std::string result = "COMPLETE"; !stop && result != "none"; SleepMs(15)) {
      result = client.Ask("WRITE k1 data");
      if (result.rfind("COMPLETE sig.", 0) == 0) {
        promotions->NoteAcknowledged(client.last_id());
      } else {
        record->Add(machine.name() + " " + client.last_id() + " WRITE k1 data -> " + Short(result));
      }
    }
  }
}

}  // namespace

int main(int, char** arguments) {
  Started();
  const std::string program = arguments[1];
  const std::string directory = arguments[3];
  const bool trouble = std::string(arguments[4]) != "0";
  Record record(arguments[2]);
  record.Add(std::string("case 6, trouble ") + (trouble ? "on" : "off"));

  Store store("127.0.0.1");
  Group group("huvo11a", &store, &record, kInitialEntries, kCopiedPerMs);
  Promotions promotions("127.0.0.1", &group, &record);
  group.Add("i-1", "spanish-town", "127.0.2.1", true);
  group.Add("i-2", "portmore", "127.0.2.2", false);
  group.Add("i-3", "old-harbour", "127.0.2.3", false);
  group.Run();
  const Json route{{"name", "r-1"},     {"host", "ledgerdb"},   {"pathPrefix", "/"},
                   {"kind", "primary"}, {"timeoutMs", 800},     {"sloMs", 150},
                   {"priority", 0},     {"service", "huvo11a"}, {"maxAttempts", 2}};
  const Json pooled{{"name", "huvo11a"}, {"healthPath", "/health"}, {"maxConns", 23},
                    {"protocol", "h1"},  {"tls", false},            {"syncReplicas", 1}};
  store.Write("config", "main",
              Json{{"version", 7},
                   {"routes", Json::array({route})},
                   {"services", Json::array({pooled})},
                   {"limits", Json{{"txIdleMs", 3000}}}});

  const std::vector<std::string> ips{"127.0.1.1", "127.0.1.2"};
  const std::vector<uint16_t> ports = FreePorts(ips, 5);
  std::vector<std::unique_ptr<Machine>> machines;
  for (size_t number = 0; number < ips.size(); ++number) {
    MachineOptions options;
    options.name = "front-" + std::to_string(number + 1);
    options.ip = ips[number];
    options.zone = number == 0 ? "spanish-town" : "portmore";
    options.program = program;
    options.directory = directory;
    options.store = store.address();
    options.promotions = promotions.address();
    options.ports = ports;
    machines.push_back(std::make_unique<Machine>(options, &record));
  }
  for (const auto& machine : machines) {
    if (!machine->AwaitReady(20'000)) {
      record.Add("the case could not run: " + machine->name() + " is not ready");
      return 2;
    }
  }
  std::atomic<bool> stop{false};
  std::vector<std::thread> writers;
  for (int number = 0; number < 6; ++number) {
    writers.emplace_back([&, number] {
      RunWriter(*machines[static_cast<size_t>(number) % machines.size()], stop, &promotions,
                &record);
    });
  }
  SleepMs(kCalmMs);
  const size_t calm = promotions.acknowledged_count();
  record.Add("acknowledged writes before the disruption: " + std::to_string(calm));
  if (calm < 100) {
    record.Add("the case could not run: writes are not served");
    std::_Exit(2);
  }
  const bool in_turn = std::string(arguments[5] == nullptr ? "" : arguments[5]) == "in_turn";
  if (trouble && in_turn) {
    for (const char* id : {"i-3", "i-2"}) {
      record.Add(std::string(id) + " ends and starts again under its id, without its log; " +
                 group.Describe());
      group.Crash(id, true);
      SleepMs(kDownMs);
      group.Start(id);
      SleepMs(kRestartAfterMs - kDownMs);
    }
  } else if (trouble) {
    record.Add("i-3 receives nothing from now on; " + group.Describe());
    group.SetDeaf("i-3", true);
    SleepMs(kRestartAfterMs);
    record.Add("i-2 ends and starts again under its id, without its log; " + group.Describe());
    group.Crash("i-2", true);
    SleepMs(kDownMs);
    group.Start("i-2");
    SleepMs(kDeafMs - kRestartAfterMs - kDownMs);
    record.Add("i-3 receives again; " + group.Describe());
    group.SetDeaf("i-3", false);
  }
  SleepMs(kAfterMs);
  stop = true;
  for (std::thread& writer : writers) {
    writer.join();
  }
  const size_t lost = promotions.lost();
  record.Add("acknowledged writes: " + std::to_string(promotions.acknowledged_count()) +
             ", promotions: " + std::to_string(promotions.promotions()) +
             ", acknowledged writes that a promoted server lacked: " + std::to_string(lost) + "; " +
             group.Describe());
  for (const auto& machine : machines) {
    machine->Stop();
  }
  record.Add(lost > 0 ? "RULE BROKEN: LOST" : "rule held");
  std::printf("%s, %zu lost\n", lost > 0 ? "rule broken" : "rule held", lost);
  std::fflush(stdout);
  std::_Exit(lost > 0 ? 1 : 0);
}
