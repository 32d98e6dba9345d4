// SPDX-License-Identifier: MIT
#include "membership/context.h"

#include <algorithm>
#include <cmath>

namespace edge_proxy::membership {

double Context::log_cluster_size() const {
  return std::max(1.0, std::log10(static_cast<double>(view.registered())));
}

}  // namespace edge_proxy::membership
