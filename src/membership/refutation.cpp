// SPDX-License-Identifier: MIT
#include "membership/refutation.h"

#include <algorithm>
#include <string>
#include <utility>

namespace edge_proxy::membership {
namespace {

using namespace std::chrono_literals;

/// For so long after its start, a member takes updates of its name for an earlier process's.
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

/// It was forgotten, maybe before it refuted something else: it joins anew in an epoch of its own, and nobody
/// is bound by what was agreed in the one before.
void Refutation::rejoin(const MemberUpdate& update) {
  context_.log("peers forgotten by=" + update.reported_by + ": joins again");
  quota_.on_forgotten();
  const std::uint64_t newest = std::max(update.incarnation, context_.self().incarnation);
  const std::uint64_t last_of_epoch = newest | (kEpochStep - 1);
  raise_incarnation(last_of_epoch, MemberStatus::alive);
}

void Refutation::on_same_incarnation(const MemberUpdate& update) {
  const MemberUpdate& self = context_.self();
  if (update.status == self.status) return;
  if (update.status == MemberStatus::alive) {
    // Guards against two processes with one disk: only a start raises the epoch, so an address that is not
    // this process's is another process's.
    if (update.address != self.address) raise_incarnation(update.incarnation, MemberStatus::disputed);
    return;
  }
  if (self.status == MemberStatus::disputed) return;
  ++context_.counters.refutations;
  health_.degrade(1);
  context_.log("peers refuted state=" + std::string(name_of(update.status)) + " by=" + update.reported_by);
  raise_incarnation(update.incarnation, MemberStatus::alive);
}

/// Soon after the start the update is left over from an earlier process; later on another process uses the
/// name now.
void Refutation::on_other_process(const MemberUpdate& update) {
  const MemberUpdate& self = context_.self();
  const bool is_disputed = self.status == MemberStatus::disputed;
  const bool in_grace_period = context_.now - context_.started_at < kRestartGracePeriod;
  if (in_grace_period && !is_disputed) {
    if (update.disk_id != self.disk_id) {
      context_.log("peers name taken over disk=" + std::to_string(update.disk_id));
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
    context_.log("peers disputed: another process uses the name " + context_.settings.name +
                 "; it takes no part until one of them is stopped and the other started again");
  }
  context_.effects.emplace_back(PersistState{});
}

}  // namespace edge_proxy::membership
