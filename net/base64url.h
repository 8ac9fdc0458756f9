#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace poplarmoor {

/// @param bytes Any bytes.
/// @returns The bytes as base64url text (RFC 4648, section 5) without padding.
std::string EncodeBase64Url(std::string_view bytes);

/// @param text base64url text without padding.
/// @returns The decoded bytes; nothing when `text` is malformed or differs from the text that
///     EncodeBase64Url() returns for these bytes.
std::optional<std::string> DecodeBase64Url(std::string_view text);

}  // namespace poplarmoor
