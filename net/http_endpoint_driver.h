#pragma once

#include "net/endpoint_driver.h"

namespace poplarmoor {

/// Driver "http": implements the HTTP endpoint protocol that section 11 of the design specifies.
class HttpEndpointDriver : public EndpointDriver {
 public:
  std::shared_ptr<EndpointConnection> MakeConnection(boost::asio::any_io_executor executor,
                                                     std::string address) override;
};

}  // namespace poplarmoor
