#pragma once

#include <cstddef>

#include "kernel/name_table.h"

namespace poplarmoor {

/// Priority of a statement, most urgent first.
enum class Rank {
  kUrgent,      // Ledger postings and bookings.
  kStandard,    // Order and note entry.
  kBackground,  // Lookups and price lists.
};

inline constexpr size_t kRankCount = 3;

inline constexpr NameTable<Rank, kRankCount> kRankNames{{{
    {Rank::kUrgent, "urgent"},
    {Rank::kStandard, "standard"},
    {Rank::kBackground, "background"},
}}};

}  // namespace poplarmoor
