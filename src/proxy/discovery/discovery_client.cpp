// SPDX-License-Identifier: MIT
#include "proxy/discovery/discovery_client.h"

#include <algorithm>

namespace edge_proxy::proxy {
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

DiscoveryClient::DiscoveryClient(Context& context, const config::Config& config)
    : context_(context),
      address_(config.discovery_address),
      field_names_(config.discovery_names),
      last_event_(config.last_known_event),
      backoff_(kFirstWait),
      initial_timeout_(
          std::clamp(std::min(config.settings.invalidation_slack, config.settings.drain_grace) / 2,
                     kLeastPatience, kMostPatience)),
      timeout_(initial_timeout_),
      random_(config.seed) {}

void DiscoveryClient::open() {
  if (connection_ != 0 || stopped_) return;
  connection_ = context_.connect(address_, ReadPriority::high);
  is_connected_ = has_data_ = false;
  opened_at_ = last_heard_ = last_line_ = context_.now;
  events_ = 0;
  reader_ = {};
}

void DiscoveryClient::on_connected() {
  is_connected_ = true;
  last_heard_ = last_line_ = context_.now;
  context_.write(connection_, codec::write_stream_request(address_, kPath, std::to_string(last_event_)));
}

std::vector<codec::DiscoveryEvent> DiscoveryClient::on_bytes(std::string_view on_bytes) {
  last_heard_ = context_.now;
  has_data_ = true;
  timeout_ = initial_timeout_;
  std::vector<codec::DiscoveryEvent> events;
  const std::uint64_t lines = reader_.lines();
  reader_.feed(on_bytes);
  while (const auto read = reader_.next()) {
    try {
      codec::DiscoveryEvent event = codec::parse_discovery_event(read->data, field_names_);
      if (event.number <= last_event_) continue;  // told already: an event is never applied twice
      // Guards against a gap: a lost purge or drain would break a rule. The next connection asks for what is
      // missing. A bulletin that does not have it either would block all news for ever: then it is passed
      // over.
      if (event.number != last_event_ + 1 && std::exchange(gap_after_, last_event_) != last_event_) {
        context_.log("bulletin gap last=" + std::to_string(last_event_) +
                     " got=" + std::to_string(event.number));
        end(CloseReason::bad_stream, ClosedBy::proxy);
        return events;
      }
      last_event_ = event.number;
      backoff_ = kFirstWait;
      ++events_;
      events.push_back(std::move(event));
    } catch (const FieldError& problem) {
      // Guards against one unreadable event ending the program or blocking those after it: it is passed over.
      context_.log(std::string("bulletin unreadable event id=") + read->id + " " + problem.what());
      std::int64_t number = 0;
      std::from_chars(read->id.data(), read->id.data() + read->id.size(), number);
      if (number == last_event_ + 1) last_event_ = number;
    }
  }
  if (reader_.lines() != lines) last_line_ = context_.now;
  if (reader_.error() != codec::StreamError::none) end(CloseReason::bad_stream, ClosedBy::proxy);
  return events;
}

void DiscoveryClient::set_address(const std::string& address) {
  if (address == address_ || stopped_) return;
  address_ = address;
  backoff_ = kFirstWait;
  timeout_ = initial_timeout_;
  if (connection_ != 0) end(CloseReason::discovery_moved, ClosedBy::proxy);
  open();
}

void DiscoveryClient::on_loop_stall() { opened_at_ = last_heard_ = last_line_ = context_.now; }

void DiscoveryClient::on_closed(CloseReason reason) { end(reason, ClosedBy::peer); }

void DiscoveryClient::close_if_silent() {
  if (connection_ == 0) return;
  const Time unheard = context_.now - (is_connected_ ? last_heard_ : opened_at_);
  if (unheard < (has_data_ ? kSilence : timeout_) && context_.now - last_line_ < kLineWithin) return;
  timeout_ = std::min(timeout_ * 2, kSilence);
  end(is_connected_ ? CloseReason::silent : CloseReason::connect_timeout, ClosedBy::proxy);
}

void DiscoveryClient::stop() {
  stopped_ = true;
  if (connection_ != 0) end(CloseReason::stopping, ClosedBy::proxy);
}

void DiscoveryClient::end(CloseReason reason, ClosedBy closed_by) {
  context_.log_closed({"bulletin", connection_, opened_at_, events_, {}}, reason, closed_by);
  connection_ = 0;
  if (stopped_) return;
  // What a bulletin that broke off has to tell counts as told soon: one that spoke is asked again at once.
  // Guards the bulletin against a fleet that loses it at one moment and calls again in step ever after:
  // within the first wait, which is short beside the time after which purges bind, or the second half of a
  // longer one, each proxy calls at a moment of its own.
  const bool broke_off = std::exchange(is_connected_, false) && context_.now - opened_at_ >= kLongestWait;
  if (broke_off) backoff_ = Time{0};
  const Time after = broke_off ? jittered(kFirstWait) : backoff_ - jittered(backoff_ / 2);
  context_.timers.add(context_.now + after, Timer::of(TimerKind::discovery_connect));
  backoff_ = std::clamp(backoff_ * 2, kFirstWait, kLongestWait);
}

Time DiscoveryClient::jittered(Time span) {
  std::uniform_real_distribution<double> part(0, static_cast<double>(span.count()));
  return Time{static_cast<std::int64_t>(part(random_))};
}

}  // namespace edge_proxy::proxy
