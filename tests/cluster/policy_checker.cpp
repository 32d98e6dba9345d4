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

/// Collects the bytes that a scenario sends; ignores everything else.
class RequestEncoder : public ProxyHarness {
 public:
  std::string sent_bytes;
  void send(const std::string&, const std::string& bytes) override { sent_bytes += bytes; }
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

ClientLoad::ClientLoad(Fleet& fleet, std::chrono::milliseconds interval) {
  for (std::size_t i = 0; i < fleet.size(); ++i) ports_.push_back(fleet.port(i));
  thread_ = std::thread([this, interval] { run(interval); });
}

ClientLoad::~ClientLoad() {
  stopping_ = true;
  thread_.join();
}

void ClientLoad::run(std::chrono::milliseconds interval) {
  std::vector<int> sockets(ports_.size(), -1);
  std::array<char, 65536> buffer;
  for (int number = 1; !stopping_; ++number) {
    RequestEncoder encoder;
    run_scenario(encoder, "anna send " + std::to_string(number) + " pages");
    for (std::size_t i = 0; i < ports_.size(); ++i) {
      int& fd = sockets[i];
      if (fd < 0) {
        fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        const sockaddr_in address = loopback_address(ports_[i]);
        connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address);
        continue;
      }
      ssize_t received = 0;
      while ((received = recv(fd, buffer.data(), buffer.size(), 0)) > 0) {
      }
      const bool is_closed = received == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
      if (is_closed || ::send(fd, encoder.sent_bytes.data(), encoder.sent_bytes.size(), MSG_NOSIGNAL) < 0) {
        close(fd);
        fd = -1;
      }
    }
    poll(nullptr, 0, static_cast<int>(interval.count()));
  }
  for (const int fd : sockets) {
    if (fd >= 0) close(fd);
  }
}

DecisionCheck check_decisions(const std::vector<std::string>& logs, std::chrono::milliseconds bound) {
  struct Decision {
    std::size_t process = 0;
    std::uint64_t epoch = 0;
    long long at_us = 0;
    bool is_attempt = false;
    std::string line;
  };
  DecisionCheck checked;
  std::vector<Decision> all;
  std::map<std::uint64_t, long long> first_decision_us;  // by epoch
  for (std::size_t i = 0; i < logs.size(); ++i) {
    std::istringstream lines(logs[i]);
    for (std::string line; std::getline(lines, line);) {
      const std::string what = value_of(line, "what");
      if (line.find(" decided ") == std::string::npos || what == "unsent" || what.empty()) continue;
      Decision decision{i, std::stoull(value_of(line, "epoch")), std::stoll(value_of(line, "now_us")),
                        what == "attempt", line};
      if (!decision.is_attempt) {
        ++checked.decisions;
        ++checked.by_epoch[decision.epoch];
        const auto [found, inserted] = first_decision_us.try_emplace(decision.epoch, decision.at_us);
        if (!inserted) found->second = std::min(found->second, decision.at_us);
      }
      all.push_back(std::move(decision));
    }
  }
  for (const Decision& decision : all) {
    const auto next = first_decision_us.upper_bound(decision.epoch);
    if (next == first_decision_us.end()) continue;
    const long long late_us = decision.at_us - next->second;
    if (late_us > (decision.is_attempt ? std::chrono::microseconds(bound).count() : 0))
      checked.violations.push_back("process " + std::to_string(decision.process) + ", " +
                                   std::to_string(late_us) + " us after the first decision under epoch " +
                                   std::to_string(next->first) + ": " + decision.line);
  }
  return checked;
}

}  // namespace edge_proxy::test
