// SPDX-License-Identifier: MIT
/// @file
/// One attempt of a request at an endpoint: its content, its result, and the time until which it may be sent.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>

#include "codec/cache_lines.h"
#include "codec/discovery_events.h"
#include "edge_proxy/router.h"

namespace edge_proxy::proxy {

/// Identifies one attempt of one request; ordered by request, then by attempt number.
struct AttemptKey {
  std::string request;
  int attempt = 0;
  auto operator<=>(const AttemptKey&) const = default;
};

/// The content of one attempt. Its strings are the bytes that the client sent.
struct UpstreamRequest {
  std::string request;
  int attempt = 0;
  std::string endpoint;         ///< to which the attempt is sent
  std::string source;           ///< from which the endpoint fetches; the endpoint itself: its own copy
  std::string idempotency_key;  ///< also in `fields`; empty: none
  codec::FieldList fields;      ///< all but those that depend on the time of writing
  std::string body;
  std::size_t request_class = 0;
  std::uint64_t object = 0;
  std::int64_t group = 0;
  Time decided_at{0};
  Time expires_at{0};                       ///< no client waits for the answer any longer
  Time send_before{0};                      ///< must not be written later; 0: the limit is expires_at
  Time max_copy_age{0};                     ///< decided by the router; 0: the fresh time of the class
  std::size_t reserved_response_bytes = 0;  ///< covered by the reservation for the client's reply
};

/// The result of an attempt. Each UpstreamRequest has exactly one completion.
struct AttemptCompletion {
  std::string request;
  int attempt = 0;
  std::string endpoint, source;
  std::string idempotency_key;  ///< empty: none
  std::size_t request_class = 0;
  Time decided_at{0};  ///< when the router decided on the attempt
  AttemptResult result = AttemptResult::not_sent;
  Time duration{0};               ///< since the router decided on the attempt
  codec::CacheResponse response;  ///< set if the result is `served`
};

/// Whether it is too late to write the request: no client waits for the answer, or `send_before` has passed.
[[nodiscard]] bool is_past_send_limit(const UpstreamRequest& request, Time now);

/// Lowers the time until which the request may be written.
void limit_sending(UpstreamRequest& request, Time send_before);

/// Whether the invalidation applies to the object of the request or to its group.
[[nodiscard]] bool is_invalidated_by(const UpstreamRequest& request, const codec::Invalidation& invalidation);

/// Lowers the maximum copy age, so that no copy from before the invalidation answers the request.
void limit_copy_age(UpstreamRequest& request, const codec::Invalidation& invalidation, Time now);

/// Returns the bytes to be written at `now`, including the fields that depend on that time.
[[nodiscard]] std::string encode(const UpstreamRequest& request, Time now);

}  // namespace edge_proxy::proxy
