#pragma once

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>

#include "kernel/name_table.h"
#include "kernel/random.h"

namespace poplarmoor {

/// Fault of the primary that starts a takeover.
enum class PrimaryFault {
  kCutFromReplicas,  // The primary does not reach its replicas; daemons reach all endpoints.
  kCutFromDaemons,   // Some daemons do not reach the primary.
  kSplit,            // The primary and some daemons are cut off from everything else.
  kCrash,
  kLeaves,  // The primary announces that it leaves, and is gone some seconds later.
};

inline constexpr NameTable<PrimaryFault, 5> kPrimaryFaultNames{{{
    {PrimaryFault::kCutFromReplicas, "cut from replicas"},
    {PrimaryFault::kCutFromDaemons, "cut from daemons"},
    {PrimaryFault::kSplit, "split"},
    {PrimaryFault::kCrash, "crash"},
    {PrimaryFault::kLeaves, "leaves"},
}}};

/// Further fault beside that of the primary.
enum class ExtraFault {
  kJoins,           // Replicas join during the takeover.
  kLeaves,          // A replica leaves for good.
  kRestarts,        // Replicas restart, with or without their logs.
  kDeaf,            // A replica stops receiving for a while.
  kLatePromotions,  // Promotion orders are not answered and carried out seconds later, or never.
  kLateOrders,      // Orders to endpoints are not answered and carried out seconds later.
  kHolderFaults,    // The takeover's holder dies or freezes.
  kStoreFaults,     // Answers of the store are lost, and some of these calls are carried out late.
  kStoreCuts,       // Some daemons do not reach the store for a while.
  kRefusedOrders,   // The candidate is down for a moment when its promotion is ordered.
};

inline constexpr NameTable<ExtraFault, 10> kExtraFaultNames{{{
    {ExtraFault::kJoins, "joins"},
    {ExtraFault::kLeaves, "leaves"},
    {ExtraFault::kRestarts, "restarts"},
    {ExtraFault::kDeaf, "deaf"},
    {ExtraFault::kLatePromotions, "late promotions"},
    {ExtraFault::kLateOrders, "late orders"},
    {ExtraFault::kHolderFaults, "holder faults"},
    {ExtraFault::kStoreFaults, "store faults"},
    {ExtraFault::kStoreCuts, "store cuts"},
    {ExtraFault::kRefusedOrders, "refused orders"},
}}};

inline constexpr size_t kPrimaryFaults = 5;
inline constexpr size_t kExtraFaults = 10;

/// Faults of one simulated takeover.
struct TakeoverScenario {
  PrimaryFault fault = PrimaryFault::kCutFromReplicas;
  uint32_t extras = 0;  // Bit set of ExtraFault values.

  /// @param extras Values of the bit set.
  static uint32_t Extras(std::initializer_list<ExtraFault> extras) {
    uint32_t bits = 0;
    for (const ExtraFault extra : extras) {
      bits |= 1U << static_cast<int>(extra);
    }
    return bits;
  }

  /// @param random Random number generator; chooses the scenario.
  static TakeoverScenario Choose(RandomEngine* random) {
    TakeoverScenario scenario;
    scenario.fault = static_cast<PrimaryFault>(RandomBelow(random, kPrimaryFaults));
    // Some scenarios have one further fault, others several, so that both are seen alone.
    const size_t picks = RandomBelow(random, 5);
    for (size_t pick = 0; pick < picks; ++pick) {
      scenario.extras |= 1U << RandomBelow(random, kExtraFaults);
    }
    return scenario;
  }

  bool Has(ExtraFault extra) const { return (this->extras >> static_cast<int>(extra) & 1U) != 0; }

  std::string Describe() const {
    std::string text(kPrimaryFaultNames.NameOf(this->fault));
    for (size_t extra = 0; extra < kExtraFaults; ++extra) {
      const auto value = static_cast<ExtraFault>(extra);
      text += this->Has(value) ? ", " + std::string(kExtraFaultNames.NameOf(value)) : "";
    }
    return text;
  }
};

}  // namespace poplarmoor
