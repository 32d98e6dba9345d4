// SPDX-License-Identifier: MIT
// dahliahall_benchlink: the decision module on the simulator's wire.
#include <exception>
#include <iostream>

#include "wire.h"

int main() {
  std::ios::sync_with_stdio(false);
  try {
    dahliahall::wire::serve(std::cin, std::cout);
  } catch (const std::exception& problem) {
    std::cerr << "dahliahall_benchlink: " << problem.what() << '\n';
    return 1;
  }
  return 0;
}
