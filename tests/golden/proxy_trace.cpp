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
  return TraceLine("member")
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
  TraceLine line("message");
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

std::string item_text(const membership::MessageReceived& in) {
  return TraceLine("message_received")
      .add_inner("message", item_text(in.message))
      .add("stream", in.stream)
      .text();
}
std::string item_text(const membership::MessageRejected& in) {
  return TraceLine("message_rejected").add("reason", label_of(in.reason)).add("address", in.address).text();
}
std::string item_text(const membership::TimerExpired&) { return "timer_expired"; }
std::string item_text(const membership::ShutdownRequested&) { return "shutdown_requested"; }
std::string item_text(const membership::ForgetMember& in) {
  return TraceLine("forget").add("name", in.name).text();
}
std::string item_text(const membership::SendUserMessage& in) {
  return TraceLine("user_message").add("to", in.to).add("payload", in.payload).text();
}

std::string item_text(const membership::SendDatagram& e) {
  return TraceLine("send").add("address", e.address).add_inner("message", item_text(e.message)).text();
}
std::string item_text(const membership::SendFullSync& e) {
  return TraceLine("full_sync").add("address", e.address).add_inner("message", item_text(e.message)).text();
}
std::string item_text(const membership::FullSyncReply& e) {
  return TraceLine("stream_response")
      .add("stream", e.stream)
      .add_inner("message", item_text(e.message))
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
  return TraceLine("entry")
      .add("step", label_of(entry.step))
      .add("change", entry.change)
      .add("key", entry.key)
      .add("base", entry.base_epoch)
      .add("policy", entry.policy)
      .add("reason", entry.reason)
      .text();
}

std::string item_text(const consensus::Change& change) {
  return TraceLine("change")
      .add("id", change.id)
      .add("epoch", change.epoch)
      .add("key", change.key)
      .add("policy", change.policy)
      .add("committed", change.committed)
      .text();
}

std::string item_text(const consensus::ChangeOutcome& outcome) {
  return TraceLine("outcome")
      .add("key", outcome.key)
      .add("result", label_of(outcome.result))
      .add("epoch", outcome.epoch)
      .add("reason", outcome.reason)
      .text();
}

std::string item_text(const consensus::LeaseRequest& m) {
  return TraceLine("lease_request").add("number", m.number).text();
}
std::string item_text(const consensus::LeaseGrant& m) {
  return TraceLine("lease_grant")
      .add("number", m.request_number)
      .add("epoch", m.epoch)
      .add("duration", m.duration)
      .add("index", m.index)
      .text();
}
std::string item_text(const consensus::LeadershipCheck& m) {
  return TraceLine("leadership_check").add("term", m.term).add("round", m.round).text();
}
std::string item_text(const consensus::LeadershipCheckReply& m) {
  return TraceLine("leadership_check_reply").add("term", m.term).add("round", m.round).text();
}
std::string item_text(const consensus::LogPosition& m) {
  return TraceLine("log_position").add("index", m.index).add("leader", m.leader).text();
}
std::string item_text(const consensus::PrepareReply& m) {
  return TraceLine("prepared")
      .add("change", m.change)
      .add("accepted", m.ready)
      .add("reason", m.reason)
      .text();
}
std::string item_text(const consensus::LeaseRevocation& m) {
  return TraceLine("lease_revocation").add("term", m.term).add("epoch", m.epoch).text();
}
std::string item_text(const consensus::LeaseRevocationAck& m) {
  return TraceLine("lease_revocation_ack").add("term", m.term).add("epoch", m.epoch).text();
}
std::string item_text(const consensus::ProposeRequest& m) {
  return TraceLine("propose").add("key", m.key).add("base", m.base_epoch).add("policy", m.policy).text();
}
std::string item_text(const consensus::AbortRequest& m) {
  return TraceLine("abort_request").add("change", m.change).text();
}
std::string item_text(const consensus::CatchUpRequest& m) {
  return TraceLine("catch_up_request").add("after", m.after_index).text();
}
std::string item_text(const consensus::CatchUpResponse& m) {
  TraceLine line("catch_up_response");
  line.add("after", m.after_index).add("up_to", m.up_to_index);
  for (const auto& [index, entry] : m.entries) line.add("index", index).add_inner("entry", item_text(entry));
  return line.text();
}
std::string item_text(const consensus::Snapshot& m) {
  TraceLine line("snapshot");
  line.add("index", m.index).add("epoch", m.epoch).add("key", m.key).add("policy", m.policy);
  for (const consensus::Change& change : m.change) line.add_inner("change", item_text(change));
  for (const consensus::ChangeOutcome& outcome : m.outcomes) line.add_inner("outcome", item_text(outcome));
  return line.text();
}
std::string item_text(const consensus::Message& message) {
  return std::visit([](const auto& m) { return item_text(m); }, message);
}

std::string item_text(const consensus::MessageReceived& in) {
  return TraceLine("message_received")
      .add("from", in.from)
      .add_inner("message", item_text(in.message))
      .text();
}
std::string item_text(const consensus::TimerExpired&) { return "timer_expired"; }
std::string item_text(const consensus::EntryApplied& in) {
  TraceLine line("applied");
  line.add("index", in.index);
  if (in.entry) line.add_inner("entry", item_text(*in.entry));
  return line.text();
}
std::string item_text(const consensus::SnapshotRestored& in) {
  return TraceLine("restored").add_inner("snapshot", item_text(in.snapshot)).text();
}
std::string item_text(const consensus::BecameLeader& in) {
  TraceLine line("became_leader");
  line.add("term", in.term);
  for (const std::string& voter : in.voters) line.add("voter", voter);
  return line.text();
}
std::string item_text(const consensus::BecameFollower& in) {
  return TraceLine("became_follower").add("leader", in.leader).add("voter", in.is_voter).text();
}
std::string item_text(const consensus::VotersChanged& in) {
  TraceLine line("voters_changed");
  for (const std::string& voter : in.names) line.add("voter", voter);
  return line.text();
}
std::string item_text(const consensus::MembersChanged& in) {
  TraceLine line("members_changed");
  for (const auto& [name, reachable] : in.reachable) line.add("member", name).add("reachable", reachable);
  return line.text();
}
std::string item_text(const consensus::ProposeCall& in) {
  return TraceLine("propose_call")
      .add("call", in.call)
      .add("key", in.key)
      .add("base", in.base_epoch)
      .add("policy", in.policy)
      .text();
}
std::string item_text(const consensus::AbortCall& in) {
  return TraceLine("abort_call").add("call", in.call).text();
}
std::string item_text(const consensus::Input& input) {
  return std::visit([](const auto& in) { return item_text(in); }, input);
}

std::string item_text(const consensus::AppendEntry& e) {
  return TraceLine("append").add_inner("entry", item_text(e.entry)).text();
}
std::string item_text(const consensus::CheckTerm& e) {
  return TraceLine("check_term").add("from", e.from).add_inner("check", item_text(e.check)).text();
}
std::string item_text(const consensus::PersistLearned& e) {
  const std::string what = std::visit([](const auto& learnt) { return item_text(learnt); }, e.learned);
  return TraceLine("learn").add_inner("what", what).text();
}
std::string item_text(const consensus::RaftMessage& e) {
  return TraceLine("raft_message").add("bytes", e.bytes).text();
}
std::string item_text(const proxy::BootstrapReceived& e) {
  return TraceLine("bootstrap_message").add("from", e.from).add("bytes", e.message.bytes).text();
}
std::string item_text(const proxy::VoterChangeCall& e) {
  return TraceLine("change_voter").add("call", e.call).add("name", e.name).add("add", e.add).text();
}

// ---- Inputs ----

std::string input_text(const proxy::Accepted& in) {
  return TraceLine("accepted").add("connection", in.connection).add("listener", in.listener).text();
}
std::string input_text(const proxy::DescriptorsExhausted&) { return "descriptors_exhausted"; }
std::string input_text(const proxy::BytesArrived& in) {
  return TraceLine("bytes_received").add("connection", in.connection).add("bytes", in.bytes).text();
}
std::string input_text(const proxy::WriteDrained& in) {
  return TraceLine("write_drained").add("connection", in.connection).text();
}
std::string input_text(const proxy::Connected& in) {
  return TraceLine("connected").add("connection", in.connection).text();
}
std::string input_text(const proxy::ConnectFailed& in) {
  return TraceLine("connect_failed").add("connection", in.connection).text();
}
std::string input_text(const proxy::ConnectionClosed& in) {
  return TraceLine("closed").add("connection", in.connection).add("reset", in.is_reset).text();
}
std::string input_text(const proxy::LoopTimerExpired&) { return "timer_expired"; }
std::string input_text(const proxy::ShutdownRequested&) { return "shutdown_requested"; }
/// What a reload can change, and the settings; the whole of the configuration has tests of its own.
std::string input_text(const proxy::Reloaded& in) {
  const Config& config = in.config;
  return TraceLine("reloaded")
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
std::string input_text(const proxy::ReloadFailed& in) {
  return TraceLine("reload_failed").add("problem", in.problem).text();
}
std::string input_text(const proxy::OverridesLoaded& in) {
  return TraceLine("overrides_loaded").add("text", in.overrides).text();
}
std::string input_text(const proxy::MembershipReady& in) {
  TraceLine line("membership_ready");
  line.add("disk", in.identity.disk_id)
      .add("incarnation", in.identity.incarnation)
      .add("empty_disk", in.identity.is_new_disk);
  for (const membership::MemberUpdate& update : in.identity.known_members)
    line.add_inner("known", item_text(update));
  return line.text();
}
std::string input_text(const proxy::MembershipInput& in) {
  const std::string inner = std::visit([](const auto& i) { return item_text(i); }, in.input);
  return TraceLine("membership_input").add_inner("input", inner).text();
}
std::string input_text(const proxy::ConsensusOutput& in) {
  TraceLine line("consensus_output");
  for (const auto& [to, bytes] : in.outgoing_messages) line.add("to", to).add("bytes", bytes);
  for (const consensus::Input& input : in.consensus_inputs) line.add_inner("input", item_text(input));
  for (const auto& [name, id] : in.voters) line.add("voter", name).add("id", id);
  for (const auto& [connection, status, text] : in.admin_replies)
    line.add("answer_to", connection).add("status", status).add("text", text);
  return line.add("own_id", in.own_raft_id).text();
}

// ---- Effects ----

std::string effect_text(const proxy::Write& e) {
  return TraceLine("write").add("connection", e.connection).add("bytes", e.bytes).text();
}
std::string effect_text(const proxy::Connect& e) {
  return TraceLine("connect")
      .add("connection", e.connection)
      .add("address", e.address)
      .add("read_first", e.high_priority)
      .text();
}
std::string effect_text(const proxy::ShutdownWrite& e) {
  return TraceLine("shutdown_write").add("connection", e.connection).text();
}
std::string effect_text(const proxy::Close& e) {
  return TraceLine("close").add("connection", e.connection).text();
}
std::string effect_text(const proxy::DrainAndClose& e) {
  return TraceLine("drain_and_close").add("connection", e.connection).text();
}
std::string effect_text(const proxy::ArmTimer& e) { return TraceLine("set_timer").add("at", e.at).text(); }
std::string effect_text(const proxy::LogLine&) { return {}; }
std::string effect_text(const proxy::StopAccepting&) { return "stop_accepting"; }
std::string effect_text(const proxy::PersistOverrides& e) {
  return TraceLine("persist_overrides").add("text", e.overrides).text();
}
std::string effect_text(const proxy::MembershipEffect& e) {
  const std::string inner = std::visit([](const auto& i) { return item_text(i); }, e.effect);
  return TraceLine("membership").add_inner("effect", inner).text();
}
std::string effect_text(const proxy::PersistMembership& e) {
  TraceLine line("persist_members");
  line.add_inner("self", item_text(e.self));
  for (const membership::MemberUpdate& update : e.members) line.add_inner("member", item_text(update));
  return line.text();
}
std::string effect_text(const proxy::StopMembership&) { return "membership_stop"; }
std::string effect_text(const proxy::ConsensusEffect& e) {
  const std::string inner = std::visit([](const auto& i) { return item_text(i); }, e.effect);
  return TraceLine("consensus").add_inner("effect", inner).text();
}

}  // namespace

std::string text_of(const proxy::Input& input) {
  return std::visit([](const auto& in) { return input_text(in); }, input);
}

std::string text_of(const proxy::Effect& effect) {
  return std::visit([](const auto& e) { return effect_text(e); }, effect);
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
