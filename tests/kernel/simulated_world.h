#pragma once

#include <memory>
#include <string>

#include "kernel/name_table.h"
#include "kernel/random.h"
#include "tests/kernel/simulated_clock.h"
#include "tests/kernel/simulated_group.h"
#include "tests/kernel/simulated_network.h"
#include "tests/kernel/simulated_store.h"
#include "tests/kernel/takeover_scenario.h"

namespace poplarmoor {

/// Answer of the simulated platform to a promotion order.
enum class SimulatedPromotion { kAccepted, kRefused, kUnknown };

inline constexpr NameTable<SimulatedPromotion, 3> kSimulatedPromotionNames{{{
    {SimulatedPromotion::kAccepted, "accepted"},
    {SimulatedPromotion::kRefused, "refused"},
    {SimulatedPromotion::kUnknown, "no answer"},
}}};

/// Rules that a test drops, to show that the simulation finds the commits which are lost then.
struct TakeoverDefects {
  bool acknowledges_at_once = false;      // Commits are not verified.
  bool orders_before_publishing = false;  // The record does not name an ordered candidate.
  // A new claim forgets the ordered promotions, so that replicas may be resumed beside one.
  bool gives_up_orders = false;
  bool ignores_continuity = false;  // Members count although they may have restarted.
};

/// What a simulated daemon sees of the simulation.
class SimulatedWorld {
 public:
  virtual ~SimulatedWorld() = default;

  virtual SimulatedClock* Clock() = 0;
  virtual SimulatedNetwork* Network() = 0;
  virtual SimulatedGroup* Group() = 0;
  virtual SimulatedStore* Store() = 0;
  virtual RandomEngine* Random() = 0;
  virtual const TakeoverScenario& Scenario() const = 0;
  virtual const TakeoverDefects& Defects() const = 0;

  /// Sends a promotion order to the platform.
  /// @param decided When the daemon decided to send the order; it may have been frozen since.
  virtual void Promote(int daemon,
                       const std::string& endpoint,
                       uint64_t token,
                       TimePoint decided,
                       std::shared_ptr<SimulatedReply<SimulatedPromotion>> reply) = 0;
  /// Reports that a daemon acknowledges a commit to its caller.
  virtual void OnAcknowledged(int daemon, LogPosition entry) = 0;
  /// Reports that a daemon tells its caller that a commit is in doubt.
  virtual void OnInDoubt() = 0;
  /// Called before each step of a takeover; may stop or freeze the daemon.
  virtual void OnHolderStep(SimulatedProcess* process) = 0;
  /// Adds a line to the trace of the events.
  virtual void Trace(const std::string& text) = 0;
};

}  // namespace poplarmoor
