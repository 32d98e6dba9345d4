// SPDX-License-Identifier: MIT
/// @file
/// The peers' reducer inside the edge's: its effects among the edge's, its timers among the edge's, what
/// operators ask of it. Without the section `peers` it holds nothing and does nothing.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "edge/context.h"
#include "peers/reducer.h"

namespace dahliahall::edge {

class MembershipAdapter {
 public:
  MembershipAdapter(Context& context, const config::Config& config);

  void start(const peers::Identity& identity);
  void handle(const peers::Input& input);
  void run_timers();
  [[nodiscard]] std::optional<Time> next_due() const;
  /// The part of its even share that this proxy may use from now on, where that has changed: to be asked for
  /// before anything is decided, since a lease may have run out meanwhile. `here`: proxies of this location,
  /// by the settings.
  std::optional<QuotaChanged> take_changed_quota(int cluster_size, int zone_size);
  void stop();
  /// Bytes of another part, for that member.
  void send_user_message(const std::string& to, std::string bytes) {
    handle(peers::SendUserMessage{to, std::move(bytes)});
  }
  /// What members had carried here since.
  std::vector<peers::UserMessageReceived> take_user_messages() { return std::exchange(user_messages_, {}); }
  /// Another one where members() may have changed.
  [[nodiscard]] std::uint64_t revision() const { return state_ ? state_->view().revision() : 0; }
  /// The registered members, and whether each is reached.
  [[nodiscard]] std::map<std::string, bool> members() const;

  /// JSON for operators; none where there are no peers, or not yet.
  [[nodiscard]] std::optional<std::string> report() const;
  /// As the edge's own figures are written; empty where there are no peers.
  [[nodiscard]] std::string metrics() const;
  enum class ForgetResult { forgotten, unknown, reachable };
  ForgetResult forget(const std::string& name);

 private:
  void forward(peers::SendDatagram& e) { context_.effects.emplace_back(MembershipEffect{std::move(e)}); }
  void forward(peers::SendFullSync& e) { context_.effects.emplace_back(MembershipEffect{std::move(e)}); }
  void forward(peers::FullSyncReply& e) { context_.effects.emplace_back(MembershipEffect{std::move(e)}); }
  void forward(peers::LogLine& e) { context_.log(std::move(e.line)); }
  void forward(peers::PersistState&) { persist_ = true; }
  void forward(peers::UserMessageReceived& e) { user_messages_.push_back(std::move(e)); }

  Context& context_;
  std::optional<peers::Settings> settings_;
  std::uint64_t seed_;
  std::optional<peers::State> state_;
  std::vector<peers::UserMessageReceived> user_messages_;
  bool persist_ = false;
  bool persisted_once_ = false;
  bool share_outdated_ = true;  // the shares may have changed
  limits::QuotaLeases::QuotaShare share_;
};

}  // namespace dahliahall::edge
