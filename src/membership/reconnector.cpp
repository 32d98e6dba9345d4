// SPDX-License-Identifier: MIT
#include "membership/reconnector.h"

#include <set>
#include <utility>

namespace edge_proxy::membership {

void Reconnector::run_timers() {
  if (next_reconnect_ > context_.now) return;
  next_reconnect_ = context_.now + context_.settings.reconnect_interval;
  // The update visits every member, so it runs only after the view has changed.
  if (targets_revision_ != context_.view.revision()) update_targets();
  ping_unreachable_member();
  contact_seed();
}

void Reconnector::update_targets() {
  targets_revision_ = context_.view.revision();
  unreachable_members_.clear();
  std::set<std::string> seeds(context_.settings.seeds.begin(), context_.settings.seeds.end());
  for (const auto& [name, member] : context_.view.members()) {
    const MemberUpdate& update = member.update;
    if (!is_registered(update.status)) continue;
    if (name != context_.settings.name && !is_reachable(update.status)) unreachable_members_.push_back(name);
    seeds.erase(update.address);
    seeds.erase(messenger_.resolved_address(update.address));
  }
  unknown_seeds_.assign(seeds.begin(), seeds.end());
}

void Reconnector::ping_unreachable_member() {
  if (unreachable_members_.empty() || !context_.is_participating()) return;
  const std::string& name = unreachable_members_[context_.random() % unreachable_members_.size()];
  messenger_.send(name, messenger_.make_message(MessageKind::ping, name, messenger_.next_sequence()));
}

void Reconnector::contact_seed() {
  if (unknown_seeds_.empty()) return;
  const std::string& seed = unknown_seeds_[context_.random() % unknown_seeds_.size()];
  const bool knows_others = context_.view.reachable() > 1;
  // Members that found only each other would remain a separate cluster, so they continue to ping the seeds at
  // which no member is known.
  if (knows_others) {
    if (context_.is_participating()) {
      messenger_.send_plain(seed, messenger_.make_message(MessageKind::ping, "", messenger_.next_sequence()));
    }
    return;
  }
  Message request = messenger_.make_message(MessageKind::full_sync, "", messenger_.next_sequence());
  request.updates = context_.view.updates();
  messenger_.send_over_stream(seed, std::move(request));
}

}  // namespace edge_proxy::membership
