// SPDX-License-Identifier: MIT
#include "consensus/codec.h"

#include <algorithm>

#include "consensus.pb.h"

namespace edge_proxy::consensus {
namespace {

constexpr std::size_t kMaxTextBytes = 128 * 1024;  // of a policy, a key or a reason
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

/// One of each kind, to its part of the wire's.
struct Writer {
  pb::Envelope& to;

  void operator()(const LeaseRequest& m) const { to.mutable_lease_request()->set_number(m.number); }
  void operator()(const LeaseGrant& m) const {
    auto& w = *to.mutable_lease_grant();
    w.set_request_number(m.request_number), w.set_epoch(m.epoch), w.set_duration_us(m.duration.count()),
        w.set_index(m.index);
  }
  void operator()(const LeadershipCheck& m) const {
    to.mutable_leadership_check()->set_term(m.term), to.mutable_leadership_check()->set_round(m.round);
  }
  void operator()(const LeadershipCheckReply& m) const {
    to.mutable_leadership_check_reply()->set_term(m.term),
        to.mutable_leadership_check_reply()->set_round(m.round);
  }
  void operator()(const LogPosition& m) const {
    to.mutable_log_position()->set_index(m.index), to.mutable_log_position()->set_leader(m.leader);
  }
  void operator()(const PrepareReply& m) const {
    auto& w = *to.mutable_prepare_reply();
    w.set_change(m.change), w.set_ready(m.ready), w.set_reason(m.reason);
  }
  void operator()(const LeaseRevocation& m) const {
    to.mutable_lease_revocation()->set_term(m.term), to.mutable_lease_revocation()->set_epoch(m.epoch);
  }
  void operator()(const LeaseRevocationAck& m) const {
    to.mutable_lease_revocation_ack()->set_term(m.term),
        to.mutable_lease_revocation_ack()->set_epoch(m.epoch);
  }
  void operator()(const ProposeRequest& m) const {
    auto& w = *to.mutable_propose_request();
    w.set_key(m.key), w.set_base_epoch(m.base_epoch), w.set_policy(m.policy);
  }
  void operator()(const AbortRequest& m) const { to.mutable_abort_request()->set_change(m.change); }
  void operator()(const CatchUpRequest& m) const {
    to.mutable_catch_up_request()->set_after_index(m.after_index);
  }
  void operator()(const CatchUpResponse& m) const {
    auto& w = *to.mutable_catch_up_response();
    w.set_after_index(m.after_index), w.set_up_to_index(m.up_to_index);
    for (const auto& [index, entry] : m.entries) {
      auto& indexed = *w.add_entries();
      indexed.set_index(index);
      write(entry, *indexed.mutable_entry());
    }
  }
  void operator()(const Snapshot& m) const { consensus::write_snapshot(m, *to.mutable_policy_snapshot()); }
};

std::optional<Message> read(const pb::CatchUpResponse& from) {
  if (from.entries_size() > kMaxEntries || from.up_to_index() < from.after_index()) return std::nullopt;
  CatchUpResponse response{from.after_index(), from.up_to_index(), {}};
  Index last = from.after_index();
  for (const pb::IndexedEntry& indexed : from.entries()) {
    const auto entry = read(indexed.entry());
    if (!entry || indexed.index() <= last || indexed.index() > from.up_to_index()) return std::nullopt;
    last = indexed.index();
    response.entries.emplace_back(last, *entry);
  }
  return response;
}

std::optional<Message> read_message(const pb::Envelope& c) {
  using Kind = pb::Envelope;
  switch (c.kind_case()) {
    case Kind::kLeaseRequest:
      return LeaseRequest{c.lease_request().number()};
    case Kind::kLeaseGrant:
      if (c.lease_grant().duration_us() <= 0) return std::nullopt;
      return LeaseGrant{c.lease_grant().request_number(), c.lease_grant().epoch(),
                        Time{c.lease_grant().duration_us()}, c.lease_grant().index()};
    case Kind::kLeadershipCheck:
      return LeadershipCheck{c.leadership_check().term(), c.leadership_check().round()};
    case Kind::kLeadershipCheckReply:
      return LeadershipCheckReply{c.leadership_check_reply().term(), c.leadership_check_reply().round()};
    case Kind::kLogPosition:
      if (!fits(c.log_position().leader())) return std::nullopt;
      return LogPosition{c.log_position().index(), c.log_position().leader()};
    case Kind::kPrepareReply:
      if (!fits(c.prepare_reply().reason())) return std::nullopt;
      return PrepareReply{c.prepare_reply().change(), c.prepare_reply().ready(), c.prepare_reply().reason()};
    case Kind::kLeaseRevocation:
      return LeaseRevocation{c.lease_revocation().term(), c.lease_revocation().epoch()};
    case Kind::kLeaseRevocationAck:
      return LeaseRevocationAck{c.lease_revocation_ack().term(), c.lease_revocation_ack().epoch()};
    case Kind::kProposeRequest:
      if (!fits(c.propose_request().key()) || !fits(c.propose_request().policy())) return std::nullopt;
      return ProposeRequest{c.propose_request().key(), c.propose_request().base_epoch(),
                            c.propose_request().policy()};
    case Kind::kAbortRequest:
      return AbortRequest{c.abort_request().change()};
    case Kind::kCatchUpRequest:
      return CatchUpRequest{c.catch_up_request().after_index()};
    case Kind::kCatchUpResponse:
      return read(c.catch_up_response());
    case Kind::kPolicySnapshot: {
      auto snapshot = consensus::read_snapshot(c.policy_snapshot());
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

std::string text_of(pb::Envelope& envelope, Time lease) {
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
    auto& w = *to.mutable_change();
    w.set_id(change.id), w.set_epoch(change.epoch), w.set_committed(change.committed);
    w.set_key(change.key), w.set_policy(change.policy);
  }
  for (const ChangeOutcome& outcome : snapshot.outcomes) {
    auto& w = *to.add_outcomes();
    w.set_key(outcome.key), w.set_result(static_cast<unsigned>(outcome.result));
    w.set_epoch(outcome.epoch), w.set_reason(outcome.reason);
  }
}

std::optional<Snapshot> read_snapshot(const pb::PolicySnapshot& from) {
  if (!fits(from.key()) || !fits(from.policy()) || from.outcomes_size() > kMaxOutcomes) return std::nullopt;
  Snapshot snapshot{from.index(), from.epoch(), from.key(), from.policy(), {}, {}};
  if (from.has_change()) {
    const pb::Change& c = from.change();
    if (!fits(c.key()) || !fits(c.policy())) return std::nullopt;
    snapshot.change.push_back({c.id(), c.epoch(), c.key(), c.policy(), c.committed()});
  }
  for (const pb::ChangeOutcome& o : from.outcomes()) {
    if (o.result() >= kChangeResultCount || !fits(o.key()) || !fits(o.reason())) return std::nullopt;
    snapshot.outcomes.push_back({o.key(), static_cast<ChangeResult>(o.result()), o.epoch(), o.reason()});
  }
  return snapshot;
}

std::string encode(const Message& message, Time lease) {
  pb::Envelope envelope;
  std::visit(Writer{envelope}, message);
  return text_of(envelope, lease);
}
std::string encode(const pb::RaftMessage& message, Time lease) {
  pb::Envelope envelope;
  *envelope.mutable_raft() = message;
  return text_of(envelope, lease);
}
std::string encode(const pb::BootstrapMessage& message, Time lease) {
  pb::Envelope envelope;
  *envelope.mutable_bootstrap() = message;
  return text_of(envelope, lease);
}

std::optional<UserMessage> decode(std::string_view bytes, Time lease, bool* unlike) {
  pb::Envelope envelope;
  if (!envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return std::nullopt;
  // Guards against two whose leases are not alike: each would take the other's for run out too early.
  if (envelope.lease_us() != lease.count()) {
    if (unlike != nullptr) *unlike = true;
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
  pb::Entry w;
  write(entry, w);
  return w.SerializeAsString();
}
std::optional<Entry> decode_entry(std::string_view bytes) {
  pb::Entry w;
  if (!w.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return std::nullopt;
  return read(w);
}

}  // namespace edge_proxy::consensus
