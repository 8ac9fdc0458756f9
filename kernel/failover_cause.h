#pragma once

#include "kernel/name_table.h"

namespace poplarmoor {

/// Reason for replacing a primary.
enum class FailoverCause {
  // The primary's address refuses connections, so its process is not running; or the recorded
  // primary answers without the primary role, for example after a restart.
  kGone,
  kSilent,    // Two daemons get no answer from the primary.
  kStalled,   // The primary answers, but too few replicas receive its writes.
  kLeaving,   // The primary's VM is about to stop.
  kOperator,  // An operator ordered the promotion (POST /v1/promote).
  kTakeover,  // An earlier promotion was not completed within the takeover delay.
};

inline constexpr NameTable<FailoverCause, 6> kFailoverCauseNames{{{
    {FailoverCause::kGone, "gone"},
    {FailoverCause::kSilent, "silent"},
    {FailoverCause::kStalled, "stalled"},
    {FailoverCause::kLeaving, "leaving"},
    {FailoverCause::kOperator, "operator"},
    {FailoverCause::kTakeover, "takeover"},
}}};

}  // namespace poplarmoor
