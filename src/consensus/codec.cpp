// SPDX-License-Identifier: MIT
#include "consensus/codec.h"

#include <algorithm>

#include "consensus.pb.h"

namespace edge_proxy::consensus {
namespace {

constexpr std::size_t kMostText = 128 * 1024;  // of a policy, a key or a reason
constexpr int kMostEntries = 64;
constexpr int kMostOutcomes = 256;

bool fits(const std::string& text) { return text.size() <= kMostText; }

void write(const Entry& entry, pb::Entry& to) {
  to.set_step(static_cast<unsigned>(entry.step));
  to.set_change(entry.change);
  to.set_key(entry.key);
  to.set_base(entry.base_epoch);
  to.set_policy(entry.policy);
  to.set_reason(entry.reason);
}

std::optional<Entry> read(const pb::Entry& from) {
  if (from.step() >= kStepCount || !fits(from.key()) || !fits(from.policy()) || !fits(from.reason()))
    return std::nullopt;
  return Entry{
      static_cast<Step>(from.step()), from.change(), from.key(), from.base(), from.policy(), from.reason()};
}

/// One of each kind, to its part of the wire's.
struct Writer {
  pb::Carried& to;

  void operator()(const LeaseRequest& m) const { to.mutable_ask()->set_number(m.number); }
  void operator()(const LeaseGrant& m) const {
    auto& w = *to.mutable_grant();
    w.set_number(m.request_number), w.set_epoch(m.epoch), w.set_span_us(m.duration.count()),
        w.set_index(m.index);
  }
  void operator()(const LeadershipCheck& m) const {
    to.mutable_confirm()->set_term(m.term), to.mutable_confirm()->set_round(m.round);
  }
  void operator()(const LeadershipCheckReply& m) const {
    to.mutable_confirmed()->set_term(m.term), to.mutable_confirmed()->set_round(m.round);
  }
  void operator()(const LogPosition& m) const {
    to.mutable_look()->set_index(m.index), to.mutable_look()->set_leader(m.leader);
  }
  void operator()(const PrepareReply& m) const {
    auto& w = *to.mutable_prepared();
    w.set_change(m.change), w.set_good(m.ready), w.set_reason(m.reason);
  }
  void operator()(const LeaseRevocation& m) const {
    to.mutable_yield()->set_term(m.term), to.mutable_yield()->set_epoch(m.epoch);
  }
  void operator()(const LeaseRevocationAck& m) const {
    to.mutable_yielded()->set_term(m.term), to.mutable_yielded()->set_epoch(m.epoch);
  }
  void operator()(const ProposeRequest& m) const {
    auto& w = *to.mutable_propose();
    w.set_key(m.key), w.set_base(m.base_epoch), w.set_policy(m.policy);
  }
  void operator()(const AbortRequest& m) const { to.mutable_abort()->set_change(m.change); }
  void operator()(const CatchUpRequest& m) const { to.mutable_pull()->set_after(m.after_index); }
  void operator()(const CatchUpResponse& m) const {
    auto& w = *to.mutable_pulled();
    w.set_after(m.after_index), w.set_upto(m.up_to_index);
    for (const auto& [index, entry] : m.entries) {
      auto& placed = *w.add_entries();
      placed.set_index(index);
      write(entry, *placed.mutable_entry());
    }
  }
  void operator()(const Snapshot& m) const { consensus::write_snapshot(m, *to.mutable_whole()); }
};

std::optional<Message> read(const pb::Pulled& from) {
  if (from.entries_size() > kMostEntries || from.upto() < from.after()) return std::nullopt;
  CatchUpResponse pulled{from.after(), from.upto(), {}};
  Index last = from.after();
  for (const pb::Placed& placed : from.entries()) {
    const auto entry = read(placed.entry());
    if (!entry || placed.index() <= last || placed.index() > from.upto()) return std::nullopt;
    last = placed.index();
    pulled.entries.emplace_back(last, *entry);
  }
  return pulled;
}

std::optional<Message> read_message(const pb::Carried& c) {
  using Kind = pb::Carried;
  switch (c.kind_case()) {
    case Kind::kAsk:
      return LeaseRequest{c.ask().number()};
    case Kind::kGrant:
      if (c.grant().span_us() <= 0) return std::nullopt;
      return LeaseGrant{c.grant().number(), c.grant().epoch(), Time{c.grant().span_us()}, c.grant().index()};
    case Kind::kConfirm:
      return LeadershipCheck{c.confirm().term(), c.confirm().round()};
    case Kind::kConfirmed:
      return LeadershipCheckReply{c.confirmed().term(), c.confirmed().round()};
    case Kind::kLook:
      if (!fits(c.look().leader())) return std::nullopt;
      return LogPosition{c.look().index(), c.look().leader()};
    case Kind::kPrepared:
      if (!fits(c.prepared().reason())) return std::nullopt;
      return PrepareReply{c.prepared().change(), c.prepared().good(), c.prepared().reason()};
    case Kind::kYield:
      return LeaseRevocation{c.yield().term(), c.yield().epoch()};
    case Kind::kYielded:
      return LeaseRevocationAck{c.yielded().term(), c.yielded().epoch()};
    case Kind::kPropose:
      if (!fits(c.propose().key()) || !fits(c.propose().policy())) return std::nullopt;
      return ProposeRequest{c.propose().key(), c.propose().base(), c.propose().policy()};
    case Kind::kAbort:
      return AbortRequest{c.abort().change()};
    case Kind::kPull:
      return CatchUpRequest{c.pull().after()};
    case Kind::kPulled:
      return read(c.pulled());
    case Kind::kWhole: {
      auto whole = consensus::read_snapshot(c.whole());
      if (!whole) return std::nullopt;
      return std::move(*whole);
    }
    case Kind::kLog:
    case Kind::kBorn:
    case Kind::KIND_NOT_SET:
      break;
  }
  return std::nullopt;
}

std::string text_of(pb::Carried& carried, Time lease) {
  carried.set_lease_us(lease.count());
  return carried.SerializeAsString();
}

}  // namespace

void write_snapshot(const Snapshot& whole, pb::Whole& to) {
  to.set_index(whole.index);
  to.set_epoch(whole.epoch);
  to.set_key(whole.key);
  to.set_policy(whole.policy);
  for (const Change& change : whole.change) {
    auto& w = *to.mutable_change();
    w.set_id(change.id), w.set_epoch(change.epoch), w.set_committed(change.committed);
    w.set_key(change.key), w.set_policy(change.policy);
  }
  for (const ChangeOutcome& outcome : whole.outcomes) {
    auto& w = *to.add_outcomes();
    w.set_key(outcome.key), w.set_fate(static_cast<unsigned>(outcome.result));
    w.set_epoch(outcome.epoch), w.set_reason(outcome.reason);
  }
}

std::optional<Snapshot> read_snapshot(const pb::Whole& from) {
  if (!fits(from.key()) || !fits(from.policy()) || from.outcomes_size() > kMostOutcomes) return std::nullopt;
  Snapshot whole{from.index(), from.epoch(), from.key(), from.policy(), {}, {}};
  if (from.has_change()) {
    const pb::Change& c = from.change();
    if (!fits(c.key()) || !fits(c.policy())) return std::nullopt;
    whole.change.push_back({c.id(), c.epoch(), c.key(), c.policy(), c.committed()});
  }
  for (const pb::Outcome& o : from.outcomes()) {
    if (o.fate() >= kChangeResultCount || !fits(o.key()) || !fits(o.reason())) return std::nullopt;
    whole.outcomes.push_back({o.key(), static_cast<ChangeResult>(o.fate()), o.epoch(), o.reason()});
  }
  return whole;
}

std::string encode(const Message& message, Time lease) {
  pb::Carried carried;
  std::visit(Writer{carried}, message);
  return text_of(carried, lease);
}
std::string encode(const pb::LogMessage& message, Time lease) {
  pb::Carried carried;
  *carried.mutable_log() = message;
  return text_of(carried, lease);
}
std::string encode(const pb::Born& message, Time lease) {
  pb::Carried carried;
  *carried.mutable_born() = message;
  return text_of(carried, lease);
}

std::optional<UserMessage> decode(std::string_view bytes, Time lease, bool* unlike) {
  pb::Carried carried;
  if (!carried.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return std::nullopt;
  // Guards against two whose leases are not alike: each would take the other's for run out too early.
  if (carried.lease_us() != lease.count()) {
    if (unlike != nullptr) *unlike = true;
    return std::nullopt;
  }
  if (carried.kind_case() == pb::Carried::kLog) return RaftMessage{carried.log().SerializeAsString()};
  if (carried.kind_case() == pb::Carried::kBorn) return BootstrapMessage{carried.born().SerializeAsString()};
  auto message = read_message(carried);
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
