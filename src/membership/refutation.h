// SPDX-License-Identifier: MIT
/// @file
/// Handles membership updates that carry this member's own name: refutes suspicions with a higher
/// incarnation, rejoins in a new epoch after an operator has forgotten this member, and detects other
/// processes that use its name.
#pragma once

#include <functional>

#include "membership/context.h"
#include "membership/local_health.h"
#include "membership/messenger.h"
#include "membership/quota_adapter.h"

namespace edge_proxy::membership {

class Refutation {
 public:
  /// `on_disputed` is called when the name becomes disputed and this member stops participating.
  Refutation(Context& context, Messenger& messenger, LocalHealth& health, QuotaAdapter& quota,
             std::function<void()> on_disputed);

  /// `update` has this member's name and comes from another member, or from another process of this name.
  void on_update_of_self(const MemberUpdate& update);

 private:
  void rejoin(const MemberUpdate& update);
  void on_same_incarnation(const MemberUpdate& update);
  void on_other_process(const MemberUpdate& update);
  void raise_incarnation(std::uint64_t above, MemberStatus status);

  Context& context_;
  Messenger& messenger_;
  LocalHealth& health_;
  QuotaAdapter& quota_;
  std::function<void()> on_disputed_;
};

}  // namespace edge_proxy::membership
