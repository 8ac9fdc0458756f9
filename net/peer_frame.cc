#include "net/peer_frame.h"

#include "wire/msgpack_fields.h"

namespace poplarmoor {

namespace {
constexpr uint64_t kVersion = 1;  // Version of the peer protocol.
}

std::string AddPeerLength(std::string_view message) {
  const size_t size = message.size();
  if (size > kMaxPeerFrame) {
    throw CodecError("", "message of " + std::to_string(size) + " bytes exceeds the limit of " +
                             std::to_string(kMaxPeerFrame));
  }
  std::string bytes;
  bytes.reserve(size + kPeerLengthSize);
  for (int shift = 24; shift >= 0; shift -= 8) {
    bytes += static_cast<char>(size >> shift & 0xFF);
  }
  return bytes.append(message);
}

uint32_t ReadPeerLength(std::string_view bytes) {
  uint32_t length = 0;
  for (size_t i = 0; i < kPeerLengthSize; ++i) {
    length = length << 8 | static_cast<unsigned char>(bytes[i]);
  }
  return length;
}

std::string EncodePeerFrame(const PeerFrame& frame) {
  MsgpackWriter writer(4);
  writer.Field("v", kVersion);
  writer.Field("id", frame.id);
  writer.Field("type", std::string_view(frame.message.type));
  writer.Bytes("body", frame.message.body);
  return AddPeerLength(writer.Take());
}

PeerFrame DecodePeerFrame(std::string_view bytes) {
  const MsgpackFields fields(bytes);
  if (fields.Uint("v") != kVersion) {
    throw CodecError("v",
                     "protocol version " + std::to_string(fields.Uint("v")) + " is not supported");
  }
  PeerFrame frame;
  frame.id = fields.Uint("id");
  frame.message.type = fields.String("type");
  frame.message.body = fields.String("body");
  if (frame.message.type.empty()) {
    throw CodecError("type", "is missing");
  }
  return frame;
}

}  // namespace poplarmoor
