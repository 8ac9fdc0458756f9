// Case 7: two clients prepare statements whose shapes have the same 64-bit hash.
// Usage: equal_names PROGRAM RECORD DIRECTORY TROUBLE
#include "world.hpp"

using namespace standin;

namespace {

constexpr long kTrafficMs = 10'000;
constexpr int kClients = 8;  // One of them has the other shape.

// XXH64 of texts below 32 bytes with seed 0, without the final mixing, which is bijective.
constexpr uint64_t kPrime1 = 0x9E3779B185EBCA87ULL;
constexpr uint64_t kPrime2 = 0xC2B2AE3D27D4EB4FULL;
constexpr uint64_t kPrime3 = 0x165667B19E3779F9ULL;
constexpr uint64_t kPrime4 = 0x85EBCA77C2B2AE63ULL;
constexpr uint64_t kPrime5 = 0x27D4EB2F165667C5ULL;

uint64_t Left(uint64_t value, int bits) {
  return (value << bits) | (value >> (64 - bits));
}

uint64_t Inverse(uint64_t odd) {
  uint64_t inverse = odd;
  for (int round = 0; round < 6; ++round) {
    inverse *= 2 - odd * inverse;
  }
  return inverse;
}

uint64_t Word(const std::string& text, size_t offset) {
  uint64_t word = 0;
  std::memcpy(&word, text.data() + offset, sizeof(word));
  return word;
}

uint64_t Absorb(uint64_t state, uint64_t word) {
  state ^= Left(word * kPrime2, 31) * kPrime1;
  return Left(state, 27) * kPrime1 + kPrime4;
}

// Hash of a text of up to three bytes before the final mixing.
uint64_t StateOfShort(const std::string& text) {
  uint64_t state = kPrime5 + text.size();
  for (const char byte : text) {
    state ^= static_cast<unsigned char>(byte) * kPrime5;
    state = Left(state, 11) * kPrime1;
  }
  return state;
}

// Returns a shape of 16 letters and digits that has the same hash as the short one.
std::string ShapeWithSameHash(const std::string& shape) {
  const uint64_t wanted = StateOfShort(shape);
  const uint64_t before = Left((wanted - kPrime4) * Inverse(kPrime1), 64 - 27);
  const std::string letters = "abcdefghijklmnopqrstuvwxyz0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZ";
  std::string text(16, 'a');
  for (uint64_t number = 0;; ++number) {
    uint64_t rest = number;
    for (size_t place = 0; place < 8; ++place, rest /= letters.size()) {
      text[place] = letters[rest % letters.size()];
    }
    const uint64_t state = Absorb(kPrime5 + 16, Word(text, 0));
    const uint64_t round = before ^ state;
    const uint64_t word = Left(round * Inverse(kPrime1), 64 - 31) * Inverse(kPrime2);
    std::memcpy(text.data() + 8, &word, sizeof(word));
    if (text.find_first_not_of(letters, 8) == std::string::npos) {
      return text;
    }
  }
}

// Prepares one statement and executes it again and again; tells which shape belongs to which id.
void RunClient(const Machine& machine,
               const std::string& shape,
               const std::atomic<bool>& stop,
               std::mutex* mutex,
               std::map<std::string, std::string>* prepared,
               Record* record) {
  while (!stop) {
    Client client;
    if (!client.Open(machine.front(), "ledgerdb") ||
        client.Ask("PREPARE s1 WRITE " + shape) != "COMPLETE -") {
      SleepMs(100);
      continue;
    }
    for (std::string result = "COMPLETE"; !stop && result != "none"; SleepMs(40)) {
      result = client.Ask("EXECUTE s1 k1 data");
      std::lock_guard lock(*mutex);
      (*prepared)[client.last_id()] = shape;
      record->Add("client with shape " + shape + ": " + client.last_id() +
                  " EXECUTE s1 k1 data -> " + result);
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
  record.Add(std::string("case 7, trouble ") + (trouble ? "on" : "off"));

  Store store("127.0.0.1");
  Service service;
  service.name = "huvo11a";
  service.primary = "i-1";
  std::mutex mutex;
  std::map<std::string, std::string> prepared;  // Shape that the client prepared, by statement.
  std::map<std::string, size_t> executed;       // Hash of the shape that ran, by statement.
  Server first("127.0.0.1", "i-1", &service);
  Server second("127.0.0.1", "i-2", &service);
  Server third("127.0.0.1", "i-3", &service);
  for (Server* server : {&first, &second, &third}) {
    server->on_execute = [&](const std::string& statement, size_t shape) {
      std::lock_guard lock(mutex);
      executed[statement] = shape;
    };
  }
  store.Write("servers", "i-1", first.Entry("spanish-town"));
  store.Write("servers", "i-2", second.Entry("portmore"));
  store.Write("servers", "i-3", third.Entry("old-harbour"));
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

  MachineOptions options;
  options.name = "front-1";
  options.ip = "127.0.1.1";
  options.zone = "spanish-town";
  options.program = program;
  options.directory = directory;
  options.store = store.address();
  options.promotions = "127.0.0.1:9";  // No call is expected: the primary stays.
  options.ports = FreePorts({options.ip}, 5);
  Machine machine(options, &record);
  if (!machine.AwaitReady(20'000)) {
    record.Add("the case could not run: the machine is not ready");
    std::_Exit(2);
  }
  SleepMs(2000);

  const std::string shape = "q2c";
  const std::string other = trouble ? ShapeWithSameHash(shape) : "abcdefgh01234567";
  record.Add("shapes of the clients: " + shape + " and " + other);
  std::atomic<bool> stop{false};
  std::vector<std::thread> clients;
  for (int number = 0; number < kClients; ++number) {
    clients.emplace_back([&, number] {
      RunClient(machine, number == 0 ? other : shape, stop, &mutex, &prepared, &record);
    });
  }
  SleepMs(kTrafficMs);
  stop = true;
  for (std::thread& client : clients) {
    client.join();
  }
  machine.Stop();

  std::lock_guard lock(mutex);
  size_t checked = 0;
  size_t wrong = 0;
  for (const auto& [statement, hash] : executed) {
    const auto found = prepared.find(statement);
    if (found == prepared.end()) {
      continue;
    }
    ++checked;
    if (hash != std::hash<std::string>()(found->second)) {
      ++wrong;
      record.Add("a server ran " + statement + " with another shape than its client prepared (" +
                 found->second + ")");
    }
  }
  record.Add("executions: " + std::to_string(checked) + ", of another shape: " +
             std::to_string(wrong));
  if (checked < 50) {
    record.Add("the case could not run: too few executions");
    std::_Exit(2);
  }
  record.Add(wrong > 0 ? "RULE BROKEN: PINNED" : "rule held");
  std::printf("%s, %zu of %zu\n", wrong > 0 ? "rule broken" : "rule held", wrong, checked);
  std::fflush(stdout);
  std::_Exit(wrong > 0 ? 1 : 0);
}
