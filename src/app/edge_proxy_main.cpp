// SPDX-License-Identifier: MIT
// The edge proxy: configuration, reducer and sockets wired together.
#include <csignal>
#include <cstdio>
#include <exception>
#include <map>
#include <string>

#include "event_loop/server.h"

extern char** environ;

int main() {
  std::signal(SIGPIPE,
              SIG_IGN);  // a peer that leaves while it is written to ends its connection, not the program
  try {
    std::map<std::string, std::string> environment;
    for (char** entry = environ; *entry != nullptr; ++entry) {
      const std::string text = *entry;
      environment[text.substr(0, text.find('='))] = text.substr(std::min(text.find('=') + 1, text.size()));
    }
    const auto load = [&environment] { return edge_proxy::config::load(environment); };
    edge_proxy::event_loop::Server server(load(), load);
    server.run();
  } catch (const std::exception& problem) {
    std::fprintf(stderr, "edge-proxy: %s\n", problem.what());
    return 1;
  }
  return 0;
}
