// SPDX-License-Identifier: MIT
/// @file
/// Runs scenarios against a started edge proxy process over loopback; the scenario simulates every peer.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "support/scenario.h"

namespace edge_proxy::test {

class StartedProgram : public ProxyHarness {
 public:
  /// `edit_config` may change the configuration before the start. `descriptor_limit` is the RLIMIT_NOFILE of
  /// the process; 0 keeps the inherited limit.
  explicit StartedProgram(const std::vector<std::string>& members = {"box-1", "up-1", "main"},
                          std::string (*edit_config)(std::string) = nullptr, unsigned descriptor_limit = 0);
  ~StartedProgram() override;
  StartedProgram(const StartedProgram&) = delete;
  StartedProgram& operator=(const StartedProgram&) = delete;

  void send(const std::string& peer, const std::string& bytes) override;
  std::string take_received(const std::string& peer) override;
  void set_behavior(const std::string& peer, PeerBehavior behavior) override;
  bool is_closed(const std::string& peer) override;
  void wait(std::chrono::milliseconds duration) override;
  void terminate() override;
  void reload(const std::string& discovery_peer) override;
  bool has_stopped() override;
  std::string log() override { return log_; }
  std::chrono::milliseconds expectation_timeout() const override { return std::chrono::seconds(5); }

  /// Starts another process with the same addresses except for the admin address, as an upgrade does. From
  /// then on signals and operators' calls go to the new process; the previous one is the "old process".
  void upgrade();
  void terminate_old_process();
  bool old_process_stopped();
  /// The log of the old process so far.
  std::string old_process_log() const { return old_process_log_; }

  /// Reads exactly that many bytes on a peer that is set to `not_reading`.
  void read_bytes(const std::string& peer, std::size_t bytes);
  /// The CPU time that the process has used so far.
  [[nodiscard]] std::chrono::milliseconds cpu_time() const;
  /// The port on which a peer of that name is reached: "edge", "admin", a member or a discovery service.
  [[nodiscard]] int port(const std::string& peer) const;
  /// The memory of the process that holds no page of a file, in bytes; 0 if the process has ended.
  [[nodiscard]] std::size_t anonymous_memory() const;
  /// The number of descriptors that the process has open and that count against its limit.
  [[nodiscard]] std::size_t open_descriptor_count() const;
  /// Sends a signal to the process.
  void send_signal(int signal_number);
  /// Stops reading the log and shrinks its pipe to 4 KiB.
  void stall_log();
  /// The exit code, valid once has_stopped() is true.
  [[nodiscard]] int exit_code() const { return exit_code_; }

 private:
  void start();
  bool reap(int& pid);
  void read_old_process_log();
  void listen(const std::string& peer);
  void connect(const std::string& peer);
  void poll_once(std::chrono::milliseconds duration);

  std::map<std::string, std::string> addresses_;
  std::map<std::string, int> listeners_;
  std::map<std::string, std::vector<int>> sockets_;
  std::set<std::string> not_reading_;
  std::map<std::pair<std::string, std::string>, int> request_sockets_;  // by member and request
  std::map<std::string, std::string> received_;
  std::string log_, old_process_log_;
  std::string config_text_, config_path_, temp_folder_;
  int log_pipe_ = -1, old_process_log_pipe_ = -1;
  bool log_stalled_ = false;
  int pid_ = -1, old_process_pid_ = -1;
  unsigned descriptor_limit_ = 0;
  std::string program_path_ = EDGE_PROXY_PROGRAM;
  int exit_code_ = -1;
};

}  // namespace edge_proxy::test
