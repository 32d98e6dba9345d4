// SPDX-License-Identifier: MIT
#include "proxy/client/reply_backlog.h"

#include <algorithm>
#include <utility>

namespace edge_proxy::proxy {

void ReplyBacklog::reserve(std::size_t bytes) {
  reserved_bytes_ += bytes;
  update_memory();
}

void ReplyBacklog::release(std::size_t bytes) {
  reserved_bytes_ -= bytes;
  update_memory();
}

void ReplyBacklog::add(std::size_t bytes, ReplyTo call, Time now) {
  if (!std::exchange(is_writing_, true)) progressed_at_ = now;
  unread_bytes_ += bytes;
  if (call == ReplyTo::other_call) unreserved_bytes_ += bytes;
  update_memory();
}

void ReplyBacklog::on_progress(std::size_t bytes, Time now) {
  progressed_at_ = now;
  unread_bytes_ -= std::min(bytes, unread_bytes_);
  unreserved_bytes_ -= std::min(bytes, unreserved_bytes_);
  update_memory();
}

void ReplyBacklog::on_drained() {
  is_writing_ = false;
  unread_bytes_ = 0;
  unreserved_bytes_ = 0;
  update_memory();
}

}  // namespace edge_proxy::proxy
