#include <boost/program_options.hpp>
#include <iostream>

#include "standins/endpoint_server.h"

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  poplarmoor::EndpointOptions options;
  options.exit_on_crash = true;
  std::string listen;
  std::string role;
  po::options_description description("poplarmoor-endpoint: stand-in for one database server");
  auto add = description.add_options();
  add("help", "print this help");
  add("name", po::value(&options.name)->required(), "name of the endpoint");
  add("listen", po::value(&listen)->required(), "IP:port");
  add("failure-domain", po::value(&options.failure_domain), "failure domain");
  add("slots", po::value(&options.slots)->default_value(3),
      "maximum number of statements that run at once");
  add("connections", po::value(&options.connections)->default_value(25),
      "maximum number of data connections");
  add("connect-ms", po::value(&options.connect_ms)->default_value(10),
      "time in ms to open a data connection");
  add("statement-ms", po::value(&options.statement_ms)->default_value(2),
      "time in ms that a statement takes");
  add("delay-ms", po::value(&options.delay_ms)->default_value(0), "delay in ms of every answer");
  add("primary", po::value(&options.primary_address), "IP:port of the primary to follow");
  add("role", po::value(&role)->default_value("replica"), "primary or replica");
  add("term", po::value(&options.term)->default_value(1), "term at the start");
  try {
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, description), values);
    if (values.contains("help")) {
      std::cout << description;
      return 0;
    }
    po::notify(values);
    options.is_primary = role == "primary";
    poplarmoor::EndpointServer server(options);
    server.Start(listen);
    std::cout << "endpoint " << options.name << " listens on " << server.address() << std::endl;
    server.RunUntilSignal();
    return 0;
  } catch (const std::exception& error) {
    std::cerr << "poplarmoor-endpoint: " << error.what() << "\n";
    return 2;
  }
}
