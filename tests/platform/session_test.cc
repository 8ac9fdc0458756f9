#include <utility>

#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <limits>

#include "session/boot_clock.h"
#include "session/cluster.h"
#include "session/takeover_claim.h"
#include "tests/platform/session_caller.h"
#include "tests/platform/session_fixture.h"

namespace poplarmoor::platform {
namespace {

namespace asio = boost::asio;

using Fixture = SessionFixture;
using Caller = SessionCaller;

TEST_CASE(
    "when two sessions use the same names for session values and prepared statements, each session "
    "gets its own values and statements") {
  Fixture fixture;
  Caller one(&fixture, "orders");
  Caller two(&fixture, "orders");
  CHECK(one.Receive().empty());
  CHECK(two.Receive().empty());
  one.Query("SET role clerk");
  two.Query("SET role manager");
  one.Query("PREPARE s READ alpha");
  two.Query("PREPARE s READ beta");
  for (int round = 0; round < 5; ++round) {
    CHECK(one.Query("EXECUTE s 1").find("COMPLETE signed.") != std::string::npos);
    CHECK(two.Query("EXECUTE s 1").find("COMPLETE signed.") != std::string::npos);
  }
  REQUIRE(fixture.group.executed.size() == 10);
  for (size_t i = 0; i < 10; ++i) {
    const ExecutedStatement& statement = fixture.group.executed[i];
    CHECK(statement.values.at("role") == (i % 2 == 0 ? "clerk" : "manager"));
    CHECK(statement.text.starts_with(i % 2 == 0 ? "READ alpha" : "READ beta"));
  }
}

TEST_CASE(
    "reads that must run at the primary never run at an endpoint that is no longer the primary") {
  Fixture fixture;
  Caller caller(&fixture, "orders");
  caller.Receive();
  CHECK(caller.Query("READ 1").starts_with("ROW data"));
  fixture.group.primary = "b";
  ++fixture.group.term;
  fixture.takeover_controller.Start();
  CHECK(caller.Query("READ 2").starts_with("ROW data"));
  for (const ExecutedStatement& statement : fixture.group.executed) {
    CHECK(statement.as_primary);
  }
}

TEST_CASE(
    "a read with a staleness bound runs at a replica, or at the primary if all replicas lag too "
    "far") {
  Fixture fixture;
  Caller caller(&fixture, "lookups");
  caller.Receive();
  caller.Query("READ 0");  // The first read records the log position that later reads require.
  CHECK(caller.Query("READ 1").starts_with("ROW data"));
  CHECK_FALSE(fixture.group.executed.back().as_primary);
  fixture.endpoints[1]->refuses_demanded_positions = true;
  fixture.endpoints[2]->refuses_demanded_positions = true;
  CHECK(caller.Query("READ 2").starts_with("ROW data"));
  CHECK(fixture.group.executed.back().as_primary);
}

TEST_CASE(
    "a caller's transaction runs on one connection to the endpoint and is rolled back when the "
    "caller disconnects") {
  Fixture fixture;
  Caller caller(&fixture, "counts");
  caller.Receive();
  caller.Query("BEGIN");
  CHECK(caller.state == "T");
  caller.Query("WRITE 1 x");
  caller.Query("READ 1");
  CHECK(caller.state == "T");
  CHECK(fixture.group.executed.size() == 2);
  CHECK(fixture.group.executed[0].in_transaction);
  CHECK(fixture.group.executed[1].in_transaction);
  caller.Close();
  fixture.RunUntil([&] { return fixture.endpoints[0]->rolled_back == 1; });
  CHECK(fixture.group.executed.size() == 2);
}

TEST_CASE(
    "a write whose answer is lost is reported as in doubt and is not repeated; a read whose answer "
    "is lost is repeated at another endpoint") {
  Fixture fixture;
  Caller caller(&fixture, "counts");
  caller.Receive();
  fixture.endpoints[0]->cut_answers = {"WRITE"};
  CHECK(caller.Query("WRITE 1 x").starts_with("ERROR INDOUBT"));
  CHECK(fixture.group.executed.size() == 1);
  CHECK(caller.Query("READ 1").starts_with("ROW data"));
  fixture.endpoints[1]->cut_answers = {"WAITPOS"};
  fixture.endpoints[2]->cut_answers = {"WAITPOS"};
  CHECK(caller.Query("READ 2").starts_with("ROW data"));
}

TEST_CASE(
    "a commit whose connection is lost is reported as in doubt; a transaction whose connection is "
    "lost before the commit is aborted") {
  Fixture fixture;
  Caller caller(&fixture, "counts");
  caller.Receive();
  caller.Query("BEGIN");
  caller.Query("WRITE 1 x");
  fixture.endpoints[0]->cut_answers = {"COMMIT"};
  CHECK(caller.Query("COMMIT").starts_with("ERROR INDOUBT"));
  CHECK(caller.state == "I");
  caller.Query("BEGIN");
  caller.Query("WRITE 1 x");
  fixture.endpoints[0]->cut_answers = {"READ"};
  CHECK(caller.Query("READ 1").starts_with("ERROR ABORTED"));
  CHECK(caller.state == "E");
  CHECK(caller.Query("READ 1").starts_with("ERROR MALFORMED"));
  CHECK(caller.Query("ROLLBACK").starts_with("COMPLETE -"));
  CHECK(caller.state == "I");
}

TEST_CASE(
    "a crashed primary is replaced, and a write that has waited for the new primary runs there "
    "exactly once") {
  Fixture fixture;
  fixture.takeover_controller.Start();
  Caller caller(&fixture, "orders");
  caller.Receive();
  CHECK(caller.Query("WRITE 1 x").starts_with("COMPLETE signed."));
  fixture.endpoints[0]->Crash();
  fixture.group.primary.clear();
  CHECK(caller.Query("WRITE 2 y").starts_with("COMPLETE signed."));
  REQUIRE(fixture.promotions.tokens.size() == 1);
  CHECK(fixture.group.executed.size() == 2);
  // Only one of the two replicas was paused: the one that was not promoted.
  CHECK((fixture.endpoints[1]->active_pause_term != 0) !=
        (fixture.endpoints[2]->active_pause_term != 0));
}

TEST_CASE(
    "a daemon waits before it repeats a promotion request that has failed immediately, and the "
    "replica that the takeover has paused stays paused meanwhile") {
  Fixture fixture;
  fixture.promotions.unanswered_orders = 1000000;
  fixture.takeover_controller.Start();
  fixture.endpoints[0]->Crash();
  fixture.group.primary.clear();
  fixture.cluster.FindEndpoint("p")->suspected = true;
  fixture.RunUntil([&] { return !fixture.promotions.tokens.empty(); });
  const TimePoint limit = BootNow() + 1s;
  while (BootNow() < limit) {
    fixture.context.run_one_for(std::chrono::milliseconds(20));
  }
  CHECK(fixture.promotions.tokens.size() <= 11);  // At most one request per 100 ms, for 1 s.
  CHECK((fixture.endpoints[1]->active_pause_term != 0) !=
        (fixture.endpoints[2]->active_pause_term != 0));
  fixture.promotions.unanswered_orders = 0;
  fixture.RunUntil([&] { return !fixture.group.primary.empty(); });
  for (const uint64_t token : fixture.promotions.tokens) {
    CHECK(token == fixture.promotions.tokens.front());
  }
}

// Guards against a daemon that was frozen or cut off from the store during a takeover: when it goes
// on, its orders would undo the pause that the next takeover relies on, and acknowledged commits
// would be lost.
TEST_CASE(
    "a daemon that gives up a takeover lets the paused replicas resume only if no other daemon has "
    "claimed the takeover meanwhile") {
  const bool superseded = GENERATE(false, true);
  Fixture fixture;
  fixture.promotions.on_refusal = [&fixture, superseded] {
    if (superseded) {
      TakeoverClaim newer;
      newer.service = "ledger";
      newer.phase = TakeoverPhase::kClaimed;
      newer.holder = "d2";
      newer.nonce = 99;
      fixture.store.kinds[kTakeoverKind]["ledger"] = {"ledger", fixture.store.NextRevision(),
                                                      EncodeTakeoverClaim(newer), false};
    }
  };
  const auto paused = [&fixture] {
    return fixture.endpoints[1]->active_pause_term != 0 ||
           fixture.endpoints[2]->active_pause_term != 0;
  };
  fixture.takeover_controller.Start();
  fixture.LosePrimary();
  fixture.RunUntil([&] { return !fixture.promotions.tokens.empty(); });
  REQUIRE(paused());
  const ServiceGroup* group = fixture.cluster.FindGroup("ledger");
  fixture.RunUntil([&] { return !group->taking_over; });
  CHECK(paused() == superseded);
}

TEST_CASE(
    "when an endpoint has reached its connection limit, a daemon waits longer before each further "
    "attempt to connect to the endpoint") {
  // After a power failure that hits several daemons, the endpoint still has the connections of the
  // daemons that are gone. If the other daemons tried to connect without pauses, the endpoint would
  // spend its slots on refusals.
  Fixture fixture;
  fixture.endpoints[0]->max_connections = 0;
  DatabaseRoute route;
  route.service = "ledger";
  route.statement_timeout = 400ms;
  StatementJob job;
  job.text = "WRITE 1 x";
  job.writes = true;
  job.route = &route;
  job.arrived = BootNow();
  job.deadline = job.arrived + route.statement_timeout;
  SessionState state;
  std::optional<StatementAnswer> answer;
  asio::co_spawn(fixture.context, fixture.runner.Run(job, &state),
                 [&](std::exception_ptr, StatementAnswer result) { answer = result; });
  fixture.RunUntil([&] { return answer.has_value(); });
  CHECK(answer->error == StatementError::kOverloaded);
  // At most five attempts fit into 400 ms with the pauses of 25, 50, 100 and 200 ms between them.
  CHECK(fixture.endpoints[0]->opened <= 5);
  fixture.endpoints[0]->max_connections = 10;
  job.arrived = BootNow();
  job.deadline = job.arrived + 20s;
  answer.reset();
  asio::co_spawn(fixture.context, fixture.runner.Run(job, &state),
                 [&](std::exception_ptr, StatementAnswer result) { answer = result; });
  fixture.RunUntil([&] { return answer.has_value(); });
  CHECK_FALSE(answer->error);
}

// Guards against a daemon that crashes on a write to a service of which it knows no endpoint yet.
TEST_CASE("a write to a service without known endpoints is refused as not run") {
  Fixture fixture;
  RouteTable table = fixture.cluster.routes();
  ++table.version;
  table.services["empty"] = {"empty", 40, 1};
  table.routes["new"] = table.routes["orders"];
  table.routes["new"].name = table.routes["new"].database = "new";
  table.routes["new"].service = "empty";
  table.routes["new"].statement_timeout = 300ms;
  fixture.cluster.ApplyRoutes(table);
  Caller caller(&fixture, "new");
  caller.Receive();
  CHECK(caller.Query("WRITE 1 a").starts_with("ERROR BUSY"));
  CHECK(caller.Query("READ 1").starts_with("ERROR BUSY"));
  CHECK(caller.Query("BEGIN").starts_with("COMPLETE"));
  CHECK(caller.Query("WRITE 1 a").starts_with("ERROR BUSY"));
}

TEST_CASE(
    "invalid input from a caller is answered with an error or closes the caller's session, and "
    "other sessions are not affected") {
  Fixture fixture;
  Caller unknown(&fixture, "nothing");
  CHECK(unknown.Receive().starts_with("ERROR UNKDB"));
  Caller caller(&fixture, "orders");
  caller.Receive();
  CHECK(caller.Query("DROP everything").starts_with("ERROR MALFORMED"));
  CHECK(caller.Query("EXECUTE nothing 1").starts_with("ERROR UNKSTMT"));
  CHECK(caller.Query("COMMIT").starts_with("ERROR MALFORMED"));
  Caller oversized(&fixture, "orders");
  oversized.Receive();
  oversized.socket.non_blocking(true);
  const std::string block(1 << 16, 'x');
  size_t sent = 0;
  fixture.RunUntil([&] {
    boost::system::error_code error;
    sent += oversized.socket.write_some(asio::buffer(block), error);
    return sent > (1 << 20) + 100 || (error && error != asio::error::would_block);
  });
  CHECK(oversized.Receive().starts_with("ERROR OVERSIZE"));
  Caller partial(&fixture, "orders");
  partial.Receive();
  asio::write(partial.socket, asio::buffer(std::string("QUERY q1 REA")));
  partial.Close();
  CHECK(caller.Query("READ 1").starts_with("ROW data"));
}

// Guards against a single message that ends the whole process because of a defect.
TEST_CASE("an unexpected error in one caller's session ends only this session") {
  Fixture fixture;
  Caller broken(&fixture, "orders");
  Caller other(&fixture, "orders");
  CHECK(broken.Receive().empty());
  CHECK(other.Receive().empty());
  CHECK(broken.Query(std::string("READ ") + std::string(DefectiveCodec::kTrigger)).empty());
  CHECK(other.Query("READ 1").starts_with("ROW data"));
  CHECK(fixture.server.size() == 1);
}

TEST_CASE(
    "many open sessions whose callers send no statements occupy no connections to endpoints") {
  Fixture fixture;
  std::vector<std::unique_ptr<Caller>> callers;
  for (int i = 0; i < 90; ++i) {
    callers.push_back(std::make_unique<Caller>(&fixture, "orders"));
    callers.back()->Receive();
  }
  CHECK(fixture.server.size() == 90);
  CHECK(fixture.endpoints[0]->opened == 0);
}

TEST_CASE(
    "a daemon that is stopping closes idle sessions but lets a caller finish an open transaction") {
  Fixture fixture;
  Caller idle(&fixture, "orders");
  Caller busy(&fixture, "orders");
  idle.Receive();
  busy.Receive();
  busy.Query("BEGIN");
  busy.Query("WRITE 1 x");
  fixture.server.Drain(TimePoint::max());
  fixture.RunUntil([&] { return fixture.server.size() == 1; });
  CHECK(busy.Query("COMMIT").starts_with("COMPLETE signed."));
  fixture.RunUntil([&] { return fixture.server.size() == 0; });
}

// Guards against a planned stop that lets a busy transaction go on until the process ends and cuts
// its last statement off.
TEST_CASE(
    "when open transactions are ended, one with a running statement ends after the answer to this "
    "statement") {
  Fixture fixture;
  fixture.RaiseTimeLimits();
  Caller busy(&fixture, "orders");
  busy.Receive();
  busy.Query("BEGIN");
  busy.Query("READ 1");
  FakeLineEndpoint& primary = *fixture.endpoints[0];
  primary.holds_answers = true;
  busy.Send("QUERY running READ 2");
  fixture.RunUntil([&] { return fixture.group.executed.back().id == "running"; });
  fixture.server.Drain(TimePoint::max());
  fixture.server.EndTransactions();
  primary.holds_answers = false;
  CHECK(busy.Receive().find("COMPLETE signed.running") != std::string::npos);
  fixture.RunUntil([&] { return primary.rolled_back == 1; });
  CHECK(busy.Query("READ 3").starts_with("ERROR ABORTED"));
  CHECK(fixture.group.executed.back().id == "running");
  busy.Query("ROLLBACK");
  fixture.RunUntil([&] { return fixture.server.size() == 0; });
}

// Guards against a request that still waits for a primary when a stopping process ends.
TEST_CASE("a request that reaches a stopping daemon is answered before the daemon ends") {
  Fixture fixture;
  Caller caller(&fixture, "orders");
  caller.Receive();
  fixture.RaiseTimeLimits();
  caller.Query("BEGIN");
  fixture.endpoints[0]->max_connections = 0;
  fixture.server.Drain(BootNow() + 200ms);
  CHECK(caller.Query("WRITE 1 x").starts_with("ERROR BUSY"));
}

// Guards against the loss of acknowledged commits: the registry drops an endpoint that it cannot
// hear, and that endpoint may be the only one with the latest commits.
TEST_CASE(
    "when the registry has dropped the only replica with the latest commits, no other replica is "
    "promoted until that replica answers") {
  Fixture fixture;
  FakeLineEndpoint& behind = *fixture.endpoints[1];
  FakeLineEndpoint& dropped = *fixture.endpoints[2];
  behind.lag = 5;
  dropped.max_connections = 0;
  fixture.takeover_controller.Start();
  fixture.cluster.MarkEndpointMissing("b");
  const ServiceGroup* group = fixture.cluster.FindGroup("ledger");
  fixture.RunUntil(
      [&] { return !group->members.contains("b") || group->members.at("b")->departed; });
  fixture.LosePrimary();
  const auto phase = [&] {
    const auto stored = fixture.store.kinds[kTakeoverKind].find("ledger");
    return stored == fixture.store.kinds[kTakeoverKind].end()
               ? TakeoverPhase::kNone
               : DecodeTakeoverClaim(stored->second.value, {0, 1}).phase;
  };
  // The takeover gives up because the log of endpoint b is unknown.
  fixture.RunUntil([&] {
    return phase() == TakeoverPhase::kAbandoned || !fixture.promotions.endpoints.empty();
  });
  CHECK(fixture.promotions.endpoints.empty());
  dropped.max_connections = 1000;
  fixture.Register(dropped);
  fixture.RunUntil([&] { return !fixture.promotions.endpoints.empty(); });
  CHECK(fixture.promotions.endpoints.front() == "b");
}

// Guards against the loss of acknowledged commits when a daemon restarts during a takeover: it
// finds only the endpoints that the registry has at that time.
TEST_CASE("a daemon compares the members that an earlier takeover of the service has named") {
  Fixture fixture;
  TakeoverClaim claim;
  claim.service = "ledger";
  claim.phase = TakeoverPhase::kClaimed;
  claim.holder = "d2";
  claim.members = {{"a", "127.0.0.1:1", "fd1"}, {"gone", "127.0.0.1:1", "fd2"}};
  const TakeoverClaim read = DecodeTakeoverClaim(EncodeTakeoverClaim(claim), {0, 7});
  fixture.cluster.ApplyClaim(read);
  const auto& members = fixture.cluster.FindGroup("ledger")->members;
  REQUIRE(members.contains("gone"));
  CHECK(members.at("gone")->departed);
  CHECK_FALSE(members.at("a")->departed);
  CHECK(members.at("a")->record().address == fixture.endpoints[1]->address());
  for (const auto& pool :
       fixture.cluster.FindGroup("ledger")->EndpointsForRead("fd1", Duration::max())) {
    CHECK(pool->record().id != "gone");
  }
}

// Guards against the loss of commits that a leaving primary acknowledges through a replica which
// joins after the takeover has paused the others, while the platform carries out the promotion.
TEST_CASE("replicas that join or restart during a promotion are paused until it has ended") {
  Fixture fixture;
  fixture.promotions.unanswered_orders = std::numeric_limits<int>::max();
  fixture.takeover_controller.Start();
  fixture.AnnouncePrimaryLeaves();
  fixture.RunUntil([&] { return !fixture.promotions.endpoints.empty(); });
  const bool promotes_a = fixture.promotions.endpoints.front() == "a";
  FakeLineEndpoint& candidate = *fixture.endpoints[promotes_a ? 1 : 2];
  FakeLineEndpoint& other = *fixture.endpoints[promotes_a ? 2 : 1];
  CHECK(candidate.active_pause_term == 0);
  FakeLineEndpoint& joined = fixture.Join("c");
  fixture.RunUntil([&] { return joined.active_pause_term == 2; });
  other.active_pause_term = 0;  // A restart ends the pause.
  fixture.RunUntil([&] { return other.active_pause_term == 2; });
  CHECK(candidate.active_pause_term == 0);
  fixture.promotions.unanswered_orders = 0;
  const ServiceGroup* group = fixture.cluster.FindGroup("ledger");
  fixture.RunUntil([&] { return group->Primary()->record().id == candidate.id; });
  fixture.RunUntil([&] { return !group->taking_over; });
}

// Guards against a promotion that is ordered although a replica has joined since the comparison.
TEST_CASE("a takeover compares the log of a replica that joins while the others are paused") {
  Fixture fixture;
  fixture.endpoints[1]->lag = 1;
  fixture.endpoints[2]->lag = 1;
  fixture.takeover_controller.Start();
  FakeLineEndpoint* joined = nullptr;
  fixture.endpoints[2]->on_pause = [&] { joined = &fixture.Join("c"); };
  fixture.LosePrimary();
  fixture.RunUntil([&] { return !fixture.promotions.endpoints.empty(); });
  REQUIRE(joined != nullptr);
  CHECK(fixture.promotions.endpoints.front() == "c");
}

// Guards against a service that waits for ever after a restart of all daemons: the claim of an
// earlier takeover went on naming an endpoint that all daemons had forgotten.
TEST_CASE("the store's record of a group no longer names a member that was forgotten") {
  Fixture fixture;
  TakeoverClaim claim;
  claim.service = "ledger";
  claim.phase = TakeoverPhase::kOrdered;
  claim.holder = "d2";
  claim.nonce = 7;
  for (const auto& endpoint : fixture.endpoints) {
    claim.members.push_back({endpoint->id, endpoint->address(), "fd1"});
  }
  claim.members.push_back({"gone", "127.0.0.1:1", "fd2"});
  claim.revision = fixture.store.NextRevision();
  fixture.store.kinds[kTakeoverKind]["ledger"] = {"ledger", claim.revision,
                                                  EncodeTakeoverClaim(claim), false};
  fixture.cluster.ApplyClaim(claim);
  fixture.takeover_controller.Start();
  const auto stored = [&] {
    return DecodeTakeoverClaim(fixture.store.kinds[kTakeoverKind]["ledger"].value, {0, 1});
  };
  fixture.RunUntil([&] { return stored().members.size() == 3; });
  CHECK(stored().nonce == 7);
  CHECK(stored().phase == TakeoverPhase::kOrdered);
  // A daemon that starts now promotes one of the two replicas when the primary is gone for good.
  Fixture restarted;
  restarted.group.primary.clear();
  claim = stored();
  claim.members[2].address = "127.0.0.1:1";
  REQUIRE(claim.members[2].id == "p");
  claim.revision = {0, 1000};
  restarted.cluster.FindGroup("ledger")->members.erase("p");
  restarted.cluster.FindGroup("ledger")->old_primary.clear();
  restarted.store.kinds[kTakeoverKind]["ledger"] = {"ledger", claim.revision,
                                                    EncodeTakeoverClaim(claim), false};
  restarted.store.revision = claim.revision.number;
  restarted.cluster.ApplyClaim(claim);
  restarted.takeover_controller.Start();
  restarted.RunUntil([&] { return !restarted.promotions.endpoints.empty(); });
  CHECK(restarted.promotions.endpoints.front() != "p");
}

// Guards against the loss of commits by a daemon that starts while the registry lacks the primary
// and the only replica with the latest commits, before the first takeover of the service.
TEST_CASE("a daemon that starts with a partial registry compares all members on record") {
  Fixture fixture;
  fixture.takeover_controller.Start();
  const auto& records = fixture.store.kinds[kTakeoverKind];
  fixture.RunUntil([&] { return records.contains("ledger"); });
  const uint64_t recorded_at = records.at("ledger").revision.number;
  Fixture restarted;
  restarted.store.kinds[kTakeoverKind] = records;
  restarted.store.revision = recorded_at;
  TakeoverClaim claim = DecodeTakeoverClaim(records.at("ledger").value, {0, recorded_at});
  REQUIRE(claim.members.size() == 3);
  CHECK(claim.phase == TakeoverPhase::kNone);
  for (size_t i = 0; i < claim.members.size(); ++i) {
    claim.members[i].address = "127.0.0.1:1";
  }
  restarted.store.kinds[kTakeoverKind]["ledger"].value = EncodeTakeoverClaim(claim);
  ServiceGroup* group = restarted.cluster.FindGroup("ledger");
  group->members.erase("p");
  group->members.erase("b");
  group->old_primary.clear();
  restarted.group.primary.clear();
  restarted.endpoints[1]->lag = 5;
  // This daemon has not read the record yet; it does so when it fails to claim the takeover.
  restarted.takeover_controller.Start();
  const auto abandoned = [&] {
    const std::string& text = restarted.store.kinds[kTakeoverKind]["ledger"].value;
    return DecodeTakeoverClaim(text, {0, 1}).phase == TakeoverPhase::kAbandoned;
  };
  restarted.RunUntil([&] { return abandoned() || !restarted.promotions.endpoints.empty(); });
  CHECK(restarted.promotions.endpoints.empty());
  // The replica with the commits is back; the primary is gone for good.
  restarted.Register(*restarted.endpoints[2]);
  restarted.RunUntil([&] { return !restarted.promotions.endpoints.empty(); });
  CHECK(restarted.promotions.endpoints.front() == "b");
  // The members are on record, so that a calm fleet makes no further store calls.
  for (const TimePoint end = BootNow() + 1s; BootNow() < end;) {
    fixture.context.run_one_for(std::chrono::milliseconds(20));
  }
  CHECK(records.at("ledger").revision.number == recorded_at);
}

// Guards against a service without a primary for ever: a former primary that was not promoted when
// it came back without its log answers, so that no daemon saw it as down.
TEST_CASE("a former primary that answers as a replica is replaced") {
  Fixture fixture;
  fixture.endpoints[0]->lag = fixture.group.index;
  fixture.group.primary.clear();
  fixture.cluster.FindGroup("ledger")->ClearPrimary("p", "test");
  fixture.takeover_controller.Start();
  fixture.RunUntil([&] { return !fixture.promotions.endpoints.empty(); });
  CHECK(fixture.promotions.endpoints.front() != "p");
}

// Guards against statements that reach a primary after the drain bound because the platform does
// not carry out the promotion of another one.
TEST_CASE("a leaving primary gets no statements once its drain bound is near") {
  Fixture fixture;
  fixture.RaiseTimeLimits();
  fixture.cluster.SetDrainBound(1h);
  fixture.promotions.unanswered_orders = std::numeric_limits<int>::max();
  Caller caller(&fixture, "orders");
  Caller busy(&fixture, "orders");
  caller.Receive();
  busy.Receive();
  busy.Query("BEGIN");
  busy.Query("WRITE 1 x");
  fixture.takeover_controller.Start();
  fixture.AnnouncePrimaryLeaves();
  CHECK(caller.Query("WRITE 2 x").starts_with("COMPLETE signed."));
  fixture.cluster.SetDrainBound(1s);
  const ServiceGroup* group = fixture.cluster.FindGroup("ledger");
  fixture.RunUntil([&] { return group->Primary() == nullptr; });
  const size_t executed = fixture.group.executed.size();
  fixture.AnnouncePrimaryLeaves();  // Endpoints report themselves at intervals.
  CHECK(caller.Query("WRITE 3 x").starts_with("ERROR BUSY"));
  CHECK(caller.Query("READ 3").starts_with("ERROR BUSY"));
  CHECK(busy.Query("WRITE 4 x").starts_with("ERROR ABORTED"));
  CHECK(fixture.group.executed.size() == executed);
  CHECK(group->Primary() == nullptr);
  fixture.promotions.unanswered_orders = 0;
  fixture.RunUntil([&] { return group->Primary() != nullptr; });
  CHECK(caller.Query("WRITE 5 x").starts_with("COMPLETE signed."));
}

// Guards against reads that reach a replica after its drain bound because they waited for a
// connection to it.
TEST_CASE("a read that has waited until a replica's drain bound was near runs elsewhere") {
  Fixture fixture;
  fixture.RaiseTimeLimits();
  const auto pool = fixture.cluster.FindEndpoint("a");
  fixture.cluster.FindEndpoint("b")->avoid_until = BootNow() + 1h;
  pool->SetLimits(1, 1, 0);
  Caller busy(&fixture, "lookups");
  Caller caller(&fixture, "lookups");
  busy.Receive();
  caller.Receive();
  caller.Query("READ 0");  // A replica serves only once the primary's log position is known.
  fixture.RunUntil(
      [&] { return fixture.cluster.FindGroup("ledger")->freshness.Newest().has_value(); });
  busy.Query("BEGIN READ");
  REQUIRE(busy.Query("READ 1").starts_with("ROW"));
  REQUIRE(pool->busy() == 1);
  caller.Send("QUERY w READ 2");
  fixture.RunUntil([&] { return pool->busy() == 2; });
  EndpointRecord record = pool->record();
  record.leaving = true;
  record.revision = fixture.store.NextRevision();
  fixture.cluster.SetDrainBound(Duration{});
  fixture.cluster.ApplyEndpoint(record);
  CHECK(busy.Query("READ 3").starts_with("ROW"));
  busy.Query("ROLLBACK");
  CHECK(caller.Receive().starts_with("ROW"));
  REQUIRE(fixture.group.executed.back().id == "w");
  CHECK(fixture.group.executed.back().as_primary);
}

// Guards against statements that reach an endpoint after its drain bound: its registry entry
// expires while the store is down or the endpoint is cut off from it, and comes back.
TEST_CASE("the drain bound of an endpoint does not start anew when its registry entry comes back") {
  Fixture fixture;
  fixture.cluster.SetDrainBound(1h);
  fixture.AnnouncePrimaryLeaves();
  const auto pool = fixture.cluster.FindEndpoint("p");
  EndpointRecord record = pool->record();
  fixture.cluster.MarkEndpointMissing("p");
  fixture.RunUntil([&] {
    fixture.cluster.RunMaintenance();
    return pool->departed;
  });
  SECTION("with a new revision") {
    record.revision = fixture.store.NextRevision();
  }
  SECTION("with the revision that it had") {}
  fixture.cluster.ApplyEndpoint(record);
  CHECK(fixture.cluster.TakesStatements(*pool));
  ServiceGroup* group = fixture.cluster.FindGroup("ledger");
  group->SetPrimary("p", 0, "test");
  REQUIRE(group->Primary() == pool);
  fixture.cluster.SetDrainBound(2500ms);  // The entry was missing for a longer time.
  CHECK_FALSE(fixture.cluster.TakesStatements(*pool));
  fixture.cluster.RunMaintenance();
  CHECK(group->Primary() == nullptr);
}

// Guards against statements that reach an endpoint after its drain bound because this daemon was
// cut off from the registry when the endpoint announced its end.
TEST_CASE("the drain bound of an endpoint counts from when it may have announced its end") {
  Fixture fixture;
  fixture.cluster.SetDrainBound(1h);
  const auto pool = fixture.cluster.FindEndpoint("p");
  EndpointRecord record = pool->record();
  record.leaving = true;
  record.revision = fixture.store.NextRevision();
  fixture.cluster.ApplyEndpoint(record, BootNow() - 1h);
  CHECK_FALSE(fixture.cluster.TakesStatements(*pool));
  fixture.cluster.RunMaintenance();
  CHECK(fixture.cluster.FindGroup("ledger")->Primary() == nullptr);
}

// Guards against takeovers that wait for an endpoint that has left for good.
TEST_CASE("a replica that has left is forgotten once the other replicas have the primary's log") {
  Fixture fixture;
  fixture.takeover_controller.Start();
  fixture.endpoints[2]->Crash();
  fixture.cluster.MarkEndpointMissing("b");
  fixture.RunUntil([&] { return !fixture.cluster.FindGroup("ledger")->members.contains("b"); });
  fixture.LosePrimary();
  fixture.RunUntil([&] { return !fixture.promotions.endpoints.empty(); });
  CHECK(fixture.promotions.endpoints.front() == "a");
}

}  // namespace
}  // namespace poplarmoor::platform
