#pragma once

#include <cstdint>
#include <string>

#include "kernel/name_table.h"

namespace poplarmoor {

/// Kind of a unit; equals the kind of the platform object.
enum class UnitKind {
  kConfig,
  kGroup,
  kVm,
};

inline constexpr NameTable<UnitKind, 3> kUnitKindNames{{{
    {UnitKind::kConfig, "config"},
    {UnitKind::kGroup, "group"},
    {UnitKind::kVm, "vm"},
}}};

/// Version of a unit without its content.
struct UnitVersion {
  UnitKind kind = UnitKind::kConfig;
  std::string name;
  uint64_t version = 0;  // Of the platform object; raised by every update.

  friend bool operator==(const UnitVersion&, const UnitVersion&) = default;
};

/// Independently versioned piece of configuration.
struct ConfigUnit {
  UnitKind kind = UnitKind::kConfig;
  std::string name;
  uint64_t version = 0;   // Of the platform object; raised by every update.
  uint64_t revision = 0;  // Of the platform, over all objects, at this update.
  std::string content;    // Serialized JSON value of the platform object.

  friend bool operator==(const ConfigUnit&, const ConfigUnit&) = default;
};

}  // namespace poplarmoor
