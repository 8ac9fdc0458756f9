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
  kUnreachable,  // No connection, no response in time, or HTTP status 500 or above.
  kConflict,     // The object's version is not the one that the update expected.
  kTooLarge,     // The object's value is larger than the platform allows.
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
  uint64_t version = 0;   // Version of the object's value; 0 when the object does not exist.
  uint64_t revision = 0;  // Revision of the platform's store at the object's last change.
  std::string value;      // Value of the object, as JSON text.
};

/// Objects of one kind that List() or Watch() returned, and the revision that the platform's store
/// had when the platform answered.
struct PlatformSnapshot {
  uint64_t revision = 0;
  std::vector<PlatformObject> objects;
};

/// One VM in the platform's list of VMs.
struct VmInfo {
  std::string name;
  std::string role;     // Role of the VM, "entry" or "endpoint".
  std::string address;  // Address of the VM as the platform reports it.
  std::string failure_domain;
  bool leaving = false;
};

/// Failure of a platform call.
class PlatformError : public std::runtime_error {
 public:
  /// @param failure Why the call failed.
  /// @param message Which call failed and how.
  /// @param may_have_taken_effect Whether a change may have been stored despite the failure.
  PlatformError(PlatformFailure failure, const std::string& message, bool may_have_taken_effect)
      : std::runtime_error(message),
        failure(failure),
        may_have_taken_effect(may_have_taken_effect) {}

  PlatformFailure failure;
  bool may_have_taken_effect;
  // For kConflict: the object that the platform stores; its version differs from the one that the
  // update expected.
  PlatformObject current;
};

/// Client of the platform's object API. It neither retries calls nor limits their rate: the code
/// that uses it does so, with a call budget, backoff and a circuit breaker. Safe to use from
/// several threads.
class PlatformClient {
 public:
  /// @param client HTTP client; must outlive this object.
  /// @param address "IP:port" of the platform.
  /// @param timeout Time limit of a call. For Watch(), the time `wait` is added to it.
  PlatformClient(HttpClient* client, std::string address, std::chrono::milliseconds timeout);

  /// @param kind Kind of the object, for example "config".
  /// @param name Name of the object.
  /// @returns The object, or nothing when it does not exist.
  /// @throws PlatformError when the call fails.
  boost::asio::awaitable<std::optional<PlatformObject>> Get(std::string kind, std::string name);

  /// @param kind Kind of the objects, for example "group".
  /// @returns All objects of the kind.
  /// @throws PlatformError when the call fails.
  boost::asio::awaitable<PlatformSnapshot> List(std::string kind);

  /// Stores a new value of an object if the stored object has the version `if_version`.
  /// @param kind Kind of the object, for example "group".
  /// @param name Name of the object.
  /// @param value New value of the object, as JSON text.
  /// @param if_version Version that the stored object must have; 0 when no object may exist yet.
  /// @returns The stored object with its new version and revision.
  /// @throws PlatformError when the update fails. If its field may_have_taken_effect is true, read
  ///     the object back to learn whether the update was stored.
  boost::asio::awaitable<PlatformObject> Put(std::string kind,
                                             std::string name,
                                             std::string value,
                                             uint64_t if_version);

  /// Waits until an object of the given kind changes.
  /// @param kind Kind of the objects, for example "config".
  /// @param since Revision of the platform's store after which changes are reported.
  /// @param wait Longest time that the platform waits for a change.
  /// @returns The objects that changed after the revision `since`; no objects when none changed
  ///     before the end of `wait`.
  /// @throws PlatformError when the call fails.
  boost::asio::awaitable<PlatformSnapshot> Watch(std::string kind,
                                                 uint64_t since,
                                                 std::chrono::milliseconds wait);

  /// @returns The platform's list of VMs, live and leaving ones. The list may be out of date.
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
