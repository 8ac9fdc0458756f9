#include "kernel/trace_id.h"

namespace poplarmoor {

namespace {

constexpr size_t kTraceparentLength = 55;  // "00-" + 32 digits + "-" + 16 digits + "-" + 2 digits.

bool IsLowerHex(const std::string& text) {
  return text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

}  // namespace

std::string FormatHex64(uint64_t value) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string text(16, '0');
  for (size_t i = 16; i-- > 0; value >>= 4) {
    text[i] = kDigits[value & 0xf];
  }
  return text;
}

bool ParseTraceparent(const std::string& header, std::string* trace_id, std::string* span_id) {
  if (header.size() != kTraceparentLength || header.substr(0, 3) != "00-" || header[35] != '-' ||
      header[52] != '-') {
    return false;
  }
  const std::string trace = header.substr(3, 32);
  const std::string span = header.substr(36, 16);
  const bool all_zero = trace.find_first_not_of('0') == std::string::npos ||
                        span.find_first_not_of('0') == std::string::npos;
  if (!IsLowerHex(trace) || !IsLowerHex(span) || all_zero) {
    return false;
  }
  *trace_id = trace;
  *span_id = span;
  return true;
}

}  // namespace poplarmoor
