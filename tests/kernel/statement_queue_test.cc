#include "kernel/admission/statement_queue.h"

#include <catch2/catch.hpp>

namespace poplarmoor {
namespace {

using Decision = StatementQueue::Decision;

constexpr Duration kMaxWait = 800ms;

TEST_CASE("a flood of lookups does not delay urgent statements such as bookings") {
  // 200 statements of the least urgent rank arrive together, then two of the most urgent rank.
  StatementQueue queue;
  queue.SetLimits(2, 4);
  for (StatementQueue::Ticket ticket = 1; ticket <= 200; ++ticket) {
    queue.Enter(ticket, 2, false, 10s);
  }
  CHECK(queue.Enter(1000, 0, false, kMaxWait) == Decision::kStart);
  CHECK(queue.Enter(1001, 0, false, kMaxWait) == Decision::kWait);
  queue.Leave(false, 30ms);
  CHECK(queue.Next() == 1001);
}

TEST_CASE("a waiting statement is served before earlier ones of a less urgent rank") {
  StatementQueue queue;
  queue.SetLimits(1, 1);
  REQUIRE(queue.Enter(1, 1, false, kMaxWait) == Decision::kStart);
  REQUIRE(queue.Enter(2, 2, false, kMaxWait) == Decision::kWait);
  REQUIRE(queue.Enter(3, 1, false, kMaxWait) == Decision::kWait);
  REQUIRE(queue.Enter(4, 0, false, kMaxWait) == Decision::kWait);
  std::vector<StatementQueue::Ticket> order;
  for (int round = 0; round < 3; ++round) {
    queue.Leave(false, 10ms);
    order.push_back(queue.Next().value_or(0));
  }
  CHECK(order == std::vector<StatementQueue::Ticket>{4, 3, 2});
}

TEST_CASE(
    "a statement that cannot be served in time is refused immediately instead of after a wait") {
  // 80 statements arrive together, ten times as many as the only connection can run within
  // kMaxWait: each statement takes 100 ms.
  StatementQueue queue;
  queue.SetLimits(1, 1);
  queue.Enter(1, 1, false, kMaxWait);
  for (int sample = 0; sample < 100; ++sample) {
    queue.Leave(false, 100ms);
    queue.Enter(1, 1, false, kMaxWait);
  }
  int waiting = 0;
  int refused = 0;
  for (StatementQueue::Ticket ticket = 10; ticket < 90; ++ticket) {
    const Decision decision = queue.Enter(ticket, 1, false, kMaxWait);
    waiting += decision == Decision::kWait ? 1 : 0;
    refused += decision == Decision::kRefuse ? 1 : 0;
  }
  CHECK(waiting >= 7);
  CHECK(waiting <= 9);
  CHECK(waiting + refused == 80);
}

TEST_CASE(
    "transactions do not take the connections reserved for statements outside transactions, so "
    "that idle transactions do not block reads") {
  StatementQueue queue;
  queue.SetLimits(2, 4);
  CHECK(queue.Enter(1, 1, true, kMaxWait) == Decision::kStart);
  CHECK(queue.Enter(2, 1, true, kMaxWait) == Decision::kStart);
  CHECK(queue.Enter(3, 1, false, kMaxWait) == Decision::kStart);
  CHECK(queue.Enter(4, 1, false, kMaxWait) == Decision::kStart);
  CHECK(queue.Enter(5, 1, true, kMaxWait) == Decision::kWait);
}

TEST_CASE(
    "when 120 callers begin transactions and leave them idle, one connection stays available to "
    "statements outside transactions") {
  // Each of 120 callers begins a transaction, writes and stays idle up to the idle time limit.
  StatementQueue queue;
  queue.SetLimits(2, 6);
  for (StatementQueue::Ticket ticket = 1; ticket <= 120; ++ticket) {
    queue.Enter(ticket, 1, true, 10s);
  }
  CHECK(queue.InUse() == 5);
  CHECK(queue.Enter(1000, 1, false, 1s) == Decision::kWait);
  CHECK(queue.Enter(1001, 0, false, 1s) == Decision::kStart);
  queue.Leave(false, 10ms);
  CHECK(queue.Next() == 1000);
}

TEST_CASE("a statement withdrawn from the queue is not started and occupies no slot") {
  StatementQueue queue;
  queue.SetLimits(1, 1);
  queue.Enter(1, 1, false, kMaxWait);
  queue.Enter(2, 1, false, kMaxWait);
  queue.Withdraw(2);
  queue.Leave(false, 10ms);
  CHECK_FALSE(queue.Next());
  CHECK(queue.Busy() == 0);
}

}  // namespace
}  // namespace poplarmoor
