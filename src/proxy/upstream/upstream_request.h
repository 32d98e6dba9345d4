// SPDX-License-Identifier: MIT
/// @file
/// One attempt of a request at an endpoint: what it asks for, how it ended, and until when it may be sent.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>

#include "codec/cache_lines.h"
#include "codec/discovery_events.h"
#include "edge_proxy/router.h"

namespace edge_proxy::proxy {

/// Names one attempt of one request. Orders by request, then by attempt number.
struct AttemptKey {
  std::string request;
  int attempt = 0;
  auto operator<=>(const AttemptKey&) const = default;
};

/// What one attempt asks for. The texts are the bytes that the client sent.
struct UpstreamRequest {
  std::string request;
  int attempt = 0;
  std::string endpoint;     ///< that the attempt is sent to
  std::string source;       ///< where that endpoint fetches from; the endpoint itself: its own copy
  codec::FieldList fields;  ///< all but the ones that depend on the moment of writing
  std::string body;
  std::size_t request_class = 0;
  std::uint64_t object = 0;
  std::int64_t group = 0;
  Time decided_at{0};
  Time expires_at{0};    ///< nobody waits for the answer any longer
  Time send_before{0};   ///< it may not be written later; 0: until expires_at
  Time max_copy_age{0};  ///< as decided; 0: the class's fresh time
};

/// How an attempt ended. Each UpstreamRequest that was handed in gives exactly one.
struct AttemptCompletion {
  std::string request;
  int attempt = 0;
  std::string endpoint, source;
  AttemptResult result = AttemptResult::not_sent;
  Time duration{0};               ///< since the attempt was decided
  codec::CacheResponse response;  ///< of a served one
};

/// Whether it is too late to write the request: nobody waits for an answer, or the moment until which it may
/// be sent has passed.
[[nodiscard]] bool is_past_send_limit(const UpstreamRequest& request, Time now);

/// Whether the invalidation names the object of the request, or its group.
[[nodiscard]] bool is_invalidated_by(const UpstreamRequest& request, const codec::Invalidation& invalidation);

/// Lowers the age of a copy that may answer the request, so that none from before the invalidation does.
void limit_copy_age(UpstreamRequest& request, const codec::Invalidation& invalidation, Time now);

/// The bytes to be written at `now`, with the fields that depend on that moment.
[[nodiscard]] std::string encode(const UpstreamRequest& request, Time now);

}  // namespace edge_proxy::proxy
