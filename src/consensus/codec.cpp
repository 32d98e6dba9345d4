// SPDX-License-Identifier: MIT
#include "consensus/codec.h"

#include <algorithm>

#include "consensus.pb.h"

namespace edge_proxy::consensus {
namespace {

constexpr std::size_t kMaxTextBytes = 128 * 1024;  // of a policy, a key, a name or a reason
constexpr int kMaxEntries = 64;
constexpr int kMaxOutcomes = 256;

bool fits(const std::string& text) { return text.size() <= kMaxTextBytes; }

void write(const Entry& entry, pb::Entry& to) {
  to.set_step(static_cast<unsigned>(entry.step));
  to.set_change(entry.change);
  to.set_key(entry.key);
  to.set_base_epoch(entry.base_epoch);
  to.set_policy(entry.policy);
  to.set_reason(entry.reason);
}

std::optional<Entry> read(const pb::Entry& from) {
  if (from.step() >= kStepCount || !fits(from.key()) || !fits(from.policy()) || !fits(from.reason()))
    return std::nullopt;
  return Entry{static_cast<Step>(from.step()),
               from.change(),
               from.key(),
               from.base_epoch(),
               from.policy(),
               from.reason()};
}

/// Writes each kind of message to its field of the envelope.
struct EnvelopeWriter {
  pb::Envelope& envelope;

  void operator()(const LeaseRequest& message) const {
    envelope.mutable_lease_request()->set_number(message.number);
  }
  void operator()(const LeaseGrant& message) const {
    auto& written = *envelope.mutable_lease_grant();
    written.set_request_number(message.request_number), written.set_epoch(message.epoch),
        written.set_duration_us(message.duration.count()), written.set_index(message.index);
  }
  void operator()(const LeadershipCheck& message) const {
    envelope.mutable_leadership_check()->set_term(message.term),
        envelope.mutable_leadership_check()->set_round(message.round);
  }
  void operator()(const LeadershipCheckReply& message) const {
    envelope.mutable_leadership_check_reply()->set_term(message.term),
        envelope.mutable_leadership_check_reply()->set_round(message.round);
  }
  void operator()(const LogPosition& message) const {
    envelope.mutable_log_position()->set_index(message.index),
        envelope.mutable_log_position()->set_leader(message.leader);
  }
  void operator()(const PrepareReply& message) const {
    auto& written = *envelope.mutable_prepare_reply();
    written.set_change(message.change), written.set_ready(message.ready), written.set_reason(message.reason);
  }
  void operator()(const LeaseRevocation& message) const {
    envelope.mutable_lease_revocation()->set_term(message.term),
        envelope.mutable_lease_revocation()->set_epoch(message.epoch);
  }
  void operator()(const LeaseRevocationAck& message) const {
    envelope.mutable_lease_revocation_ack()->set_term(message.term),
        envelope.mutable_lease_revocation_ack()->set_epoch(message.epoch);
  }
  void operator()(const ProposeRequest& message) const {
    auto& written = *envelope.mutable_propose_request();
    written.set_key(message.key), written.set_base_epoch(message.base_epoch),
        written.set_policy(message.policy);
  }
  void operator()(const AbortRequest& message) const {
    envelope.mutable_abort_request()->set_change(message.change);
  }
  void operator()(const CatchUpRequest& message) const {
    envelope.mutable_catch_up_request()->set_after_index(message.after_index);
  }
  void operator()(const CatchUpResponse& message) const {
    auto& written = *envelope.mutable_catch_up_response();
    written.set_after_index(message.after_index), written.set_up_to_index(message.up_to_index);
    for (const auto& [index, entry] : message.entries) {
      auto& indexed = *written.add_entries();
      indexed.set_index(index);
      write(entry, *indexed.mutable_entry());
    }
  }
  void operator()(const Snapshot& message) const {
    consensus::write_snapshot(message, *envelope.mutable_policy_snapshot());
  }
};

std::optional<Message> read(const pb::CatchUpResponse& from) {
  if (from.entries_size() > kMaxEntries || from.up_to_index() < from.after_index()) return std::nullopt;
  CatchUpResponse response{from.after_index(), from.up_to_index(), {}};
  Index last = from.after_index();
  for (const pb::IndexedEntry& indexed : from.entries()) {
    const auto entry = read(indexed.entry());
    if (!entry || indexed.index() <= last || indexed.index() > from.up_to_index()) return std::nullopt;
    last = indexed.index();
    response.entries.push_back({last, *entry});
  }
  return response;
}

std::optional<Message> read_message(const pb::Envelope& envelope) {
  using Kind = pb::Envelope;
  switch (envelope.kind_case()) {
    case Kind::kLeaseRequest:
      return LeaseRequest{envelope.lease_request().number()};
    case Kind::kLeaseGrant:
      if (envelope.lease_grant().duration_us() <= 0) return std::nullopt;
      return LeaseGrant{envelope.lease_grant().request_number(), envelope.lease_grant().epoch(),
                        Time{envelope.lease_grant().duration_us()}, envelope.lease_grant().index()};
    case Kind::kLeadershipCheck:
      return LeadershipCheck{envelope.leadership_check().term(), envelope.leadership_check().round()};
    case Kind::kLeadershipCheckReply:
      return LeadershipCheckReply{envelope.leadership_check_reply().term(),
                                  envelope.leadership_check_reply().round()};
    case Kind::kLogPosition:
      if (!fits(envelope.log_position().leader())) return std::nullopt;
      return LogPosition{envelope.log_position().index(), envelope.log_position().leader()};
    case Kind::kPrepareReply:
      if (!fits(envelope.prepare_reply().reason())) return std::nullopt;
      return PrepareReply{envelope.prepare_reply().change(), envelope.prepare_reply().ready(),
                          envelope.prepare_reply().reason()};
    case Kind::kLeaseRevocation:
      return LeaseRevocation{envelope.lease_revocation().term(), envelope.lease_revocation().epoch()};
    case Kind::kLeaseRevocationAck:
      return LeaseRevocationAck{envelope.lease_revocation_ack().term(),
                                envelope.lease_revocation_ack().epoch()};
    case Kind::kProposeRequest:
      if (!fits(envelope.propose_request().key()) || !fits(envelope.propose_request().policy()))
        return std::nullopt;
      return ProposeRequest{envelope.propose_request().key(), envelope.propose_request().base_epoch(),
                            envelope.propose_request().policy()};
    case Kind::kAbortRequest:
      return AbortRequest{envelope.abort_request().change()};
    case Kind::kCatchUpRequest:
      return CatchUpRequest{envelope.catch_up_request().after_index()};
    case Kind::kCatchUpResponse:
      return read(envelope.catch_up_response());
    case Kind::kPolicySnapshot: {
      auto snapshot = consensus::read_snapshot(envelope.policy_snapshot());
      if (!snapshot) return std::nullopt;
      return std::move(*snapshot);
    }
    case Kind::kRaft:
    case Kind::kBootstrap:
    case Kind::KIND_NOT_SET:
      break;
  }
  return std::nullopt;
}

std::string serialize(pb::Envelope& envelope, Time lease) {
  envelope.set_lease_us(lease.count());
  return envelope.SerializeAsString();
}

}  // namespace

void write_snapshot(const Snapshot& snapshot, pb::PolicySnapshot& to) {
  to.set_index(snapshot.index);
  to.set_epoch(snapshot.epoch);
  to.set_key(snapshot.key);
  to.set_policy(snapshot.policy);
  for (const Change& change : snapshot.change) {
    auto& written = *to.mutable_change();
    written.set_id(change.id), written.set_epoch(change.epoch), written.set_committed(change.committed);
    written.set_key(change.key), written.set_policy(change.policy);
  }
  for (const ChangeOutcome& outcome : snapshot.outcomes) {
    auto& written = *to.add_outcomes();
    written.set_key(outcome.key), written.set_result(static_cast<unsigned>(outcome.result));
    written.set_epoch(outcome.epoch), written.set_reason(outcome.reason);
  }
}

std::optional<Snapshot> read_snapshot(const pb::PolicySnapshot& from) {
  if (!fits(from.key()) || !fits(from.policy()) || from.outcomes_size() > kMaxOutcomes) return std::nullopt;
  Snapshot snapshot{from.index(), from.epoch(), from.key(), from.policy(), {}, {}};
  if (from.has_change()) {
    const pb::Change& change = from.change();
    if (!fits(change.key()) || !fits(change.policy())) return std::nullopt;
    snapshot.change.push_back(
        {change.id(), change.epoch(), change.key(), change.policy(), change.committed()});
  }
  for (const pb::ChangeOutcome& outcome : from.outcomes()) {
    if (outcome.result() >= kChangeResultCount || !fits(outcome.key()) || !fits(outcome.reason()))
      return std::nullopt;
    snapshot.outcomes.push_back(
        {outcome.key(), static_cast<ChangeResult>(outcome.result()), outcome.epoch(), outcome.reason()});
  }
  return snapshot;
}

std::string encode(const Message& message, Time lease) {
  pb::Envelope envelope;
  std::visit(EnvelopeWriter{envelope}, message);
  return serialize(envelope, lease);
}
std::string encode(const pb::RaftMessage& message, Time lease) {
  pb::Envelope envelope;
  *envelope.mutable_raft() = message;
  return serialize(envelope, lease);
}
std::string encode(const pb::BootstrapMessage& message, Time lease) {
  pb::Envelope envelope;
  *envelope.mutable_bootstrap() = message;
  return serialize(envelope, lease);
}

std::optional<UserMessage> decode(std::string_view bytes, Time lease, bool* has_other_lease) {
  pb::Envelope envelope;
  if (!envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return std::nullopt;
  // Members with different lease durations would each assume too early that the other's lease has expired.
  if (envelope.lease_us() != lease.count()) {
    if (has_other_lease != nullptr) *has_other_lease = true;
    return std::nullopt;
  }
  if (envelope.kind_case() == pb::Envelope::kRaft) return RaftMessage{envelope.raft().SerializeAsString()};
  if (envelope.kind_case() == pb::Envelope::kBootstrap)
    return BootstrapMessage{envelope.bootstrap().SerializeAsString()};
  auto message = read_message(envelope);
  if (!message) return std::nullopt;
  return std::move(*message);
}

std::string encode(const Entry& entry) {
  pb::Entry message;
  write(entry, message);
  return message.SerializeAsString();
}
std::optional<Entry> decode_entry(std::string_view bytes) {
  pb::Entry message;
  if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return std::nullopt;
  return read(message);
}

}  // namespace edge_proxy::consensus
