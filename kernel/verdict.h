#pragma once

#include "kernel/name_table.h"

namespace poplarmoor {

/// Says whether a request ran. Each daemon that forwards a request passes the verdict back.
enum class Verdict {
  kRan,         // The request ran; if it is a write, the write is acknowledged.
  kNotRun,      // The request did not run and never will.
  kMayHaveRun,  // The answer was lost, or the write ran but is not confirmed.
};

inline constexpr NameTable<Verdict, 3> kVerdictNames{{{
    {Verdict::kRan, "ran"},
    {Verdict::kNotRun, "not_run"},
    {Verdict::kMayHaveRun, "may_have_run"},
}}};

}  // namespace poplarmoor
