#include "kernel/session_positions.h"

#include <algorithm>
#include <charconv>
#include <stdexcept>
#include <string_view>

namespace poplarmoor {

namespace {

constexpr char kFormatVersion = '1';

void AppendHex(std::string* out, uint64_t value, char end) {
  char digits[16];
  const auto result = std::to_chars(digits, digits + sizeof(digits), value, 16);
  out->append(digits, result.ptr);
  out->push_back(end);
}

/// Parses a hexadecimal number and its terminator `end` at the front of `rest` and removes both
/// from `rest`.
uint64_t TakeHex(std::string_view* rest, char end) {
  uint64_t value = 0;
  const char* last = rest->data() + rest->size();
  const auto result = std::from_chars(rest->data(), last, value, 16);
  if (result.ec != std::errc() || result.ptr == last || *result.ptr != end) {
    throw std::invalid_argument("session payload: malformed hexadecimal number");
  }
  rest->remove_prefix(static_cast<size_t>(result.ptr - rest->data()) + 1);
  return value;
}

}  // namespace

std::vector<std::string> SessionPositions::Record(const std::string& service,
                                                  LogPosition position) {
  std::vector<std::string> dropped_services;
  if (position.term == 0) {
    return dropped_services;
  }
  const auto found = std::find_if(this->entries.begin(), this->entries.end(),
                                  [&](const Entry& each) { return each.service == service; });
  Entry entry{service, position};
  if (found != this->entries.end()) {
    entry.position = std::max(found->position, position);
    this->entries.erase(found);
  }
  this->entries.push_back(std::move(entry));
  while (this->entries.size() > kMaxServices) {
    dropped_services.push_back(this->entries.front().service);
    this->entries.erase(this->entries.begin());
    this->dropped = true;
  }
  return dropped_services;
}

std::vector<std::string> SessionPositions::Merge(const SessionPositions& other) {
  std::vector<std::string> dropped_services;
  this->dropped = this->dropped || other.dropped;
  for (const Entry& entry : other.entries) {
    for (std::string& service : this->Record(entry.service, entry.position)) {
      dropped_services.push_back(std::move(service));
    }
  }
  return dropped_services;
}

SessionPositions::Requirement SessionPositions::Require(const std::string& service) const {
  for (const Entry& entry : this->entries) {
    if (entry.service == service) {
      return {entry.position, false};
    }
  }
  return {{}, this->dropped};
}

std::string SessionPositions::Encode() const {
  std::string payload{kFormatVersion, this->dropped ? '1' : '0'};
  for (const Entry& entry : this->entries) {
    AppendHex(&payload, entry.service.size(), ':');
    payload += entry.service;
    AppendHex(&payload, entry.position.term, '.');
    AppendHex(&payload, entry.position.index, ';');
  }
  return payload;
}

SessionPositions SessionPositions::Decode(const std::string& payload) {
  if (payload.size() < 2 || payload[0] != kFormatVersion ||
      (payload[1] != '0' && payload[1] != '1')) {
    throw std::invalid_argument("session payload: unknown format");
  }
  SessionPositions positions;
  positions.dropped = payload[1] == '1';
  std::string_view rest(payload);
  rest.remove_prefix(2);
  while (!rest.empty()) {
    Entry entry;
    const uint64_t length = TakeHex(&rest, ':');
    if (length > rest.size()) {
      throw std::invalid_argument("session payload: truncated service name");
    }
    entry.service = rest.substr(0, length);
    rest.remove_prefix(length);
    entry.position.term = TakeHex(&rest, '.');
    entry.position.index = TakeHex(&rest, ';');
    if (entry.position.term == 0 || positions.entries.size() == kMaxServices) {
      throw std::invalid_argument("session payload: position of term 0 or too many services");
    }
    positions.entries.push_back(std::move(entry));
  }
  return positions;
}

}  // namespace poplarmoor
