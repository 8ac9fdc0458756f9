#include "wire/json_fields.h"

#include <utility>

namespace poplarmoor {

using nlohmann::json;

namespace {

// Maximum number of nesting levels in a message; limited because serializing recurses once per
// level and could overflow the stack.
constexpr size_t kMaxDepth = 128;

/// @returns Whether the arrays and objects of a JSON text nest deeper than kMaxDepth.
bool IsTooDeep(const std::string& text) {
  size_t depth = 0;
  bool in_string = false;
  for (size_t i = 0; i < text.size(); ++i) {
    const char character = text[i];
    if (character == '"') {
      in_string = !in_string;
    } else if (in_string) {
      i += character == '\\' ? 1 : 0;
    } else if (character == '{' || character == '[') {
      if (++depth > kMaxDepth) {
        return true;
      }
    } else if ((character == '}' || character == ']') && depth > 0) {
      --depth;
    }
  }
  return false;
}

json Parse(const std::string& text) {
  if (IsTooDeep(text)) {
    throw CodecError("", "message nests deeper than " + std::to_string(kMaxDepth) + " levels");
  }
  return json::parse(text, nullptr, /*allow_exceptions=*/false);
}

}  // namespace

JsonFields::JsonFields(const std::string& text) : object(Parse(text)) {
  if (this->object.is_discarded()) {
    throw CodecError("", "message is not valid JSON");
  }
  if (!this->object.is_object()) {
    throw CodecError("", "message is not a JSON object");
  }
}

JsonFields::JsonFields(json object, const std::string& prefix)
    : object(std::move(object)), prefix(prefix + ".") {}

void JsonFields::Fail(const char* name, const std::string& message) const {
  throw CodecError(this->prefix + name, message);
}

const json* JsonFields::Find(const char* name) const {
  const auto found = this->object.find(name);
  return found == this->object.end() || found->is_null() ? nullptr : &*found;
}

bool JsonFields::Has(const char* name) const {
  return this->Find(name) != nullptr;
}

std::string JsonFields::OptionalString(const char* name, size_t max_size) const {
  const json* value = this->Find(name);
  if (value == nullptr) {
    return {};
  }
  if (!value->is_string()) {
    this->Fail(name, "must be a string");
  }
  const auto& text = value->get_ref<const std::string&>();
  if (text.size() > max_size) {
    this->Fail(name, "is longer than " + std::to_string(max_size) + " bytes");
  }
  return text;
}

std::string JsonFields::RequiredString(const char* name, size_t max_size) const {
  std::string text = this->OptionalString(name, max_size);
  if (text.empty()) {
    this->Fail(name, this->Has(name) ? "must not be empty" : "is missing");
  }
  return text;
}

bool JsonFields::OptionalBool(const char* name, bool fallback) const {
  const json* value = this->Find(name);
  if (value == nullptr) {
    return fallback;
  }
  if (!value->is_boolean()) {
    this->Fail(name, "must be true or false");
  }
  return value->get<bool>();
}

uint64_t JsonFields::OptionalUint(const char* name, uint64_t fallback, uint64_t max) const {
  const json* value = this->Find(name);
  if (value == nullptr) {
    return fallback;
  }
  if (!value->is_number_unsigned() || value->get<uint64_t>() > max) {
    this->Fail(name, "must be an integer from 0 to " + std::to_string(max));
  }
  return value->get<uint64_t>();
}

uint64_t JsonFields::RequiredUint(const char* name, uint64_t max) const {
  const json* value = this->Find(name);
  if (value == nullptr) {
    this->Fail(name, "is missing");
  }
  if (!value->is_number_unsigned() || value->get<uint64_t>() < 1 || value->get<uint64_t>() > max) {
    this->Fail(name, "must be an integer from 1 to " + std::to_string(max));
  }
  return value->get<uint64_t>();
}

JsonFields JsonFields::OptionalObject(const char* name) const {
  const json* value = this->Find(name);
  if (value == nullptr) {
    return {json::object(), this->prefix + name};
  }
  if (!value->is_object()) {
    this->Fail(name, "must be an object");
  }
  return {*value, this->prefix + name};
}

LogPosition JsonFields::OptionalPosition(const char* name) const {
  const JsonFields fields = this->OptionalObject(name);
  return {fields.OptionalUint("term", 0), fields.OptionalUint("index", 0)};
}

std::string JsonFields::OptionalJson(const char* name) const {
  const auto found = this->object.find(name);
  return found == this->object.end() ? std::string() : found->dump();
}

std::string JsonFields::RequiredJson(const char* name) const {
  std::string text = this->OptionalJson(name);
  if (text.empty()) {
    this->Fail(name, "is missing");
  }
  return text;
}

}  // namespace poplarmoor
