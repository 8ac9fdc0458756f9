#pragma once

#include <utility>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "session/boot_clock.h"
#include "session/cluster.h"
#include "session/session_server.h"
#include "session/statement_runner.h"
#include "session/takeover_controller.h"
#include "telemetry/metrics.h"
#include "tests/platform/defective_codec.h"
#include "tests/platform/fake_line_endpoint.h"
#include "tests/platform/fake_promotions.h"
#include "tests/platform/memory_store.h"

namespace poplarmoor::platform {

/// One daemon with a group of three endpoints; the test connects to the daemon as a caller.
class SessionFixture {
 public:
  SessionFixture();

  /// Gives the daemon a registry entry of the endpoint.
  void Register(const FakeLineEndpoint& endpoint);

  /// Raises the limits of the configuration beyond the time that RunUntil() waits.
  void RaiseTimeLimits();

  /// Adds a replica to the group.
  FakeLineEndpoint& Join(const char* id);

  /// Records that the primary p announces its stop.
  void AnnouncePrimaryLeaves();

  /// Crashes the primary p and makes the daemon probe it, as a statement that fails there does.
  void LosePrimary();

  /// Runs the io_context until the condition holds.
  template <typename Condition>
  void RunUntil(Condition condition) {
    const TimePoint limit = BootNow() + 60s;
    bool holds = condition();
    while (!holds && BootNow() < limit) {
      this->context.run_one_for(std::chrono::milliseconds(20));
      holds = condition();
    }
    REQUIRE(holds);
  }

  boost::asio::io_context context{1};
  DefectiveCodec codec;
  FakeGroup group;
  MemoryStore store;
  Metrics metrics;
  Cluster cluster;
  StatementRunner runner;
  FakePromotions promotions;
  TakeoverController takeover_controller;
  SessionServer server;
  std::vector<std::unique_ptr<FakeLineEndpoint>> endpoints;
  std::string address;
};

}  // namespace poplarmoor::platform
