#include "wire/msgpack_fields.h"

namespace poplarmoor {

namespace {

constexpr size_t kMaxItems = 1 << 16;  // Maximum number of items in one array or map.
constexpr size_t kMaxBytes = 2 << 20;  // Longest string, in bytes: 2 MiB, like the longest message.
constexpr size_t kMaxDepth = 8;        // Maximum number of nesting levels in a message.

// Makes msgpack::unpack() refer to the strings in the message instead of copying them.
bool ReferenceBytes(msgpack::type::object_type, size_t, void*) {
  return true;
}

[[noreturn]] void ThrowTypeError(std::string_view name, const char* expected) {
  throw CodecError(std::string(name), std::string("must be ") + expected);
}

}  // namespace

MsgpackFields::MsgpackFields(std::string_view body) {
  try {
    const msgpack::unpack_limit limit(kMaxItems, kMaxItems, kMaxBytes, kMaxBytes, 0, kMaxDepth);
    size_t offset = 0;
    this->handle =
        msgpack::unpack(body.data(), body.size(), offset, ReferenceBytes, nullptr, limit);
    if (offset != body.size()) {
      throw CodecError("", "message has bytes after its msgpack map");
    }
  } catch (const msgpack::unpack_error& error) {
    throw CodecError("", std::string("message is not valid msgpack: ") + error.what());
  }
  if (this->handle.get().type != msgpack::type::MAP) {
    throw CodecError("", "message is not a msgpack map");
  }
}

const msgpack::object* MsgpackFields::Find(std::string_view name) const {
  const msgpack::object_map& map = this->handle.get().via.map;
  for (uint32_t i = 0; i < map.size; ++i) {
    const msgpack::object& key = map.ptr[i].key;
    if (key.type == msgpack::type::STR &&
        name == std::string_view(key.via.str.ptr, key.via.str.size)) {
      return map.ptr[i].val.is_nil() ? nullptr : &map.ptr[i].val;
    }
  }
  return nullptr;
}

bool MsgpackFields::Has(std::string_view name) const {
  return this->Find(name) != nullptr;
}

std::string_view MsgpackFields::String(std::string_view name) const {
  const msgpack::object* value = this->Find(name);
  if (value == nullptr) {
    return {};
  }
  if (value->type == msgpack::type::STR) {
    return {value->via.str.ptr, value->via.str.size};
  }
  if (value->type == msgpack::type::BIN) {
    return {value->via.bin.ptr, value->via.bin.size};
  }
  ThrowTypeError(name, "a string");
}

uint64_t MsgpackFields::Uint(std::string_view name) const {
  const msgpack::object* value = this->Find(name);
  if (value == nullptr) {
    return 0;
  }
  if (value->type != msgpack::type::POSITIVE_INTEGER) {
    ThrowTypeError(name, "an integer of at least 0");
  }
  return value->via.u64;
}

int64_t MsgpackFields::Int(std::string_view name) const {
  const msgpack::object* value = this->Find(name);
  if (value == nullptr) {
    return 0;
  }
  if (value->type == msgpack::type::NEGATIVE_INTEGER) {
    return value->via.i64;
  }
  if (value->type != msgpack::type::POSITIVE_INTEGER || value->via.u64 > INT64_MAX) {
    ThrowTypeError(name, "an integer");
  }
  return static_cast<int64_t>(value->via.u64);
}

bool MsgpackFields::Bool(std::string_view name) const {
  const msgpack::object* value = this->Find(name);
  if (value == nullptr) {
    return false;
  }
  if (value->type != msgpack::type::BOOLEAN) {
    ThrowTypeError(name, "true or false");
  }
  return value->via.boolean;
}

LogPosition MsgpackFields::Position(std::string_view name) const {
  const msgpack::object* value = this->Find(name);
  if (value == nullptr) {
    return {};
  }
  if (value->type != msgpack::type::ARRAY || value->via.array.size != 2 ||
      value->via.array.ptr[0].type != msgpack::type::POSITIVE_INTEGER ||
      value->via.array.ptr[1].type != msgpack::type::POSITIVE_INTEGER) {
    ThrowTypeError(name, "an array of term and index");
  }
  return {value->via.array.ptr[0].via.u64, value->via.array.ptr[1].via.u64};
}

void MsgpackWriter::Bytes(std::string_view name, std::string_view bytes) {
  this->packer.pack(name);
  this->packer.pack_bin(static_cast<uint32_t>(bytes.size()));
  this->packer.pack_bin_body(bytes.data(), static_cast<uint32_t>(bytes.size()));
}

void MsgpackWriter::Position(std::string_view name, LogPosition position) {
  this->packer.pack(name);
  this->packer.pack_array(2);
  this->packer.pack(position.term);
  this->packer.pack(position.index);
}

}  // namespace poplarmoor
