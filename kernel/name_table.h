#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace poplarmoor {

/// Names of the values of an enum class, used in messages, settings and logs.
template <typename Enum, size_t N>
struct NameTable {
  std::array<std::pair<Enum, std::string_view>, N> rows;

  /// @param value Any value of the enum.
  /// @returns Name of the value, or "?" when the table lacks it.
  constexpr std::string_view NameOf(Enum value) const {
    for (const auto& row : this->rows) {
      if (row.first == value) {
        return row.second;
      }
    }
    return "?";
  }

  /// @param name Name as written in a message or settings file.
  /// @returns The value, or nothing when no value has this name.
  constexpr std::optional<Enum> Find(std::string_view name) const {
    for (const auto& row : this->rows) {
      if (row.second == name) {
        return row.first;
      }
    }
    return std::nullopt;
  }
};

}  // namespace poplarmoor
