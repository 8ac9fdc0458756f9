// Case 8: a client that prepares, executes and deallocates statements of legal size, one after the
// other, on two machines. Usage: prepared_shapes PROGRAM RECORD DIRECTORY TROUBLE
#include "world.hpp"

using namespace standin;

namespace {

constexpr int kMemoryMb = 260;          // limits.memoryMb of bluemahoe-fold.
constexpr size_t kLongShape = 900'000;  // A message has at most 1 MiB.
constexpr size_t kUsualShape = 20;
constexpr long kTroubleMs = 75'000;
constexpr int kEndsInADay = 3;  // RULES.md, Fault.
// Without trouble, as many statements as three ends of a process take with it.
constexpr uint64_t kCalmStatements = 1500;

std::string MakeShape(uint64_t number, size_t size) {
  std::string shape = "q" + std::to_string(number) + "x";
  shape.resize(size, 'a');
  return shape;
}

// One statement at a time; at most one statement is prepared at any time.
void RunClient(const Machine& machine,
               size_t shape_size,
               uint64_t limit,
               const std::atomic<bool>& stop,
               std::atomic<uint64_t>* executed,
               Record* record) {
  uint64_t number = 0;
  uint64_t failed = 0;
  while (!stop && *executed < limit) {
    Client client;
    if (!client.Open(machine.front(), "ledgerdb")) {
      SleepMs(200);
      continue;
    }
    for (std::string result = "COMPLETE"; !stop && *executed < limit && result != "none";) {
      const std::string shape = MakeShape(++number, shape_size);
      result = client.Ask("PREPARE p READ " + shape);
      if (result.rfind("COMPLETE", 0) != 0) {
        record->Add(machine.name() + " PREPARE " + Short(shape) + " -> " + Short(result));
        SleepMs(50);
        continue;
      }
      result = client.Ask("EXECUTE p k1");
      if (result.rfind("COMPLETE sig.", 0) == 0) {
        ++*executed;
      } else {
        ++failed;
      }
      if (number % 50 == 1 || result.rfind("COMPLETE", 0) != 0) {
        record->Add(machine.name() + " client: PREPARE p READ " + Short(shape) +
                    "; EXECUTE p k1 -> " + Short(result) + "; DEALLOC p; executed so far " +
                    std::to_string(*executed));
      }
      if (result != "none") {
        result = client.Ask("DEALLOC p");
      }
    }
  }
  record->Add(machine.name() + " client: executed " + std::to_string(*executed) + ", not served " +
              std::to_string(failed));
}

bool IsServed(const Machine& machine) {
  Client client;
  return client.Open(machine.front(), "ledgerdb") &&
         client.Ask("READ k1", 3000).rfind("COMPLETE sig.", 0) == 0;
}

}  // namespace

int main(int, char** arguments) {
  Started();
  const std::string program = arguments[1];
  const std::string directory = arguments[3];
  const bool trouble = std::string(arguments[4]) != "0";
  Record record(arguments[2]);
  record.Add(std::string("case 8, trouble ") + (trouble ? "on" : "off"));

  Store store("127.0.0.1");
  Service service;
  service.name = "huvo11a";
  service.primary = "i-1";
  Server first("127.0.0.1", "i-1", &service);
  Server second("127.0.0.1", "i-2", &service);
  Server third("127.0.0.1", "i-3", &service);
  store.Write("servers", "i-1", first.Entry("spanish-town"));
  store.Write("servers", "i-2", second.Entry("portmore"));
  store.Write("servers", "i-3", third.Entry("old-harbour"));
  const Json route{{"name", "r-1"},      {"host", "ledgerdb"},   {"pathPrefix", "/"},
                   {"kind", "bounded"},  {"timeoutMs", 2000},    {"sloMs", 1000},
                   {"priority", 2},      {"service", "huvo11a"}, {"maxAttempts", 2},
                   {"maxStalenessMs", 1500}};
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
    options.promotions = "127.0.0.1:9";  // No call is expected: the primary stays.
    options.ports = ports;
    options.memory_mb = kMemoryMb;
    machines.push_back(std::make_unique<Machine>(options, &record));
  }
  for (const auto& machine : machines) {
    if (!machine->AwaitReady(20'000)) {
      record.Add("the case could not run: " + machine->name() + " is not ready");
      return 2;
    }
  }
  SleepMs(2000);
  for (const auto& machine : machines) {
    if (!IsServed(*machine)) {
      record.Add("the case could not run: an ordinary client is not served");
      return 2;
    }
  }
  record.Add("both machines serve an ordinary client");

  std::atomic<bool> stop{false};
  std::vector<std::atomic<uint64_t>> executed(machines.size());
  std::vector<std::thread> clients;
  for (size_t number = 0; number < machines.size(); ++number) {
    clients.emplace_back([&, number] {
      RunClient(*machines[number], trouble ? kLongShape : kUsualShape,
                trouble ? UINT64_MAX : kCalmStatements, stop, &executed[number], &record);
    });
  }
  const auto is_done = [&] {
    bool done = true;
    for (size_t number = 0; number < machines.size(); ++number) {
      done = done && (trouble ? machines[number]->killed_for_memory() >= kEndsInADay
                              : executed[number] >= kCalmStatements);
    }
    return done;
  };
  for (const long end = NowMs() + kTroubleMs; NowMs() < end && !is_done();) {
    SleepMs(50);
  }
  stop = true;
  for (std::thread& client : clients) {
    client.join();
  }
  bool broken = true;
  for (const auto& machine : machines) {
    const int all = machine->killed_for_memory() + machine->other_ends();
    record.Add(machine->name() + ": " + std::to_string(machine->killed_for_memory()) +
               " ends over the memory limit, " + std::to_string(machine->other_ends()) +
               " other ends, peak " + std::to_string(machine->peak_kb() >> 10) + " MB of " +
               std::to_string(kMemoryMb));
    broken = broken && all >= kEndsInADay;
  }
  for (const auto& machine : machines) {
    machine->Stop();
  }
  record.Add(broken ? "RULE BROKEN: Fault" : "rule held");
  std::printf("%s\n", broken ? "rule broken" : "rule held");
  std::fflush(stdout);
  std::_Exit(broken ? 1 : 0);
}
