// SPDX-License-Identifier: MIT
#include "membership/report.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <string_view>

namespace edge_proxy::membership {
namespace {

using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

constexpr double kPartsPerMillion = 1e6;

std::uint64_t milliseconds_between(Time earlier, Time later) {
  return static_cast<std::uint64_t>(std::max<Time::rep>(0, (later - earlier).count()) / 1000);
}

// ---- JSON ----

void write(Writer& out, const char* key, std::string_view value) {
  out.Key(key);
  out.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
}
void write(Writer& out, const char* key, std::uint64_t value) {
  out.Key(key);
  out.Uint64(value);
}
void write_flag(Writer& out, const char* key, bool value) {
  out.Key(key);
  out.Bool(value);
}
void write_fraction(Writer& out, const char* key, double value) {
  out.Key(key);
  out.Double(value);
}

void write_suspicion(Writer& out, const Member& member) {
  if (member.update.status == MemberStatus::suspect) {
    out.Key("suspected_by");
    out.StartArray();
    for (const std::string& reporter : member.suspected_by) out.String(reporter.c_str());
    out.EndArray();
  } else if (!member.update.reported_by.empty()) {
    write(out, "by", member.update.reported_by);
  }
}

void write_member(Writer& out, const Member& member, bool is_self, Time now) {
  const MemberUpdate& update = member.update;
  out.StartObject();
  write(out, "name", update.name);
  write(out, "state", name_of(update.status));
  write(out, "since_ms", static_cast<std::uint64_t>((now - member.status_since).count() / 1000));
  write(out, "incarnation", update.incarnation);
  write(out, "disk", std::to_string(update.disk_id));
  write(out, "address", update.address);
  write(out, "zone", static_cast<std::uint64_t>(update.zone));
  if (is_self) {
    write_flag(out, "self", true);
  } else {
    write(out, "way", name_of(member.reachability));
    if (member.last_heard > Time{0}) write(out, "heard_ms", milliseconds_between(member.last_heard, now));
  }
  write_suspicion(out, member);
  out.EndObject();
}

void write_members(Writer& out, const State& state, Time now) {
  std::vector<const Member*> members;
  for (const auto& [name, member] : state.view().members()) members.push_back(&member);
  std::sort(members.begin(), members.end(),
            [](const Member* left, const Member* right) { return left->update.name < right->update.name; });
  out.Key("members");
  out.StartArray();
  for (const Member* member : members) {
    write_member(out, *member, member->update.name == state.settings().name, now);
  }
  out.EndArray();
}

void write_quota(Writer& out, const admission::QuotaLeases& quota, Time now) {
  const admission::QuotaLeases::QuotaShare share = quota.share(now);
  out.Key("share");
  out.StartObject();
  write_flag(out, "held", share.has_lease);
  write_fraction(out, "of_all", share.of_cluster);
  write_fraction(out, "of_zone", share.of_zone);
  write(out, "ghosts", quota.unfenced_count());
  out.EndObject();
}

// ---- Metrics ----

std::vector<Metric> gauges(const State& state, Time now) {
  const View& view = state.view();
  const auto [differing, differing_since] = state.members_with_other_view();
  const admission::QuotaLeases::QuotaShare share = state.quota().share(now);
  return {{"registered", view.registered()},
          {"reached", view.reachable()},
          {"stands", static_cast<std::uint64_t>(view.partition_status())},
          {"doubt", static_cast<std::uint64_t>(state.local_health())},
          {"differing", differing},
          {"differing_ms", milliseconds_between(differing_since, now)},
          {"entries", state.entries()},
          {"share_ppm", static_cast<std::uint64_t>(share.of_cluster * kPartsPerMillion)},
          {"share_held", share.has_lease ? 1U : 0U},
          {"ghosts", state.quota().unfenced_count()}};
}

void add_counters(std::vector<Metric>& metrics, const Counters& counters) {
  const auto add = [&metrics](std::string name, std::uint64_t value) {
    metrics.push_back({std::move(name), value, true});
  };
  add("probes", counters.pings);
  add("unanswered", counters.unanswered_pings);
  add("suspected", counters.suspected);
  add("died", counters.declared_dead);
  add("refuted", counters.refutations);
  add("exchanges", counters.full_syncs);
  add("not_for_here", counters.wrong_recipient);
  add("turned_away", counters.table_full);
  for (std::size_t i = 0; i < kDecodeErrorCount; ++i) {
    add("refused." + std::string(name_of(static_cast<DecodeError>(i))), counters.decode_errors[i]);
  }
}

}  // namespace

std::string report(const State& state, Time now) {
  rapidjson::StringBuffer text;
  Writer out(text);
  const View& view = state.view();
  const auto [differing, differing_since] = state.members_with_other_view();
  out.StartObject();
  write(out, "name", state.settings().name);
  write(out, "cluster", state.settings().cluster);
  write(out, "stands", name_of(view.partition_status()));
  write(out, "registered", view.registered());
  write(out, "reached", view.reachable());
  write(out, "doubt", static_cast<std::uint64_t>(state.local_health()));
  write(out, "digest", std::to_string(view.digest()));
  write(out, "differing", differing);
  write_quota(out, state.quota(), now);
  if (differing > 0) write(out, "differing_ms", milliseconds_between(differing_since, now));
  write_members(out, state, now);
  out.EndObject();
  return std::string(text.GetString(), text.GetSize()) + "\n";
}

std::vector<Metric> metrics(const State& state, Time now) {
  std::vector<Metric> all = gauges(state, now);
  add_counters(all, state.counters());
  return all;
}

}  // namespace edge_proxy::membership
