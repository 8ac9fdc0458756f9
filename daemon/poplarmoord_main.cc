#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>
#include <iostream>
#include <thread>

#include "config/daemon_settings.h"
#include "daemon/daemon.h"
#include "kernel/large_blocks.h"
#include "telemetry/log.h"

namespace {

/// Waits until SIGINT or SIGTERM has stopped the daemon. The first signal stops the daemon
/// gracefully; a second one stops it without waiting for requests.
void RunUntilSignal(poplarmoor::Daemon* daemon) {
  boost::asio::io_context context(1);
  boost::asio::signal_set signals(context, SIGINT, SIGTERM);
  std::thread stopper;
  signals.async_wait([&](const auto&, int) {
    stopper = std::thread([&] {
      daemon->Stop();
      context.stop();
    });
    signals.async_wait([&](const auto& error, int) {
      if (!error) {
        daemon->StopAtOnce();
      }
    });
  });
  context.run();
  stopper.join();
}

}  // namespace

int main(int argc, char** argv) {
  poplarmoor::ReturnLargeBlocks();
  namespace po = boost::program_options;
  std::string file;
  po::options_description description("poplarmoord: daemon of the poplarmoor database proxy");
  auto add = description.add_options();
  add("settings", po::value(&file)->value_name("FILE"), "settings of this daemon (JSON)");
  add("version", "print the version");
  add("help", "print this help");
  try {
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, description), values);
    po::notify(values);
    if (values.contains("help")) {
      std::cout << description;
      return 0;
    }
    if (values.contains("version")) {
      std::cout << "poplarmoord " << POPLARMOOR_VERSION << "\n";
      return 0;
    }
    if (file.empty()) {
      throw std::invalid_argument("--settings FILE is missing");
    }
    const poplarmoor::DaemonSettings settings = poplarmoor::ReadDaemonSettings(file);
    poplarmoor::SetUpLog(settings.log, settings.daemon);
    poplarmoor::Daemon daemon(settings, poplarmoor::ReadKeysFile(settings.keys_file),
                              poplarmoor::ReadTokenFile(settings.operator_token_file));
    daemon.Start();
    RunUntilSignal(&daemon);
    poplarmoor::ShutDownLog();
    return 0;
  } catch (const std::exception& error) {
    std::cerr << "poplarmoord: " << error.what() << "\n";
    return 2;
  }
}
