// SPDX-License-Identifier: MIT
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <string>
#include <vector>

#include "membership/view.h"

namespace edge_proxy::membership {
namespace {

constexpr std::size_t kMaxMembers = 4;  // fewer than names, so that tombstones are dropped and names return

MemberUpdate random_update() {
  MemberUpdate update;
  update.name = *rc::gen::element<std::string>("a", "b", "c", "d", "e", "f");
  update.address = "127.0.0.1:" + std::to_string(*rc::gen::inRange(1, 4));
  update.disk_id = *rc::gen::inRange<std::uint64_t>(1, 3);
  update.incarnation = *rc::gen::inRange<std::uint64_t>(1, 6);
  update.status = *rc::gen::element(MemberStatus::alive, MemberStatus::suspect, MemberStatus::dead,
                                    MemberStatus::left, MemberStatus::forgotten);
  update.reported_by = *rc::gen::element<std::string>("a", "b");
  return update;
}

template <typename Predicate>
std::size_t count(const View& view, Predicate&& predicate) {
  const auto& members = view.members();
  return static_cast<std::size_t>(std::count_if(members.begin(), members.end(), [&](const auto& member) {
    return predicate(member.second.update.status);
  }));
}

// Guards against totals and tombstones that refer to members which have left the table or have returned.
RC_GTEST_PROP(ViewProperty, TotalsAreThoseOfTheMembersWhateverTheUpdates, ()) {
  View view("a", kMaxMembers);
  const auto steps = *rc::gen::inRange(1, 60);
  for (int step = 0; step < steps; ++step) {
    view.merge(random_update(), Time{step});
    RC_ASSERT(view.registered() == count(view, is_registered));
    RC_ASSERT(view.reachable() == count(view, is_reachable));
    RC_ASSERT(view.registered() <= kMaxMembers);
    RC_ASSERT(view.members().size() - view.registered() <= kMaxMembers);
    for (const auto& [name, member] : view.members()) RC_ASSERT(member.update.name == name);
  }
  View copy("b", kMaxMembers);
  for (const MemberUpdate& update : view.updates()) {
    if (is_registered(update.status)) copy.merge(update, Time{0});
  }
  RC_ASSERT(copy.digest() == view.digest());
}

}  // namespace
}  // namespace edge_proxy::membership
