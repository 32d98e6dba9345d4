// SPDX-License-Identifier: MIT
#include "event_loop/acceptor.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <string>
#include <vector>

#include "storage/file_descriptor.h"
#include "support/loopback.h"

namespace edge_proxy::test {
namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

/// Forbids this process to open further descriptors until its destruction.
class NoFreeDescriptors {
 public:
  NoFreeDescriptors() {
    getrlimit(RLIMIT_NOFILE, &before_);
    const int lowest_free = dup(STDIN_FILENO);
    close(lowest_free);
    const rlimit none{static_cast<rlim_t>(lowest_free), before_.rlim_max};
    setrlimit(RLIMIT_NOFILE, &none);
  }
  ~NoFreeDescriptors() { setrlimit(RLIMIT_NOFILE, &before_); }
  NoFreeDescriptors(const NoFreeDescriptors&) = delete;
  NoFreeDescriptors& operator=(const NoFreeDescriptors&) = delete;

 private:
  rlimit before_{};
};

storage::FileDescriptor connect_to(int port) {
  storage::FileDescriptor client(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const sockaddr_in address = loopback_address(port);
  EXPECT_EQ(connect(client.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address), 0);
  return client;
}

template <typename Condition>
bool wait_until(Condition condition) {
  const auto end = Clock::now() + 2s;
  while (!condition() && Clock::now() < end) {
    g_main_context_iteration(nullptr, FALSE);
    g_usleep(500);
  }
  return condition();
}

TEST(Acceptor, OperatorsAreAcceptedAfterTheClientListenerClosesDuringAPause) {
  // Guards against a process in its shutdown that no operator reaches: the listener for clients closed while
  // accepting paused for want of descriptors, and nothing watched the one for operators again.
  const int client_port = reserve_port(), admin_port = reserve_port();
  config::Config config;
  config.listen_address = "127.0.0.1:" + std::to_string(client_port);
  config.admin_address = "127.0.0.1:" + std::to_string(admin_port);
  std::vector<proxy::ConnectionId> accepted_from;
  std::string log;
  event_loop::Acceptor acceptor(config, {.poll_connections = [] {},
                                         .on_accepted =
                                             [&](const event_loop::AcceptedSocket& accepted) {
                                               accepted_from.push_back(accepted.listener);
                                             },
                                         .on_descriptors_exhausted = [] {},
                                         .log = [&](const std::string& line) { log += line; }});
  const storage::FileDescriptor client = connect_to(client_port);
  {
    const NoFreeDescriptors none;
    ASSERT_TRUE(wait_until([&] { return log.find("accept failed") != std::string::npos; }));
  }
  acceptor.close_client_listener([](const event_loop::AcceptedSocket&) {});
  const storage::FileDescriptor caller = connect_to(admin_port);
  EXPECT_TRUE(wait_until([&] { return !accepted_from.empty(); }));
  ASSERT_EQ(accepted_from.size(), 1U);
  EXPECT_EQ(accepted_from.front(), proxy::kAdminListener);
  acceptor.close_admin_listener();
}

}  // namespace
}  // namespace edge_proxy::test
