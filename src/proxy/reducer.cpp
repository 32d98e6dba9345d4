// SPDX-License-Identifier: MIT
#include "proxy/reducer.h"

#include <algorithm>
#include <map>
#include <set>

#include "proxy/admin/admin_connections.h"
#include "proxy/admin/admin_handler.h"
#include "proxy/admin/stats_log.h"
#include "proxy/client/client_connections.h"
#include "proxy/client/pending_requests.h"
#include "proxy/cluster/membership_adapter.h"
#include "proxy/cluster/policy_controller.h"
#include "proxy/context.h"
#include "proxy/discovery/discovery_client.h"
#include "proxy/local_cache.h"
#include "proxy/request_dispatcher.h"
#include "proxy/upstream/endpoint_directory.h"
#include "proxy/upstream/upstream_pool.h"

namespace edge_proxy::proxy {
namespace {

using namespace std::chrono_literals;

constexpr Time kSweepEvery = 100ms;
constexpr Time kTellEvery = 1s;

}  // namespace

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
        upstream_pool_(
            context_, config,
            [this](const std::string& request) { return pending_requests_.find(request) != nullptr; }),
        discovery_client_(context_, config),
        local_cache_(config),
        membership_(context_, config),
        policy_(context_, membership_, config),
        admin_handler_({context_, admin_connections_, pending_requests_, upstream_pool_, router_,
                        endpoint_directory_, membership_, policy_}),
        dispatcher_({context_, settings_, router_, pending_requests_, upstream_pool_, discovery_client_,
                     local_cache_, policy_, stats_log_}) {
    context_.now = now;
    context_.log("starting name=" + config.name + " listen=" + config.listen_address +
                 " known=" + std::to_string(config.last_known_event));
    bool remembered = true;
    for (const codec::DiscoveryEvent& event : config.known_events) {
      apply(event, remembered);
      remembered = remembered && !event.endpoints;
    }
    config_.known_events.clear();
    discovery_client_.open();
    context_.timers.add(now + kSweepEvery, Timer::of(TimerKind::sweep));
    context_.timers.add(now + kTellEvery, Timer::of(TimerKind::log_stats));
  }

  std::vector<Effect> take(Time now, const Input& input) {
    // Guards against taking its own standstill for the silence of others: the bulletin would be asked anew,
    // and sends go on without what it has told meanwhile.
    const bool stood_still = now - context_.now >= kLoopStallThreshold;
    if (stood_still) context_.log("stood still ms=" + std::to_string((now - context_.now).count() / 1000));
    context_.now = std::max(context_.now, now);
    // What is agreed goes before all that is decided: a lease may have run out meanwhile.
    policy_.run_timers();
    apply_terms();
    apply_portion();
    if (stood_still) {
      discovery_client_.on_loop_stall();
      upstream_pool_.on_loop_stall();
    }
    // What has come goes before what is due: it may be the bulletin's, or the end of a client.
    std::visit([this](const auto& in) { on(in); }, input);
    run_timers();
    membership_.run_timers();
    agree();
    apply_portion();
    dispatcher_.report_completions();
    stop_when_done();
    arm();
    return std::exchange(context_.effects, {});
  }

 private:
  // ---- Inputs ----

  void on(const Accepted& in) {
    if (in.listener == kAdminListener) {
      admin_connections_.on_accepted(in.connection);
    } else {
      client_connections_.on_accepted(in.connection);
    }
  }

  void on(const BytesArrived& in) {
    if (client_connections_.owns(in.connection)) {
      std::vector<ClientCall> calls = client_connections_.on_bytes(in.connection, in.bytes);
      drop_cancelled(calls);
      for (ClientCall& call : calls) {
        if (client_connections_.protocol(in.connection) == nullptr) break;  // it was turned away
        std::visit([&](auto& c) { on_call(in.connection, c); }, call);
      }
      // Guards the other connections against a stream that can't be read any further: it alone is closed.
      if (client_connections_.is_broken(in.connection)) turn_away(in.connection);
    } else if (upstream_pool_.owns(in.connection)) {
      upstream_pool_.on_bytes(in.connection, in.bytes);
    } else if (admin_connections_.owns(in.connection)) {
      if (const auto call = admin_connections_.on_bytes(in.connection, in.bytes))
        on_admin(in.connection, *call);
    } else if (discovery_client_.owns(in.connection)) {
      for (const codec::DiscoveryEvent& event : discovery_client_.on_bytes(in.bytes)) apply(event, false);
    }
  }

  /// Guards caches against work for a client that has cancelled already: its request and the cancel were read
  /// together. No answer is owed.
  static void drop_cancelled(std::vector<ClientCall>& calls) {
    std::set<CallId> cancelled;  // behind the one looked at
    for (std::size_t at = calls.size(); at-- > 0;) {
      if (const auto* cancel = std::get_if<CancelRequest>(&calls[at])) {
        cancelled.insert(cancel->id);
      } else if (const auto* asked = std::get_if<ObjectRequest>(&calls[at]);
                 asked != nullptr && cancelled.count(asked->id) != 0) {
        calls.erase(calls.begin() + static_cast<std::ptrdiff_t>(at));
      }
    }
  }

  void on(const WriteDrained& in) {
    if (client_connections_.owns(in.connection)) {
      client_connections_.on_write_drained(in.connection);
    } else if (upstream_pool_.owns(in.connection)) {
      upstream_pool_.on_write_drained(in.connection);
    }
  }

  void on(const Connected& in) {
    if (upstream_pool_.owns(in.connection)) {
      upstream_pool_.on_connected(in.connection);
    } else if (discovery_client_.owns(in.connection)) {
      discovery_client_.on_connected();
    }
  }

  void on(const DescriptorsExhausted&) { client_connections_.free_descriptor(); }
  void on(const ConnectFailed& in) { lost(in.connection, CloseReason::connect_refused); }
  void on(const Closed& in) {
    lost(in.connection, in.is_reset ? CloseReason::peer_reset : CloseReason::peer_closed);
  }

  void lost(ConnectionId connection, CloseReason reason) {
    if (client_connections_.owns(connection)) {
      end_front(connection, reason, false);
    } else if (upstream_pool_.owns(connection)) {
      upstream_pool_.on_closed(connection, reason);
    } else if (admin_connections_.owns(connection)) {
      admin_connections_.end(connection, reason, false);
    } else if (discovery_client_.owns(connection)) {
      discovery_client_.on_closed(reason);
    }
  }

  // Guards against a loop that wakes a moment early: what was armed has been used up and is armed anew.
  void on(const TimerExpired&) { armed_for_ = Time{0}; }

  void on(const ShutdownRequested&) {
    if (is_stopping_) return;
    is_stopping_ = true;
    context_.log("stopping open=" + std::to_string(pending_requests_.open_count()));
    context_.effects.emplace_back(StopAccepting{});
    membership_.stop();
    // Guards against the end of the process with requests unanswered: deadlines differ by site and day.
    answer_deadline_ =
        context_.now + std::min(longest_deadline(settings_), kMaxDeadlineAtShutdown) + kAnswerAfterDeadline;
    const Time serve_until =
        std::max(answer_deadline_ - kServeMarginAtShutdown, context_.now + kCloseIdleAfterShutdown);
    context_.timers.add(context_.now + kCloseIdleAfterShutdown, Timer::of(TimerKind::close_idle));
    context_.timers.add(std::min(context_.now + kListenAfterShutdown, serve_until),
                        Timer::of(TimerKind::stop_listening));
    context_.timers.add(serve_until, Timer::of(TimerKind::stop_serving));
    context_.timers.add(answer_deadline_ + kFlushAfterShutdown, Timer::of(TimerKind::stop_flushing));
  }

  /// Takes over what can change while it runs. Requests, connections and the place in the bulletin are kept.
  void on(const Reloaded& in) {
    for (const std::string& key : config::restart_only_keys(config_, in.config))
      context_.log("reload kept key=" + key + " until the next start");
    config_.discovery_address = in.config.discovery_address;
    config_.max_descriptors = in.config.max_descriptors;
    config_.memory_bytes = in.config.memory_bytes;
    context_.limits = ResourceLimits(config_);
    local_cache_.resize(config_.memory_bytes);
    context_.log("reloaded bulletin=" + config_.discovery_address);
    discovery_client_.set_address(config_.discovery_address);
  }
  // Guards against a faulty file ending what runs well.
  void on(const ReloadFailed& in) { context_.log("reload failed, nothing changed: " + in.problem); }

  void on(const OverridesLoaded& in) {
    const codec::EndpointUpdate changed = endpoint_directory_.load_overrides(in.overrides);
    if (!changed.endpoints.empty()) spread(changed, ListKind::changes);
    dispatcher_.report_completions();
  }

  /// Guards the others' shares: one whose lease has run out, while it stood still or was cut off, uses no
  /// more of it.
  void apply_portion() {
    const auto here = static_cast<std::size_t>(settings_.zone);
    const auto& by_zone = settings_.routers_by_zone;
    if (const auto portion = membership_.take_changed_quota(
            settings_.router_count, here < by_zone.size() ? by_zone[here] : settings_.router_count))
      dispatcher_.notify_router(*portion);
  }

  /// What members had carried here, who is reached, what is due; then the terms that have come to hold.
  void agree() {
    if (!policy_.is_enabled()) return;
    for (const membership::UserMessageReceived& carried : membership_.take_user_messages())
      policy_.on_user_message(carried);
    policy_.update_members();
    policy_.run_timers();
    apply_terms();
    for (const auto& [connection, status, text] : policy_.take_replies()) {
      if (admin_connections_.owns(connection)) admin_connections_.reply(connection, status, text);
    }
  }

  /// The module takes another policy as one input, between two requests.
  void apply_terms() {
    auto terms = policy_.take_changed_terms();
    if (!terms) return;
    config_.settings = std::move(terms->settings);
    refused_classes_ = std::move(terms->refused_classes);
    dispatcher_.notify_router(SettingsChanged{settings_});
    const codec::EndpointUpdate changed =
        endpoint_directory_.set_policy_suspended(std::move(terms->suspended_endpoints), context_.now);
    if (!changed.endpoints.empty()) spread(changed, ListKind::changes);
    dispatcher_.report_completions();
  }

  void on(const ConsensusOutput& in) { policy_.handle(in); }
  void on(const MembershipReady& in) {
    membership_.start(in.identity);
    policy_.start(in.identity);
  }
  void on(const MembershipInput& in) { membership_.handle(in.input); }

  void on_admin(ConnectionId connection, const AdminCall& call) {
    const codec::EndpointUpdate changed = admin_handler_.execute(call, context_.now);
    if (!changed.endpoints.empty()) spread(changed, ListKind::changes);
    dispatcher_.report_completions();
    admin_handler_.reply(connection, call, has_complete_list_ && !is_stopping_ && policy_.can_decide());
  }

  // ---- Timers ----

  void run_timers() {
    while (const auto timer = context_.timers.pop_due(context_.now)) {
      switch (timer->kind) {
        case TimerKind::router_timer:
          dispatcher_.notify_router(TimerFired{timer->router_token});
          break;
        case TimerKind::request_expired:
          dispatcher_.expire(timer->request);
          break;
        case TimerKind::attempt_timeout:
          upstream_pool_.time_out_attempt(timer->request, timer->attempt);
          break;
        case TimerKind::delayed_completion:
          upstream_pool_.release_delayed_completion();
          break;
        case TimerKind::connect_timeout:
          upstream_pool_.on_connect_timeout(timer->connection);
          break;
        case TimerKind::sweep:
          sweep();
          break;
        case TimerKind::discovery_connect:
          discovery_client_.open();
          break;
        case TimerKind::log_stats:
          tell_load();
          break;
        case TimerKind::close_idle:
          is_closing_idle_ = true;
          break;
        case TimerKind::stop_listening:
          is_listening_ = false;
          context_.close(kListener);
          break;
        case TimerKind::stop_serving:
          is_serving_ = false;
          break;
        case TimerKind::stop_flushing:
          break;  // what is done at each input from then on
      }
      dispatcher_.report_completions();
    }
  }

  void sweep() {
    for (const std::string& request : client_connections_.close_expired()) dispatcher_.cancel(request);
    upstream_pool_.close_expired();
    admin_connections_.sweep();
    discovery_client_.close_if_silent();
    context_.timers.add(context_.now + kSweepEvery, Timer::of(TimerKind::sweep));
  }

  void tell_load() {
    stats_log_.log_second(
        context_, {pending_requests_.open_count(), upstream_pool_.attempts_in_flight(), router_.stats(),
                   upstream_pool_.endpoint_count(), context_.timers.size() + local_cache_.table_entries(),
                   context_.open_connections});
    if (!is_stopped_) context_.timers.add(context_.now + kTellEvery, Timer::of(TimerKind::log_stats));
  }

  void arm() {
    auto due = context_.timers.next_due();
    for (const auto& other : {membership_.next_due(), policy_.next_due()}) {
      if (other && (!due || *other < *due)) due = other;
    }
    if (!due || armed_for_ == *due) return;
    armed_for_ = *due;
    context_.effects.push_back(ArmTimer{*due});
  }

  /// After SIGTERM: once nothing is owed any more, all connections end, and with them the program.
  void stop_when_done() {
    if (!is_closing_idle_ || is_stopped_) return;
    client_connections_.drain_quiet();
    // Guards the end of the process against clients that never read their answers.
    if (context_.now >= answer_deadline_ + kFlushAfterShutdown) client_connections_.disconnect_idle();
    if (is_listening_ || !client_connections_.empty() || pending_requests_.open_count() > 0) return;
    is_stopped_ = true;
    upstream_pool_.stop();
    admin_connections_.stop();
    if (!config_.admin_address.empty()) context_.close(kAdminListener);
    discovery_client_.stop();
    context_.log("stopped");
  }

  // ---- Clients ----

  void on_call(ConnectionId front, ObjectRequest& call) {
    // Guards against two requests under one number: which of them an answer is for could not be told.
    if (client_connections_.has_open_call(front, call.id)) {
      turn_away(front);
      return;
    }
    // Guards against clients that ask for more than they may or read: these refusals take next to no work.
    if (client_connections_.is_backed_up(front) || !is_serving_) {
      ++stats_log_.counters.rejected_early;
      pending_requests_.reject_unaccepted(front, call);
      return;
    }
    // Guards everywhere or nowhere: without a lease on the active epoch nothing is decided, and a class that
    // the policy refuses is refused.
    if (!policy_.can_decide()) policy_.count_rejected();
    const bool refused =
        !refused_classes_.empty() && refused_classes_.count(pending_requests_.class_of(call)) != 0;
    if (!policy_.can_decide() || refused) {
      ++stats_log_.counters.rejected_early;
      pending_requests_.reject_unaccepted(front, call);
      return;
    }
    // Guards what is taken late against the end of the process: it would never be answered.
    std::optional<PendingRequest> taken = pending_requests_.read(
        front, call, is_stopping_ ? std::optional<Time>(answer_deadline_) : std::nullopt);
    if (!taken || pending_requests_.find(taken->request.id) != nullptr) {
      ++stats_log_.counters.rejected_early;
      pending_requests_.fail_unaccepted(front, call);
      return;
    }
    // Guards the memory against clients that send more than can be passed on.
    if (!pending_requests_.has_room_for(*taken)) {
      ++stats_log_.counters.rejected_early;
      pending_requests_.reject_unaccepted(front, call);
      return;
    }
    dispatcher_.accept(std::move(*taken));
  }

  void on_call(ConnectionId front, const CancelRequest& call) {
    dispatcher_.cancel(client_connections_.remove_open_call(front, call.id));
  }

  void on_call(ConnectionId front, const ReadinessCheck& call) {
    client_connections_.reply(front,
                              client_connections_.protocol(front)->readiness_reply(
                                  call.id, has_complete_list_ && !is_stopping_ && policy_.can_decide()));
  }

  void on_call(ConnectionId front, const UnknownMethod& call) {
    if (call.wants_reply)
      client_connections_.reply(front, client_connections_.protocol(front)->unknown_method_reply(call));
  }

  /// Ends a client whose stream can't be followed any further, so that it can still read why.
  void turn_away(ConnectionId front) {
    std::string last = client_connections_.protocol(front)->malformed_stream_reply();
    for (const std::string& request :
         client_connections_.drain(front, CloseReason::bad_frame, std::move(last)))
      dispatcher_.cancel(request);
  }

  void end_front(ConnectionId front, CloseReason reason, bool close_it) {
    for (const std::string& request : client_connections_.close(front, reason, close_it))
      dispatcher_.cancel(request);
  }

  // ---- The bulletin ----

  void apply(const codec::DiscoveryEvent& event, bool remembered) {
    // Guards against a list that is whole in name and empty, which would end all service: it names no member
    // that has gone either, so nothing that was heard of drains is lost with it. Where nothing was known, it
    // is the list.
    const bool empty = event.endpoints && event.endpoints->is_complete &&
                       event.endpoints->endpoints.empty() && upstream_pool_.endpoint_count() > 0;
    if (empty) context_.log("list empty no=" + std::to_string(event.number) + " passed over");
    if (event.endpoints && !empty) {
      has_complete_list_ = has_complete_list_ || event.endpoints->is_complete;
      context_.log("list no=" + std::to_string(event.number) +
                   " complete=" + (event.endpoints->is_complete ? "1" : "0") +
                   " members=" + std::to_string(event.endpoints->endpoints.size()));
      spread(endpoint_directory_.apply(*event.endpoints, context_.now),
             !event.endpoints->is_complete ? ListKind::changes
             : remembered                  ? ListKind::from_configuration
                                           : ListKind::complete);
    }
    if (event.invalidation) {
      upstream_pool_.invalidate(*event.invalidation);
      local_cache_.invalidate(*event.invalidation, context_.now);
      dispatcher_.notify_router(
          Invalidation{event.invalidation->object, event.invalidation->group,
                       std::max(Time{0}, context_.now - event.invalidation->issued_at)});
    }
    dispatcher_.report_completions();
  }

  /// Tells the pool and the module of members as they are to be treated from now on.
  void spread(const codec::EndpointUpdate& roster, ListKind kind) {
    upstream_pool_.apply(roster);
    EndpointList list{kind, {}};
    for (const codec::ListedEndpoint& m : roster.endpoints) list.endpoints.push_back(m.endpoint);
    dispatcher_.notify_router(list);
  }

  config::Config config_;  // as reloaded; its settings are those of the start
  const Settings& settings_;
  Router router_;
  Context context_;
  Admin admin_connections_;
  ClientConnections client_connections_;
  PendingRequests pending_requests_;
  EndpointDirectory endpoint_directory_;
  UpstreamPool upstream_pool_;
  DiscoveryClient discovery_client_;
  LocalCache local_cache_;
  MembershipAdapter membership_;
  PolicyController policy_;
  std::set<std::size_t> refused_classes_;  // by the policy
  AdminHandler admin_handler_;
  StatsLog stats_log_;
  RequestDispatcher dispatcher_;
  bool has_complete_list_ = false;  // the whole list is in
  bool is_stopping_ = false;        // SIGTERM has come
  bool is_closing_idle_ = false;    // clients' connections end as soon as they owe nothing
  bool is_listening_ = true;
  bool is_serving_ = true;
  Time answer_deadline_{0};  // what is taken after SIGTERM is answered by then
  bool is_stopped_ = false;
  Time armed_for_{0};
};

State::State(const config::Config& config, Time now) : impl_(std::make_unique<Impl>(config, now)) {}
State::~State() = default;
State::State(State&&) noexcept = default;
State& State::operator=(State&&) noexcept = default;

std::vector<Effect> reduce(State& state, Time now, const Input& input) {
  return state.impl_->take(now, input);
}

}  // namespace edge_proxy::proxy
