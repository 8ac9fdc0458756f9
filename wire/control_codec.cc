#include "wire/control_codec.h"

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <tuple>

#include "wire/codec_error.h"

namespace poplarmoor {

namespace {

using Fields = std::map<std::string, msgpack::object>;
using MemberTuple = std::tuple<std::string, std::string, std::string, uint64_t, std::string>;
using VersionTuple = std::tuple<std::string, std::string, uint64_t>;
using UnitTuple = std::tuple<std::string, std::string, uint64_t, uint64_t, std::string>;

constexpr size_t kMaxItems = 1 << 17;  // Maximum number of items in one array or map.
constexpr size_t kMaxBytes = 2 << 20;  // Longest string, in bytes: 2 MiB, like the longest message.
constexpr size_t kMaxDepth = 8;        // Maximum number of nesting levels in a message.

/// Packs one msgpack map field by field.
class Writer {
 public:
  explicit Writer(uint32_t fields) : packer(this->buffer) { this->packer.pack_map(fields); }

  template <typename Value>
  Writer& Add(const char* name, const Value& value) {
    this->packer.pack(name);
    this->packer.pack(value);
    return *this;
  }

  /// Starts an array field.
  /// @returns Packer with which the calling function must then pack the `size` elements.
  msgpack::packer<msgpack::sbuffer>& Array(const char* name, size_t size) {
    this->packer.pack(name);
    this->packer.pack_array(static_cast<uint32_t>(size));
    return this->packer;
  }

  std::string Take() const { return {this->buffer.data(), this->buffer.size()}; }

 private:
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer;
};

/// Unpacks a msgpack map and calls a function with its fields.
/// @returns The result of the function.
/// @throws CodecError when the body is malformed or a field that the function reads has a wrong
///     type.
template <typename Function>
auto WithFields(const std::string& body, Function function) {
  try {
    const msgpack::unpack_limit limit(kMaxItems, kMaxItems, kMaxBytes, kMaxBytes, 0, kMaxDepth);
    size_t offset = 0;
    const msgpack::object_handle handle =
        msgpack::unpack(body.data(), body.size(), offset, nullptr, nullptr, limit);
    return function(handle.get().as<Fields>());
  } catch (const msgpack::type_error&) {
    throw CodecError("", "a field of the control message has a wrong type");
  } catch (const msgpack::unpack_error& error) {
    throw CodecError("", std::string("message is not valid msgpack: ") + error.what());
  }
}

template <typename Value>
Value Get(const Fields& fields, const char* name) {
  const auto found = fields.find(name);
  return found == fields.end() ? Value() : found->second.as<Value>();
}

template <typename Enum, size_t N>
Enum ToEnum(const char* field, const std::string& text, const NameTable<Enum, N>& names) {
  const auto found = names.Find(text);
  if (!found) {
    throw CodecError(field, "unknown value '" + text + "'");
  }
  return *found;
}

MemberTuple ToTuple(const Member& member) {
  return {member.daemon, member.address, member.failure_domain, member.incarnation,
          std::string(kMemberStateNames.NameOf(member.state))};
}

Member FromTuple(const MemberTuple& tuple) {
  return {std::get<0>(tuple), std::get<1>(tuple), std::get<2>(tuple), std::get<3>(tuple),
          ToEnum("state", std::get<4>(tuple), kMemberStateNames)};
}

void PackMessage(Writer* writer, const GossipMessage& message) {
  std::vector<MemberTuple> updates;
  for (const Member& update : message.updates) {
    updates.push_back(ToTuple(update));
  }
  writer->Add("kind", std::string(kGossipKindNames.NameOf(message.kind)))
      .Add("sender", ToTuple(message.sender))
      .Add("sequence", message.sequence)
      .Add("target", message.target)
      .Add("member_hash", message.member_hash)
      .Add("member_count", message.member_count)
      .Add("config_hash", message.config_hash)
      .Add("bucket_hashes", message.bucket_hashes)
      .Add("differing", message.differing)
      .Add("updates", updates);
}

void UnpackMessage(const Fields& fields, GossipMessage* message) {
  message->kind = ToEnum("kind", Get<std::string>(fields, "kind"), kGossipKindNames);
  message->sender = FromTuple(Get<MemberTuple>(fields, "sender"));
  message->sequence = Get<uint64_t>(fields, "sequence");
  message->target = Get<std::string>(fields, "target");
  message->member_hash = Get<uint64_t>(fields, "member_hash");
  message->member_count = Get<uint64_t>(fields, "member_count");
  message->config_hash = Get<uint64_t>(fields, "config_hash");
  message->bucket_hashes = Get<std::vector<uint64_t>>(fields, "bucket_hashes");
  message->differing = Get<std::vector<uint32_t>>(fields, "differing");
  for (const MemberTuple& update : Get<std::vector<MemberTuple>>(fields, "updates")) {
    message->updates.push_back(FromTuple(update));
  }
}

void PackMessage(Writer* writer, const ConfigMessage& message) {
  std::vector<VersionTuple> versions;
  for (const UnitVersion& unit : message.versions) {
    versions.emplace_back(kUnitKindNames.NameOf(unit.kind), unit.name, unit.version);
  }
  std::vector<UnitTuple> units;
  for (const ConfigUnit& unit : message.units) {
    units.emplace_back(kUnitKindNames.NameOf(unit.kind), unit.name, unit.version, unit.revision,
                       unit.content);
  }
  writer->Add("kind", std::string(kConfigMessageKindNames.NameOf(message.kind)))
      .Add("sender", message.sender)
      .Add("sender_address", message.sender_address)
      .Add("fresh", message.fresh)
      .Add("more", message.more)
      .Add("bucket_hashes", message.bucket_hashes)
      .Add("buckets", message.buckets)
      .Add("versions", versions)
      .Add("units", units);
}

void UnpackMessage(const Fields& fields, ConfigMessage* message) {
  message->kind = ToEnum("kind", Get<std::string>(fields, "kind"), kConfigMessageKindNames);
  message->sender = Get<std::string>(fields, "sender");
  message->sender_address = Get<std::string>(fields, "sender_address");
  message->fresh = Get<bool>(fields, "fresh");
  message->more = Get<bool>(fields, "more");
  message->bucket_hashes = Get<std::vector<uint64_t>>(fields, "bucket_hashes");
  message->buckets = Get<std::vector<uint32_t>>(fields, "buckets");
  for (const auto& [kind, name, version] : Get<std::vector<VersionTuple>>(fields, "versions")) {
    message->versions.push_back({ToEnum("versions", kind, kUnitKindNames), name, version});
  }
  for (const auto& [kind, name, version, revision, content] :
       Get<std::vector<UnitTuple>>(fields, "units")) {
    message->units.push_back(
        {ToEnum("units", kind, kUnitKindNames), name, version, revision, content});
  }
}

constexpr uint32_t kGossipFieldCount = 10;
constexpr uint32_t kConfigFieldCount = 9;

template <typename Message>
std::string PackMessages(const std::vector<Message>& messages, uint32_t field_count) {
  std::vector<std::string> packed;
  for (const Message& message : messages) {
    Writer writer(field_count);
    PackMessage(&writer, message);
    packed.push_back(writer.Take());
  }
  Writer writer(1);
  msgpack::packer<msgpack::sbuffer>& packer = writer.Array("messages", packed.size());
  for (const std::string& each : packed) {
    packer.pack_bin_body(each.data(), static_cast<uint32_t>(each.size()));
  }
  return writer.Take();
}

template <typename Message>
std::vector<Message> UnpackMessages(const std::string& body) {
  return WithFields(body, [](const Fields& fields) {
    std::vector<Message> messages;
    for (const Fields& each : Get<std::vector<Fields>>(fields, "messages")) {
      UnpackMessage(each, &messages.emplace_back());
    }
    return messages;
  });
}

}  // namespace

std::string PackGossip(const std::vector<GossipMessage>& messages) {
  return PackMessages(messages, kGossipFieldCount);
}

std::vector<GossipMessage> UnpackGossip(const std::string& body) {
  return UnpackMessages<GossipMessage>(body);
}

std::string PackConfig(const std::vector<ConfigMessage>& messages) {
  return PackMessages(messages, kConfigFieldCount);
}

std::vector<ConfigMessage> UnpackConfig(const std::string& body) {
  return UnpackMessages<ConfigMessage>(body);
}

std::string PackEndpointReference(const EndpointReference& reference) {
  return Writer(3)
      .Add("service", reference.service)
      .Add("endpoint", reference.endpoint)
      .Add("address", reference.address)
      .Take();
}

EndpointReference UnpackEndpointReference(const std::string& body) {
  return WithFields(body, [](const Fields& fields) {
    return EndpointReference{Get<std::string>(fields, "service"),
                             Get<std::string>(fields, "endpoint"),
                             Get<std::string>(fields, "address")};
  });
}

std::string PackProbeOutcome(ProbeOutcome outcome) {
  return Writer(1).Add("outcome", std::string(kProbeOutcomeNames.NameOf(outcome))).Take();
}

ProbeOutcome UnpackProbeOutcome(const std::string& body) {
  return WithFields(body, [](const Fields& fields) {
    return ToEnum("outcome", Get<std::string>(fields, "outcome"), kProbeOutcomeNames);
  });
}

}  // namespace poplarmoor
