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

/// The operators' command line.
class Cli {
 public:
  /// @param out Receives results.
  /// @param err Receives messages.
  Cli(std::ostream& out, std::ostream& err);
  ~Cli();

  /// Runs one command.
  /// @param arguments Arguments without the program's name.
  /// @returns The exit code.
  ExitCode Run(const std::vector<std::string>& arguments);

 private:
  struct Command;

  static const std::vector<Command>& Commands();

  // Parses the options of a command; false when help was printed instead.
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

  /// Asks all daemons and prints an error for each that does not answer with status 200.
  /// @param path Path of the operators' API.
  /// @param[out] all_answer Set to false when a daemon did not; otherwise unchanged.
  /// @returns The answers with status 200.
  std::vector<DaemonAnswer> AskAllOrReport(const std::string& path, bool* all_answer);
  // Waits until all daemons report at least this revision of the configuration.
  ExitCode WaitInForce(uint64_t revision);
  // Sends an order to any daemon and reports its answer.
  ExitCode Order(const std::string& target, const std::string& key, const std::string& done);

  std::ostream& out;
  std::ostream& err;
  CommandOptions options;
  std::unique_ptr<PlatformSession> platform;
  std::unique_ptr<OperatorsClient> daemons;
};

}  // namespace poplarmoor
