#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "net/peer_network.h"

namespace poplarmoor {

// Size limit of an encoded message in bytes, without its length prefix.
inline constexpr size_t kMaxPeerFrame = 2 << 20;
inline constexpr size_t kPeerLengthSize = 4;  // Size of a message's length prefix in bytes.

/// One message on a peer connection.
struct PeerFrame {
  uint64_t id = 0;  // Identifies the call on its connection; the answer has the id of the call.
  PeerMessage message;
};

/// @returns The bytes to send: length prefix and encoded message.
/// @throws CodecError when the encoded message is longer than kMaxPeerFrame.
std::string EncodePeerFrame(const PeerFrame& frame);

/// @param bytes An encoded message without its length prefix.
/// @throws CodecError that names the malformed field.
PeerFrame DecodePeerFrame(std::string_view bytes);

/// Prepends the length prefix to an encoded message.
/// @throws CodecError when the message is longer than kMaxPeerFrame.
std::string AddPeerLength(std::string_view message);

/// @param bytes At least kPeerLengthSize bytes.
/// @returns The message length that the first kPeerLengthSize bytes encode.
uint32_t ReadPeerLength(std::string_view bytes);

}  // namespace poplarmoor
