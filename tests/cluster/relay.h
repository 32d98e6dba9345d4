// SPDX-License-Identifier: MIT
/// @file
/// What lies between the processes of a fleet: a relay for each ordered pair, for datagrams and streams
/// alike, that can drop, delay, duplicate, reorder, corrupt and cut. One thread carries them all.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <queue>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace edge_proxy::test {

/// What happens to datagrams of one direction; streams know only `cut`, of either direction.
struct Fault {
  bool cut = false;
  double drop = 0, duplicate = 0, corrupt = 0, reorder = 0;  // parts, 0 to 1
  std::chrono::milliseconds delay{0};
};

class Relays {
 public:
  explicit Relays(std::uint64_t seed);
  ~Relays();
  Relays(const Relays&) = delete;
  Relays& operator=(const Relays&) = delete;

  /// A relay to that port; the port to send to instead.
  int add(int to_port);
  void set(int relay_port, const Fault& fault);
  [[nodiscard]] std::uint64_t carried() const { return carried_; }

 private:
  struct Way {
    int port = 0, to = 0, datagrams = -1, streams = -1;
    Fault fault;
  };
  struct Held {
    std::chrono::steady_clock::time_point due;
    std::uint64_t order = 0;
    int socket = -1, to = 0;
    std::string bytes;
    bool operator<(const Held& other) const {
      return due != other.due ? due > other.due : order > other.order;
    }
  };

  void run();
  void carry(Way& way);
  void accept(Way& way);
  void pump(int from);
  void close_pair(int end);

  std::mutex mutex_;
  std::map<int, std::unique_ptr<Way>> ways_;  // by port
  std::map<int, Way*> by_socket_;
  std::map<int, int> pairs_;  // the two ends of each stream
  std::priority_queue<Held> held_;
  std::uint64_t order_ = 0;
  std::mt19937_64 random_;
  std::atomic<std::uint64_t> carried_{0};
  std::atomic<bool> stopping_{false};
  int epoll_ = -1;
  std::thread thread_;
};

}  // namespace edge_proxy::test
