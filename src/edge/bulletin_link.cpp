// SPDX-License-Identifier: MIT
#include "edge/bulletin_link.h"

#include <algorithm>

namespace dahliahall::edge {
namespace {

using namespace std::chrono_literals;

constexpr std::string_view kPath = "/bulletins";
// A comment comes each second: a link without a byte for this long is dead, though nobody says so.
constexpr Time kSilence = 2500ms;
// Nor does one tell anything on which bytes come but no line ends. What the bulletin has to tell counts as
// told 7 s later at the latest: there is time left to ask for it anew. Longer than the silence, since a long
// line may come in pieces.
constexpr Time kLineWithin = 5s;
// With a connection that does not come up, or says nothing at all yet, at first: half the time after which
// what is asked for binds, within these. Each further one is given twice the time, up to the silence that
// means a dead link. Guards against a bulletin that is slow: it would be hung up on for ever.
constexpr Time kLeastPatience = 100ms;
constexpr Time kMostPatience = 500ms;
constexpr Time kFirstWait = 50ms;  // before the next try to connect; doubles up to the longest
constexpr Time kLongestWait = 800ms;

}  // namespace

BulletinLink::BulletinLink(Context& context, const config::Config& config)
    : context_(context),
      address_(config.bulletin),
      names_(config.names),
      last_(config.known_number),
      wait_(kFirstWait),
      first_patience_(
          std::clamp(std::min(config.settings.invalidation_slack, config.settings.drain_grace) / 2,
                     kLeastPatience, kMostPatience)),
      patience_(first_patience_),
      draws_(config.seed) {}

void BulletinLink::open() {
  if (id_ != 0 || stopped_) return;
  id_ = context_.connect(address_, true);
  up_ = spoke_ = false;
  opened_ = heard_ = read_ = context_.now;
  events_ = 0;
  reader_ = {};
}

void BulletinLink::connected() {
  up_ = true;
  heard_ = read_ = context_.now;
  context_.write(id_, codec::write_stream_request(address_, kPath, std::to_string(last_)));
}

std::vector<codec::BulletinEvent> BulletinLink::bytes(std::string_view bytes) {
  heard_ = context_.now;
  spoke_ = true;
  patience_ = first_patience_;
  std::vector<codec::BulletinEvent> events;
  const std::uint64_t lines = reader_.lines();
  reader_.feed(bytes);
  while (const auto read = reader_.next()) {
    try {
      codec::BulletinEvent event = codec::parse_bulletin_event(read->data, names_);
      if (event.number <= last_) continue;  // told already: an event is never applied twice
      // Guards against a gap: a lost purge or drain would break a rule. The next connection asks for what is
      // missing. A bulletin that does not have it either would block all news for ever: then it is passed
      // over.
      if (event.number != last_ + 1 && std::exchange(gap_at_, last_) != last_) {
        context_.log("bulletin gap last=" + std::to_string(last_) + " got=" + std::to_string(event.number));
        end(CloseReason::bad_stream, true);
        return events;
      }
      last_ = event.number;
      wait_ = kFirstWait;
      ++events_;
      events.push_back(std::move(event));
    } catch (const FieldError& problem) {
      // Guards against one unreadable event ending the program or blocking those after it: it is passed over.
      context_.log(std::string("bulletin unreadable event id=") + read->id + " " + problem.what());
      std::int64_t number = 0;
      std::from_chars(read->id.data(), read->id.data() + read->id.size(), number);
      if (number == last_ + 1) last_ = number;
    }
  }
  if (reader_.lines() != lines) read_ = context_.now;
  if (reader_.error() != codec::StreamError::none) end(CloseReason::bad_stream, true);
  return events;
}

void BulletinLink::move_to(const std::string& address) {
  if (address == address_ || stopped_) return;
  address_ = address;
  wait_ = kFirstWait;
  patience_ = first_patience_;
  if (id_ != 0) end(CloseReason::bulletin_moved, true);
  open();
}

void BulletinLink::excuse() { opened_ = heard_ = read_ = context_.now; }

void BulletinLink::lost(CloseReason reason) { end(reason, false); }

void BulletinLink::sweep() {
  if (id_ == 0) return;
  const Time unheard = context_.now - (up_ ? heard_ : opened_);
  if (unheard < (spoke_ ? kSilence : patience_) && context_.now - read_ < kLineWithin) return;
  patience_ = std::min(patience_ * 2, kSilence);
  end(up_ ? CloseReason::silent : CloseReason::connect_timeout, true);
}

void BulletinLink::stop() {
  stopped_ = true;
  if (id_ != 0) end(CloseReason::stopping, true);
}

void BulletinLink::end(CloseReason reason, bool close_it) {
  context_.ended({"bulletin", id_, opened_, events_, {}}, reason, close_it);
  id_ = 0;
  if (stopped_) return;
  // What a bulletin that broke off has to tell counts as told soon: one that spoke is asked again at once.
  // Guards the bulletin against a fleet that loses it at one moment and calls again in step ever after:
  // within the first wait, which is short beside the time after which purges bind, or the second half of a
  // longer one, each proxy calls at a moment of its own.
  const bool broke_off = std::exchange(up_, false) && context_.now - opened_ >= kLongestWait;
  if (broke_off) wait_ = Time{0};
  const Time after = broke_off ? part_of(kFirstWait) : wait_ - part_of(wait_ / 2);
  context_.timers.add(context_.now + after, {Due::bulletin_connect, {}, 0, 0});
  wait_ = std::clamp(wait_ * 2, kFirstWait, kLongestWait);
}

Time BulletinLink::part_of(Time span) {
  std::uniform_real_distribution<double> part(0, static_cast<double>(span.count()));
  return Time{static_cast<std::int64_t>(part(draws_))};
}

}  // namespace dahliahall::edge
