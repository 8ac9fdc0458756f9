#include "kernel/session_positions.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

namespace poplarmoor {
namespace {

TEST_CASE(
    "the log position that a session requires of a service never falls, even if an earlier "
    "position is recorded after a later one") {
  SessionPositions positions;
  positions.Record("orders", {2, 10});
  positions.Record("orders", {1, 99});
  positions.Record("orders", {0, 0});
  CHECK(positions.Require("orders").position == LogPosition{2, 10});
}

TEST_CASE(
    "when a session has written to too many services, the log position of the least recently "
    "written one is discarded, that service is reported, and reads of it must run at its primary") {
  SessionPositions positions;
  for (size_t i = 0; i < SessionPositions::kMaxServices; ++i) {
    CHECK(positions.Record("service" + std::to_string(i), {1, 1}).empty());
  }
  CHECK_FALSE(positions.Require("never written").needs_primary);
  positions.Record("service0", {1, 2});  // Makes service1 the least recently written one.
  CHECK(positions.Record("one more", {1, 1}) == std::vector<std::string>{"service1"});
  CHECK(positions.size() == SessionPositions::kMaxServices);
  const SessionPositions decoded = SessionPositions::Decode(positions.Encode());
  CHECK(decoded.Require("service1").needs_primary);
  CHECK_FALSE(decoded.Require("service0").needs_primary);
  SessionPositions merged;
  merged.Merge(decoded);
  CHECK(merged.Require("service1").needs_primary);
}

TEST_CASE("the positions of every session can be encoded and decoded without loss") {
  CHECK(rc::check("decode inverts encode", [](const std::map<std::string, uint32_t>& writes) {
    SessionPositions positions;
    for (const auto& [service, index] : writes) {
      positions.Record(service, {index % 7 + 1, index});
    }
    RC_ASSERT(SessionPositions::Decode(positions.Encode()) == positions);
  }));
}

TEST_CASE("a malformed encoding of session positions is refused and is not read beyond its end") {
  SessionPositions positions;
  positions.Record("orders", {3, 7});
  const std::string payload = positions.Encode();
  for (size_t length = 0; length < payload.size(); ++length) {
    if (length != 2) {  // Two characters encode a session without positions.
      CHECK_THROWS_AS(SessionPositions::Decode(payload.substr(0, length)), std::invalid_argument);
    }
  }
  for (const char* bad : {"20", "1x", "10ffffffffffffffff:a1.1;", "106:orders0.1;", "10-1:a1.1;"}) {
    CHECK_THROWS_AS(SessionPositions::Decode(bad), std::invalid_argument);
  }
  CHECK(rc::check("no input is read beyond its end", [](const std::string& text) {
    try {
      SessionPositions::Decode("10" + text);
    } catch (const std::invalid_argument&) {
    }
  }));
}

}  // namespace
}  // namespace poplarmoor
