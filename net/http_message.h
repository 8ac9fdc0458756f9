#pragma once

#include <map>
#include <string>

namespace poplarmoor {

/// One HTTP/1.1 request.
struct HttpRequest {
  std::string method = "GET";
  std::string target = "/";                    // Path and query.
  std::map<std::string, std::string> headers;  // Names in lower case.
  std::string body;
};

/// One HTTP/1.1 response.
struct HttpResponse {
  unsigned status = 200;
  std::map<std::string, std::string> headers;  // Names in lower case.
  std::string body;
  bool close = false;  // Close the connection after this response.
  bool drop = false;   // Close the connection unanswered; simulated servers inject this fault.
};

}  // namespace poplarmoor
