#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "kernel/name_table.h"

namespace poplarmoor {

struct Deployment;
struct PlatformSnapshot;

/// What the command `apply` does with one object that the platform stores.
enum class ChangeAction { kAdd, kChange, kRemove };

inline constexpr NameTable<ChangeAction, 3> kChangeActionNames{{{
    {ChangeAction::kAdd, "add"},
    {ChangeAction::kChange, "change"},
    {ChangeAction::kRemove, "remove"},
}}};

/// Planned change of one object that the platform stores.
struct UnitChange {
  ChangeAction action = ChangeAction::kAdd;
  std::string kind;  // "config" or "group".
  std::string name;
  // Version that the stored object must have when the change is written; 0: no object may exist.
  uint64_t if_version = 0;
  // New content as JSON text. For kRemove, it is {"removed":true}, which marks a unit as removed.
  std::string value;
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
