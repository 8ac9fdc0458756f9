#include "kernel/commit_check.h"

#include <catch2/catch.hpp>

namespace poplarmoor {
namespace {

CommitWitness Witness(const std::string& id, uint64_t index, bool continuous = true) {
  return {id, true, {3, index}, continuous};
}

CommitView View(std::vector<CommitWitness> witnesses) {
  CommitView view;
  view.primary = "p";
  view.position = {3, 100};
  view.witnesses = std::move(witnesses);
  return view;
}

// Guards against the loss of commits that only a replica has received which no takeover compares:
// the primary has acknowledged the commit, but no recorded member has it.
TEST_CASE("a commit is safe once a recorded member has received it") {
  CHECK(JudgeCommit(View({Witness("a", 99), Witness("b", 99)})) == CommitVerdict::kUnknown);
  CHECK(JudgeCommit(View({Witness("a", 99), Witness("b", 100)})) == CommitVerdict::kSafe);
  CommitWitness silent = Witness("b", 100);
  silent.answered = false;
  CHECK(JudgeCommit(View({Witness("a", 99), silent})) == CommitVerdict::kUnknown);
  CHECK(JudgeCommit(View({})) == CommitVerdict::kUnknown);
}

TEST_CASE("a commit is safe only if as many recorded members have it as the service demands") {
  CommitView view = View({Witness("a", 100), Witness("b", 99), Witness("c", 99)});
  view.replicas = 2;
  CHECK(JudgeCommit(view) == CommitVerdict::kUnknown);
  view.witnesses[1] = Witness("b", 101);
  CHECK(JudgeCommit(view) == CommitVerdict::kSafe);
}

// Guards against the loss of commits that a replica has received after a restart has ended the
// pause under which a takeover has read its log.
TEST_CASE("a member that may have restarted shows a commit only together with all others") {
  CHECK(JudgeCommit(View({Witness("a", 100, false), Witness("b", 99)})) == CommitVerdict::kUnknown);
  CHECK(JudgeCommit(View({Witness("a", 100, false), Witness("b", 100, false)})) ==
        CommitVerdict::kSafe);
}

// Guards against the loss of commits that the candidate of a promotion in progress lacks.
TEST_CASE("while a promotion may take place, its candidate must have the commit") {
  CommitView view = View({Witness("a", 99), Witness("b", 100)});
  view.candidates = {"a"};
  CHECK(JudgeCommit(view) == CommitVerdict::kUnknown);
  view.witnesses[0] = Witness("a", 100, false);
  CHECK(JudgeCommit(view) == CommitVerdict::kSafe);
  // Either of two candidates may be promoted.
  view.candidates = {"a", "c"};
  view.witnesses.push_back(Witness("c", 99));
  CHECK(JudgeCommit(view) == CommitVerdict::kUnknown);
  // The record may name a candidate that this daemon does not know.
  view.witnesses.pop_back();
  CHECK(JudgeCommit(view) == CommitVerdict::kUnknown);
}

// Guards against positions of different terms that are compared although a promotion has rolled the
// commit back.
TEST_CASE("a commit cannot be shown to be safe once a member follows a later term") {
  CommitWitness later = Witness("b", 90);
  later.received = {4, 90};
  CHECK(JudgeCommit(View({Witness("a", 100), later})) == CommitVerdict::kSuperseded);
  CommitWitness earlier = Witness("b", 200);
  earlier.received = {2, 200};
  CHECK(JudgeCommit(View({Witness("a", 99), earlier})) == CommitVerdict::kUnknown);
}

// Guards against commits that only one member has which may have restarted, or that only members
// have which other daemons do not know yet.
TEST_CASE("a single member shows a commit only if it has not restarted") {
  CommitView view = View({Witness("a", 100, false)});
  CHECK(JudgeCommit(view) == CommitVerdict::kUnknown);
  view.witnesses = {Witness("a", 100)};
  CHECK(JudgeCommit(view) == CommitVerdict::kSafe);
  // Without a record, all known members must have the commit.
  view.has_record = false;
  view.witnesses = {Witness("a", 100), Witness("b", 99)};
  CHECK(JudgeCommit(view) == CommitVerdict::kUnknown);
  view.witnesses = {Witness("a", 100), Witness("b", 100)};
  CHECK(JudgeCommit(view) == CommitVerdict::kSafe);
}

}  // namespace
}  // namespace poplarmoor
