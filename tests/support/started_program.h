// SPDX-License-Identifier: MIT
/// @file
/// The program itself over loopback, with every peer played by a scenario.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "support/scenario.h"

namespace edge_proxy::test {

class StartedProgram : public ProxyHarness {
 public:
  /// `edit` may change the configuration before the start; `descriptors`: what the system gives it, 0: as
  /// usual.
  explicit StartedProgram(const std::vector<std::string>& members = {"box-1", "up-1", "main"},
                          std::string (*edit)(std::string) = nullptr, unsigned descriptors = 0);
  ~StartedProgram() override;
  StartedProgram(const StartedProgram&) = delete;
  StartedProgram& operator=(const StartedProgram&) = delete;

  void send(const std::string& peer, const std::string& bytes) override;
  std::string take_received(const std::string& peer) override;
  void set_behavior(const std::string& peer, PeerBehavior how) override;
  bool is_closed(const std::string& peer) override;
  void wait(std::chrono::milliseconds span) override;
  void terminate() override;
  void reload(const std::string& bulletin) override;
  bool has_stopped() override;
  std::string log() override { return log_; }
  std::chrono::milliseconds expectation_timeout() const override { return std::chrono::seconds(5); }

  /// Starts another process with the same addresses but a second address of its own, as an upgrade does; from
  /// now on signals and operators' calls go to the new one, and `old` is the one before.
  void upgrade();
  void terminate_old();
  bool old_stopped();
  /// What the old process has logged so far.
  std::string old_log() const { return old_log_; }

  /// A deaf client reads that much all the same.
  void take_a_little(const std::string& peer, std::size_t bytes);
  /// What it has used of a processor so far.
  [[nodiscard]] std::chrono::milliseconds processor_time() const;
  /// What it holds now of the descriptors that the system gives it: those with numbers below their count.
  [[nodiscard]] std::size_t descriptors_held() const;
  /// Stops or goes on with the process.
  void signal_it(int number);
  /// Nobody reads its log from now on, and its pipe holds little.
  void stall_log();
  /// How it ended, once has_stopped() is true.
  [[nodiscard]] int exit_code() const { return exit_code_; }

 private:
  void start();
  bool ended(int& pid);
  void read_old_log();
  void listen(const std::string& peer);
  void connect(const std::string& peer);
  void poll_once(std::chrono::milliseconds span);

  std::map<std::string, std::string> addresses_;
  std::map<std::string, int> listeners_;
  std::map<std::string, std::vector<int>> sockets_;
  std::set<std::string> deaf_;
  std::map<std::pair<std::string, std::string>, int> asked_on_;  // by member and request
  std::map<std::string, std::string> received_;
  std::string log_, old_log_;
  std::string config_, path_, folder_;
  int log_pipe_ = -1, old_log_pipe_ = -1;
  bool log_stalled_ = false;
  int pid_ = -1, old_pid_ = -1;
  unsigned descriptors_ = 0;
  std::string program_ = EDGE_PROXY_PROGRAM;
  int exit_code_ = -1;
};

}  // namespace edge_proxy::test
