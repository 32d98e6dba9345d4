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

std::string label_of(peers::Kind kind) {
  switch (kind) {
    case peers::Kind::ping:
      return "ping";
    case peers::Kind::ack:
      return "ack";
    case peers::Kind::nack:
      return "nack";
    case peers::Kind::ask:
      return "ping_req";
    case peers::Kind::gossip:
      return "gossip";
    case peers::Kind::whole:
      return "full_sync";
    case peers::Kind::whole_answer:
      return "full_sync_reply";
    case peers::Kind::carry:
      return "user_message";
  }
  return "?";
}

std::string label_of(peers::Refusal reason) {
  switch (reason) {
    case peers::Refusal::malformed:
      return "malformed";
    case peers::Refusal::oversized:
      return "oversized";
    case peers::Refusal::corrupt:
      return "corrupt";
    case peers::Refusal::other_cluster:
      return "other_cluster";
    case peers::Refusal::other_version:
      return "other_version";
    case peers::Refusal::bad_field:
      return "bad_field";
  }
  return "?";
}

std::string sorted_list_of(const std::vector<peers::News>& updates) {
  std::vector<std::string> texts;
  for (const peers::News& update : updates) texts.push_back(text_of(update));
  std::sort(texts.begin(), texts.end());
  return list_of(texts, [](const std::string& text) { return text; });
}

struct DescribeInput {
  std::string operator()(const peers::Heard& input) const {
    return TraceLine("MessageReceived")
        .field("stream", input.stream)
        .verbatim("message", text_of(input.message))
        .text();
  }
  std::string operator()(const peers::Refused& input) const {
    return TraceLine("MessageRejected")
        .verbatim("reason", label_of(input.reason))
        .field("address", input.address)
        .text();
  }
  std::string operator()(const peers::Due&) const { return "TimerExpired"; }
  std::string operator()(const peers::StopAsked&) const { return "ShutdownRequested"; }
  std::string operator()(const peers::Forget& input) const {
    return TraceLine("ForgetMember").field("name", input.name).text();
  }
  std::string operator()(const peers::Carry& input) const {
    return TraceLine("SendUserMessage").field("to", input.to).field("payload", input.payload).text();
  }
};

/// None for a log line.
struct DescribeEffect {
  std::optional<std::string> operator()(const peers::Send& effect) const {
    return TraceLine("SendDatagram")
        .field("address", effect.address)
        .verbatim("message", text_of(effect.message))
        .text();
  }
  std::optional<std::string> operator()(const peers::Exchange& effect) const {
    return TraceLine("SendOverStream")
        .field("address", effect.address)
        .verbatim("message", text_of(effect.message))
        .text();
  }
  std::optional<std::string> operator()(const peers::Answer& effect) const {
    return TraceLine("ReplyOverStream")
        .field("stream", effect.stream)
        .verbatim("message", text_of(effect.message))
        .text();
  }
  std::optional<std::string> operator()(const peers::Log&) const { return std::nullopt; }
  std::optional<std::string> operator()(const peers::Keep&) const { return "PersistMembers"; }
  std::optional<std::string> operator()(const peers::Carried& effect) const {
    return TraceLine("DeliverUserMessage").field("from", effect.from).field("payload", effect.payload).text();
  }
};

}  // namespace

std::string label_of(peers::Liveness status) {
  switch (status) {
    case peers::Liveness::alive:
      return "alive";
    case peers::Liveness::suspect:
      return "suspect";
    case peers::Liveness::dead:
      return "dead";
    case peers::Liveness::left:
      return "left";
    case peers::Liveness::forgotten:
      return "forgotten";
    case peers::Liveness::disputed:
      return "disputed";
  }
  return "?";
}

std::string label_of(peers::Way reachability) {
  switch (reachability) {
    case peers::Way::unknown:
      return "unknown";
    case peers::Way::direct:
      return "direct";
    case peers::Way::through:
      return "indirect";
    case peers::Way::one_way:
      return "one_way";
    case peers::Way::none:
      return "unreachable";
  }
  return "?";
}

std::string label_of(peers::Standing partition_status) {
  switch (partition_status) {
    case peers::Standing::whole:
      return "majority";
    case peers::Standing::part:
      return "minority";
    case peers::Standing::alone:
      return "isolated";
    case peers::Standing::disputed:
      return "disputed";
  }
  return "?";
}

std::string label_of(peers::View::Fate merge_result) {
  switch (merge_result) {
    case peers::View::Fate::old:
      return "stale";
    case peers::View::Fate::news:
      return "updated";
    case peers::View::Fate::confirms:
      return "confirmed_suspicion";
  }
  return "?";
}

std::string text_of(const peers::News& update) {
  return TraceLine("{MemberUpdate")
             .field("name", update.name)
             .field("address", update.address)
             .field("disk", update.disk)
             .field("incarnation", update.incarnation)
             .field("zone", update.zone)
             .verbatim("status", label_of(update.state))
             .field("reported_by", update.by)
             .text() +
         "}";
}

std::string text_of(const peers::Message& message) {
  const bool is_full_sync = message.kind == peers::Kind::whole || message.kind == peers::Kind::whole_answer;
  return TraceLine("{Message")
             .verbatim("kind", label_of(message.kind))
             .field("number", message.number)
             .field("to", message.to)
             .verbatim("from", text_of(message.from))
             .field("digest", message.digest)
             .field("target", message.target)
             .field("target_address", message.target_address)
             .verbatim("updates", is_full_sync
                                      ? sorted_list_of(message.news)
                                      : list_of(message.news, [](const auto& item) { return text_of(item); }))
             .field("counted_disk", message.counts)
             .field("names_digest", message.names)
             .field("confirmed", message.sure)
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
    persists = persists || std::holds_alternative<peers::Keep>(effect);
  }
  if (persists) record.add("  persisted=" + sorted_list_of(state.kept()));
}

}  // namespace golden
