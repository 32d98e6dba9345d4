// SPDX-License-Identifier: MIT
#include "proxy/upstream/upstream_request.h"

#include <algorithm>
#include <chrono>

namespace edge_proxy::proxy {
namespace {

/// Returns the duration in milliseconds as the text of a field, at least 1, since 0 means that there is no
/// limit.
std::string positive_milliseconds(Time duration) {
  const std::int64_t milliseconds = std::chrono::floor<std::chrono::milliseconds>(duration).count();
  return std::to_string(std::max<std::int64_t>(1, milliseconds));
}

}  // namespace

bool is_past_send_limit(const UpstreamRequest& request, Time now) {
  return request.expires_at <= now || (request.send_before > Time{0} && request.send_before <= now);
}

void limit_sending(UpstreamRequest& request, Time send_before) {
  const bool is_limited = request.send_before > Time{0};
  request.send_before = is_limited ? std::min(request.send_before, send_before) : send_before;
}

bool is_invalidated_by(const UpstreamRequest& request, const codec::Invalidation& invalidation) {
  return invalidation.object ? *invalidation.object == request.object : invalidation.group == request.group;
}

void limit_copy_age(UpstreamRequest& request, const codec::Invalidation& invalidation, Time now) {
  const Time since = std::max(Time{1}, now - invalidation.issued_at);
  const bool is_limited = request.max_copy_age.count() != 0;
  request.max_copy_age = is_limited ? std::min(request.max_copy_age, since) : since;
}

std::string encode(const UpstreamRequest& request, Time now) {
  codec::FieldList fields = request.fields;
  fields.add("max", positive_milliseconds(request.expires_at - now));
  if (request.source != request.endpoint) fields.add("from", request.source);
  if (request.max_copy_age.count() > 0) fields.add("oldest", positive_milliseconds(request.max_copy_age));
  return codec::write_request(request.request, fields, request.body);
}

}  // namespace edge_proxy::proxy
