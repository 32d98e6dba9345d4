// SPDX-License-Identifier: MIT
#include "proxy/cluster/membership_adapter.h"

#include "membership/report.h"

namespace edge_proxy::proxy {

MembershipAdapter::MembershipAdapter(Context& context, const config::Config& config)
    : context_(context), seed_(config.seed) {
  if (config.membership) settings_ = config.membership->settings;
}

void MembershipAdapter::start(const membership::Identity& identity) {
  if (!settings_ || state_) return;
  // Each start draws otherwise, and so does each disk: guards against proxies of one seed that probe in step.
  state_.emplace(*settings_, identity, seed_ ^ identity.disk_id ^ identity.incarnation, context_.now);
  context_.log("peers ready name=" + settings_->name + " address=" + settings_->address + " disk=" +
               std::to_string(identity.disk_id) + " incarnation=" + std::to_string(identity.incarnation) +
               " new_disk=" + (identity.is_new_disk ? "1" : "0") +
               " known=" + std::to_string(identity.known_members.size()));
  handle(membership::TimerExpired{});
}

void MembershipAdapter::handle(const membership::Input& input) {
  if (!state_) return;
  share_outdated_ = true;
  const membership::PartitionStatus before = state_->view().partition_status();
  for (membership::Effect& effect : state_->handle(context_.now, input))
    std::visit([this](auto& e) { forward(e); }, effect);
  const membership::View& view = state_->view();
  if (view.partition_status() != before)
    context_.log("peers stands=" + std::string(name_of(view.partition_status())) +
                 " before=" + std::string(name_of(before)) + " reached=" + std::to_string(view.reachable()) +
                 " registered=" + std::to_string(view.registered()));
  if (std::exchange(persist_, false))
    context_.effects.emplace_back(PersistMembership{state_->self(), state_->persistent_state()});
}

void MembershipAdapter::run_timers() {
  if (state_ && state_->next_due() <= context_.now) handle(membership::TimerExpired{});
}

std::map<std::string, bool> MembershipAdapter::members() const {
  std::map<std::string, bool> all;
  if (!state_) return all;
  for (const auto& [name, member] : state_->view().members()) {
    if (membership::is_registered(member.update.status))
      all[name] = member.update.status == membership::MemberStatus::alive;
  }
  return all;
}

std::optional<Time> MembershipAdapter::next_due() const {
  if (!state_ || state_->next_due() == Time::max()) return std::nullopt;
  return state_->next_due();
}

std::optional<QuotaChanged> MembershipAdapter::take_changed_quota(int cluster_size, int zone_size) {
  if (!settings_ || (!share_outdated_ && context_.now < share_.expires_at)) return std::nullopt;
  share_outdated_ = false;
  const admission::QuotaLeases::QuotaShare before = share_;
  share_ = state_ ? state_->quota().share(context_.now)
                  : admission::QuotaLeases::QuotaShare{0, 0, false, Time::max()};
  if (share_.of_cluster == before.of_cluster && share_.of_zone == before.of_zone && persisted_once_)
    return std::nullopt;
  persisted_once_ = true;
  if (state_)
    context_.log("peers share held=" + std::string(share_.has_lease ? "1" : "0") + " of_all=" +
                 std::to_string(share_.of_cluster) + " of_zone=" + std::to_string(share_.of_zone));
  return QuotaChanged{share_.of_cluster * std::max(1, cluster_size), share_.of_zone * std::max(1, zone_size)};
}

void MembershipAdapter::stop() {
  if (!settings_) return;
  handle(membership::ShutdownRequested{});
  context_.effects.emplace_back(StopMembership{});
}

std::optional<std::string> MembershipAdapter::report() const {
  if (!state_) return std::nullopt;
  return membership::report(*state_, context_.now);
}

std::string MembershipAdapter::metrics() const {
  std::string text;
  if (!state_) return text;
  for (const membership::Metric& figure : membership::metrics(*state_, context_.now))
    text += "svc.peers." + figure.name + ":" + std::to_string(figure.value) +
            (figure.is_counter ? "|c\n" : "|g\n");
  return text;
}

MembershipAdapter::ForgetResult MembershipAdapter::forget(const std::string& name) {
  const membership::Member* member = state_ ? state_->view().find(name) : nullptr;
  if (member == nullptr) return ForgetResult::unknown;
  if (member->update.status == membership::MemberStatus::forgotten ||
      member->update.status == membership::MemberStatus::left)
    return ForgetResult::forgotten;
  if (member->update.status != membership::MemberStatus::dead) return ForgetResult::reachable;
  handle(membership::ForgetMember{name});
  return ForgetResult::forgotten;
}

}  // namespace edge_proxy::proxy
