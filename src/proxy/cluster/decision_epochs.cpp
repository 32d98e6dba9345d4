// SPDX-License-Identifier: MIT
#include "proxy/cluster/decision_epochs.h"

#include <algorithm>

namespace edge_proxy::proxy {

void DecisionEpochs::change(std::optional<consensus::Epoch> epoch, Time lease_expires_at, Time now) {
  if (current_ && current_ != epoch) {
    previous_ = current_;
    previous_ended_at_ = lease_expires_at > Time{0} ? std::min(now, lease_expires_at) : now;
  }
  current_ = epoch;
}

bool DecisionEpochs::can_attempt(consensus::Epoch accepted_under, Time lease_expires_at, Time now) const {
  if (current_ == accepted_under) return now - lease_expires_at < kAttemptsAfterEpoch;
  if (previous_ == accepted_under) return now - previous_ended_at_ < kAttemptsAfterEpoch;
  return false;
}

}  // namespace edge_proxy::proxy
