#include "config/settings_override.h"

namespace poplarmoor {

void RankOverride::ApplyTo(RankSettings* settings) const {
  settings->floor_share = this->floor_share.value_or(settings->floor_share);
  settings->target = this->target.value_or(settings->target);
  settings->worth = this->worth.value_or(settings->worth);
  settings->max_queue = this->max_queue.value_or(settings->max_queue);
}

void SettingsOverride::ApplyTo(ServiceSettings* settings) const {
  for (size_t rank = 0; rank < kRankCount; ++rank) {
    this->ranks[rank].ApplyTo(&settings->ranks[rank]);
  }
  settings->default_deadline = this->deadline.value_or(settings->default_deadline);
  settings->routing = this->routing.value_or(settings->routing);
}

}  // namespace poplarmoor
