#include "config/operator_profile.h"

#include <filesystem>
#include <nlohmann/json.hpp>
#include <utility>

#include "config/address_check.h"
#include "config/json_file.h"
#include "config/schemas.h"

namespace poplarmoor {

const char* OperatorProfileSchema() {
  return R"json({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "Profile of the command line for one deployment",
  "definitions": {
    "address": {"type": "string", "description": "an address of the form IP:port"}
  },
  "type": "object",
  "additionalProperties": false,
  "required": ["platform"],
  "properties": {
    "platform": {"$ref": "#/definitions/address"},
    "daemons": {"type": "array", "items": {"$ref": "#/definitions/address"}},
    "operator_token_file": {"type": "string", "minLength": 1, "description": "path of a file"}
  }
})json";
}

OperatorProfile ReadOperatorProfile(const std::string& path) {
  const nlohmann::json document = ParseJson(ReadTextFile(path), path);
  auto problems = CheckSchema(document, OperatorProfileSchema(), path);
  if (!problems.empty()) {
    throw ConfigError(std::move(problems));
  }
  OperatorProfile profile;
  profile.platform = document["platform"];
  profile.daemons = document.value("daemons", profile.daemons);
  if (document.contains("operator_token_file")) {
    const auto directory = std::filesystem::path(path).parent_path();
    profile.operator_token_file =
        (directory / document["operator_token_file"].get<std::string>()).string();
  }
  const auto check = [&](const std::string& pointer, const std::string& address) {
    if (!IsAddress(address)) {
      problems.push_back({path, pointer, "\"" + address + "\"", "malformed address",
                          "an IPv4 address and a port from 1 to 65535"});
    }
  };
  check("/platform", profile.platform);
  for (size_t i = 0; i < profile.daemons.size(); ++i) {
    check("/daemons/" + std::to_string(i), profile.daemons[i]);
  }
  if (!problems.empty()) {
    throw ConfigError(std::move(problems));
  }
  return profile;
}

}  // namespace poplarmoor
