// SPDX-License-Identifier: MIT
/// @file
/// The one place where the edge proxy's state changes: (state, now, input) -> effects. It does no I/O and
/// reads no clock, so it runs in virtual time in tests. What to do with a request is decided by the router
/// (edge_proxy/router.h); the reducer translates between the router's events and actions and the connections.
#pragma once

#include <memory>
#include <vector>

#include "config/config.h"
#include "proxy/close_reason.h"
#include "proxy/connection_id.h"
#include "proxy/effects.h"
#include "proxy/inputs.h"

namespace edge_proxy::proxy {

/// The state of an edge proxy.
class State {
 public:
  /// `now`, here and below: Unix time in microseconds that never runs backwards.
  State(const config::Config& config, Time now);
  ~State();
  State(State&&) noexcept;
  State& operator=(State&&) noexcept;

 private:
  friend std::vector<Effect> reduce(State& state, Time now, const Input& input);
  class Impl;
  std::unique_ptr<Impl> impl_;
};

/// Applies one input to the state; the effects are to be carried out in order.
[[nodiscard]] std::vector<Effect> reduce(State& state, Time now, const Input& input);

}  // namespace edge_proxy::proxy
