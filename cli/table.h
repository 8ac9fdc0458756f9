#pragma once

#include <iosfwd>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "kernel/name_table.h"

namespace poplarmoor {

/// Output format of a command.
enum class OutputFormat { kTable, kJson };

inline constexpr NameTable<OutputFormat, 2> kOutputFormatNames{{{
    {OutputFormat::kTable, "table"},
    {OutputFormat::kJson, "json"},
}}};

/// Writes rows as aligned columns or as a JSON array.
/// @param rows JSON array of objects.
/// @param columns Keys to print, in the order of the columns; empty: the keys of all rows. Not
///     used for JSON.
/// @param format Output format.
/// @param out Stream for the text.
void PrintRows(const nlohmann::json& rows,
               std::vector<std::string> columns,
               OutputFormat format,
               std::ostream& out);

}  // namespace poplarmoor
