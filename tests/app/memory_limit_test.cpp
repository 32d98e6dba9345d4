// SPDX-License-Identifier: MIT
// Peers of every kind make the started program hold as much memory as they can, over real connections. It
// must stay within `limits.memory_mb`, and usual clients must get an answer to every request.
#include <gtest/gtest.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "support/blocking_client.h"
#include "support/cache_stand_in.h"
#include "support/loopback.h"
#include "support/started_program.h"

namespace edge_proxy::test {
namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

constexpr unsigned kDescriptors = 1024;
constexpr int kUsualClients = 16;
constexpr std::size_t kPartBytes = 120'000;
constexpr std::size_t kLargestPartBytes = 240'000;
constexpr std::size_t kUsualWriteBytes = 20'000;
constexpr std::size_t kLargestWriteBytes = 48'000;
constexpr int kRequestsPerClient = 32;  // open on one connection
constexpr auto kWarmUp = 300ms;
constexpr auto kLoadedFor = 3500ms;  // longer than the time limits of messages and requests
constexpr auto kSample = 10ms;
constexpr int kRequestIdsPerThread = 1'000'000;
constexpr std::int64_t kUsualLimitMs = 2500;  // how long a usual client waits for its answer

/// Values that edit_config(), a plain function, puts into the configuration.
struct ConfigEdits {
  int memory_mb = 0;
  std::string members_json;
  std::string discovery_address;  ///< empty: that of the scenario
  std::string peers_section;      ///< empty: none
};
ConfigEdits config_edits;

void replace(std::string& text, const std::string& from, const std::string& to) {
  const std::size_t at = text.find(from);
  ASSERT_NE(at, std::string::npos) << from;
  text.replace(at, from.size(), to);
}

std::string edit_config(std::string config) {
  replace(config, R"("memory_mb":192)", R"("memory_mb":)" + std::to_string(config_edits.memory_mb));
  replace(config, R"("sockets":256)", R"("sockets":)" + std::to_string(kDescriptors));
  replace(config, R"({"no":0,"items":[]})",
          R"({"no":1,"items":[{"no":1,"roster":{"revision":1,"complete":true,"members":[)" +
              config_edits.members_json + R"(]}}]})");
  if (!config_edits.peers_section.empty()) config.insert(1, config_edits.peers_section + ",");
  if (config_edits.discovery_address.empty()) return config;
  const std::size_t begin = config.find(R"("bulletin":")") + std::string(R"("bulletin":")").size();
  return config.replace(begin, config.find('"', begin) - begin, config_edits.discovery_address);
}

/// What usual clients saw.
struct UsualClientCounts {
  std::atomic<int> answered = 0;
  std::atomic<int> lost = 0;
  std::atomic<std::int64_t> longest_wait_ms = 0;
};

/// The parameter is `limits.memory_mb`: the smallest value that the program takes, and the smallest in use.
class MemoryLimit : public ::testing::TestWithParam<int> {
 protected:
  using Flood = std::function<void(int number)>;

  void SetUp() override {
    if (std::getenv("EDGE_PROXY_DEPLOYED") == nullptr) GTEST_SKIP() << "run tests/run.sh, which builds it";
  }

  void start(std::size_t body_bytes = kPartBytes) {
    std::vector<std::string> members{"up-1", "main"};
    for (int i = 1; i <= 12; ++i) members.push_back("box-" + std::to_string(i));
    caches_ = std::make_unique<CacheStandIn>(members, body_bytes);
    config_edits.memory_mb = GetParam();
    config_edits.members_json = caches_->members_json();
    program_ = std::make_unique<StartedProgram>(std::vector<std::string>{}, edit_config, kDescriptors);
    port_ = program_->port("edge");
    for (int i = 0; i < kUsualClients; ++i) threads_.emplace_back([this, i] { run_usual_client(i); });
    program_->wait(kWarmUp);
  }

  /// Runs `count` threads that repeat the flood until the end.
  void add_flood(int count, const Flood& flood) {
    for (int i = 0; i < count; ++i) {
      threads_.emplace_back([this, flood, number = ++flood_count_] {
        while (!is_over_) flood(number);
      });
    }
  }

  void expect_within_limit() {
    std::size_t peak = 0;
    for (const auto end = Clock::now() + kLoadedFor; Clock::now() < end;) {
      program_->wait(kSample);
      peak = std::max(peak, program_->anonymous_memory());
    }
    is_over_ = true;
    for (std::thread& thread : threads_) thread.join();
    RecordProperty("peak_kb", static_cast<int>(peak >> 10U));
    std::printf("peak_kb=%zu answered=%d lost=%d longest_wait_ms=%d\n", peak >> 10U, counts_.answered.load(),
                counts_.lost.load(), static_cast<int>(counts_.longest_wait_ms));
    EXPECT_LE(peak, static_cast<std::size_t>(GetParam()) << 20U) << program_->log();
    EXPECT_FALSE(program_->has_stopped());
    EXPECT_EQ(counts_.lost, 0);
    EXPECT_GT(counts_.answered, kUsualClients);
  }

  /// Each usual client must have had each answer within the time that it waits.
  void expect_short_waits() const { EXPECT_LT(counts_.longest_wait_ms, kUsualLimitMs); }

  /// Announces a message, sends all of it but the last byte and reads until the connection ends.
  void send_incomplete_message() {
    BlockingClient client(port_);
    if (!client.is_open() || !client.send(incomplete_message())) return;
    wait_for_end_of(client);
  }

  /// Sends a request and, behind it, a message without its last byte.
  void send_request_and_incomplete_message(int number) {
    BlockingClient client(port_);
    if (!client.is_open() || !client.send(request(number, next_id(number)) + incomplete_message())) return;
    wait_for_end_of(client);
  }

  /// Sends as many requests as may be open and reads no answer.
  void request_without_reading(int number) {
    BlockingClient client(port_, 4096);
    for (int i = 0; i < kRequestsPerClient && !is_over_; ++i) {
      if (!client.is_open() || !client.send(request(i + 1, next_id(number)))) return;
    }
    while (!is_over_ && !client.wait_for_end(50ms)) {
    }
  }

  /// Sends as many writes of the largest size as may be open.
  void send_bodies(int number) {
    BlockingClient client(port_);
    for (int i = 0; i < kRequestsPerClient && !is_over_; ++i) {
      if (!client.is_open() || !client.send(write_request(i + 1, next_id(number), kLargestWriteBytes)))
        return;
    }
    wait_for_end_of(client);
  }

  /// Sends requests with the longest time limit and withdraws them once they are accepted.
  void withdraw_requests(int number) {
    BlockingClient client(port_);
    int call = 0;
    while (!is_over_ && client.is_open()) {
      std::string requests, cancels;
      for (int i = 0; i < kRequestsPerClient; ++i) {
        requests += request(++call, next_id(number), "10000");
        cancels += cancel_message(call);
      }
      if (!client.send(requests) || client.discard_for(1ms) || !client.send(cancels)) return;
    }
  }

  /// Sends as many requests as may be open, reads the answers and sends them again.
  void request_in_bulk(int number) {
    BlockingClient client(port_);
    std::string requests;
    for (int i = 0; i < kRequestsPerClient; ++i) requests += request(i + 1, next_id(number), "5000");
    if (!client.is_open() || !client.send(requests)) return;
    wait_for_end_of(client, 500ms);
  }

  /// Sends all of an operator's call but its last byte.
  void send_incomplete_admin_call() {
    constexpr std::size_t kBodyBytes = std::size_t{72} * 1024;
    BlockingClient client(program_->port("admin"));
    const std::string call = "PUT /v1/policy HTTP/1.1\r\nX-Padding: " + std::string(8000, 'x') +
                             "\r\nContent-Length: " + std::to_string(kBodyBytes) + "\r\n\r\n" +
                             std::string(kBodyBytes - 1, 'x');
    if (client.is_open() && client.send(call)) wait_for_end_of(client);
  }

  /// Sends a write of the largest size in small pieces.
  void write_slowly(int number) {
    constexpr std::size_t kPieceBytes = 256;
    BlockingClient client(port_);
    const std::string message = write_request(1, next_id(number), kLargestWriteBytes);
    for (std::size_t at = 0; at < message.size() && !is_over_; at += kPieceBytes) {
      if (!client.is_open() || !client.send(std::string_view(message).substr(at, kPieceBytes))) return;
      if (client.discard_for(5ms)) return;
    }
  }

  /// Sends requests of very many short fields, and one without its last byte.
  void send_many_fields(int number) {
    constexpr int kFields = 4500;  // of a message of the largest size
    static const std::map<std::string, std::string> fields = [] {
      std::map<std::string, std::string> many = request_fields(1, "pages");
      for (int i = 0; i < kFields; ++i) many[std::to_string(i)] = "";
      return many;
    }();
    BlockingClient client(port_);
    std::string messages;
    for (int call = 1; call <= 4; ++call) messages += request_message(number + call, fields);
    messages.pop_back();
    if (client.is_open() && client.send(messages)) wait_for_end_of(client, 500ms);
  }

  /// Sends calls of every kind under ever new names at full speed on one connection, and reads the answers.
  void call_at_full_speed(int number) {
    BlockingClient client(port_);
    int call = 0;
    while (!is_over_ && client.is_open()) {
      std::string calls;
      for (int i = 0; i < kRequestsPerClient; ++i) {
        calls += request(++call, next_id(number), "10000");
        auto unsound = request_fields(next_id(number), "class-" + std::to_string(call));
        calls += request_message(++call, unsound);
        unsound["verb"] = "pages";
        unsound["limit"] = std::to_string(call) + "x";
        calls += request_message(++call, unsound);
        calls += cancel_message(call - 2);
      }
      if (!client.send(calls) || client.discard_for(0ms)) return;
      while (client.has_input()) {
        if (client.discard_for(1ms)) return;
      }
    }
  }

  std::unique_ptr<CacheStandIn> caches_;
  std::unique_ptr<StartedProgram> program_;
  std::vector<std::thread> threads_;
  std::atomic<bool> is_over_ = false;
  UsualClientCounts counts_;

 private:
  /// Returns a message of the largest size without its last byte.
  static const std::string& incomplete_message() {
    static const std::string message = std::string("\0\1\0\0", 4) + std::string(0xffff, 'x');
    return message;
  }
  static std::string request(int call, int id, const std::string& limit = std::to_string(kUsualLimitMs)) {
    auto fields = request_fields(id, "pages");
    fields["limit"] = limit;
    return request_message(call, fields);
  }
  static std::string write_request(int call, int id, std::size_t body_bytes) {
    auto fields = request_fields(id, "order");
    fields["unique"] = "key-" + std::to_string(id);
    return request_message(call, fields, std::string(body_bytes, 'w'));
  }
  /// Returns a request id that no other thread uses.
  int next_id(int number) {
    return number * kRequestIdsPerThread + ++last_ids_[static_cast<std::size_t>(number)];
  }

  void wait_for_end_of(BlockingClient& client, std::chrono::milliseconds limit = 10s) {
    for (const auto end = Clock::now() + limit; !is_over_ && Clock::now() < end;) {
      if (client.discard_for(50ms)) return;
    }
  }

  /// One request at a time, each tenth one a write.
  void run_usual_client(int number) {
    BlockingClient client(port_);
    for (int call = 1; !is_over_; ++call) {
      const int id = number * kRequestIdsPerThread / kUsualClients + call;
      const bool sent =
          client.send(call % 10 == 0 ? write_request(call, id, kUsualWriteBytes) : request(call, id));
      const auto sent_at = Clock::now();
      const bool is_answered = sent && client.receive_frame();
      const auto waited =
          std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - sent_at).count();
      counts_.longest_wait_ms = std::max<std::int64_t>(counts_.longest_wait_ms, waited);
      if (!is_answered) {
        ++counts_.lost;
        return;
      }
      ++counts_.answered;
      std::this_thread::sleep_for(20ms);
    }
  }

  int port_ = 0;
  int flood_count_ = 0;
  std::array<int, 512> last_ids_{};
};

// Guards against incomplete messages of clients that together exceed the memory limit.
TEST_P(MemoryLimit, HoldsAgainstClientsWithIncompleteMessages) {
  start();
  add_flood(300, [this](int) { send_incomplete_message(); });
  expect_within_limit();
}

// Guards against incomplete messages of clients that also wait for an answer.
TEST_P(MemoryLimit, HoldsAgainstIncompleteMessagesBehindRequests) {
  start();
  add_flood(300, [this](int number) { send_request_and_incomplete_message(number); });
  expect_within_limit();
}

// Guards against replies that clients do not read.
TEST_P(MemoryLimit, HoldsAgainstClientsThatDoNotRead) {
  start(kLargestPartBytes);
  add_flood(100, [this](int number) { request_without_reading(number); });
  expect_within_limit();
}

// Guards against bodies of requests that caches do not read.
TEST_P(MemoryLimit, HoldsAgainstBodiesThatNoCacheReads) {
  start();
  caches_->set_behavior(CacheStandIn::Behavior::stops_reading);
  add_flood(100, [this](int number) { send_bodies(number); });
  expect_within_limit();
}

// Guards against timers and table entries of requests that have ended.
TEST_P(MemoryLimit, HoldsAgainstRequestsThatAreWithdrawn) {
  start(100);
  add_flood(16, [this](int number) { withdraw_requests(number); });
  expect_within_limit();
}

// Guards against requests that wait for their answers, on as many connections as clients may have.
TEST_P(MemoryLimit, HoldsAgainstManyOpenRequests) {
  start();
  caches_->set_behavior(CacheStandIn::Behavior::stops_reading);
  add_flood(300, [this](int number) { request_in_bulk(number); });
  expect_within_limit();
}

// Guards against responses of caches that never end.
TEST_P(MemoryLimit, HoldsAgainstResponsesThatNeverEnd) {
  start(kLargestPartBytes);
  caches_->set_behavior(CacheStandIn::Behavior::never_completes);
  add_flood(64, [this](int number) { request_in_bulk(number); });
  expect_within_limit();
}

// Guards against calls of operators that never end.
TEST_P(MemoryLimit, HoldsAgainstIncompleteAdminCalls) {
  start();
  add_flood(40, [this](int) { send_incomplete_admin_call(); });
  expect_within_limit();
  expect_short_waits();
}

// Guards against large messages that many clients write in small pieces.
TEST_P(MemoryLimit, HoldsAgainstClientsThatWriteSlowly) {
  start();
  add_flood(300, [this](int number) { write_slowly(number); });
  expect_within_limit();
}

// Guards against messages whose fields take many times their size.
TEST_P(MemoryLimit, HoldsAgainstMessagesOfVeryManyShortFields) {
  start();
  add_flood(300, [this](int number) { send_many_fields(number); });
  expect_within_limit();
}

// Guards against one client that calls at full speed, for which others would wait or the memory would grow.
TEST_P(MemoryLimit, HoldsAgainstOneClientThatCallsAtFullSpeed) {
  start();
  add_flood(1, [this](int number) { call_at_full_speed(number); });
  expect_within_limit();
  expect_short_waits();
}

/// A discovery service that sends bytes without end on each connection.
class EndlessDiscovery {
 public:
  /// Returns the bytes that follow the first `repeats` pieces of a connection.
  using NextPiece = std::function<std::string(int repeats)>;

  /// The pieces are sent after the head until the connection ends or `max_repeats` is reached.
  EndlessDiscovery(NextPiece next_piece, int max_repeats)
      : next_piece_(std::move(next_piece)), max_repeats_(max_repeats) {
    listener_ = bind_shared_socket(port_);
    listen(listener_, 16);
    thread_ = std::thread([this] { run(); });
  }
  ~EndlessDiscovery() {
    is_stopping_ = true;
    shutdown(listener_, SHUT_RDWR);
    thread_.join();
    close(listener_);
  }
  EndlessDiscovery(std::string repeated, int max_repeats)
      : EndlessDiscovery([repeated = std::move(repeated)](int) { return repeated; }, max_repeats) {}
  EndlessDiscovery(const EndlessDiscovery&) = delete;
  EndlessDiscovery& operator=(const EndlessDiscovery&) = delete;
  [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  void run() {
    while (!is_stopping_) {
      const int socket = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket < 0) continue;
      const timeval limit{0, 500'000};
      setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
      const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
      bool is_open = send_all(socket, head);
      for (int i = 0; i < max_repeats_ && is_open && !is_stopping_; ++i)
        is_open = send_all(socket, next_piece_(i));
      close(socket);
    }
  }
  static bool send_all(int socket, std::string_view bytes) {
    while (!bytes.empty()) {
      const ssize_t size = send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (size <= 0) return false;
      bytes.remove_prefix(static_cast<std::size_t>(size));
    }
    return true;
  }

  NextPiece next_piece_;
  int max_repeats_;
  int port_ = 0;
  int listener_ = -1;
  std::atomic<bool> is_stopping_ = false;
  std::thread thread_;
};

// Guards against a line of the discovery service that never ends.
TEST_P(MemoryLimit, HoldsAgainstADiscoveryLineThatNeverEnds) {
  const EndlessDiscovery discovery(std::string(16'384, 'x'), 1'000'000);
  config_edits.discovery_address = discovery.address();
  start();
  expect_within_limit();
  config_edits.discovery_address.clear();
}

// Guards against a discovery event whose values take many times the memory of its text.
TEST_P(MemoryLimit, HoldsAgainstADiscoveryEventOfManyValues) {
  std::string event = "data: [0";
  while (event.size() < 400'000) event += ",0";
  const EndlessDiscovery discovery(event + "]\n\n", 1'000'000);
  config_edits.discovery_address = discovery.address();
  start();
  expect_within_limit();
  config_edits.discovery_address.clear();
}

// Guards against records of purges that stay for a time, however many come, and are all visited for each
// purge.
TEST_P(MemoryLimit, HoldsAgainstPurgesAtFullSpeed) {
  constexpr int kPurgesPerPiece = 200;
  const EndlessDiscovery discovery(
      [](int repeats) {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        const auto issued_ms = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
        std::string purges;
        for (int i = 0; i < kPurgesPerPiece; ++i) {
          const int number = 2 + repeats * kPurgesPerPiece + i;
          std::array<char, 160> event{};
          std::snprintf(event.data(), event.size(),
                        "id: %d\ndata: {\"no\":%d,\"recall\":{\"item\":\"%016x\",\"issued\":%lld}}\n\n",
                        number, number, static_cast<unsigned>(number), static_cast<long long>(issued_ms));
          purges += event.data();
        }
        return purges;
      },
      1'000'000);
  config_edits.discovery_address = discovery.address();
  start();
  expect_within_limit();
  expect_short_waits();
  config_edits.discovery_address.clear();
}

// Guards against full-sync streams of members that never end.
TEST_P(MemoryLimit, HoldsAgainstStreamsOfMembersThatNeverEnd) {
  const int port = reserve_port();
  const std::string folder = ::testing::TempDir() + "edge_proxy-peers-" + std::to_string(port);
  std::filesystem::create_directories(folder);
  config_edits.peers_section = R"("peers":{"cluster":"c","listen":"127.0.0.1:)" + std::to_string(port) +
                               R"(","folder":")" + folder + R"(","seeds":[]})";
  start();
  add_flood(32, [this, port](int) {
    BlockingClient member(port);
    if (!member.is_open() || !member.send(std::string(600'000, 'x'))) return;
    while (!is_over_ && !member.wait_for_end(50ms)) {
    }
  });
  expect_within_limit();
  config_edits.peers_section.clear();
  std::filesystem::remove_all(folder);
}

// Guards against kinds of peers that each stay within a limit and exceed the memory limit together.
TEST_P(MemoryLimit, HoldsAgainstAllKindsOfPeersAtOnce) {
  start(kLargestPartBytes);
  caches_->set_behavior(CacheStandIn::Behavior::never_completes);
  add_flood(100, [this](int) { send_incomplete_message(); });
  add_flood(60, [this](int number) { send_request_and_incomplete_message(number); });
  add_flood(50, [this](int number) { request_without_reading(number); });
  add_flood(50, [this](int number) { send_bodies(number); });
  add_flood(40, [this](int number) { request_in_bulk(number); });
  add_flood(8, [this](int number) { withdraw_requests(number); });
  add_flood(32, [this](int) { send_incomplete_admin_call(); });
  expect_within_limit();
}

INSTANTIATE_TEST_SUITE_P(Megabytes, MemoryLimit, ::testing::Values(16, 32),
                         [](const auto& test_case) { return std::to_string(test_case.param); });

}  // namespace
}  // namespace edge_proxy::test
