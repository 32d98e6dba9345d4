// SPDX-License-Identifier: MIT
#include "proxy/overrides/override_table.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <limits>
#include <system_error>
#include <tuple>

#include "base/hash.h"
#include "proxy/resource_limits.h"

namespace edge_proxy::proxy {
namespace {

// The prefixes of stored lines.
constexpr std::string_view kSuspendedPrefix = "out ";
constexpr std::string_view kResumedPrefix = "in ";
constexpr std::string_view kCalledPrefix = "call ";
constexpr std::string_view kPolicyResumedPrefix = "warm ";
constexpr std::string_view kCheckPrefix = "check ";

/// Leaves room for later calls for the same endpoint.
constexpr Time kMaxStoredTime{std::numeric_limits<std::int64_t>::max() / 2};

constexpr char kFirstPrintable = ' ';
constexpr char kDelete = '\x7f';

/// Whether the entry replaces the other one. Of two calls at the same time the suspension counts, since no
/// request must go to an endpoint that an operator has taken out.
bool is_later(const AdminOverride& entry, const AdminOverride& other) {
  return std::tie(entry.called_at, entry.is_suspended, entry.resumed_at) >
         std::tie(other.called_at, other.is_suspended, other.resumed_at);
}

/// Whether the id fits into a line of the stored form.
bool is_storable(std::string_view id) {
  if (id.empty() || id.size() > kMaxOverrideIdBytes) return false;
  return std::none_of(id.begin(), id.end(), [](char c) {
    return (static_cast<unsigned char>(c) < kFirstPrintable) || c == kDelete;
  });
}

std::string stored_line(std::string_view prefix, Time time, const std::string& id) {
  return std::string(prefix) + std::to_string(time.count()) + " " + id + "\n";
}

std::string check_line(std::string_view lines) {
  constexpr std::size_t kHashDigits = 16;
  std::array<char, kHashDigits + 1> digits{};
  std::snprintf(digits.data(), digits.size(), "%016llx", static_cast<unsigned long long>(fnv1a(lines)));
  return std::string(kCheckPrefix) + digits.data() + "\n";
}

/// The time and the id of a stored line.
struct StoredEntry {
  Time time{0};
  std::string id;
};

/// Reads the part of a stored line after its prefix; none if it is malformed.
std::optional<StoredEntry> read_entry(std::string_view line) {
  std::int64_t time = 0;
  const auto [end, error] = std::from_chars(line.data(), line.data() + line.size(), time);
  const auto digits = static_cast<std::size_t>(end - line.data());
  if (error != std::errc{} || digits >= line.size() || line[digits] != ' ') return std::nullopt;
  if (time < 0 || time > kMaxStoredTime.count()) return std::nullopt;
  const std::string_view id = line.substr(digits + 1);
  if (!is_storable(id)) return std::nullopt;
  return StoredEntry{Time{time}, std::string(id)};
}

}  // namespace

bool OverrideTable::is_suspended(const std::string& endpoint) const {
  const auto found = overrides_.find(endpoint);
  return found != overrides_.end() && found->second.is_suspended;
}

std::size_t OverrideTable::suspended_count() const {
  return static_cast<std::size_t>(std::count_if(overrides_.begin(), overrides_.end(),
                                                [](const auto& item) { return item.second.is_suspended; }));
}

std::optional<Time> OverrideTable::resumed_at(const std::string& endpoint) const {
  Time resumed{0};
  if (const auto found = overrides_.find(endpoint); found != overrides_.end()) {
    if (found->second.is_suspended) return std::nullopt;
    resumed = found->second.resumed_at;
  }
  if (const auto found = policy_resumed_at_.find(endpoint); found != policy_resumed_at_.end()) {
    resumed = std::max(resumed, found->second);
  }
  return resumed > Time{0} ? std::optional(resumed) : std::nullopt;
}

OverrideTable::ApplyResult OverrideTable::apply(const OverrideChange& change) {
  if (!is_storable(change.endpoint)) return ApplyResult::not_stored;
  const bool is_suspension = change.action == OverrideAction::suspend;
  const auto found = overrides_.find(change.endpoint);
  if (found == overrides_.end()) {
    const bool has_room = overrides_.size() < kMaxOverrides || drop_oldest_resumed();
    if (!has_room) return is_suspension ? ApplyResult::full : ApplyResult::done;
    overrides_[change.endpoint] = {is_suspension, change.called_at, Time{0}};
    return ApplyResult::done;
  }
  AdminOverride& entry = found->second;
  const bool ends_suspension = entry.is_suspended && !is_suspension;
  entry.called_at = std::max(change.called_at, entry.called_at + Time{1});
  if (ends_suspension) entry.resumed_at = entry.called_at;
  if (is_suspension) entry.resumed_at = Time{0};
  entry.is_suspended = is_suspension;
  return ApplyResult::done;
}

void OverrideTable::note_policy_resume(const std::string& endpoint, Time now) {
  if (!is_storable(endpoint)) return;
  const bool is_known = policy_resumed_at_.contains(endpoint);
  if (!is_known && policy_resumed_at_.size() >= kMaxOverrides) return;
  Time& resumed_at = policy_resumed_at_[endpoint];
  resumed_at = std::max(resumed_at, now);
}

void OverrideTable::merge(const OverrideTable& other) {
  for (const auto& [id, entry] : other.overrides_) merge_entry(id, entry);
  for (const auto& [id, resumed_at] : other.policy_resumed_at_) note_policy_resume(id, resumed_at);
}

void OverrideTable::merge_entry(const std::string& endpoint, const AdminOverride& entry) {
  const auto [own, is_new] = overrides_.try_emplace(endpoint, entry);
  if (!is_new && is_later(entry, own->second)) own->second = entry;
  // The table never drops a suspension for another one.
  if (overrides_.size() > kMaxOverrides && !drop_oldest_resumed()) overrides_.erase(own);
}

void OverrideTable::restore(const OverrideTable& wanted) {
  for (auto& [id, entry] : overrides_) {
    if (entry.is_suspended == wanted.is_suspended(id)) continue;
    const auto before = wanted.overrides_.find(id);
    const Time resumed_at = before == wanted.overrides_.end() ? Time{0} : before->second.resumed_at;
    entry = {!entry.is_suspended, entry.called_at + Time{1}, resumed_at};
  }
}

void OverrideTable::drop_expired(Time now) {
  std::erase_if(policy_resumed_at_,
                [now](const auto& item) { return now - item.second >= kPolicyResumeRetention; });
}

/// Returns false if all endpoints in the table are suspended.
bool OverrideTable::drop_oldest_resumed() {
  auto oldest = overrides_.end();
  for (auto entry = overrides_.begin(); entry != overrides_.end(); ++entry) {
    if (entry->second.is_suspended) continue;
    if (oldest == overrides_.end() || entry->second.called_at < oldest->second.called_at) oldest = entry;
  }
  if (oldest == overrides_.end()) return false;
  overrides_.erase(oldest);
  return true;
}

// ---- The stored form ----

std::string OverrideTable::serialize() const {
  std::string lines;
  for (const auto& [id, entry] : overrides_) {
    if (entry.is_suspended) {
      lines += stored_line(kSuspendedPrefix, entry.called_at, id);
      continue;
    }
    const bool was_resumed = entry.resumed_at > Time{0};
    const bool was_called_since = !was_resumed || entry.called_at != entry.resumed_at;
    if (was_resumed) lines += stored_line(kResumedPrefix, entry.resumed_at, id);
    if (was_called_since) lines += stored_line(kCalledPrefix, entry.called_at, id);
  }
  for (const auto& [id, resumed_at] : policy_resumed_at_) {
    lines += stored_line(kPolicyResumedPrefix, resumed_at, id);
  }
  return lines + check_line(lines);
}

void OverrideTable::read_line(std::string_view line) {
  const auto after = [line](std::string_view prefix) -> std::optional<StoredEntry> {
    return line.starts_with(prefix) ? read_entry(line.substr(prefix.size())) : std::nullopt;
  };
  if (const auto suspended = after(kSuspendedPrefix)) {
    merge_entry(suspended->id, {true, suspended->time, Time{0}});
  } else if (const auto resumed = after(kResumedPrefix)) {
    merge_entry(resumed->id, {false, resumed->time, resumed->time});
  } else if (const auto called = after(kCalledPrefix)) {
    // Its line `in`, if there is one, comes first.
    const auto found = overrides_.find(called->id);
    merge_entry(called->id,
                {false, called->time, found == overrides_.end() ? Time{0} : found->second.resumed_at});
  } else if (const auto policy_resumed = after(kPolicyResumedPrefix)) {
    note_policy_resume(policy_resumed->id, policy_resumed->time);
  }
}

StoredOverrides StoredOverrides::parse(std::string_view text) {
  StoredOverrides stored;
  std::size_t line_start = 0;
  for (std::size_t line_end = 0; (line_end = text.find('\n', line_start)) != std::string_view::npos;) {
    const std::string_view line = text.substr(line_start, line_end - line_start);
    if (line.starts_with(kCheckPrefix)) {
      const bool is_last = line_end + 1 == text.size();
      const bool fits = text.substr(line_start) == check_line(text.substr(0, line_start));
      stored.form = is_last && fits ? Form::intact : Form::damaged;
    } else {
      stored.table.read_line(line);
    }
    line_start = line_end + 1;
  }
  if (stored.form == Form::intact && line_start < text.size()) stored.form = Form::damaged;
  return stored;
}

}  // namespace edge_proxy::proxy
