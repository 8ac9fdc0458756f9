#include "kernel/request_machine.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "tests/kernel/fixtures.h"

namespace poplarmoor {
namespace {

using Kind = RequestAction::Kind;

/// Runs one request as the entry daemon does. The group is in term 1 and its primary is "a".
class MachineFixture {
 public:
  explicit MachineFixture(Operation operation,
                          bool repeatable = true,
                          bool records_ids = true,
                          LogPosition required = {})
      : machine(MakeRequest(operation, repeatable, required), MakeOptions(operation, records_ids)) {
  }

  RequestContext Context() { return {this->group, *this->policy, this->budget, At(this->now), 0}; }

  RequestAction Start() { return this->machine.Start(this->Context()); }
  RequestAction Answer(int attempt, Verdict verdict, Reason reason, uint64_t replayed = 0) {
    StatementResult result = MakeResult(verdict, reason);
    if (replayed > 0) {
      result.status = MakeStatus("b", 1, replayed);
    }
    return this->machine.OnAnswer(attempt, result, this->Context());
  }
  RequestAction TimerAt(TimePoint time) {
    this->now = ToMillis(time.time_since_epoch()) + 1;
    return this->machine.OnTimer(this->Context());
  }
  void ExhaustBudget() {
    while (this->budget.TryTake()) {
    }
  }

  GroupView group{MakeGroup(1, "a")};
  std::unique_ptr<RoutingPolicy> policy = Registry<RoutingPolicy>::Create("fresh_replicas");
  RetryBudget budget;
  int64_t now = 0;
  RequestMachine machine;

 private:
  static StatementRequest MakeRequest(Operation operation, bool repeatable, LogPosition required) {
    StatementRequest request;
    request.operation = operation;
    request.repeatable = repeatable;
    request.required = required;
    request.deadline = At(1000);
    return request;
  }
  static RequestOptions MakeOptions(Operation operation, bool records_ids) {
    RequestOptions options;
    options.records_request_ids = records_ids;
    if (operation == Operation::kCommit) {
      options.pinned_endpoint = "a";
    }
    return options;
  }
};

TEST_CASE(
    "a write that may have run is retried only if it is safe to repeat and its request id is "
    "recorded") {
  for (const auto& [repeatable, records_ids] :
       std::vector<std::pair<bool, bool>>{{false, true}, {true, false}, {false, false}}) {
    MachineFixture fixture(Operation::kWrite, repeatable, records_ids);
    REQUIRE(fixture.Start().kind == Kind::kSend);
    const RequestAction action = fixture.Answer(1, Verdict::kMayHaveRun, Reason::kTimeout);
    CHECK(action.kind == Kind::kAnswer);
    CHECK(action.result.verdict == Verdict::kMayHaveRun);
  }
  MachineFixture commit(Operation::kCommit);
  REQUIRE(commit.Start().endpoint == "a");
  CHECK(commit.Answer(1, Verdict::kMayHaveRun, Reason::kTimeout).kind == Kind::kAnswer);
}

TEST_CASE("a refused second attempt does not hide that the first attempt may have run") {
  MachineFixture fixture(Operation::kWrite);
  REQUIRE(fixture.Start().kind == Kind::kSend);
  RequestAction action = fixture.Answer(1, Verdict::kMayHaveRun, Reason::kConnectionLost);
  REQUIRE(action.kind == Kind::kWait);
  action = fixture.TimerAt(action.until);
  REQUIRE(action.attempt == 2);
  action = fixture.Answer(2, Verdict::kNotRun, Reason::kNoQuorum);
  REQUIRE(action.kind == Kind::kWait);
  action = fixture.TimerAt(At(1000));
  CHECK(action.result.verdict == Verdict::kMayHaveRun);
  CHECK(action.result.reason == Reason::kConnectionLost);
}

TEST_CASE(
    "an answer to the first attempt still decides the verdict of a request if it arrives after the "
    "second attempt was sent") {
  MachineFixture fixture(Operation::kWrite);
  RequestAction action = fixture.Start();
  CHECK(action.until == At(500));
  action = fixture.TimerAt(action.until);
  REQUIRE(action.kind == Kind::kWait);
  action = fixture.TimerAt(action.until);
  REQUIRE(action.attempt == 2);
  SECTION("the first attempt ran") {
    CHECK(fixture.Answer(1, Verdict::kRan, Reason::kNone).result.verdict == Verdict::kRan);
    // The caller already has its answer, so the answer to attempt 2 changes nothing.
    CHECK(fixture.Answer(2, Verdict::kMayHaveRun, Reason::kTimeout).result.verdict ==
          Verdict::kRan);
  }
  SECTION("neither attempt ran") {
    CHECK(fixture.Answer(1, Verdict::kNotRun, Reason::kOverloaded).kind == Kind::kWait);
    action = fixture.Answer(2, Verdict::kNotRun, Reason::kOverloaded);
    CHECK(action.result.verdict == Verdict::kNotRun);
  }
  SECTION("the request id belongs to another statement") {
    action = fixture.Answer(2, Verdict::kNotRun, Reason::kRequestIdReused);
    CHECK(action.result.verdict == Verdict::kNotRun);
  }
}

TEST_CASE(
    "a write that was refused during a failover runs at the new primary even if the retry budget "
    "is used up") {
  MachineFixture fixture(Operation::kWrite, false);
  fixture.ExhaustBudget();
  REQUIRE(fixture.Start().endpoint == "a");
  RequestAction action = fixture.Answer(1, Verdict::kNotRun, Reason::kFenced);
  REQUIRE(action.kind == Kind::kWait);
  fixture.group.SetState(MakeGroup(2, ""));
  action = fixture.TimerAt(action.until);
  REQUIRE(action.kind == Kind::kWait);
  fixture.group.SetState(MakeGroup(2, "b"));
  action = fixture.TimerAt(At(200));
  CHECK(action.endpoint == "b");
  CHECK(action.term == 2);
}

TEST_CASE("a write that finds no primary before its deadline gets the verdict not_run") {
  MachineFixture fixture(Operation::kWrite);
  fixture.group.SetState(MakeGroup(2, ""));
  RequestAction action = fixture.Start();
  while (action.kind == Kind::kWait) {
    action = fixture.TimerAt(action.until);
  }
  CHECK(fixture.machine.Attempts() == 0);
  CHECK(action.result.verdict == Verdict::kNotRun);
  CHECK(action.result.reason == Reason::kNoPrimary);
}

TEST_CASE("a failed read is not retried when the retry budget is used up") {
  MachineFixture fixture(Operation::kRead);
  RequestAction action = fixture.Start();
  fixture.ExhaustBudget();
  action = fixture.Answer(1, Verdict::kMayHaveRun, Reason::kConnectionLost);
  while (action.kind == Kind::kWait) {
    action = fixture.TimerAt(action.until);
  }
  CHECK(fixture.machine.Attempts() == 1);
  CHECK(action.result.verdict == Verdict::kMayHaveRun);
}

TEST_CASE(
    "a read waits once for a replica that lags slightly, and goes to the primary if the replica "
    "lags far or still lags after the wait") {
  MachineFixture lags_slightly(Operation::kRead, true, true, {1, 100});
  REQUIRE(lags_slightly.Start().endpoint != "a");
  RequestAction action = lags_slightly.Answer(1, Verdict::kNotRun, Reason::kBehind, 95);
  REQUIRE(action.kind == Kind::kWait);
  action = lags_slightly.TimerAt(action.until);
  CHECK(action.endpoint != "a");
  CHECK(lags_slightly.Answer(2, Verdict::kNotRun, Reason::kBehind, 95).endpoint == "a");
  MachineFixture lags_far(Operation::kRead, true, true, {1, 1000});
  lags_far.ExhaustBudget();
  lags_far.Start();
  CHECK(lags_far.Answer(1, Verdict::kNotRun, Reason::kBehind, 95).endpoint == "a");
}

TEST_CASE(
    "a read whose required log position was lost in a promotion runs at the new primary without "
    "this requirement") {
  MachineFixture fixture(Operation::kRead, true, true, {1, 100});
  GroupState state = MakeGroup(2, "b");
  state.term_starts = {{1, 0}, {2, 50}};
  fixture.group.SetState(state);
  const RequestAction action = fixture.Start();
  CHECK(action.endpoint == "b");
  CHECK(action.required == LogPosition());
}

TEST_CASE("a request that cannot be sent to an owner goes to the next owner of the endpoint") {
  MachineFixture fixture(Operation::kWrite, false);
  fixture.ExhaustBudget();
  REQUIRE(fixture.Start().owner_index == 0);
  RequestAction action = fixture.machine.OnSendFailed(1, false, fixture.Context());
  CHECK(action.owner_index == 1);
  action = fixture.Answer(2, Verdict::kNotRun, Reason::kNotOwner);
  CHECK(action.owner_index == 2);
  action = fixture.machine.OnSendFailed(3, false, fixture.Context());
  CHECK(action.kind == Kind::kWait);
}

TEST_CASE(
    "a request that all suitable endpoints refuse as overloaded is answered immediately, without "
    "a backoff") {
  MachineFixture write(Operation::kWrite);
  write.Start();
  CHECK(write.Answer(1, Verdict::kNotRun, Reason::kOverloaded).kind == Kind::kAnswer);
  MachineFixture read(Operation::kRead);
  read.Start();
  RequestAction action = read.Answer(1, Verdict::kNotRun, Reason::kOverloaded);
  REQUIRE(action.kind == Kind::kSend);
  action = read.Answer(2, Verdict::kNotRun, Reason::kOverloaded);
  REQUIRE(action.endpoint == "a");
  CHECK(read.Answer(3, Verdict::kNotRun, Reason::kOverloaded).result.reason == Reason::kOverloaded);
}

TEST_CASE(
    "a read that an endpoint does not answer is sent to another endpoint after half of the time to "
    "the read's deadline") {
  MachineFixture fixture(Operation::kRead);
  RequestAction action = fixture.Start();
  const std::string first = action.endpoint;
  action = fixture.TimerAt(action.until);
  REQUIRE(action.kind == Kind::kSend);
  CHECK(action.endpoint != first);
}

/// Runs a request with random answers, failures, timers and promotions until it is finished, and
/// compares its verdict with the answers to all attempts.
void CheckRandomRun(const std::vector<uint16_t>& steps,
                    Operation operation,
                    bool repeatable,
                    bool records_ids) {
  MachineFixture fixture(operation, repeatable, records_ids);
  const bool is_read = operation == Operation::kRead;
  const bool may_repeat = is_read || (operation == Operation::kWrite && repeatable && records_ids);
  // Verdict by attempt; kMayHaveRun until an answer to the attempt says otherwise.
  std::map<int, Verdict> attempts;
  uint64_t term = 1;
  int sends = 0;
  RequestAction action = fixture.Start();
  for (size_t i = 0; action.kind != Kind::kAnswer; ++i) {
    const uint16_t step = i < steps.size() ? steps[i] : 0;
    if (action.kind == Kind::kSend) {
      const bool unresolved = std::any_of(attempts.begin(), attempts.end(), [](const auto& each) {
        return each.second == Verdict::kMayHaveRun;
      });
      RC_ASSERT(may_repeat || !unresolved);
      attempts[action.attempt] = Verdict::kMayHaveRun;
      ++sends;
    }
    const int attempt = attempts.empty() ? 0 : 1 + step / 8 % static_cast<int>(attempts.size());
    fixture.now += step % 16;
    if (step % 8 == 1) {
      fixture.group.SetState(MakeGroup(++term, step % 64 < 48 ? "b" : ""));
      action = fixture.TimerAt(At(fixture.now));
    } else if (step % 8 < 3 || attempt == 0) {
      action = fixture.TimerAt(std::max(action.until, At(fixture.now)));
    } else if (step % 8 == 3) {
      attempts[attempt] =
          attempts[attempt] == Verdict::kNotRun ? Verdict::kNotRun : Verdict::kMayHaveRun;
      action = fixture.machine.OnSendFailed(attempt, true, fixture.Context());
    } else if (step % 8 < 7) {
      const Reason reason = kReasonNames.rows[1 + step / 8 % (kReasonNames.rows.size() - 1)].first;
      attempts[attempt] = Verdict::kNotRun;
      action = fixture.Answer(attempt, Verdict::kNotRun, reason, step % 3 * 50);
      if (reason == Reason::kRequestIdReused && action.kind == Kind::kAnswer) {
        return;  // The answer proves that no attempt ran, whatever `attempts` says.
      }
    } else {
      attempts[attempt] = Verdict::kRan;
      action = fixture.Answer(attempt, Verdict::kRan, Reason::kNone);
    }
    RC_ASSERT(i < steps.size() + 1000);  // The deadline must end the request.
  }
  Verdict expected = Verdict::kNotRun;
  for (const auto& [attempt, verdict] : attempts) {
    expected = expected == Verdict::kRan || verdict == Verdict::kNotRun ? expected : verdict;
  }
  RC_ASSERT(action.result.verdict == expected);
  RC_ASSERT(fixture.machine.Attempts() == sends);
}

TEST_CASE("the verdict of a request never claims more than the answers to its attempts prove") {
  CHECK(rc::check(
      "random runs", [](const std::vector<uint16_t>& steps, bool repeatable, bool records_ids) {
        for (Operation operation : {Operation::kRead, Operation::kWrite, Operation::kCommit}) {
          CheckRandomRun(steps, operation, repeatable, records_ids);
        }
      }));
}

}  // namespace
}  // namespace poplarmoor
