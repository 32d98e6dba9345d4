// SPDX-License-Identifier: MIT
/// @file
/// Relays between the processes of a fleet, one for each ordered pair, for datagrams and streams. A relay can
/// drop, delay, duplicate, reorder or corrupt datagrams and cut the connection. One thread serves all relays.
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

/// Faults for the datagrams of one direction. For streams, only `cut` applies, to connections opened in that
/// direction.
struct Fault {
  bool cut = false;
  double drop = 0, duplicate = 0, corrupt = 0, reorder = 0;  // probabilities, 0 to 1
  std::chrono::milliseconds delay{0};
};

class Relays {
 public:
  explicit Relays(std::uint64_t seed);
  ~Relays();
  Relays(const Relays&) = delete;
  Relays& operator=(const Relays&) = delete;

  /// Adds a relay to `to_port` and returns the port of the relay.
  int add(int to_port);
  void set(int relay_port, const Fault& fault);
  [[nodiscard]] std::uint64_t forwarded() const { return forwarded_; }

 private:
  struct Link {
    int port = 0, to_port = 0, datagram_socket = -1, stream_socket = -1;
    Fault fault;
  };
  struct QueuedDatagram {
    std::chrono::steady_clock::time_point due;
    std::uint64_t order = 0;
    int socket = -1, to_port = 0;
    std::string bytes;
    bool operator<(const QueuedDatagram& other) const {
      return due != other.due ? due > other.due : order > other.order;
    }
  };

  void run();
  void receive_datagrams(Link& link);
  void accept(Link& link);
  void forward_stream(int from);
  void close_pair(int end);

  std::mutex mutex_;
  std::map<int, std::unique_ptr<Link>> links_;  // by port
  std::map<int, Link*> links_by_socket_;
  std::map<int, int> pairs_;  // each end of a stream to the other end
  std::priority_queue<QueuedDatagram> queue_;
  std::uint64_t next_order_ = 0;
  std::mt19937_64 random_;
  std::atomic<std::uint64_t> forwarded_{0};
  std::atomic<bool> stopping_{false};
  int epoll_ = -1;
  std::thread thread_;
};

}  // namespace edge_proxy::test
