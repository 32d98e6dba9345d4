// SPDX-License-Identifier: MIT
#include "membership/report.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>

namespace edge_proxy::membership {
namespace {

using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

void put(Writer& out, const char* key, std::string_view value) {
  out.Key(key);
  out.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
}
void put(Writer& out, const char* key, std::uint64_t value) {
  out.Key(key);
  out.Uint64(value);
}
void put_ago(Writer& out, const char* key, Time now, Time then) {
  put(out, key, static_cast<std::uint64_t>(std::max<Time::rep>(0, (now - then).count()) / 1000));
}

void put(Writer& out, const Member& member, bool self, Time now) {
  const MemberUpdate& news = member.update;
  out.StartObject();
  put(out, "name", news.name);
  put(out, "state", name_of(news.status));
  put(out, "since_ms", static_cast<std::uint64_t>((now - member.status_since).count() / 1000));
  put(out, "incarnation", news.incarnation);
  put(out, "disk", std::to_string(news.disk_id));
  put(out, "address", news.address);
  put(out, "zone", static_cast<std::uint64_t>(news.zone));
  if (self) {
    out.Key("self");
    out.Bool(true);
  } else {
    put(out, "way", name_of(member.reachability));
    if (member.last_heard > Time{0}) put_ago(out, "heard_ms", now, member.last_heard);
  }
  if (news.status == MemberStatus::suspect) {
    out.Key("suspected_by");
    out.StartArray();
    for (const std::string& by : member.suspected_by) out.String(by.c_str());
    out.EndArray();
  } else if (!news.reported_by.empty()) {
    put(out, "by", news.reported_by);
  }
  out.EndObject();
}

}  // namespace

std::string report(const State& state, Time now) {
  rapidjson::StringBuffer text;
  Writer out(text);
  const View& view = state.view();
  const auto [differing, since] = state.members_with_other_view();
  out.StartObject();
  put(out, "name", state.settings().name);
  put(out, "cluster", state.settings().cluster);
  put(out, "stands", name_of(view.partition_status()));
  put(out, "registered", view.registered());
  put(out, "reached", view.reachable());
  put(out, "doubt", static_cast<std::uint64_t>(state.local_health()));
  put(out, "digest", std::to_string(view.digest()));
  put(out, "differing", differing);
  const admission::QuotaLeases::QuotaShare part = state.quota().share(now);
  out.Key("share");
  out.StartObject();
  out.Key("held");
  out.Bool(part.has_lease);
  out.Key("of_all");
  out.Double(part.of_cluster);
  out.Key("of_zone");
  out.Double(part.of_zone);
  put(out, "ghosts", state.quota().unfenced_count());
  out.EndObject();
  if (differing > 0) put_ago(out, "differing_ms", now, since);
  std::vector<const Member*> members;
  for (const auto& [name, member] : view.members()) members.push_back(&member);
  std::sort(members.begin(), members.end(),
            [](const Member* a, const Member* b) { return a->update.name < b->update.name; });
  out.Key("members");
  out.StartArray();
  for (const Member* member : members) put(out, *member, member->update.name == state.settings().name, now);
  out.EndArray();
  out.EndObject();
  return std::string(text.GetString(), text.GetSize()) + "\n";
}

std::vector<Metric> metrics(const State& state, Time now) {
  const Counters& counts = state.counters();
  const auto [differing, since] = state.members_with_other_view();
  std::vector<Metric> all{
      {"registered", state.view().registered()},
      {"reached", state.view().reachable()},
      {"stands", static_cast<std::uint64_t>(state.view().partition_status())},
      {"doubt", static_cast<std::uint64_t>(state.local_health())},
      {"differing", differing},
      {"differing_ms", static_cast<std::uint64_t>(std::max<Time::rep>(0, (now - since).count()) / 1000)},
      {"entries", state.entries()},
      {"share_ppm", static_cast<std::uint64_t>(state.quota().share(now).of_cluster * 1e6)},
      {"share_held", state.quota().share(now).has_lease ? 1U : 0U},
      {"ghosts", state.quota().unfenced_count()},
      {"probes", counts.pings, true},
      {"unanswered", counts.unanswered_pings, true},
      {"suspected", counts.suspected, true},
      {"died", counts.declared_dead, true},
      {"refuted", counts.refutations, true},
      {"exchanges", counts.full_syncs, true},
      {"not_for_here", counts.wrong_recipient, true},
      {"turned_away", counts.table_full, true}};
  for (std::size_t i = 0; i < kDecodeErrorCount; ++i)
    all.push_back(
        {"refused." + std::string(name_of(static_cast<DecodeError>(i))), counts.decode_errors[i], true});
  return all;
}

}  // namespace edge_proxy::membership
