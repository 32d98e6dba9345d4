// SPDX-License-Identifier: MIT
#include "routing/copy_age.h"

#include <algorithm>
#include <optional>

#include "routing/settings_queries.h"

namespace edge_proxy::routing {

void CopyAge::record_invalidation(Time now, const Invalidation& invalidation) {
  const Time invalidated_at = now - invalidation.age;
  const Time expired_until = now - retention();
  if (invalidation.object) {
    by_object_.record(*invalidation.object, invalidated_at);
  } else {
    by_group_.record(invalidation.group, invalidated_at);
  }
  by_object_.forget_until(expired_until);
  by_group_.forget_until(expired_until);
}

/// An invalidation stays in effect for twice the time after which the site guarantees that no older copy
/// exists, so that a copy that was in flight at the invalidation is not served either.
Time CopyAge::retention() const { return 2 * settings_.invalidation_settled_after; }

Time CopyAge::max_copy_age(Time now, const Request& request, GraceTime grace) const {
  // An empty optional is less than any time.
  const std::optional<Time> newest =
      std::max(by_object_.newest(request.object), by_group_.newest(request.group));
  const RequestClass& request_class = class_of(settings_, request);
  const bool has_age_limit = request_class.max_age.count() > 0;
  const bool adds_grace = grace == GraceTime::included && has_age_limit;
  const Time class_limit = request_class.max_age + (adds_grace ? request_class.grace : Time{0});
  if (!newest || now - *newest >= retention()) return class_limit;
  const Time since_invalidation = std::max(Time{1}, now - *newest);
  return class_limit.count() > 0 ? std::min(class_limit, since_invalidation) : since_invalidation;
}

}  // namespace edge_proxy::routing
