#include "kernel/copy_age.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace poplarmoor {

namespace {

// The bound divided by this number is the time for which the answer of a witness counts.
constexpr int kWitnessTimeDivisor = 4;

}  // namespace

CopyAge::CopyAge(ChangeSchedule schedule, TimePoint started) : limits(schedule), started(started) {}

void CopyAge::NoteStoreAnswer(TimePoint sent, TimePoint now) {
  this->verified_at = std::max(this->verified_at, std::optional(sent));
  this->answered_at = std::max(this->answered_at, std::optional(now));
}

void CopyAge::NoteStoreFailure(TimePoint sent) {
  this->failed_call_sent = std::max(this->failed_call_sent, std::optional(sent));
}

void CopyAge::NoteStaleListing(TimePoint now) {
  this->answered_at = std::max(this->answered_at, std::optional(now));
}

bool CopyAge::NotePeerAnswer(const PeerCopy& answer, TimePoint now) {
  // The earliest time at which the peer can have answered.
  const TimePoint answered = answer.sent + answer.held;
  this->answered_at = std::max(this->answered_at, std::optional(answered - answer.silence));
  std::optional<TimePoint> verified;
  if (answer.age) {
    verified = answered - *answer.age;
    this->verified_at = std::max(this->verified_at, verified);
  }
  if (now - answer.sent - answer.held <= ChangeSchedule::kPeerAnswerTimeout) {
    this->prompt_answers.push_back({answer.daemon, now, verified});
  } else {
    this->late_answer_at = now;
  }
  std::erase_if(this->prompt_answers, [this, now](const PromptAnswer& one) {
    return now - one.arrived > this->limits.MaxUseAge() / kWitnessTimeDivisor;
  });
  return answer.reachable && this->limits.IsCurrent(answer.silence);
}

std::optional<Duration> CopyAge::Silence(TimePoint now) const {
  return this->answered_at ? std::optional(now - *this->answered_at) : std::nullopt;
}

std::optional<Duration> CopyAge::Age(TimePoint now) const {
  return this->verified_at ? std::optional(now - *this->verified_at) : std::nullopt;
}

bool CopyAge::IsStoreLostForAll(TimePoint now, size_t others) const {
  const Duration window = this->limits.MaxUseAge() / kWitnessTimeDivisor;
  // After a full link, a call that began on the free link must have failed.
  if (this->late_answer_at &&
      (now - *this->late_answer_at <= window || this->failed_call_sent <= this->late_answer_at)) {
    return false;
  }
  size_t answers = 0;
  std::set<std::string_view> witnesses;
  for (const PromptAnswer& one : this->prompt_answers) {
    const bool is_old = !one.verified || now - *one.verified > this->limits.MaxUseAge();
    if (is_old && now - one.arrived <= window) {
      ++answers;
      witnesses.insert(one.daemon);
    }
  }
  return answers >= kWitnesses && witnesses.size() >= std::min(others, kWitnesses);
}

CopyUse CopyAge::Use(TimePoint now, size_t others) const {
  const std::optional<Duration> age = this->Age(now);
  if (age && *age <= this->limits.MaxUseAge()) {
    return CopyUse::kAll;
  }
  const bool is_starting = !age && now - this->started <= this->limits.MaxUseAge();
  return is_starting || this->IsStoreLostForAll(now, others) ? CopyUse::kKnownRoutes
                                                             : CopyUse::kNothing;
}

bool CopyAge::NeedsYoungerCopy(TimePoint now) const {
  return this->limits.NeedsYoungerCopy(this->Age(now));
}

}  // namespace poplarmoor
