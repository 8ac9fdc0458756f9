#include "kernel/admission/retry_budget.h"

#include <algorithm>

namespace poplarmoor {

RetryBudget::RetryBudget(double share, double burst) : share(share), burst(burst), tokens(burst) {}

void RetryBudget::OnRequest() {
  this->tokens = std::min(this->burst, this->tokens + this->share);
}

bool RetryBudget::TryTake() {
  if (this->tokens < 1.0) {
    return false;
  }
  this->tokens -= 1.0;
  return true;
}

}  // namespace poplarmoor
