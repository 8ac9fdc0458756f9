#include "kernel/failure_detector.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace poplarmoor {
namespace {

constexpr TimePoint kStart{10s};

GroupState MakeGroup() {
  GroupState group;
  group.service = "orders";
  group.version = 1;
  group.term = 3;
  group.primary = "e0";
  for (const char* name : {"e0", "e1", "e2"}) {
    group.endpoints.push_back({name, "10.0.0.1:1", "fd"});
  }
  return group;
}

EndpointStatus MakeStatus(const std::string& endpoint, uint64_t received) {
  EndpointStatus status;
  status.endpoint = endpoint;
  status.is_primary = endpoint == "e0";
  status.term = 3;
  status.received = received;
  return status;
}

/// Detector on a virtual clock; each test supplies the answers of the endpoints.
struct Fixture {
  Fixture() { this->detector.SetGroup(MakeGroup(), this->now); }

  /// Advances the clock by `duration` and records the causes of all kReplacePrimary actions.
  /// @param answer Called for every action but kReplacePrimary; supplies the endpoint's answer.
  void Run(Duration duration, const std::function<void(const DetectorAction&)>& answer) {
    for (const TimePoint end = this->now + duration; this->now < end; this->now += 50ms) {
      this->detector.Tick(this->now);
      for (const DetectorAction& action : this->detector.TakeActions()) {
        if (action.kind == DetectorActionKind::kReplacePrimary) {
          this->declared.push_back(action.cause);
          this->declared_at = this->declared.size() == 1 ? this->now : this->declared_at;
        } else {
          answer(action);
        }
      }
    }
  }

  FailureDetector detector{FailureDetectorOptions()};
  TimePoint now = kStart;
  TimePoint declared_at;
  std::vector<FailoverCause> declared;
};

TEST_CASE(
    "a primary that does not answer is declared dead only after two daemons failed to reach it") {
  Fixture fixture;
  fixture.Run(5s, [&](const DetectorAction& action) {
    if (action.endpoint != "e0") {
      fixture.detector.OnStatus(MakeStatus(action.endpoint, 7), fixture.now);
    } else if (action.kind == DetectorActionKind::kProbeFresh) {
      fixture.detector.OnFreshProbe("e0", ProbeOutcome::kNoAnswer, fixture.now);
    } else if (action.kind == DetectorActionKind::kAskObserver) {
      fixture.detector.OnObservation("e0", ProbeOutcome::kNoAnswer, fixture.now);
    }
  });
  REQUIRE_FALSE(fixture.declared.empty());
  CHECK(fixture.declared[0] == FailoverCause::kSilent);
  CHECK(fixture.declared_at - kStart <= 1100ms);
  CHECK(fixture.detector.IsDown("e0"));
}

TEST_CASE("a primary that only its monitoring daemon cannot reach is not replaced") {
  Fixture fixture;
  fixture.Run(20s, [&](const DetectorAction& action) {
    if (action.endpoint != "e0") {
      fixture.detector.OnStatus(MakeStatus(action.endpoint, 7), fixture.now);
    } else if (action.kind == DetectorActionKind::kProbeFresh) {
      fixture.detector.OnFreshProbe("e0", ProbeOutcome::kNoAnswer, fixture.now);
    } else if (action.kind == DetectorActionKind::kAskObserver) {
      fixture.detector.OnObservation("e0", ProbeOutcome::kAnswered, fixture.now);
    }
  });
  CHECK(fixture.declared.empty());
}

TEST_CASE("a slow primary is never replaced, so that overload causes no promotions") {
  for (const Duration delay : {450ms, 900ms}) {
    Fixture fixture;
    std::vector<std::pair<TimePoint, DetectorAction>> pending;
    fixture.Run(30s, [&](const DetectorAction& action) {
      if (action.endpoint != "e0") {
        fixture.detector.OnStatus(MakeStatus(action.endpoint, 7), fixture.now);
      } else {
        pending.emplace_back(fixture.now + delay, action);
      }
      while (!pending.empty() && pending.front().first <= fixture.now) {
        const DetectorAction done = pending.front().second;
        pending.erase(pending.begin());
        if (done.kind == DetectorActionKind::kAskObserver) {
          fixture.detector.OnObservation("e0", ProbeOutcome::kAnswered, fixture.now);
        } else {
          fixture.detector.OnStatus(MakeStatus("e0", 7), fixture.now);
          if (done.kind == DetectorActionKind::kProbeFresh) {
            fixture.detector.OnFreshProbe("e0", ProbeOutcome::kAnswered, fixture.now);
          }
        }
      }
    });
    CHECK(fixture.declared.empty());
  }
}

TEST_CASE(
    "after a primary refuses a connection, a second daemon is asked immediately to probe it, and a "
    "third one if the second does not answer") {
  Fixture fixture;
  size_t observers = 0;
  fixture.Run(300ms, [&](const DetectorAction& action) {
    if (action.endpoint != "e0") {
      fixture.detector.OnStatus(MakeStatus(action.endpoint, 7), fixture.now);
    } else if (action.kind == DetectorActionKind::kProbe) {
      fixture.detector.OnProbeFailed("e0", ProbeOutcome::kRefused, fixture.now);
    } else if (action.kind == DetectorActionKind::kProbeFresh) {
      fixture.detector.OnFreshProbe("e0", ProbeOutcome::kRefused, fixture.now);
    } else {
      CHECK(action.attempt == observers);
      fixture.detector.OnObservation(
          "e0", ++observers < 2 ? std::nullopt : std::optional(ProbeOutcome::kRefused),
          fixture.now);
    }
  });
  REQUIRE(fixture.declared.size() == 1);
  CHECK(fixture.declared[0] == FailoverCause::kGone);
}

TEST_CASE(
    "a primary that answers is declared stalled after 1 s in which its writes reach no replica") {
  for (const bool one_progresses : {false, true}) {
    Fixture fixture;
    uint64_t received = 7;
    fixture.Run(6s, [&](const DetectorAction& action) {
      const bool progresses = one_progresses && action.endpoint == "e2";
      const bool advances = action.endpoint == "e0" || progresses;
      ++received;
      fixture.detector.OnStatus(MakeStatus(action.endpoint, advances ? received : 7), fixture.now);
    });
    CHECK(fixture.declared.empty() == one_progresses);
    if (!fixture.declared.empty()) {
      CHECK(fixture.declared[0] == FailoverCause::kStalled);
      CHECK(fixture.declared_at - kStart >= 1s);
      CHECK(fixture.declared_at - kStart <= 2s);
    }
  }
}

TEST_CASE(
    "a primary that loses its role in a restart is replaced unless the role is soon restored, so "
    "that writes do not wait for ever") {
  for (const bool role_restored_in_time : {false, true}) {
    Fixture fixture;
    fixture.Run(5s, [&](const DetectorAction& action) {
      EndpointStatus status = MakeStatus(action.endpoint, 7);
      if (action.endpoint == "e0" && (!role_restored_in_time || fixture.now - kStart < 1s)) {
        status.is_primary = false;
        status.term = 0;
        status.received = 0;
      }
      fixture.detector.OnStatus(status, fixture.now);
    });
    CHECK(fixture.declared.empty() == role_restored_in_time);
    if (!fixture.declared.empty()) {
      CHECK(fixture.declared[0] == FailoverCause::kGone);
    }
  }
}

TEST_CASE("a primary whose replicas have received its whole log is never declared stalled") {
  Fixture fixture;
  fixture.Run(20s, [&](const DetectorAction& action) {
    fixture.detector.OnStatus(MakeStatus(action.endpoint, 7), fixture.now);
  });
  CHECK(fixture.declared.empty());
}

TEST_CASE(
    "a leaving primary is replaced once it runs no statements, or after a timeout if it still runs "
    "some") {
  for (const bool busy : {false, true}) {
    Fixture fixture;
    GroupState group = MakeGroup();
    group.endpoints[0].leaving = true;
    fixture.detector.SetGroup(group, fixture.now);
    fixture.Run(4s, [&](const DetectorAction& action) {
      EndpointStatus status = MakeStatus(action.endpoint, 7);
      status.active = busy ? 1 : 0;
      fixture.detector.OnStatus(status, fixture.now);
    });
    REQUIRE_FALSE(fixture.declared.empty());
    CHECK(fixture.declared[0] == FailoverCause::kLeaving);
    CHECK((fixture.declared_at - kStart >= 2s) == busy);
  }
}

}  // namespace
}  // namespace poplarmoor
