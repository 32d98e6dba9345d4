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

void write(Writer& writer, const char* key, std::string_view value) {
  writer.Key(key);
  writer.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
}
void write(Writer& writer, const char* key, std::uint64_t value) {
  writer.Key(key);
  writer.Uint64(value);
}
void write_flag(Writer& writer, const char* key, bool value) {
  writer.Key(key);
  writer.Bool(value);
}
void write_fraction(Writer& writer, const char* key, double value) {
  writer.Key(key);
  writer.Double(value);
}

void write_suspicion(Writer& writer, const Member& member) {
  if (member.update.status == MemberStatus::suspect) {
    writer.Key("suspected_by");
    writer.StartArray();
    for (const std::string& reporter : member.suspected_by) writer.String(reporter.c_str());
    writer.EndArray();
  } else if (!member.update.reported_by.empty()) {
    write(writer, "by", member.update.reported_by);
  }
}

void write_member(Writer& writer, const Member& member, bool is_self, Time now) {
  const MemberUpdate& update = member.update;
  writer.StartObject();
  write(writer, "name", update.name);
  write(writer, "state", name_of(update.status));
  write(writer, "since_ms", static_cast<std::uint64_t>((now - member.status_since).count() / 1000));
  write(writer, "incarnation", update.incarnation);
  write(writer, "disk", std::to_string(update.disk_id));
  write(writer, "address", update.address);
  write(writer, "zone", static_cast<std::uint64_t>(update.zone));
  if (is_self) {
    write_flag(writer, "self", true);
  } else {
    write(writer, "way", name_of(member.reachability));
    if (member.last_heard > Time{0}) write(writer, "heard_ms", milliseconds_between(member.last_heard, now));
  }
  write_suspicion(writer, member);
  writer.EndObject();
}

void write_members(Writer& writer, const State& state, Time now) {
  std::vector<const Member*> members;
  for (const auto& [name, member] : state.view().members()) members.push_back(&member);
  std::sort(members.begin(), members.end(),
            [](const Member* left, const Member* right) { return left->update.name < right->update.name; });
  writer.Key("members");
  writer.StartArray();
  for (const Member* member : members) {
    write_member(writer, *member, member->update.name == state.settings().name, now);
  }
  writer.EndArray();
}

void write_quota(Writer& writer, const admission::QuotaLeases& quota, Time now) {
  const admission::QuotaLeases::QuotaShare share = quota.share(now);
  writer.Key("share");
  writer.StartObject();
  write_flag(writer, "held", share.has_lease);
  write_fraction(writer, "of_all", share.of_cluster);
  write_fraction(writer, "of_zone", share.of_zone);
  write(writer, "ghosts", quota.unfenced_count());
  writer.EndObject();
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
  Writer writer(text);
  const View& view = state.view();
  const auto [differing, differing_since] = state.members_with_other_view();
  writer.StartObject();
  write(writer, "name", state.settings().name);
  write(writer, "cluster", state.settings().cluster);
  write(writer, "stands", name_of(view.partition_status()));
  write(writer, "registered", view.registered());
  write(writer, "reached", view.reachable());
  write(writer, "doubt", static_cast<std::uint64_t>(state.local_health()));
  write(writer, "digest", std::to_string(view.digest()));
  write(writer, "differing", differing);
  write_quota(writer, state.quota(), now);
  if (differing > 0) write(writer, "differing_ms", milliseconds_between(differing_since, now));
  write_members(writer, state, now);
  writer.EndObject();
  return std::string(text.GetString(), text.GetSize()) + "\n";
}

std::vector<Metric> metrics(const State& state, Time now) {
  std::vector<Metric> all = gauges(state, now);
  add_counters(all, state.counters());
  return all;
}

}  // namespace edge_proxy::membership
