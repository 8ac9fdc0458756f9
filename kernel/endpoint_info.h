#pragma once

#include <string>

namespace poplarmoor {

/// One database server of a group, as listed in the group object on the platform.
struct EndpointInfo {
  std::string name;
  std::string address;  // Address of the server, "IP:port".
  std::string failure_domain;
  bool leaving = false;  // The server will stop soon; set by the platform's VM list or an operator.

  friend bool operator==(const EndpointInfo&, const EndpointInfo&) = default;
};

}  // namespace poplarmoor
