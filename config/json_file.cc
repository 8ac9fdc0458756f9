#include "config/json_file.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace poplarmoor {

using nlohmann::json;

namespace {

// Maximum length of a JSON value in a problem report, in bytes; longer values are cut.
constexpr size_t kMaxValueBytes = 80;

std::string DescribeNumber(const json& number) {
  return number.dump();
}

// Describes the values that a schema node allows.
std::string DescribeAllowed(const json& node) {
  if (node.contains("description")) {
    return node["description"].get<std::string>();
  }
  if (node.contains("enum")) {
    std::vector<std::string> names;
    for (const json& value : node["enum"]) {
      names.push_back(value.is_string() ? value.get<std::string>() : value.dump());
    }
    return JoinNames(names);
  }
  std::string text = node.value("type", "any value");
  if (text == "object" && node.contains("properties")) {
    std::vector<std::string> names;
    for (const auto& [name, ignored] : node["properties"].items()) {
      names.push_back(name);
    }
    return "object with " + JoinNames(names);
  }
  if (node.contains("minimum") && node.contains("maximum")) {
    text += " from " + DescribeNumber(node["minimum"]) + " to " + DescribeNumber(node["maximum"]);
  } else if (node.contains("minimum")) {
    text += " of at least " + DescribeNumber(node["minimum"]);
  }
  if (node.contains("minItems")) {
    text += " of at least " + DescribeNumber(node["minItems"]) + " items";
  }
  if (node.contains("minLength")) {
    text += ", not empty";
  }
  return text;
}

const json& Dereference(const json& node, const json& schema) {
  const json* current = &node;
  while (current->is_object() && current->contains("$ref")) {
    current = &schema.at(json::json_pointer((*current)["$ref"].get<std::string>().substr(1)));
  }
  return *current;
}

// Value in a document, the schema node that describes the value, and the value's JSON pointer.
struct Location {
  const json* value;
  const json* node;
  std::string pointer;
};

Location Locate(const std::vector<std::string>& context, const json& document, const json& schema) {
  Location location{&document, &Dereference(schema, schema), ""};
  for (size_t i = 1; i < context.size(); ++i) {
    const std::string key = context[i].substr(1, context[i].size() - 2);
    location.pointer = JoinPointer(location.pointer, key);
    const json* next = nullptr;
    if (location.value->is_array()) {
      location.value = &location.value->at(std::stoul(key));
      next = &location.node->at("items");
    } else {
      location.value = &location.value->at(key);
      const bool known =
          location.node->contains("properties") && (*location.node)["properties"].contains(key);
      next =
          known ? &(*location.node)["properties"][key] : &location.node->at("additionalProperties");
    }
    location.node = &Dereference(*next, schema);
  }
  return location;
}

void AddUnknownKeys(const Location& location,
                    const std::string& file,
                    std::vector<ConfigProblem>* problems) {
  std::vector<std::string> known;
  for (const auto& [name, ignored] : location.node->at("properties").items()) {
    known.push_back(name);
  }
  for (const auto& [name, value] : location.value->items()) {
    if (std::find(known.begin(), known.end(), name) != known.end()) {
      continue;
    }
    const std::string nearest = FindNearest(name, known);
    std::string message = "unknown key '" + name + "'";
    if (!nearest.empty()) {
      message += ", did you mean '" + nearest + "'?";
    }
    problems->push_back(
        {file, JoinPointer(location.pointer, name), ShortJson(value), message, JoinNames(known)});
  }
}

void AddMissingKeys(const Location& location,
                    const std::string& file,
                    std::vector<ConfigProblem>* problems) {
  for (const json& key : location.node->at("required")) {
    const auto name = key.get<std::string>();
    if (!location.value->contains(name)) {
      const json empty = json::object();
      const bool described = location.node->contains("properties");
      const json& node = described ? (*location.node)["properties"].value(name, empty) : empty;
      problems->push_back({file, JoinPointer(location.pointer, name), "",
                           "required key '" + name + "' is missing", DescribeAllowed(node)});
    }
  }
}

}  // namespace

std::string ReadTextFile(const std::string& path) {
  std::ifstream stream(path, std::ios::binary);
  std::string text{std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
  if (!stream) {
    throw ConfigError({{path, "", "", "cannot read the file", "a readable file"}});
  }
  return text;
}

json ParseJson(const std::string& text, const std::string& file) {
  std::vector<ConfigProblem> problems;
  std::vector<std::set<std::string>> keys;
  const auto check_keys = [&](int, json::parse_event_t event, json& parsed) {
    if (event == json::parse_event_t::object_start) {
      keys.emplace_back();
    } else if (event == json::parse_event_t::object_end) {
      keys.pop_back();
    } else if (event == json::parse_event_t::key) {
      const auto name = parsed.get<std::string>();
      if (!keys.back().insert(name).second) {
        problems.push_back({file, "", "\"" + name + "\"", "duplicate key in one object", "once"});
      }
    }
    return true;
  };
  try {
    json document = json::parse(text, check_keys, true, true);
    if (!problems.empty()) {
      throw ConfigError(std::move(problems));
    }
    return document;
  } catch (const json::exception& error) {
    throw ConfigError({{file, "", "", error.what(), "JSON"}});
  }
}

std::vector<ConfigProblem> CheckSchema(const json& document,
                                       const std::string& schema_text,
                                       const std::string& file) {
  const json schema_document = json::parse(schema_text);
  valijson::Schema schema;
  valijson::SchemaParser parser;
  const valijson::adapters::NlohmannJsonAdapter schema_adapter(schema_document);
  parser.populateSchema(schema_adapter, schema);
  valijson::Validator validator;
  valijson::ValidationResults results;
  const valijson::adapters::NlohmannJsonAdapter document_adapter(document);
  if (validator.validate(schema, document_adapter, &results)) {
    return {};
  }
  std::vector<ConfigProblem> problems;
  for (const auto& error : results) {
    const Location location = Locate(error.context, document, schema_document);
    if (error.description.starts_with("Failed to validate")) {
      continue;  // `results` has a separate error for the inner value that is invalid.
    }
    if (error.description.starts_with("Object contains a property")) {
      AddUnknownKeys(location, file, &problems);
    } else if (error.description.starts_with("Missing required property")) {
      AddMissingKeys(location, file, &problems);
    } else {
      problems.push_back({file, location.pointer, ShortJson(*location.value), "invalid value",
                          DescribeAllowed(*location.node)});
    }
  }
  std::sort(problems.begin(), problems.end(),
            [](const ConfigProblem& left, const ConfigProblem& right) {
              return std::tie(left.pointer, left.message) < std::tie(right.pointer, right.message);
            });
  problems.erase(std::unique(problems.begin(), problems.end()), problems.end());
  return problems;
}

std::string ShortJson(const json& value) {
  std::string text = value.dump(-1, ' ', false, json::error_handler_t::replace);
  if (text.size() > kMaxValueBytes) {
    text = text.substr(0, kMaxValueBytes - 3) + "...";
  }
  return text;
}

std::string JoinPointer(const std::string& pointer, const std::string& key) {
  std::string escaped;
  for (const char letter : key) {
    escaped += letter == '~' ? "~0" : letter == '/' ? "~1" : std::string(1, letter);
  }
  return pointer + "/" + escaped;
}

}  // namespace poplarmoor
