// SPDX-License-Identifier: MIT
/// @file
/// The peers' reducer inside the edge's: its effects among the edge's, its timers among the edge's, what
/// operators ask of it. Without the section `peers` it holds nothing and does nothing.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "membership/reducer.h"
#include "proxy/context.h"

namespace edge_proxy::proxy {

class MembershipAdapter {
 public:
  MembershipAdapter(Context& context, const config::Config& config);

  void start(const membership::Identity& identity);
  void handle(const membership::Input& input);
  void run_timers();
  [[nodiscard]] std::optional<Time> next_due() const;
  /// The part of its even share that this proxy may use from now on, where that has changed: to be asked for
  /// before anything is decided, since a lease may have run out meanwhile. `here`: proxies of this location,
  /// by the settings.
  std::optional<QuotaChanged> take_changed_quota(int cluster_size, int zone_size);
  void stop();
  /// Bytes of another part, for that member.
  void send_user_message(const std::string& to, std::string bytes) {
    handle(membership::SendUserMessage{to, std::move(bytes)});
  }
  /// What members had carried here since.
  std::vector<membership::UserMessageReceived> take_user_messages() {
    return std::exchange(user_messages_, {});
  }
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
  void forward(membership::SendDatagram& e) { context_.effects.emplace_back(MembershipEffect{std::move(e)}); }
  void forward(membership::SendFullSync& e) { context_.effects.emplace_back(MembershipEffect{std::move(e)}); }
  void forward(membership::FullSyncReply& e) {
    context_.effects.emplace_back(MembershipEffect{std::move(e)});
  }
  void forward(membership::LogLine& e) { context_.log(std::move(e.line)); }
  void forward(membership::PersistState&) { persist_ = true; }
  void forward(membership::UserMessageReceived& e) { user_messages_.push_back(std::move(e)); }

  Context& context_;
  std::optional<membership::Settings> settings_;
  std::uint64_t seed_;
  std::optional<membership::State> state_;
  std::vector<membership::UserMessageReceived> user_messages_;
  bool persist_ = false;
  bool persisted_once_ = false;
  bool share_outdated_ = true;  // the shares may have changed
  admission::QuotaLeases::QuotaShare share_;
};

}  // namespace edge_proxy::proxy
