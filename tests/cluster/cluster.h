// SPDX-License-Identifier: MIT
/// @file
/// Runs several edge proxy processes on loopback, each with its own folder as its disk, with a relay between
/// each ordered pair, and injects faults into processes and relays. Checks wait for a condition up to a
/// bound; a failure prints the timeline of events, the processes' views and their logs.
#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cluster/relay.h"

namespace edge_proxy::test {

/// One member as reported by a process (`GET /v1/peers`).
struct MemberView {
  std::string state, way, disk;
  std::uint64_t incarnation = 0;
};
/// The view of the cluster that a process reports.
struct PeersView {
  std::string stands, digest;
  std::size_t registered = 0, reached = 0, differing = 0, doubt = 0;
  std::map<std::string, MemberView> members;
};

class Fleet {
 public:
  struct Options {
    bool relays = true;
    std::uint64_t seed = 1;
    std::string extra_peers_config;  ///< further keys of the section `peers`, each preceded by a comma
    std::size_t voters = 0;          ///< 3, 5 or 7: adds the section `policy`; the first processes are voters
    std::string extra_policy_config;
    /// Edits the configuration of the process with that index.
    std::function<std::string(std::size_t, std::string)> edit_config;
  };
  explicit Fleet(std::size_t count) : Fleet(count, Options{}) {}
  Fleet(std::size_t count, Options options);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  [[nodiscard]] std::size_t size() const { return processes_.size(); }
  static std::string name(std::size_t i) { return "edge-" + std::to_string(i); }

  // Process faults
  void start(std::size_t i);
  void kill(std::size_t i);       ///< sends SIGKILL and waits for the exit
  void terminate(std::size_t i);  ///< sends SIGTERM and expects exit code 0
  void stop(std::size_t i);       ///< SIGSTOP
  void resume(std::size_t i);     ///< SIGCONT
  void empty_disk(std::size_t i);
  /// Whether the stored member file lists all of the first `count` members.
  [[nodiscard]] bool disk_lists_members(std::size_t i, std::size_t count) const;
  /// Starts another process under the name of `original`, with its own disk and addresses; returns its index.
  std::size_t start_duplicate(std::size_t original);

  // Network faults
  void set_fault(std::size_t from, std::size_t to, const Fault& fault);
  void set_fault_on_all(const Fault& fault);
  /// Cuts or heals both directions between the processes below index `first` and the others.
  void split(std::size_t first, bool cut);
  /// Sends a datagram from the test program to the membership address of a process.
  void send_datagram(std::size_t i, const std::string& bytes);

  [[nodiscard]] int pid(std::size_t i) const { return processes_[i].pid; }
  [[nodiscard]] int port(std::size_t i) const { return processes_[i].listen; }  ///< the port for clients

  // State reported by the processes
  [[nodiscard]] bool is_running(std::size_t i) const {
    return processes_[i].pid > 0 && !processes_[i].stopped;
  }
  std::optional<PeersView> view(std::size_t i);
  /// Returns the status and body of an operator's call; status 0 means no answer.
  std::pair<int, std::string> call(std::size_t i, const std::string& method, const std::string& path,
                                   const std::string& body = {},
                                   std::chrono::seconds timeout = std::chrono::seconds(2));
  std::uint64_t peers_metric(std::size_t i, const std::string& name);   ///< of `svc.peers`
  std::uint64_t policy_metric(std::size_t i, const std::string& name);  ///< of `svc.policy`
  std::string log(std::size_t i) const;

  /// Whether process `observer` reports that state for `member`.
  bool sees_state(std::size_t observer, std::size_t member, const std::string& state);
  /// Whether all running processes except `member` report that state.
  bool all_see_state(std::size_t member, const std::string& state);
  /// Whether all running processes report `whole`, reach all running processes and have the same view.
  bool all_agree();
  /// Waits until `done` returns true, for at most `bound`, and returns the time it took. On a timeout it adds
  /// a GoogleTest failure with the diagnostics.
  std::optional<std::chrono::milliseconds> expect(const std::string& what, std::chrono::milliseconds bound,
                                                  const std::function<bool()>& done);
  /// Waits without checking anything.
  static void sleep_for(std::chrono::milliseconds duration);
  /// The timeline of events, and the view and log lines of each process.
  std::string diagnostics();

 private:
  struct Process {
    std::string name, folder, log, config;
    int pid = -1;
    bool stopped = false;
    int port = 0, listen = 0, admin = 0;
    std::map<std::size_t, int> relays;  // by index of the receiver
  };

  void record_event(const std::string& what);
  std::size_t add(const std::string& name);
  void write_config(std::size_t i);
  std::uint64_t metric(std::size_t i, const std::string& key);
  void reap(std::size_t i, bool expect_clean_exit);

  Options options_;
  std::chrono::steady_clock::time_point started_at_ = std::chrono::steady_clock::now();
  std::string root_;
  Relays relays_;
  std::vector<Process> processes_;
  std::string event_timeline_;
};

}  // namespace edge_proxy::test
