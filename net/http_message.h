#pragma once

#include <map>
#include <string>

namespace poplarmoor {

/// One HTTP/1.1 request.
struct HttpRequest {
  std::string method = "GET";
  std::string target = "/";                    // Path and query of the URL.
  std::map<std::string, std::string> headers;  // Header values by name; names are in lower case.
  std::string body;
};

/// One HTTP/1.1 response.
struct HttpResponse {
  unsigned status = 200;
  std::map<std::string, std::string> headers;  // Header values by name; names are in lower case.
  std::string body;
  // Whether the server closes the connection after this response.
  bool close = false;
  // Whether the server closes the connection instead of sending this response. Simulated servers
  // set it to inject this fault.
  bool drop = false;
};

}  // namespace poplarmoor
