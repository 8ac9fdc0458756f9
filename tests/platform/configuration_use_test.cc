#include <catch2/catch.hpp>
#include <memory>

#include "kernel/copy_age.h"
#include "session/boot_clock.h"
#include "tests/platform/session_caller.h"
#include "tests/platform/session_fixture.h"

namespace poplarmoor::platform {
namespace {

constexpr Duration kBound = 1h;  // Long, so that no test depends on the speed of the machine.
const char kRefused[] = "ERROR BUSY";

// Daemon d1 with the peer d2, whose copy of the configuration was verified at a time of the test.
struct UseFixture : SessionFixture {
  UseFixture() {
    this->cluster.configuration().SetMetrics(&this->metrics);
    this->cluster.configuration().SetAge(this->age);
    this->cluster.SetPeers({{"d1", "", "fd1"}, {"d2", "", "fd1"}});
  }

  // Records that the peer has answered within a time, and how old its copy is.
  void AnswerFromPeer(Duration taken, Duration copy_age) const {
    PeerCopy copy;
    copy.daemon = "d2";
    copy.sent = BootNow() - taken;
    copy.age = copy_age;
    this->age->NotePeerAnswer(copy, BootNow());
  }

  // Records as many prompt answers as show that the peer has lost the store as well.
  void AnswerOften() const {
    for (size_t number = 0; number < CopyAge::kWitnesses; ++number) {
      this->AnswerFromPeer(0ms, 2 * kBound);
    }
  }

  double Refusals(const char* subject) const {
    return this->metrics.Value(Metric::kConfigTooOld, {subject});
  }

  std::shared_ptr<CopyAge> age =
      std::make_shared<CopyAge>(ChangeSchedule::ForConfiguration(kBound), BootNow() - 3 * kBound);
};

// Guards against sessions that are refused as unknown database although the database was added
// longer ago than the bound (issue 40).
TEST_CASE("a database is refused as unknown only by a copy of the configuration within the bound") {
  UseFixture fixture;
  fixture.age->NoteStoreAnswer(BootNow(), BootNow());
  CHECK(SessionCaller(&fixture, "nothing").Receive().starts_with("ERROR UNKDB"));
  UseFixture old;
  old.age->NoteStoreAnswer(BootNow() - 2 * kBound, BootNow());
  CHECK(SessionCaller(&old, "nothing").Receive().starts_with(kRefused));
  CHECK(old.Refusals("session") == 1);
  old.AnswerOften();  // No daemon has a younger copy.
  CHECK(SessionCaller(&old, "nothing").Receive().starts_with(kRefused));
  old.age->NoteStoreAnswer(BootNow(), BootNow());
  CHECK(SessionCaller(&old, "nothing").Receive().starts_with("ERROR UNKDB"));
}

// Guards against statements that run by a route which was removed or changed longer ago than the
// bound (issue 40).
TEST_CASE("a statement does not run by a copy of the configuration that is beyond the bound") {
  UseFixture fixture;
  fixture.age->NoteStoreAnswer(BootNow(), BootNow());
  SessionCaller caller(&fixture, "orders");
  caller.Receive();
  CHECK(caller.Query("WRITE 1 a").starts_with("COMPLETE"));
  CHECK(caller.Query("BEGIN").starts_with("COMPLETE"));
  fixture.age =
      std::make_shared<CopyAge>(ChangeSchedule::ForConfiguration(kBound), BootNow() - 3 * kBound);
  fixture.cluster.configuration().SetAge(fixture.age);
  // A transaction keeps the route that it began with.
  CHECK(caller.Query("WRITE 2 b").starts_with("COMPLETE"));
  CHECK(caller.Query("COMMIT").starts_with("COMPLETE"));
  CHECK(caller.Query("WRITE 3 c").starts_with(kRefused));
  CHECK(caller.Query("BEGIN").starts_with(kRefused));
  CHECK(SessionCaller(&fixture, "orders").Receive().starts_with(kRefused));
  CHECK(fixture.Refusals("statement") == 2);
  CHECK(fixture.Refusals("session") == 1);
  // Without a younger copy in reach, known routes are served: the store is lost for all.
  fixture.AnswerFromPeer(0ms, 2 * kBound);
  CHECK(caller.Query("WRITE 4 d").starts_with(kRefused));
  fixture.AnswerOften();
  CHECK(caller.Query("WRITE 4 d").starts_with("COMPLETE"));
  // An answer that took long has waited in a full link, at either side.
  fixture.AnswerFromPeer(2 * ChangeSchedule::kPeerAnswerTimeout, 2 * kBound);
  CHECK(caller.Query("WRITE 5 e").starts_with(kRefused));
}

}  // namespace
}  // namespace poplarmoor::platform
