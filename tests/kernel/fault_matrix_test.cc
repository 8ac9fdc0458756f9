#include <algorithm>
#include <catch2/catch.hpp>
#include <iostream>

#include "tests/kernel/fault_world.h"

namespace poplarmoor {
namespace {

/// Kind of the target request.
enum class Target { kRead, kWrite, kNotRepeatable, kWithoutIds, kStatement, kCommit };

constexpr NameTable<Target, 6> kTargetNames{{{
    {Target::kRead, "read"},
    {Target::kWrite, "write"},
    {Target::kNotRepeatable, "non-repeatable write"},
    {Target::kWithoutIds, "write without recorded ids"},
    {Target::kStatement, "transaction statement"},
    {Target::kCommit, "commit"},
}}};

using FaultAt = std::pair<Fault, Step>;
using Violations = std::map<std::string, std::pair<int, std::string>>;  // Count and first example.

/// Deadlines of the target request: one that outlasts every fault, and one that none outlasts.
constexpr std::array<Duration, 2> kDeadlines{1000ms, 80ms};

/// One run: a session writes, sends the target request under faults, and reads and writes again,
/// beside a second session with its own writes, reads and transaction.
class Cell {
 public:
  Cell(Target target,
       Duration deadline,
       const std::vector<FaultAt>& faults,
       const Weakness& weakness)
      : target(target),
        deadline(deadline),
        world(weakness, target != Target::kNotRepeatable && target != Target::kWithoutIds) {
    this->world.RunUntil(At(20));
    this->Statement("s", Operation::kWrite, "before", [this, faults] {
      if (this->target == Target::kStatement || this->target == Target::kCommit) {
        this->Transaction("s", faults);
      } else {
        this->SendTarget(faults);
      }
    });
    for (int i = 0; i < 4; ++i) {
      this->world.After(i * 120ms,
                        [this, i] { this->Transaction("other" + std::to_string(i), {}); });
    }
    for (int i = 0; i < 12; ++i) {
      this->world.After(i * 40ms, [this, i] {
        this->Statement("other", i % 2 ? Operation::kRead : Operation::kWrite,
                        "other-statement" + std::to_string(i), [] {});
      });
    }
    this->world.RunUntil(At(2800));
  }

  /// Checks all promises and adds what is broken.
  void Check(const std::string& name, Violations* violations) const {
    const auto report = [&](const std::string& promise, const std::string& what) {
      auto& [count, example] = (*violations)[promise];
      if (count++ == 0) {
        example = name + ": " + what;
      }
    };
    for (const auto& call : this->world.Calls()) {
      this->CheckCall(*call, report);
    }
    // Whichever two endpoints the next promotion hears from, the better log has all that was
    // acknowledged.
    const auto& endpoints = this->world.Endpoints();
    for (size_t missing = 0; missing < 3; ++missing) {
      const FakeEndpoint& first = endpoints[(missing + 1) % 3];
      const FakeEndpoint& second = endpoints[(missing + 2) % 3];
      this->CheckLog(first.Last() < second.Last() ? second.log : first.log, report);
    }
  }

  const FaultWorld::Call& TargetCall() const {
    for (const auto& call : this->world.Calls()) {
      if (call->request.request_id == "target") {
        return *call;
      }
    }
    throw std::logic_error("the target request was not sent");
  }

 private:
  using Report = std::function<void(const std::string&, const std::string&)>;

  StatementRequest Request(Operation operation, const std::string& id) {
    StatementRequest request;
    request.operation = operation;
    request.request_id = id;
    request.repeatable = this->target != Target::kNotRepeatable;
    request.deadline = this->world.Now() + (id == "target" ? this->deadline : 1000ms);
    return request;
  }

  void Statement(const std::string& session,
                 Operation operation,
                 const std::string& id,
                 const std::function<void()>& then) {
    this->world.Issue(session, this->Request(operation, id),
                      [then](const FaultWorld::Call&) { then(); });
  }

  /// Begins a transaction, runs two statements and commits. Of session "s" the second statement or
  /// the commit is the target.
  void Transaction(const std::string& session, const std::vector<FaultAt>& faults) {
    this->world.Issue(session, this->Request(Operation::kBegin, session + "-begin"),
                      [this, session, faults](const FaultWorld::Call& begun) {
                        if (begun.result.verdict == Verdict::kRan) {
                          this->Continue(session, begun.result.transaction, 1, faults);
                        }
                      });
  }

  void Continue(const std::string& session,
                const std::string& transaction,
                uint64_t sequence,
                const std::vector<FaultAt>& faults) {
    const bool commits = sequence == 3;
    StatementRequest request =
        this->Request(commits ? Operation::kCommit : Operation::kTransactionWrite,
                      session + (commits ? "-commit" : "-" + std::to_string(sequence)));
    request.transaction = transaction;
    request.sequence = commits ? 0 : sequence;
    const bool is_target = session == "s" && sequence == (this->target == Target::kCommit ? 3 : 2);
    if (is_target) {
      request.request_id = "target";
      request.deadline = this->world.Now() + this->deadline;
      this->Arm(faults);
    }
    (commits ? this->commits : this->statements)[session].push_back(request.request_id);
    this->world.Issue(
        session, request,
        [this, session, transaction, sequence, faults, commits](const FaultWorld::Call& call) {
          if (!commits && call.result.verdict == Verdict::kRan) {
            this->Continue(session, transaction, sequence + 1, faults);
          }
          if (call.request.request_id == "target") {
            this->ReadBack();
          }
        });
  }

  void Arm(const std::vector<FaultAt>& faults) {
    for (const auto& [fault, step] : faults) {
      this->world.Arm(fault, step);
    }
  }

  void SendTarget(const std::vector<FaultAt>& faults) {
    this->Arm(faults);
    this->Statement("s", this->target == Target::kRead ? Operation::kRead : Operation::kWrite,
                    "target", [this] { this->ReadBack(); });
  }

  /// Reads at once, then several times while the faults heal, with a write in between.
  void ReadBack() {
    for (int i = 0; i < 6; ++i) {
      this->world.After(i * i * 15ms, [this, i] {
        this->Statement("s", i == 2 ? Operation::kWrite : Operation::kRead,
                        "after" + std::to_string(i), [] {});
      });
    }
  }

  void CheckCall(const FaultWorld::Call& call, const Report& report) const {
    const std::string& id = call.request.request_id;
    if (!call.done) {
      report("answer", id + " has no answer");
      return;
    }
    int executions = 0;
    for (const FakeEndpoint& endpoint : this->world.Endpoints()) {
      const auto found = endpoint.executions.find(id);
      executions += found == endpoint.executions.end() ? 0 : found->second;
    }
    if (call.result.verdict == Verdict::kNotRun && executions > 0) {
      report("P5", id + " ran but was reported as not run");
    }
    const bool once = !call.request.repeatable || this->target == Target::kWithoutIds;
    if (once && call.request.operation == Operation::kWrite && executions > 1) {
      report("P6", id + " ran " + std::to_string(executions) + " times");
    }
    if (call.result.verdict != Verdict::kRan) {
      return;
    }
    const std::string& text = call.result.result;
    if (!text.starts_with("for:" + id + "|") || !text.ends_with("|end")) {
      report("P4", id + " received " + text);
    }
    if (call.request.operation == Operation::kRead) {
      for (const std::string& write : call.own_writes) {
        if (text.find(write + ",") == std::string::npos) {
          report("P1", id + " did not see " + write);
        }
      }
    }
  }

  void CheckLog(const std::vector<FakeEndpoint::Entry>& log, const Report& report) const {
    std::map<std::string, int> count;
    for (const FakeEndpoint::Entry& entry : log) {
      if (entry.id.empty()) {
        continue;
      }
      ++count[entry.id];
      std::vector<std::string> expected{entry.id};
      for (const auto& [session, ids] : this->commits) {
        if (std::find(ids.begin(), ids.end(), entry.id) != ids.end()) {
          expected = this->statements.at(session);
        }
      }
      if (entry.statements != expected) {
        report("P3", entry.id + " holds statements of others or lacks its own");
      }
    }
    for (const auto& [id, times] : count) {
      if (times > 1) {
        report("duplicate", id + " is in the log " + std::to_string(times) + " times");
      }
    }
    for (const auto& call : this->world.Calls()) {
      const Operation operation = call->request.operation;
      const bool is_logged = operation == Operation::kWrite || operation == Operation::kCommit;
      if (is_logged && call->result.verdict == Verdict::kRan &&
          !count.contains(call->request.request_id)) {
        report("P2", call->request.request_id + " was acknowledged and is lost");
      }
    }
  }

  Target target;
  Duration deadline;
  FaultWorld world;
  std::map<std::string, std::vector<std::string>> statements;  // Of transactions, by session.
  std::map<std::string, std::vector<std::string>> commits;
};

std::vector<FaultAt> AllFaults() {
  std::vector<FaultAt> faults;
  for (const auto& [fault, fault_name] : kFaultNames.rows) {
    for (const auto& [step, step_name] : kStepNames.rows) {
      faults.emplace_back(fault, step);
    }
  }
  return faults;
}

std::string NameOf(Target target, const std::vector<FaultAt>& faults) {
  std::string name(kTargetNames.NameOf(target));
  for (const auto& [fault, step] : faults) {
    name +=
        ", " + std::string(kFaultNames.NameOf(fault)) + " " + std::string(kStepNames.NameOf(step));
  }
  return name;
}

/// Outcome of a part of the matrix.
struct Outcome {
  int cells = 0;
  std::map<std::string, int> verdicts;  // Of the target requests.
  Violations violations;
};

void RunCell(Target target,
             const std::vector<FaultAt>& faults,
             const Weakness& weakness,
             Outcome* outcome) {
  for (const Duration deadline : kDeadlines) {
    const Cell cell(target, deadline, faults, weakness);
    ++outcome->cells;
    ++outcome->verdicts[std::string(kVerdictNames.NameOf(cell.TargetCall().result.verdict))];
    cell.Check(NameOf(target, faults) + ", deadline " + std::to_string(ToMillis(deadline)) + " ms",
               &outcome->violations);
  }
}

Outcome RunMatrix(const Weakness& weakness, bool pairs) {
  Outcome outcome;
  const std::vector<FaultAt> faults = AllFaults();
  for (const auto& [target, target_name] : kTargetNames.rows) {
    for (size_t i = 0; i < faults.size(); ++i) {
      if (!pairs) {
        RunCell(target, {faults[i]}, weakness, &outcome);
        continue;
      }
      for (size_t j = i; j < faults.size(); ++j) {
        RunCell(target, {faults[i], faults[j]}, weakness, &outcome);
      }
    }
  }
  return outcome;
}

void Print(const std::string& title, const Outcome& outcome) {
  std::cout << "fault matrix, " << title << ": " << outcome.cells << " cells;";
  for (const auto& [verdict, count] : outcome.verdicts) {
    std::cout << " " << verdict << " " << count;
  }
  std::cout << "\n";
  for (const auto& [promise, violation] : outcome.violations) {
    std::cout << "  " << promise << " broken " << violation.first << " times, first in "
              << violation.second << "\n";
  }
}

TEST_CASE("without faults every kind of request runs", "[matrix]") {
  for (const auto& [target, target_name] : kTargetNames.rows) {
    Outcome outcome;
    RunCell(target, {}, Weakness(), &outcome);
    INFO(target_name);
    CHECK(outcome.verdicts == std::map<std::string, int>{{"ran", 2}});
    CHECK(outcome.violations.empty());
  }
}

TEST_CASE("reads and repeatable writes run despite any fault that heals in time", "[matrix]") {
  for (const Target target : {Target::kRead, Target::kWrite}) {
    for (const FaultAt& fault : AllFaults()) {
      const Cell cell(target, kDeadlines[0], {fault}, Weakness());
      INFO(NameOf(target, {fault}));
      CHECK(kVerdictNames.NameOf(cell.TargetCall().result.verdict) == "ran");
    }
  }
}

TEST_CASE("single faults break no promise", "[matrix]") {
  const Outcome outcome = RunMatrix(Weakness(), false);
  Print("single faults", outcome);
  CHECK(outcome.cells == 6 * 32 * 2);
  CHECK(outcome.violations.empty());
}

TEST_CASE("pairs of faults break no promise", "[matrix]") {
  const Outcome outcome = RunMatrix(Weakness(), true);
  Print("pairs", outcome);
  CHECK(outcome.cells == 6 * 32 * 33 / 2 * 2);
  CHECK(outcome.violations.empty());
}

TEST_CASE("each weakened rule makes the matrix fail", "[matrix]") {
  struct Row {
    std::string name;
    bool Weakness::*flag;
    std::string promise;  // That must be reported as broken.
  };
  for (const Row& row : std::vector<Row>{
           {"acknowledge at the primary", &Weakness::ack_at_primary, "P2"},
           {"no fence check", &Weakness::no_fence_check, "P2"},
           {"retry after may_have_run", &Weakness::retry_after_loss, "P6"},
           {"dirty connection reused", &Weakness::dirty_connection, "P3"},
           {"no echo check", &Weakness::no_echo_check, "P4"},
           {"session token ignored", &Weakness::token_ignored, "P1"},
           {"verdict of the last attempt", &Weakness::last_verdict, "P5"},
       }) {
    Weakness weakness;
    weakness.*row.flag = true;
    const Outcome outcome = RunMatrix(weakness, false);
    Print(row.name, outcome);
    INFO(row.name);
    CHECK(outcome.violations.contains(row.promise));
  }
}

}  // namespace
}  // namespace poplarmoor
