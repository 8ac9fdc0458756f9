#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "kernel/log_position.h"
#include "kernel/name_table.h"
#include "wire/codec_error.h"

namespace poplarmoor {

/// Reads the fields of one JSON object and checks their types and limits. Every failure is a
/// CodecError that names the field.
class JsonFields {
 public:
  /// Parses a message.
  /// @param text JSON text.
  /// @throws CodecError when the text is not a JSON object.
  explicit JsonFields(const std::string& text);

  /// Reads a nested object.
  /// @param object The nested object.
  /// @param prefix Name of the object, which precedes field names in error messages.
  JsonFields(nlohmann::json object, const std::string& prefix);

  /// @returns Whether the field is present and not null.
  bool Has(const char* name) const;

  /// @param name Name of a required string field.
  /// @param max_size Longest allowed value in bytes.
  /// @returns The string, which is not empty.
  std::string RequiredString(const char* name, size_t max_size) const;

  /// @returns The string, or an empty one when the field is absent or null.
  std::string OptionalString(const char* name, size_t max_size) const;

  /// @returns The boolean, or `fallback` when the field is absent or null.
  bool OptionalBool(const char* name, bool fallback) const;

  /// @param max Largest allowed value.
  /// @returns The number, or `fallback` when the field is absent or null.
  uint64_t OptionalUint(const char* name, uint64_t fallback, uint64_t max = UINT64_MAX) const;

  /// @returns The value of a required field, which must be an integer from 1 to `max`.
  uint64_t RequiredUint(const char* name, uint64_t max) const;

  /// @returns The nested object; empty when the field is absent or null.
  JsonFields OptionalObject(const char* name) const;

  /// @returns The log position of a field {term, index}; {0, 0} when it is absent or null.
  LogPosition OptionalPosition(const char* name) const;

  /// @returns The field's value as JSON text; "null" when the value is null.
  /// @throws CodecError when the field is absent.
  std::string RequiredJson(const char* name) const;

  /// @returns The field's value as JSON text; "null" when the value is null, and "" when the
  ///     field is absent.
  std::string OptionalJson(const char* name) const;

  /// Reads a required field that holds the name of an enum value.
  /// @param names Names of the enum values.
  /// @returns The enum value that the field names.
  template <typename Enum, size_t N>
  Enum RequiredName(const char* name, const NameTable<Enum, N>& names) const {
    const std::string text = this->RequiredString(name, kMaxName);
    const auto found = names.Find(text);
    if (!found) {
      std::string known;
      for (const auto& row : names.rows) {
        known += (known.empty() ? "" : ", ") + std::string(row.second);
      }
      this->Fail(name, "unknown value '" + text + "'; allowed: " + known);
    }
    return *found;
  }

  /// Reports an invalid field.
  /// @throws CodecError always.
  [[noreturn]] void Fail(const char* name, const std::string& message) const;

  static constexpr size_t kMaxName = 256;  // Longest accepted name or id, in bytes.

 private:
  const nlohmann::json* Find(const char* name) const;

  nlohmann::json object;
  std::string prefix;
};

}  // namespace poplarmoor
