// SPDX-License-Identifier: MIT
#include "edge/load_log.h"

#include <array>
#include <string_view>
#include <utility>

#include "edge/bounds.h"

namespace dahliahall::edge {
namespace {

std::string_view name_of(AttemptResult ending) {
  static constexpr std::array<std::string_view, 10> names{"served",      "error",  "shed",      "timed_out",
                                                          "unreachable", "broken", "cancelled", "unsent",
                                                          "missing",     "spoilt"};
  return names[static_cast<std::size_t>(ending)];
}

}  // namespace

void LoadLog::ended(Context& context, const Ended& ended, AttemptResult ending) {
  ++endings_[ended.member][ending];
  if (ending == AttemptResult::served || ++wrong_told_ > kWrongTold) return;
  context.log("wrong request=" + ended.request + " attempt=" + std::to_string(ended.number) + " member=" +
              ended.member + " source=" + ended.source + " ending=" + std::string(name_of(ending)) +
              " took_ms=" + std::to_string(ended.took.count() / 1000));
}

void LoadLog::tell(Context& context, const Now& now) {
  if (seen != Seen{}) {
    const Router::Stats& believed = now.believed;
    context.log("load taken=" + std::to_string(seen.taken) + " attempts=" + std::to_string(seen.attempts) +
                " served=" + std::to_string(seen.served) + " own=" + std::to_string(seen.own) + " refused=" +
                std::to_string(seen.refused) + " turned_away=" + std::to_string(seen.turned_away) +
                " failed=" + std::to_string(seen.failed) + " open=" + std::to_string(now.open) +
                " out=" + std::to_string(now.out) + " believed_out=" + std::to_string(believed.in_flight) +
                " shut=" + std::to_string(believed.ejected) + " members=" + std::to_string(now.members) +
                " kept=" + std::to_string(believed.table_entries + now.kept) +
                " sockets=" + std::to_string(now.sockets));
  }
  seen = {};
  wrong_told_ = 0;
  for (const auto& [member, endings] : std::exchange(endings_, {})) {
    std::string line = "endings member=" + member;
    for (const auto& [ending, count] : endings)
      line.append(" ").append(name_of(ending)).append("=").append(std::to_string(count));
    if (endings.size() > 1 || endings.begin()->first != AttemptResult::served) context.log(std::move(line));
  }
}

}  // namespace dahliahall::edge
