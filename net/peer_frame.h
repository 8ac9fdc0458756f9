#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "net/peer_network.h"

namespace poplarmoor {

inline constexpr size_t kMaxPeerFrame = 2 << 20;  // Bytes of one message without its length.
inline constexpr size_t kPeerLengthSize = 4;      // Bytes of the length before each message.

/// One message on a peer connection.
struct PeerFrame {
  uint64_t id = 0;  // Of a call; its answer has the same.
  PeerMessage message;
};

/// @returns The length and the packed message.
/// @throws CodecError when it exceeds kMaxPeerFrame.
std::string EncodePeerFrame(const PeerFrame& frame);

/// @param bytes The message without its length.
/// @throws CodecError that names the field.
PeerFrame DecodePeerFrame(std::string_view bytes);

/// Prepends the length.
/// @throws CodecError when the message exceeds kMaxPeerFrame.
std::string AddPeerLength(std::string_view message);

/// @param bytes At least kPeerLengthSize bytes.
/// @returns The length that they encode.
uint32_t ReadPeerLength(std::string_view bytes);

}  // namespace poplarmoor
