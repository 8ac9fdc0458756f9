#pragma once

#include "kernel/name_table.h"

namespace poplarmoor {

/// Why a primary is to be replaced.
enum class FailoverCause {
  kGone,      // Its address refuses connections: the process does not run.
  kSilent,    // It does not answer two daemons.
  kStalled,   // It answers, but its writes reach no replica.
  kLeaving,   // Its VM is about to stop.
  kOperator,  // POST /v1/promote.
  kTakeover,  // An earlier promotion was not completed.
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
