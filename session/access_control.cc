#include "session/access_control.h"

#include <algorithm>

#include "session/boot_clock.h"
#include "telemetry/log.h"
#include "telemetry/metrics.h"

namespace poplarmoor {

AccessControl::AccessControl(boost::asio::any_io_executor executor, const RouteTable* routes)
    : executor(std::move(executor)), routes(routes) {}

void AccessControl::NoteVerified(TimePoint verified) {
  this->verified = std::max(this->verified, std::optional(verified));
}

std::optional<Duration> AccessControl::Age() const {
  return this->verified ? std::optional(BootNow() - *this->verified) : std::nullopt;
}

AccessCopy AccessControl::OwnCopy() const {
  const auto& organisations = this->routes->organisations;
  return {this->routes->version, organisations ? &*organisations : nullptr, this->verified};
}

void AccessControl::Resolve(const DatabaseRoute& route,
                            KeyId presented,
                            SessionState* state) const {
  const auto& organisations = this->routes->organisations;
  const Organisation* holder = organisations ? organisations->FindByKeyId(presented) : nullptr;
  state->organisation = holder == nullptr ? std::string() : holder->name;
  // No organisation has the empty key, so its fingerprint stands for a required key that the caller
  // has not sent.
  const KeyId required = presented == 0 ? KeyIdOf("") : presented;
  state->key = route.requires_key ? required : 0;
}

std::optional<AccessRefusal> AccessControl::ToRefusal(AccessVerdict verdict) const {
  switch (verdict) {
    case AccessVerdict::kUnknownKey:
      return AccessRefusal{verdict, StatementError::kUnauthorised,
                           "no organisation has the API key"};
    case AccessVerdict::kCopyTooOld:
      return AccessRefusal{verdict, StatementError::kOverloaded,
                           "this daemon cannot verify API keys: its configuration is too old"};
    default:
      return std::nullopt;
  }
}

std::optional<AccessRefusal> AccessControl::Check(const SessionState& state) const {
  const AccessClaim claim{state.key, state.organisation};
  return this->ToRefusal(this->check.Decide(claim, this->OwnCopy(), BootNow()));
}

std::optional<AccessRefusal> AccessControl::CheckRelayed(const RelayedAccess& access) const {
  const AccessClaim claim{access.key, access.organisation};
  const AccessCopy sender{access.version, nullptr, access.verified};
  return this->ToRefusal(this->check.DecideRelayed(claim, sender, this->OwnCopy(), BootNow()));
}

bool AccessControl::IsWithdrawn(const SessionState& state) const {
  return AccessCheck::IsUnknown({state.key, state.organisation}, this->OwnCopy());
}

bool AccessControl::IsWithdrawn(const RelayedAccess& access) const {
  return access.version <= this->version() &&
         AccessCheck::IsUnknown({access.key, access.organisation}, this->OwnCopy());
}

void AccessControl::NoteRefusal(std::string_view subject,
                                std::string_view organisation,
                                std::string_view request_id,
                                const AccessRefusal& refusal) const {
  const auto age = this->Age();
  Log(LogLevel::kWarn, "access refused",
      {{"subject", subject},
       {"organisation", organisation.empty() ? "unknown" : organisation},
       {"request_id", request_id},
       {"reason", kAccessVerdictNames.NameOf(refusal.verdict)},
       {"cause", refusal.cause},
       {"copy_age_ms", age ? ToMillis(*age) : -1},
       {"config_version", this->version()}});
  if (this->metrics != nullptr) {
    this->metrics->Add(Metric::kAccessRefused,
                       {subject, kAccessVerdictNames.NameOf(refusal.verdict)});
  }
}

void AccessControl::NotifyChange() {
  for (const auto& timer : this->waits) {
    timer->cancel();
  }
  for (const auto& listener : this->listeners) {
    listener();
  }
}

}  // namespace poplarmoor
