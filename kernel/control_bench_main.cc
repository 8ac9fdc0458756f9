#include <sys/resource.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>
#include <vector>

#include "kernel/virtual_cluster.h"

namespace poplarmoor {
namespace {

constexpr size_t kFailureDomains = 13;
constexpr size_t kUnits = 200;      // Configuration units in the store of each member.
constexpr size_t kUnitBytes = 400;  // Content size of one configuration unit.
// Virtual time for which CPU time and messages are measured while no member dies and no
// configuration changes.
constexpr Duration kSteadyStateTime = 20000ms;
// Number of member deaths that are timed, and of configuration changes that are timed.
constexpr int kChanges = 3;

double CpuSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

/// @returns Resident memory of this process in bytes.
double ResidentBytes() {
  constexpr double kPageBytes = 4096;
  std::ifstream file("/proc/self/statm");
  double total = 0;
  double resident = 0;
  file >> total >> resident;
  return resident * kPageBytes;
}

ConfigUnit MakeUnit(size_t number, uint64_t version) {
  return {UnitKind::kConfig, "service.bench-" + std::to_string(number), version, version,
          std::string(kUnitBytes, 'x')};
}

std::string ToList(const std::vector<Duration>& durations) {
  std::string list;
  for (const Duration duration : durations) {
    list += (list.empty() ? "" : ", ") + std::to_string(ToMillis(duration));
  }
  return "[" + list + "]";
}

void Measure(size_t members, bool last) {
  const double memory_before = ResidentBytes();
  VirtualClusterOptions options;
  options.members = members;
  options.failure_domains = kFailureDomains;
  VirtualCluster cluster(options);
  std::vector<ConfigUnit> units;
  for (size_t i = 0; i < kUnits; ++i) {
    units.push_back(MakeUnit(i, 1));
  }
  for (size_t i = 0; i < members; ++i) {
    for (const ConfigUnit& unit : units) {
      cluster.GetNode(i).store->Put(unit);
    }
  }
  cluster.Run(5s);

  uint64_t messages = 0;
  uint64_t bytes = 0;
  for (size_t i = 0; i < members; ++i) {
    messages -= cluster.GetNode(i).sent_messages;
    bytes -= cluster.GetNode(i).sent_bytes;
  }
  const double cpu_before = CpuSeconds();
  cluster.Run(kSteadyStateTime);
  const double cpu = CpuSeconds() - cpu_before;
  for (size_t i = 0; i < members; ++i) {
    messages += cluster.GetNode(i).sent_messages;
    bytes += cluster.GetNode(i).sent_bytes;
  }
  const double seconds = std::chrono::duration<double>(kSteadyStateTime).count();
  const double member_seconds = static_cast<double>(members) * seconds;

  std::vector<Duration> config_converged;
  for (uint64_t change = 0; change < kChanges; ++change) {
    cluster.Publish(change, {MakeUnit(change, 2 + change)});
    config_converged.push_back(cluster.RunUntil([&] { return cluster.ConfigConverged(); }, 60s));
  }
  std::vector<Duration> domain_noticed;
  std::vector<Duration> all_noticed;
  const double change_cpu_before = CpuSeconds();
  const TimePoint change_start = cluster.Now();
  for (size_t change = 0; change < kChanges; ++change) {
    const size_t killed_index = 20 + change;
    const std::string& domain = cluster.GetNode(killed_index).self.failure_domain;
    cluster.Kill(killed_index);
    const auto knows_dead = [&](size_t viewer) {
      const Member* member = cluster.GetNode(viewer).membership->Table().Find(
          cluster.GetNode(killed_index).self.daemon);
      return member == nullptr || member->state == MemberState::kDead;
    };
    Duration in_domain{0};
    const TimePoint killed_at = cluster.Now();
    const Duration elapsed = cluster.RunUntil(
        [&] {
          bool domain_knows = true;
          bool all_know = true;
          for (size_t i = 0; i < members; ++i) {
            if (cluster.GetNode(i).running && !knows_dead(i)) {
              all_know = false;
              domain_knows = domain_knows && cluster.GetNode(i).self.failure_domain != domain;
            }
          }
          in_domain = domain_knows && in_domain == 0ms ? cluster.Now() - killed_at : in_domain;
          return all_know;
        },
        60s);
    domain_noticed.push_back(in_domain);
    all_noticed.push_back(elapsed);
  }
  const double change_seconds = std::chrono::duration<double>(cluster.Now() - change_start).count();
  const double change_cpu = CpuSeconds() - change_cpu_before;

  std::printf(
      "  {\"members\": %zu, \"failure_domains\": %zu, \"config_units\": %zu,\n"
      "   \"messages_per_s\": %.2f, \"bytes_per_s\": %.0f, \"cpu_share\": %.6f,\n"
      "   \"cpu_share_during_deaths\": %.6f, \"memory_bytes\": %.0f,\n"
      "   \"dead_noticed_in_domain_ms\": %s, \"dead_noticed_everywhere_ms\": %s,\n"
      "   \"config_everywhere_ms\": %s}%s\n",
      members, kFailureDomains, kUnits, static_cast<double>(messages) / member_seconds,
      static_cast<double>(bytes) / member_seconds, cpu / member_seconds,
      change_cpu / (static_cast<double>(members) * change_seconds),
      (ResidentBytes() - memory_before) / static_cast<double>(members),
      ToList(domain_noticed).c_str(), ToList(all_noticed).c_str(), ToList(config_converged).c_str(),
      last ? "" : ",");
  std::fflush(stdout);
}

}  // namespace
}  // namespace poplarmoor

/// Measures membership and configuration distribution at several fleet sizes, in one process on a
/// virtual clock, and prints JSON. Usage: poplarmoor-control-bench [MEMBERS...]; the default sizes
/// are 100 300 1000 3300.
int main(int argc, char** argv) {
  std::vector<size_t> sizes;
  for (int i = 1; i < argc; ++i) {
    sizes.push_back(std::strtoul(argv[i], nullptr, 10));
  }
  if (sizes.empty()) {
    sizes = {100, 300, 1000, 3300};
  }
  std::printf("{\"per_member\": true, \"sizes\": [\n");
  for (size_t i = 0; i < sizes.size(); ++i) {
    if (sizes[i] < 30) {
      std::fprintf(stderr, "poplarmoor-control-bench: MEMBERS must be a number of at least 30\n");
      return 2;
    }
    poplarmoor::Measure(sizes[i], i + 1 == sizes.size());
  }
  std::printf("]}\n");
  return 0;
}
