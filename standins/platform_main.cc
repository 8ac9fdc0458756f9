#include <boost/program_options.hpp>
#include <fstream>
#include <iostream>
#include <iterator>

#include "standins/platform_server.h"

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  poplarmoor::PlatformOptions options;
  std::string listen;
  std::string seed;
  po::options_description description("poplarmoor-platform: stand-in for the platform");
  auto add = description.add_options();
  add("help", "print this help");
  add("listen", po::value(&listen)->required(), "IP:port");
  add("seed", po::value(&seed), "JSON file with objects and VMs");
  add("reads-per-s", po::value(&options.reads_per_s)->default_value(2000),
      "maximum number of reads per second");
  add("writes-per-s", po::value(&options.writes_per_s)->default_value(400),
      "maximum number of updates per second");
  add("vm-list-lag-ms", po::value(&options.vm_list_lag_ms)->default_value(0),
      "age of the VM list in ms");
  try {
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, description), values);
    if (values.contains("help")) {
      std::cout << description;
      return 0;
    }
    po::notify(values);
    poplarmoor::PlatformServer server(options);
    if (!seed.empty()) {
      std::ifstream file(seed);
      if (!file) {
        throw std::runtime_error("cannot read " + seed);
      }
      server.Seed({std::istreambuf_iterator<char>(file), {}});
    }
    server.Start(listen);
    std::cout << "platform listens on " << server.address() << std::endl;
    server.RunUntilSignal();
    return 0;
  } catch (const std::exception& error) {
    std::cerr << "poplarmoor-platform: " << error.what() << "\n";
    return 2;
  }
}
