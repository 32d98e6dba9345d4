// SPDX-License-Identifier: MIT
#include "golden/membership_trace.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <variant>

#include "golden/trace_line.h"

namespace golden {
namespace {

using namespace dahliahall;

std::string label_of(peers::MessageKind kind) {
  switch (kind) {
    case peers::MessageKind::ping:
      return "ping";
    case peers::MessageKind::ack:
      return "ack";
    case peers::MessageKind::nack:
      return "nack";
    case peers::MessageKind::ping_req:
      return "ping_req";
    case peers::MessageKind::gossip:
      return "gossip";
    case peers::MessageKind::full_sync:
      return "full_sync";
    case peers::MessageKind::full_sync_reply:
      return "full_sync_reply";
    case peers::MessageKind::user_message:
      return "user_message";
  }
  return "?";
}

std::string label_of(peers::DecodeError reason) {
  switch (reason) {
    case peers::DecodeError::malformed:
      return "malformed";
    case peers::DecodeError::oversized:
      return "oversized";
    case peers::DecodeError::checksum_mismatch:
      return "corrupt";
    case peers::DecodeError::wrong_cluster:
      return "other_cluster";
    case peers::DecodeError::wrong_version:
      return "other_version";
    case peers::DecodeError::invalid_field:
      return "bad_field";
  }
  return "?";
}

std::string sorted_list_of(const std::vector<peers::MemberUpdate>& updates) {
  std::vector<std::string> texts;
  for (const peers::MemberUpdate& update : updates) texts.push_back(text_of(update));
  std::sort(texts.begin(), texts.end());
  return list_of(texts, [](const std::string& text) { return text; });
}

struct DescribeInput {
  std::string operator()(const peers::MessageReceived& input) const {
    return TraceLine("MessageReceived")
        .field("stream", input.stream)
        .verbatim("message", text_of(input.message))
        .text();
  }
  std::string operator()(const peers::MessageRejected& input) const {
    return TraceLine("MessageRejected")
        .verbatim("reason", label_of(input.reason))
        .field("address", input.address)
        .text();
  }
  std::string operator()(const peers::TimerExpired&) const { return "TimerExpired"; }
  std::string operator()(const peers::ShutdownRequested&) const { return "ShutdownRequested"; }
  std::string operator()(const peers::ForgetMember& input) const {
    return TraceLine("ForgetMember").field("name", input.name).text();
  }
  std::string operator()(const peers::SendUserMessage& input) const {
    return TraceLine("SendUserMessage").field("to", input.to).field("payload", input.payload).text();
  }
};

/// None for a log line.
struct DescribeEffect {
  std::optional<std::string> operator()(const peers::SendDatagram& effect) const {
    return TraceLine("SendDatagram")
        .field("address", effect.address)
        .verbatim("message", text_of(effect.message))
        .text();
  }
  std::optional<std::string> operator()(const peers::SendFullSync& effect) const {
    return TraceLine("SendOverStream")
        .field("address", effect.address)
        .verbatim("message", text_of(effect.message))
        .text();
  }
  std::optional<std::string> operator()(const peers::FullSyncReply& effect) const {
    return TraceLine("ReplyOverStream")
        .field("stream", effect.stream)
        .verbatim("message", text_of(effect.message))
        .text();
  }
  std::optional<std::string> operator()(const peers::LogLine&) const { return std::nullopt; }
  std::optional<std::string> operator()(const peers::PersistState&) const { return "PersistMembers"; }
  std::optional<std::string> operator()(const peers::UserMessageReceived& effect) const {
    return TraceLine("DeliverUserMessage").field("from", effect.from).field("payload", effect.payload).text();
  }
};

}  // namespace

std::string label_of(peers::MemberStatus status) {
  switch (status) {
    case peers::MemberStatus::alive:
      return "alive";
    case peers::MemberStatus::suspect:
      return "suspect";
    case peers::MemberStatus::dead:
      return "dead";
    case peers::MemberStatus::left:
      return "left";
    case peers::MemberStatus::forgotten:
      return "forgotten";
    case peers::MemberStatus::disputed:
      return "disputed";
  }
  return "?";
}

std::string label_of(peers::Reachability reachability) {
  switch (reachability) {
    case peers::Reachability::unknown:
      return "unknown";
    case peers::Reachability::direct:
      return "direct";
    case peers::Reachability::indirect:
      return "indirect";
    case peers::Reachability::one_way:
      return "one_way";
    case peers::Reachability::unreachable:
      return "unreachable";
  }
  return "?";
}

std::string label_of(peers::PartitionStatus partition_status) {
  switch (partition_status) {
    case peers::PartitionStatus::majority:
      return "majority";
    case peers::PartitionStatus::minority:
      return "minority";
    case peers::PartitionStatus::isolated:
      return "isolated";
    case peers::PartitionStatus::disputed:
      return "disputed";
  }
  return "?";
}

std::string label_of(peers::View::MergeResult merge_result) {
  switch (merge_result) {
    case peers::View::MergeResult::outdated:
      return "stale";
    case peers::View::MergeResult::changed:
      return "updated";
    case peers::View::MergeResult::confirmation:
      return "confirmed_suspicion";
  }
  return "?";
}

std::string text_of(const peers::MemberUpdate& update) {
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

std::string text_of(const peers::Message& message) {
  const bool is_full_sync =
      message.kind == peers::MessageKind::full_sync || message.kind == peers::MessageKind::full_sync_reply;
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

std::string text_of(const peers::Input& input) { return std::visit(DescribeInput{}, input); }

std::string text_of(const limits::QuotaLeases::QuotaShare& share) {
  return TraceLine("{QuotaShare")
             .field("of_all", share.of_cluster)
             .field("of_zone", share.of_zone)
             .field("held", share.has_lease)
             .field("until", share.expires_at)
             .text() +
         "}";
}

std::string state_of(const limits::QuotaLeases& leases, limits::QuotaLeases::Time now) {
  return TraceLine("QuotaLeases")
      .verbatim("share", text_of(leases.share(now)))
      .field("confirmed", leases.confirmed())
      .field("names_digest", leases.member_names_hash())
      .field("announced_version", leases.announced_version())
      .verbatim("announced", list_of(leases.announced_names()))
      .field("unfenced_count", leases.unfenced_count())
      .verbatim("unfenced", list_of(leases.unfenced_holders(),
                                    [](const limits::QuotaLeases::UnfencedHolder& holder) {
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

void add_step(GoldenRecord& record, const std::string& member, peers::Time now, const peers::Input& input,
              const std::vector<peers::Effect>& effects, const peers::State& state) {
  record.add(TraceLine(member)
                 .field("at", now)
                 .verbatim("input", text_of(input))
                 .field("next_timer", state.next_due())
                 .text());
  bool persists = false;
  for (const peers::Effect& effect : effects) {
    if (const auto text = std::visit(DescribeEffect{}, effect)) record.add("  " + *text);
    persists = persists || std::holds_alternative<peers::PersistState>(effect);
  }
  if (persists) record.add("  persisted=" + sorted_list_of(state.persistent_state()));
}

}  // namespace golden
