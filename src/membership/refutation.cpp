// SPDX-License-Identifier: MIT
#include "membership/refutation.h"

#include <algorithm>
#include <string>
#include <utility>

namespace edge_proxy::membership {
namespace {

using namespace std::chrono_literals;

/// For this long after its start, a member attributes updates of its name to an earlier process.
constexpr Time kRestartGracePeriod = 5s;

}  // namespace

Refutation::Refutation(Context& context, Messenger& messenger, LocalHealth& health, QuotaAdapter& quota,
                       std::function<void()> on_disputed)
    : context_(context),
      messenger_(messenger),
      health_(health),
      quota_(quota),
      on_disputed_(std::move(on_disputed)) {}

void Refutation::on_update_of_self(const MemberUpdate& update) {
  const MemberUpdate& self = context_.self();
  if (context_.has_left || precedence_of(update) < precedence_of(self)) return;
  const bool is_same_disk = update.disk_id == self.disk_id;
  if (is_same_disk && !is_registered(update.status)) {
    rejoin(update);
  } else if (is_same_disk && update.incarnation == self.incarnation) {
    on_same_incarnation(update);
  } else if (update != self) {
    on_other_process(update);
  }
}

/// This member was forgotten, possibly before it refuted another update. It rejoins in a new epoch, so that
/// nothing agreed in the previous epoch is binding.
void Refutation::rejoin(const MemberUpdate& update) {
  context_.log("peers forgotten by=" + update.reported_by + ": rejoining in a new epoch");
  quota_.on_forgotten();
  const std::uint64_t newest = std::max(update.incarnation, context_.self().incarnation);
  const std::uint64_t last_of_epoch = newest | (kEpochStep - 1);
  raise_incarnation(last_of_epoch, MemberStatus::alive);
}

void Refutation::on_same_incarnation(const MemberUpdate& update) {
  const MemberUpdate& self = context_.self();
  if (update.status == self.status) return;
  if (update.status == MemberStatus::alive) {
    // Only a start raises the epoch, so a different address within the epoch means that two processes use the
    // same disk id.
    if (update.address != self.address) raise_incarnation(update.incarnation, MemberStatus::disputed);
    return;
  }
  if (self.status == MemberStatus::disputed) return;
  ++context_.counters.refutations;
  health_.degrade(1);
  context_.log("peers refuted state=" + std::string(name_of(update.status)) + " by=" + update.reported_by);
  raise_incarnation(update.incarnation, MemberStatus::alive);
}

/// Shortly after the start, the update is left over from an earlier process. Later, another process is using
/// the name.
void Refutation::on_other_process(const MemberUpdate& update) {
  const MemberUpdate& self = context_.self();
  const bool is_disputed = self.status == MemberStatus::disputed;
  const bool in_grace_period = context_.now - context_.started_at < kRestartGracePeriod;
  if (in_grace_period && !is_disputed) {
    if (update.disk_id != self.disk_id) {
      context_.log("peers replaced an earlier member of the same name disk=" +
                   std::to_string(update.disk_id));
    }
    raise_incarnation(update.incarnation + kEpochStep, MemberStatus::alive);
  } else if (!is_disputed || update.status != MemberStatus::disputed) {
    raise_incarnation(update.incarnation, MemberStatus::disputed);
  }
}

/// Announces this member with that status and an incarnation greater than `above`.
void Refutation::raise_incarnation(std::uint64_t above, MemberStatus status) {
  MemberUpdate update = context_.self();
  const bool becomes_disputed = status == MemberStatus::disputed && update.status != MemberStatus::disputed;
  update.incarnation = above + 1;
  update.status = status;
  update.reported_by = status == MemberStatus::disputed ? context_.settings.name : "";
  context_.view.merge(update, context_.now);
  messenger_.broadcasts().enqueue(update);
  quota_.mark_outdated();
  if (becomes_disputed) {
    on_disputed_();
    context_.log(
        "peers disputed: another process uses the name " + context_.settings.name +
        "; this process does not participate until one of them is stopped and the other is restarted");
  }
  context_.effects.emplace_back(PersistState{});
}

}  // namespace edge_proxy::membership
