// SPDX-License-Identifier: MIT
/// @file
/// The reducer of the edge proxy, the only place where its state changes: (state, now, input) -> effects. It
/// does no I/O and reads no clock, so that tests run it in virtual time. The router (edge_proxy/router.h)
/// decides how requests are served; the reducer translates between the router's events and actions and the
/// connections.
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
  /// `now`, here and below, is Unix time in microseconds and never decreases.
  State(const config::Config& config, Time now);
  ~State();
  State(State&&) noexcept;
  State& operator=(State&&) noexcept;

 private:
  friend std::vector<Effect> reduce(State& state, Time now, const Input& input);
  class Impl;
  std::unique_ptr<Impl> impl_;
};

/// Applies one input to the state. The caller carries out the returned effects in order.
[[nodiscard]] std::vector<Effect> reduce(State& state, Time now, const Input& input);

}  // namespace edge_proxy::proxy
