// SPDX-License-Identifier: MIT
#include "routing/copy_age.h"

#include <algorithm>
#include <optional>

#include "routing/settings_queries.h"

namespace edge_proxy::routing {

void CopyAge::record_invalidation(Time now, const Invalidation& invalidation) {
  const Time invalidated_at = now - invalidation.age;
  Time& newest = invalidation.object ? by_object_[*invalidation.object] : by_group_[invalidation.group];
  newest = std::max(newest, invalidated_at);
  const auto is_expired = [this, now](const auto& entry) { return !is_in_effect(now, entry.second); };
  std::erase_if(by_object_, is_expired);
  std::erase_if(by_group_, is_expired);
}

/// An invalidation stays in effect for twice the time after which the site guarantees that no older copy
/// exists, so that a copy that was in flight at the invalidation is not served either.
bool CopyAge::is_in_effect(Time now, Time invalidated_at) const {
  return now - invalidated_at < 2 * settings_.invalidation_settled_after;
}

Time CopyAge::max_copy_age(Time now, const Request& request, GraceTime grace) const {
  std::optional<Time> newest;
  if (const auto found = by_object_.find(request.object); found != by_object_.end()) newest = found->second;
  if (const auto found = by_group_.find(request.group); found != by_group_.end()) {
    newest = newest ? std::max(*newest, found->second) : found->second;
  }

  const RequestClass& request_class = class_of(settings_, request);
  const bool has_age_limit = request_class.max_age.count() > 0;
  const bool adds_grace = grace == GraceTime::included && has_age_limit;
  const Time class_limit = request_class.max_age + (adds_grace ? request_class.grace : Time{0});
  if (!newest || !is_in_effect(now, *newest)) return class_limit;
  const Time since_invalidation = std::max(Time{1}, now - *newest);
  return class_limit.count() > 0 ? std::min(class_limit, since_invalidation) : since_invalidation;
}

}  // namespace edge_proxy::routing
