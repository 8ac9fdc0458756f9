#pragma once

#include <cstddef>

#include "kernel/name_table.h"

namespace poplarmoor {

/// Priority of a statement, most urgent first.
enum class Rank {
  kUrgent,      // For ledger postings and bookings.
  kStandard,    // For order and note entry.
  kBackground,  // For lookups and price lists.
};

inline constexpr size_t kRankCount = 3;

inline constexpr NameTable<Rank, kRankCount> kRankNames{{{
    {Rank::kUrgent, "urgent"},
    {Rank::kStandard, "standard"},
    {Rank::kBackground, "background"},
}}};

}  // namespace poplarmoor
