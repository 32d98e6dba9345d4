// SPDX-License-Identifier: MIT
// simulator-adapter: connects the router to the simulator's protocol over standard input and output.
#include <exception>
#include <iostream>

#include "simulator/session.h"

int main() {
  std::ios::sync_with_stdio(false);
  try {
    edge_proxy::simulator::serve(std::cin, std::cout);
  } catch (const std::exception& error) {
    std::cerr << "simulator-adapter: " << error.what() << '\n';
    return 1;
  }
  return 0;
}
