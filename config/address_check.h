#pragma once

#include <string>

namespace poplarmoor {

/// @param text Text to check.
/// @returns Whether the text has the form "IP:port", with an IPv4 address and a port from 1 to
///     65535.
bool IsAddress(const std::string& text);

}  // namespace poplarmoor
