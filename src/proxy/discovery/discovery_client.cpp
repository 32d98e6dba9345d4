// SPDX-License-Identifier: MIT
#include "proxy/discovery/discovery_client.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace edge_proxy::proxy {
namespace {

using namespace std::chrono_literals;

constexpr std::string_view kPath = "/bulletins";
// The discovery service sends a comment every second. A connection without a byte for this long is dead.
constexpr Time kSilenceTimeout = 2500ms;
// A connection that receives bytes but no complete line for this long is dead, too. The limit is longer than
// that for silence, since a long line may arrive in pieces. Announcements of the discovery service take
// effect at most 7 s later, which leaves time to reconnect.
constexpr Time kLineTimeout = 5s;
// The initial timeout for opening a connection and for its first byte is half the time after which
// announcements take effect, within these bounds. It doubles with each failed connection up to
// kSilenceTimeout; with a fixed timeout, a slow discovery service would be disconnected forever.
constexpr Time kMinInitialTimeout = 100ms;
constexpr Time kMaxInitialTimeout = 500ms;
constexpr Time kMinBackoff = 50ms;  // delay before a reconnect; doubles up to kMaxBackoff
constexpr Time kMaxBackoff = 800ms;
/// How far the clock of the discovery service may be ahead of the proxy's clock.
constexpr Time kMaxClockSkew = 1s;

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
  reader_ = codec::EventStreamReader(context_.limits.discovery_event_bytes);
}

void DiscoveryClient::on_connected() {
  is_connected_ = true;
  last_byte_at_ = last_line_at_ = context_.now;
  context_.write(connection_, codec::write_stream_request(address_, kPath, std::to_string(last_event_)));
}

std::vector<codec::DiscoveryEvent> DiscoveryClient::on_bytes(std::string_view bytes) {
  last_byte_at_ = context_.now;
  if (!std::exchange(has_data_, true)) unconfirmed_gap_end_ = context_.now;
  timeout_ = initial_timeout_;
  std::vector<codec::DiscoveryEvent> events;
  const std::uint64_t lines_before = reader_.lines();
  reader_.feed(bytes);
  while (const auto frame = reader_.next()) {
    std::optional<codec::DiscoveryEvent> event = parse(*frame);
    if (!event || event->number <= last_event_) continue;  // no event is applied twice
    if (is_gap_before(*event)) {
      close(CloseReason::bad_stream, ClosedBy::proxy);
      return events;
    }
    last_event_ = event->number;
    backoff_ = kMinBackoff;
    confirm_gap(*event);
    ++event_count_;
    events.push_back(std::move(*event));
  }
  if (reader_.lines() != lines_before) last_line_at_ = context_.now;
  if (reader_.error() != codec::StreamError::none) close(CloseReason::bad_stream, ClosedBy::proxy);
  return events;
}

/// Returns none for a malformed event, which is skipped: it must neither end the process nor block the events
/// after it.
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

/// Returns whether events are missing before this one. A lost invalidation or drain would break a rule, so
/// that the connection is closed and the next one requests the missing events. If the discovery service
/// doesn't have them either, a second gap after the same event is accepted: otherwise all events would be
/// blocked forever.
bool DiscoveryClient::is_gap_before(const codec::DiscoveryEvent& event) {
  if (event.number == last_event_ + 1) return false;
  if (std::exchange(gap_after_, last_event_) == last_event_) return false;
  context_.log("bulletin gap last=" + std::to_string(last_event_) + " got=" + std::to_string(event.number));
  return true;
}

void DiscoveryClient::confirm_gap(const codec::DiscoveryEvent& event) {
  if (!unconfirmed_gap_end_ || !event.invalidation) return;
  if (event.invalidation->issued_at >= *unconfirmed_gap_end_ + kMaxClockSkew) unconfirmed_gap_end_.reset();
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
  // Announcements may take effect soon, so that the proxy reconnects without backoff after it has lost a
  // connection that was opened at least kMaxBackoff ago. All proxies of a fleet may lose the discovery
  // service at the same time; a random delay keeps them from reconnecting in step. After such a loss, the
  // delay is at most the shortest backoff, which is short compared with the time after which invalidations
  // take effect; otherwise, it is in the second half of the backoff.
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
