#pragma once

#include "net/endpoint_driver.h"

namespace poplarmoor {

/// Driver "http": the endpoint protocol of section 11 of the design.
class HttpEndpointDriver : public EndpointDriver {
 public:
  std::shared_ptr<EndpointConnection> MakeConnection(boost::asio::any_io_executor executor,
                                                     std::string address) override;
};

}  // namespace poplarmoor
