#include "net/platform_client.h"

#include <nlohmann/json.hpp>

#include "net/http_client.h"
#include "net/http_connection.h"
#include "net/http_message.h"

namespace poplarmoor {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

// Percent-encodes one segment of a URL path.
std::string EncodeSegment(const std::string& text) {
  constexpr char kDigits[] = "0123456789ABCDEF";
  std::string encoded;
  for (const char letter : text) {
    const auto byte = static_cast<unsigned char>(letter);
    if (std::isalnum(byte) != 0 || letter == '-' || letter == '.' || letter == '_') {
      encoded += letter;
    } else {
      encoded += {'%', kDigits[byte >> 4], kDigits[byte & 0xf]};
    }
  }
  return encoded;
}

std::string ObjectTarget(const std::string& kind, const std::string& name) {
  return "/v1/objects/" + EncodeSegment(kind) + "/" + EncodeSegment(name);
}

// Decodes the JSON body of a response. Throws PlatformError when the body does not follow the
// protocol.
template <typename Decoder>
auto Decode(const HttpResponse& response,
            const std::string& target,
            bool is_change,
            Decoder decoder) {
  try {
    return decoder(json::parse(response.body));
  } catch (const json::exception& error) {
    throw PlatformError(PlatformFailure::kBadAnswer,
                        "platform answer to " + target + " is malformed: " + error.what(),
                        is_change);
  }
}

PlatformObject ReadObject(const json& object) {
  return {object.at("kind"), object.at("name"), object.at("version"), object.at("revision"),
          object.at("value").dump()};
}

PlatformSnapshot ReadSnapshot(const json& answer) {
  PlatformSnapshot snapshot;
  snapshot.revision = answer.at("revision");
  for (const json& object : answer.at("objects")) {
    snapshot.objects.push_back(ReadObject(object));
  }
  return snapshot;
}

std::vector<VmInfo> ReadVms(const json& answer) {
  std::vector<VmInfo> vms;
  for (const json& vm : answer.at("vms")) {
    vms.push_back({vm.at("name"), vm.at("role"), vm.at("address"), vm.at("failure_domain"),
                   vm.at("state") == "leaving"});
  }
  return vms;
}

void RequireStatus(const HttpResponse& response, const HttpRequest& request, unsigned status) {
  if (response.status != status) {
    throw PlatformError(PlatformFailure::kBadAnswer,
                        "platform answered " + request.method + " " + request.target +
                            " with status " + std::to_string(response.status),
                        request.method == "PUT" && response.status >= 500);
  }
}

}  // namespace

PlatformClient::PlatformClient(HttpClient* client,
                               std::string address,
                               std::chrono::milliseconds timeout)
    : client(client), address(std::move(address)), timeout(timeout) {}

asio::awaitable<HttpResponse> PlatformClient::Send(HttpRequest request,
                                                   std::chrono::milliseconds timeout) {
  const bool is_change = request.method == "PUT";
  const std::string call = request.method + " " + request.target;
  HttpResponse response;
  try {
    response = co_await this->client->Send(this->address, std::move(request), timeout);
  } catch (const HttpError& error) {
    throw PlatformError(PlatformFailure::kUnreachable,
                        "platform is unreachable for " + call + ": " + error.what(),
                        is_change && error.sent);
  }
  if (response.status == 429) {
    throw PlatformError(PlatformFailure::kRateLimited, "platform rate limit reached for " + call,
                        false);
  }
  if (response.status >= 500) {
    // An HTTP proxy in front of the platform may answer 5xx although the platform has stored the
    // change.
    throw PlatformError(
        PlatformFailure::kUnreachable,
        "platform answered " + call + " with status " + std::to_string(response.status), is_change);
  }
  co_return response;
}

asio::awaitable<std::optional<PlatformObject>> PlatformClient::Get(std::string kind,
                                                                   std::string name) {
  HttpRequest request;
  request.target = ObjectTarget(kind, name);
  const HttpResponse response = co_await this->Send(request, this->timeout);
  if (response.status == 404) {
    co_return std::nullopt;
  }
  RequireStatus(response, request, 200);
  co_return Decode(response, request.target, false, ReadObject);
}

asio::awaitable<PlatformSnapshot> PlatformClient::List(std::string kind) {
  HttpRequest request;
  request.target = "/v1/objects/" + EncodeSegment(kind);
  const HttpResponse response = co_await this->Send(request, this->timeout);
  RequireStatus(response, request, 200);
  co_return Decode(response, request.target, false, ReadSnapshot);
}

asio::awaitable<PlatformObject> PlatformClient::Put(std::string kind,
                                                    std::string name,
                                                    std::string value,
                                                    uint64_t if_version) {
  HttpRequest request;
  request.method = "PUT";
  request.target = ObjectTarget(kind, name);
  request.body = R"({"if_version":)" + std::to_string(if_version) + R"(,"value":)" + value + "}";
  const HttpResponse response = co_await this->Send(request, this->timeout);
  if (response.status == 409) {
    PlatformError error(
        PlatformFailure::kConflict,
        "object " + kind + "/" + name + " has another version than " + std::to_string(if_version),
        false);
    error.current = Decode(response, request.target, false, [&](const json& answer) {
      return PlatformObject{kind, name, answer.at("version"), answer.at("revision"),
                            answer.value("value", json()).dump()};
    });
    throw error;
  }
  if (response.status == 413) {
    throw PlatformError(PlatformFailure::kTooLarge,
                        "value of " + kind + "/" + name + " (" + std::to_string(value.size()) +
                            " bytes) is above the platform's limit",
                        false);
  }
  RequireStatus(response, request, 200);
  co_return Decode(response, request.target, true, [&](const json& answer) {
    return PlatformObject{kind, name, answer.at("version"), answer.at("revision"), value};
  });
}

asio::awaitable<PlatformSnapshot> PlatformClient::Watch(std::string kind,
                                                        uint64_t since,
                                                        std::chrono::milliseconds wait) {
  HttpRequest request;
  request.target = "/v1/watch/" + EncodeSegment(kind) + "?since=" + std::to_string(since) +
                   "&timeout_ms=" + std::to_string(wait.count());
  const HttpResponse response = co_await this->Send(request, this->timeout + wait);
  RequireStatus(response, request, 200);
  co_return Decode(response, request.target, false, ReadSnapshot);
}

asio::awaitable<std::vector<VmInfo>> PlatformClient::Vms() {
  HttpRequest request;
  request.target = "/v1/vms";
  const HttpResponse response = co_await this->Send(request, this->timeout);
  RequireStatus(response, request, 200);
  co_return Decode(response, request.target, false, ReadVms);
}

}  // namespace poplarmoor
