#include "config/address_check.h"

#include <charconv>

namespace poplarmoor {

namespace {

// Reads a decimal number of at most `max`, without sign or leading zeros, and advances `position`
// past the number. Returns false when there is no such number.
bool ReadNumber(const char** position, const char* end, unsigned max) {
  unsigned value = 0;
  const auto parsed = std::from_chars(*position, end, value);
  if (parsed.ec != std::errc() || value > max ||
      (**position == '0' && parsed.ptr - *position > 1)) {
    return false;
  }
  *position = parsed.ptr;
  return true;
}

}  // namespace

bool IsAddress(const std::string& text) {
  const char* position = text.data();
  const char* end = position + text.size();
  for (const char separator : {'.', '.', '.', ':'}) {
    if (!ReadNumber(&position, end, 255) || position == end || *position != separator) {
      return false;
    }
    ++position;
  }
  const char* port = position;
  return position != end && ReadNumber(&position, end, 65535) && position == end && *port != '0';
}

}  // namespace poplarmoor
