#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "kernel/admission/concurrency_limit.h"
#include "kernel/admission/retry_budget.h"
#include "kernel/connection_pool.h"
#include "tests/kernel/fixtures.h"

namespace poplarmoor {
namespace {

/// Simulates an endpoint of `slots` slots that always runs as many statements as the limit allows,
/// from `from` to `until` in milliseconds of virtual time.
/// @param refuses Whether the endpoint refuses the statements that exceed its slots. If false, it
///     queues them.
/// @returns The highest limit during the run.
int RunSaturated(ConcurrencyLimit* limit, int slots, bool refuses, int64_t from, int64_t until) {
  int highest = 0;
  for (int64_t now = from; now < until; now += 10) {
    const int running = limit->Limit();
    highest = std::max(highest, running);
    if (refuses && running > slots) {
      limit->OnNoSlot(At(now));
    } else {
      // Queued statements increase the latency in proportion to their number.
      limit->OnFinished(10ms * std::max(running, slots) / slots, running, At(now));
    }
  }
  return highest;
}

TEST_CASE(
    "an owner's concurrency limit grows while latency stays low, up to the number of connections "
    "that the owner may hold") {
  ConcurrencyLimit limit(3, 12);
  CHECK(limit.Limit() == 3);
  CHECK(RunSaturated(&limit, 100, false, 0, 60'000) == 12);
}

TEST_CASE(
    "when an endpoint queues statements above its slot count, an owner's concurrency limit stays "
    "close to that count, even over 10 minutes") {
  ConcurrencyLimit limit(4, 12);
  RunSaturated(&limit, 4, false, 0, 600'000);
  CHECK(limit.Limit() >= 4);
  CHECK(limit.Limit() <= 6);
}

TEST_CASE(
    "an owner's concurrency limit falls when the endpoint loses capacity and rises again when the "
    "capacity returns") {
  ConcurrencyLimit limit(4, 12);
  RunSaturated(&limit, 4, false, 0, 10'000);
  for (int i = 0; i < 400; ++i) {
    limit.OnFinished(25ms * limit.Limit(), limit.Limit(), At(10'000 + i * 10));
  }
  CHECK(limit.Limit() <= 2);
  RunSaturated(&limit, 4, false, 20'000, 40'000);
  CHECK(limit.Limit() >= 4);
}

TEST_CASE(
    "when statements become slower without queueing, an owner's concurrency limit falls only for a "
    "short time") {
  ConcurrencyLimit limit(4, 12);
  RunSaturated(&limit, 4, false, 0, 10'000);
  for (int i = 0; i < 200; ++i) {
    limit.OnFinished(100ms, limit.Limit(), At(10'000 + i * 25));
  }
  CHECK(limit.Limit() >= 4);
}

TEST_CASE(
    "when an endpoint refuses statements above its fixed slot count, an owner's concurrency limit "
    "stays near that count and exceeds it more and more rarely") {
  ConcurrencyLimit limit(3, 12);
  CHECK(RunSaturated(&limit, 3, true, 0, 120'000) == 4);
  int probes = 0;
  for (int64_t now = 120'000; now < 240'000; now += 10) {
    if (limit.Limit() > 3) {
      limit.OnNoSlot(At(now));
      ++probes;
    } else {
      limit.OnFinished(10ms, limit.Limit(), At(now));
    }
  }
  CHECK(probes <= 4);
}

TEST_CASE(
    "when another owner frees all slots of an endpoint, this owner's concurrency limit rises to "
    "the slot count within 5 s") {
  ConcurrencyLimit limit(3, 12);
  RunSaturated(&limit, 0, true, 0, 60'000);
  CHECK(limit.Limit() == 1);
  RunSaturated(&limit, 3, true, 60'000, 65'000);
  CHECK(limit.Limit() >= 3);
}

TEST_CASE("the retry budget limits retries to a tenth of the requests") {
  RetryBudget budget;
  int retries = 0;
  for (int i = 0; i < 10'000; ++i) {
    budget.OnRequest();
    retries += budget.TryTake() ? 1 : 0;
  }
  CHECK(retries >= 1000);
  CHECK(retries <= 1020);
}

/// @returns A pool with `count` idle connections, opened at `millis` of the virtual clock.
ConnectionPool MakePool(int count, int64_t millis) {
  PoolSettings settings;
  settings.min_open = count;
  settings.max_opening = count;
  ConnectionPool pool(settings);
  for (uint64_t id : pool.Tick(0, At(millis)).open) {
    pool.OnOpened(id, At(millis));
  }
  return pool;
}

TEST_CASE("two owners with full pools fit into the connection limit of an endpoint") {
  ServiceSettings service;
  for (int connections = 2; connections < 60; ++connections) {
    service.connections = connections;
    CHECK(PoolSettings::FromService(service).budget * 2 <= connections);
  }
}

TEST_CASE(
    "a pool opens connections before requests need them, at most three at the same time, and only "
    "one at a time after it failed to open one") {
  ConnectionPool pool{PoolSettings()};
  const auto first = pool.Tick(0, At(0)).open;
  REQUIRE(first.size() == 3);
  CHECK(pool.Tick(20, At(0)).open.empty());
  pool.OnOpened(first[0], At(10));
  pool.OnOpenFailed(first[1], At(10), 0);
  pool.OnOpenFailed(first[2], At(10), 0);
  const auto waiting = pool.Tick(20, At(11));
  CHECK(waiting.open.empty());
  REQUIRE(waiting.next.has_value());
  CHECK(*waiting.next > At(11));
  CHECK(*waiting.next <= At(10 + 100));
  CHECK(pool.Tick(20, *waiting.next).open.size() == 1);
}

TEST_CASE(
    "a connection is never used again if it is released with an incomplete answer or an open "
    "transaction") {
  ConnectionPool pool = MakePool(2, 0);
  const auto first = pool.Acquire(false, At(1));
  const auto second = pool.Acquire(false, At(1));
  REQUIRE((first && second));
  CHECK_FALSE(pool.Acquire(false, At(1)));
  CHECK(pool.Release(*first, false, At(2)));
  CHECK_FALSE(pool.Release(*second, true, At(2)));
  CHECK(pool.Acquire(false, At(3)) == second);
  CHECK_FALSE(pool.Acquire(false, At(3)));
  CHECK(pool.Release(*first, true, At(4)));
}

TEST_CASE(
    "transactions never occupy all connections of a pool, so that statements outside transactions "
    "can run") {
  ConnectionPool pool = MakePool(12, 0);
  int pinned = 0;
  while (pool.Acquire(true, At(1))) {
    ++pinned;
  }
  CHECK(pinned == 6);
  CHECK(pool.Pinned() == 6);
  CHECK(pool.Acquire(false, At(1)).has_value());
}

TEST_CASE(
    "when a request times out, its connection is closed, and so is every idle connection "
    "that has not delivered an answer recently") {
  ConnectionPool pool = MakePool(4, 0);
  const auto silent = pool.Acquire(false, At(1000));
  const auto answering = pool.Acquire(false, At(1000));
  const auto busy = pool.Acquire(false, At(1000));
  REQUIRE((silent && answering && busy));
  pool.Release(*answering, true, At(1900));
  const auto close = pool.OnTimeout(*silent, 500ms, At(2000));
  // The connection whose request timed out, and the fourth connection, idle since 0 ms.
  CHECK(close.size() == 2);
  CHECK(pool.Release(*busy, true, At(2001)));
  CHECK(pool.Acquire(false, At(2002)) == answering);
  CHECK(pool.Size() == 1);
}

TEST_CASE("a connection pool never exceeds its connection budget and replaces lost connections") {
  CHECK(rc::check("pool", [](const std::vector<uint16_t>& steps) {
    const PoolSettings settings;
    ConnectionPool pool(settings);
    std::vector<uint64_t> opening;
    std::vector<uint64_t> used;
    int64_t now = 0;
    for (uint16_t step : steps) {
      now += step % 32;
      if (step % 4 == 0 && !opening.empty()) {
        step % 8 == 0 ? pool.OnOpened(opening.back(), At(now))
                      : pool.OnOpenFailed(opening.back(), At(now), step);
        opening.pop_back();
      } else if (step % 4 == 1) {
        if (const auto id = pool.Acquire(step % 8 == 1, At(now))) {
          RC_ASSERT(std::find(used.begin(), used.end(), *id) == used.end());
          used.push_back(*id);
        }
      } else if (step % 4 == 2 && !used.empty()) {
        if (step % 16 == 2) {
          pool.OnTimeout(used.back(), 10ms, At(now));
        } else {
          pool.Release(used.back(), step % 8 == 2, At(now));
        }
        used.pop_back();
      }
      for (uint64_t id : pool.Tick(step % 64, At(now)).open) {
        opening.push_back(id);
      }
      RC_ASSERT(pool.Size() <= settings.budget);
      RC_ASSERT(static_cast<int>(opening.size()) <= settings.max_opening);
      RC_ASSERT(pool.Pinned() <= settings.max_pinned);
    }
    for (uint64_t id : opening) {
      pool.OnOpened(id, At(now));
    }
    for (int i = 0; i < 20; ++i) {
      now += 6000;
      for (uint64_t id : pool.Tick(0, At(now)).open) {
        pool.OnOpened(id, At(now));
      }
    }
    RC_ASSERT(pool.Size() >= settings.min_open);
  }));
}

}  // namespace
}  // namespace poplarmoor
