// SPDX-License-Identifier: MIT
#include "invalidation/sequencer.h"

#include <algorithm>

namespace edge_proxy::invalidation {
namespace {

using Effects = std::vector<SequencerEffect>;

/// Requests the missing commands unless a request is pending: the feed answers with all commands from the
/// requested number on.
void request_gap(SequencerState& state, Effects& effects) {
  if (state.gap_requested) return;
  state.gap_requested = true;
  effects.emplace_back(RequestFrom{state.applied + 1});
}

/// Bounds memory if the feed is far ahead of this node or sends arbitrary sequence numbers.
bool is_too_far_ahead(const SequencerState& state, Sequence number) {
  return state.out_of_order.size() >= state.max_out_of_order ||
         number - state.applied > state.max_out_of_order;
}

void buffer_command(SequencerState& state, const InvalidationCommand& command, Effects& effects) {
  if (is_too_far_ahead(state, command.number)) {
    effects.emplace_back(CommandDropped{command.number, DropReason::too_far_ahead});
  } else {
    state.out_of_order.emplace(command.number, command);
  }
  request_gap(state, effects);
}

void apply(SequencerState& state, const InvalidationCommand& command, Effects& effects) {
  effects.emplace_back(ApplyInvalidation{command});
  state.applied = command.number;
}

/// Applies the buffered commands whose numbers follow the last applied number without a gap.
void apply_buffered(SequencerState& state, Effects& effects) {
  auto next = state.out_of_order.begin();
  while (next != state.out_of_order.end() && next->first == state.applied + 1) {
    apply(state, next->second, effects);
    next = state.out_of_order.erase(next);
  }
}

void handle(SequencerState& state, const CommandArrived& input, Effects& effects) {
  const InvalidationCommand& command = input.command;
  state.highest_seen = std::max(state.highest_seen, command.number);
  if (command.number <= state.applied) {
    effects.emplace_back(CommandDropped{command.number, DropReason::duplicate});
    return;
  }
  if (const auto found = state.out_of_order.find(command.number); found != state.out_of_order.end()) {
    const bool is_duplicate = found->second == command;
    effects.emplace_back(
        CommandDropped{command.number, is_duplicate ? DropReason::duplicate : DropReason::conflict});
    return;
  }
  if (command.number > state.applied + 1) {
    buffer_command(state, command, effects);
    return;
  }
  apply(state, command, effects);
  apply_buffered(state, effects);
  // Commands above the buffer limit were dropped, so everything up to the highest number seen is requested
  // again.
  if (state.highest_seen <= state.applied) {
    state.gap_requested = false;
  } else {
    request_gap(state, effects);
  }
}

void handle(SequencerState& state, const FeedConnected&, Effects& effects) {
  state.gap_requested = true;
  effects.emplace_back(RequestFrom{state.applied + 1});
}

}  // namespace

std::string_view name_of(DropReason reason) {
  switch (reason) {
    case DropReason::duplicate:
      return "duplicate";
    case DropReason::conflict:
      return "conflict";
    case DropReason::too_far_ahead:
      return "too_far_ahead";
  }
  return "unknown";
}

std::vector<SequencerEffect> reduce(SequencerState& state, const SequencerInput& input) {
  Effects effects;
  std::visit([&](const auto& event) { handle(state, event, effects); }, input);
  return effects;
}

}  // namespace edge_proxy::invalidation
