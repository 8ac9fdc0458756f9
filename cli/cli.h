#pragma once

#include <iosfwd>
#include <memory>
#include <string>
#include <vector>

#include "cli/command_options.h"
#include "cli/exit_code.h"

namespace poplarmoor {

class OperatorsClient;
class PlatformSession;
struct Deployment;
struct DaemonAnswer;

/// Parses and runs the commands of the operators' command line.
class Cli {
 public:
  /// @param out Stream for results.
  /// @param err Stream for error and progress messages.
  Cli(std::ostream& out, std::ostream& err);
  ~Cli();

  /// Runs one command.
  /// @param arguments Arguments without the program's name.
  /// @returns The exit code.
  ExitCode Run(const std::vector<std::string>& arguments);

 private:
  struct Command;

  static const std::vector<Command>& Commands();

  // Parses the options of a command. Returns false when it printed the help text instead.
  bool ParseOptions(const Command& command, const std::vector<std::string>& arguments);
  void PrintHelp() const;

  ExitCode Validate();
  ExitCode Diff();
  ExitCode Apply();
  ExitCode Get();
  ExitCode Status();
  ExitCode Services();
  ExitCode Endpoints();
  ExitCode Drain();
  ExitCode Promote();
  ExitCode Trace();
  ExitCode Metrics();
  ExitCode Version();

  Deployment ReadFiles() const;
  PlatformSession& Platform();
  OperatorsClient& Daemons();

  /// Sends a GET request to all daemons and prints an error for each that does not answer with
  /// status 200.
  /// @param path Request path of the operators' API.
  /// @param[out] all_answered Set to false when a daemon does not answer with 200; else unchanged.
  /// @returns The answers with status 200.
  std::vector<DaemonAnswer> GetFromAllDaemons(const std::string& path, bool* all_answered);
  // Waits until all daemons report at least this configuration revision. Throws CommandError if
  // they do not within the time given by --wait.
  ExitCode WaitUntilInForce(uint64_t revision);
  // Sends a POST request with the body {key: argument of the command} to the first reachable
  // daemon. Prints the daemon's answer if the output format is JSON, else `success_text` and the
  // argument.
  ExitCode PostOrder(const std::string& target,
                     const std::string& key,
                     const std::string& success_text);

  std::ostream& out;
  std::ostream& err;
  CommandOptions options;
  std::unique_ptr<PlatformSession> platform;
  std::unique_ptr<OperatorsClient> daemons;
};

}  // namespace poplarmoor
