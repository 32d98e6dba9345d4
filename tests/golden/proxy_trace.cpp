// SPDX-License-Identifier: MIT
#include "golden/proxy_trace.h"

#include <variant>

#include "golden/routing_trace.h"

namespace golden {
namespace {

namespace proxy = edge_proxy::proxy;
namespace membership = edge_proxy::membership;
namespace consensus = edge_proxy::consensus;
namespace codec = edge_proxy::codec;
using edge_proxy::config::Config;

std::string item_text(const consensus::Message& message);
std::string item_text(const consensus::Input& input);

// ---- Membership ----

const char* label_of(membership::MemberStatus status) {
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

const char* label_of(membership::MessageKind kind) {
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
      return "full_sync_response";
    case membership::MessageKind::user_message:
      return "user_message";
  }
  return "?";
}

const char* label_of(membership::DecodeError reason) {
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

std::string item_text(const membership::MemberUpdate& update) {
  return RecordLine("member")
      .add("name", update.name)
      .add("address", update.address)
      .add("disk", update.disk_id)
      .add("incarnation", update.incarnation)
      .add("zone", update.zone)
      .add("status", label_of(update.status))
      .add("by", update.reported_by)
      .text();
}

std::string item_text(const membership::Message& message) {
  RecordLine line("message");
  line.add("kind", label_of(message.kind))
      .add("number", message.sequence)
      .add("to", message.to)
      .add_inner("from", item_text(message.from))
      .add("digest", message.digest)
      .add("target", message.target)
      .add("target_address", message.target_address);
  for (const membership::MemberUpdate& update : message.updates) line.add_inner("update", item_text(update));
  return line.add("counted_disk", message.counted_disk)
      .add("counted_names", message.member_names_hash)
      .add("confirmed", message.confirmed)
      .add("payload", message.payload)
      .text();
}

std::string item_text(const membership::MessageReceived& input) {
  return RecordLine("message_received")
      .add_inner("message", item_text(input.message))
      .add("stream", input.stream)
      .text();
}
std::string item_text(const membership::MessageRejected& input) {
  return RecordLine("message_rejected")
      .add("reason", label_of(input.reason))
      .add("address", input.address)
      .text();
}
std::string item_text(const membership::TimerExpired&) { return "timer_expired"; }
std::string item_text(const membership::ShutdownRequested&) { return "shutdown_requested"; }
std::string item_text(const membership::ForgetMember& input) {
  return RecordLine("forget").add("name", input.name).text();
}
std::string item_text(const membership::SendUserMessage& input) {
  return RecordLine("user_message").add("to", input.to).add("payload", input.payload).text();
}

std::string item_text(const membership::SendDatagram& effect) {
  return RecordLine("send")
      .add("address", effect.address)
      .add_inner("message", item_text(effect.message))
      .text();
}
std::string item_text(const membership::SendFullSync& effect) {
  return RecordLine("full_sync")
      .add("address", effect.address)
      .add_inner("message", item_text(effect.message))
      .text();
}
std::string item_text(const membership::FullSyncReply& effect) {
  return RecordLine("stream_response")
      .add("stream", effect.stream)
      .add_inner("message", item_text(effect.message))
      .text();
}

// ---- Consensus ----

const char* label_of(consensus::Step step) {
  switch (step) {
    case consensus::Step::propose:
      return "propose";
    case consensus::Step::commit:
      return "commit";
    case consensus::Step::activate:
      return "activate";
    case consensus::Step::abort:
      return "abort";
  }
  return "?";
}

const char* label_of(consensus::ChangeResult result) {
  switch (result) {
    case consensus::ChangeResult::active:
      return "active";
    case consensus::ChangeResult::aborted:
      return "aborted";
    case consensus::ChangeResult::rejected:
      return "rejected";
  }
  return "?";
}

std::string item_text(const consensus::Entry& entry) {
  return RecordLine("entry")
      .add("step", label_of(entry.step))
      .add("change", entry.change)
      .add("key", entry.key)
      .add("base", entry.base_epoch)
      .add("policy", entry.policy)
      .add("reason", entry.reason)
      .text();
}

std::string item_text(const consensus::Change& change) {
  return RecordLine("change")
      .add("id", change.id)
      .add("epoch", change.epoch)
      .add("key", change.key)
      .add("policy", change.policy)
      .add("committed", change.committed)
      .text();
}

std::string item_text(const consensus::ChangeOutcome& outcome) {
  return RecordLine("outcome")
      .add("key", outcome.key)
      .add("result", label_of(outcome.result))
      .add("epoch", outcome.epoch)
      .add("reason", outcome.reason)
      .text();
}

std::string item_text(const consensus::LeaseRequest& message) {
  return RecordLine("lease_request").add("number", message.number).text();
}
std::string item_text(const consensus::LeaseGrant& message) {
  return RecordLine("lease_grant")
      .add("number", message.request_number)
      .add("epoch", message.epoch)
      .add("duration", message.duration)
      .add("index", message.index)
      .text();
}
std::string item_text(const consensus::LeadershipCheck& message) {
  return RecordLine("leadership_check").add("term", message.term).add("round", message.round).text();
}
std::string item_text(const consensus::LeadershipCheckReply& message) {
  return RecordLine("leadership_check_reply").add("term", message.term).add("round", message.round).text();
}
std::string item_text(const consensus::LogPosition& message) {
  return RecordLine("log_position").add("index", message.index).add("leader", message.leader).text();
}
std::string item_text(const consensus::PrepareReply& message) {
  return RecordLine("prepared")
      .add("change", message.change)
      .add("accepted", message.ready)
      .add("reason", message.reason)
      .text();
}
std::string item_text(const consensus::LeaseRevocation& message) {
  return RecordLine("lease_revocation").add("term", message.term).add("epoch", message.epoch).text();
}
std::string item_text(const consensus::LeaseRevocationAck& message) {
  return RecordLine("lease_revocation_ack").add("term", message.term).add("epoch", message.epoch).text();
}
std::string item_text(const consensus::ProposeRequest& message) {
  return RecordLine("propose")
      .add("key", message.key)
      .add("base", message.base_epoch)
      .add("policy", message.policy)
      .text();
}
std::string item_text(const consensus::AbortRequest& message) {
  return RecordLine("abort_request").add("change", message.change).text();
}
std::string item_text(const consensus::CatchUpRequest& message) {
  return RecordLine("catch_up_request").add("after", message.after_index).text();
}
std::string item_text(const consensus::CatchUpResponse& message) {
  RecordLine line("catch_up_response");
  line.add("after", message.after_index).add("up_to", message.up_to_index);
  for (const auto& [index, entry] : message.entries)
    line.add("index", index).add_inner("entry", item_text(entry));
  return line.text();
}
std::string item_text(const consensus::Snapshot& message) {
  RecordLine line("snapshot");
  line.add("index", message.index)
      .add("epoch", message.epoch)
      .add("key", message.key)
      .add("policy", message.policy);
  for (const consensus::Change& change : message.change) line.add_inner("change", item_text(change));
  for (const consensus::ChangeOutcome& outcome : message.outcomes)
    line.add_inner("outcome", item_text(outcome));
  return line.text();
}
std::string item_text(const consensus::Message& message) {
  return std::visit([](const auto& alternative) { return item_text(alternative); }, message);
}

std::string item_text(const consensus::MessageReceived& input) {
  return RecordLine("message_received")
      .add("from", input.from)
      .add_inner("message", item_text(input.message))
      .text();
}
std::string item_text(const consensus::TimerExpired&) { return "timer_expired"; }
std::string item_text(const consensus::EntryApplied& input) {
  RecordLine line("applied");
  line.add("index", input.index);
  if (input.entry) line.add_inner("entry", item_text(*input.entry));
  return line.text();
}
std::string item_text(const consensus::SnapshotRestored& input) {
  return RecordLine("restored").add_inner("snapshot", item_text(input.snapshot)).text();
}
std::string item_text(const consensus::BecameLeader& input) {
  RecordLine line("became_leader");
  line.add("term", input.term);
  for (const std::string& voter : input.voters) line.add("voter", voter);
  return line.text();
}
std::string item_text(const consensus::BecameFollower& input) {
  return RecordLine("became_follower").add("leader", input.leader).add("voter", input.is_voter).text();
}
std::string item_text(const consensus::VotersChanged& input) {
  RecordLine line("voters_changed");
  for (const std::string& voter : input.names) line.add("voter", voter);
  return line.text();
}
std::string item_text(const consensus::MembersChanged& input) {
  RecordLine line("members_changed");
  for (const auto& [name, reachable] : input.reachable) line.add("member", name).add("reachable", reachable);
  return line.text();
}
std::string item_text(const consensus::ProposeCall& input) {
  return RecordLine("propose_call")
      .add("call", input.call)
      .add("key", input.key)
      .add("base", input.base_epoch)
      .add("policy", input.policy)
      .text();
}
std::string item_text(const consensus::AbortCall& input) {
  return RecordLine("abort_call").add("call", input.call).text();
}
std::string item_text(const consensus::Input& input) {
  return std::visit([](const auto& alternative) { return item_text(alternative); }, input);
}

std::string item_text(const consensus::AppendEntry& effect) {
  return RecordLine("append").add_inner("entry", item_text(effect.entry)).text();
}
std::string item_text(const consensus::CheckTerm& effect) {
  return RecordLine("check_term").add("from", effect.from).add_inner("check", item_text(effect.check)).text();
}
std::string item_text(const consensus::PersistLearned& effect) {
  const std::string learned =
      std::visit([](const auto& alternative) { return item_text(alternative); }, effect.learned);
  return RecordLine("learn").add_inner("what", learned).text();
}
std::string item_text(const consensus::RaftMessage& message) {
  return RecordLine("raft_message").add("bytes", message.bytes).text();
}
std::string item_text(const proxy::BootstrapReceived& received) {
  return RecordLine("bootstrap_message")
      .add("from", received.from)
      .add("bytes", received.message.bytes)
      .text();
}
std::string item_text(const proxy::VoterChangeCall& call) {
  return RecordLine("change_voter").add("call", call.call).add("name", call.name).add("add", call.add).text();
}

// ---- Inputs ----

std::string input_text(const proxy::Accepted& input) {
  return RecordLine("accepted").add("connection", input.connection).add("listener", input.listener).text();
}
std::string input_text(const proxy::DescriptorsExhausted&) { return "descriptors_exhausted"; }
std::string input_text(const proxy::BytesArrived& input) {
  return RecordLine("bytes_received").add("connection", input.connection).add("bytes", input.bytes).text();
}
std::string input_text(const proxy::WriteDrained& input) {
  return RecordLine("write_drained").add("connection", input.connection).text();
}
std::string input_text(const proxy::WriteProgressed& input) {
  return RecordLine("write_progressed").add("connection", input.connection).add("bytes", input.bytes).text();
}
std::string input_text(const proxy::Connected& input) {
  return RecordLine("connected").add("connection", input.connection).text();
}
std::string input_text(const proxy::ConnectFailed& input) {
  return RecordLine("connect_failed").add("connection", input.connection).text();
}
std::string input_text(const proxy::ConnectionClosed& input) {
  return RecordLine("closed").add("connection", input.connection).add("reset", input.is_reset).text();
}
std::string input_text(const proxy::LoopTimerExpired&) { return "timer_expired"; }
std::string input_text(const proxy::ShutdownRequested&) { return "shutdown_requested"; }
/// Formats the settings and the other values that a reload can change. The codec records cover the whole
/// configuration.
std::string input_text(const proxy::Reloaded& input) {
  const Config& config = input.config;
  return RecordLine("reloaded")
      .add("name", config.name)
      .add("listen", config.listen_address)
      .add("discovery", config.discovery_address)
      .add("admin", config.admin_address)
      .add("overrides_file", config.overrides_path)
      .add("seed", config.seed)
      .add("max_sockets", config.max_descriptors)
      .add("memory_bytes", config.memory_bytes)
      .add("connection_idle", config.connection_idle)
      .add("connect_timeout", config.connect_timeout)
      .add("requests_per_connection", config.requests_per_connection)
      .add("flow_bytes_per_s", config.flow_bytes_per_s)
      .add("link_bytes_per_s", config.link_bytes_per_s)
      .add("known_number", config.last_known_event)
      .add("membership", config.membership.has_value())
      .add("policy", config.policy.has_value())
      .add("settings_text", config.settings_text)
      .add_inner("settings", text_of(config.settings))
      .text();
}
std::string input_text(const proxy::ReloadFailed& input) {
  return RecordLine("reload_failed").add("problem", input.problem).text();
}
std::string input_text(const proxy::ListenerClosed&) { return "listener_closed"; }
std::string input_text(const proxy::OverridesStored& input) {
  RecordLine line("overrides_stored");
  line.add("text", input.overrides.serialize());
  for (const proxy::OverrideReply& reply : input.replies) {
    line.add("call", reply.call)
        .add("endpoint", reply.change.endpoint)
        .add("outcome", static_cast<int>(reply.outcome));
  }
  return line.text();
}
std::string input_text(const proxy::MembershipReady& input) {
  RecordLine line("membership_ready");
  line.add("disk", input.identity.disk_id)
      .add("incarnation", input.identity.incarnation)
      .add("empty_disk", input.identity.is_new_disk);
  for (const membership::MemberUpdate& update : input.identity.known_members)
    line.add_inner("known", item_text(update));
  return line.text();
}
std::string input_text(const proxy::MembershipInput& input) {
  const std::string inner =
      std::visit([](const auto& alternative) { return item_text(alternative); }, input.input);
  return RecordLine("membership_input").add_inner("input", inner).text();
}
std::string input_text(const proxy::ConsensusOutput& output) {
  RecordLine line("consensus_output");
  for (const auto& [to, bytes] : output.outgoing_messages) line.add("to", to).add("bytes", bytes);
  for (const consensus::Input& input : output.consensus_inputs) line.add_inner("input", item_text(input));
  for (const auto& [name, id] : output.voters) line.add("voter", name).add("id", id);
  for (const auto& [connection, status, text] : output.admin_replies)
    line.add("answer_to", connection).add("status", status).add("text", text);
  return line.add("own_id", output.own_raft_id).text();
}

// ---- Effects ----

std::string effect_text(const proxy::Write& effect) {
  return RecordLine("write").add("connection", effect.connection).add("bytes", effect.bytes).text();
}
std::string effect_text(const proxy::Connect& effect) {
  return RecordLine("connect")
      .add("connection", effect.connection)
      .add("address", effect.address)
      .add("read_first", effect.high_priority)
      .text();
}
std::string effect_text(const proxy::ShutdownWrite& effect) {
  return RecordLine("shutdown_write").add("connection", effect.connection).text();
}
std::string effect_text(const proxy::Close& effect) {
  return RecordLine("close").add("connection", effect.connection).text();
}
std::string effect_text(const proxy::DrainAndClose& effect) {
  return RecordLine("drain_and_close").add("connection", effect.connection).text();
}
std::string effect_text(const proxy::ArmTimer& effect) {
  return RecordLine("set_timer").add("at", effect.at).text();
}
std::string effect_text(const proxy::StopReading& effect) {
  return RecordLine("stop_reading").add("connection", effect.connection).text();
}
std::string effect_text(const proxy::LogLine&) { return {}; }
std::string effect_text(const proxy::StopAccepting&) { return "stop_accepting"; }
std::string effect_text(const proxy::StoreOverride& effect) {
  return RecordLine("store_override")
      .add("call", effect.call)
      .add("action", static_cast<int>(effect.change.action))
      .add("endpoint", effect.change.endpoint)
      .add("called_at", effect.change.called_at)
      .text();
}
std::string effect_text(const proxy::MergeOverrides& effect) {
  return RecordLine("merge_overrides").add("text", effect.overrides.serialize()).text();
}
std::string effect_text(const proxy::MembershipEffect& effect) {
  const std::string inner =
      std::visit([](const auto& alternative) { return item_text(alternative); }, effect.effect);
  return RecordLine("membership").add_inner("effect", inner).text();
}
std::string effect_text(const proxy::PersistMembership& effect) {
  RecordLine line("persist_members");
  line.add_inner("self", item_text(effect.self));
  for (const membership::MemberUpdate& update : effect.members) line.add_inner("member", item_text(update));
  return line.text();
}
std::string effect_text(const proxy::StopMembership&) { return "membership_stop"; }
std::string effect_text(const proxy::ConsensusEffect& effect) {
  const std::string inner =
      std::visit([](const auto& alternative) { return item_text(alternative); }, effect.effect);
  return RecordLine("consensus").add_inner("effect", inner).text();
}

}  // namespace

std::string text_of(const proxy::Input& input) {
  return std::visit([](const auto& alternative) { return input_text(alternative); }, input);
}

std::string text_of(const proxy::Effect& effect) {
  return std::visit([](const auto& alternative) { return effect_text(alternative); }, effect);
}

void record_proxy_step(GoldenRecord& record, edge_proxy::Time now, const proxy::Input& input,
                       const std::vector<proxy::Effect>& effects) {
  record.add(std::to_string(now.count()) + " " + text_of(input));
  for (const proxy::Effect& effect : effects) {
    const std::string text = text_of(effect);
    if (!text.empty()) record.add("  " + text);
  }
}

}  // namespace golden
