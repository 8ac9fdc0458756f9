#include "cli/cli.h"

#include <algorithm>
#include <boost/program_options.hpp>
#include <cstdlib>
#include <ostream>

#include "cli/command_error.h"
#include "cli/operators_client.h"
#include "cli/platform_session.h"
#include "config/address_check.h"
#include "config/config_problem.h"
#include "config/daemon_settings.h"
#include "config/operator_profile.h"

namespace poplarmoor {

namespace po = boost::program_options;

namespace {

constexpr const char* kProfileEnvironmentVariable = "POPLARMOOR_PROFILE";
constexpr const char* kExitCodes =
    "Exit codes: 0 done; 1 refused or only partly successful; 2 wrong usage or invalid\n"
    "files; 3 another operator's change came first; 4 platform or daemons unreachable.\n";

}  // namespace

struct Cli::Command {
  const char* name;
  const char* arguments;
  size_t min_arguments;
  size_t max_arguments;
  const char* help;
  ExitCode (Cli::*run)();
};

const std::vector<Cli::Command>& Cli::Commands() {
  constexpr size_t kMaxFileArguments = 10000;
  static const std::vector<Command> commands{
      {"validate", "[BASE [OVERLAY...]]", 0, kMaxFileArguments,
       "Checks a base file with its overlays, and settings files of daemons given by\n"
       "--daemon-settings. Needs neither the platform nor a daemon.",
       &Cli::Validate},
      {"diff", "BASE [OVERLAY...]", 1, kMaxFileArguments,
       "Prints what apply would change on the platform, and the revision there.", &Cli::Diff},
      {"apply", "BASE [OVERLAY...]", 1, kMaxFileArguments,
       "Writes each changed unit to the platform, unless it was changed there meanwhile, and\n"
       "creates missing groups. Changes take effect unit by unit.",
       &Cli::Apply},
      {"get", "[NAME]", 0, 1,
       "Lists the configuration units on the platform, or prints one, for example common,\n"
       "service.orders or site.north. --kind group prints groups.",
       &Cli::Get},
      {"status", "", 0, 0, "Prints the state of every daemon. Exit code 1 if one is unreachable.",
       &Cli::Status},
      {"services", "", 0, 0, "Prints the services as one daemon sees them.", &Cli::Services},
      {"endpoints", "", 0, 0, "Prints the endpoints with their owners, from all daemons.",
       &Cli::Endpoints},
      {"drain", "ENDPOINT", 1, 1,
       "Marks an endpoint as leaving: it gets no new work after a few seconds.", &Cli::Drain},
      {"promote", "SERVICE", 1, 1, "Moves the service's primary to another endpoint.",
       &Cli::Promote},
      {"trace", "TRACE_ID", 1, 1, "Prints the spans of a trace from all daemons, by start time.",
       &Cli::Trace},
      {"metrics", "", 0, 0, "Prints the metrics of all daemons as Prometheus text.", &Cli::Metrics},
      {"version", "", 0, 0, "Prints the version of this program.", &Cli::Version},
  };
  return commands;
}

Cli::Cli(std::ostream& out, std::ostream& err) : out(out), err(err) {}

Cli::~Cli() = default;

void Cli::PrintHelp() const {
  this->out << "Usage: poplarmoor COMMAND [ARGUMENT...] [OPTION...]\n\nCommands:\n";
  for (const Command& command : Commands()) {
    std::string name = command.name;
    name.resize(12, ' ');
    const std::string help = command.help;
    this->out << "  " << name << help.substr(0, help.find_first_of("\n")) << "\n";
  }
  this->out << "\n'poplarmoor COMMAND --help' prints the options of a command.\n" << kExitCodes;
}

bool Cli::ParseOptions(const Command& command, const std::vector<std::string>& arguments) {
  CommandOptions& parsed = this->options;
  std::string profile_path;
  std::string output = "table";
  int timeout_ms = static_cast<int>(parsed.timeout.count());
  uint64_t if_revision = 0;
  const std::string name = command.name;
  po::options_description visible("Options");
  auto add = visible.add_options();
  add("help,h", "print this text");
  add("profile", po::value(&profile_path),
      "file with platform, daemons and token file; default: $POPLARMOOR_PROFILE");
  add("platform", po::value(&parsed.platform), "IP:port of the platform");
  add("daemon", po::value(&parsed.daemons)->composing(),
      "IP:port of a daemon's operators' listener; may be repeated");
  add("token-file", po::value(&parsed.token_file), "file with the operators' token");
  add("output", po::value(&output), "table or json");
  add("timeout-ms", po::value(&timeout_ms), "time limit of one call, 1 to 600000");
  if (name == "validate") {
    add("daemon-settings", po::value(&parsed.daemon_settings)->composing(),
        "settings file of a daemon; may be repeated");
  } else if (name == "get") {
    add("kind", po::value(&parsed.kind), "config (default), group or vm");
  } else if (name == "apply") {
    add("allow-removal", po::bool_switch(&parsed.allow_removal),
        "remove services and overlays that are missing from the files");
    add("wait", po::value(&parsed.wait_seconds),
        "wait up to this many seconds until the change is in force on all daemons");
    add("if-revision", po::value(&if_revision),
        "apply only if the platform's configuration still has this revision (see diff)");
  }
  po::options_description all;
  all.add(visible).add_options()("argument", po::value(&parsed.arguments));
  po::positional_options_description positional;
  positional.add("argument", -1);
  po::variables_map values;
  try {
    po::store(po::command_line_parser(arguments).options(all).positional(positional).run(), values);
    po::notify(values);
  } catch (const po::error& error) {
    throw CommandError(ExitCode::kInvalid,
                       std::string(error.what()) + "; see 'poplarmoor " + name + " --help'");
  }
  if (values.contains("help")) {
    this->out << "Usage: poplarmoor " << name << " " << command.arguments << " [OPTION...]\n\n"
              << command.help << "\n\n"
              << visible << "\n"
              << kExitCodes;
    return false;
  }
  const size_t count = parsed.arguments.size();
  if (count < command.min_arguments || count > command.max_arguments) {
    throw CommandError(ExitCode::kInvalid, "wrong number of arguments; usage: poplarmoor " + name +
                                               " " + command.arguments);
  }
  const auto format = kOutputFormatNames.Find(output);
  if (!format) {
    throw CommandError(ExitCode::kInvalid,
                       "unknown output format '" + output + "'; allowed: table, json");
  }
  if (timeout_ms < 1 || timeout_ms > 600000 || parsed.wait_seconds < 0) {
    throw CommandError(ExitCode::kInvalid, "--timeout-ms or --wait is out of range");
  }
  parsed.output = *format;
  parsed.timeout = std::chrono::milliseconds(timeout_ms);
  if (values.contains("if-revision")) {
    parsed.if_revision = if_revision;
  }
  if (const char* environment_path = std::getenv(kProfileEnvironmentVariable);
      profile_path.empty() && environment_path != nullptr) {
    profile_path = environment_path;
  }
  if (!profile_path.empty()) {
    const OperatorProfile profile = ReadOperatorProfile(profile_path);
    parsed.platform = parsed.platform.empty() ? profile.platform : parsed.platform;
    parsed.daemons = parsed.daemons.empty() ? profile.daemons : parsed.daemons;
    parsed.token_file = parsed.token_file.empty() ? profile.operator_token_file : parsed.token_file;
  }
  return true;
}

PlatformSession& Cli::Platform() {
  if (!this->platform) {
    if (!IsAddress(this->options.platform)) {
      throw CommandError(ExitCode::kInvalid,
                         "the platform's address is missing or malformed; give --platform IP:port "
                         "or --profile");
    }
    this->platform =
        std::make_unique<PlatformSession>(this->options.platform, this->options.timeout);
  }
  return *this->platform;
}

OperatorsClient& Cli::Daemons() {
  if (!this->daemons) {
    const std::vector<std::string>& addresses = this->options.daemons;
    if (addresses.empty() || !std::all_of(addresses.begin(), addresses.end(), IsAddress)) {
      throw CommandError(ExitCode::kInvalid,
                         "a daemon's address is missing or malformed; give --daemon IP:port or "
                         "--profile");
    }
    if (this->options.token_file.empty()) {
      throw CommandError(ExitCode::kInvalid,
                         "the operators' token is missing; give --token-file or --profile");
    }
    this->daemons = std::make_unique<OperatorsClient>(
        addresses, ReadTokenFile(this->options.token_file), this->options.timeout);
  }
  return *this->daemons;
}

ExitCode Cli::Run(const std::vector<std::string>& arguments) {
  if (arguments.empty() || arguments[0] == "--help" || arguments[0] == "-h" ||
      arguments[0] == "help") {
    this->PrintHelp();
    return arguments.empty() ? ExitCode::kInvalid : ExitCode::kOk;
  }
  try {
    for (const Command& command : Commands()) {
      if (arguments[0] == command.name) {
        const bool run = this->ParseOptions(command, {arguments.begin() + 1, arguments.end()});
        return run ? (this->*command.run)() : ExitCode::kOk;
      }
    }
    std::vector<std::string> names;
    for (const Command& command : Commands()) {
      names.emplace_back(command.name);
    }
    const std::string nearest = FindNearest(arguments[0], names);
    throw CommandError(ExitCode::kInvalid,
                       "unknown command '" + arguments[0] + "'" +
                           (nearest.empty() ? "" : ", did you mean '" + nearest + "'?") +
                           " Known: " + JoinNames(names));
  } catch (const CommandError& error) {
    this->err << "poplarmoor: " << error.what() << "\n";
    return error.code;
  } catch (const ConfigError& error) {
    this->err << error.what() << "\n";
    return ExitCode::kInvalid;
  } catch (const PlatformError& error) {
    this->err << "poplarmoor: " << error.what() << "\n";
    const bool unreachable = error.failure == PlatformFailure::kUnreachable ||
                             error.failure == PlatformFailure::kRateLimited;
    return unreachable ? ExitCode::kUnreachable : ExitCode::kFailed;
  } catch (const std::exception& error) {
    this->err << "poplarmoor: " << error.what() << "\n";
    return ExitCode::kFailed;
  }
}

}  // namespace poplarmoor
