// SPDX-License-Identifier: MIT
#include "proxy/cluster/policy_report.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <string_view>

namespace edge_proxy::proxy {
namespace {

using JsonWriter = rapidjson::Writer<rapidjson::StringBuffer>;

void write_string(JsonWriter& json, const std::string& value) {
  json.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
}

void write_member(JsonWriter& json, const char* key, const std::string& value) {
  json.Key(key);
  write_string(json, value);
}

void write_member(JsonWriter& json, const char* key, std::uint64_t value) {
  json.Key(key);
  json.Uint64(value);
}

template <typename Names>
void write_names(JsonWriter& json, const char* key, const Names& names) {
  json.Key(key);
  json.StartArray();
  for (const std::string& name : names) write_string(json, name);
  json.EndArray();
}

/// Writes ids as strings, because JSON parsers may lose precision in 64-bit numbers.
void write_voters(JsonWriter& json, const std::map<std::string, std::uint64_t>& voters) {
  json.Key("voters");
  json.StartObject();
  for (const auto& [name, id] : voters) write_member(json, name.c_str(), std::to_string(id));
  json.EndObject();
}

/// Writes the change in progress, if any.
void write_change(JsonWriter& json, const consensus::PolicyStateMachine& policy) {
  if (!policy.change()) return;
  json.Key("change");
  json.StartObject();
  write_member(json, "key", policy.change()->key);
  write_member(json, "state", std::string(policy.change()->committed ? "committed" : "proposed"));
  write_member(json, "epoch", policy.change()->epoch);
  json.EndObject();
}

/// Writes, on the leader only, the members that are ready for a change and those that still block it.
void write_lease_manager(JsonWriter& json, const consensus::State& state, Time now) {
  if (!state.lease_manager()) return;
  write_names(json, "prepared", state.lease_manager()->ready_members());
  write_names(json, "waits_for",
              state.lease_manager()->blocking_members(state.policy_state(), state.members(), now));
}

}  // namespace

std::string policy_report(const consensus::State& state, const PolicyReportContext& context) {
  const consensus::PolicyStateMachine& policy = state.policy_state();
  rapidjson::StringBuffer text;
  JsonWriter json(text);
  json.StartObject();
  write_member(json, "epoch", policy.epoch());
  write_member(json, "key", policy.key());
  write_member(json, "policy", policy.policy());
  json.Key("decides");
  json.Bool(context.decision_epoch.has_value());
  write_member(json, "leader", state.leader());
  write_member(json, "log_index", policy.index());
  write_member(json, "log_id", std::to_string(context.raft_id));
  write_voters(json, context.voters);
  write_change(json, policy);
  write_lease_manager(json, state, context.now);
  json.EndObject();
  return std::string(text.GetString(), text.GetSize()) + "\n";
}

std::vector<Metric> policy_metrics(const consensus::State& state, bool is_deciding, std::uint64_t rejected) {
  const consensus::Counters& counters = state.counters();
  const std::uint64_t is_leader = state.lease_manager() ? 1 : 0;
  return {
      {"policy.epoch", state.policy_state().epoch(), MetricKind::gauge},
      {"policy.decides", is_deciding ? 1U : 0U, MetricKind::gauge},
      {"policy.leads", is_leader, MetricKind::gauge},
      {"policy.log_index", state.policy_state().index(), MetricKind::gauge},
      {"policy.asks", counters.lease_requests, MetricKind::counter},
      {"policy.grants", counters.lease_grants, MetricKind::counter},
      {"policy.lapses", counters.lease_expiries, MetricKind::counter},
      {"policy.refused", rejected, MetricKind::counter},
      {"policy.broken_promises", counters.unleased_periods, MetricKind::counter},
      {"policy.changes", counters.epoch_changes, MetricKind::counter},
      {"policy.aborts", counters.aborts, MetricKind::counter},
  };
}

}  // namespace edge_proxy::proxy
