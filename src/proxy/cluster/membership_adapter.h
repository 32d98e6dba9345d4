// SPDX-License-Identifier: MIT
/// @file
/// Embeds the reducer of the membership protocol (SWIM) into the reducer of the proxy: forwards its effects
/// and timers, and gives admin calls access to it. Without the section `peers` of the configuration it has no
/// state, and its functions have no effect.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "membership/reducer.h"
#include "proxy/admin/metric.h"
#include "proxy/context.h"

namespace edge_proxy::proxy {

/// Owns the state of the membership reducer.
class MembershipAdapter {
 public:
  MembershipAdapter(Context& context, const config::Config& config);

  /// Makes this proxy a member; to be called once the sockets are bound and the identity is stored.
  void start(const membership::Identity& identity);
  /// Inputs before start() are ignored.
  void handle(const membership::Input& input);
  void run_timers();
  /// Returns the time at which run_timers() must be called next; none if there is no timer.
  [[nodiscard]] std::optional<Time> next_due() const;
  /// Returns the quota share that this proxy may use from now on, relative to an even share, if it has
  /// changed. Must be called before any decision, since a quota lease may have expired. `cluster_size` and
  /// `zone_size`: the configured numbers of proxies in the cluster and in this location.
  [[nodiscard]] std::optional<QuotaChanged> take_changed_quota(int cluster_size, int zone_size);
  /// Leaves the cluster and closes the sockets.
  void stop();

  /// Sends a message of another part of the proxy to the named member.
  void send_user_message(const std::string& to, std::string bytes) {
    handle(membership::SendUserMessage{to, std::move(bytes)});
  }
  /// Returns the messages received from other members since the last call.
  [[nodiscard]] std::vector<membership::UserMessageReceived> take_user_messages() {
    return std::exchange(user_messages_, {});
  }
  /// Returns a number that changes whenever members() may have changed.
  [[nodiscard]] std::uint64_t revision() const { return state_ ? state_->view().revision() : 0; }
  /// Returns the registered members by name, with whether each is alive.
  [[nodiscard]] std::map<std::string, bool> members() const;

  // ---- Admin calls ----
  /// Returns JSON; none if the configuration has no peers, and before start().
  [[nodiscard]] std::optional<std::string> report() const;
  /// Returns the metrics `peers.*`; empty if there is no report.
  [[nodiscard]] std::vector<Metric> metrics() const;
  enum class ForgetResult {
    forgotten,  ///< the member has been removed now or earlier
    unknown,    ///< there is no such member
    reachable   ///< the call is rejected because the member is not dead
  };
  /// Removes a dead member from the registered members.
  [[nodiscard]] ForgetResult forget(const std::string& name);

 private:
  void forward(membership::SendDatagram& effect) { add_effect(std::move(effect)); }
  void forward(membership::SendFullSync& effect) { add_effect(std::move(effect)); }
  void forward(membership::FullSyncReply& effect) { add_effect(std::move(effect)); }
  void forward(membership::LogLine& effect) { context_.log(std::move(effect.line)); }
  void forward(membership::PersistState&) { must_persist_ = true; }
  void forward(membership::UserMessageReceived& effect) { user_messages_.push_back(std::move(effect)); }

  template <typename E>
  void add_effect(E effect) {
    context_.effects.emplace_back(MembershipEffect{std::move(effect)});
  }
  void log_partition_status(membership::PartitionStatus previous);

  Context& context_;
  std::optional<membership::Settings> settings_;
  std::uint64_t seed_;
  std::optional<membership::State> state_;
  std::vector<membership::UserMessageReceived> user_messages_;
  bool must_persist_ = false;
  bool is_quota_announced_ = false;  // whether take_changed_quota() has returned a share
  bool is_quota_outdated_ = true;    // whether the share may have changed
  admission::QuotaLeases::QuotaShare quota_share_;
};

}  // namespace edge_proxy::proxy
