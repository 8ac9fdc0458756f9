#include <algorithm>
#include <catch2/catch.hpp>
#include <iostream>

#include "tests/kernel/fault_simulation.h"

namespace poplarmoor {
namespace {

/// Kind of the request under test, called the target request.
enum class Target {
  kRead,
  kWrite,
  kNonRepeatableWrite,
  kWriteWithoutIds,
  kTransactionStatement,
  kCommit
};

constexpr NameTable<Target, 6> kTargetNames{{{
    {Target::kRead, "read"},
    {Target::kWrite, "write"},
    {Target::kNonRepeatableWrite, "non-repeatable write"},
    {Target::kWriteWithoutIds, "write without recorded ids"},
    {Target::kTransactionStatement, "transaction statement"},
    {Target::kCommit, "commit"},
}}};

using FaultAtStep = std::pair<Fault, Step>;
/// Violations by guarantee, each with a count and the first example. The guarantees are:
/// P1: a read sees the writes acknowledged earlier in its session.
/// P2: an acknowledged write is not lost.
/// P3: a transaction contains all of its own statements and no others.
/// P4: a request receives its own, complete answer.
/// P5: a request that is reported as not run has not run.
/// P6: a write that is not safe to repeat runs at most once.
/// "answer": every request gets an answer.
/// "duplicate": a log contains a write at most once.
using Violations = std::map<std::string, std::pair<int, std::string>>;

/// Times from sending the target request to its deadline. All faults end before the first deadline;
/// at the second one, a fault may still last.
constexpr std::array<Duration, 2> kDeadlines{1000ms, 80ms};

/// One run of the fault matrix. A session writes, sends the target request under faults, and then
/// reads and writes again, while other sessions run their own writes, reads and transactions.
class MatrixCell {
 public:
  MatrixCell(Target target,
             Duration deadline,
             const std::vector<FaultAtStep>& faults,
             const Defects& defects)
      : target(target),
        deadline(deadline),
        simulation(defects,
                   target != Target::kNonRepeatableWrite && target != Target::kWriteWithoutIds) {
    this->simulation.RunUntil(At(20));
    this->Statement("s", Operation::kWrite, "before", [this, faults] {
      if (this->target == Target::kTransactionStatement || this->target == Target::kCommit) {
        this->Transaction("s", faults);
      } else {
        this->SendTarget(faults);
      }
    });
    for (int i = 0; i < 4; ++i) {
      this->simulation.After(i * 120ms,
                             [this, i] { this->Transaction("other" + std::to_string(i), {}); });
    }
    for (int i = 0; i < 12; ++i) {
      this->simulation.After(i * 40ms, [this, i] {
        this->Statement("other", i % 2 ? Operation::kRead : Operation::kWrite,
                        "other-statement" + std::to_string(i), [] {});
      });
    }
    this->simulation.RunUntil(At(2800));
  }

  /// Checks all guarantees and adds those that are violated to `violations`.
  void Check(const std::string& name, Violations* violations) const {
    const auto report = [&](const std::string& guarantee, const std::string& what) {
      auto& [count, example] = (*violations)[guarantee];
      if (count++ == 0) {
        example = name + ": " + what;
      }
    };
    for (const auto& call : this->simulation.Calls()) {
      this->CheckCall(*call, report);
    }
    // Whichever two endpoints take part in the next promotion, the log with the higher last
    // position must hold all acknowledged writes, because its endpoint becomes the primary.
    const auto& endpoints = this->simulation.Endpoints();
    for (size_t missing = 0; missing < 3; ++missing) {
      const FakeEndpoint& first = endpoints[(missing + 1) % 3];
      const FakeEndpoint& second = endpoints[(missing + 2) % 3];
      this->CheckLog(first.Last() < second.Last() ? second.log : first.log, report);
    }
  }

  const FaultSimulation::Call& TargetCall() const {
    for (const auto& call : this->simulation.Calls()) {
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
    request.repeatable = this->target != Target::kNonRepeatableWrite;
    request.deadline = this->simulation.Now() + (id == "target" ? this->deadline : 1000ms);
    return request;
  }

  void Statement(const std::string& session,
                 Operation operation,
                 const std::string& id,
                 const std::function<void()>& then) {
    this->simulation.Issue(session, this->Request(operation, id),
                           [then](const FaultSimulation::Call&) { then(); });
  }

  /// Begins a transaction, runs two statements and commits. In session "s", the target request is
  /// the second statement or the commit.
  void Transaction(const std::string& session, const std::vector<FaultAtStep>& faults) {
    this->simulation.Issue(session, this->Request(Operation::kBegin, session + "-begin"),
                           [this, session, faults](const FaultSimulation::Call& begun) {
                             if (begun.result.verdict == Verdict::kRan) {
                               this->Continue(session, begun.result.transaction, 1, faults);
                             }
                           });
  }

  void Continue(const std::string& session,
                const std::string& transaction,
                uint64_t sequence,
                const std::vector<FaultAtStep>& faults) {
    const bool commits = sequence == 3;
    StatementRequest request =
        this->Request(commits ? Operation::kCommit : Operation::kTransactionWrite,
                      session + (commits ? "-commit" : "-" + std::to_string(sequence)));
    request.transaction = transaction;
    request.sequence = commits ? 0 : sequence;
    const bool is_target = session == "s" && sequence == (this->target == Target::kCommit ? 3 : 2);
    if (is_target) {
      request.request_id = "target";
      request.deadline = this->simulation.Now() + this->deadline;
      this->Arm(faults);
    }
    (commits ? this->commits : this->statements)[session].push_back(request.request_id);
    this->simulation.Issue(
        session, request,
        [this, session, transaction, sequence, faults, commits](const FaultSimulation::Call& call) {
          if (!commits && call.result.verdict == Verdict::kRan) {
            this->Continue(session, transaction, sequence + 1, faults);
          }
          if (call.request.request_id == "target") {
            this->ReadBack();
          }
        });
  }

  void Arm(const std::vector<FaultAtStep>& faults) {
    for (const auto& [fault, step] : faults) {
      this->simulation.Arm(fault, step);
    }
  }

  void SendTarget(const std::vector<FaultAtStep>& faults) {
    this->Arm(faults);
    this->Statement("s", this->target == Target::kRead ? Operation::kRead : Operation::kWrite,
                    "target", [this] { this->ReadBack(); });
  }

  /// Sends a read immediately, then more reads and one write until the faults have ended.
  void ReadBack() {
    for (int i = 0; i < 6; ++i) {
      this->simulation.After(i * i * 15ms, [this, i] {
        this->Statement("s", i == 2 ? Operation::kWrite : Operation::kRead,
                        "after" + std::to_string(i), [] {});
      });
    }
  }

  void CheckCall(const FaultSimulation::Call& call, const Report& report) const {
    const std::string& id = call.request.request_id;
    if (!call.done) {
      report("answer", id + " has no answer");
      return;
    }
    int executions = 0;
    for (const FakeEndpoint& endpoint : this->simulation.Endpoints()) {
      const auto found = endpoint.executions.find(id);
      executions += found == endpoint.executions.end() ? 0 : found->second;
    }
    if (call.result.verdict == Verdict::kNotRun && executions > 0) {
      report("P5", id + " ran but was reported as not run");
    }
    const bool once = !call.request.repeatable || this->target == Target::kWriteWithoutIds;
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
        report("P3", entry.id + " has statements of other transactions or lacks its own");
      }
    }
    for (const auto& [id, times] : count) {
      if (times > 1) {
        report("duplicate", id + " is in the log " + std::to_string(times) + " times");
      }
    }
    for (const auto& call : this->simulation.Calls()) {
      const Operation operation = call->request.operation;
      const bool is_logged = operation == Operation::kWrite || operation == Operation::kCommit;
      if (is_logged && call->result.verdict == Verdict::kRan &&
          !count.contains(call->request.request_id)) {
        report("P2", call->request.request_id + " was acknowledged but is lost");
      }
    }
  }

  Target target;
  Duration deadline;
  FaultSimulation simulation;
  // Ids of the transactions' statements and of their commits, each by session.
  std::map<std::string, std::vector<std::string>> statements;
  std::map<std::string, std::vector<std::string>> commits;
};

std::vector<FaultAtStep> AllFaults() {
  std::vector<FaultAtStep> faults;
  for (const auto& [fault, fault_name] : kFaultNames.rows) {
    for (const auto& [step, step_name] : kStepNames.rows) {
      faults.emplace_back(fault, step);
    }
  }
  return faults;
}

std::string NameOf(Target target, const std::vector<FaultAtStep>& faults) {
  std::string name(kTargetNames.NameOf(target));
  for (const auto& [fault, step] : faults) {
    name +=
        ", " + std::string(kFaultNames.NameOf(fault)) + " " + std::string(kStepNames.NameOf(step));
  }
  return name;
}

/// Combined outcome of several runs of the fault matrix.
struct Outcome {
  int cells = 0;                        // Number of runs.
  std::map<std::string, int> verdicts;  // Number of target requests by verdict.
  Violations violations;
};

void RunMatrixCell(Target target,
                   const std::vector<FaultAtStep>& faults,
                   const Defects& defects,
                   Outcome* outcome) {
  for (const Duration deadline : kDeadlines) {
    const MatrixCell cell(target, deadline, faults, defects);
    ++outcome->cells;
    ++outcome->verdicts[std::string(kVerdictNames.NameOf(cell.TargetCall().result.verdict))];
    cell.Check(NameOf(target, faults) + ", deadline " + std::to_string(ToMillis(deadline)) + " ms",
               &outcome->violations);
  }
}

Outcome RunMatrix(const Defects& defects, bool pairs) {
  Outcome outcome;
  const std::vector<FaultAtStep> faults = AllFaults();
  for (const auto& [target, target_name] : kTargetNames.rows) {
    for (size_t i = 0; i < faults.size(); ++i) {
      if (!pairs) {
        RunMatrixCell(target, {faults[i]}, defects, &outcome);
        continue;
      }
      for (size_t j = i; j < faults.size(); ++j) {
        RunMatrixCell(target, {faults[i], faults[j]}, defects, &outcome);
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
  for (const auto& [guarantee, violation] : outcome.violations) {
    std::cout << "  " << guarantee << " broken " << violation.first << " times, first in "
              << violation.second << "\n";
  }
}

TEST_CASE("in the fault simulation, every kind of request runs if there is no fault", "[matrix]") {
  for (const auto& [target, target_name] : kTargetNames.rows) {
    Outcome outcome;
    RunMatrixCell(target, {}, Defects(), &outcome);
    INFO(target_name);
    CHECK(outcome.verdicts == std::map<std::string, int>{{"ran", 2}});
    CHECK(outcome.violations.empty());
  }
}

TEST_CASE("reads and repeatable writes run despite any fault that ends before the deadline",
          "[matrix]") {
  for (const Target target : {Target::kRead, Target::kWrite}) {
    for (const FaultAtStep& fault : AllFaults()) {
      const MatrixCell cell(target, kDeadlines[0], {fault}, Defects());
      INFO(NameOf(target, {fault}));
      CHECK(kVerdictNames.NameOf(cell.TargetCall().result.verdict) == "ran");
    }
  }
}

TEST_CASE("no single fault during a request violates a consistency guarantee", "[matrix]") {
  const Outcome outcome = RunMatrix(Defects(), false);
  Print("single faults", outcome);
  CHECK(outcome.cells == 6 * 32 * 2);
  CHECK(outcome.violations.empty());
}

TEST_CASE("no pair of faults during a request violates a consistency guarantee", "[matrix]") {
  const Outcome outcome = RunMatrix(Defects(), true);
  Print("pairs", outcome);
  CHECK(outcome.cells == 6 * 32 * 33 / 2 * 2);
  CHECK(outcome.violations.empty());
}

TEST_CASE(
    "the fault tests detect each defect that is deliberately injected into the proxy or the "
    "endpoints",
    "[matrix]") {
  struct Row {
    std::string name;
    bool Defects::*flag;
    std::string guarantee;  // Guarantee that must be reported as violated.
  };
  for (const Row& row : std::vector<Row>{
           {"acknowledgement without a quorum", &Defects::ack_without_quorum, "P2"},
           {"no fence check", &Defects::skip_fence_check, "P2"},
           {"retry after may_have_run", &Defects::retry_any_write, "P6"},
           {"reuse of a dirty connection", &Defects::reuse_dirty_connection, "P3"},
           {"no check of the answer's request id", &Defects::skip_request_id_check, "P4"},
           {"session token ignored", &Defects::ignore_session_token, "P1"},
           {"only the verdict of the last attempt reported", &Defects::report_last_verdict, "P5"},
       }) {
    Defects defects;
    defects.*row.flag = true;
    const Outcome outcome = RunMatrix(defects, false);
    Print(row.name, outcome);
    INFO(row.name);
    CHECK(outcome.violations.contains(row.guarantee));
  }
}

}  // namespace
}  // namespace poplarmoor
