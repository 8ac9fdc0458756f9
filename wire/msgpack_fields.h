#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <string_view>

#include "kernel/log_position.h"
#include "kernel/name_table.h"
#include "wire/codec_error.h"

namespace poplarmoor {

/// Reads the fields of one msgpack map by name. Every failure is a CodecError that names the
/// field; unless a function says otherwise, an absent field reads as zero, false or empty.
/// A field that the caller never reads, for example one with an unknown name, is ignored.
class MsgpackFields {
 public:
  /// @param body Bytes of the map; must outlive this object, which refers to them.
  /// @throws CodecError when the bytes are not one msgpack map.
  explicit MsgpackFields(std::string_view body);

  /// @returns The field's value, which is packed as a string or as binary data.
  std::string_view String(std::string_view name) const;

  uint64_t Uint(std::string_view name) const;
  int64_t Int(std::string_view name) const;
  bool Bool(std::string_view name) const;

  /// @returns Whether the field is present and not nil.
  bool Has(std::string_view name) const;

  /// @returns The log position, which is packed as the array [term, index].
  LogPosition Position(std::string_view name) const;

  /// @returns The enum value, which is packed as its name.
  /// @throws CodecError when the field is absent or contains an unknown name.
  template <typename Enum, size_t N>
  Enum Name(std::string_view name, const NameTable<Enum, N>& names) const {
    const std::string_view text = this->String(name);
    const auto found = names.Find(text);
    if (!found) {
      throw CodecError(std::string(name), "unknown value '" + std::string(text) + "'");
    }
    return *found;
  }

 private:
  const msgpack::object* Find(std::string_view name) const;

  msgpack::object_handle handle;
};

/// Packs named fields into one msgpack map.
class MsgpackWriter {
 public:
  /// @param count Number of fields of the map, which the map's header must state before the fields.
  explicit MsgpackWriter(uint32_t count) : packer(this->buffer) { this->packer.pack_map(count); }

  /// Packs a field with a number, a boolean or a UTF-8 string.
  template <typename Value>
  void Field(std::string_view name, Value value) {
    this->packer.pack(name);
    this->packer.pack(value);
  }

  /// Packs a field with bytes, which need not be UTF-8.
  void Bytes(std::string_view name, std::string_view bytes);

  void Position(std::string_view name, LogPosition position);

  /// @returns The packed map.
  std::string Take() const { return {this->buffer.data(), this->buffer.size()}; }

 private:
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer;
};

}  // namespace poplarmoor
