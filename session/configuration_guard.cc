#include "session/configuration_guard.h"

#include "session/boot_clock.h"
#include "session/relay_router.h"
#include "telemetry/log.h"
#include "telemetry/metrics.h"

namespace poplarmoor {

CopyUse ConfigurationGuard::Use() const {
  return this->age == nullptr ? CopyUse::kAll : this->age->Use(BootNow(), this->ReachablePeers());
}

size_t ConfigurationGuard::ReachablePeers() const {
  size_t count = 0;
  for (const Peer& peer : this->router->plan().Peers()) {
    if (count == CopyAge::kWitnesses) {
      break;
    }
    const bool is_other = peer.daemon != this->router->plan().Self();
    count += is_other && !this->router->health().IsLost(peer) ? 1 : 0;
  }
  return count;
}

void ConfigurationGuard::NoteRefusal(std::string_view subject) const {
  if (this->metrics != nullptr) {
    this->metrics->Add(Metric::kConfigTooOld, {subject});
  }
}

void ConfigurationGuard::Observe(uint64_t version) {
  const CopyUse use = this->Use();
  if (use == this->observed || version == 0) {
    return;
  }
  const auto copy_age = this->age->Age(BootNow());
  Log(use == CopyUse::kAll ? LogLevel::kInfo : LogLevel::kWarn, "use of the configuration changed",
      {{"use", kCopyUseNames.NameOf(use)},
       {"previous", kCopyUseNames.NameOf(this->observed)},
       {"version", version},
       {"copy_age_ms", copy_age ? ToMillis(*copy_age) : -1},
       {"bound_ms", ToMillis(this->age->Schedule().MaxUseAge())},
       {"peers_in_reach", this->ReachablePeers()}});
  this->observed = use;
}

}  // namespace poplarmoor
