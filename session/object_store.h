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
#include "kernel/store_revision.h"

namespace poplarmoor {

/// One object of the store.
struct StoredObject {
  std::string name;
  // Number of the object's last change, in the era of the answer that the object was read from.
  StoreRevision revision;
  std::string value;     // The object as JSON text.
  bool deleted = false;  // The object was removed; true only in lists of changes.
};

/// All objects of one kind (such as "daemons"), or only those that have changed, with the store
/// revision at which they were read.
struct StoreSnapshot {
  StoreRevision revision;
  std::vector<StoredObject> objects;
};

/// Why a store call failed.
enum class StoreFailure {
  kUnreachable,  // The store did not answer; a write may have taken effect.
  kRefused,      // The store refused the call (overload or outage); the call had no effect.
  kConflict,     // The object does not have the revision that the write expected.
  kHistoryGone,  // The store no longer has the changes that a watch asked for.
  kBadAnswer,    // The store's answer does not follow the protocol.
};

inline constexpr NameTable<StoreFailure, 5> kStoreFailureNames{{{
    {StoreFailure::kUnreachable, "unreachable"},
    {StoreFailure::kRefused, "refused"},
    {StoreFailure::kConflict, "conflict"},
    {StoreFailure::kHistoryGone, "history_gone"},
    {StoreFailure::kBadAnswer, "bad_answer"},
}}};

/// Failure of a store call.
class StoreError : public std::runtime_error {
 public:
  StoreError(StoreFailure failure, const std::string& message)
      : std::runtime_error(message), failure(failure) {}

  StoreFailure failure;
};

/// Store of versioned objects with conditional updates and watches. A failed call is not retried
/// here: the calling code decides whether and when to repeat it.
class ObjectStore {
 public:
  virtual ~ObjectStore() = default;

  /// @param kind Kind of the objects, such as "daemons".
  /// @param stale_ok Whether the result may be some seconds old; such a call costs less.
  /// @returns All objects of the kind.
  /// @throws StoreError.
  virtual boost::asio::awaitable<StoreSnapshot> List(std::string kind, bool stale_ok) = 0;

  /// Waits for changes to objects of a kind.
  /// @param kind Kind of the objects, such as "daemons".
  /// @param since Number of a store revision; only later changes are reported. When the answer has
  ///     another era than this revision, changes may be missing: the number was given out again.
  /// @param wait Longest time that the call waits for a change.
  /// @returns The changes; none when the wait ended without any.
  /// @throws StoreError.
  virtual boost::asio::awaitable<StoreSnapshot> Watch(std::string kind,
                                                      uint64_t since,
                                                      std::chrono::milliseconds wait) = 0;

  /// @param stale_ok Whether the result may be some seconds old; such a call costs less.
  /// @returns The object, or nothing when it does not exist.
  /// @throws StoreError.
  virtual boost::asio::awaitable<std::optional<StoredObject>> Get(std::string kind,
                                                                  std::string name,
                                                                  bool stale_ok) = 0;

  /// Stores an object if the store's present version of it has the expected revision.
  /// @param expected Number of the revision that the present version must have; 0: the object must
  ///     not exist.
  /// @returns The object's new revision.
  /// @throws StoreError; after kUnreachable, read the object to learn whether it was stored.
  virtual boost::asio::awaitable<StoreRevision> Put(std::string kind,
                                                    std::string name,
                                                    std::string value,
                                                    uint64_t expected) = 0;

  /// Stores an object, whatever its revision.
  /// @throws StoreError.
  virtual boost::asio::awaitable<void> Set(std::string kind,
                                           std::string name,
                                           std::string value) = 0;

  /// Removes an object, whatever its revision.
  /// @throws StoreError.
  virtual boost::asio::awaitable<void> Remove(std::string kind, std::string name) = 0;
};

}  // namespace poplarmoor
