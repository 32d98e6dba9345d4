// SPDX-License-Identifier: MIT
/// @file
/// The admin overrides of an edge proxy: what operators have last called for each endpoint. Tables of several
/// processes are merged: for each endpoint the later call wins, whatever the order of the merges.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "edge_proxy/router.h"

namespace edge_proxy::proxy {

/// The last call of an operator for an endpoint.
struct AdminOverride {
  bool is_suspended = false;
  Time called_at{0};
  Time resumed_at{0};  ///< when a call last ended a suspension; 0 if none has, or if it is suspended
  friend bool operator==(const AdminOverride&, const AdminOverride&) = default;
};

enum class OverrideAction : std::uint8_t { suspend, resume };

/// An operator's call for one endpoint.
struct OverrideChange {
  OverrideAction action = OverrideAction::suspend;
  std::string endpoint;
  Time called_at{0};
};

/// Overrides by endpoint id. Each call is noted with its time, also one that asks for the present state: an
/// older call that another process still holds must not come back. At most kMaxOverrides entries; only those
/// of endpoints that are not suspended are dropped for others, the oldest first.
class OverrideTable {
 public:
  enum class ApplyResult : std::uint8_t {
    done,
    full,       ///< kMaxOverrides endpoints are suspended
    not_stored  ///< the id can't be stored: it is too long or contains a control character
  };

  /// Applies the call. It counts as later than the entry that the table holds for the endpoint, also if that
  /// one was made by a process whose clock is ahead.
  ApplyResult apply(const OverrideChange& change);
  /// Notes that the policy has resumed the endpoint, which then counts as started at `now`.
  void note_policy_resume(const std::string& endpoint, Time now);
  /// Takes over the entries of the other table that are later than those of this one.
  void merge(const OverrideTable& other);
  /// Sets the state of `wanted` again for each endpoint whose state differs, as a later call would. Used to
  /// withdraw changes that other processes may have seen.
  void restore(const OverrideTable& wanted);
  /// Drops the notes of policy resumes that have no effect any longer.
  void drop_expired(Time now);

  [[nodiscard]] bool contains(const std::string& endpoint) const { return overrides_.contains(endpoint); }
  [[nodiscard]] bool is_suspended(const std::string& endpoint) const;
  /// The number of suspended endpoints.
  [[nodiscard]] std::size_t suspended_count() const;
  /// Returns when the endpoint was last resumed by an operator or by the policy; none if it never was, or if
  /// it is suspended.
  [[nodiscard]] std::optional<Time> resumed_at(const std::string& endpoint) const;
  friend bool operator==(const OverrideTable&, const OverrideTable&) = default;

  /// Returns the stored form: a line `out TIME ID` for each suspended endpoint, `in TIME ID` for each resumed
  /// one, `warm TIME ID` for each one that the policy resumed, then `check HASH` with the hash of these
  /// lines. TIME is Unix time in microseconds. Readers skip lines that they don't know.
  [[nodiscard]] std::string serialize() const;

 private:
  friend struct StoredOverrides;

  bool drop_oldest_resumed();
  void merge_entry(const std::string& endpoint, const AdminOverride& entry);
  void read_line(std::string_view line);

  std::map<std::string, AdminOverride> overrides_;
  std::map<std::string, Time> policy_resumed_at_;
};

/// The content of a file of overrides.
struct StoredOverrides {
  enum class Form : std::uint8_t {
    intact,     ///< ends with a line `check` that fits the lines before it
    unchecked,  ///< has no such line: an earlier version of the program wrote it, or its end is missing
    damaged     ///< the line `check` does not fit, or does not come last
  };
  OverrideTable table;  ///< of the lines that can be read; the last line counts only if it is complete
  Form form = Form::unchecked;

  [[nodiscard]] static StoredOverrides parse(std::string_view text);
};

}  // namespace edge_proxy::proxy
