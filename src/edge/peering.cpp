// SPDX-License-Identifier: MIT
#include "edge/peering.h"

#include "peers/report.h"

namespace dahliahall::edge {

Peering::Peering(Context& context, const config::Config& config) : context_(context), seed_(config.seed) {
  if (config.peers) settings_ = config.peers->settings;
}

void Peering::ready(const peers::Identity& identity) {
  if (!settings_ || state_) return;
  // Each start draws otherwise, and so does each disk: guards against proxies of one seed that probe in step.
  state_.emplace(*settings_, identity, seed_ ^ identity.disk_id ^ identity.incarnation, context_.now);
  context_.log("peers ready name=" + settings_->name + " address=" + settings_->address + " disk=" +
               std::to_string(identity.disk_id) + " incarnation=" + std::to_string(identity.incarnation) +
               " new_disk=" + (identity.is_new_disk ? "1" : "0") +
               " known=" + std::to_string(identity.known_members.size()));
  take(peers::TimerExpired{});
}

void Peering::take(const peers::Input& input) {
  if (!state_) return;
  asked_anew_ = true;
  const peers::PartitionStatus before = state_->view().partition_status();
  for (peers::Effect& effect : state_->handle(context_.now, input))
    std::visit([this](auto& e) { pass_on(e); }, effect);
  const peers::View& view = state_->view();
  if (view.partition_status() != before)
    context_.log("peers stands=" + std::string(name_of(view.partition_status())) +
                 " before=" + std::string(name_of(before)) + " reached=" + std::to_string(view.reachable()) +
                 " registered=" + std::to_string(view.registered()));
  if (std::exchange(keep_, false))
    context_.effects.emplace_back(PeersKeep{state_->self(), state_->persistent_state()});
}

void Peering::run_due() {
  if (state_ && state_->next_due() <= context_.now) take(peers::TimerExpired{});
}

std::map<std::string, bool> Peering::members() const {
  std::map<std::string, bool> all;
  if (!state_) return all;
  for (const auto& [name, member] : state_->view().members()) {
    if (peers::is_registered(member.update.status))
      all[name] = member.update.status == peers::MemberStatus::alive;
  }
  return all;
}

std::optional<Time> Peering::next_due() const {
  if (!state_ || state_->next_due() == Time::max()) return std::nullopt;
  return state_->next_due();
}

std::optional<QuotaChanged> Peering::changed_portion(int fleet, int here) {
  if (!settings_ || (!asked_anew_ && context_.now < part_.expires_at)) return std::nullopt;
  asked_anew_ = false;
  const limits::QuotaLeases::QuotaShare before = part_;
  part_ = state_ ? state_->quota().share(context_.now)
                 : limits::QuotaLeases::QuotaShare{0, 0, false, Time::max()};
  if (part_.of_cluster == before.of_cluster && part_.of_zone == before.of_zone && told_) return std::nullopt;
  told_ = true;
  if (state_)
    context_.log("peers share held=" + std::string(part_.has_lease ? "1" : "0") +
                 " of_all=" + std::to_string(part_.of_cluster) + " of_zone=" + std::to_string(part_.of_zone));
  return QuotaChanged{part_.of_cluster * std::max(1, fleet), part_.of_zone * std::max(1, here)};
}

void Peering::stop() {
  if (!settings_) return;
  take(peers::ShutdownRequested{});
  context_.effects.emplace_back(PeersStop{});
}

std::optional<std::string> Peering::report() const {
  if (!state_) return std::nullopt;
  return peers::report(*state_, context_.now);
}

std::string Peering::figures() const {
  std::string text;
  if (!state_) return text;
  for (const peers::Metric& figure : peers::metrics(*state_, context_.now))
    text += "svc.peers." + figure.name + ":" + std::to_string(figure.value) +
            (figure.is_counter ? "|c\n" : "|g\n");
  return text;
}

Peering::Forgot Peering::forget(const std::string& name) {
  const peers::Member* member = state_ ? state_->view().find(name) : nullptr;
  if (member == nullptr) return Forgot::unknown;
  if (member->update.status == peers::MemberStatus::forgotten ||
      member->update.status == peers::MemberStatus::left)
    return Forgot::done;
  if (member->update.status != peers::MemberStatus::dead) return Forgot::reached;
  take(peers::ForgetMember{name});
  return Forgot::done;
}

}  // namespace dahliahall::edge
