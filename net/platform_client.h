#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "kernel/name_table.h"

namespace poplarmoor {

class HttpClient;
struct HttpRequest;
struct HttpResponse;

/// Why a platform call failed.
enum class PlatformFailure {
  kUnreachable,  // No connection, no response in time, or a server error.
  kConflict,     // The object's version is not the one that the update expected.
  kTooLarge,     // The value is above the platform's limit.
  kRateLimited,  // The platform's rate limit is reached.
  kBadAnswer,    // The response does not follow the protocol.
};

inline constexpr NameTable<PlatformFailure, 5> kPlatformFailureNames{{{
    {PlatformFailure::kUnreachable, "unreachable"},
    {PlatformFailure::kConflict, "conflict"},
    {PlatformFailure::kTooLarge, "too_large"},
    {PlatformFailure::kRateLimited, "rate_limited"},
    {PlatformFailure::kBadAnswer, "bad_answer"},
}}};

/// One object in the platform's object store.
struct PlatformObject {
  std::string kind;
  std::string name;
  uint64_t version = 0;   // Version of this object; 0: it does not exist.
  uint64_t revision = 0;  // Platform revision of the object's last change.
  std::string value;      // JSON text.
};

/// Objects of one kind at a revision of the platform.
struct PlatformSnapshot {
  uint64_t revision = 0;
  std::vector<PlatformObject> objects;
};

/// One VM in the platform's list of VMs.
struct VmInfo {
  std::string name;
  std::string role;     // "entry" or "endpoint".
  std::string address;  // Address as the platform reports it.
  std::string failure_domain;
  bool leaving = false;
};

/// Failure of a platform call.
class PlatformError : public std::runtime_error {
 public:
  /// @param failure Kind of failure.
  /// @param message What failed, with kind and name of the object.
  /// @param may_have_taken_effect Whether a change may have been stored despite the failure.
  PlatformError(PlatformFailure failure, const std::string& message, bool may_have_taken_effect)
      : std::runtime_error(message),
        failure(failure),
        may_have_taken_effect(may_have_taken_effect) {}

  PlatformFailure failure;
  bool may_have_taken_effect;
  PlatformObject current;  // For kConflict: the stored object that the update conflicts with.
};

/// Client of the platform's object API. It neither retries nor limits its calls; the caller does
/// that with its budget, backoff and circuit breaker. Safe to use from several threads.
class PlatformClient {
 public:
  /// @param client HTTP client; must outlive this object.
  /// @param address "IP:port" of the platform.
  /// @param timeout Time limit of a call; for a watch, its wait time is added.
  PlatformClient(HttpClient* client, std::string address, std::chrono::milliseconds timeout);

  /// @param kind For example "config".
  /// @param name Name of the object.
  /// @returns The object, or nothing when it does not exist.
  /// @throws PlatformError when the call fails.
  boost::asio::awaitable<std::optional<PlatformObject>> Get(std::string kind, std::string name);

  /// @param kind For example "group".
  /// @returns All objects of the kind.
  /// @throws PlatformError when the call fails.
  boost::asio::awaitable<PlatformSnapshot> List(std::string kind);

  /// Stores an object if it still has the expected version.
  /// @param kind For example "group".
  /// @param name Name of the object.
  /// @param value JSON text.
  /// @param if_version Expected version; 0: the object must not exist.
  /// @returns The stored object with its new version and revision.
  /// @throws PlatformError when the update fails; if its may_have_taken_effect is set, read the
  ///     object back to learn whether the update was stored.
  boost::asio::awaitable<PlatformObject> Put(std::string kind,
                                             std::string name,
                                             std::string value,
                                             uint64_t if_version);

  /// Waits until an object of a kind changes.
  /// @param kind For example "config".
  /// @param since Revision after which changes are reported.
  /// @param wait Longest time to wait for a change.
  /// @returns The objects changed since the revision; no objects when `wait` passed without
  ///     a change.
  /// @throws PlatformError when the call fails.
  boost::asio::awaitable<PlatformSnapshot> Watch(std::string kind,
                                                 uint64_t since,
                                                 std::chrono::milliseconds wait);

  /// @returns Live and leaving VMs. The list may lag behind the actual VMs.
  /// @throws PlatformError when the call fails.
  boost::asio::awaitable<std::vector<VmInfo>> Vms();

 private:
  // Sends a request. Throws PlatformError when there is no response, when the platform's rate limit
  // is reached, and for status 500 and above.
  boost::asio::awaitable<HttpResponse> Send(HttpRequest request, std::chrono::milliseconds timeout);

  HttpClient* client;
  std::string address;
  std::chrono::milliseconds timeout;
};

}  // namespace poplarmoor
