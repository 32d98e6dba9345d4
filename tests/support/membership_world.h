// SPDX-License-Identifier: MIT
/// @file
/// The reducers of many members in virtual time, on a network with delays, loss and partitions; processes can
/// be killed, stopped and started again.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "membership/reducer.h"
#include "support/virtual_time.h"

namespace edge_proxy::test {

using namespace std::chrono_literals;

class MembershipWorld {
 public:
  using Time = membership::Time;
  struct Node {
    std::unique_ptr<membership::State> state;  // null if the process is not running
    std::uint64_t disk = 0;
    std::uint64_t epoch = 0;                       // number of starts
    std::vector<membership::MemberUpdate> stored;  // persistent state at the last kill
    bool stopped = false;                          // stopped as by SIGSTOP: inputs are queued
    std::vector<membership::Input> waiting_inputs;
    std::string log;
    std::uint64_t bytes = 0, messages = 0;  // sent by this node
    Time timer_at{-1};                      // time of the newest timer event; -1: none
    double clock_rate = 1;
  };

  explicit MembershipWorld(std::size_t count, std::uint64_t seed = 1,
                           std::function<void(membership::Settings&)> adjust_settings = {})
      : adjust_settings_(std::move(adjust_settings)), random_(seed) {
    nodes_.resize(count);
    for (std::size_t i = 0; i < count; ++i) start(i, true);
  }
  /// Creates a world in which all members know each other from the start.
  static std::unique_ptr<MembershipWorld> settled(
      std::size_t count, std::uint64_t seed = 1,
      std::function<void(membership::Settings&)> adjust_settings = {}) {
    auto world = std::make_unique<MembershipWorld>(0, seed, std::move(adjust_settings));
    world->nodes_.resize(count);
    std::vector<membership::MemberUpdate> all;
    for (std::size_t i = 0; i < count; ++i)
      all.push_back({name(i), address(i), i + 1, 1U << 20U, 0, membership::MemberStatus::alive, {}});
    for (std::size_t i = 0; i < count; ++i) {
      world->nodes_[i].disk = i + 1;
      world->nodes_[i].stored = all;
      world->start(i, false);
    }
    return world;
  }

  static std::string name(std::size_t i) { return "n" + std::to_string(i); }
  static std::string address(std::size_t i) {
    return "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250) + ":7";
  }

  void start(std::size_t i, bool empty_disk) {
    Node& node = nodes_[i];
    if (empty_disk) {
      node.disk = random_() | 1U;
      node.stored.clear();
      node.epoch = 0;
    }
    ++node.epoch;
    membership::Settings settings;
    settings.cluster = "test";
    settings.name = name(i);
    settings.address = address(i);
    for (std::size_t seed_index = 0; seed_index < std::min<std::size_t>(3, nodes_.size()); ++seed_index)
      settings.seeds.push_back(address(seed_index));
    if (adjust_settings_) adjust_settings_(settings);
    node.state = std::make_unique<membership::State>(
        std::move(settings), membership::Identity{node.disk, node.epoch << 20U, empty_disk, node.stored},
        random_(), now_);
    node.stopped = false;
    feed(i, membership::TimerExpired{});
  }
  void kill(std::size_t i) {
    if (nodes_[i].state) nodes_[i].stored = nodes_[i].state->persistent_state();
    nodes_[i].state.reset();
  }
  void stop(std::size_t i) { nodes_[i].stopped = true; }
  void resume(std::size_t i) {
    Node& node = nodes_[i];
    node.stopped = false;
    feed(i, membership::TimerExpired{});
    for (membership::Input& input : std::exchange(node.waiting_inputs, {})) feed(i, input);
  }

  void run(Time span) {
    if (drift > 0 && now_ == kStart) {
      for (Node& node : nodes_)
        node.clock_rate = std::uniform_real_distribution<>(1 - drift, 1 + drift)(random_);
    }
    const Time end = now_ + span;
    while (!events_.empty() && events_.top().at <= end) {
      Event event = std::move(const_cast<Event&>(events_.top()));
      events_.pop();
      now_ = event.at;
      Node& node = nodes_[event.node];
      if (!node.state) continue;
      if (!event.input) {
        if (event.at != node.timer_at) continue;  // replaced by a newer timer
        node.timer_at = Time{-1};
        if (!node.stopped) feed(event.node, membership::TimerExpired{});
      } else if (node.stopped) {
        if (node.waiting_inputs.size() < 200) node.waiting_inputs.push_back(std::move(*event.input));
      } else {
        feed(event.node, *event.input);
      }
    }
    now_ = end;
  }
  template <typename Done>
  std::optional<Time> until(Done&& done, Time timeout, Time step = 20ms) {
    return run_until(*this, done, timeout, step);
  }

  void feed(std::size_t i, const membership::Input& input) {
    Node& node = nodes_[i];
    std::vector<membership::Effect> effects = node.state->handle(local(i), input);
    if (observer) observer(i, local(i), input, effects);
    for (membership::Effect& effect : effects) {
      if (auto* datagram = std::get_if<membership::SendDatagram>(&effect)) {
        transmit(i, datagram->address, std::move(datagram->message), false);
      } else if (auto* sync = std::get_if<membership::SendFullSync>(&effect)) {
        transmit(i, sync->address, std::move(sync->message), true);
      } else if (auto* reply = std::get_if<membership::FullSyncReply>(&effect)) {
        transmit(i, address(reply->stream - 1), std::move(reply->message), true);
      } else if (auto* log_line = std::get_if<membership::LogLine>(&effect)) {
        if (logs) node.log += std::to_string(now_.count() / 1000) + " " + log_line->line + "\n";
      }
    }
    const Time due = node.state->next_due();
    if (due == Time::max()) return;
    const double elapsed = static_cast<double>((due - kStart).count()) / node.clock_rate;
    const Time due_at = std::max(kStart + Time{static_cast<Time::rep>(elapsed) + 1}, now_);
    if (due_at != node.timer_at) {
      node.timer_at = due_at;
      events_.push({node.timer_at, order_++, i, std::nullopt});
    }
  }

  /// The current time of that member's clock.
  [[nodiscard]] Time local(std::size_t i) const {
    return kStart +
           Time{static_cast<Time::rep>(static_cast<double>((now_ - kStart).count()) * nodes_[i].clock_rate)};
  }
  [[nodiscard]] const membership::Member* seen(std::size_t observer_node, std::size_t member) const {
    return nodes_[observer_node].state->view().find(name(member));
  }
  [[nodiscard]] bool believes(std::size_t observer_node, std::size_t member,
                              membership::MemberStatus status) const {
    const membership::Member* found = seen(observer_node, member);
    return found != nullptr && found->update.status == status;
  }
  /// Whether all other members that run and are not stopped have that status for the member.
  [[nodiscard]] bool all_believe(std::size_t member, membership::MemberStatus status) const {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (i != member && nodes_[i].state && !nodes_[i].stopped && !believes(i, member, status)) return false;
    }
    return true;
  }
  [[nodiscard]] bool agreed() const {
    std::optional<std::uint64_t> digest;
    for (const Node& node : nodes_) {
      if (!node.state) continue;
      if (digest && *digest != node.state->view().digest()) return false;
      digest = node.state->view().digest();
    }
    return true;
  }
  /// Number of running members that some other member considers dead.
  [[nodiscard]] std::size_t wrongly_dead() const {
    std::size_t count = 0;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (!nodes_[i].state) continue;
      for (std::size_t observer_node = 0; observer_node < nodes_.size(); ++observer_node) {
        if (nodes_[observer_node].state && believes(observer_node, i, membership::MemberStatus::dead)) {
          ++count;
          break;
        }
      }
    }
    return count;
  }
  [[nodiscard]] std::uint64_t deaths_declared() const {
    std::uint64_t total = 0;
    for (const Node& node : nodes_) total += node.state ? node.state->counters().declared_dead : 0;
    return total;
  }

  Node& node(std::size_t i) { return nodes_[i]; }
  [[nodiscard]] std::size_t size() const { return nodes_.size(); }
  [[nodiscard]] Time now() const { return now_; }

  double loss = 0;
  double drift = 0;  ///< upper bound on the relative error of the clocks; set it before the first run()
  bool logs = true;
  std::uint64_t undeliverable = 0;                    ///< number of messages to members that do not run
  bool count_bytes = false;                           ///< whether bytes on the wire are counted
  std::function<bool(std::size_t, std::size_t)> cut;  ///< from, to
  std::function<Time(std::size_t, std::size_t)> extra_delay;  ///< from, to
  /// Called with sender, receiver and the message, which it may change; false drops the message.
  std::function<bool(std::size_t, std::size_t, membership::Message&)> filter;
  /// Called with each input of a node, the time of its clock, and the effects before they are performed.
  std::function<void(std::size_t, Time, const membership::Input&, const std::vector<membership::Effect>&)>
      observer;

 private:
  struct Event {
    Time at{0};
    std::uint64_t order = 0;
    std::size_t node = 0;
    std::optional<membership::Input> input;
    bool operator<(const Event& other) const { return at != other.at ? at > other.at : order > other.order; }
  };

  void transmit(std::size_t from, const std::string& to, membership::Message message, bool stream) {
    Node& sender = nodes_[from];
    ++sender.messages;
    if (count_bytes)
      sender.bytes += membership::encode(message, "test").size() + 28;  // plus IP and UDP headers
    const std::size_t target = index_of(to);
    if (target >= nodes_.size() || !nodes_[target].state) {
      ++undeliverable;
      return;
    }
    if (cut && (cut(from, target) || (stream && cut(target, from)))) return;
    if (filter && !filter(from, target, message)) return;
    if (!stream && loss > 0 && std::uniform_real_distribution<>(0, 1)(random_) < loss) return;
    Time delay{std::uniform_int_distribution<int>(300, 3000)(random_)};
    if (extra_delay) delay += extra_delay(from, target);
    membership::MessageReceived received{std::move(message), stream ? from + 1 : 0};
    events_.push({now_ + delay, order_++, target, std::move(received)});
  }
  static std::size_t index_of(const std::string& address) {
    const std::size_t third_dot = address.find('.', 5), colon = address.find(':');
    if (address.rfind("10.0.", 0) != 0) return SIZE_MAX;
    return std::stoul(address.substr(5, third_dot - 5)) * 250 +
           std::stoul(address.substr(third_dot + 1, colon - third_dot - 1));
  }

  std::function<void(membership::Settings&)> adjust_settings_;
  std::mt19937_64 random_;
  static constexpr Time kStart{1h};
  Time now_ = kStart;
  std::vector<Node> nodes_;
  std::priority_queue<Event> events_;
  std::uint64_t order_ = 0;
};

}  // namespace edge_proxy::test
