#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "kernel/name_table.h"
#include "kernel/organisation/organisation_table.h"
#include "kernel/time.h"

namespace poplarmoor {

/// Decision about a statement or session with an API key.
enum class AccessVerdict {
  kAllowed,
  kUnknownKey,  // The configuration has no organisation with the key.
  kCopyTooOld,  // The key may have been withdrawn since the copy of the configuration was verified.
};

inline constexpr NameTable<AccessVerdict, 3> kAccessVerdictNames{{{
    {AccessVerdict::kAllowed, "allowed"},
    {AccessVerdict::kUnknownKey, "unknown_key"},
    {AccessVerdict::kCopyTooOld, "copy_too_old"},
}}};

/// API key of a session and the organisation as whose session it runs.
struct AccessClaim {
  KeyId key = 0;  // 0: the database needs no key.
  std::string_view organisation;
};

/// A daemon's copy of the configuration.
struct AccessCopy {
  uint64_t version = 0;
  const OrganisationTable* organisations = nullptr;  // Null: the deployment has no organisations.
  // A time at which this version was certainly the store's latest one; empty: not known.
  std::optional<TimePoint> verified;
};

/// Decides whether a statement may run with an API key, so that no statement runs with a key that
/// was withdrawn longer ago than a bound.
class AccessCheck {
 public:
  /// @param bound Time after which a withdrawn key must not be used; empty: there is no bound, and
  ///     a copy of the configuration never becomes too old.
  explicit AccessCheck(std::optional<Duration> bound) : bound(bound) {}

  /// @param own This daemon's copy.
  AccessVerdict Decide(const AccessClaim& claim, const AccessCopy& own, TimePoint now) const;

  /// Decides about a statement that another daemon has accepted and sent to this one.
  /// @param sender The sender's copy; its organisations are not known here.
  /// @param own This daemon's copy.
  AccessVerdict DecideRelayed(const AccessClaim& claim,
                              const AccessCopy& sender,
                              const AccessCopy& own,
                              TimePoint now) const;

  /// @returns Whether the copy lacks the key or gives it to another organisation.
  static bool IsUnknown(const AccessClaim& claim, const AccessCopy& copy);

 private:
  bool IsTooOld(std::optional<TimePoint> verified, TimePoint now) const;

  std::optional<Duration> bound;
};

}  // namespace poplarmoor
