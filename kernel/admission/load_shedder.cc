#include "kernel/admission/load_shedder.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace poplarmoor {

namespace {

// Factor by which each shedding step multiplies the admitted fraction of a rank's statements. After
// kStepsPerRank steps, about an eighth is admitted. A smaller factor makes the load oscillate.
constexpr double kShareFactorPerStep = 0.7;
constexpr int kStepsPerRank = 6;
// Minimum time between two shedding steps. The effect of a step shows in the smoothed statement
// time after about this time, in which several statements of 20 to 30 ms finish.
constexpr Duration kStepInterval = 75ms;
// Time without overload after which one shedding step is undone. It is longer than kStepInterval,
// so that shedding ends slowly and the endpoint's queue stays short.
constexpr Duration kRecoveryInterval = 300ms;

}  // namespace

void LoadShedder::RecordStatementTime(Duration smoothed_time, TimePoint now) {
  if (this->limit == Duration{} || smoothed_time <= this->limit) {
    return;
  }
  this->RaiseLevel(now);
}

void LoadShedder::RecordRefusal(TimePoint now) {
  this->RaiseLevel(now);
}

void LoadShedder::RaiseLevel(TimePoint now) {
  this->LowerLevel(now);
  if (this->level > 0 && now - this->raised_at < kStepInterval) {
    return;
  }
  const int highest = kStepsPerRank * (static_cast<int>(this->ranks.size()) - 1);
  this->level = std::min(this->level + 1, std::max(highest, 0));
  this->raised_at = this->changed_at = now;
}

void LoadShedder::LowerLevel(TimePoint now) {
  while (this->level > 0 && now - this->changed_at >= kRecoveryInterval) {
    --this->level;
    this->changed_at += kRecoveryInterval;
  }
}

double LoadShedder::AdmittedShare(int rank, TimePoint now) {
  this->LowerLevel(now);
  // Ranks that are less urgent than this one are shed before it.
  const auto less_urgent = std::distance(this->ranks.upper_bound(rank), this->ranks.end());
  const int steps =
      std::clamp(this->level - kStepsPerRank * static_cast<int>(less_urgent), 0, kStepsPerRank);
  const bool most_urgent = this->ranks.empty() || rank <= *this->ranks.begin();
  return most_urgent ? 1.0 : std::pow(kShareFactorPerStep, steps);
}

bool LoadShedder::Admits(int rank, TimePoint now, RandomEngine* random) {
  this->ranks.insert(rank);
  const double share = this->AdmittedShare(rank, now);
  constexpr size_t kResolution = 1024;
  return share >= 1.0 ||
         static_cast<double>(RandomBelow(random, kResolution)) < share * kResolution;
}

}  // namespace poplarmoor
