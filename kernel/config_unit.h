#pragma once

#include <cstdint>
#include <string>

#include "kernel/name_table.h"

namespace poplarmoor {

/// Kind of a configuration unit and of the platform object that the unit is read from.
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

/// Identity and version of a configuration unit, without its content.
struct UnitVersion {
  UnitKind kind = UnitKind::kConfig;
  std::string name;
  uint64_t version = 0;  // Version of the platform object, raised by every update of the object.

  friend bool operator==(const UnitVersion&, const UnitVersion&) = default;
};

/// Piece of configuration with a version of its own, read from one platform object.
struct ConfigUnit {
  UnitKind kind = UnitKind::kConfig;
  std::string name;
  uint64_t version = 0;   // Version of the platform object, raised by every update of the object.
  uint64_t revision = 0;  // Platform-wide revision at the object's last update.
  std::string content;    // Serialized JSON value of the platform object.

  friend bool operator==(const ConfigUnit&, const ConfigUnit&) = default;
};

}  // namespace poplarmoor
