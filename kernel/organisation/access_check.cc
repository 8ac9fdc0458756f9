#include "kernel/organisation/access_check.h"

#include <algorithm>

namespace poplarmoor {

namespace {

// The bound divided by this number is subtracted from the bound: a statement that is allowed still
// has to reach its endpoint.
constexpr int kMarginDivisor = 40;

}  // namespace

bool AccessCheck::IsUnknown(const AccessClaim& claim, const AccessCopy& copy) {
  if (copy.organisations == nullptr || claim.key == 0) {
    return false;
  }
  const Organisation* holder = copy.organisations->FindByKeyId(claim.key);
  return holder == nullptr || holder->name != claim.organisation;
}

bool AccessCheck::IsTooOld(std::optional<TimePoint> verified, TimePoint now) const {
  return this->bound &&
         (!verified || now - *verified >= *this->bound - *this->bound / kMarginDivisor);
}

AccessVerdict AccessCheck::Decide(const AccessClaim& claim,
                                  const AccessCopy& own,
                                  TimePoint now) const {
  if (own.organisations == nullptr || claim.key == 0) {
    return AccessVerdict::kAllowed;
  }
  if (IsUnknown(claim, own)) {
    return AccessVerdict::kUnknownKey;
  }
  return this->IsTooOld(own.verified, now) ? AccessVerdict::kCopyTooOld : AccessVerdict::kAllowed;
}

AccessVerdict AccessCheck::DecideRelayed(const AccessClaim& claim,
                                         const AccessCopy& sender,
                                         const AccessCopy& own,
                                         TimePoint now) const {
  // The copy with the higher version decides about the key. It holds every change that was made
  // until either copy was verified, so the later of the two times applies to it.
  const bool sender_is_newer = sender.version > own.version;
  AccessCopy newest = own;
  newest.verified = std::max(sender.verified, own.verified);
  if (!sender_is_newer) {
    return this->Decide(claim, newest, now);
  }
  // The sender has checked the key in its newer copy. A claim without an organisation comes from a
  // deployment that has none.
  const bool has_claim = claim.key != 0 && !claim.organisation.empty();
  return has_claim && this->IsTooOld(newest.verified, now) ? AccessVerdict::kCopyTooOld
                                                           : AccessVerdict::kAllowed;
}

}  // namespace poplarmoor
