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
#include <string_view>
#include <utility>

#include "support/loopback.h"

namespace edge_proxy::test {
namespace {

using Clock = std::chrono::steady_clock;

/// Rejects the pid -1 of an exited process, because kill(-1) would signal every process.
void send_signal_to(int pid, int signal_number) {
  ASSERT_GT(pid, 0) << "the process has exited";
  kill(pid, signal_number);
}

int port_of(const std::string& address) { return std::stoi(address.substr(address.find(':') + 1)); }

}  // namespace

StartedProgram::StartedProgram(const std::vector<std::string>& members,
                               std::string (*edit_config)(std::string), unsigned descriptor_limit)
    : descriptor_limit_(descriptor_limit) {
  // Sanitizers open descriptors of their own, so tests with a descriptor limit use the deployed program.
  if (const char* deployed = std::getenv("EDGE_PROXY_DEPLOYED"); descriptor_limit > 0 && deployed != nullptr)
    program_path_ = deployed;
  std::signal(SIGPIPE, SIG_IGN);
  for (const std::string& member : members) listen(member);
  listen("bulletin");
  addresses_["edge"] = "127.0.0.1:" + std::to_string(reserve_port());
  addresses_["admin"] = "127.0.0.1:" + std::to_string(reserve_port());

  config_text_ = config_text(members, addresses_);
  if (edit_config != nullptr) config_text_ = edit_config(config_text_);
  config_path_ = "/tmp/edge_proxy-test-XXXXXX";
  ::close(mkstemp(config_path_.data()));
  std::ofstream(config_path_) << config_text_;
  temp_folder_ = "/tmp/edge_proxy-test-XXXXXX";
  EXPECT_NE(mkdtemp(temp_folder_.data()), nullptr);
  start();
}

void StartedProgram::start() {
  std::array<int, 2> pipe_ends{};
  EXPECT_EQ(pipe2(pipe_ends.data(), O_CLOEXEC), 0);
  pid_ = fork();
  if (pid_ == 0) {
    dup2(pipe_ends[1], 1);
    dup2(pipe_ends[1], 2);
    setenv("GW_CONFIG", config_path_.c_str(), 1);
    setenv("GW_ADMIN_ADDR", addresses_["admin"].c_str(), 1);
    setenv("TMPDIR", temp_folder_.c_str(), 1);
    const rlimit limit{descriptor_limit_, descriptor_limit_};
    if (descriptor_limit_ > 0) setrlimit(RLIMIT_NOFILE, &limit);
    execl(program_path_.c_str(), program_path_.c_str(), static_cast<char*>(nullptr));
    _exit(127);
  }
  ::close(pipe_ends[1]);
  log_pipe_ = pipe_ends[0];
  fcntl(log_pipe_, F_SETFL, O_NONBLOCK);
  const auto deadline = Clock::now() + expectation_timeout();
  while (log_.find("listening") == std::string::npos && !has_stopped() && Clock::now() < deadline)
    poll_once(std::chrono::milliseconds(5));
}

StartedProgram::~StartedProgram() {
  for (const int pid : {pid_, old_process_pid_}) {
    if (pid <= 0) continue;
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
  }
  for (const auto& [peer, fd] : listeners_) ::close(fd);
  for (const auto& [peer, fds] : sockets_) {
    for (const int fd : fds) ::close(fd);
  }
  ::close(log_pipe_);
  if (old_process_log_pipe_ >= 0) ::close(old_process_log_pipe_);
  unlink(config_path_.c_str());
  std::filesystem::remove_all(temp_folder_);
}

void StartedProgram::upgrade() {
  old_process_pid_ = std::exchange(pid_, -1);
  old_process_log_pipe_ = std::exchange(log_pipe_, -1);
  old_process_log_ = std::exchange(log_, {});
  addresses_["admin"] = "127.0.0.1:" + std::to_string(reserve_port());
  start();
}

void StartedProgram::terminate_old_process() { send_signal_to(old_process_pid_, SIGTERM); }
bool StartedProgram::old_process_stopped() { return reap(old_process_pid_); }

void StartedProgram::listen(const std::string& peer) {
  int port = addresses_.count(peer) != 0 ? port_of(addresses_[peer]) : 0;
  const int fd = bind_shared_socket(port);
  EXPECT_EQ(::listen(fd, 16), 0);
  listeners_[peer] = fd;
  addresses_[peer] = "127.0.0.1:" + std::to_string(port);
}

void StartedProgram::connect(const std::string& peer) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int receive_buffer_bytes = 4096;  // a client that does not read accepts only a little output
  if (peer.find("small") != std::string::npos)
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes, sizeof receive_buffer_bytes);
  const sockaddr_in address =
      loopback_address(port_of(addresses_[peer.rfind("ops", 0) == 0 ? "admin" : "edge"]));
  EXPECT_EQ(::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address), 0);
  sockets_[peer].push_back(fd);
}

void StartedProgram::send(const std::string& peer, const std::string& bytes) {
  if (sockets_[peer].empty() && listeners_.count(peer) == 0) connect(peer);
  if (sockets_[peer].empty()) wait(std::chrono::milliseconds(50));
  ASSERT_FALSE(sockets_[peer].empty()) << "no connection";
  const auto request = request_sockets_.find({peer, bytes.substr(0, 16)});
  const auto& open_sockets = sockets_[peer];
  const bool is_answer =
      request != request_sockets_.end() &&
      std::find(open_sockets.begin(), open_sockets.end(), request->second) != open_sockets.end();
  ASSERT_EQ(
      ::send(is_answer ? request->second : open_sockets.back(), bytes.data(), bytes.size(), MSG_NOSIGNAL),
      static_cast<ssize_t>(bytes.size()));
}

std::string StartedProgram::take_received(const std::string& peer) {
  poll_once(std::chrono::milliseconds(0));
  return std::exchange(received_[peer], {});
}

void StartedProgram::set_behavior(const std::string& peer, PeerBehavior behavior) {
  if (behavior == PeerBehavior::refusing) ::close(listeners_[peer]), listeners_.erase(peer);
  if (behavior == PeerBehavior::normal && not_reading_.erase(peer) == 0) listen(peer);
  if (behavior == PeerBehavior::not_reading) not_reading_.insert(peer);
  if (behavior == PeerBehavior::half_closed) {
    for (const int fd : sockets_[peer]) shutdown(fd, SHUT_WR);
  }
  if (behavior != PeerBehavior::closed && behavior != PeerBehavior::reset &&
      behavior != PeerBehavior::refusing)
    return;
  for (const int fd : sockets_[peer]) {
    const linger reset_on_close{1, 0};
    if (behavior == PeerBehavior::reset)
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
    ::close(fd);
  }
  sockets_[peer].clear();
}

bool StartedProgram::is_closed(const std::string& peer) {
  poll_once(std::chrono::milliseconds(0));
  return sockets_[peer].empty();
}

void StartedProgram::wait(std::chrono::milliseconds duration) {
  const auto deadline = Clock::now() + duration;
  while (Clock::now() < deadline) {
    poll_once(std::chrono::ceil<std::chrono::milliseconds>(deadline - Clock::now()));
  }
}

void StartedProgram::terminate() { send_signal_to(pid_, SIGTERM); }

void StartedProgram::read_bytes(const std::string& peer, std::size_t bytes) {
  std::string received(bytes, '\0');
  EXPECT_EQ(recv(sockets_.at(peer).back(), received.data(), received.size(), MSG_WAITALL),
            static_cast<ssize_t>(bytes));
}

std::chrono::milliseconds StartedProgram::cpu_time() const {
  std::ifstream file("/proc/" + std::to_string(pid_) + "/stat");
  std::string text(std::istreambuf_iterator<char>(file), {});
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::string word;
  for (int i = 0; i < 11; ++i) fields >> word;
  long user = 0, system = 0;
  fields >> user >> system;
  return std::chrono::milliseconds((user + system) * 1000 / sysconf(_SC_CLK_TCK));
}

int StartedProgram::port(const std::string& peer) const { return port_of(addresses_.at(peer)); }

std::size_t StartedProgram::anonymous_memory() const {
  constexpr std::string_view kName = "RssAnon:";
  std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with(kName)) return std::stoul(line.substr(kName.size())) * 1024;
  }
  return 0;
}

std::size_t StartedProgram::open_descriptor_count() const {
  const std::filesystem::directory_iterator entries("/proc/" + std::to_string(pid_) + "/fd");
  return static_cast<std::size_t>(std::count_if(begin(entries), end(entries), [this](const auto& entry) {
    return std::stoul(entry.path().filename()) < descriptor_limit_;
  }));
}

void StartedProgram::send_signal(int signal_number) { send_signal_to(pid_, signal_number); }

void StartedProgram::stall_log() {
  fcntl(log_pipe_, F_SETPIPE_SZ, 4096);
  log_stalled_ = true;
}

void StartedProgram::reload(const std::string& discovery_peer) {
  if (discovery_peer != "nowhere" && listeners_.count(discovery_peer) == 0) listen(discovery_peer);
  const std::string address = discovery_peer == "nowhere" ? discovery_peer : addresses_[discovery_peer];
  const std::size_t position = config_text_.find("\"bulletin\":\"") + 12;
  config_text_.replace(position, config_text_.find('"', position) - position, address);
  std::ofstream(config_path_) << config_text_;
  send_signal_to(pid_, SIGHUP);
}

bool StartedProgram::has_stopped() { return reap(pid_); }

bool StartedProgram::reap(int& pid) {
  if (pid <= 0) return true;
  int status = 0;
  if (waitpid(pid, &status, WNOHANG) != pid) return false;
  exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
  poll_once(std::chrono::milliseconds(0));
  pid = -1;
  return true;
}

void StartedProgram::read_old_process_log() {
  std::array<char, 4096> buffer;
  while (old_process_log_pipe_ >= 0) {
    const ssize_t size = ::read(old_process_log_pipe_, buffer.data(), buffer.size());
    if (size <= 0) return;
    old_process_log_.append(buffer.data(), static_cast<std::size_t>(size));
  }
}

void StartedProgram::poll_once(std::chrono::milliseconds duration) {
  read_old_process_log();
  std::vector<pollfd> polled{{log_pipe_, static_cast<short>(log_stalled_ ? 0 : POLLIN), 0}};
  std::vector<std::string> peers{""};
  const auto add = [&](int fd, const std::string& peer) {
    polled.push_back({fd, POLLIN, 0});
    peers.push_back(peer);
  };
  for (const auto& [peer, fd] : listeners_) add(fd, peer);
  const std::size_t first_socket = polled.size();
  for (const auto& [peer, fds] : sockets_) {
    if (not_reading_.count(peer) != 0) continue;
    for (const int fd : fds) add(fd, peer);
  }
  poll(polled.data(), polled.size(), static_cast<int>(duration.count()));
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
      if (size <= 0) usleep(1000);  // a closed pipe is always readable; avoids a busy loop
    } else if (size > 0) {
      const std::string bytes(buffer.data(), static_cast<std::size_t>(size));
      for (const std::string& id : requested_ids(bytes)) request_sockets_[{peers[i], id}] = fd;
      received_[peers[i]] += bytes;
    } else {
      std::erase(sockets_[peers[i]], fd);
      ::close(fd);
    }
  }
}

}  // namespace edge_proxy::test
