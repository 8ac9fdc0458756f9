#include "net/base64url.h"

#include <array>
#include <cstdint>

namespace poplarmoor {

namespace {

constexpr std::string_view kAlphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

constexpr std::array<int8_t, 256> MakeDigitValues() {
  std::array<int8_t, 256> values{};
  values.fill(-1);
  for (size_t i = 0; i < kAlphabet.size(); ++i) {
    values[static_cast<unsigned char>(kAlphabet[i])] = static_cast<int8_t>(i);
  }
  return values;
}

// Value of each base64url digit, indexed by its character; -1 for all other characters.
constexpr std::array<int8_t, 256> kDigitValues = MakeDigitValues();

}  // namespace

std::string EncodeBase64Url(std::string_view bytes) {
  std::string text;
  text.reserve((bytes.size() * 4 + 2) / 3);
  uint32_t bits = 0;
  int count = 0;
  for (const char byte : bytes) {
    bits = bits << 8 | static_cast<unsigned char>(byte);
    count += 8;
    while (count >= 6) {
      count -= 6;
      text += kAlphabet[bits >> count & 63];
    }
  }
  if (count > 0) {
    text += kAlphabet[bits << (6 - count) & 63];
  }
  return text;
}

std::optional<std::string> DecodeBase64Url(std::string_view text) {
  std::string bytes;
  bytes.reserve(text.size() * 3 / 4);
  uint32_t bits = 0;
  int count = 0;
  for (const char letter : text) {
    const int value = kDigitValues[static_cast<unsigned char>(letter)];
    if (value < 0) {
      return std::nullopt;
    }
    bits = bits << 6 | static_cast<uint32_t>(value);
    count += 6;
    if (count >= 8) {
      count -= 8;
      bytes += static_cast<char>(bits >> count & 0xFF);
    }
  }
  // The bits left over after the last whole byte must be fewer than 6 and all zero, so that each
  // sequence of bytes has exactly one encoding.
  if (count >= 6 || (bits & ((1U << count) - 1)) != 0) {
    return std::nullopt;
  }
  return bytes;
}

}  // namespace poplarmoor
