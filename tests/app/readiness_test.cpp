// SPDX-License-Identifier: MIT
// How soon many processes that start at one moment are ready, while discovery is down or slow.
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

int listening(int& port) {
  const int fd = bound_socket(port);
  fcntl(fd, F_SETFL, O_NONBLOCK);
  EXPECT_EQ(listen(fd, 512), 0);
  return fd;
}

/// `probe`, as clients ask it; the answer holds `good` as its last field but one byte.
const std::string kProbe("\0\0\0\x12\x80\1\0\1\0\0\0\5probe\0\0\0\1\0", 22);
const std::string kGood("\2\0\3\1", 4);

struct Process {
  int pid = -1, port = 0, socket = -1;
  bool asked = false, ready = false;
  Clock::time_point begun{};
  std::chrono::milliseconds took{0};
};

/// Starts `count` processes at once; the bulletin takes calls from `opens` on and says nothing for `slow`
/// after a call. Where the list is not in the configuration, they are ready only once it has told them. The
/// times from exec to `probe` good, shortest first.
std::vector<std::chrono::milliseconds> start_all(int count, bool listed_at_start,
                                                 std::chrono::milliseconds opens,
                                                 std::chrono::milliseconds slow) {
  std::signal(SIGPIPE, SIG_IGN);
  const char* deployed = std::getenv("EDGE_PROXY_DEPLOYED");
  const std::string program = deployed != nullptr ? deployed : EDGE_PROXY_PROGRAM;
  std::string folder = "/tmp/edge_proxy-test-XXXXXX";
  EXPECT_NE(mkdtemp(folder.data()), nullptr);
  int bulletin_port = 0, bulletin = listening(bulletin_port);
  close(std::exchange(bulletin, -1));
  const auto address = [](int port) { return "127.0.0.1:" + std::to_string(port); };
  std::vector<Process> all(static_cast<std::size_t>(count));
  for (Process& p : all) p.port = free_port();
  posix_spawn_file_actions_t
      quiet;  // not fork: the tests' own process is large, and copying it takes longest
  posix_spawn_file_actions_init(&quiet);
  posix_spawn_file_actions_addopen(&quiet, 1, "/dev/null", O_WRONLY, 0);
  const auto begun = Clock::now();
  for (Process& p : all) {
    const std::string path = folder + "/" + std::to_string(p.port);
    std::ofstream(path) << config_text(
        listed_at_start ? std::vector<std::string>{"box-1", "up-1", "main"} : std::vector<std::string>{},
        {{"edge", address(p.port)}, {"bulletin", address(bulletin_port)}, {"admin", address(p.port)}});
    const std::string config = "GW_CONFIG=" + path,
                      admin = "GW_ADMIN_ADDR=127.0.0.2:" + std::to_string(p.port);
    std::array<char*, 3> environment{const_cast<char*>(config.c_str()), const_cast<char*>(admin.c_str()),
                                     nullptr};
    std::array<char*, 2> words{const_cast<char*>(program.c_str()), nullptr};
    p.begun = Clock::now();
    EXPECT_EQ(posix_spawn(&p.pid, program.c_str(), &quiet, nullptr, words.data(), environment.data()), 0);
  }
  posix_spawn_file_actions_destroy(&quiet);
  struct Call {
    int socket;
    Clock::time_point at;
    bool answered = false;
  };
  std::vector<Call> calls;
  const std::string news =
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: "
      R"({"no":1,"roster":{"revision":1,"complete":true,"members":[)" +
      member_json("box-1", "127.0.0.1:9") + "]}}\n\n";
  while (Clock::now() - begun < 20s &&
         !std::all_of(all.begin(), all.end(), [](const Process& p) { return p.ready; })) {
    std::vector<pollfd> polled;
    if (bulletin < 0 && Clock::now() - begun >= opens) bulletin = listening(bulletin_port);
    if (bulletin >= 0) polled.push_back({bulletin, POLLIN, 0});
    for (Process& p : all) {
      if (p.ready) continue;
      if (p.socket < 0) {
        p.socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in where = loopback(p.port);
        if (connect(p.socket, reinterpret_cast<const sockaddr*>(&where), sizeof where) != 0) {
          close(std::exchange(p.socket, -1));
          continue;
        }
        p.asked = false;
      }
      if (!std::exchange(p.asked, true)) (void)!send(p.socket, kProbe.data(), kProbe.size(), MSG_NOSIGNAL);
      polled.push_back({p.socket, POLLIN, 0});
    }
    poll(polled.data(), polled.size(), 10);
    while (bulletin >= 0) {
      const int call = accept4(bulletin, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
      if (call < 0) break;
      calls.push_back({call, Clock::now()});
    }
    for (Call& call : calls) {
      if (!call.answered && Clock::now() - call.at >= slow) {
        call.answered = true;
        (void)!send(call.socket, news.data(), news.size(), MSG_NOSIGNAL);
      }
    }
    for (Process& p : all) {
      std::string got(256, '\0');
      const ssize_t size =
          p.socket < 0 || p.ready ? -1 : recv(p.socket, got.data(), got.size(), MSG_DONTWAIT);
      if (size <= 0) continue;
      p.asked = false;
      p.ready = got.substr(0, static_cast<std::size_t>(size)).find(kGood) != std::string::npos;
      p.took = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - p.begun);
    }
  }
  std::vector<std::chrono::milliseconds> took;
  for (Process& p : all) {
    took.push_back(p.ready ? p.took : 1h);
    kill(p.pid, SIGKILL);
    waitpid(p.pid, nullptr, 0);
    if (p.socket >= 0) close(p.socket);
  }
  for (const Call& call : calls) close(call.socket);
  if (bulletin >= 0) close(bulletin);
  std::filesystem::remove_all(folder);
  std::sort(took.begin(), took.end());
  return took;
}

void nine_in_ten_within_ten_seconds(const char* what, const std::vector<std::chrono::milliseconds>& took) {
  const auto ninth = took[took.size() * 9 / 10];
  std::cout << what << ": " << took.size() << " processes, median " << took[took.size() / 2].count()
            << " ms, nine in ten " << ninth.count() << " ms, last " << took.back().count() << " ms\n";
  EXPECT_LT(ninth, 10s) << what;
}

int count_of() {
  const char* count = std::getenv("EDGE_PROXY_STARTED");  // more, for the figures of docs/fleet.md
  return count == nullptr ? 40 : std::atoi(count);
}

TEST(Readiness, ManyThatStartAtOnceWithTheListInTheirConfiguration) {
  nine_in_ten_within_ten_seconds("discovery down throughout", start_all(count_of(), true, 30s, 0ms));
}

TEST(Readiness, ManyThatStartAtOnceWithoutAListWhileDiscoveryIsDownAndThenSlow) {
  nine_in_ten_within_ten_seconds("no list, discovery down for 3 s, then 0.6 s slow",
                                 start_all(count_of(), false, 3s, 600ms));
}

}  // namespace
}  // namespace edge_proxy::test
