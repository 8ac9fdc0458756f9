#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "kernel/name_table.h"

namespace poplarmoor {

struct Deployment;
struct PlatformSnapshot;

/// What apply does to a platform object.
enum class ChangeAction { kAdd, kChange, kRemove };

inline constexpr NameTable<ChangeAction, 3> kChangeActionNames{{{
    {ChangeAction::kAdd, "add"},
    {ChangeAction::kChange, "change"},
    {ChangeAction::kRemove, "remove"},
}}};

/// Change of one platform object.
struct UnitChange {
  ChangeAction action = ChangeAction::kAdd;
  std::string kind;  // "config" or "group".
  std::string name;
  uint64_t if_version = 0;           // Version that the change is based on; 0: a new object.
  std::string value;                 // New content, JSON text.
  std::vector<std::string> details;  // One line for each changed value.
};

/// Difference between the files and the platform.
struct ConfigPlan {
  std::vector<UnitChange> changes;    // In the order in which they are to be applied.
  std::vector<std::string> problems;  // Why the plan must not be applied.
  uint64_t revision = 0;              // Highest revision of the configuration on the platform.
};

/// Compares a deployment with the platform.
/// @param deployment Checked configuration.
/// @param config Objects of kind "config".
/// @param groups Objects of kind "group".
/// @returns The plan.
ConfigPlan MakePlan(const Deployment& deployment,
                    const PlatformSnapshot& config,
                    const PlatformSnapshot& groups);

}  // namespace poplarmoor
