#include "kernel/session_state.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <optional>

namespace poplarmoor {
namespace {

// Model of the state that an endpoint keeps for one connection.
struct ModelConnection {
  SessionValues values;
  std::map<std::string, PreparedStatement> prepared;

  void Run(const std::vector<SetupStep>& steps) {
    for (const SetupStep& step : steps) {
      if (step.kind == SetupStep::Kind::kReset) {
        this->values.clear();
        this->prepared.clear();
      } else if (step.kind == SetupStep::Kind::kSetValue) {
        this->values[step.name] = step.value;
      } else {
        this->prepared[step.name] = step.statement;
      }
    }
  }
};

TEST_CASE(
    "sessions that share a connection never see each other's variables, and may prepare different "
    "statements under the same name") {
  const bool passed = rc::check([] {
    std::vector<SessionState> sessions(3);
    ConnectionState tracked;
    ModelConnection endpoint;
    const auto steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
      SessionState& session = sessions[*rc::gen::inRange<size_t>(0, sessions.size())];
      const int action = *rc::gen::inRange(0, 4);
      const std::string name = *rc::gen::element<std::string>("a", "b");
      if (action == 0) {
        session.values[name] = *rc::gen::element<std::string>("1", "2");
      } else if (action == 1) {
        session.prepared[name] = {*rc::gen::arbitrary<bool>(),
                                  *rc::gen::element<std::string>("x", "y")};
      } else {
        const auto found = session.prepared.find(name);
        const PreparedStatement* needed =
            found == session.prepared.end() ? nullptr : &found->second;
        endpoint.Run(tracked.SetupStepsFor(session, needed));
        tracked.Apply(session, needed);
        RC_ASSERT(endpoint.values == session.values);
        if (needed != nullptr) {
          RC_ASSERT(endpoint.prepared.at(ConnectionState::PreparedName(*needed)) == *needed);
        }
      }
    }
  });
  CHECK(passed);
}

TEST_CASE(
    "when a session only adds variables, its connection is not reset, because a reset would "
    "disturb an open transaction") {
  SessionState session;
  session.values["a"] = "1";
  ConnectionState connection;
  connection.Apply(session, nullptr);
  session.values["b"] = "2";
  const auto steps = connection.SetupStepsFor(session, nullptr);
  REQUIRE(steps.size() == 1);
  CHECK(steps.front().kind == SetupStep::Kind::kSetValue);
  CHECK(steps.front().name == "b");
}

TEST_CASE(
    "a statement text that is prepared both as a read and as a write gets two names at the "
    "endpoint, so that the read never runs as a write, nor the write as a read") {
  CHECK(ConnectionState::PreparedName({true, "q"}) != ConnectionState::PreparedName({false, "q"}));
}

}  // namespace
}  // namespace poplarmoor
