#include "session/commit_verifier.h"

#include <utility>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <optional>

#include "session/boot_clock.h"
#include "session/cluster.h"
#include "session/takeover_claim.h"
#include "tests/platform/session_caller.h"
#include "tests/platform/session_fixture.h"

namespace poplarmoor::platform {
namespace {

namespace asio = boost::asio;

// Time that a commit which is not to be confirmed is waited for.
constexpr Duration kShortWait = 100ms;

// SessionFixture whose endpoints p, a and b are on record in the store. The controller does not
// run, so that no takeover begins and endpoints that join are not recorded.
struct RecordedGroup : SessionFixture {
  RecordedGroup() {
    this->RaiseTimeLimits();
    this->Record(TakeoverPhase::kNone, {});
  }

  // Stores a claim of the daemon d2 and makes it known to this daemon.
  void Record(TakeoverPhase phase, std::vector<OrderedPromotion> ordered) {
    TakeoverClaim claim;
    claim.service = "ledger";
    claim.phase = phase;
    claim.holder = "d2";
    claim.nonce = 7;
    claim.endpoint = ordered.empty() ? "" : ordered.back().endpoint;
    claim.ordered = std::move(ordered);
    for (const char* id : {"p", "a", "b"}) {
      claim.members.push_back({id, this->cluster.FindEndpoint(id)->record().address, "fd1"});
    }
    claim.revision = this->store.NextRevision();
    this->store.kinds[kTakeoverKind]["ledger"] = {"ledger", claim.revision,
                                                  EncodeTakeoverClaim(claim), false};
    this->cluster.ApplyClaim(claim);
  }

  // Opens a connection to each member, and then notes that no takeover is in progress.
  void ConnectMembers() {
    size_t answered = 0;
    for (const auto& [id, pool] : this->ledger()->members) {
      asio::co_spawn(
          this->context, pool->QueryStatus(1h),
          [&answered](std::exception_ptr failure, EndpointReport) { answered += !failure; });
    }
    this->RunUntil([&] { return answered == this->ledger()->members.size(); });
    this->ledger()->NoteClaimVerified(BootNow());
  }

  CommitVerdict Verify(LogPosition position, Duration limit) {
    std::optional<CommitVerdict> verdict;
    asio::co_spawn(this->context, this->verifier.Verify(this->ledger(), "p", position, limit),
                   [&verdict](std::exception_ptr, CommitVerdict result) { verdict = result; });
    this->RunUntil([&] { return verdict.has_value(); });
    return *verdict;
  }

  // Waits until the daemon knows that the endpoint's log ends at the index or after it.
  void AwaitReport(const char* id, uint64_t index) {
    const auto pool = this->cluster.FindEndpoint(id);
    this->RunUntil([&] { return pool->last_report && pool->last_report->received.index >= index; });
  }

  bool HasExecuted(const std::string& text) const {
    return std::any_of(this->group.executed.begin(), this->group.executed.end(),
                       [&text](const auto& statement) { return statement.text == text; });
  }

  TakeoverClaim StoredClaim() {
    return DecodeTakeoverClaim(this->store.kinds[kTakeoverKind]["ledger"].value, {0, 1});
  }

  ServiceGroup* ledger() { return this->cluster.FindGroup("ledger"); }
  FakeLineEndpoint& a() { return *this->endpoints[1]; }
  FakeLineEndpoint& b() { return *this->endpoints[2]; }

  CommitVerifier verifier{&this->cluster};
};

// Guards against commits that only a replica has which no takeover compares (issue 37).
TEST_CASE("a commit that only an unrecorded replica has is in doubt until a recorded one has it") {
  const bool a_receives = GENERATE(false, true);
  RecordedGroup fixture;
  fixture.Join("c");
  fixture.a().lag = 1;
  fixture.b().lag = 1;
  fixture.ConnectMembers();
  SessionCaller caller(&fixture, "orders");
  caller.Receive();
  caller.Send("QUERY w1 WRITE 1 x");
  fixture.AwaitReport("a", 10);
  fixture.AwaitReport("b", 10);
  CHECK(fixture.HasExecuted("WRITE 1 x"));
  CHECK(fixture.Verify({1, 11}, kShortWait) == CommitVerdict::kUnknown);
  CHECK(caller.socket.available() == 0);
  (a_receives ? fixture.a() : fixture.b()).lag = 0;
  CHECK(caller.Receive().find("COMPLETE signed.w1") != std::string::npos);
}

// Guards against commits that the candidate lacks whose promotion was ordered (issue 37).
TEST_CASE("while a promotion may take place, a commit is in doubt until the candidate has it") {
  RecordedGroup fixture;
  fixture.a().lag = 1;
  fixture.ConnectMembers();
  fixture.Record(TakeoverPhase::kOrdered, {{"a", {1, 9}}});
  SessionCaller caller(&fixture, "orders");
  caller.Receive();
  caller.Send("QUERY w1 WRITE 1 x");
  fixture.AwaitReport("a", 10);
  fixture.AwaitReport("b", 11);
  CHECK(fixture.Verify({1, 11}, kShortWait) == CommitVerdict::kUnknown);
  CHECK(caller.socket.available() == 0);
  fixture.a().lag = 0;
  CHECK(caller.Receive().find("COMPLETE signed.w1") != std::string::npos);
  fixture.RunUntil([&] { return fixture.ledger()->unconfirmed.empty(); });
  // The next commit reaches only b before a begins to lead in a later term.
  fixture.a().lag = 1;
  caller.Send("QUERY w2 WRITE 2 x");
  fixture.AwaitReport("b", 12);
  CHECK(caller.socket.available() == 0);
  fixture.group.primary = "a";
  ++fixture.group.term;
  CHECK(caller.Receive().starts_with("ERROR INDOUBT"));
}

// Guards against commits that rest on a member whose restart has ended the pause of a takeover.
TEST_CASE(
    "a member that may have restarted counts once the claim was read or all have the commit") {
  const bool store_answers = GENERATE(false, true);
  RecordedGroup fixture;
  fixture.b().lag = 1;
  fixture.store.refuses_reads = true;
  // No connection to a or b is open yet, so that all are younger than this copy of the claim.
  fixture.ledger()->NoteClaimVerified(BootNow());
  SessionCaller caller(&fixture, "orders");
  caller.Receive();
  caller.Send("QUERY w1 WRITE 1 x");
  fixture.AwaitReport("a", 11);
  fixture.AwaitReport("b", 10);
  fixture.RunUntil([&] { return fixture.store.reads > 0; });
  CHECK(fixture.Verify({1, 11}, kShortWait) == CommitVerdict::kUnknown);
  CHECK(caller.socket.available() == 0);
  fixture.store.refuses_reads = !store_answers;
  fixture.b().lag = store_answers ? 1 : 0;
  CHECK(caller.Receive().find("COMPLETE signed.w1") != std::string::npos);
}

// Guards against a transaction whose commit only an unrecorded replica has (issue 37).
TEST_CASE("a transaction's commit is confirmed as a single write is") {
  RecordedGroup fixture;
  fixture.Join("c");
  fixture.a().lag = 1;
  fixture.b().lag = 1;
  fixture.ConnectMembers();
  SessionCaller caller(&fixture, "orders");
  caller.Receive();
  caller.Query("BEGIN");
  caller.Query("WRITE 1 x");
  caller.Send("QUERY c1 COMMIT");
  fixture.AwaitReport("a", 11);
  fixture.AwaitReport("b", 11);
  CHECK(fixture.HasExecuted("COMMIT"));
  CHECK(fixture.Verify({1, 12}, kShortWait) == CommitVerdict::kUnknown);
  CHECK(caller.socket.available() == 0);
  SECTION("it is acknowledged once a recorded replica has it") {
    fixture.a().lag = 0;
    CHECK(caller.Receive().find("COMPLETE signed.c1") != std::string::npos);
  }
  SECTION("it is in doubt after a later term has begun") {
    ++fixture.group.term;
    CHECK(caller.Receive().starts_with("ERROR INDOUBT"));
  }
  CHECK(caller.state == "I");
}

// Guards against further commits in doubt while the members do not receive the primary's log.
TEST_CASE("while commits are stalled, a COMMIT is aborted and a write is refused as not run") {
  RecordedGroup fixture;
  fixture.ConnectMembers();
  SessionCaller open(&fixture, "orders");
  open.Receive();
  open.Query("BEGIN");
  open.Query("WRITE 1 x");
  fixture.a().lag = 1;
  fixture.b().lag = 1;
  SessionCaller stalled(&fixture, "orders");
  stalled.Receive();
  stalled.Send("QUERY w2 WRITE 2 x");
  fixture.RunUntil([&] { return fixture.ledger()->ExpectedCommitStall() == Duration::max(); });
  CHECK(open.Query("COMMIT").starts_with("ERROR ABORTED"));
  CHECK(open.state == "I");
  SessionCaller refused(&fixture, "orders");
  refused.Receive();
  CHECK(refused.Query("WRITE 3 x").starts_with("ERROR BUSY"));
  fixture.RunUntil([&] { return fixture.endpoints[0]->rolled_back == 1; });
  CHECK(fixture.HasExecuted("WRITE 2 x"));
  CHECK_FALSE(fixture.HasExecuted("COMMIT"));
  CHECK_FALSE(fixture.HasExecuted("WRITE 3 x"));
  CHECK(fixture.group.index == 12);
  // Once the commit is confirmed, writes are served again.
  fixture.a().lag = 0;
  CHECK(stalled.Receive().find("COMPLETE signed.w2") != std::string::npos);
  CHECK(refused.Query("WRITE 4 x").find("COMPLETE signed.") != std::string::npos);
}

// Guards against an order without an answer that is carried out after its takeover was given up.
TEST_CASE("after an unanswered order, a refused one is followed by a newer claim's order") {
  RecordedGroup fixture;
  std::vector<std::string> recorded;
  std::vector<bool> paused;
  fixture.promotions.unanswered_orders = 1;
  fixture.promotions.on_order = [&] {
    const TakeoverClaim claim = fixture.StoredClaim();
    const bool names = claim.phase == TakeoverPhase::kOrdered && !claim.ordered.empty();
    recorded.push_back(names ? claim.ordered.back().endpoint : "");
    const bool orders_a = fixture.promotions.endpoints.back() == "a";
    paused.push_back((orders_a ? fixture.b() : fixture.a()).active_pause_term != 0);
    // The first order gets no answer, the second one is refused.
    fixture.promotions.on_refusal = nullptr;
    if (fixture.promotions.tokens.size() == 2) {
      fixture.promotions.on_refusal = [] {};
    }
  };
  fixture.takeover_controller.Start();
  fixture.LosePrimary();
  fixture.RunUntil([&] { return !fixture.group.primary.empty(); });
  const std::vector<uint64_t>& tokens = fixture.promotions.tokens;
  const std::vector<std::string>& ordered = fixture.promotions.endpoints;
  REQUIRE(tokens.size() == 3);
  CHECK(tokens[0] == tokens[1]);
  CHECK(tokens[1] < tokens[2]);
  CHECK(ordered == std::vector<std::string>(3, ordered.front()));
  CHECK(recorded == ordered);
  CHECK(paused == std::vector<bool>(3, true));
  CHECK(fixture.a().resumed == 0);
  CHECK(fixture.b().resumed == 0);
}

// Guards against a replica that stays paused because the daemon that paused it has died.
TEST_CASE("a replica that a dead holder has paused is resumed if the primary leads") {
  RecordedGroup fixture;
  fixture.b().active_pause_term = 2;
  fixture.Record(TakeoverPhase::kClaimed, {});
  fixture.ledger()->claim_seen -= 1h;  // The claim is no longer valid.
  fixture.takeover_controller.Start();
  fixture.RunUntil([&] { return fixture.StoredClaim().phase == TakeoverPhase::kAbandoned; });
  CHECK(fixture.b().active_pause_term == 0);
  CHECK(fixture.promotions.endpoints.empty());
  CHECK(fixture.ledger()->Primary()->record().id == "p");
}

// Guards against a takeover of a living holder that another daemon disturbs.
TEST_CASE("a takeover is not finished by another daemon while its claim is valid") {
  RecordedGroup fixture;
  fixture.b().active_pause_term = 2;
  fixture.Record(TakeoverPhase::kClaimed, {});
  fixture.ledger()->claim_seen += 1h;  // The claim stays valid until the test has ended.
  fixture.takeover_controller.Start();
  for (const TimePoint end = BootNow() + 500ms; BootNow() < end;) {
    fixture.context.run_one_for(std::chrono::milliseconds(20));
  }
  CHECK_FALSE(fixture.ledger()->taking_over);
  CHECK(fixture.b().active_pause_term == 2);
  CHECK(fixture.StoredClaim().holder == "d2");
}

// Guards against a promotion that may take place late because the daemon that ordered it has died.
TEST_CASE("a promotion that a dead holder has ordered is ordered again if the primary leads") {
  RecordedGroup fixture;
  fixture.b().lag = 1;
  fixture.Record(TakeoverPhase::kOrdered, {{"b", {1, 9}}});
  const uint64_t earlier = FencingToken(fixture.ledger()->claim.revision);
  fixture.ledger()->claim_seen -= 1h;
  fixture.takeover_controller.Start();
  fixture.RunUntil([&] { return !fixture.promotions.endpoints.empty(); });
  CHECK(fixture.promotions.endpoints.front() == "b");
  CHECK(fixture.promotions.tokens.front() > earlier);
  CHECK(fixture.StoredClaim().holder == "d1");
  fixture.RunUntil([&] { return fixture.ledger()->Primary()->record().id == "b"; });
  CHECK(fixture.promotions.endpoints.size() == 1);
}

// Guards against the promotion of an endpoint that has started again without its log.
TEST_CASE("an ordered candidate that has lost its log is not ordered by the next holder") {
  RecordedGroup fixture;
  fixture.Record(TakeoverPhase::kOrdered, {{"a", {1, 10}}});
  fixture.ledger()->claim_seen -= 1h;
  fixture.a().lag = fixture.group.index;
  fixture.takeover_controller.Start();
  fixture.RunUntil([&] { return fixture.group.primary != "p"; });
  CHECK(fixture.promotions.endpoints == std::vector<std::string>{"b"});
}

// Guards against a repeated order to an endpoint that has lost its log since the first order.
TEST_CASE("a candidate that loses its log after an unanswered order is not ordered again") {
  RecordedGroup fixture;
  uint64_t nonce = 0;
  fixture.Record(TakeoverPhase::kOrdered, {{"a", {1, 10}}});
  fixture.ledger()->claim_seen -= 1h;
  fixture.promotions.unanswered_orders = 1;
  fixture.promotions.on_order = [&] {
    fixture.a().lag = fixture.group.index;
    nonce = nonce == 0 ? fixture.StoredClaim().nonce : nonce;
  };
  fixture.takeover_controller.Start();
  // The daemon claims the takeover anew instead of repeating the order.
  fixture.RunUntil([&] {
    return fixture.promotions.endpoints.size() > 1 ||
           (nonce != 0 && fixture.StoredClaim().nonce != nonce);
  });
  REQUIRE_FALSE(fixture.promotions.endpoints.empty());
  CHECK(fixture.promotions.endpoints.front() == "a");
  CHECK(std::count(fixture.promotions.endpoints.begin(), fixture.promotions.endpoints.end(), "a") ==
        1);
  CHECK(fixture.group.primary != "a");
}

// Guards against a takeover that waits for ever for a candidate without its log.
TEST_CASE("an endpoint with the whole log is ordered when the ordered candidate has lost its log") {
  RecordedGroup fixture;
  fixture.Record(TakeoverPhase::kOrdered, {{"a", {1, 10}}});
  fixture.ledger()->claim_seen -= 1h;
  fixture.a().lag = fixture.group.index;
  fixture.b().active_pause_term = 2;  // The dead holder has paused it.
  fixture.takeover_controller.Start();
  fixture.RunUntil([&] { return !fixture.promotions.endpoints.empty(); });
  // Both the former primary, which has stepped down, and the paused replica have the whole log.
  const std::string& ordered = fixture.promotions.endpoints.front();
  CHECK((ordered == "b" || ordered == "p"));
}

// Guards against an ordered promotion that is forgotten between daemons, also of older versions.
TEST_CASE("a claim keeps its ordered promotions in the store") {
  TakeoverClaim claim;
  claim.service = "ledger";
  claim.phase = TakeoverPhase::kOrdered;
  claim.holder = "d2";
  claim.nonce = 7;
  claim.endpoint = "b";
  claim.ordered = {{"a", {1, 9}}, {"b", {2, (uint64_t{1} << 53) + 1}}};
  const std::string text = EncodeTakeoverClaim(claim);
  SECTION("round trip") {
    const TakeoverClaim read = DecodeTakeoverClaim(text, {3, 7});
    REQUIRE(read.ordered.size() == 2);
    for (size_t i = 0; i < 2; ++i) {
      CHECK(read.ordered[i].endpoint == claim.ordered[i].endpoint);
      CHECK(read.ordered[i].received == claim.ordered[i].received);
    }
    CHECK(read.endpoint == "b");
    CHECK(read.phase == TakeoverPhase::kOrdered);
    CHECK(read.revision == StoreRevision{3, 7});
  }
  SECTION("without the field") {
    nlohmann::json body = nlohmann::json::parse(text);
    body.erase("ordered");
    const TakeoverClaim read = DecodeTakeoverClaim(body.dump(), {0, 7});
    CHECK(read.ordered.empty());
    CHECK(read.endpoint == "b");
    CHECK(read.nonce == 7);
  }
  SECTION("malformed") {
    for (const char* ordered :
         {R"("a")", R"(["a"])", R"([{"endpoint": "a"}])", R"([{"term": 1, "index": 2}])",
          R"([{"endpoint": "a", "term": "1", "index": 2}])",
          R"([{"endpoint": 1, "term": 1, "index": 2}])"}) {
      CAPTURE(ordered);
      nlohmann::json body = nlohmann::json::parse(text);
      body["ordered"] = nlohmann::json::parse(ordered);
      CHECK_THROWS_WITH(DecodeTakeoverClaim(body.dump(), {0, 7}),
                        Catch::StartsWith("malformed takeover claim: "));
    }
    CHECK_THROWS_WITH(DecodeTakeoverClaim("{", {0, 7}),
                      Catch::StartsWith("malformed takeover claim: "));
    nlohmann::json body = nlohmann::json::parse(text);
    body["phase"] = "unheard-of";
    CHECK_THROWS_WITH(DecodeTakeoverClaim(body.dump(), {0, 7}),
                      Catch::Contains("unknown phase") && Catch::Contains("unheard-of"));
  }
}

}  // namespace
}  // namespace poplarmoor::platform
