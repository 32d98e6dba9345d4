// SPDX-License-Identifier: MIT
// Tests how soon many simultaneously started processes are ready while discovery is down or slow.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>

#include "support/loopback.h"
#include "support/scenario.h"

namespace edge_proxy::test {
namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

int listen_on(int& port) {
  const int fd = bind_shared_socket(port);
  fcntl(fd, F_SETFL, O_NONBLOCK);
  EXPECT_EQ(listen(fd, 512), 0);
  return fd;
}

/// The client call `probe`; in the answer of a ready process, kReadyAnswer precedes the last byte.
const std::string kProbeRequest("\0\0\0\x12\x80\1\0\1\0\0\0\5probe\0\0\0\1\0", 22);
const std::string kReadyAnswer("\2\0\3\1", 4);

struct Process {
  int pid = -1, port = 0, socket = -1;
  bool probe_sent = false, ready = false;
  Clock::time_point started_at{};
  std::chrono::milliseconds time_to_ready{0};
};

/// Starts `count` processes at once. Discovery listens after `discovery_start_delay` and answers each call
/// after `discovery_answer_delay`. Without an endpoint list in the configuration, the processes are ready
/// only after discovery has sent one. Returns the times from the start to a positive `probe` answer, in
/// ascending order.
std::vector<std::chrono::milliseconds> measure_times_to_ready(
    int count, bool listed_at_start, std::chrono::milliseconds discovery_start_delay,
    std::chrono::milliseconds discovery_answer_delay) {
  std::signal(SIGPIPE, SIG_IGN);
  const char* deployed = std::getenv("EDGE_PROXY_DEPLOYED");
  const std::string program = deployed != nullptr ? deployed : EDGE_PROXY_PROGRAM;
  std::string folder = "/tmp/edge_proxy-test-XXXXXX";
  EXPECT_NE(mkdtemp(folder.data()), nullptr);
  int discovery_port = 0, discovery_socket = listen_on(discovery_port);
  close(std::exchange(discovery_socket, -1));
  const auto address = [](int port) { return "127.0.0.1:" + std::to_string(port); };
  std::vector<Process> processes(static_cast<std::size_t>(count));
  for (Process& process : processes) process.port = reserve_port();
  // fork would copy the large test process, which dominates the start time.
  posix_spawn_file_actions_t file_actions;
  posix_spawn_file_actions_init(&file_actions);
  posix_spawn_file_actions_addopen(&file_actions, 1, "/dev/null", O_WRONLY, 0);
  const auto start_time = Clock::now();
  for (Process& process : processes) {
    const std::string path = folder + "/" + std::to_string(process.port);
    std::ofstream(path) << config_text(
        listed_at_start ? std::vector<std::string>{"box-1", "up-1", "main"} : std::vector<std::string>{},
        {{"edge", address(process.port)},
         {"bulletin", address(discovery_port)},
         {"admin", address(process.port)}});
    const std::string config = "GW_CONFIG=" + path,
                      admin = "GW_ADMIN_ADDR=127.0.0.2:" + std::to_string(process.port);
    std::array<char*, 3> environment{const_cast<char*>(config.c_str()), const_cast<char*>(admin.c_str()),
                                     nullptr};
    std::array<char*, 2> arguments{const_cast<char*>(program.c_str()), nullptr};
    process.started_at = Clock::now();
    EXPECT_EQ(posix_spawn(&process.pid, program.c_str(), &file_actions, nullptr, arguments.data(),
                          environment.data()),
              0);
  }
  posix_spawn_file_actions_destroy(&file_actions);
  struct Call {
    int socket;
    Clock::time_point accepted_at;
    bool answered = false;
  };
  std::vector<Call> calls;
  const std::string endpoint_list_event =
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: "
      R"({"no":1,"roster":{"revision":1,"complete":true,"members":[)" +
      member_json("box-1", "127.0.0.1:9") + "]}}\n\n";
  while (Clock::now() - start_time < 20s &&
         !std::all_of(processes.begin(), processes.end(),
                      [](const Process& process) { return process.ready; })) {
    std::vector<pollfd> polled;
    if (discovery_socket < 0 && Clock::now() - start_time >= discovery_start_delay)
      discovery_socket = listen_on(discovery_port);
    if (discovery_socket >= 0) polled.push_back({discovery_socket, POLLIN, 0});
    for (Process& process : processes) {
      if (process.ready) continue;
      if (process.socket < 0) {
        process.socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in target = loopback_address(process.port);
        if (connect(process.socket, reinterpret_cast<const sockaddr*>(&target), sizeof target) != 0) {
          close(std::exchange(process.socket, -1));
          continue;
        }
        process.probe_sent = false;
      }
      if (!std::exchange(process.probe_sent, true))
        (void)!send(process.socket, kProbeRequest.data(), kProbeRequest.size(), MSG_NOSIGNAL);
      polled.push_back({process.socket, POLLIN, 0});
    }
    poll(polled.data(), polled.size(), 10);
    while (discovery_socket >= 0) {
      const int call = accept4(discovery_socket, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
      if (call < 0) break;
      calls.push_back({call, Clock::now()});
    }
    for (Call& call : calls) {
      if (!call.answered && Clock::now() - call.accepted_at >= discovery_answer_delay) {
        call.answered = true;
        (void)!send(call.socket, endpoint_list_event.data(), endpoint_list_event.size(), MSG_NOSIGNAL);
      }
    }
    for (Process& process : processes) {
      std::string received(256, '\0');
      const ssize_t size = process.socket < 0 || process.ready
                               ? -1
                               : recv(process.socket, received.data(), received.size(), MSG_DONTWAIT);
      if (size <= 0) continue;
      process.probe_sent = false;
      process.ready =
          received.substr(0, static_cast<std::size_t>(size)).find(kReadyAnswer) != std::string::npos;
      process.time_to_ready =
          std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - process.started_at);
    }
  }
  std::vector<std::chrono::milliseconds> times_to_ready;
  for (Process& process : processes) {
    times_to_ready.push_back(process.ready ? process.time_to_ready : 1h);
    kill(process.pid, SIGKILL);
    waitpid(process.pid, nullptr, 0);
    if (process.socket >= 0) close(process.socket);
  }
  for (const Call& call : calls) close(call.socket);
  if (discovery_socket >= 0) close(discovery_socket);
  std::filesystem::remove_all(folder);
  std::sort(times_to_ready.begin(), times_to_ready.end());
  return times_to_ready;
}

void expect_nine_in_ten_ready_within_10s(const char* scenario,
                                         const std::vector<std::chrono::milliseconds>& times) {
  const auto ninth_decile = times[times.size() * 9 / 10];
  std::cout << scenario << ": " << times.size() << " processes, median " << times[times.size() / 2].count()
            << " ms, nine in ten " << ninth_decile.count() << " ms, last " << times.back().count() << " ms\n";
  EXPECT_LT(ninth_decile, 10s) << scenario;
}

int process_count() {
  // The figures of docs/fleet.md use a larger count.
  const char* count = std::getenv("EDGE_PROXY_STARTED");
  return count == nullptr ? 40 : std::atoi(count);
}

TEST(Readiness, ProcessesWithAConfiguredEndpointListAreReadyWithoutDiscovery) {
  expect_nine_in_ten_ready_within_10s("discovery down throughout",
                                      measure_times_to_ready(process_count(), true, 30s, 0ms));
}

TEST(Readiness, ProcessesWithoutAnEndpointListAreReadyOnceSlowDiscoveryReturns) {
  expect_nine_in_ten_ready_within_10s("no list, discovery down for 3 s, then 0.6 s slow",
                                      measure_times_to_ready(process_count(), false, 3s, 600ms));
}

}  // namespace
}  // namespace edge_proxy::test
