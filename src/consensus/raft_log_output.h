// SPDX-License-Identifier: MIT
/// @file
/// The results of a call to the replicated log.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "consensus/reducer.h"

namespace edge_proxy::consensus {

struct RaftLogOutput {
  std::vector<std::pair<std::string, std::string>> messages;  ///< receiving member and encoded message
  std::vector<Input> inputs;                                  ///< for the reducer, in order
  std::vector<std::string> log_lines;
};

}  // namespace edge_proxy::consensus
