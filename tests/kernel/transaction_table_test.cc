#include "kernel/transaction_table.h"

#include <catch2/catch.hpp>

#include "tests/kernel/fixtures.h"

namespace poplarmoor {
namespace {

TEST_CASE(
    "statements of a transaction run one at a time and in the order of their statement numbers") {
  TransactionTable table(1s, 10s);
  const std::string id = table.Begin("a", 7, 2, At(0), 1);
  CHECK(table.Admit(id, 2, At(1)).reason == Reason::kOutOfSequence);
  const auto first = table.Admit(id, 1, At(1));
  REQUIRE(first.transaction != nullptr);
  CHECK(first.transaction->connection == 7);
  CHECK(first.transaction->term == 2);
  CHECK(table.Admit(id, 2, At(2)).reason == Reason::kOutOfSequence);
  CHECK(table.Admit(id, 0, At(2)).reason ==
        Reason::kOutOfSequence);  // A commit is refused while a statement runs.
  table.Finished(id, true, At(3));
  CHECK(table.Admit(id, 1, At(4)).reason ==
        Reason::kOutOfSequence);  // Statement 1 has already run.
  CHECK(table.Admit(id, 2, At(4)).transaction != nullptr);
  table.Finished(id, false, At(5));  // The statement did not run, so the caller may send it again.
  CHECK(table.Admit(id, 2, At(6)).transaction != nullptr);
  table.Finished(id, true, At(7));
  CHECK(table.Admit(id, 0, At(8)).transaction != nullptr);
  table.End(id);
  CHECK(table.Admit(id, 3, At(9)).reason == Reason::kTransactionGone);
}

TEST_CASE("a transaction that is idle or open for too long ends and frees its connection") {
  TransactionTable table(1s, 10s);
  const std::string idle = table.Begin("a", 1, 1, At(0), 5);
  const std::string busy = table.Begin("b", 2, 1, At(0), 5);
  CHECK(idle != busy);
  table.Admit(busy, 1, At(500));
  CHECK(table.Admit(idle, 1, At(1000)).reason == Reason::kTransactionGone);
  const auto expired = table.Expire(At(1000));
  REQUIRE(expired.size() == 1);
  CHECK(expired[0].connection == 1);
  CHECK(table.Expire(At(9999)).empty());
  CHECK(table.Expire(At(10'000)).size() == 1);
  table.Finished(busy, true, At(10'001));
  CHECK(table.size() == 0);
}

TEST_CASE(
    "when a primary is replaced, the transactions at this endpoint end, and transactions at other "
    "endpoints continue") {
  TransactionTable table(1s, 10s);
  table.Begin("a", 1, 1, At(0), 5);
  const std::string other = table.Begin("b", 2, 1, At(0), 5);
  CHECK(table.EndAll("a").size() == 1);
  CHECK(table.Admit(other, 1, At(1)).transaction != nullptr);
}

}  // namespace
}  // namespace poplarmoor
