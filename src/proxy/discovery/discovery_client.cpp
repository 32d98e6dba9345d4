// SPDX-License-Identifier: MIT
#include "proxy/discovery/discovery_client.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace edge_proxy::proxy {
namespace {

using namespace std::chrono_literals;

constexpr std::string_view kPath = "/bulletins";
// A comment comes each second: a connection without a byte for this long is dead, though nobody says so.
constexpr Time kSilenceTimeout = 2500ms;
// So is one on which bytes come but no line ends. What the discovery service announces binds 7 s later at the
// latest: there is time left to connect anew. Longer than the silence, since a long line may come in pieces.
constexpr Time kLineTimeout = 5s;
// For a connection that does not come up, or on which nothing comes yet, at first: half the time after which
// what is announced binds, within these bounds. Each further one is given twice the time, up to the silence
// that means a dead connection. Guards against a slow discovery service: it would be disconnected for ever.
constexpr Time kMinInitialTimeout = 100ms;
constexpr Time kMaxInitialTimeout = 500ms;
constexpr Time kMinBackoff = 50ms;  // before the next attempt to connect; doubles up to the longest
constexpr Time kMaxBackoff = 800ms;

}  // namespace

DiscoveryClient::DiscoveryClient(Context& context, const config::Config& config)
    : context_(context),
      address_(config.discovery_address),
      field_names_(config.discovery_names),
      last_event_(config.last_known_event),
      backoff_(kMinBackoff),
      initial_timeout_(
          std::clamp(std::min(config.settings.invalidation_slack, config.settings.drain_grace) / 2,
                     kMinInitialTimeout, kMaxInitialTimeout)),
      timeout_(initial_timeout_),
      random_(config.seed) {}

void DiscoveryClient::open() {
  if (connection_ != 0 || stopped_) return;
  connection_ = context_.connect(address_, ReadPriority::high);
  is_connected_ = has_data_ = false;
  opened_at_ = last_byte_at_ = last_line_at_ = context_.now;
  event_count_ = 0;
  reader_ = {};
}

void DiscoveryClient::on_connected() {
  is_connected_ = true;
  last_byte_at_ = last_line_at_ = context_.now;
  context_.write(connection_, codec::write_stream_request(address_, kPath, std::to_string(last_event_)));
}

std::vector<codec::DiscoveryEvent> DiscoveryClient::on_bytes(std::string_view bytes) {
  last_byte_at_ = context_.now;
  has_data_ = true;
  timeout_ = initial_timeout_;
  std::vector<codec::DiscoveryEvent> events;
  const std::uint64_t lines_before = reader_.lines();
  reader_.feed(bytes);
  while (const auto frame = reader_.next()) {
    std::optional<codec::DiscoveryEvent> event = parse(*frame);
    if (!event || event->number <= last_event_) continue;  // an event is never applied twice
    if (is_gap_before(*event)) {
      close(CloseReason::bad_stream, ClosedBy::proxy);
      return events;
    }
    last_event_ = event->number;
    backoff_ = kMinBackoff;
    ++event_count_;
    events.push_back(std::move(*event));
  }
  if (reader_.lines() != lines_before) last_line_at_ = context_.now;
  if (reader_.error() != codec::StreamError::none) close(CloseReason::bad_stream, ClosedBy::proxy);
  return events;
}

/// Guards against one malformed event ending the program or blocking those after it: it is skipped.
std::optional<codec::DiscoveryEvent> DiscoveryClient::parse(const codec::StreamEvent& frame) {
  try {
    return codec::parse_discovery_event(frame.data, field_names_);
  } catch (const FieldError& problem) {
    context_.log(std::string("bulletin unreadable event id=") + frame.id + " " + problem.what());
  }
  std::int64_t number = 0;
  std::from_chars(frame.id.data(), frame.id.data() + frame.id.size(), number);
  if (number == last_event_ + 1) last_event_ = number;
  return std::nullopt;
}

/// Guards against a gap: a lost invalidation or draining would break a rule. The next connection asks for
/// what is missing. A discovery service that does not have it either would block all events for ever: then
/// the gap is passed over.
bool DiscoveryClient::is_gap_before(const codec::DiscoveryEvent& event) {
  if (event.number == last_event_ + 1) return false;
  if (std::exchange(gap_after_, last_event_) == last_event_) return false;
  context_.log("bulletin gap last=" + std::to_string(last_event_) + " got=" + std::to_string(event.number));
  return true;
}

void DiscoveryClient::set_address(const std::string& address) {
  if (address == address_ || stopped_) return;
  address_ = address;
  backoff_ = kMinBackoff;
  timeout_ = initial_timeout_;
  if (connection_ != 0) close(CloseReason::discovery_moved, ClosedBy::proxy);
  open();
}

void DiscoveryClient::on_loop_stall() { opened_at_ = last_byte_at_ = last_line_at_ = context_.now; }

void DiscoveryClient::on_closed(CloseReason reason) { close(reason, ClosedBy::peer); }

void DiscoveryClient::close_if_silent() {
  if (connection_ == 0) return;
  const Time silence = context_.now - (is_connected_ ? last_byte_at_ : opened_at_);
  const bool is_silent = silence >= (has_data_ ? kSilenceTimeout : timeout_);
  if (!is_silent && context_.now - last_line_at_ < kLineTimeout) return;
  timeout_ = std::min(timeout_ * 2, kSilenceTimeout);
  close(is_connected_ ? CloseReason::silent : CloseReason::connect_timeout, ClosedBy::proxy);
}

void DiscoveryClient::stop() {
  stopped_ = true;
  if (connection_ != 0) close(CloseReason::stopping, ClosedBy::proxy);
}

void DiscoveryClient::close(CloseReason reason, ClosedBy closed_by) {
  context_.log_closed({"bulletin", connection_, opened_at_, event_count_, {}}, reason, closed_by);
  connection_ = 0;
  if (stopped_) return;
  // What a discovery service that broke the connection off has to announce may bind soon: one that was heard
  // is asked again at once. Guards it against a fleet that loses it at one moment and reconnects in step ever
  // after: within the shortest backoff, which is little beside the time after which invalidations bind, or
  // the second half of a longer one, each proxy connects at a moment of its own.
  const bool was_lost = std::exchange(is_connected_, false) && context_.now - opened_at_ >= kMaxBackoff;
  if (was_lost) backoff_ = Time{0};
  const Time delay = was_lost ? random_delay(kMinBackoff) : backoff_ - random_delay(backoff_ / 2);
  context_.timers.add(context_.now + delay, Timer::of(TimerKind::discovery_connect));
  backoff_ = std::clamp(backoff_ * 2, kMinBackoff, kMaxBackoff);
}

Time DiscoveryClient::random_delay(Time max_delay) {
  std::uniform_real_distribution<double> delay(0, static_cast<double>(max_delay.count()));
  return Time{static_cast<std::int64_t>(delay(random_))};
}

}  // namespace edge_proxy::proxy
