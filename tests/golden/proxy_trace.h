// SPDX-License-Identifier: MIT
/// @file
/// Formats the inputs and effects of the proxy reducer for golden records. Labels are literals, so that
/// renaming a type or a member does not change a record.
#pragma once

#include <string>
#include <vector>

#include "golden/golden_record.h"
#include "proxy/reducer.h"

namespace golden {

[[nodiscard]] std::string text_of(const edge_proxy::proxy::Input& input);
/// Returns an empty text for an effect that only writes a log message.
[[nodiscard]] std::string text_of(const edge_proxy::proxy::Effect& effect);

/// Records an input of the reducer and the effects that it returned.
void record_proxy_step(GoldenRecord& record, edge_proxy::Time now, const edge_proxy::proxy::Input& input,
                       const std::vector<edge_proxy::proxy::Effect>& effects);

}  // namespace golden
