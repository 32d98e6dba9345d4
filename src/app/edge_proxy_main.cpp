// SPDX-License-Identifier: MIT
// The edge proxy: loads the configuration and runs the server.
#include <malloc.h>

#include <csignal>
#include <cstdio>
#include <exception>
#include <map>
#include <string>

#include "event_loop/server.h"

extern char** environ;

namespace {

std::map<std::string, std::string> read_environment() {
  std::map<std::string, std::string> variables;
  for (char** entry = environ; *entry != nullptr; ++entry) {
    const std::string text = *entry;
    const std::size_t separator = text.find('=');
    variables[text.substr(0, separator)] = separator == std::string::npos ? text : text.substr(separator + 1);
  }
  return variables;
}

/// Large buffers get pages of their own, which go back to the system when they are freed, and the top of the
/// heap is returned as well. By default, glibc raises both thresholds whenever a large buffer is freed, and
/// the memory of a short burst stays with the process.
void limit_allocator_overhead() {
  constexpr int kMinMappedBytes = 128 * 1024;
  constexpr int kMaxUnusedTopBytes = 256 * 1024;
  constexpr int kMaxArenas = 2;
  mallopt(M_MMAP_THRESHOLD, kMinMappedBytes);
  mallopt(M_TRIM_THRESHOLD, kMaxUnusedTopBytes);
  mallopt(M_ARENA_MAX, kMaxArenas);
}

}  // namespace

int main() {
  limit_allocator_overhead();
  // A write to a connection closed by the peer must not terminate the process.
  std::signal(SIGPIPE, SIG_IGN);
  try {
    const std::map<std::string, std::string> environment = read_environment();
    const auto load_config = [&environment] { return edge_proxy::config::load(environment); };
    edge_proxy::event_loop::Server server(load_config(), load_config);
    server.run();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "edge-proxy: %s\n", error.what());
    return 1;
  }
  return 0;
}
