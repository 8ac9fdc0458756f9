#pragma once

#include <iosfwd>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "kernel/name_table.h"

namespace poplarmoor {

/// Form of a command's output.
enum class OutputFormat { kTable, kJson };

inline constexpr NameTable<OutputFormat, 2> kOutputFormatNames{{{
    {OutputFormat::kTable, "table"},
    {OutputFormat::kJson, "json"},
}}};

/// Writes rows as aligned columns or as a JSON array.
/// @param rows JSON array of objects.
/// @param columns Keys in the order of the columns; empty: the keys of all rows.
/// @param format Form.
/// @param out Receives the text.
void PrintRows(const nlohmann::json& rows,
               std::vector<std::string> columns,
               OutputFormat format,
               std::ostream& out);

}  // namespace poplarmoor
