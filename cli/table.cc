#include "cli/table.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <ostream>

namespace poplarmoor {

using nlohmann::json;

namespace {

std::string FormatCell(const json& row, const std::string& key) {
  if (!row.is_object() || !row.contains(key) || row[key].is_null()) {
    return "-";
  }
  std::string text = row[key].is_string() ? row[key].get<std::string>() : row[key].dump();
  // The text comes from other programs. Control characters in it could disturb the terminal.
  std::replace_if(
      text.begin(), text.end(), [](unsigned char byte) { return byte < 0x20 || byte == 0x7f; },
      '?');
  return text;
}

std::vector<std::string> CollectKeys(const json& rows) {
  std::vector<std::string> keys;
  for (const json& row : rows) {
    for (const auto& [key, value] : row.items()) {
      if (std::find(keys.begin(), keys.end(), key) == keys.end()) {
        keys.push_back(key);
      }
    }
  }
  return keys;
}

}  // namespace

void PrintRows(const json& rows,
               std::vector<std::string> columns,
               OutputFormat format,
               std::ostream& out) {
  if (format == OutputFormat::kJson) {
    out << rows.dump(2, ' ', false, json::error_handler_t::replace) << "\n";
    return;
  }
  if (columns.empty()) {
    columns = CollectKeys(rows);
  }
  std::vector<size_t> widths;
  for (const std::string& column : columns) {
    size_t width = column.size();
    for (const json& row : rows) {
      width = std::max(width, FormatCell(row, column).size());
    }
    widths.push_back(width);
  }
  const auto print = [&](const auto& cell_of) {
    for (size_t i = 0; i < columns.size(); ++i) {
      std::string cell = cell_of(columns[i]);
      if (i + 1 < columns.size()) {
        cell.resize(widths[i] + 2, ' ');
      }
      out << cell;
    }
    out << "\n";
  };
  print([](const std::string& column) { return column; });
  for (const json& row : rows) {
    print([&row](const std::string& column) { return FormatCell(row, column); });
  }
}

}  // namespace poplarmoor
