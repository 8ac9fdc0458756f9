#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "kernel/name_table.h"

namespace poplarmoor {

struct Deployment;
struct PlatformSnapshot;

/// What the command `apply` does with a platform object.
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
  uint64_t if_version = 0;           // Version that the change is based on; 0: new object.
  std::string value;                 // New content as JSON text.
  std::vector<std::string> details;  // One line for each changed value.
};

/// Changes that bring the platform's configuration in line with the files.
struct ConfigPlan {
  std::vector<UnitChange> changes;    // Changes in the order in which they are applied.
  std::vector<std::string> problems;  // Reasons why the plan must not be applied.
  // Highest revision among the "config" objects that the platform had when the plan was made; 0 if
  // it had none.
  uint64_t revision = 0;
};

/// Compares a deployment with the objects on the platform.
/// @param deployment Checked configuration.
/// @param config Platform objects of kind "config".
/// @param groups Platform objects of kind "group".
/// @returns The changes to apply, and the problems that forbid applying them.
ConfigPlan MakePlan(const Deployment& deployment,
                    const PlatformSnapshot& config,
                    const PlatformSnapshot& groups);

}  // namespace poplarmoor
