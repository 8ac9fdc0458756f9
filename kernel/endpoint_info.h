#pragma once

#include <string>

namespace poplarmoor {

/// One database server of a group, as listed in the group object on the platform.
struct EndpointInfo {
  std::string name;
  std::string address;  // "IP:port".
  std::string failure_domain;
  bool leaving = false;  // Set by the platform's VM list or an operator: it will stop.

  friend bool operator==(const EndpointInfo&, const EndpointInfo&) = default;
};

}  // namespace poplarmoor
