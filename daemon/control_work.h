#pragma once

#include <string>
#include <utility>
#include <vector>

#include "kernel/config_message.h"
#include "kernel/failover_action.h"
#include "kernel/failure_detector.h"
#include "kernel/gossip_message.h"

namespace poplarmoor {

/// I/O that ControlState requests. The control plane performs it without holding a lock.
struct ControlWork {
  std::vector<GossipEnvelope> gossip;
  std::vector<ConfigEnvelope> config;

  // Actions that the groups' failure detectors request, each with the name of the group's service.
  std::vector<std::pair<std::string, DetectorAction>> detections;
  // Actions that the groups' Failover objects request, each with the name of the group's service.
  std::vector<std::pair<std::string, FailoverAction>> failovers;
};

}  // namespace poplarmoor
