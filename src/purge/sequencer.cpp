// SPDX-License-Identifier: MIT
#include "purge/sequencer.h"

#include <algorithm>

namespace dahliahall::purge {
namespace {

void on(SequencerState& state, const Arrived& in, std::vector<SequencerEffect>& out) {
  const PurgeCommand& c = in.command;
  state.highest_seen = std::max(state.highest_seen, c.number);
  if (c.number <= state.applied) {
    out.emplace_back(Dropped{c.number, "duplicate"});
    return;
  }
  if (const auto found = state.held.find(c.number); found != state.held.end()) {
    out.emplace_back(Dropped{c.number, found->second == c ? "duplicate" : "conflict"});
    return;
  }
  if (c.number > state.applied + 1) {
    // Guards memory against a feed that runs far ahead or numbers wildly: what is dropped is asked again.
    if (state.held.size() >= state.most_held || c.number - state.applied > state.most_held) {
      out.emplace_back(Dropped{c.number, "too_far_ahead"});
    } else {
      state.held.emplace(c.number, c);
    }
    if (!state.asked) {
      state.asked = true;
      out.emplace_back(AskFrom{state.applied + 1});
    }
    return;
  }
  out.emplace_back(Apply{c});
  state.applied = c.number;
  for (auto next = state.held.begin(); next != state.held.end() && next->first == state.applied + 1;
       next = state.held.erase(next)) {
    out.emplace_back(Apply{next->second});
    state.applied = next->first;
  }
  // Guards against losing what was dropped for the bound, and against asking again for each number that a
  // stream sent on asking brings: one ask is out until the gap up to the highest number seen is closed.
  if (state.highest_seen <= state.applied) {
    state.asked = false;
  } else if (!state.asked) {
    state.asked = true;
    out.emplace_back(AskFrom{state.applied + 1});
  }
}

void on(SequencerState& state, const FeedUp&, std::vector<SequencerEffect>& out) {
  state.asked = true;
  out.emplace_back(AskFrom{state.applied + 1});
}

}  // namespace

std::vector<SequencerEffect> reduce(SequencerState& state, const SequencerInput& input) {
  std::vector<SequencerEffect> out;
  std::visit([&](const auto& in) { on(state, in, out); }, input);
  return out;
}

}  // namespace dahliahall::purge
