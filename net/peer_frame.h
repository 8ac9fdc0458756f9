#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "net/peer_network.h"

namespace poplarmoor {

inline constexpr size_t kMaxPeerFrame = 2 << 20;  // Largest message in bytes, without its prefix.
inline constexpr size_t kPeerLengthSize = 4;      // Bytes of the length prefix of a message.

/// One message on a peer connection.
struct PeerFrame {
  uint64_t id = 0;  // Call id; an answer has the id of its call.
  PeerMessage message;
};

/// @returns The length prefix and the encoded message.
/// @throws CodecError when the message exceeds kMaxPeerFrame.
std::string EncodePeerFrame(const PeerFrame& frame);

/// @param bytes An encoded message without its length prefix.
/// @throws CodecError that names the field that is malformed.
PeerFrame DecodePeerFrame(std::string_view bytes);

/// Prepends the length prefix to a message.
/// @throws CodecError when the message exceeds kMaxPeerFrame.
std::string AddPeerLength(std::string_view message);

/// @param bytes At least kPeerLengthSize bytes.
/// @returns The message length that the first kPeerLengthSize bytes encode.
uint32_t ReadPeerLength(std::string_view bytes);

}  // namespace poplarmoor
