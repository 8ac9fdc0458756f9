#pragma once

#include <iostream>
#include <string>

namespace poplarmoor {

inline void LogWarning(const std::string& component, const std::string& message) {
  std::cerr << component << ": " << message << "\n";
}

}  // namespace poplarmoor
