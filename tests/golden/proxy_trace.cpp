// SPDX-License-Identifier: MIT
#include "golden/proxy_trace.h"

#include <variant>

#include "golden/routing_trace.h"

namespace golden {
namespace {

namespace edge = dahliahall::edge;
namespace peers = dahliahall::peers;
namespace agreed = dahliahall::agreed;
namespace codec = dahliahall::codec;
using dahliahall::config::Config;

std::string item_text(const agreed::Message& message);
std::string item_text(const agreed::Input& input);

// ---- Membership ----

const char* label_of(peers::MemberStatus status) {
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

const char* label_of(peers::MessageKind kind) {
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
      return "full_sync_response";
    case peers::MessageKind::user_message:
      return "user_message";
  }
  return "?";
}

const char* label_of(peers::DecodeError reason) {
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

std::string item_text(const peers::MemberUpdate& update) {
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

std::string item_text(const peers::Message& message) {
  TraceLine line("message");
  line.add("kind", label_of(message.kind))
      .add("number", message.sequence)
      .add("to", message.to)
      .add_inner("from", item_text(message.from))
      .add("digest", message.digest)
      .add("target", message.target)
      .add("target_address", message.target_address);
  for (const peers::MemberUpdate& update : message.updates) line.add_inner("update", item_text(update));
  return line.add("counted_disk", message.counted_disk)
      .add("counted_names", message.member_names_hash)
      .add("confirmed", message.confirmed)
      .add("payload", message.payload)
      .text();
}

std::string item_text(const peers::MessageReceived& in) {
  return TraceLine("message_received")
      .add_inner("message", item_text(in.message))
      .add("stream", in.stream)
      .text();
}
std::string item_text(const peers::MessageRejected& in) {
  return TraceLine("message_rejected").add("reason", label_of(in.reason)).add("address", in.address).text();
}
std::string item_text(const peers::TimerExpired&) { return "timer_expired"; }
std::string item_text(const peers::ShutdownRequested&) { return "shutdown_requested"; }
std::string item_text(const peers::ForgetMember& in) {
  return TraceLine("forget").add("name", in.name).text();
}
std::string item_text(const peers::SendUserMessage& in) {
  return TraceLine("user_message").add("to", in.to).add("payload", in.payload).text();
}

std::string item_text(const peers::SendDatagram& e) {
  return TraceLine("send").add("address", e.address).add_inner("message", item_text(e.message)).text();
}
std::string item_text(const peers::SendFullSync& e) {
  return TraceLine("full_sync").add("address", e.address).add_inner("message", item_text(e.message)).text();
}
std::string item_text(const peers::FullSyncReply& e) {
  return TraceLine("stream_response")
      .add("stream", e.stream)
      .add_inner("message", item_text(e.message))
      .text();
}

// ---- Consensus ----

const char* label_of(agreed::Step step) {
  switch (step) {
    case agreed::Step::propose:
      return "propose";
    case agreed::Step::commit:
      return "commit";
    case agreed::Step::activate:
      return "activate";
    case agreed::Step::abort:
      return "abort";
  }
  return "?";
}

const char* label_of(agreed::ChangeResult result) {
  switch (result) {
    case agreed::ChangeResult::active:
      return "active";
    case agreed::ChangeResult::aborted:
      return "aborted";
    case agreed::ChangeResult::rejected:
      return "rejected";
  }
  return "?";
}

std::string item_text(const agreed::Entry& entry) {
  return TraceLine("entry")
      .add("step", label_of(entry.step))
      .add("change", entry.change)
      .add("key", entry.key)
      .add("base", entry.base_epoch)
      .add("policy", entry.policy)
      .add("reason", entry.reason)
      .text();
}

std::string item_text(const agreed::Change& change) {
  return TraceLine("change")
      .add("id", change.id)
      .add("epoch", change.epoch)
      .add("key", change.key)
      .add("policy", change.policy)
      .add("committed", change.committed)
      .text();
}

std::string item_text(const agreed::ChangeOutcome& outcome) {
  return TraceLine("outcome")
      .add("key", outcome.key)
      .add("result", label_of(outcome.result))
      .add("epoch", outcome.epoch)
      .add("reason", outcome.reason)
      .text();
}

std::string item_text(const agreed::LeaseRequest& m) {
  return TraceLine("lease_request").add("number", m.number).text();
}
std::string item_text(const agreed::LeaseGrant& m) {
  return TraceLine("lease_grant")
      .add("number", m.request_number)
      .add("epoch", m.epoch)
      .add("duration", m.duration)
      .add("index", m.index)
      .text();
}
std::string item_text(const agreed::LeadershipCheck& m) {
  return TraceLine("leadership_check").add("term", m.term).add("round", m.round).text();
}
std::string item_text(const agreed::LeadershipCheckReply& m) {
  return TraceLine("leadership_check_reply").add("term", m.term).add("round", m.round).text();
}
std::string item_text(const agreed::LogPosition& m) {
  return TraceLine("log_position").add("index", m.index).add("leader", m.leader).text();
}
std::string item_text(const agreed::PrepareReply& m) {
  return TraceLine("prepared")
      .add("change", m.change)
      .add("accepted", m.ready)
      .add("reason", m.reason)
      .text();
}
std::string item_text(const agreed::LeaseRevocation& m) {
  return TraceLine("lease_revocation").add("term", m.term).add("epoch", m.epoch).text();
}
std::string item_text(const agreed::LeaseRevocationAck& m) {
  return TraceLine("lease_revocation_ack").add("term", m.term).add("epoch", m.epoch).text();
}
std::string item_text(const agreed::ProposeRequest& m) {
  return TraceLine("propose").add("key", m.key).add("base", m.base_epoch).add("policy", m.policy).text();
}
std::string item_text(const agreed::AbortRequest& m) {
  return TraceLine("abort_request").add("change", m.change).text();
}
std::string item_text(const agreed::CatchUpRequest& m) {
  return TraceLine("catch_up_request").add("after", m.after_index).text();
}
std::string item_text(const agreed::CatchUpResponse& m) {
  TraceLine line("catch_up_response");
  line.add("after", m.after_index).add("up_to", m.up_to_index);
  for (const auto& [index, entry] : m.entries) line.add("index", index).add_inner("entry", item_text(entry));
  return line.text();
}
std::string item_text(const agreed::Snapshot& m) {
  TraceLine line("snapshot");
  line.add("index", m.index).add("epoch", m.epoch).add("key", m.key).add("policy", m.policy);
  for (const agreed::Change& change : m.change) line.add_inner("change", item_text(change));
  for (const agreed::ChangeOutcome& outcome : m.outcomes) line.add_inner("outcome", item_text(outcome));
  return line.text();
}
std::string item_text(const agreed::Message& message) {
  return std::visit([](const auto& m) { return item_text(m); }, message);
}

std::string item_text(const agreed::MessageReceived& in) {
  return TraceLine("message_received")
      .add("from", in.from)
      .add_inner("message", item_text(in.message))
      .text();
}
std::string item_text(const agreed::TimerExpired&) { return "timer_expired"; }
std::string item_text(const agreed::EntryApplied& in) {
  TraceLine line("applied");
  line.add("index", in.index);
  if (in.entry) line.add_inner("entry", item_text(*in.entry));
  return line.text();
}
std::string item_text(const agreed::SnapshotRestored& in) {
  return TraceLine("restored").add_inner("snapshot", item_text(in.whole)).text();
}
std::string item_text(const agreed::BecameLeader& in) {
  TraceLine line("became_leader");
  line.add("term", in.term);
  for (const std::string& voter : in.voters) line.add("voter", voter);
  return line.text();
}
std::string item_text(const agreed::BecameFollower& in) {
  return TraceLine("became_follower").add("leader", in.leader).add("voter", in.is_voter).text();
}
std::string item_text(const agreed::VotersChanged& in) {
  TraceLine line("voters_changed");
  for (const std::string& voter : in.names) line.add("voter", voter);
  return line.text();
}
std::string item_text(const agreed::MembersChanged& in) {
  TraceLine line("members_changed");
  for (const auto& [name, reachable] : in.reachable) line.add("member", name).add("reachable", reachable);
  return line.text();
}
std::string item_text(const agreed::ProposeCall& in) {
  return TraceLine("propose_call")
      .add("call", in.call)
      .add("key", in.key)
      .add("base", in.base_epoch)
      .add("policy", in.policy)
      .text();
}
std::string item_text(const agreed::AbortCall& in) {
  return TraceLine("abort_call").add("call", in.call).text();
}
std::string item_text(const agreed::Input& input) {
  return std::visit([](const auto& in) { return item_text(in); }, input);
}

std::string item_text(const agreed::AppendEntry& e) {
  return TraceLine("append").add_inner("entry", item_text(e.entry)).text();
}
std::string item_text(const agreed::CheckTerm& e) {
  return TraceLine("check_term").add("from", e.from).add_inner("check", item_text(e.check)).text();
}
std::string item_text(const agreed::PersistLearned& e) {
  const std::string what = std::visit([](const auto& learnt) { return item_text(learnt); }, e.learned);
  return TraceLine("learn").add_inner("what", what).text();
}
std::string item_text(const agreed::RaftMessage& e) {
  return TraceLine("raft_message").add("bytes", e.bytes).text();
}
std::string item_text(const edge::BootstrapReceived& e) {
  return TraceLine("bootstrap_message").add("from", e.from).add("bytes", e.message.bytes).text();
}
std::string item_text(const edge::VoterChangeCall& e) {
  return TraceLine("change_voter").add("call", e.call).add("name", e.name).add("add", e.add).text();
}

// ---- Inputs ----

std::string input_text(const edge::Accepted& in) {
  return TraceLine("accepted").add("connection", in.connection).add("listener", in.listener).text();
}
std::string input_text(const edge::DescriptorsExhausted&) { return "descriptors_exhausted"; }
std::string input_text(const edge::BytesArrived& in) {
  return TraceLine("bytes_received").add("connection", in.connection).add("bytes", in.bytes).text();
}
std::string input_text(const edge::WriteDrained& in) {
  return TraceLine("write_drained").add("connection", in.connection).text();
}
std::string input_text(const edge::Connected& in) {
  return TraceLine("connected").add("connection", in.connection).text();
}
std::string input_text(const edge::ConnectFailed& in) {
  return TraceLine("connect_failed").add("connection", in.connection).text();
}
std::string input_text(const edge::Closed& in) {
  return TraceLine("closed").add("connection", in.connection).add("reset", in.is_reset).text();
}
std::string input_text(const edge::TimerExpired&) { return "timer_expired"; }
std::string input_text(const edge::ShutdownRequested&) { return "shutdown_requested"; }
/// What a reload can change, and the settings; the whole of the configuration has tests of its own.
std::string input_text(const edge::Reloaded& in) {
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
std::string input_text(const edge::ReloadFailed& in) {
  return TraceLine("reload_failed").add("problem", in.problem).text();
}
std::string input_text(const edge::OverridesLoaded& in) {
  return TraceLine("overrides_loaded").add("text", in.overrides).text();
}
std::string input_text(const edge::MembershipReady& in) {
  TraceLine line("membership_ready");
  line.add("disk", in.identity.disk_id)
      .add("incarnation", in.identity.incarnation)
      .add("empty_disk", in.identity.is_new_disk);
  for (const peers::MemberUpdate& update : in.identity.known_members)
    line.add_inner("known", item_text(update));
  return line.text();
}
std::string input_text(const edge::MembershipInput& in) {
  const std::string inner = std::visit([](const auto& i) { return item_text(i); }, in.input);
  return TraceLine("membership_input").add_inner("input", inner).text();
}
std::string input_text(const edge::ConsensusOutput& in) {
  TraceLine line("consensus_output");
  for (const auto& [to, bytes] : in.messages) line.add("to", to).add("bytes", bytes);
  for (const agreed::Input& input : in.inputs) line.add_inner("input", item_text(input));
  for (const auto& [name, id] : in.voters) line.add("voter", name).add("id", id);
  for (const auto& [connection, status, text] : in.replies)
    line.add("answer_to", connection).add("status", status).add("text", text);
  return line.add("own_id", in.raft_id).text();
}

// ---- Effects ----

std::string effect_text(const edge::Write& e) {
  return TraceLine("write").add("connection", e.connection).add("bytes", e.bytes).text();
}
std::string effect_text(const edge::Connect& e) {
  return TraceLine("connect")
      .add("connection", e.connection)
      .add("address", e.address)
      .add("read_first", e.high_priority)
      .text();
}
std::string effect_text(const edge::ShutdownWrite& e) {
  return TraceLine("shutdown_write").add("connection", e.connection).text();
}
std::string effect_text(const edge::Close& e) {
  return TraceLine("close").add("connection", e.connection).text();
}
std::string effect_text(const edge::DrainAndClose& e) {
  return TraceLine("drain_and_close").add("connection", e.connection).text();
}
std::string effect_text(const edge::ArmTimer& e) { return TraceLine("set_timer").add("at", e.at).text(); }
std::string effect_text(const edge::LogLine&) { return {}; }
std::string effect_text(const edge::StopAccepting&) { return "stop_accepting"; }
std::string effect_text(const edge::PersistOverrides& e) {
  return TraceLine("persist_overrides").add("text", e.overrides).text();
}
std::string effect_text(const edge::MembershipEffect& e) {
  const std::string inner = std::visit([](const auto& i) { return item_text(i); }, e.effect);
  return TraceLine("membership").add_inner("effect", inner).text();
}
std::string effect_text(const edge::PersistMembership& e) {
  TraceLine line("persist_members");
  line.add_inner("self", item_text(e.self));
  for (const peers::MemberUpdate& update : e.members) line.add_inner("member", item_text(update));
  return line.text();
}
std::string effect_text(const edge::StopMembership&) { return "membership_stop"; }
std::string effect_text(const edge::ConsensusEffect& e) {
  const std::string inner = std::visit([](const auto& i) { return item_text(i); }, e.effect);
  return TraceLine("consensus").add_inner("effect", inner).text();
}

}  // namespace

std::string text_of(const edge::Input& input) {
  return std::visit([](const auto& in) { return input_text(in); }, input);
}

std::string text_of(const edge::Effect& effect) {
  return std::visit([](const auto& e) { return effect_text(e); }, effect);
}

void record_proxy_step(GoldenRecord& record, dahliahall::Time now, const edge::Input& input,
                       const std::vector<edge::Effect>& effects) {
  record.add(std::to_string(now.count()) + " " + text_of(input));
  for (const edge::Effect& effect : effects) {
    const std::string text = text_of(effect);
    if (!text.empty()) record.add("  " + text);
  }
}

}  // namespace golden
