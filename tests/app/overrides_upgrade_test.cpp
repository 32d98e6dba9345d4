// SPDX-License-Identifier: MIT
// Tests what operators are told while several started processes of one edge proxy share a folder.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <thread>
#include <vector>

#include "support/loopback.h"
#include "support/scenario.h"

namespace edge_proxy::test {
namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

constexpr int kCaches = 8;

/// The response to an operator's call.
struct Response {
  int status = 0;  ///< 0: none within a second
  std::string body;
  std::chrono::milliseconds duration{0};
};

/// Processes with the same client address and TMPDIR, each with an admin address of its own.
class Processes {
 public:
  Processes() {
    EXPECT_NE(mkdtemp(folder_.data()), nullptr);
    std::vector<std::string> members{"up-1", "main"};
    for (int i = 1; i <= kCaches; ++i) members.push_back(cache(i));
    std::ofstream(folder_ + "/config")
        << config_text(members, {{"edge", address(reserve_port())}, {"bulletin", address(reserve_port())}});
    std::filesystem::create_directory(temp_folder());
  }
  ~Processes() {
    for (std::size_t i = 0; i < pids_.size(); ++i) kill(i, SIGKILL);
    std::filesystem::remove_all(folder_);
  }
  Processes(const Processes&) = delete;
  Processes& operator=(const Processes&) = delete;

  static std::string cache(int number) { return "box-" + std::to_string(number); }
  [[nodiscard]] std::string temp_folder() const { return folder_ + "/tmp"; }
  [[nodiscard]] std::string overrides_path() const {
    for (const auto& entry : std::filesystem::directory_iterator(temp_folder())) {
      const std::string name = entry.path().filename();
      if (name.starts_with("by-hand-") && name.find('.') == std::string::npos) return entry.path();
    }
    return temp_folder() + "/missing";
  }

  /// Starts a process and waits until it is ready; returns its number.
  std::size_t start(const std::string& program = EDGE_PROXY_PROGRAM) {
    const int port = reserve_port();
    const std::string config = "GW_CONFIG=" + folder_ + "/config", temp = "TMPDIR=" + temp_folder(),
                      admin = "GW_ADMIN_ADDR=" + address(port);
    std::array<char*, 4> environment{const_cast<char*>(config.c_str()), const_cast<char*>(temp.c_str()),
                                     const_cast<char*>(admin.c_str()), nullptr};
    std::array<char*, 2> arguments{const_cast<char*>(program.c_str()), nullptr};
    posix_spawn_file_actions_t file_actions;
    posix_spawn_file_actions_init(&file_actions);
    posix_spawn_file_actions_addopen(&file_actions, 1, "/dev/null", O_WRONLY, 0);
    int pid = -1;
    EXPECT_EQ(
        posix_spawn(&pid, program.c_str(), &file_actions, nullptr, arguments.data(), environment.data()), 0);
    posix_spawn_file_actions_destroy(&file_actions);
    pids_.push_back(pid);
    ports_.push_back(port);
    const std::size_t process = pids_.size() - 1;
    EXPECT_TRUE(wait_until([&] { return call(process, "GET", "/v1/readyz").status == 200; }));
    return process;
  }
  void send_signal(std::size_t process, int signal_number) {
    ASSERT_GT(pids_[process], 0);
    ::kill(pids_[process], signal_number);
  }
  /// Sends the signal and waits for the end of the process.
  void kill(std::size_t process, int signal_number) {
    if (pids_[process] <= 0) return;
    ::kill(pids_[process], signal_number);
    waitpid(std::exchange(pids_[process], -1), nullptr, 0);
  }

  [[nodiscard]] Response call(std::size_t process, const std::string& method, const std::string& path) const {
    const auto start = Clock::now();
    const int socket_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval limit{1, 0};
    setsockopt(socket_fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    const sockaddr_in address = loopback_address(ports_[process]);
    Response response;
    std::string text;
    if (connect(socket_fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) {
      const std::string request = method + " " + path + " HTTP/1.1\r\nHost: edge\r\n\r\n";
      EXPECT_EQ(::send(socket_fd, request.data(), request.size(), MSG_NOSIGNAL),
                static_cast<ssize_t>(request.size()));
      std::array<char, 4096> buffer{};
      for (ssize_t size = 0; (size = recv(socket_fd, buffer.data(), buffer.size(), 0)) > 0;) {
        text.append(buffer.data(), static_cast<std::size_t>(size));
      }
    }
    close(socket_fd);
    if (text.size() > 12) response.status = std::atoi(text.c_str() + 9);
    response.body = text;
    response.duration = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - start);
    return response;
  }
  [[nodiscard]] Response suspend(std::size_t process, int number) const {
    return call(process, "POST", "/v1/pop-caches/" + cache(number) + "/suspend");
  }
  [[nodiscard]] Response resume(std::size_t process, int number) const {
    return call(process, "POST", "/v1/pop-caches/" + cache(number) + "/resume");
  }
  /// Whether the process comes to avoid exactly that many caches within the time in which a yes is binding.
  [[nodiscard]] bool comes_to_avoid(std::size_t process, int count) const {
    const std::string line = "svc.hosts_down:" + std::to_string(count) + "|g";
    return wait_until(
        [&] { return call(process, "GET", "/v1/metrics").body.find(line) != std::string::npos; }, 1000ms);
  }
  template <typename Condition>
  static bool wait_until(Condition condition, std::chrono::milliseconds limit = 5s) {
    const auto end = Clock::now() + limit;
    while (!condition()) {
      if (Clock::now() > end) return false;
      std::this_thread::sleep_for(10ms);
    }
    return true;
  }

 private:
  static std::string address(int port) { return "127.0.0.1:" + std::to_string(port); }

  std::string folder_ = "/tmp/edge_proxy-test-XXXXXX";
  std::vector<pid_t> pids_;
  std::vector<int> ports_;
};

TEST(OverridesUpgrade, CallsAtTwoProcessesInTurnAreAllKept) {
  // Guards against the processes of an upgrade overwriting each other's suspensions: review/8.
  Processes processes;
  const std::size_t old_process = processes.start(), new_process = processes.start();
  for (int i = 1; i <= 6; ++i) {
    const Response response = processes.suspend(i % 2 == 1 ? old_process : new_process, i);
    EXPECT_EQ(response.status, 200) << response.body;
    EXPECT_LT(response.duration, 1s);
  }
  EXPECT_TRUE(processes.comes_to_avoid(old_process, 6));
  EXPECT_TRUE(processes.comes_to_avoid(new_process, 6));
  processes.kill(old_process, SIGKILL);
  EXPECT_TRUE(processes.comes_to_avoid(new_process, 6));
}

TEST(OverridesUpgrade, CallsAtThreeProcessesAtOnceAreAllKept) {
  Processes processes;
  for (int i = 0; i < 3; ++i) processes.start();
  std::vector<std::thread> operators;
  for (std::size_t process = 0; process < 3; ++process) {
    operators.emplace_back([&processes, process] {
      for (int round = 0; round < 5; ++round) {
        for (const int number : {1, 2}) {
          const int own = static_cast<int>(process) * 2 + number;
          EXPECT_EQ(processes.suspend(process, own).status, 200);
          if (round == 4) continue;
          EXPECT_EQ(processes.resume(process, own).status, 200);
        }
      }
    });
  }
  for (std::thread& thread : operators) thread.join();
  for (std::size_t process = 0; process < 3; ++process) EXPECT_TRUE(processes.comes_to_avoid(process, 6));
}

TEST(OverridesUpgrade, AProcessThatIsKilledLosesNothingThatItConfirmed) {
  Processes processes;
  std::size_t current = processes.start();
  for (int i = 1; i <= 5; ++i) {
    EXPECT_EQ(processes.suspend(current, i).status, 200);
    processes.kill(current, SIGKILL);  // at once after the yes
    current = processes.start();
    EXPECT_TRUE(processes.comes_to_avoid(current, i));
  }
  EXPECT_EQ(processes.resume(current, 1).status, 200);
  processes.kill(current, SIGKILL);
  EXPECT_TRUE(processes.comes_to_avoid(processes.start(), 4));
}

TEST(OverridesUpgrade, AStoppedProcessNeitherBlocksTheOtherNorBringsBackOldSuspensions) {
  Processes processes;
  const std::size_t one = processes.start(), two = processes.start();
  EXPECT_EQ(processes.suspend(one, 1).status, 200);
  EXPECT_TRUE(processes.comes_to_avoid(two, 1));
  processes.send_signal(one, SIGSTOP);
  EXPECT_EQ(processes.resume(two, 1).status, 200);
  EXPECT_EQ(processes.suspend(two, 2).status, 200);
  processes.send_signal(one, SIGCONT);
  EXPECT_EQ(processes.suspend(one, 3).status, 200);
  for (const std::size_t process : {one, two}) {
    EXPECT_TRUE(processes.comes_to_avoid(process, 2));
    EXPECT_EQ(processes.resume(process, 1).status, 200);
    EXPECT_TRUE(processes.comes_to_avoid(process, 2));
  }
}

TEST(OverridesUpgrade, AFileThatIsDeletedDamagedOrReplacedByAnOlderOneIsWrittenAgain) {
  Processes processes;
  const std::size_t one = processes.start(), two = processes.start();
  EXPECT_EQ(processes.suspend(one, 1).status, 200);
  const std::string path = processes.overrides_path(), older = processes.temp_folder() + "/older";
  std::filesystem::copy_file(path, older);
  EXPECT_EQ(processes.resume(two, 1).status, 200);
  EXPECT_EQ(processes.suspend(two, 2).status, 200);
  const std::uintmax_t size = std::filesystem::file_size(path);
  const std::vector<std::function<void()>> faults{
      [&] { std::filesystem::remove(path); }, [&] { std::filesystem::rename(older, path); },
      [&] { std::filesystem::resize_file(path, size / 2); }, [&] { std::ofstream(path) << "garbage"; }};
  for (const auto& damage : faults) {
    damage();
    EXPECT_TRUE(Processes::wait_until(
        [&] { return std::filesystem::exists(path) && std::filesystem::file_size(path) == size; }, 1000ms));
    EXPECT_TRUE(processes.comes_to_avoid(one, 1));
    EXPECT_TRUE(processes.comes_to_avoid(two, 1));
    EXPECT_TRUE(processes.comes_to_avoid(processes.start(), 1));
  }
}

TEST(OverridesUpgrade, ACallThatCannotBeStoredGetsAClearNoInTime) {
  Processes processes;
  const std::size_t process = processes.start();
  EXPECT_EQ(processes.suspend(process, 1).status, 200);
  // A folder in the place of the file can't be read as one.
  const std::string path = processes.overrides_path();
  std::filesystem::remove(path);
  std::filesystem::create_directory(path);
  const Response response = processes.suspend(process, 2);
  EXPECT_EQ(response.status, 503) << response.body;
  EXPECT_LT(response.duration, 1s);
  EXPECT_EQ(processes.resume(process, 1).status, 503);
  EXPECT_TRUE(processes.comes_to_avoid(process, 1));
  std::filesystem::remove(path);
  EXPECT_EQ(processes.suspend(process, 3).status, 200);
  EXPECT_TRUE(processes.comes_to_avoid(process, 2));
  EXPECT_TRUE(processes.comes_to_avoid(processes.start(), 2));
}

TEST(OverridesUpgrade, AnEarlierVersionThatReplacesTheFileLosesNothing) {
  // That version writes all that it knows, without the lock and without the line `check`.
  Processes processes;
  const std::size_t one = processes.start(), two = processes.start();
  for (int i = 1; i <= 3; ++i) {
    EXPECT_EQ(processes.suspend(i % 2 == 1 ? one : two, i).status, 200);
    const std::string path = processes.overrides_path(), written = processes.temp_folder() + "/.earlier";
    std::ofstream(written) << "out 1700000000000000 " << Processes::cache(3 + i) << "\n";
    std::filesystem::rename(written, path);
    EXPECT_TRUE(processes.comes_to_avoid(one, 2 * i));
    EXPECT_TRUE(processes.comes_to_avoid(two, 2 * i));
  }
}

// By hand, beside the program of an earlier landing, whose path is in EDGE_PROXY_EARLIER; CI has no such
// program.
TEST(OverridesUpgrade, DISABLED_CallsBesideTheProgramOfAnEarlierLandingAreKept) {
  const char* earlier = std::getenv("EDGE_PROXY_EARLIER");
  ASSERT_NE(earlier, nullptr);
  for (const bool is_rollback : {false, true}) {
    Processes processes;
    const std::size_t old_process = is_rollback ? processes.start() : processes.start(earlier);
    const std::size_t new_process = is_rollback ? processes.start(earlier) : processes.start();
    for (int i = 1; i <= 6; ++i) {
      EXPECT_EQ(processes.suspend(i % 2 == 1 ? old_process : new_process, i).status, 200);
    }
    EXPECT_TRUE(processes.comes_to_avoid(old_process, 6));
    EXPECT_TRUE(processes.comes_to_avoid(new_process, 6));
    EXPECT_EQ(processes.resume(new_process, 1).status, 200);
    EXPECT_EQ(processes.resume(old_process, 2).status, 200);
    EXPECT_TRUE(processes.comes_to_avoid(old_process, 4));
    EXPECT_TRUE(processes.comes_to_avoid(new_process, 4));
    processes.kill(old_process, SIGKILL);
    EXPECT_TRUE(processes.comes_to_avoid(new_process, 4));
    EXPECT_TRUE(processes.comes_to_avoid(processes.start(), 4));
  }
}

}  // namespace
}  // namespace edge_proxy::test
