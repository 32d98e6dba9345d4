// SPDX-License-Identifier: MIT
/// @file
/// Connects the reducer of the membership protocol (SWIM) to the proxy's: its effects and timers become the
/// proxy's, and admin calls reach it. Without the section `peers` of the configuration it holds nothing and
/// does nothing.
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

  /// The sockets are bound and the identity is stored: from now on this proxy is a member.
  void start(const membership::Identity& identity);
  /// Before start() it does nothing.
  void handle(const membership::Input& input);
  void run_timers();
  /// When run_timers() has something to do next; none where there is no timer.
  [[nodiscard]] std::optional<Time> next_due() const;
  /// The part of its even share of the quota that this proxy may use from now on, where that has changed: to
  /// be called before anything is decided, since a lease may have expired meanwhile. `cluster_size` and
  /// `zone_size`: proxies of the cluster and of this location, by the settings.
  [[nodiscard]] std::optional<QuotaChanged> take_changed_quota(int cluster_size, int zone_size);
  /// Leaves the cluster and closes the sockets.
  void stop();

  /// Sends bytes of another part of the proxy to the member of this name.
  void send_user_message(const std::string& to, std::string bytes) {
    handle(membership::SendUserMessage{to, std::move(bytes)});
  }
  /// The messages that other members have sent since the last call.
  [[nodiscard]] std::vector<membership::UserMessageReceived> take_user_messages() {
    return std::exchange(user_messages_, {});
  }
  /// Differs from an earlier value where members() may have changed.
  [[nodiscard]] std::uint64_t revision() const { return state_ ? state_->view().revision() : 0; }
  /// The registered members by name, and whether each is alive.
  [[nodiscard]] std::map<std::string, bool> members() const;

  // ---- Admin calls ----
  /// JSON; none where the configuration has no peers, or before start().
  [[nodiscard]] std::optional<std::string> report() const;
  /// The figures `peers.*`; empty where there is no report.
  [[nodiscard]] std::vector<Metric> metrics() const;
  enum class ForgetResult {
    forgotten,  ///< now or before
    unknown,    ///< there is no such member
    reachable   ///< refused: it is not dead
  };
  /// Removes a dead member from the registered ones.
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
  bool is_quota_announced_ = false;  // take_changed_quota() has returned one
  bool is_quota_outdated_ = true;    // the share may have changed
  admission::QuotaLeases::QuotaShare quota_share_;
};

}  // namespace edge_proxy::proxy
