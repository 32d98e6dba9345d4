// SPDX-License-Identifier: MIT
#include "cluster/policy_checker.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <sstream>

#include "support/loopback.h"
#include "support/scenario.h"

namespace edge_proxy::test {
namespace {

/// Writes what scenarios send, and nothing else.
class Sender : public ProxyHarness {
 public:
  std::string bytes;
  void send(const std::string&, const std::string& more) override { bytes += more; }
  std::string take_received(const std::string&) override { return {}; }
  void set_behavior(const std::string&, PeerBehavior) override {}
  bool is_closed(const std::string&) override { return false; }
  void wait(std::chrono::milliseconds) override {}
  void terminate() override {}
  void reload(const std::string&) override {}
  bool has_stopped() override { return false; }
  std::string log() override { return {}; }
  std::chrono::milliseconds expectation_timeout() const override { return std::chrono::milliseconds(1); }
};

std::string value_of(const std::string& line, const std::string& key) {
  const std::size_t at = line.find(" " + key + "=");
  if (at == std::string::npos) return {};
  const std::size_t from = at + key.size() + 2;
  return line.substr(from, line.find(' ', from) - from);
}

}  // namespace

Clients::Clients(Fleet& fleet, std::chrono::milliseconds every) {
  for (std::size_t i = 0; i < fleet.size(); ++i) ports_.push_back(fleet.port(i));
  thread_ = std::thread([this, every] { run(every); });
}

Clients::~Clients() {
  over_ = true;
  thread_.join();
}

void Clients::run(std::chrono::milliseconds every) {
  std::vector<int> sockets(ports_.size(), -1);
  std::array<char, 65536> buffer;
  for (int number = 1; !over_; ++number) {
    Sender sender;
    run_scenario(sender, "anna send " + std::to_string(number) + " pages");
    for (std::size_t i = 0; i < ports_.size(); ++i) {
      int& fd = sockets[i];
      if (fd < 0) {
        fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        const sockaddr_in to = loopback(ports_[i]);
        connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to);
        continue;
      }
      ssize_t got = 0;
      while ((got = recv(fd, buffer.data(), buffer.size(), 0)) > 0) {
      }
      const bool gone = got == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
      if (gone || ::send(fd, sender.bytes.data(), sender.bytes.size(), MSG_NOSIGNAL) < 0) {
        close(fd);
        fd = -1;
      }
    }
    poll(nullptr, 0, static_cast<int>(every.count()));
  }
  for (const int fd : sockets) {
    if (fd >= 0) close(fd);
  }
}

Checked check_decisions(const std::vector<std::string>& logs, std::chrono::milliseconds bound) {
  struct Decision {
    std::size_t process = 0;
    std::uint64_t epoch = 0;
    long long at = 0;
    bool attempt = false;
    std::string line;
  };
  Checked checked;
  std::vector<Decision> all;
  std::map<std::uint64_t, long long> first;  // by epoch
  for (std::size_t i = 0; i < logs.size(); ++i) {
    std::istringstream in(logs[i]);
    for (std::string line; std::getline(in, line);) {
      const std::string what = value_of(line, "what");
      if (line.find(" decided ") == std::string::npos || what == "unsent" || what.empty()) continue;
      Decision d{i, std::stoull(value_of(line, "epoch")), std::stoll(value_of(line, "now_us")),
                 what == "attempt", line};
      if (!d.attempt) {
        ++checked.decisions;
        ++checked.by_epoch[d.epoch];
        const auto [found, fresh] = first.try_emplace(d.epoch, d.at);
        if (!fresh) found->second = std::min(found->second, d.at);
      }
      all.push_back(std::move(d));
    }
  }
  for (const Decision& d : all) {
    const auto next = first.upper_bound(d.epoch);
    if (next == first.end()) continue;
    const long long late = d.at - next->second;
    if (late > (d.attempt ? std::chrono::microseconds(bound).count() : 0))
      checked.violations.push_back("process " + std::to_string(d.process) + ", " + std::to_string(late) +
                                   " us after the first under " + std::to_string(next->first) + ": " +
                                   d.line);
  }
  return checked;
}

}  // namespace edge_proxy::test
