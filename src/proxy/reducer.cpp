// SPDX-License-Identifier: MIT
#include "proxy/reducer.h"

#include <algorithm>
#include <utility>

#include "proxy/admin/admin_connections.h"
#include "proxy/admin/admin_handler.h"
#include "proxy/admin/stats_log.h"
#include "proxy/client/client_call_handler.h"
#include "proxy/client/client_connections.h"
#include "proxy/client/executed_requests.h"
#include "proxy/client/pending_requests.h"
#include "proxy/client/request_admission.h"
#include "proxy/cluster/membership_adapter.h"
#include "proxy/cluster/policy_controller.h"
#include "proxy/context.h"
#include "proxy/discovery/discovery_client.h"
#include "proxy/discovery/discovery_handler.h"
#include "proxy/graceful_shutdown.h"
#include "proxy/local_cache.h"
#include "proxy/readiness.h"
#include "proxy/request_dispatcher.h"
#include "proxy/upstream/endpoint_directory.h"
#include "proxy/upstream/upstream_pool.h"

namespace edge_proxy::proxy {
namespace {

using namespace std::chrono_literals;

/// Interval between searches for connections whose time limits have passed.
constexpr Time kSweepInterval = 100ms;
constexpr Time kStatsInterval = 1s;
/// Timers of ended requests that may be kept until they are due.
constexpr std::size_t kMaxStaleTimers = 1024;

GracefulShutdown::AdminListener admin_listener_of(const config::Config& config) {
  return config.admin_address.empty() ? GracefulShutdown::AdminListener::absent
                                      : GracefulShutdown::AdminListener::open;
}

}  // namespace

/// Dispatches each input to the responsible part and calls the parts in a fixed order. Each part has its own
/// state; this class holds the running configuration and the time of the armed timer.
class State::Impl {
 public:
  Impl(const config::Config& config, Time now)
      : config_(config),
        settings_(config_.settings),
        router_(config.settings, config.seed),
        context_(config),
        admin_connections_(context_),
        client_connections_(context_),
        pending_requests_(context_, client_connections_, settings_),
        executed_requests_(settings_, context_.memory, context_.limits.max_executed_requests),
        upstream_pool_(
            context_, config,
            [this](const std::string& request) { return pending_requests_.find(request) != nullptr; }),
        discovery_client_(context_, config),
        local_cache_(config),
        membership_(context_, config),
        policy_(context_, membership_, config),
        dispatcher_({context_, settings_, router_, pending_requests_, executed_requests_, upstream_pool_,
                     discovery_client_, local_cache_, policy_, stats_log_}),
        discovery_handler_({context_, endpoint_directory_, upstream_pool_, local_cache_, dispatcher_}),
        shutdown_({context_, settings_, client_connections_, pending_requests_, upstream_pool_,
                   admin_connections_, discovery_client_, membership_},
                  admin_listener_of(config)),
        readiness_(discovery_handler_, shutdown_, policy_),
        admission_({context_, client_connections_, pending_requests_, executed_requests_, policy_, shutdown_,
                    router_}),
        client_calls_({client_connections_, pending_requests_, admission_, dispatcher_, readiness_,
                       stats_log_, context_.memory}),
        admin_handler_({context_, admin_connections_, pending_requests_, upstream_pool_, router_,
                        endpoint_directory_, membership_, policy_}) {
    context_.now = now;
    context_.log("starting name=" + config.name + " listen=" + config.listen_address +
                 " known=" + std::to_string(config.last_known_event));
    discovery_handler_.apply_known_events(config.known_events);
    config_.known_events.clear();
    discovery_client_.open();
    context_.timers.add(now + kSweepInterval, Timer::of(TimerKind::sweep));
    context_.timers.add(now + kStatsInterval, Timer::of(TimerKind::log_stats));
  }

  std::vector<Effect> reduce(Time now, const Input& input) {
    const bool was_stalled = advance_clock(now);
    // Policy and quota are updated before all decisions, since a lease may have expired since the last input.
    policy_.run_timers();
    apply_changed_policy();
    apply_changed_quota();
    if (was_stalled) {
      discovery_client_.on_loop_stall();
      upstream_pool_.on_loop_stall();
    }
    // The input is applied before expired timers: it may be an invalidation or a client's disconnect.
    std::visit([this](const auto& typed_input) { handle(typed_input); }, input);
    run_timers();
    shed_excess_memory();
    membership_.run_timers();
    run_policy();
    apply_changed_quota();
    dispatcher_.report_completions();
    shutdown_.advance();
    arm_timer();
    return std::exchange(context_.effects, {});
  }

 private:
  // ---- Time and timers ----

  /// Returns whether the event loop stalled, which is the case if no input arrived for longer than it ever
  /// sleeps. Without this check, the proxy would mistake its own stall for the silence of its peers: it would
  /// reconnect to the discovery service and send attempts without the events that arrived during the stall.
  bool advance_clock(Time now) {
    const Time pause = now - context_.now;
    const bool was_stalled = pause >= kLoopStallThreshold;
    if (was_stalled) context_.log("event loop stalled ms=" + std::to_string(pause.count() / 1000));
    context_.now = std::max(context_.now, now);
    return was_stalled;
  }

  void run_timers() {
    while (const auto timer = context_.timers.pop_due(context_.now)) {
      on_timer(*timer);
      dispatcher_.report_completions();
    }
  }

  void on_timer(const Timer& timer) {
    switch (timer.kind) {
      case TimerKind::router_timer:
        dispatcher_.notify_router(TimerFired{timer.router_token});
        break;
      case TimerKind::request_expired:
        dispatcher_.expire(timer.request);
        break;
      case TimerKind::attempt_timeout:
        upstream_pool_.on_attempt_timeout({timer.request, timer.attempt});
        break;
      case TimerKind::delayed_completion:
        upstream_pool_.release_delayed_completion();
        break;
      case TimerKind::connect_timeout:
        upstream_pool_.on_connect_timeout(timer.connection);
        break;
      case TimerKind::sweep:
        sweep();
        break;
      case TimerKind::discovery_connect:
        discovery_client_.open();
        break;
      case TimerKind::log_stats:
        log_stats();
        break;
      case TimerKind::close_idle:
      case TimerKind::stop_listening:
      case TimerKind::stop_serving:
      case TimerKind::stop_flushing:
        shutdown_.on_timer(timer.kind);
        break;
    }
  }

  /// Closes the connections whose time limits have passed.
  void sweep() {
    client_calls_.close_expired();
    upstream_pool_.close_expired();
    admin_connections_.sweep();
    discovery_client_.close_if_silent();
    executed_requests_.forget_expired(context_.now);
    context_.timers.add(context_.now + kSweepInterval, Timer::of(TimerKind::sweep));
  }

  /// Keeps the memory that peers make the process hold within its limit. Each use is brought within its
  /// allowance: operators first, then clients with incomplete messages and endpoints with incomplete
  /// responses. Replies have no allowance, since memory for them is reserved at admission; if the limit was
  /// lowered, clients that have stopped reading are disconnected.
  void shed_excess_memory() {
    drop_stale_timers();
    admin_connections_.shed_excess_memory();
    client_calls_.shed_incomplete_messages();
    upstream_pool_.shed_excess_memory();
    client_calls_.shed_stalled_readers();
  }

  /// Timers of requests that have ended would otherwise stay until their due times. Clients that send and
  /// withdraw requests at full speed would make them use up the memory.
  void drop_stale_timers() {
    const std::size_t live = pending_requests_.open_count() + upstream_pool_.attempts_in_flight();
    if (context_.timers.size() <= kMaxStaleTimers + 2 * live) return;
    context_.timers.erase_if([this](const Timer& timer) {
      if (timer.kind == TimerKind::request_expired) return pending_requests_.find(timer.request) == nullptr;
      return timer.kind == TimerKind::attempt_timeout &&
             !upstream_pool_.has_attempt({timer.request, timer.attempt});
    });
  }

  void log_stats() {
    StatsLog::Gauges gauges;
    gauges.pending_requests = pending_requests_.open_count();
    gauges.attempts_in_flight = upstream_pool_.attempts_in_flight();
    gauges.router = router_.stats();
    gauges.endpoints = upstream_pool_.endpoint_count();
    gauges.table_entries = context_.timers.size() + local_cache_.table_entries() +
                           upstream_pool_.table_entries() + executed_requests_.size();
    gauges.connections = context_.open_connections;
    stats_log_.log_second(context_, gauges);
    if (shutdown_.is_finished()) return;
    context_.timers.add(context_.now + kStatsInterval, Timer::of(TimerKind::log_stats));
  }

  void arm_timer() {
    auto due = context_.timers.next_due();
    for (const auto& other : {membership_.next_due(), policy_.next_due()}) {
      if (other && (!due || *other < *due)) due = other;
    }
    if (!due || armed_for_ == *due) return;
    armed_for_ = *due;
    context_.effects.emplace_back(ArmTimer{*due});
  }

  // The event loop may wake early. Its timer is no longer armed then, so that arm_timer() has to arm it
  // again.
  void handle(const LoopTimerExpired&) { armed_for_ = Time{0}; }

  // ---- Connections: each input goes to the part that owns the connection ----

  void handle(const Accepted& input) {
    if (input.listener == kAdminListener) {
      admin_connections_.on_accepted(input.connection);
    } else {
      client_connections_.on_accepted(input.connection);
    }
  }

  void handle(const BytesArrived& input) {
    if (client_connections_.owns(input.connection)) {
      client_calls_.on_bytes(input.connection, input.bytes);
    } else if (upstream_pool_.owns(input.connection)) {
      upstream_pool_.on_bytes(input.connection, input.bytes);
    } else if (admin_connections_.owns(input.connection)) {
      const auto call = admin_connections_.on_bytes(input.connection, input.bytes);
      if (call) admin_handler_.execute(input.connection, *call, readiness_.is_ready());
    } else if (discovery_client_.owns(input.connection)) {
      for (const codec::DiscoveryEvent& event : discovery_client_.on_bytes(input.bytes)) {
        discovery_handler_.apply(event, DiscoveryHandler::EventSource::discovery_service);
      }
    }
  }

  void handle(const WriteDrained& input) {
    if (client_connections_.owns(input.connection)) {
      client_connections_.on_write_drained(input.connection);
    } else if (upstream_pool_.owns(input.connection)) {
      upstream_pool_.on_write_drained(input.connection);
    }
  }

  void handle(const WriteProgressed& input) {
    if (!client_connections_.owns(input.connection)) return;
    client_connections_.on_write_progressed(input.connection, input.bytes);
  }

  void handle(const Connected& input) {
    if (upstream_pool_.owns(input.connection)) {
      upstream_pool_.on_connected(input.connection);
    } else if (discovery_client_.owns(input.connection)) {
      discovery_client_.on_connected();
    }
  }

  void handle(const DescriptorsExhausted&) { client_connections_.free_descriptor(); }

  void handle(const ConnectFailed& input) { on_closed(input.connection, CloseReason::connect_refused); }

  void handle(const ConnectionClosed& input) {
    on_closed(input.connection, input.is_reset ? CloseReason::peer_reset : CloseReason::peer_closed);
  }

  void on_closed(ConnectionId connection, CloseReason reason) {
    if (client_connections_.owns(connection)) {
      client_calls_.on_closed(connection, reason);
    } else if (upstream_pool_.owns(connection)) {
      upstream_pool_.on_closed(connection, reason);
    } else if (admin_connections_.owns(connection)) {
      admin_connections_.end(connection, reason, ClosedBy::peer);
    } else if (discovery_client_.owns(connection)) {
      discovery_client_.on_closed(reason);
    }
  }

  // ---- Operators ----

  void handle(const ShutdownRequested&) { shutdown_.begin(); }

  void handle(const ListenerClosed&) { shutdown_.on_listener_closed(); }

  /// Applies the settings that can change at run time. Requests, connections and the position in the event
  /// stream are kept.
  void handle(const Reloaded& input) {
    for (const std::string& key : config::restart_only_keys(config_, input.config)) {
      context_.log("reload ignored key=" + key + ": the change needs a restart");
    }
    config_.discovery_address = input.config.discovery_address;
    config_.max_descriptors = input.config.max_descriptors;
    config_.memory_bytes = input.config.memory_bytes;
    context_.limits = ResourceLimits(config_);
    context_.memory.set_limit(context_.limits.peer_memory_bytes);
    local_cache_.resize(config_.memory_bytes);
    executed_requests_.set_max_entries(context_.limits.max_executed_requests);
    context_.log("reloaded bulletin=" + config_.discovery_address);
    discovery_client_.set_address(config_.discovery_address);
  }

  // A running proxy keeps its configuration if the new file is invalid.
  void handle(const ReloadFailed& input) { context_.log("reload failed, nothing changed: " + input.problem); }

  void handle(const OverridesStored& input) {
    discovery_handler_.apply_overrides(endpoint_directory_.merge_overrides(input.overrides));
    for (const OverrideReply& reply : input.replies) admin_handler_.answer(reply);
  }

  // ---- The cluster ----

  void handle(const MembershipReady& input) {
    membership_.start(input.identity);
    policy_.start(input.identity);
  }

  void handle(const MembershipInput& input) { membership_.handle(input.input); }

  void handle(const ConsensusOutput& input) { policy_.handle(input); }

  /// Delivers members' messages and membership changes to the policy, runs its timers, applies a changed
  /// policy and sends the pending replies to operators.
  void run_policy() {
    if (!policy_.is_enabled()) return;
    for (const membership::UserMessageReceived& message : membership_.take_user_messages()) {
      policy_.on_user_message(message);
    }
    policy_.update_members();
    policy_.run_timers();
    apply_changed_policy();
    for (const auto& [connection, status, body] : policy_.take_replies()) {
      if (admin_connections_.owns(connection)) admin_connections_.reply(connection, status, body);
    }
  }

  /// Passes a changed policy to the router as one event, so that no request sees parts of two policies.
  void apply_changed_policy() {
    auto terms = policy_.take_changed_terms();
    if (!terms) return;
    config_.settings = std::move(terms->settings);
    admission_.set_refused_classes(std::move(terms->refused_classes));
    dispatcher_.notify_router(SettingsChanged{settings_});
    discovery_handler_.apply_overrides(
        endpoint_directory_.set_policy_suspended(std::move(terms->suspended_endpoints), context_.now));
    context_.effects.emplace_back(MergeOverrides{endpoint_directory_.overrides()});
  }

  /// Passes a changed quota to the router. A proxy whose quota lease expired during a stall or a network
  /// partition must not use its share any longer, since other proxies may hold it now.
  void apply_changed_quota() {
    const auto zone = static_cast<std::size_t>(settings_.zone);
    const auto& routers_by_zone = settings_.routers_by_zone;
    const int zone_size = zone < routers_by_zone.size() ? routers_by_zone[zone] : settings_.router_count;
    if (const auto quota = membership_.take_changed_quota(settings_.router_count, zone_size)) {
      dispatcher_.notify_router(*quota);
    }
  }

  config::Config config_;  // last reload; its settings are those of the start or of the policy in force
  const Settings& settings_;
  Router router_;
  Context context_;
  AdminConnections admin_connections_;
  ClientConnections client_connections_;
  PendingRequests pending_requests_;
  ExecutedRequests executed_requests_;
  EndpointDirectory endpoint_directory_;
  UpstreamPool upstream_pool_;
  DiscoveryClient discovery_client_;
  LocalCache local_cache_;
  MembershipAdapter membership_;
  PolicyController policy_;
  StatsLog stats_log_;
  RequestDispatcher dispatcher_;
  DiscoveryHandler discovery_handler_;
  GracefulShutdown shutdown_;
  Readiness readiness_;
  RequestAdmission admission_;
  ClientCallHandler client_calls_;
  AdminHandler admin_handler_;
  Time armed_for_{0};
};

State::State(const config::Config& config, Time now) : impl_(std::make_unique<Impl>(config, now)) {}
State::~State() = default;
State::State(State&&) noexcept = default;
State& State::operator=(State&&) noexcept = default;

std::vector<Effect> reduce(State& state, Time now, const Input& input) {
  return state.impl_->reduce(now, input);
}

}  // namespace edge_proxy::proxy
