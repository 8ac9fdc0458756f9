#pragma once

#include <string>
#include <utility>
#include <vector>

#include "kernel/config_message.h"
#include "kernel/failover_action.h"
#include "kernel/failure_detector.h"
#include "kernel/gossip_message.h"

namespace poplarmoor {

/// I/O that the control decisions ask for. It is performed without holding any lock.
struct ControlWork {
  std::vector<GossipEnvelope> gossip;
  std::vector<ConfigEnvelope> config;
  std::vector<std::pair<std::string, DetectorAction>> detections;  // By service.
  std::vector<std::pair<std::string, FailoverAction>> failovers;   // By service.
};

}  // namespace poplarmoor
