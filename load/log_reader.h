#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <string>
#include <vector>

namespace poplarmoor {

struct ServiceHistory;

/// Reads the logs of a service's endpoints.
/// @param endpoints Addresses of the endpoints.
/// @param history Receives the log of the primary with the highest term, and the number of
/// executions of each request id, summed over all endpoints that answer.
/// @returns Name of the primary with the highest term; empty if no primary answers.
boost::asio::awaitable<std::string> ReadServiceLogs(std::vector<std::string> endpoints,
                                                    ServiceHistory& history);

}  // namespace poplarmoor
