// SPDX-License-Identifier: MIT
/// @file
/// Caches, parents and an origin on loopback ports that answer from a thread of their own, for tests that
/// load a started program.
#pragma once

#include <atomic>
#include <cstddef>
#include <map>
#include <string>
#include <thread>
#include <vector>

namespace edge_proxy::test {

class CacheStandIn {
 public:
  enum class Behavior {
    answers,          ///< each request gets a response with a body of `body_bytes`
    never_completes,  ///< each response lacks its last byte
    stops_reading     ///< nothing is read any more; new connections are accepted
  };

  CacheStandIn(const std::vector<std::string>& members, std::size_t body_bytes);
  ~CacheStandIn();
  CacheStandIn(const CacheStandIn&) = delete;
  CacheStandIn& operator=(const CacheStandIn&) = delete;

  void set_behavior(Behavior behavior) { behavior_ = behavior; }
  /// Returns the endpoint list of these members as in a configuration, without brackets.
  [[nodiscard]] std::string members_json() const;

 private:
  struct CacheConnection {
    std::string input;   ///< bytes of incomplete requests
    std::string output;  ///< bytes that the proxy has not taken yet
  };

  void run();
  void poll_once();
  void accept_from(int listener);
  /// Returns false if the connection has ended.
  bool read(int socket, CacheConnection& connection);
  static bool write(int socket, CacheConnection& connection);
  void answer_requests(CacheConnection& connection);

  std::size_t body_bytes_;
  std::map<std::string, int> listeners_;
  std::map<std::string, int> ports_;
  std::map<int, CacheConnection> connections_;
  std::atomic<Behavior> behavior_ = Behavior::answers;
  std::atomic<bool> is_stopping_ = false;
  std::thread thread_;
};

}  // namespace edge_proxy::test
