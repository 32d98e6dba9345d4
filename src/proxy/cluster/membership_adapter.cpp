// SPDX-License-Identifier: MIT
#include "proxy/cluster/membership_adapter.h"

#include <algorithm>

#include "membership/report.h"

namespace edge_proxy::proxy {

MembershipAdapter::MembershipAdapter(Context& context, const config::Config& config)
    : context_(context), seed_(config.seed) {
  if (config.membership) settings_ = config.membership->settings;
}

void MembershipAdapter::start(const membership::Identity& identity) {
  if (!settings_ || state_) return;
  // The disk id and the incarnation make the random sequence unique, so that proxies with the same configured
  // seed do not ping in lockstep.
  state_.emplace(*settings_, identity, seed_ ^ identity.disk_id ^ identity.incarnation, context_.now);
  context_.log("peers ready name=" + settings_->name + " address=" + settings_->address + " disk=" +
               std::to_string(identity.disk_id) + " incarnation=" + std::to_string(identity.incarnation) +
               " new_disk=" + (identity.is_new_disk ? "1" : "0") +
               " known=" + std::to_string(identity.known_members.size()));
  handle(membership::TimerExpired{});
}

void MembershipAdapter::handle(const membership::Input& input) {
  if (!state_) return;
  is_quota_outdated_ = true;
  const membership::PartitionStatus previous = state_->view().partition_status();
  for (membership::Effect& effect : state_->handle(context_.now, input)) {
    std::visit([this](auto& typed) { forward(typed); }, effect);
  }
  if (state_->view().partition_status() != previous) log_partition_status(previous);
  if (std::exchange(must_persist_, false)) {
    context_.effects.emplace_back(PersistMembership{state_->self(), state_->persistent_state()});
  }
}

void MembershipAdapter::log_partition_status(membership::PartitionStatus previous) {
  const membership::View& view = state_->view();
  context_.log("peers stands=" + std::string(name_of(view.partition_status())) +
               " before=" + std::string(name_of(previous)) + " reached=" + std::to_string(view.reachable()) +
               " registered=" + std::to_string(view.registered()));
}

void MembershipAdapter::run_timers() {
  if (state_ && state_->next_due() <= context_.now) handle(membership::TimerExpired{});
}

std::map<std::string, bool> MembershipAdapter::members() const {
  std::map<std::string, bool> registered;
  if (!state_) return registered;
  for (const auto& [name, member] : state_->view().members()) {
    if (!membership::is_registered(member.update.status)) continue;
    registered[name] = member.update.status == membership::MemberStatus::alive;
  }
  return registered;
}

std::optional<Time> MembershipAdapter::next_due() const {
  if (!state_ || state_->next_due() == Time::max()) return std::nullopt;
  return state_->next_due();
}

std::optional<QuotaChanged> MembershipAdapter::take_changed_quota(int cluster_size, int zone_size) {
  if (!settings_ || (!is_quota_outdated_ && context_.now < quota_share_.expires_at)) return std::nullopt;
  is_quota_outdated_ = false;
  const admission::QuotaLeases::QuotaShare previous = quota_share_;
  const admission::QuotaLeases::QuotaShare no_share{0, 0, false, Time::max()};
  quota_share_ = state_ ? state_->quota().share(context_.now) : no_share;
  const bool is_unchanged =
      quota_share_.of_cluster == previous.of_cluster && quota_share_.of_zone == previous.of_zone;
  if (is_unchanged && is_quota_announced_) return std::nullopt;
  is_quota_announced_ = true;
  if (state_) {
    context_.log("peers share held=" + std::string(quota_share_.has_lease ? "1" : "0") +
                 " of_all=" + std::to_string(quota_share_.of_cluster) +
                 " of_zone=" + std::to_string(quota_share_.of_zone));
  }
  return QuotaChanged{quota_share_.of_cluster * std::max(1, cluster_size),
                      quota_share_.of_zone * std::max(1, zone_size)};
}

void MembershipAdapter::stop() {
  if (!settings_) return;
  handle(membership::ShutdownRequested{});
  context_.effects.emplace_back(StopMembership{});
}

// ---- Admin calls ----

std::optional<std::string> MembershipAdapter::report() const {
  if (!state_) return std::nullopt;
  return membership::report(*state_, context_.now);
}

std::vector<Metric> MembershipAdapter::metrics() const {
  std::vector<Metric> metrics;
  if (!state_) return metrics;
  for (const membership::Metric& metric : membership::metrics(*state_, context_.now)) {
    metrics.push_back(
        {"peers." + metric.name, metric.value, metric.is_counter ? MetricKind::counter : MetricKind::gauge});
  }
  return metrics;
}

MembershipAdapter::ForgetResult MembershipAdapter::forget(const std::string& name) {
  using membership::MemberStatus;
  const membership::Member* member = state_ ? state_->view().find(name) : nullptr;
  if (member == nullptr) return ForgetResult::unknown;
  const MemberStatus status = member->update.status;
  if (status == MemberStatus::forgotten || status == MemberStatus::left) return ForgetResult::forgotten;
  if (status != MemberStatus::dead) return ForgetResult::reachable;
  handle(membership::ForgetMember{name});
  return ForgetResult::forgotten;
}

}  // namespace edge_proxy::proxy
