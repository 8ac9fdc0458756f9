#include <iostream>

#include "cli/cli.h"

int main(int argc, char** argv) {
  poplarmoor::Cli cli(std::cout, std::cerr);
  return static_cast<int>(cli.Run({argv + 1, argv + argc}));
}
