// SPDX-License-Identifier: MIT
#include "golden/membership_trace.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <variant>

#include "golden/trace_line.h"

namespace golden {
namespace {

using namespace edge_proxy;

std::string label_of(membership::MessageKind kind) {
  switch (kind) {
    case membership::MessageKind::ping:
      return "ping";
    case membership::MessageKind::ack:
      return "ack";
    case membership::MessageKind::nack:
      return "nack";
    case membership::MessageKind::ping_req:
      return "ping_req";
    case membership::MessageKind::gossip:
      return "gossip";
    case membership::MessageKind::full_sync:
      return "full_sync";
    case membership::MessageKind::full_sync_reply:
      return "full_sync_reply";
    case membership::MessageKind::user_message:
      return "user_message";
  }
  return "?";
}

std::string label_of(membership::DecodeError reason) {
  switch (reason) {
    case membership::DecodeError::malformed:
      return "malformed";
    case membership::DecodeError::oversized:
      return "oversized";
    case membership::DecodeError::checksum_mismatch:
      return "corrupt";
    case membership::DecodeError::wrong_cluster:
      return "other_cluster";
    case membership::DecodeError::wrong_version:
      return "other_version";
    case membership::DecodeError::invalid_field:
      return "bad_field";
  }
  return "?";
}

std::string sorted_list_of(const std::vector<membership::MemberUpdate>& updates) {
  std::vector<std::string> texts;
  for (const membership::MemberUpdate& update : updates) texts.push_back(text_of(update));
  std::sort(texts.begin(), texts.end());
  return list_of(texts, [](const std::string& text) { return text; });
}

struct DescribeInput {
  std::string operator()(const membership::MessageReceived& input) const {
    return TraceLine("MessageReceived")
        .field("stream", input.stream)
        .verbatim("message", text_of(input.message))
        .text();
  }
  std::string operator()(const membership::MessageRejected& input) const {
    return TraceLine("MessageRejected")
        .verbatim("reason", label_of(input.reason))
        .field("address", input.address)
        .text();
  }
  std::string operator()(const membership::TimerExpired&) const { return "TimerExpired"; }
  std::string operator()(const membership::ShutdownRequested&) const { return "ShutdownRequested"; }
  std::string operator()(const membership::ForgetMember& input) const {
    return TraceLine("ForgetMember").field("name", input.name).text();
  }
  std::string operator()(const membership::SendUserMessage& input) const {
    return TraceLine("SendUserMessage").field("to", input.to).field("payload", input.payload).text();
  }
};

/// Returns no text for a log line.
struct DescribeEffect {
  std::optional<std::string> operator()(const membership::SendDatagram& effect) const {
    return TraceLine("SendDatagram")
        .field("address", effect.address)
        .verbatim("message", text_of(effect.message))
        .text();
  }
  std::optional<std::string> operator()(const membership::SendFullSync& effect) const {
    return TraceLine("SendOverStream")
        .field("address", effect.address)
        .verbatim("message", text_of(effect.message))
        .text();
  }
  std::optional<std::string> operator()(const membership::FullSyncReply& effect) const {
    return TraceLine("ReplyOverStream")
        .field("stream", effect.stream)
        .verbatim("message", text_of(effect.message))
        .text();
  }
  std::optional<std::string> operator()(const membership::LogLine&) const { return std::nullopt; }
  std::optional<std::string> operator()(const membership::PersistState&) const { return "PersistMembers"; }
  std::optional<std::string> operator()(const membership::UserMessageReceived& effect) const {
    return TraceLine("DeliverUserMessage").field("from", effect.from).field("payload", effect.payload).text();
  }
};

}  // namespace

std::string label_of(membership::MemberStatus status) {
  switch (status) {
    case membership::MemberStatus::alive:
      return "alive";
    case membership::MemberStatus::suspect:
      return "suspect";
    case membership::MemberStatus::dead:
      return "dead";
    case membership::MemberStatus::left:
      return "left";
    case membership::MemberStatus::forgotten:
      return "forgotten";
    case membership::MemberStatus::disputed:
      return "disputed";
  }
  return "?";
}

std::string label_of(membership::Reachability reachability) {
  switch (reachability) {
    case membership::Reachability::unknown:
      return "unknown";
    case membership::Reachability::direct:
      return "direct";
    case membership::Reachability::indirect:
      return "indirect";
    case membership::Reachability::one_way:
      return "one_way";
    case membership::Reachability::unreachable:
      return "unreachable";
  }
  return "?";
}

std::string label_of(membership::PartitionStatus partition_status) {
  switch (partition_status) {
    case membership::PartitionStatus::majority:
      return "majority";
    case membership::PartitionStatus::minority:
      return "minority";
    case membership::PartitionStatus::isolated:
      return "isolated";
    case membership::PartitionStatus::disputed:
      return "disputed";
  }
  return "?";
}

std::string label_of(membership::View::MergeResult merge_result) {
  switch (merge_result) {
    case membership::View::MergeResult::outdated:
      return "stale";
    case membership::View::MergeResult::changed:
      return "updated";
    case membership::View::MergeResult::confirmation:
      return "confirmed_suspicion";
  }
  return "?";
}

std::string text_of(const membership::MemberUpdate& update) {
  return TraceLine("{MemberUpdate")
             .field("name", update.name)
             .field("address", update.address)
             .field("disk", update.disk_id)
             .field("incarnation", update.incarnation)
             .field("zone", update.zone)
             .verbatim("status", label_of(update.status))
             .field("reported_by", update.reported_by)
             .text() +
         "}";
}

std::string text_of(const membership::Message& message) {
  const bool is_full_sync = message.kind == membership::MessageKind::full_sync ||
                            message.kind == membership::MessageKind::full_sync_reply;
  return TraceLine("{Message")
             .verbatim("kind", label_of(message.kind))
             .field("number", message.sequence)
             .field("to", message.to)
             .verbatim("from", text_of(message.from))
             .field("digest", message.digest)
             .field("target", message.target)
             .field("target_address", message.target_address)
             .verbatim("updates", is_full_sync ? sorted_list_of(message.updates)
                                               : list_of(message.updates,
                                                         [](const auto& item) { return text_of(item); }))
             .field("counted_disk", message.counted_disk)
             .field("names_digest", message.member_names_hash)
             .field("confirmed", message.confirmed)
             .field("payload", message.payload)
             .text() +
         "}";
}

std::string text_of(const membership::Input& input) { return std::visit(DescribeInput{}, input); }

std::string text_of(const admission::QuotaLeases::QuotaShare& share) {
  return TraceLine("{QuotaShare")
             .field("of_all", share.of_cluster)
             .field("of_zone", share.of_zone)
             .field("held", share.has_lease)
             .field("until", share.expires_at)
             .text() +
         "}";
}

std::string state_of(const admission::QuotaLeases& leases, admission::QuotaLeases::Time now) {
  return TraceLine("QuotaLeases")
      .verbatim("share", text_of(leases.share(now)))
      .field("confirmed", leases.confirmed())
      .field("names_digest", leases.member_names_hash())
      .field("announced_version", leases.announced_version())
      .verbatim("announced", list_of(leases.announced_names()))
      .field("unfenced_count", leases.unfenced_count())
      .verbatim("unfenced", list_of(leases.unfenced_holders(),
                                    [](const admission::QuotaLeases::UnfencedHolder& holder) {
                                      return TraceLine("{UnfencedHolder")
                                                 .field("name", holder.name)
                                                 .field("disk", holder.identity.disk)
                                                 .field("zone", holder.identity.zone)
                                                 .field("replaced", holder.replaced)
                                                 .text() +
                                             "}";
                                    }))
      .text();
}

void add_step(GoldenRecord& record, const std::string& member, membership::Time now,
              const membership::Input& input, const std::vector<membership::Effect>& effects,
              const membership::State& state) {
  record.add(TraceLine(member)
                 .field("at", now)
                 .verbatim("input", text_of(input))
                 .field("next_timer", state.next_due())
                 .text());
  bool persists = false;
  for (const membership::Effect& effect : effects) {
    if (const auto text = std::visit(DescribeEffect{}, effect)) record.add("  " + *text);
    persists = persists || std::holds_alternative<membership::PersistState>(effect);
  }
  if (persists) record.add("  persisted=" + sorted_list_of(state.persistent_state()));
}

}  // namespace golden
