// SPDX-License-Identifier: MIT
#include "proxy/attempt_fields.h"

#include <string>

namespace edge_proxy::proxy {
namespace {

/// Returns the value of the field `mode`, its words joined by `+`; empty if no option is set.
std::string mode_of(const Attempt& attempt) {
  std::string mode;
  if (attempt.join_fill) mode += "collapse+";
  if (attempt.cached_only) mode += "only-if-cached+";
  if (attempt.parent_uncached) mode += "no-store-up+";
  if (attempt.stale_while_revalidate) mode += "refresh+";
  if (!mode.empty()) mode.pop_back();
  return mode;
}

}  // namespace

void add_attempt_fields(codec::FieldList& fields, const PendingRequest& pending, const Attempt& attempt) {
  fields.add("profile", pending.verb);
  fields.add("thing", pending.item);
  if (!pending.piece.empty()) fields.add("nth", pending.piece);
  if (!pending.key.empty()) fields.add("replay", pending.key);
  if (!pending.client_entity_tag.empty()) fields.add("seen", pending.client_entity_tag);
  if (attempt.rank != Rank::uncached) fields.add("rank", std::to_string(static_cast<int>(attempt.rank)));
  const std::string mode = mode_of(attempt);
  if (!mode.empty()) fields.add("mode", mode);
}

}  // namespace edge_proxy::proxy
