// SPDX-License-Identifier: MIT
#include "simulator/action_writer.h"

#include <ostream>

namespace edge_proxy::simulator {
namespace {

// Flag bits of the field `opts`.
constexpr std::int64_t kJoinFillBit = 1;
constexpr std::int64_t kCachedOnlyBit = 2;
constexpr std::int64_t kParentUncachedBit = 4;
constexpr std::int64_t kStaleWhileRevalidateBit = 8;

std::int64_t options_of(const Attempt& attempt) {
  std::int64_t options = 0;
  if (attempt.join_fill) options |= kJoinFillBit;
  if (attempt.cached_only) options |= kCachedOnlyBit;
  if (attempt.parent_uncached) options |= kParentUncachedBit;
  if (attempt.stale_while_revalidate) options |= kStaleWhileRevalidateBit;
  return options;
}

}  // namespace

void ActionWriter::operator()(const Attempt& attempt) {
  begin("answer_from");
  text("handle", attempt.request);
  text("store", attempt.endpoint);
  text("from_where", attempt.source);
  number("opts", options_of(attempt));
  number("how_old", attempt.max_copy_age.count());
  number("tier_rank", static_cast<std::int64_t>(attempt.rank));
  number("try_for", attempt.timeout.count());
  end();
}

void ActionWriter::operator()(const Cancel& cancel) {
  begin("cancel");
  text("handle", cancel.request);
  number("n", cancel.attempt);
  end();
}

void ActionWriter::operator()(const Reject& reject) {
  begin("bounce");
  text("handle", reject.request);
  if (reject.retry_after.count() > 0) number("not_before_for", reject.retry_after.count());
  end();
}

void ActionWriter::operator()(const Fail& fail) {
  begin("finish_error");
  text("handle", fail.request);
  end();
}

void ActionWriter::operator()(const SetTimer& timer) {
  begin("wake_at");
  number("sleep_for", timer.after.count());
  number("label", timer.token);
  end();
}

void ActionWriter::operator()(const CheckHealth& check) {
  begin("probe");
  text("store", check.endpoint);
  end();
}

void ActionWriter::operator()(const FetchEndpointList&) {
  begin("read_list");
  end();
}

void ActionWriter::operator()(const SubscribeEndpointList&) {
  begin("observe");
  json_.Key("enable");
  json_.Bool(true);
  end();
}

void ActionWriter::operator()(const LogMessage& message) {
  begin("journal_line");
  text("reason_text", message.text);
  end();
}

void ActionWriter::operator()(const ServeFromLocalCache&) {}

void ActionWriter::begin(const char* kind) {
  buffer_.Clear();
  json_.Reset(buffer_);
  json_.StartObject();
  json_.Key("what");
  json_.String(kind);
  number("proxy_id", instance_);
}

void ActionWriter::text(const char* name, std::string_view value) {
  json_.Key(name);
  json_.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
}

void ActionWriter::number(const char* name, std::int64_t value) {
  json_.Key(name);
  json_.Int64(value);
}

void ActionWriter::end() {
  json_.EndObject();
  output_.write(buffer_.GetString(), static_cast<std::streamsize>(buffer_.GetSize()));
  output_.put('\n');
}

}  // namespace edge_proxy::simulator
