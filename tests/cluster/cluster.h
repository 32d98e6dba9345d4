// SPDX-License-Identifier: MIT
/// @file
/// Several processes of the built program on loopback, each with a folder of its own as its disk, relays
/// between each ordered pair, and faults of both. Checks wait for a condition up to a bound; where one fails,
/// the timeline of faults and views and the processes' logs are printed.
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

/// One member as a process tells of it (`GET /v1/peers`).
struct Told {
  std::string state, way, disk;
  std::uint64_t incarnation = 0;
};
/// What a process tells of its peers.
struct ToldView {
  std::string stands, digest;
  std::size_t registered = 0, reached = 0, differing = 0, doubt = 0;
  std::map<std::string, Told> members;
};

class Fleet {
 public:
  struct Options {
    bool relays = true;
    std::uint64_t seed = 1;
    std::string more;        ///< further keys of the section `peers`, each with a comma in front
    std::size_t voters = 0;  ///< 3, 5 or 7: the section `policy` is there, and the first so many vote
    std::string more_policy;
    /// Changes the configuration of one process.
    std::function<std::string(std::size_t, std::string)> edit;
  };
  explicit Fleet(std::size_t count) : Fleet(count, Options{}) {}
  Fleet(std::size_t count, Options options);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  [[nodiscard]] std::size_t size() const { return processes_.size(); }
  static std::string name(std::size_t i) { return "edge-" + std::to_string(i); }

  // Faults of processes.
  void start(std::size_t i);
  void kill(std::size_t i);       ///< SIGKILL; its end is waited for
  void terminate(std::size_t i);  ///< SIGTERM; its end is waited for, and has to be in order
  void stop(std::size_t i);       ///< SIGSTOP
  void resume(std::size_t i);     ///< SIGCONT
  void empty_disk(std::size_t i);
  /// Whether its disk knows of all of the first `count`.
  [[nodiscard]] bool disk_knows(std::size_t i, std::size_t count) const;
  /// Another process under the name of `of`, with a disk and addresses of its own; its number.
  std::size_t start_double(std::size_t of);

  // Faults between them.
  void set(std::size_t from, std::size_t to, const Fault& fault);
  void set_all(const Fault& fault);
  /// Cuts both ways between those below `first` and the others.
  void split(std::size_t first, bool cut);
  /// Sends those bytes to a process's peers address from here.
  void throw_at(std::size_t i, const std::string& bytes);

  [[nodiscard]] int pid(std::size_t i) const { return processes_[i].pid; }
  [[nodiscard]] int port(std::size_t i) const { return processes_[i].listen; }  ///< of its clients

  // What they tell.
  [[nodiscard]] bool runs(std::size_t i) const { return processes_[i].pid > 0 && !processes_[i].stopped; }
  std::optional<ToldView> view(std::size_t i);
  /// Status and body of an operator's call; status 0: no answer.
  std::pair<int, std::string> call(std::size_t i, const std::string& method, const std::string& path,
                                   const std::string& body = {},
                                   std::chrono::seconds bound = std::chrono::seconds(2));
  std::uint64_t figure(std::size_t i, const std::string& name);         ///< of svc.peers
  std::uint64_t policy_figure(std::size_t i, const std::string& name);  ///< of svc.policy
  std::string log(std::size_t i) const;

  /// Whether that process tells this state of that member.
  bool tells(std::size_t by, std::size_t of, const std::string& state);
  /// Whether all that run tell it.
  bool all_tell(std::size_t of, const std::string& state);
  /// Whether all that run stand whole, reach all that run and hold one view.
  bool agree();
  /// Waits until `done`, for `bound` at most. A GoogleTest failure with the whole story where it does not
  /// come; how long it took where it does.
  std::optional<std::chrono::milliseconds> expect(const std::string& what, std::chrono::milliseconds bound,
                                                  const std::function<bool()>& done);
  /// Passes time in which nothing is looked at, by waiting on nothing else.
  static void pass(std::chrono::milliseconds span);
  std::string story();

 private:
  struct Process {
    std::string name, folder, log, config;
    int pid = -1;
    bool stopped = false;
    int port = 0, listen = 0, admin = 0;
    std::map<std::size_t, int> relays;  // by whom it is for
  };

  void note(const std::string& what);
  std::size_t add(const std::string& name);
  void write_config(std::size_t i);
  std::uint64_t metric(std::size_t i, const std::string& key);
  void reap(std::size_t i, bool in_order);

  Options options_;
  std::chrono::steady_clock::time_point began_ = std::chrono::steady_clock::now();
  std::string root_;
  Relays relays_;
  std::vector<Process> processes_;
  std::string timeline_;
};

}  // namespace edge_proxy::test
