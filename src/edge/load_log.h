// SPDX-License-Identifier: MIT
/// @file
/// What passed in the last second, in the log, for whoever looks for a jam.
#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "dahliahall/choice.h"
#include "edge/context.h"
#include "edge/pool.h"

namespace dahliahall::edge {

class LoadLog {
 public:
  /// Since the last line.
  struct Seen {
    int taken = 0, attempts = 0, served = 0, own = 0, refused = 0, turned_away = 0, failed = 0;
    bool operator==(const Seen&) const = default;
  };
  /// What is so now.
  struct Now {
    std::size_t open = 0, out = 0;
    Router::Stats believed;
    std::size_t members = 0, kept = 0;  ///< kept: beside what the module keeps
    int sockets = 0;
  };

  Seen seen;

  /// An attempt is over. One line where it ended wrong, so that its request can be followed by its id through
  /// all proxies. Guards the log against a trouble that ends hundreds of them a second: the sums are told all
  /// the same.
  void ended(Context& context, const Ended& ended, AttemptResult ending);
  /// The lines of the second that is over.
  void tell(Context& context, const Now& now);

 private:
  std::map<std::string, std::map<AttemptResult, int>> endings_;  // by member
  int wrong_told_ = 0;
};

}  // namespace dahliahall::edge
