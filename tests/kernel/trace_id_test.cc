#include "kernel/trace_id.h"

#include <catch2/catch.hpp>

namespace poplarmoor {
namespace {

TEST_CASE("the ids of a well-formed traceparent header are returned") {
  std::string trace;
  std::string span;
  REQUIRE(
      ParseTraceparent("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01", &trace, &span));
  CHECK(trace == "0af7651916cd43dd8448eb211c80319c");
  CHECK(span == "b7ad6b7169203331");
}

TEST_CASE("a malformed traceparent header is refused, so that no unchecked text gets into logs") {
  std::string trace = "unchanged";
  std::string span;
  CHECK_FALSE(ParseTraceparent("", &trace, &span));
  CHECK_FALSE(
      ParseTraceparent("00-0AF7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01", &trace, &span));
  CHECK_FALSE(
      ParseTraceparent("00-00000000000000000000000000000000-b7ad6b7169203331-01", &trace, &span));
  CHECK(trace == "unchanged");
}

}  // namespace
}  // namespace poplarmoor
