// SPDX-License-Identifier: MIT
/// @file
/// Text of the proxy reducer's inputs and effects for golden records. The labels are literals of their own,
/// so that a renamed type or member leaves the records as they are.
#pragma once

#include <string>
#include <vector>

#include "golden/golden_record.h"
#include "proxy/reducer.h"

namespace golden {

[[nodiscard]] std::string text_of(const edge_proxy::proxy::Input& input);
/// Empty for what is only a text for the log.
[[nodiscard]] std::string text_of(const edge_proxy::proxy::Effect& effect);

/// Records an input of the reducer, and the effects that came of it.
void record_proxy_step(GoldenRecord& record, edge_proxy::Time now, const edge_proxy::proxy::Input& input,
                       const std::vector<edge_proxy::proxy::Effect>& effects);

}  // namespace golden
