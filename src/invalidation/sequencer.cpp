// SPDX-License-Identifier: MIT
#include "invalidation/sequencer.h"

#include <algorithm>

namespace edge_proxy::invalidation {
namespace {

void on(SequencerState& state, const CommandArrived& in, std::vector<SequencerEffect>& out) {
  const InvalidationCommand& c = in.command;
  state.highest_seen = std::max(state.highest_seen, c.number);
  if (c.number <= state.applied) {
    out.emplace_back(CommandDropped{c.number, "duplicate"});
    return;
  }
  if (const auto found = state.out_of_order.find(c.number); found != state.out_of_order.end()) {
    out.emplace_back(CommandDropped{c.number, found->second == c ? "duplicate" : "conflict"});
    return;
  }
  if (c.number > state.applied + 1) {
    // Guards memory against a feed that runs far ahead or numbers wildly: what is dropped is asked again.
    if (state.out_of_order.size() >= state.max_out_of_order ||
        c.number - state.applied > state.max_out_of_order) {
      out.emplace_back(CommandDropped{c.number, "too_far_ahead"});
    } else {
      state.out_of_order.emplace(c.number, c);
    }
    if (!state.gap_requested) {
      state.gap_requested = true;
      out.emplace_back(RequestFrom{state.applied + 1});
    }
    return;
  }
  out.emplace_back(ApplyInvalidation{c});
  state.applied = c.number;
  for (auto next = state.out_of_order.begin();
       next != state.out_of_order.end() && next->first == state.applied + 1;
       next = state.out_of_order.erase(next)) {
    out.emplace_back(ApplyInvalidation{next->second});
    state.applied = next->first;
  }
  // Guards against losing what was dropped for the bound, and against asking again for each number that a
  // stream sent on asking brings: one ask is out until the gap up to the highest number seen is closed.
  if (state.highest_seen <= state.applied) {
    state.gap_requested = false;
  } else if (!state.gap_requested) {
    state.gap_requested = true;
    out.emplace_back(RequestFrom{state.applied + 1});
  }
}

void on(SequencerState& state, const FeedConnected&, std::vector<SequencerEffect>& out) {
  state.gap_requested = true;
  out.emplace_back(RequestFrom{state.applied + 1});
}

}  // namespace

std::vector<SequencerEffect> reduce(SequencerState& state, const SequencerInput& input) {
  std::vector<SequencerEffect> out;
  std::visit([&](const auto& in) { on(state, in, out); }, input);
  return out;
}

}  // namespace edge_proxy::invalidation
