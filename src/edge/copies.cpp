// SPDX-License-Identifier: MIT
#include "edge/copies.h"

#include <algorithm>
#include <charconv>
#include <functional>

#include "edge/bounds.h"

namespace dahliahall::edge {
namespace {

std::uint64_t fingerprint(std::string_view tag, std::string_view body) {
  const std::hash<std::string_view> hash;
  return hash(body) * 0x9e3779b97f4a7c15U + hash(tag);
}

}  // namespace

Copies::Copies(const config::Config& config)
    : flow_(config.flow_bytes_per_s),
      lanes_(flow_ > 0 ? static_cast<std::size_t>(std::clamp(config.link_bytes_per_s / flow_, 0.0, 64.0))
                       : 0),
      room_(config.memory / kCopiesPart),
      purges_kept_(2 * config.settings.invalidation_settled_after) {}

void Copies::resize(std::size_t memory) {
  room_ = memory / kCopiesPart;
  shrink();
}

const Copies::Copy* Copies::find(const Key& key, Time now, Time max_age) {
  const auto found = by_key_.find(key);
  if (found == by_key_.end()) return nullptr;
  const Copy& copy = *found->second;
  // Guards against an answer that is just too old by the time it counts as written.
  if (max_age.count() > 0 && now - copy.born >= max_age - kCopyMargin) {
    drop(found->second);
    return nullptr;
  }
  copies_.splice(copies_.begin(), copies_, found->second);
  return &copies_.front();
}

Time Copies::wait(Time now) const {
  if (lanes_.empty()) return Time::max();
  return std::max(Time{0}, *std::min_element(lanes_.begin(), lanes_.end()) - now);
}

void Copies::sent(std::size_t bytes, Time now) {
  if (lanes_.empty()) return;
  Time& lane = *std::min_element(lanes_.begin(), lanes_.end());
  lane = std::max(lane, now) + Time{static_cast<std::int64_t>(static_cast<double>(bytes) / flow_ * 1e6)};
}

bool Copies::purged_since(Time born, const Key& key, std::int64_t group) const {
  for (const Purged& what : {Purged{true, key.object}, Purged{false, static_cast<std::uint64_t>(group)}}) {
    const auto found = purges_.find(what);
    if (found != purges_.end() && born <= found->second) return true;
  }
  return false;
}

void Copies::offer(const Key& key, std::int64_t group, const codec::CacheAnswer& answer, Time now) {
  if (lanes_.empty() || answer.body.empty() || answer.word != codec::AnswerWord::hit) return;
  const auto tag = codec::field_in(answer.fields, "ver"), born = codec::field_in(answer.fields, "born");
  std::int64_t ms = 0;
  if (!tag || !born || std::from_chars(born->data(), born->data() + born->size(), ms).ec != std::errc{} ||
      ms <= 0 || ms > std::chrono::floor<std::chrono::milliseconds>(now).count() + 1000)
    return;
  const Time at = std::chrono::milliseconds(ms);
  const auto kept = by_key_.find(key);
  // Guards the rule on purges: the answer may have been under way when the purge was told.
  if (purged_since(at, key, group) || (kept != by_key_.end() && kept->second->born >= at)) return;
  // Guards against serving noise again: what a peer spoilt on the way can't be told from an object, but does
  // not come twice alike.
  const std::uint64_t print = fingerprint(*tag, answer.body);
  const auto seen = seen_.find(key);
  if (seen == seen_.end() || seen->second.first != print) {
    if (seen != seen_.end()) seen_order_.erase(seen->second.second);
    seen_[key] = {print, seen_order_.insert(seen_order_.end(), key)};
    if (seen_.size() <= kCopiesSeen) return;
    seen_.erase(seen_order_.front());
    seen_order_.pop_front();
    return;
  }
  if (kept != by_key_.end()) drop(kept->second);
  copies_.push_front({key, group, answer.body, std::string(*tag), at});
  by_key_[key] = copies_.begin();
  bytes_ += answer.body.size();
  shrink();
}

void Copies::purged(const codec::Recall& recall, Time now) {
  const Purged what =
      recall.object ? Purged{true, *recall.object} : Purged{false, static_cast<std::uint64_t>(recall.group)};
  Time& issued = purges_[what];
  issued = std::max(issued, recall.issued);
  for (auto copy = copies_.begin(); copy != copies_.end();) {
    const auto next = std::next(copy);
    if (purged_since(copy->born, copy->key, copy->group)) drop(copy);
    copy = next;
  }
  std::erase_if(purges_, [&](const auto& e) { return now - e.second > purges_kept_; });
}

void Copies::drop(Order::iterator copy) {
  bytes_ -= copy->body.size();
  by_key_.erase(copy->key);
  copies_.erase(copy);
}

void Copies::shrink() {
  while (bytes_ > room_ && !copies_.empty()) drop(std::prev(copies_.end()));
}

}  // namespace dahliahall::edge
