#include <algorithm>
#include <chrono>
#include <cstdio>
#include <functional>
#include <string>
#include <vector>

#include "kernel/admission/admission_queue.h"
#include "kernel/request_machine.h"
#include "kernel/routing_policy.h"

namespace poplarmoor {
namespace {

constexpr int kRepetitions = 7;          // Number of timed runs of each measurement.
constexpr uint64_t kDecisions = 20'000;  // Decisions measured in one run.

/// Nanoseconds per decision: median, lowest and highest of several repetitions.
struct Measurement {
  double median = 0.0;
  double lowest = 0.0;
  double highest = 0.0;
};

/// One line of a section of the printed JSON object: parameters and result of a measurement, as
/// JSON members.
struct Row {
  std::string members;
};

/// Name of a section of the printed JSON object, and the function that runs its measurements.
/// kSections lists all sections.
struct Section {
  const char* name;
  std::vector<Row> (*run)();
};

/// @param run Performs a number of decisions and returns the nanoseconds they took.
/// @param decisions Number of decisions in one call of `run`.
/// @returns Nanoseconds per decision: median, lowest and highest of all timed runs.
Measurement Measure(const std::function<double()>& run, uint64_t decisions) {
  std::vector<double> samples;
  samples.reserve(kRepetitions);
  run();  // Warms the caches and the allocator.
  for (int i = 0; i < kRepetitions; ++i) {
    samples.push_back(run() / static_cast<double>(decisions));
  }
  std::sort(samples.begin(), samples.end());
  return {samples[samples.size() / 2], samples.front(), samples.back()};
}

/// Measures the total time of several parts of a run.
class Stopwatch {
 public:
  void Start() { this->started = std::chrono::steady_clock::now(); }
  void Stop() { this->total += std::chrono::steady_clock::now() - this->started; }
  double Nanoseconds() const {
    return std::chrono::duration<double, std::nano>(this->total).count();
  }

 private:
  std::chrono::steady_clock::time_point started;
  std::chrono::steady_clock::duration total{0};
};

Row MakeRow(const std::string& members, const Measurement& measured) {
  char numbers[120];
  std::snprintf(numbers, sizeof(numbers),
                ", \"ns_median\": %.0f, \"ns_lowest\": %.0f, \"ns_highest\": %.0f", measured.median,
                measured.lowest, measured.highest);
  return {members + numbers};
}

/// An admission queue with one free slot, and with waiting items spread over ranks and sites.
class AdmissionBench {
 public:
  AdmissionBench(const std::string& policy, size_t sites, size_t waiting)
      : queue(Registry<AdmissionQueue>::Create(policy)), waiting(waiting) {
    for (size_t i = 0; i < sites; ++i) {
      this->sites.push_back("site-" + std::to_string(i));
    }
    AdmissionSettings settings;
    for (RankSettings& rank : settings.ranks) {
      rank.max_queue = 10 * waiting + 100;
    }
    settings.ranks[1].floor_share = 0.2;
    settings.ranks[2].floor_share = 0.1;
    this->queue->Configure(settings);
    this->queue->SetSlots(1);
    this->Fill(waiting);
    if (const auto item = this->queue->Next(TimePoint())) {
      // A reported service time of 1 us keeps the predicted waits below the deadlines, so that the
      // queue refuses no item.
      this->queue->Finished(item->rank, 1us);
    }
  }

  /// Offers items to the queue in batches and takes each batch out again with Next().
  /// @param measure_admit True to measure Offer(), false to measure Next() and Finished().
  /// @returns Nanoseconds spent in the measured calls.
  double Run(bool measure_admit) {
    constexpr size_t kBatch = 100;
    Stopwatch stopwatch;
    for (uint64_t done = 0; done < kDecisions; done += kBatch) {
      const std::vector<AdmissionItem> batch = this->MakeItems(kBatch);
      if (measure_admit) {
        stopwatch.Start();
      }
      for (const AdmissionItem& item : batch) {
        this->queue->Offer(item, TimePoint());
      }
      measure_admit ? stopwatch.Stop() : stopwatch.Start();
      for (size_t i = 0; i < kBatch; ++i) {
        if (const auto item = this->queue->Next(TimePoint())) {
          this->queue->Finished(item->rank, 1us);
        }
      }
      if (!measure_admit) {
        stopwatch.Stop();
      }
      this->Fill(this->waiting);
    }
    return stopwatch.Nanoseconds();
  }

 private:
  std::vector<AdmissionItem> MakeItems(size_t count) {
    std::vector<AdmissionItem> items;
    for (size_t i = 0; i < count; ++i) {
      ++this->last_id;
      items.push_back({this->last_id, static_cast<Rank>(this->last_id % kRankCount),
                       this->sites[this->last_id / kRankCount % this->sites.size()],
                       TimePoint(Duration(1'000'000'000 + this->last_id))});
    }
    return items;
  }

  void Fill(size_t count) {
    size_t now_waiting = 0;
    for (const auto& [rank, name] : kRankNames.rows) {
      now_waiting += this->queue->Waiting(rank);
    }
    for (const AdmissionItem& item : this->MakeItems(count - std::min(count, now_waiting))) {
      this->queue->Offer(item, TimePoint());
    }
  }

  std::unique_ptr<AdmissionQueue> queue;
  size_t waiting;
  std::vector<std::string> sites;
  uint64_t last_id = 0;
};

std::vector<Row> RunAdmission() {
  std::vector<Row> rows;
  for (const char* policy : {"floors", "fcfs"}) {
    for (const size_t sites : {size_t{3}, size_t{30}, size_t{300}}) {
      for (const size_t waiting : {size_t{10}, size_t{1000}, size_t{10'000}}) {
        for (const bool admit : {true, false}) {
          AdmissionBench bench(policy, sites, waiting);
          const Measurement measured = Measure([&] { return bench.Run(admit); }, kDecisions);
          rows.push_back(MakeRow("\"policy\": \"" + std::string(policy) + "\", \"decision\": \"" +
                                     (admit ? "admit" : "next") +
                                     "\", \"sites\": " + std::to_string(sites) +
                                     ", \"waiting\": " + std::to_string(waiting),
                                 measured));
        }
      }
    }
  }
  return rows;
}

/// @returns View of a group that has one primary, and replicas with known statuses.
GroupView MakeView(size_t endpoints) {
  GroupState state;
  state.service = "orders";
  state.term = 3;
  state.primary = "endpoint-0";
  for (size_t i = 0; i < endpoints; ++i) {
    state.endpoints.push_back({"endpoint-" + std::to_string(i), "", "", false});
  }
  GroupView view(state);
  for (const EndpointInfo& info : state.endpoints) {
    EndpointStatus status;
    status.endpoint = info.name;
    status.term = 3;
    status.received = 1000;
    status.replayed = 1000;
    status.last = {3, 1000};
    view.OnStatus(status, TimePoint());
  }
  return view;
}

std::vector<Row> RunRouting() {
  std::vector<Row> rows;
  for (const std::string& name : Registry<RoutingPolicy>::Names()) {
    for (const size_t endpoints : {size_t{3}, size_t{9}}) {
      const GroupView view = MakeView(endpoints);
      const auto policy = Registry<RoutingPolicy>::Create(name);
      RouteRequest request;
      request.required = {3, 900};
      const auto run = [&] {
        size_t found = 0;
        Stopwatch stopwatch;
        stopwatch.Start();
        for (uint64_t i = 0; i < kDecisions; ++i) {
          found += policy->Candidates(request, view, TimePoint(), i).size();
        }
        stopwatch.Stop();
        return found > 0 ? stopwatch.Nanoseconds() : 0.0;
      };
      rows.push_back(MakeRow("\"policy\": \"" + name + "\", \"decision\": \"route\"" +
                                 ", \"endpoints\": " + std::to_string(endpoints),
                             Measure(run, kDecisions)));
    }
  }
  return rows;
}

std::vector<Row> RunRequest() {
  const GroupView view = MakeView(3);
  const auto policy = Registry<RoutingPolicy>::Create("fresh_replicas");
  RetryBudget budget;
  StatementRequest request;
  request.request_id = "0123456789abcdef0123456789abcdef";
  request.service = "orders";
  request.site = "biella";
  request.required = {3, 900};
  request.deadline = TimePoint(1s);
  StatementResult answer;
  answer.verdict = Verdict::kRan;
  const auto run = [&] {
    Stopwatch stopwatch;
    stopwatch.Start();
    for (uint64_t i = 0; i < kDecisions; ++i) {
      const RequestContext context{view, *policy, budget, TimePoint(), i};
      RequestMachine machine(request, RequestOptions());
      machine.Start(context);
      machine.OnAnswer(1, answer, context);
    }
    stopwatch.Stop();
    return stopwatch.Nanoseconds();
  };
  return {MakeRow("\"decision\": \"request\"", Measure(run, kDecisions))};
}

constexpr Section kSections[] = {
    {"admission", RunAdmission},
    {"routing", RunRouting},
    {"request", RunRequest},
};

/// Measures the admission queue, the routing policies and the request machine, and prints the
/// results as one JSON object.
int Main() {
  std::printf("{\n  \"decisions\": %llu,\n  \"repetitions\": %d",
              static_cast<unsigned long long>(kDecisions), kRepetitions);
  for (const Section& section : kSections) {
    std::printf(",\n  \"%s\": [", section.name);
    const char* separator = "\n";
    for (const Row& row : section.run()) {
      std::printf("%s    {%s}", separator, row.members.c_str());
      separator = ",\n";
    }
    std::printf("\n  ]");
  }
  std::printf("\n}\n");
  return 0;
}

}  // namespace
}  // namespace poplarmoor

int main() {
  return poplarmoor::Main();
}
