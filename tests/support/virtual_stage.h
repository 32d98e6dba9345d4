// SPDX-License-Identifier: MIT
/// @file
/// The reducer in virtual time, with every peer played by a scenario.
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

class VirtualStage : public Stage {
 public:
  /// Sees each input that the reducer is given, with the effects that came of it.
  using Observer =
      std::function<void(Time now, const proxy::Input& input, const std::vector<proxy::Effect>& effects)>;

  explicit VirtualStage(const std::vector<std::string>& members = {"box-1", "up-1", "main"},
                        int memory_mb = 192, std::string (*edit)(std::string) = nullptr,
                        Observer observer = {})
      : observer_(std::move(observer)),
        state_(config::parse(edit == nullptr ? config_text(members, {}, memory_mb)
                                             : edit(config_text(members, {}, memory_mb)),
                             {}),
               now_) {
    feed(proxy::LoopTimerExpired{});
  }

  void send(const std::string& peer, const std::string& bytes) override {
    if (links_[peer].empty() && peer.rfind("bulletin", 0) != 0 && !is_listed(peer)) {
      const proxy::ConnectionId id = last_accepted_ += proxy::kConnectionIdStep;
      add(peer, id);
      feed(proxy::Accepted{id, is_operator(peer) ? proxy::kAdminListener : proxy::kListener});
    }
    if (links_[peer].empty()) return;
    const auto asked = asked_on_.find({peer, bytes.substr(0, 16)});
    const bool answer = asked != asked_on_.end() && owner_.count(asked->second) != 0;
    const proxy::ConnectionId id = answer ? asked->second : last_used_.at(peer);
    // Split in two, so that no scenario rests on whole messages arriving at once.
    const std::string_view all = bytes;
    if (whole_) {
      feed(proxy::BytesArrived{id, all});
      return;
    }
    feed(proxy::BytesArrived{id, all.substr(0, all.size() / 2)});
    if (owner_.count(id) != 0) feed(proxy::BytesArrived{id, all.substr(all.size() / 2)});
  }
  std::string received(const std::string& peer) override { return std::exchange(received_[peer], {}); }
  void close(const std::string& peer, Ends how) override {
    manner_[peer] = how;
    if (how == Ends::deaf || how == Ends::not_at_all) stall(peer, how == Ends::deaf);
    if (how == Ends::not_at_all || how == Ends::deaf) {
      for (const proxy::ConnectionId id : std::exchange(coming_up_[peer], {})) {
        if (owner_.count(id) != 0) feed(proxy::Connected{id});
      }
    }
    if (how != Ends::closed && how != Ends::reset && how != Ends::half && how != Ends::refusing) return;
    for (const proxy::ConnectionId id : std::set(links_[peer])) {
      remove(id);
      feed(proxy::ConnectionClosed{id, how != Ends::closed && how != Ends::half});
    }
  }
  bool closed(const std::string& peer) override {
    const auto& open = links_[peer];
    return std::all_of(open.begin(), open.end(), [this](const auto id) { return finished_.count(id) != 0; });
  }
  void wait(std::chrono::milliseconds span) override {
    const Time end = now_ + span;
    while (due_ <= end && due_ > Time{0}) {
      now_ = std::max(now_, std::exchange(due_, Time{0}));
      feed(proxy::LoopTimerExpired{});
    }
    now_ = end;
  }
  void terminate() override { feed(proxy::ShutdownRequested{}); }
  void reload(const std::string& bulletin) override {
    const std::string address = bulletin == "nowhere" ? bulletin : bulletin + ":1";
    try {
      feed(proxy::Reloaded{config::parse(config_text({}, {{"bulletin", address}}), {})});
    } catch (const FieldError& problem) {
      feed(proxy::ReloadFailed{problem.what()});
    }
  }
  bool stopped() override { return !listening_ && owner_.empty(); }
  std::string log() override { return log_; }
  std::chrono::milliseconds patience() const override { return std::chrono::milliseconds(0); }

  /// Holds back the news that written bytes have gone, as a peer that does not read does.
  void stall(const std::string& peer, bool stalled) {
    stalled_[peer] = stalled;
    if (stalled) return;
    for (const proxy::ConnectionId id : std::set(undrained_)) {
      undrained_.erase(id);
      feed(proxy::WriteDrained{id});
    }
  }
  /// What the edge proxy keeps for the next process, and what another process kept.
  [[nodiscard]] const std::string& kept() const { return kept_; }
  void read_kept(const std::string& text) { feed(proxy::OverridesLoaded{text}); }
  /// Whether it has asked for new connections to go to the next process.
  [[nodiscard]] bool yields() const { return yields_; }
  /// Time passes, but the reducer hears of nothing: the program stands still.
  void stand_still(std::chrono::milliseconds span) { now_ += span; }
  [[nodiscard]] Time now() const { return now_; }
  /// Whether the connection on which the member was last asked for this is still open.
  [[nodiscard]] bool asked_there(const std::string& peer, const std::string& id) const {
    const auto asked = asked_on_.find({peer, id});
    return asked != asked_on_.end() && owner_.count(asked->second) != 0;
  }
  /// This has come on the connection on which the member was asked, and is not read yet.
  void arrive_unread(const std::string& peer, const std::string& bytes) {
    unread_[asked_on_.at({peer, bytes.substr(0, 16)})] = bytes;
  }
  /// From now on what is sent arrives at once.
  void arrive_whole() { whole_ = true; }
  /// The system has no descriptor for a connection.
  void run_out_of_descriptors() { feed(proxy::DescriptorsExhausted{}); }
  /// Connections open or coming up: now, and at most so far.
  [[nodiscard]] std::size_t connections() const { return owner_.size(); }
  [[nodiscard]] std::size_t most_connections() const { return most_connections_; }

  /// Hands the reducer an input, and does what comes of it.
  void feed(const proxy::Input& input) {
    const std::vector<proxy::Effect> effects = proxy::reduce(state_, now_, input);
    if (observer_) observer_(now_, input, effects);
    std::vector<proxy::Input> next;
    for (const proxy::Effect& effect : effects) {
      std::visit([&](const auto& e) { perform(e, next); }, effect);
    }
    for (const proxy::Input& more : next) feed(more);
  }

 private:
  static bool is_operator(const std::string& peer) { return peer.rfind("ops", 0) == 0; }
  static bool is_listed(const std::string& peer) {
    return peer.rfind("box", 0) == 0 || peer.rfind("up", 0) == 0 || peer == "main";
  }
  void add(const std::string& peer, proxy::ConnectionId id) {
    links_[peer].insert(id);
    owner_[id] = last_used_[peer] = id;
    most_connections_ = std::max(most_connections_, owner_.size());
    peers_[id] = peer;
  }
  void remove(proxy::ConnectionId id) {
    if (owner_.erase(id) != 0) links_[peers_[id]].erase(id);
  }

  void perform(const proxy::Write& e, std::vector<proxy::Input>& next) {
    const std::string& peer = peers_[e.connection];
    last_used_[peer] = e.connection;
    for (const std::string& id : ids_asked(e.bytes)) asked_on_[{peer, id}] = e.connection;
    received_[peer] += e.bytes;
    if (stalled_[peer]) {
      undrained_.insert(e.connection);
    } else {
      next.emplace_back(proxy::WriteDrained{e.connection});
    }
  }
  void perform(const proxy::Connect& e, std::vector<proxy::Input>& next) {
    const std::string peer = e.address.substr(0, e.address.find(':'));
    if (manner_[peer] == Ends::refusing) {
      next.emplace_back(proxy::ConnectFailed{e.connection});
      return;
    }
    add(peer, e.connection);
    if (manner_[peer] == Ends::late) {
      coming_up_[peer].push_back(e.connection);
    } else if (manner_[peer] != Ends::silent)
      next.emplace_back(proxy::Connected{e.connection});
  }
  void perform(const proxy::ShutdownWrite& e, std::vector<proxy::Input>& next) {
    finished_.insert(e.connection);
    const std::string& peer = peers_[e.connection];
    if (is_operator(peer) || manner_[peer] == Ends::stays) return;
    remove(e.connection);  // it has read to the end, and closes
    next.emplace_back(proxy::ConnectionClosed{e.connection});
  }
  void perform(const proxy::Close& e, std::vector<proxy::Input>&) {
    if (e.connection == proxy::kListener) listening_ = false;
    remove(e.connection);
  }
  void perform(const proxy::DrainAndClose& e, std::vector<proxy::Input>& next) {
    const auto unread = unread_.find(e.connection);
    if (unread != unread_.end()) next.emplace_back(proxy::BytesArrived{e.connection, unread->second});
    remove(e.connection);
    next.emplace_back(proxy::ConnectionClosed{e.connection});
  }
  void perform(const proxy::ArmTimer& e, std::vector<proxy::Input>&) { due_ = std::max(e.at, Time{1}); }
  void perform(const proxy::StopAccepting&, std::vector<proxy::Input>&) { yields_ = true; }
  void perform(const proxy::PersistOverrides& e, std::vector<proxy::Input>&) { kept_ = e.overrides; }
  void perform(const proxy::MembershipEffect&, std::vector<proxy::Input>&) {}
  void perform(const proxy::PersistMembership&, std::vector<proxy::Input>&) {}
  void perform(const proxy::StopMembership&, std::vector<proxy::Input>&) {}
  void perform(const proxy::ConsensusEffect&, std::vector<proxy::Input>&) {}
  void perform(const proxy::LogLine& e, std::vector<proxy::Input>&) { log_ += e.line + "\n"; }

  Observer observer_;
  Time now_{std::chrono::hours(500000)};
  proxy::State state_;
  Time due_{0};
  proxy::ConnectionId last_accepted_ = proxy::kBeforeFirstAccepted;
  bool listening_ = true;
  std::map<std::string, std::set<proxy::ConnectionId>> links_;
  std::map<proxy::ConnectionId, proxy::ConnectionId> owner_;
  std::map<proxy::ConnectionId, std::string> peers_;
  std::map<std::string, proxy::ConnectionId> last_used_;
  std::map<std::pair<std::string, std::string>, proxy::ConnectionId> asked_on_;  // by member and request
  std::map<std::string, std::string> received_;
  std::map<std::string, Ends> manner_;
  std::map<std::string, bool> stalled_;
  std::map<std::string, std::vector<proxy::ConnectionId>> coming_up_;
  std::map<proxy::ConnectionId, std::string> unread_;
  std::set<proxy::ConnectionId> undrained_, finished_;
  std::string log_, kept_;
  bool yields_ = false, whole_ = false;
  std::size_t most_connections_ = 0;
};

}  // namespace edge_proxy::test
