#pragma once

#include <string>

namespace poplarmoor {

/// One database server of a group, as the platform's group object names it.
struct EndpointInfo {
  std::string name;
  std::string address;  // "IP:port".
  std::string failure_domain;
  bool leaving = false;  // The platform's VM list, or an operator, says that it is leaving.

  friend bool operator==(const EndpointInfo&, const EndpointInfo&) = default;
};

}  // namespace poplarmoor
