// SPDX-License-Identifier: MIT
#include "golden/consensus_trace.h"

#include <xxhash.h>

#include <algorithm>
#include <optional>
#include <variant>

#include "consensus.pb.h"
#include "golden/trace_line.h"

extern "C" {
#include <raft.h>
}

namespace golden {
namespace {

using namespace edge_proxy;

std::string label_of(consensus::Step step) {
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

std::string label_of(consensus::ChangeResult result) {
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

std::string describe(const consensus::Change& change) {
  return TraceLine("{Change")
             .field("id", change.id)
             .field("epoch", change.epoch)
             .field("key", change.key)
             .field("policy", change.policy)
             .field("committed", change.committed)
             .text() +
         "}";
}

std::string describe(const consensus::ChangeOutcome& outcome) {
  return TraceLine("{Outcome")
             .field("key", outcome.key)
             .verbatim("result", label_of(outcome.result))
             .field("epoch", outcome.epoch)
             .field("reason", outcome.reason)
             .text() +
         "}";
}

std::string describe_entries(const std::vector<consensus::IndexedEntry>& entries) {
  return list_of(entries, [](const auto& item) { return text_of(item.index) + ":" + text_of(item.entry); });
}

/// Returns the number of bytes that an encoded list of servers uses: a version and a count, and for each
/// server its id, its null-terminated address and its role.
std::size_t used_bytes_of_servers(const std::string& encoded) {
  constexpr std::size_t kHeaderBytes = 1 + sizeof(std::uint64_t);
  if (encoded.size() < kHeaderBytes) return encoded.size();
  std::size_t used = kHeaderBytes;
  for (auto servers = static_cast<unsigned char>(encoded[1]); servers > 0; --servers) {
    const std::size_t address_end = encoded.find('\0', used + sizeof(std::uint64_t));
    if (address_end == std::string::npos) return encoded.size();
    used = address_end + 2;
  }
  return std::min(used, encoded.size());
}

/// libraft leaves some bytes of its own entries uninitialized: all 8 bytes of a barrier and the padding of a
/// list of servers. They are set to zero for the record.
std::string without_undefined_bytes(const std::string& bytes) {
  consensus::pb::Envelope envelope;
  if (!envelope.ParseFromString(bytes) || !envelope.raft().has_append_entries()) return bytes;
  for (auto& entry : *envelope.mutable_raft()->mutable_append_entries()->mutable_entries()) {
    std::string data = entry.data();
    const std::size_t size = data.size();
    if (entry.type() == RAFT_BARRIER) data.clear();
    if (entry.type() == RAFT_CHANGE) data.resize(used_bytes_of_servers(data));
    data.resize(size, '\0');
    entry.set_data(data);
  }
  return envelope.SerializeAsString();
}

struct DescribeMessage {
  std::string operator()(const consensus::LeaseRequest& message) const {
    return TraceLine("LeaseRequest").field("number", message.number).text();
  }
  std::string operator()(const consensus::LeaseGrant& message) const {
    return TraceLine("LeaseGrant")
        .field("number", message.request_number)
        .field("epoch", message.epoch)
        .field("duration", message.duration)
        .field("log_index", message.index)
        .text();
  }
  std::string operator()(const consensus::LeadershipCheck& message) const {
    return TraceLine("LeadershipCheck").field("term", message.term).field("round", message.round).text();
  }
  std::string operator()(const consensus::LeadershipCheckReply& message) const {
    return TraceLine("LeadershipConfirmed").field("term", message.term).field("round", message.round).text();
  }
  std::string operator()(const consensus::LogPosition& message) const {
    return TraceLine("LogPosition").field("log_index", message.index).field("leader", message.leader).text();
  }
  std::string operator()(const consensus::PrepareReply& message) const {
    return TraceLine("Prepared")
        .field("change", message.change)
        .field("accepted", message.ready)
        .field("reason", message.reason)
        .text();
  }
  std::string operator()(const consensus::LeaseRevocation& message) const {
    return TraceLine("LeaseRevocation").field("term", message.term).field("epoch", message.epoch).text();
  }
  std::string operator()(const consensus::LeaseRevocationAck& message) const {
    return TraceLine("LeaseRevocationAck").field("term", message.term).field("epoch", message.epoch).text();
  }
  std::string operator()(const consensus::ProposeRequest& message) const {
    return TraceLine("Propose")
        .field("key", message.key)
        .field("base_epoch", message.base_epoch)
        .field("policy", message.policy)
        .text();
  }
  std::string operator()(const consensus::AbortRequest& message) const {
    return TraceLine("AbortRequest").field("change", message.change).text();
  }
  std::string operator()(const consensus::CatchUpRequest& message) const {
    return TraceLine("CatchUpRequest").field("after", message.after_index).text();
  }
  std::string operator()(const consensus::CatchUpResponse& message) const {
    return TraceLine("CatchUpResponse")
        .field("after", message.after_index)
        .field("up_to", message.up_to_index)
        .verbatim("entries", describe_entries(message.entries))
        .text();
  }
  std::string operator()(const consensus::Snapshot& message) const { return text_of(message); }
};

struct DescribeInput {
  std::string operator()(const consensus::MessageReceived& input) const {
    return TraceLine("MessageReceived")
        .field("from", input.from)
        .verbatim("message", text_of(input.message))
        .text();
  }
  std::string operator()(const consensus::TimerExpired&) const { return "TimerExpired"; }
  std::string operator()(const consensus::EntryApplied& input) const {
    return TraceLine("EntryApplied")
        .field("log_index", input.index)
        .verbatim("entry", input.entry ? text_of(*input.entry) : "none")
        .text();
  }
  std::string operator()(const consensus::SnapshotRestored& input) const {
    return TraceLine("SnapshotRestored").verbatim("snapshot", text_of(input.snapshot)).text();
  }
  std::string operator()(const consensus::BecameLeader& input) const {
    return TraceLine("BecameLeader")
        .field("term", input.term)
        .verbatim("voters", list_of(input.voters))
        .text();
  }
  std::string operator()(const consensus::BecameFollower& input) const {
    return TraceLine("BecameFollower").field("leader", input.leader).field("voter", input.is_voter).text();
  }
  std::string operator()(const consensus::VotersChanged& input) const {
    return TraceLine("VotersChanged").verbatim("voters", list_of(input.names)).text();
  }
  std::string operator()(const consensus::MembersChanged& input) const {
    return TraceLine("MembersChanged")
        .verbatim("reached",
                  list_of(input.reachable,
                          [](const auto& member) { return member.first + ":" + text_of(member.second); }))
        .text();
  }
  std::string operator()(const consensus::ProposeCall& input) const {
    return TraceLine("ProposeCall")
        .field("call", input.call)
        .field("key", input.key)
        .field("base_epoch", input.base_epoch)
        .field("policy", input.policy)
        .text();
  }
  std::string operator()(const consensus::AbortCall& input) const {
    return TraceLine("AbortCall").field("call", input.call).text();
  }
};

/// Returns no text for a log line.
struct DescribeEffect {
  std::optional<std::string> operator()(const consensus::SendMessage& effect) const {
    return TraceLine("Send").field("to", effect.to).verbatim("message", text_of(effect.message)).text();
  }
  std::optional<std::string> operator()(const consensus::AppendEntry& effect) const {
    return TraceLine("AppendEntry").verbatim("entry", text_of(effect.entry)).text();
  }
  std::optional<std::string> operator()(const consensus::CheckTerm& effect) const {
    return TraceLine("CheckTerm")
        .field("from", effect.from)
        .field("term", effect.check.term)
        .field("round", effect.check.round)
        .text();
  }
  std::optional<std::string> operator()(const consensus::PersistLearned& effect) const {
    return TraceLine("StoreCatchUp")
        .verbatim("content", std::visit(DescribeMessage{}, effect.learned))
        .text();
  }
  std::optional<std::string> operator()(const consensus::EpochChanged& effect) const {
    return TraceLine("ActivatePolicy")
        .verbatim("epoch", effect.epoch ? text_of(*effect.epoch) : "none")
        .field("policy", effect.policy)
        .text();
  }
  std::optional<std::string> operator()(const consensus::AdminReply& effect) const {
    return TraceLine("Answer")
        .field("call", effect.call)
        .field("status", effect.status)
        .field("body", effect.body)
        .text();
  }
  std::optional<std::string> operator()(const consensus::LogLine&) const { return std::nullopt; }
};

}  // namespace

std::string text_of(const consensus::Entry& entry) {
  return TraceLine("{Entry")
             .verbatim("step", label_of(entry.step))
             .field("change", entry.change)
             .field("key", entry.key)
             .field("base_epoch", entry.base_epoch)
             .field("policy", entry.policy)
             .field("reason", entry.reason)
             .text() +
         "}";
}

std::string text_of(const consensus::Message& message) {
  return "{" + std::visit(DescribeMessage{}, message) + "}";
}

std::string text_of(const consensus::Snapshot& snapshot) {
  return TraceLine("Snapshot")
      .field("log_index", snapshot.index)
      .field("epoch", snapshot.epoch)
      .field("key", snapshot.key)
      .field("policy", snapshot.policy)
      .verbatim("change", list_of(snapshot.change, [](const auto& change) { return describe(change); }))
      .verbatim("outcomes", list_of(snapshot.outcomes, [](const auto& outcome) { return describe(outcome); }))
      .text();
}

std::string text_of(const consensus::Input& input) { return std::visit(DescribeInput{}, input); }

std::string text_of(const consensus::LeaderActions& actions) {
  return TraceLine("LeaderActions")
      .verbatim("send", list_of(actions.messages,
                                [](const auto& item) { return item.to + ":" + text_of(item.message); }))
      .verbatim("append", list_of(actions.entries, [](const auto& entry) { return text_of(entry); }))
      .text();
}

void add_step(GoldenRecord& record, const std::string& member, consensus::Time now,
              const consensus::Input& input, const std::vector<consensus::Effect>& effects,
              const consensus::State& state) {
  if (effects.empty() && std::holds_alternative<consensus::TimerExpired>(input)) return;
  record.add(TraceLine(member)
                 .field("at", now)
                 .verbatim("input", text_of(input))
                 .field("next_timer", state.next_due())
                 .text());
  for (const consensus::Effect& effect : effects) {
    if (const auto text = std::visit(DescribeEffect{}, effect)) record.add("  " + *text);
  }
}

void add_log_output(GoldenRecord& record, const std::string& member,
                    const consensus::RaftLog::Output& output) {
  for (const auto& [to, message] : output.messages) {
    const std::string bytes = without_undefined_bytes(message);
    record.add(TraceLine(member)
                   .verbatim("log_send", to)
                   .field("size_bytes", bytes.size())
                   .field("checksum", static_cast<std::uint64_t>(XXH3_64bits(bytes.data(), bytes.size())))
                   .text());
  }
  for (const consensus::Input& input : output.inputs)
    record.add(TraceLine(member).verbatim("log_gives", text_of(input)).text());
}

}  // namespace golden
