#include "net/http_endpoint_driver.h"

#include "net/http_endpoint_connection.h"
#include "net/strand.h"

namespace poplarmoor {

namespace {
const Registry<EndpointDriver>::Entry kEntry("http",
                                             [] { return std::make_unique<HttpEndpointDriver>(); });
}

std::shared_ptr<EndpointConnection> HttpEndpointDriver::MakeConnection(
    boost::asio::any_io_executor executor,
    std::string address) {
  return std::make_shared<HttpEndpointConnection>(MakeStrand(executor), address,
                                                  this->control_traffic);
}

}  // namespace poplarmoor
