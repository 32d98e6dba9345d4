// SPDX-License-Identifier: MIT
#include "support/started_program.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <utility>

#include "support/loopback.h"

namespace edge_proxy::test {
namespace {

using Clock = std::chrono::steady_clock;

/// Guards all other processes: a process that has ended has no number, and -1 would mean every one.
void tell(int pid, int number) {
  ASSERT_GT(pid, 0) << "the process has ended";
  kill(pid, number);
}

int port_of(const std::string& address) { return std::stoi(address.substr(address.find(':') + 1)); }

}  // namespace

StartedProgram::StartedProgram(const std::vector<std::string>& members, std::string (*edit)(std::string),
                               unsigned descriptors)
    : descriptors_(descriptors) {
  // A sanitizer needs descriptors of its own: where they are to run out, it is the program as it is deployed.
  if (const char* deployed = std::getenv("EDGE_PROXY_DEPLOYED"); descriptors > 0 && deployed != nullptr)
    program_ = deployed;
  std::signal(SIGPIPE, SIG_IGN);
  for (const std::string& member : members) listen(member);
  listen("bulletin");
  addresses_["edge"] = "127.0.0.1:" + std::to_string(free_port());
  addresses_["admin"] = "127.0.0.1:" + std::to_string(free_port());

  config_ = config_text(members, addresses_);
  if (edit != nullptr) config_ = edit(config_);
  path_ = "/tmp/edge_proxy-test-XXXXXX";
  ::close(mkstemp(path_.data()));
  std::ofstream(path_) << config_;
  folder_ = "/tmp/edge_proxy-test-XXXXXX";
  EXPECT_NE(mkdtemp(folder_.data()), nullptr);
  start();
}

void StartedProgram::start() {
  std::array<int, 2> ends{};
  EXPECT_EQ(pipe2(ends.data(), O_CLOEXEC), 0);
  pid_ = fork();
  if (pid_ == 0) {
    dup2(ends[1], 1);
    dup2(ends[1], 2);
    setenv("GW_CONFIG", path_.c_str(), 1);
    setenv("GW_ADMIN_ADDR", addresses_["admin"].c_str(), 1);
    setenv("TMPDIR", folder_.c_str(), 1);
    const rlimit few{descriptors_, descriptors_};
    if (descriptors_ > 0) setrlimit(RLIMIT_NOFILE, &few);
    execl(program_.c_str(), program_.c_str(), static_cast<char*>(nullptr));
    _exit(127);
  }
  ::close(ends[1]);
  log_pipe_ = ends[0];
  fcntl(log_pipe_, F_SETFL, O_NONBLOCK);
  const auto until = Clock::now() + expectation_timeout();
  while (log_.find("listening") == std::string::npos && !has_stopped() && Clock::now() < until)
    poll_once(std::chrono::milliseconds(5));
}

StartedProgram::~StartedProgram() {
  for (const int pid : {pid_, old_pid_}) {
    if (pid <= 0) continue;
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
  }
  for (const auto& [peer, fd] : listeners_) ::close(fd);
  for (const auto& [peer, fds] : sockets_) {
    for (const int fd : fds) ::close(fd);
  }
  ::close(log_pipe_);
  if (old_log_pipe_ >= 0) ::close(old_log_pipe_);
  unlink(path_.c_str());
  std::filesystem::remove_all(folder_);
}

void StartedProgram::upgrade() {
  old_pid_ = std::exchange(pid_, -1);
  old_log_pipe_ = std::exchange(log_pipe_, -1);
  old_log_ = std::exchange(log_, {});
  addresses_["admin"] = "127.0.0.1:" + std::to_string(free_port());
  start();
}

void StartedProgram::terminate_old() { tell(old_pid_, SIGTERM); }
bool StartedProgram::old_stopped() { return ended(old_pid_); }

void StartedProgram::listen(const std::string& peer) {
  int port = addresses_.count(peer) != 0 ? port_of(addresses_[peer]) : 0;
  const int fd = bound_socket(port);
  EXPECT_EQ(::listen(fd, 16), 0);
  listeners_[peer] = fd;
  addresses_[peer] = "127.0.0.1:" + std::to_string(port);
}

void StartedProgram::connect(const std::string& peer) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int little = 4096;  // of what was sent it takes next to nothing before it reads
  if (peer.find("small") != std::string::npos) setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &little, sizeof little);
  const sockaddr_in address = loopback(port_of(addresses_[peer.rfind("ops", 0) == 0 ? "admin" : "edge"]));
  EXPECT_EQ(::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address), 0);
  sockets_[peer].push_back(fd);
}

void StartedProgram::send(const std::string& peer, const std::string& bytes) {
  if (sockets_[peer].empty() && listeners_.count(peer) == 0) connect(peer);
  if (sockets_[peer].empty()) wait(std::chrono::milliseconds(50));
  ASSERT_FALSE(sockets_[peer].empty()) << "no connection";
  const auto asked = asked_on_.find({peer, bytes.substr(0, 16)});
  const auto& open = sockets_[peer];
  const bool answer =
      asked != asked_on_.end() && std::find(open.begin(), open.end(), asked->second) != open.end();
  ASSERT_EQ(::send(answer ? asked->second : open.back(), bytes.data(), bytes.size(), MSG_NOSIGNAL),
            static_cast<ssize_t>(bytes.size()));
}

std::string StartedProgram::take_received(const std::string& peer) {
  poll_once(std::chrono::milliseconds(0));
  return std::exchange(received_[peer], {});
}

void StartedProgram::set_behavior(const std::string& peer, PeerBehavior how) {
  if (how == PeerBehavior::refusing) ::close(listeners_[peer]), listeners_.erase(peer);
  if (how == PeerBehavior::normal && deaf_.erase(peer) == 0) listen(peer);
  if (how == PeerBehavior::not_reading) deaf_.insert(peer);
  if (how == PeerBehavior::half_closed) {
    for (const int fd : sockets_[peer]) shutdown(fd, SHUT_WR);
  }
  if (how != PeerBehavior::closed && how != PeerBehavior::reset && how != PeerBehavior::refusing) return;
  for (const int fd : sockets_[peer]) {
    const linger at_once{1, 0};
    if (how == PeerBehavior::reset) setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    ::close(fd);
  }
  sockets_[peer].clear();
}

bool StartedProgram::is_closed(const std::string& peer) {
  poll_once(std::chrono::milliseconds(0));
  return sockets_[peer].empty();
}

void StartedProgram::wait(std::chrono::milliseconds span) {
  const auto until = Clock::now() + span;
  while (Clock::now() < until) {
    poll_once(std::chrono::ceil<std::chrono::milliseconds>(until - Clock::now()));
  }
}

void StartedProgram::terminate() { tell(pid_, SIGTERM); }

void StartedProgram::take_a_little(const std::string& peer, std::size_t bytes) {
  std::string got(bytes, '\0');
  EXPECT_EQ(recv(sockets_.at(peer).back(), got.data(), got.size(), MSG_WAITALL), static_cast<ssize_t>(bytes));
}

std::chrono::milliseconds StartedProgram::processor_time() const {
  std::ifstream file("/proc/" + std::to_string(pid_) + "/stat");
  std::string text(std::istreambuf_iterator<char>(file), {});
  std::istringstream in(text.substr(text.rfind(')') + 2));
  std::string word;
  for (int i = 0; i < 11; ++i) in >> word;
  long user = 0, system = 0;
  in >> user >> system;
  return std::chrono::milliseconds((user + system) * 1000 / sysconf(_SC_CLK_TCK));
}

std::size_t StartedProgram::descriptors_held() const {
  const std::filesystem::directory_iterator held("/proc/" + std::to_string(pid_) + "/fd");
  return static_cast<std::size_t>(std::count_if(begin(held), end(held), [this](const auto& entry) {
    return std::stoul(entry.path().filename()) < descriptors_;
  }));
}

void StartedProgram::signal_it(int number) { tell(pid_, number); }

void StartedProgram::stall_log() {
  fcntl(log_pipe_, F_SETPIPE_SZ, 4096);
  log_stalled_ = true;
}

void StartedProgram::reload(const std::string& bulletin) {
  if (bulletin != "nowhere" && listeners_.count(bulletin) == 0) listen(bulletin);
  const std::string address = bulletin == "nowhere" ? bulletin : addresses_[bulletin];
  const std::size_t at = config_.find("\"bulletin\":\"") + 12;
  config_.replace(at, config_.find('"', at) - at, address);
  std::ofstream(path_) << config_;
  tell(pid_, SIGHUP);
}

bool StartedProgram::has_stopped() { return ended(pid_); }

bool StartedProgram::ended(int& pid) {
  if (pid <= 0) return true;
  int status = 0;
  if (waitpid(pid, &status, WNOHANG) != pid) return false;
  exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
  poll_once(std::chrono::milliseconds(0));
  pid = -1;
  return true;
}

void StartedProgram::read_old_log() {
  std::array<char, 4096> buffer;
  while (old_log_pipe_ >= 0) {
    const ssize_t size = ::read(old_log_pipe_, buffer.data(), buffer.size());
    if (size <= 0) return;
    old_log_.append(buffer.data(), static_cast<std::size_t>(size));
  }
}

void StartedProgram::poll_once(std::chrono::milliseconds span) {
  read_old_log();
  std::vector<pollfd> polled{{log_pipe_, static_cast<short>(log_stalled_ ? 0 : POLLIN), 0}};
  std::vector<std::string> peers{""};
  const auto add = [&](int fd, const std::string& peer) {
    polled.push_back({fd, POLLIN, 0});
    peers.push_back(peer);
  };
  for (const auto& [peer, fd] : listeners_) add(fd, peer);
  const std::size_t first_socket = polled.size();
  for (const auto& [peer, fds] : sockets_) {
    if (deaf_.count(peer) != 0) continue;
    for (const int fd : fds) add(fd, peer);
  }
  poll(polled.data(), polled.size(), static_cast<int>(span.count()));
  std::array<char, 65536> buffer;
  for (std::size_t i = 0; i < polled.size(); ++i) {
    if (polled[i].revents == 0) continue;
    const int fd = polled[i].fd;
    if (i > 0 && i < first_socket) {
      sockets_[peers[i]].push_back(accept4(fd, nullptr, nullptr, SOCK_CLOEXEC));
      continue;
    }
    const ssize_t size = ::read(fd, buffer.data(), buffer.size());
    if (i == 0) {
      if (size > 0) log_.append(buffer.data(), static_cast<std::size_t>(size));
      if (size <= 0) usleep(1000);  // its end is always readable: no busy loop
    } else if (size > 0) {
      const std::string bytes(buffer.data(), static_cast<std::size_t>(size));
      for (const std::string& id : requested_ids(bytes)) asked_on_[{peers[i], id}] = fd;
      received_[peers[i]] += bytes;
    } else {
      std::erase(sockets_[peers[i]], fd);
      ::close(fd);
    }
  }
}

}  // namespace edge_proxy::test
