#include "cli/config_writer.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "cli/command_error.h"
#include "cli/config_plan.h"
#include "cli/platform_session.h"

namespace poplarmoor {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr int kMaxAttempts = 8;
constexpr milliseconds kFirstRetryDelay{100};
constexpr milliseconds kMaxRetryDelay{2000};

std::string NameOf(const UnitChange& change) {
  return change.kind + "/" + change.name;
}

}  // namespace

ConfigWriter::ConfigWriter(PlatformSession* platform, std::string change_id, Sleep sleep)
    : platform(platform), change_id(std::move(change_id)), sleep(std::move(sleep)) {}

bool ConfigWriter::IsOwnChange(const UnitChange& change, const std::string& value) const {
  const json stored = json::parse(value);
  if (change.kind == "group") {
    // A stored group contains no change id. If its content equals the content that this change
    // writes, this writer is taken to have stored it. Once the group has been updated again, the
    // contents differ and the change is not recognised.
    return stored == json::parse(change.value);
  }
  return stored.is_object() && stored.value("change_id", "") == this->change_id;
}

void ConfigWriter::ThrowConflict(const UnitChange& change,
                                 const PlatformObject& current,
                                 bool may_have_taken_effect) const {
  std::string message = NameOf(change) + " was changed by another operator: it has version " +
                        std::to_string(current.version) + " instead of " +
                        std::to_string(change.if_version);
  if (current.revision != 0) {
    message += " since revision " + std::to_string(current.revision);
  }
  message += may_have_taken_effect && current.version > change.if_version + 1
                 ? "; this change may have been in force before it was replaced"
                 : "; this change was not stored";
  throw CommandError(ExitCode::kConflict, message);
}

PlatformObject ConfigWriter::Write(const UnitChange& change) {
  std::string value = change.value;
  if (change.kind == "config") {
    json content = json::parse(value);
    content["change_id"] = this->change_id;
    value = content.dump();
  }
  bool may_have_taken_effect = false;
  std::string last_error;
  milliseconds delay = kFirstRetryDelay;
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    try {
      if (may_have_taken_effect) {
        const auto current = this->platform->Get(change.kind, change.name);
        if (current && this->IsOwnChange(change, current->value)) {
          this->recovered_lost_answer = true;
          return *current;
        }
        if (current && current->version != change.if_version) {
          this->ThrowConflict(change, *current, true);
        }
      }
      return this->platform->Put(change.kind, change.name, value, change.if_version);
    } catch (const PlatformError& error) {
      last_error = error.what();
      if (error.failure == PlatformFailure::kConflict) {
        // An earlier attempt whose answer was lost may have stored the change. In this case the
        // conflict is with the writer's own change.
        if (may_have_taken_effect && this->IsOwnChange(change, error.current.value)) {
          this->recovered_lost_answer = true;
          return error.current;
        }
        this->ThrowConflict(change, error.current, may_have_taken_effect);
      }
      if (error.failure == PlatformFailure::kTooLarge) {
        throw CommandError(ExitCode::kInvalid, last_error);
      }
      may_have_taken_effect = may_have_taken_effect || error.may_have_taken_effect;
    }
    this->sleep(delay);
    delay = std::min(delay * 2, kMaxRetryDelay);
  }
  throw CommandError(ExitCode::kUnreachable,
                     NameOf(change) +
                         (may_have_taken_effect
                              ? " may or may not have been stored; run diff when the platform is "
                                "reachable: "
                              : " was not stored: ") +
                         last_error);
}

}  // namespace poplarmoor
