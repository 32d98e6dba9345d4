// SPDX-License-Identifier: MIT
/// @file
/// The results of a call to the replicated log.
#pragma once

#include <string>
#include <vector>

#include "consensus/reducer.h"

namespace edge_proxy::consensus {

/// An encoded message for another member.
struct OutgoingMessage {
  std::string to;
  std::string bytes;
};

struct RaftLogOutput {
  std::vector<OutgoingMessage> messages;
  std::vector<Input> inputs;  ///< for the reducer, in order
  std::vector<std::string> log_lines;
};

}  // namespace edge_proxy::consensus
