// SPDX-License-Identifier: MIT
#include "routing/endpoint_table.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "support/routing_world.h"

namespace edge_proxy::routing {
namespace {

using test::default_settings;
using test::make_endpoint;

constexpr int kParentKind = 1;

Endpoint parent(const std::string& id, EndpointState state, Time started = Time{0}) {
  Endpoint endpoint = make_endpoint(id, kParentKind, 0, started);
  endpoint.state = state;
  return endpoint;
}

std::vector<std::string> running_parents(const EndpointTable& table) {
  std::vector<std::string> ids;
  for (const std::size_t index : table.running(Role::parent)) ids.push_back(table[index].endpoint.id);
  std::sort(ids.begin(), ids.end());
  return ids;
}

// Guards against an endpoint that returns in another entry and whose next changes don't reach it: its old
// entry kept the id and was freed a second time.
TEST(EndpointTable, AnEndpointThatReturnsInAnotherEntryIsStillChangedByTheList) {
  const Settings settings = default_settings();
  EndpointTable table(settings);
  const auto apply = [&table](std::vector<Endpoint> endpoints) {
    table.apply({ListKind::changes, std::move(endpoints)});
  };
  apply({parent("up-1", EndpointState::running), parent("up-2", EndpointState::running)});
  apply({parent("up-1", EndpointState::removed), parent("up-2", EndpointState::removed)});
  apply({parent("up-1", EndpointState::running)});  // takes the entry that up-2 has left
  apply({parent("up-2", EndpointState::running)});
  EXPECT_EQ(running_parents(table), (std::vector<std::string>{"up-1", "up-2"}));
  EXPECT_EQ(table.known_count(), 2U);
  apply({parent("up-1", EndpointState::removed)});
  EXPECT_EQ(running_parents(table), (std::vector<std::string>{"up-2"}));
  EXPECT_EQ(table.entry_count(), 2U);
}

/// What the table must hold, in its simplest form.
struct Model {
  std::map<std::string, Endpoint> listed;                       ///< without removed endpoints
  std::vector<std::pair<std::string, std::size_t>> references;  ///< id and index of each use

  [[nodiscard]] bool is_known(const std::string& id) const {
    return listed.contains(id) || std::any_of(references.begin(), references.end(),
                                              [&id](const auto& use) { return use.first == id; });
  }
};

void apply_random_list(EndpointTable& table, Model& model, const std::vector<std::string>& ids) {
  EndpointList list;
  list.kind = *rc::gen::element(ListKind::changes, ListKind::changes, ListKind::complete);
  if (list.kind == ListKind::complete) model.listed.clear();
  const auto count = *rc::gen::inRange<std::size_t>(0, ids.size());
  for (std::size_t i = 0; i < count; ++i) {
    const Endpoint endpoint =
        parent(*rc::gen::elementOf(ids),
               *rc::gen::element(EndpointState::running, EndpointState::draining, EndpointState::removed),
               Time{*rc::gen::inRange<std::int64_t>(0, 3)});
    list.endpoints.push_back(endpoint);
    if (endpoint.state == EndpointState::removed) {
      model.listed.erase(endpoint.id);
    } else {
      model.listed[endpoint.id] = endpoint;
    }
  }
  table.apply(list);
}

void check(const EndpointTable& table, const Model& model, const std::vector<std::string>& ids) {
  std::vector<std::string> running;
  for (const auto& [id, endpoint] : model.listed) {
    if (endpoint.state == EndpointState::running) running.push_back(id);
  }
  RC_ASSERT(running_parents(table) == running);
  for (const std::size_t index : table.running(Role::parent)) {
    RC_ASSERT(table[index].endpoint.started == model.listed.at(table[index].endpoint.id).started);
  }
  for (const auto& [id, index] : model.references) {
    RC_ASSERT(table[index].endpoint.id == id);
    const auto uses = std::count(model.references.begin(), model.references.end(), std::pair(id, index));
    RC_ASSERT(table[index].references == static_cast<int>(uses));
  }
  const auto known =
      std::count_if(ids.begin(), ids.end(), [&](const auto& id) { return model.is_known(id); });
  RC_ASSERT(table.known_count() == static_cast<std::size_t>(known));
  RC_ASSERT(table.entry_count() <= ids.size());
}

// Guards against indices, ids and references that outlive their entry, whatever the lists and uses are.
RC_GTEST_PROP(EndpointTableProperty, EachIdHasOneEntryWhichStaysWhileListedOrReferenced, ()) {
  const std::vector<std::string> ids{"up-1", "up-2", "up-3", "up-4", "up-5"};
  const Settings settings = default_settings();
  EndpointTable table(settings);
  Model model;
  const auto steps = *rc::gen::inRange(1, 40);
  for (int step = 0; step < steps; ++step) {
    const auto running = table.running(Role::parent);
    const int choice = *rc::gen::inRange(0, 4);
    if (choice == 0 && !running.empty()) {
      const std::size_t index = *rc::gen::elementOf(running);
      table.add_reference(index);
      model.references.emplace_back(table[index].endpoint.id, index);
    } else if (choice == 1 && !model.references.empty()) {
      const auto use = *rc::gen::inRange<std::size_t>(0, model.references.size());
      table.remove_reference(model.references[use].second);
      model.references.erase(model.references.begin() + static_cast<std::ptrdiff_t>(use));
    } else {
      apply_random_list(table, model, ids);
    }
    check(table, model, ids);
  }
}

}  // namespace
}  // namespace edge_proxy::routing
