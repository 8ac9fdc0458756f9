// Commands of the class Cli that work with the configuration: validate, diff, apply and get.
#include <chrono>
#include <nlohmann/json.hpp>
#include <ostream>
#include <thread>

#include "cli/cli.h"
#include "cli/command_error.h"
#include "cli/config_plan.h"
#include "cli/config_writer.h"
#include "cli/operators_client.h"
#include "cli/platform_session.h"
#include "config/config_problem.h"
#include "config/daemon_settings.h"
#include "config/deployment.h"
#include "telemetry/span.h"

namespace poplarmoor {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kStatusPollInterval{200};

json DescribeChange(const UnitChange& change) {
  return {{"action", kChangeActionNames.NameOf(change.action)},
          {"object", change.kind + "/" + change.name},
          {"if_version", change.if_version},
          {"details", change.details}};
}

void PrintChange(const UnitChange& change, std::ostream& out) {
  out << kChangeActionNames.NameOf(change.action) << " " << change.kind << "/" << change.name;
  if (change.if_version > 0) {
    out << " (version " << change.if_version << ")";
  }
  out << "\n";
  for (const std::string& line : change.details) {
    out << "    " << line << "\n";
  }
}

void PrintPlan(const ConfigPlan& plan, OutputFormat format, std::ostream& out) {
  if (format == OutputFormat::kJson) {
    json changes = json::array();
    for (const UnitChange& change : plan.changes) {
      changes.push_back(DescribeChange(change));
    }
    out << json{{"revision", plan.revision}, {"changes", changes}, {"problems", plan.problems}}
               .dump(2)
        << "\n";
    return;
  }
  for (const UnitChange& change : plan.changes) {
    PrintChange(change, out);
  }
  out << (plan.changes.empty() ? "nothing to change"
                               : std::to_string(plan.changes.size()) + " objects to change")
      << "; the platform's configuration has revision " << plan.revision << "\n";
}

}  // namespace

Deployment Cli::ReadFiles() const {
  const std::vector<std::string>& files = this->options.arguments;
  return ReadDeployment(files[0], {files.begin() + 1, files.end()});
}

ExitCode Cli::Validate() {
  std::vector<ConfigProblem> problems;
  const auto check = [&problems](const auto& read) {
    try {
      read();
    } catch (const ConfigError& error) {
      problems.insert(problems.end(), error.problems.begin(), error.problems.end());
    }
  };
  if (this->options.arguments.empty() && this->options.daemon_settings.empty()) {
    throw CommandError(ExitCode::kInvalid, "nothing to validate; give BASE or --daemon-settings");
  }
  if (!this->options.arguments.empty()) {
    check([this] { this->ReadFiles(); });
  }
  for (const std::string& path : this->options.daemon_settings) {
    check([&path] { ReadDaemonSettings(path); });
  }
  if (this->options.output == OutputFormat::kJson) {
    json rows = json::array();
    for (const ConfigProblem& problem : problems) {
      rows.push_back({{"file", problem.file},
                      {"pointer", problem.pointer},
                      {"value", problem.value},
                      {"message", problem.message},
                      {"allowed", problem.allowed}});
    }
    PrintRows(rows, {}, OutputFormat::kJson, this->out);
    return problems.empty() ? ExitCode::kOk : ExitCode::kInvalid;
  }
  if (!problems.empty()) {
    throw ConfigError(std::move(problems));
  }
  this->out << "valid\n";
  return ExitCode::kOk;
}

ExitCode Cli::Diff() {
  const Deployment deployment = this->ReadFiles();
  const PlatformSnapshot config = this->Platform().List("config");
  const ConfigPlan plan = MakePlan(deployment, config, this->Platform().List("group"));
  PrintPlan(plan, this->options.output, this->out);
  for (const std::string& problem : plan.problems) {
    this->err << "poplarmoor: " << problem << "\n";
  }
  return plan.problems.empty() ? ExitCode::kOk : ExitCode::kInvalid;
}

ExitCode Cli::Apply() {
  const Deployment deployment = this->ReadFiles();
  const PlatformSnapshot config = this->Platform().List("config");
  const ConfigPlan plan = MakePlan(deployment, config, this->Platform().List("group"));
  if (!plan.problems.empty()) {
    throw CommandError(ExitCode::kInvalid, plan.problems.front());
  }
  const auto expected = this->options.if_revision;
  if (expected && *expected != plan.revision) {
    throw CommandError(ExitCode::kConflict, "the platform's configuration has revision " +
                                                std::to_string(plan.revision) + " instead of " +
                                                std::to_string(*expected) +
                                                "; nothing was changed");
  }
  for (const UnitChange& change : plan.changes) {
    if (change.action == ChangeAction::kRemove && !this->options.allow_removal) {
      throw CommandError(ExitCode::kInvalid, "the files lack " + change.name +
                                                 ", which is on the platform; give "
                                                 "--allow-removal to remove it; nothing was "
                                                 "changed");
    }
  }
  ConfigWriter writer(&this->Platform(), NewSpanId(),
                      [](milliseconds delay) { std::this_thread::sleep_for(delay); });
  json rows = json::array();
  uint64_t revision = plan.revision;
  for (const UnitChange& change : plan.changes) {
    try {
      const PlatformObject stored = writer.Write(change);
      rows.push_back({{"action", kChangeActionNames.NameOf(change.action)},
                      {"object", change.kind + "/" + change.name},
                      {"version", stored.version},
                      {"revision", stored.revision}});
      if (change.kind == "config") {
        revision = std::max(revision, stored.revision);
      }
    } catch (const CommandError&) {
      // The changes that were stored before the failed one stay in force, so they are listed for
      // the operator.
      PrintRows(rows, {"action", "object", "version", "revision"}, this->options.output, this->out);
      this->err << "poplarmoor: stopped after " << rows.size() << " of " << plan.changes.size()
                << " changes\n";
      throw;
    }
  }
  if (this->options.output == OutputFormat::kTable && rows.empty()) {
    this->out << "nothing to change\n";
  } else {
    PrintRows(rows, {"action", "object", "version", "revision"}, this->options.output, this->out);
  }
  if (writer.HasRecoveredLostAnswer()) {
    this->err << "an answer of the platform was lost; the change was read back and is stored\n";
  }
  return this->options.wait_seconds > 0 ? this->WaitUntilInForce(revision) : ExitCode::kOk;
}

ExitCode Cli::WaitUntilInForce(uint64_t revision) {
  const auto wait_deadline =
      std::chrono::steady_clock::now() + std::chrono::seconds(this->options.wait_seconds);
  std::string last_line;
  for (;;) {
    size_t in_force = 0;
    std::string missing;
    const auto answers = this->Daemons().GetFromAll("/v1/status");
    for (const DaemonAnswer& answer : answers) {
      const json status = json::parse(answer.body, nullptr, false);
      const bool has_revision = answer.status == 200 && status.is_object() &&
                                status.value("config_revision", uint64_t{0}) >= revision;
      if (has_revision) {
        ++in_force;
      } else {
        missing += " " + answer.address;
      }
    }
    const std::string line =
        "in force on " + std::to_string(in_force) + " of " + std::to_string(answers.size());
    if (line != last_line) {
      this->err << line << "\n";
      last_line = line;
    }
    if (in_force == answers.size()) {
      return ExitCode::kOk;
    }
    if (std::chrono::steady_clock::now() >= wait_deadline) {
      throw CommandError(ExitCode::kFailed,
                         "revision " + std::to_string(revision) +
                             " is stored, but these daemons do not report it:" + missing);
    }
    std::this_thread::sleep_for(kStatusPollInterval);
  }
}

ExitCode Cli::Get() {
  if (this->options.arguments.empty()) {
    json rows = json::array();
    for (const PlatformObject& object : this->Platform().List(this->options.kind).objects) {
      rows.push_back({{"name", object.name},
                      {"version", object.version},
                      {"revision", object.revision},
                      {"bytes", object.value.size()}});
    }
    PrintRows(rows, {"name", "version", "revision", "bytes"}, this->options.output, this->out);
    return ExitCode::kOk;
  }
  const std::string& name = this->options.arguments[0];
  const auto object = this->Platform().Get(this->options.kind, name);
  if (!object) {
    throw CommandError(ExitCode::kFailed,
                       "the platform has no object " + this->options.kind + "/" + name);
  }
  this->out << json{{"name", object->name},
                    {"version", object->version},
                    {"revision", object->revision},
                    {"value", json::parse(object->value)}}
                   .dump(2)
            << "\n";
  return ExitCode::kOk;
}

}  // namespace poplarmoor
