// SPDX-License-Identifier: MIT
/// @file
/// The bulletin's events: changes to the list of members, and purges.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fields.h"

namespace dahliahall::codec {

/// A member as the bulletin names it, with where it listens. Zone and kind are places in the settings' lists.
struct ListedMember {
  Endpoint member;
  std::string address;
  Time process{0};  ///< when its process started, as the bulletin tells; `member.started` may be put later
};
struct Roster {
  bool complete = false;
  std::vector<ListedMember> members;
};
/// A purge. `issued` is the latest moment it may mean: the bulletin rounds down to a millisecond.
struct Recall {
  std::optional<std::uint64_t> object;
  std::int64_t group = 0;
  Time issued{0};
};
struct BulletinEvent {
  std::int64_t number = 0;
  std::optional<Roster> roster;
  std::optional<Recall> recall;
};

/// The names that the bulletin uses for zones and kinds, in the settings' order.
struct Names {
  std::vector<std::string> zones, kinds;
};

/// Throws FieldError.
BulletinEvent read_bulletin_event(const Fields& fields, const Names& names);
BulletinEvent parse_bulletin_event(std::string_view json, const Names& names);

}  // namespace dahliahall::codec
