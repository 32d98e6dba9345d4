// SPDX-License-Identifier: MIT
/// @file
/// Runs the reducer in virtual time against peers that a scenario controls.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "proxy/reducer.h"
#include "support/scenario.h"

namespace edge_proxy::test {

class VirtualTimeHarness : public ProxyHarness {
 public:
  /// Receives each input of the reducer together with the resulting effects.
  using Observer =
      std::function<void(Time now, const proxy::Input& input, const std::vector<proxy::Effect>& effects)>;

  explicit VirtualTimeHarness(const std::vector<std::string>& members = {"box-1", "up-1", "main"},
                              int memory_mb = 192, std::string (*edit_config)(std::string) = nullptr,
                              Observer observer = {})
      : observer_(std::move(observer)),
        state_(config::parse(edit_config == nullptr ? config_text(members, {}, memory_mb)
                                                    : edit_config(config_text(members, {}, memory_mb)),
                             {}),
               now_) {
    feed(proxy::LoopTimerExpired{});
  }

  void send(const std::string& peer, const std::string& bytes) override {
    if (open_connections_[peer].empty() && peer.rfind("bulletin", 0) != 0 && !is_member(peer)) {
      const proxy::ConnectionId id = last_accepted_ += proxy::kConnectionIdStep;
      add(peer, id);
      feed(proxy::Accepted{id, is_operator(peer) ? proxy::kAdminListener : proxy::kListener});
    }
    if (open_connections_[peer].empty()) return;
    const auto request = request_connections_.find({peer, bytes.substr(0, 16)});
    const bool is_response = request != request_connections_.end() && is_open(request->second);
    const proxy::ConnectionId id = is_response ? request->second : last_used_.at(peer);
    const std::string_view all = bytes;
    if (delivers_unsplit_) {
      feed(proxy::BytesArrived{id, all});
      return;
    }
    // The bytes arrive in two parts, so that no scenario relies on messages that arrive whole.
    feed(proxy::BytesArrived{id, all.substr(0, all.size() / 2)});
    if (is_open(id)) feed(proxy::BytesArrived{id, all.substr(all.size() / 2)});
  }
  std::string take_received(const std::string& peer) override { return std::exchange(received_[peer], {}); }
  void set_behavior(const std::string& peer, PeerBehavior behavior) override {
    behaviors_[peer] = behavior;
    if (behavior == PeerBehavior::not_reading || behavior == PeerBehavior::normal) {
      set_write_stalled(peer, behavior == PeerBehavior::not_reading);
      for (const proxy::ConnectionId id : std::exchange(connecting_[peer], {})) {
        if (is_open(id)) feed(proxy::Connected{id});
      }
    }
    if (behavior != PeerBehavior::closed && behavior != PeerBehavior::reset &&
        behavior != PeerBehavior::half_closed && behavior != PeerBehavior::refusing) {
      return;
    }
    const bool is_reset = behavior != PeerBehavior::closed && behavior != PeerBehavior::half_closed;
    for (const proxy::ConnectionId id : std::set(open_connections_[peer])) {
      remove(id);
      feed(proxy::ConnectionClosed{id, is_reset});
    }
  }
  bool is_closed(const std::string& peer) override {
    const auto& open = open_connections_[peer];
    return std::all_of(open.begin(), open.end(), [this](const auto id) { return shut_down_.count(id) != 0; });
  }
  void wait(std::chrono::milliseconds duration) override {
    const Time end = now_ + duration;
    while (timer_due_ <= end && timer_due_ > Time{0}) {
      now_ = std::max(now_, std::exchange(timer_due_, Time{0}));
      feed(proxy::LoopTimerExpired{});
    }
    now_ = end;
  }
  void terminate() override { feed(proxy::ShutdownRequested{}); }
  void reload(const std::string& discovery_peer) override {
    const std::string address = discovery_peer == "nowhere" ? discovery_peer : discovery_peer + ":1";
    try {
      feed(proxy::Reloaded{config::parse(config_text({}, {{"bulletin", address}}), {})});
    } catch (const FieldError& problem) {
      feed(proxy::ReloadFailed{problem.what()});
    }
  }
  bool has_stopped() override { return !is_listening_ && connection_ids_.empty(); }
  std::string log() override { return log_; }
  std::chrono::milliseconds expectation_timeout() const override { return std::chrono::milliseconds(0); }

  /// Withholds WriteDrained inputs, as happens if the peer does not read; `false` delivers all of them.
  void set_write_stalled(const std::string& peer, bool is_stalled) {
    write_stalled_[peer] = is_stalled;
    if (is_stalled) return;
    for (const proxy::ConnectionId id : std::set(undrained_)) {
      undrained_.erase(id);
      feed(proxy::WriteDrained{id});
    }
  }
  /// The system takes `bytes` more of what was written to the peer, whose writes are stalled; others remain.
  void take_written_bytes(const std::string& peer, std::size_t bytes) {
    for (const proxy::ConnectionId id : std::set(undrained_)) {
      if (peers_[id] == peer && is_open(id)) feed(proxy::WriteProgressed{id, bytes});
    }
  }
  /// The client connects in the moment before the listener closes, and is accepted while it closes.
  void connect_before_listener_closes(const std::string& peer) { connected_before_close_.push_back(peer); }
  /// The admin overrides that the edge proxy has stored for its successor process.
  [[nodiscard]] std::string stored_overrides() const { return stored_overrides_.serialize(); }
  /// Delivers admin overrides that another process has stored.
  void load_overrides(const std::string& text) {
    stored_overrides_.merge(proxy::StoredOverrides::parse(text).table);
    feed(proxy::OverridesStored{stored_overrides_, {}});
  }
  /// Makes the following changes of overrides fail with this reason; an empty one ends that.
  void fail_storing_overrides(const std::string& reason) { override_store_failure_ = reason; }
  /// Whether the edge proxy leaves new connections to its successor process.
  [[nodiscard]] bool has_stopped_accepting() const { return has_stopped_accepting_; }
  /// Advances the clock without any input to the reducer.
  void stall_event_loop(std::chrono::milliseconds duration) { now_ += duration; }
  [[nodiscard]] Time now() const { return now_; }
  /// Whether the connection on which the member last received this request is still open.
  [[nodiscard]] bool is_request_connection_open(const std::string& member, const std::string& request) const {
    const auto found = request_connections_.find({member, request});
    return found != request_connections_.end() && is_open(found->second);
  }
  /// Sets a response that has arrived on the request's connection and is read only when the edge proxy drains
  /// and closes that connection.
  void set_unread_bytes(const std::string& member, const std::string& response) {
    unread_[request_connections_.at({member, response.substr(0, 16)})] = response;
  }
  /// From now on, the bytes of one send() arrive in one input.
  void deliver_unsplit() { delivers_unsplit_ = true; }
  /// The system has no free descriptor for a new connection.
  void exhaust_descriptors() { feed(proxy::DescriptorsExhausted{}); }
  /// Connections that are open or being opened now, and their maximum so far.
  [[nodiscard]] std::size_t connection_count() const { return connection_ids_.size(); }
  [[nodiscard]] std::size_t max_connection_count() const { return max_connection_count_; }

  /// Applies an input to the reducer and performs the resulting effects.
  void feed(const proxy::Input& input) {
    const std::vector<proxy::Effect> effects = proxy::reduce(state_, now_, input);
    if (observer_) observer_(now_, input, effects);
    std::vector<proxy::Input> resulting_inputs;
    for (const proxy::Effect& effect : effects) {
      std::visit([&](const auto& typed_effect) { perform(typed_effect, resulting_inputs); }, effect);
    }
    for (const proxy::Input& resulting_input : resulting_inputs) feed(resulting_input);
  }

 private:
  using Inputs = std::vector<proxy::Input>;

  static bool is_operator(const std::string& peer) { return peer.rfind("ops", 0) == 0; }
  static bool is_member(const std::string& peer) {
    return peer.rfind("box", 0) == 0 || peer.rfind("up", 0) == 0 || peer == "main";
  }
  [[nodiscard]] bool is_open(proxy::ConnectionId id) const { return connection_ids_.count(id) != 0; }
  void add(const std::string& peer, proxy::ConnectionId id) {
    open_connections_[peer].insert(id);
    connection_ids_.insert(id);
    last_used_[peer] = id;
    max_connection_count_ = std::max(max_connection_count_, connection_ids_.size());
    peers_[id] = peer;
  }
  void remove(proxy::ConnectionId id) {
    if (connection_ids_.erase(id) != 0) open_connections_[peers_[id]].erase(id);
  }

  void perform(const proxy::Write& write, Inputs& resulting_inputs) {
    const std::string& peer = peers_[write.connection];
    last_used_[peer] = write.connection;
    for (const std::string& id : requested_ids(write.bytes)) {
      request_connections_[{peer, id}] = write.connection;
    }
    received_[peer] += write.bytes;
    if (write_stalled_[peer]) {
      undrained_.insert(write.connection);
    } else {
      resulting_inputs.emplace_back(proxy::WriteDrained{write.connection});
    }
  }
  void perform(const proxy::Connect& connect, Inputs& resulting_inputs) {
    const std::string peer = connect.address.substr(0, connect.address.find(':'));
    if (behaviors_[peer] == PeerBehavior::refusing) {
      resulting_inputs.emplace_back(proxy::ConnectFailed{connect.connection});
      return;
    }
    add(peer, connect.connection);
    if (behaviors_[peer] == PeerBehavior::delayed_connect) {
      connecting_[peer].push_back(connect.connection);
    } else if (behaviors_[peer] != PeerBehavior::silent) {
      resulting_inputs.emplace_back(proxy::Connected{connect.connection});
    }
  }
  void perform(const proxy::ShutdownWrite& shutdown, Inputs& resulting_inputs) {
    shut_down_.insert(shutdown.connection);
    const std::string& peer = peers_[shutdown.connection];
    if (is_operator(peer) || behaviors_[peer] == PeerBehavior::keeps_open) return;
    // The peer reads the end of the stream and closes the connection.
    remove(shutdown.connection);
    resulting_inputs.emplace_back(proxy::ConnectionClosed{shutdown.connection});
  }
  void perform(const proxy::StopReading&, Inputs&) {}
  void perform(const proxy::Close& close, Inputs& resulting_inputs) {
    if (close.connection == proxy::kListener) close_listener(resulting_inputs);
    remove(close.connection);
  }
  /// The system has established connections that were not accepted yet: they come with the close.
  void close_listener(Inputs& resulting_inputs) {
    is_listening_ = false;
    for (const std::string& peer : std::exchange(connected_before_close_, {})) {
      const proxy::ConnectionId id = last_accepted_ += proxy::kConnectionIdStep;
      add(peer, id);
      resulting_inputs.emplace_back(proxy::Accepted{id, proxy::kListener});
    }
    resulting_inputs.emplace_back(proxy::ListenerClosed{});
  }
  void perform(const proxy::DrainAndClose& drain, Inputs& resulting_inputs) {
    const auto unread = unread_.find(drain.connection);
    if (unread != unread_.end()) {
      resulting_inputs.emplace_back(proxy::BytesArrived{drain.connection, unread->second});
    }
    remove(drain.connection);
    resulting_inputs.emplace_back(proxy::ConnectionClosed{drain.connection});
  }
  void perform(const proxy::ArmTimer& timer, Inputs&) { timer_due_ = std::max(timer.at, Time{1}); }
  void perform(const proxy::StopAccepting&, Inputs&) { has_stopped_accepting_ = true; }
  void perform(const proxy::StoreOverride& store, Inputs& resulting_inputs) {
    proxy::OverrideReply reply{store.call, store.change, proxy::OverrideOutcome::not_stored,
                               override_store_failure_};
    if (override_store_failure_.empty()) {
      reply.outcome = stored_overrides_.apply(store.change) == proxy::OverrideTable::ApplyResult::done
                          ? proxy::OverrideOutcome::stored
                          : proxy::OverrideOutcome::table_full;
    }
    resulting_inputs.emplace_back(proxy::OverridesStored{stored_overrides_, {reply}});
  }
  void perform(const proxy::MergeOverrides& merge, Inputs&) { stored_overrides_.merge(merge.overrides); }
  void perform(const proxy::MembershipEffect&, Inputs&) {}
  void perform(const proxy::PersistMembership&, Inputs&) {}
  void perform(const proxy::StopMembership&, Inputs&) {}
  void perform(const proxy::ConsensusEffect&, Inputs&) {}
  void perform(const proxy::LogLine& log, Inputs&) { log_ += log.line + "\n"; }

  Observer observer_;
  Time now_{std::chrono::hours(500000)};
  proxy::State state_;
  Time timer_due_{0};
  proxy::ConnectionId last_accepted_ = proxy::kBeforeFirstAccepted;
  bool is_listening_ = true;
  std::vector<std::string> connected_before_close_;
  std::map<std::string, std::set<proxy::ConnectionId>> open_connections_;  // by peer
  std::set<proxy::ConnectionId> connection_ids_;                           // open or being opened
  std::map<proxy::ConnectionId, std::string> peers_;
  std::map<std::string, proxy::ConnectionId> last_used_;
  // The connection on which a member last received a request, by member and request id.
  std::map<std::pair<std::string, std::string>, proxy::ConnectionId> request_connections_;
  std::map<std::string, std::string> received_;
  std::map<std::string, PeerBehavior> behaviors_;
  std::map<std::string, bool> write_stalled_;
  std::map<std::string, std::vector<proxy::ConnectionId>> connecting_;
  std::map<proxy::ConnectionId, std::string> unread_;
  std::set<proxy::ConnectionId> undrained_, shut_down_;
  std::string log_, override_store_failure_;
  proxy::OverrideTable stored_overrides_;
  bool has_stopped_accepting_ = false, delivers_unsplit_ = false;
  std::size_t max_connection_count_ = 0;
};

}  // namespace edge_proxy::test
