#include "kernel/organisation/organisation_table.h"

#include <catch2/catch.hpp>
#include <limits>
#include <stdexcept>

namespace poplarmoor {
namespace {

TEST_CASE("every API key of an organisation leads to it, and an unknown key to none") {
  OrganisationTable table;
  table.Add({"north", 5, 5}, {"key-1", "key-2"});
  table.Add({"south", 7, 9}, {"key-3"});
  REQUIRE(table.FindByKeyId(KeyIdOf("key-2")) != nullptr);
  CHECK(table.FindByKeyId(KeyIdOf("key-2"))->name == "north");
  CHECK(table.FindByKeyId(KeyIdOf("key-3"))->burst == 9);
  CHECK(table.FindByKeyId(KeyIdOf("key-4")) == nullptr);
  CHECK(table.FindByKeyId(0) == nullptr);
  CHECK(table.FindByName("south") != nullptr);
  CHECK(table.FindByName("") == nullptr);
}

// Guards against callers of one organisation that are served as another one.
TEST_CASE("an API key in two organisations is refused without showing the key") {
  OrganisationTable table;
  table.Add({"north", 5, 5}, {"secret"});
  CHECK_NOTHROW(table.Add({"west", 5, 5}, {"other", "other"}));
  try {
    table.Add({"south", 5, 5}, {"secret"});
    FAIL("the key was accepted twice");
  } catch (const std::invalid_argument& error) {
    CHECK(std::string(error.what()).find("secret") == std::string::npos);
    CHECK(std::string(error.what()).find("north") != std::string::npos);
  }
}

TEST_CASE("malformed organisations are refused") {
  OrganisationTable table;
  table.Add({"north", 5, 5}, {"key"});
  const double infinity = std::numeric_limits<double>::infinity();
  for (const Organisation& organisation :
       {Organisation{"", 5, 5}, Organisation{"two words", 5, 5}, Organisation{"line\r\n", 5, 5},
        Organisation{"zero", 0, 5}, Organisation{"negative", 5, -1},
        Organisation{"infinite", infinity, 5}, Organisation{"north", 5, 5}}) {
    INFO(organisation.name);
    CHECK_THROWS_AS(table.Add(organisation, {}), std::invalid_argument);
  }
  CHECK_THROWS_AS(table.Add({"empty-key", 5, 5}, {""}), std::invalid_argument);
}

}  // namespace
}  // namespace poplarmoor
