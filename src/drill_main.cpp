// SPDX-License-Identifier: MIT
// hillshore_drill: the decision module on the simulator's wire.
#include <exception>
#include <iostream>

#include "wire.h"

int main() {
  std::ios::sync_with_stdio(false);
  try {
    hillshore::wire::serve(std::cin, std::cout);
  } catch (const std::exception& problem) {
    std::cerr << "hillshore_drill: " << problem.what() << '\n';
    return 1;
  }
  return 0;
}
