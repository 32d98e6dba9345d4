// SPDX-License-Identifier: MIT
#include "proxy/reducer.h"

#include <algorithm>
#include <array>
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
#include "proxy/upstream/endpoint_directory.h"
#include "proxy/upstream/upstream_pool.h"

namespace edge_proxy::proxy {
namespace {

using namespace std::chrono_literals;

constexpr Time kSweepEvery = 100ms;
constexpr Time kTellEvery = 1s;
constexpr std::size_t kSameCopyCosts = 20;  // telling that a copy holds costs this part of sending it

}  // namespace

std::string_view name_of(CloseReason reason) {
  static constexpr std::array<std::string_view, 17> names{
      "peer_closed", "peer_reset", "connect_refused", "connect_timeout", "idle",        "bad_frame",
      "no_message",  "bad_answer", "bad_stream",      "bulletin_moved",  "member_left", "member_replaced",
      "silent",      "stalled",    "backlog",         "too_many",        "stopping"};
  return names[static_cast<std::size_t>(reason)];
}

class State::Impl {
 public:
  Impl(const config::Config& config, Time now)
      : running_(config),
        settings_(running_.settings),
        router_(config.settings, config.seed),
        context_(config),
        admin_(context_),
        fronts_(context_),
        requests_(context_, fronts_, settings_),
        pool_(context_, config,
              [this](const std::string& request) { return requests_.find(request) != nullptr; }),
        bulletin_(context_, config),
        copies_(config),
        peering_(context_, config),
        agreeing_(context_, peering_, config),
        operators_({context_, admin_, requests_, pool_, router_, membership_, peering_, agreeing_}) {
    context_.now = now;
    context_.log("starting name=" + config.name + " listen=" + config.listen_address +
                 " known=" + std::to_string(config.last_known_event));
    bool remembered = true;
    for (const codec::DiscoveryEvent& event : config.known_events) {
      apply(event, remembered);
      remembered = remembered && !event.endpoints;
    }
    running_.known_events.clear();
    bulletin_.open();
    context_.timers.add(now + kSweepEvery, {TimerKind::sweep, {}, 0, 0});
    context_.timers.add(now + kTellEvery, {TimerKind::log_stats, {}, 0, 0});
  }

  std::vector<Effect> take(Time now, const Input& input) {
    // Guards against taking its own standstill for the silence of others: the bulletin would be asked anew,
    // and sends go on without what it has told meanwhile.
    const bool stood_still = now - context_.now >= kLoopStallThreshold;
    if (stood_still) context_.log("stood still ms=" + std::to_string((now - context_.now).count() / 1000));
    context_.now = std::max(context_.now, now);
    // What is agreed goes before all that is decided: a lease may have run out meanwhile.
    agreeing_.run_timers();
    apply_terms();
    apply_portion();
    if (stood_still) {
      bulletin_.on_loop_stall();
      pool_.on_loop_stall();
    }
    // What has come goes before what is due: it may be the bulletin's, or the end of a client.
    std::visit([this](const auto& in) { on(in); }, input);
    run_timers();
    peering_.run_timers();
    agree();
    apply_portion();
    settle();
    stop_when_done();
    arm();
    return std::exchange(context_.effects, {});
  }

 private:
  // ---- Inputs ----

  void on(const Accepted& in) {
    if (in.listener == kAdminListener) {
      admin_.on_accepted(in.connection);
    } else {
      fronts_.on_accepted(in.connection);
    }
  }

  void on(const BytesArrived& in) {
    if (fronts_.owns(in.connection)) {
      std::vector<ClientCall> calls = fronts_.on_bytes(in.connection, in.bytes);
      drop_cancelled(calls);
      for (ClientCall& call : calls) {
        if (fronts_.protocol(in.connection) == nullptr) break;  // it was turned away
        std::visit([&](auto& c) { on_call(in.connection, c); }, call);
      }
      // Guards the other connections against a stream that can't be read any further: it alone is closed.
      if (fronts_.is_broken(in.connection)) turn_away(in.connection);
    } else if (pool_.owns(in.connection)) {
      pool_.on_bytes(in.connection, in.bytes);
    } else if (admin_.owns(in.connection)) {
      if (const auto call = admin_.on_bytes(in.connection, in.bytes)) on_admin(in.connection, *call);
    } else if (bulletin_.owns(in.connection)) {
      for (const codec::DiscoveryEvent& event : bulletin_.on_bytes(in.bytes)) apply(event, false);
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
    if (fronts_.owns(in.connection)) {
      fronts_.on_write_drained(in.connection);
    } else if (pool_.owns(in.connection)) {
      pool_.on_write_drained(in.connection);
    }
  }

  void on(const Connected& in) {
    if (pool_.owns(in.connection)) {
      pool_.on_connected(in.connection);
    } else if (bulletin_.owns(in.connection)) {
      bulletin_.on_connected();
    }
  }

  void on(const DescriptorsExhausted&) { fronts_.free_descriptor(); }
  void on(const ConnectFailed& in) { lost(in.connection, CloseReason::connect_refused); }
  void on(const Closed& in) {
    lost(in.connection, in.is_reset ? CloseReason::peer_reset : CloseReason::peer_closed);
  }

  void lost(ConnectionId connection, CloseReason reason) {
    if (fronts_.owns(connection)) {
      end_front(connection, reason, false);
    } else if (pool_.owns(connection)) {
      pool_.on_closed(connection, reason);
    } else if (admin_.owns(connection)) {
      admin_.end(connection, reason, false);
    } else if (bulletin_.owns(connection)) {
      bulletin_.on_closed(reason);
    }
  }

  // Guards against a loop that wakes a moment early: what was armed has been used up and is armed anew.
  void on(const TimerExpired&) { armed_ = Time{0}; }

  void on(const ShutdownRequested&) {
    if (stopping_) return;
    stopping_ = true;
    context_.log("stopping open=" + std::to_string(requests_.open_count()));
    context_.effects.emplace_back(StopAccepting{});
    peering_.stop();
    // Guards against the end of the process with requests unanswered: deadlines differ by site and day.
    stop_by_ =
        context_.now + std::min(longest_deadline(settings_), kMaxDeadlineAtShutdown) + kAnswerAfterDeadline;
    const Time serve_until =
        std::max(stop_by_ - kServeMarginAtShutdown, context_.now + kCloseIdleAfterShutdown);
    context_.timers.add(context_.now + kCloseIdleAfterShutdown, {TimerKind::close_idle, {}, 0, 0});
    context_.timers.add(std::min(context_.now + kListenAfterShutdown, serve_until),
                        {TimerKind::stop_listening, {}, 0, 0});
    context_.timers.add(serve_until, {TimerKind::stop_serving, {}, 0, 0});
    context_.timers.add(stop_by_ + kFlushAfterShutdown, {TimerKind::stop_flushing, {}, 0, 0});
  }

  /// Takes over what can change while it runs. Requests, connections and the place in the bulletin are kept.
  void on(const Reloaded& in) {
    for (const std::string& key : config::restart_only_keys(running_, in.config))
      context_.log("reload kept key=" + key + " until the next start");
    running_.discovery_address = in.config.discovery_address;
    running_.max_descriptors = in.config.max_descriptors;
    running_.memory_bytes = in.config.memory_bytes;
    context_.limits = ResourceLimits(running_);
    copies_.resize(running_.memory_bytes);
    context_.log("reloaded bulletin=" + running_.discovery_address);
    bulletin_.set_address(running_.discovery_address);
  }
  // Guards against a faulty file ending what runs well.
  void on(const ReloadFailed& in) { context_.log("reload failed, nothing changed: " + in.problem); }

  void on(const OverridesLoaded& in) {
    const codec::EndpointUpdate changed = membership_.load_overrides(in.overrides);
    if (!changed.endpoints.empty()) spread(changed, ListKind::changes);
    settle();
  }

  /// Guards the others' shares: one whose lease has run out, while it stood still or was cut off, uses no
  /// more of it.
  void apply_portion() {
    const auto here = static_cast<std::size_t>(settings_.zone);
    const auto& by_zone = settings_.routers_by_zone;
    if (const auto portion = peering_.take_changed_quota(
            settings_.router_count, here < by_zone.size() ? by_zone[here] : settings_.router_count))
      tell(*portion);
  }

  /// What members had carried here, who is reached, what is due; then the terms that have come to hold.
  void agree() {
    if (!agreeing_.is_enabled()) return;
    for (const membership::UserMessageReceived& carried : peering_.take_user_messages())
      agreeing_.on_user_message(carried);
    agreeing_.update_members();
    agreeing_.run_timers();
    apply_terms();
    for (const auto& [connection, status, text] : agreeing_.take_replies()) {
      if (admin_.owns(connection)) admin_.reply(connection, status, text);
    }
  }

  /// The module takes another policy as one input, between two requests.
  void apply_terms() {
    auto terms = agreeing_.take_changed_terms();
    if (!terms) return;
    running_.settings = std::move(terms->settings);
    refused_classes_ = std::move(terms->refused_classes);
    tell(SettingsChanged{settings_});
    const codec::EndpointUpdate changed =
        membership_.set_policy_suspended(std::move(terms->suspended_endpoints), context_.now);
    if (!changed.endpoints.empty()) spread(changed, ListKind::changes);
    settle();
  }

  void on(const ConsensusOutput& in) { agreeing_.handle(in); }
  void on(const MembershipReady& in) {
    peering_.start(in.identity);
    agreeing_.start(in.identity);
  }
  void on(const MembershipInput& in) { peering_.handle(in.input); }

  void on_admin(ConnectionId connection, const AdminCall& call) {
    const codec::EndpointUpdate changed = operators_.execute(call, context_.now);
    if (!changed.endpoints.empty()) spread(changed, ListKind::changes);
    settle();
    operators_.reply(connection, call, listed_ && !stopping_ && agreeing_.can_decide());
  }

  // ---- Timers ----

  void run_timers() {
    while (const auto timer = context_.timers.pop_due(context_.now)) {
      switch (timer->kind) {
        case TimerKind::router_timer:
          tell(TimerFired{std::stoll(timer->request)});
          break;
        case TimerKind::request_expired:
          expire(timer->request);
          break;
        case TimerKind::attempt_timeout:
          pool_.time_out_attempt(timer->request, timer->attempt);
          break;
        case TimerKind::delayed_completion:
          pool_.release_delayed_completion();
          break;
        case TimerKind::connect_timeout:
          pool_.on_connect_timeout(timer->connection);
          break;
        case TimerKind::sweep:
          sweep();
          break;
        case TimerKind::discovery_connect:
          bulletin_.open();
          break;
        case TimerKind::log_stats:
          tell_load();
          break;
        case TimerKind::close_idle:
          ending_idle_ = true;
          break;
        case TimerKind::stop_listening:
          listening_ = false;
          context_.close(kListener);
          break;
        case TimerKind::stop_serving:
          serving_ = false;
          break;
        case TimerKind::stop_flushing:
          break;  // what is done at each input from then on
      }
      settle();
    }
  }

  void sweep() {
    for (const std::string& request : fronts_.close_expired()) withdraw(request);
    pool_.close_expired();
    admin_.sweep();
    bulletin_.close_if_silent();
    context_.timers.add(context_.now + kSweepEvery, {TimerKind::sweep, {}, 0, 0});
  }

  void tell_load() {
    load_.log_second(context_, {requests_.open_count(), pool_.attempts_in_flight(), router_.stats(),
                                pool_.endpoint_count(), context_.timers.size() + copies_.table_entries(),
                                context_.open_connections});
    if (!stopped_) context_.timers.add(context_.now + kTellEvery, {TimerKind::log_stats, {}, 0, 0});
  }

  void arm() {
    auto due = context_.timers.next_due();
    for (const auto& other : {peering_.next_due(), agreeing_.next_due()}) {
      if (other && (!due || *other < *due)) due = other;
    }
    if (!due || armed_ == *due) return;
    armed_ = *due;
    context_.effects.push_back(ArmTimer{*due});
  }

  /// After SIGTERM: once nothing is owed any more, all connections end, and with them the program.
  void stop_when_done() {
    if (!ending_idle_ || stopped_) return;
    fronts_.drain_quiet();
    // Guards the end of the process against clients that never read their answers.
    if (context_.now >= stop_by_ + kFlushAfterShutdown) fronts_.disconnect_idle();
    if (listening_ || !fronts_.empty() || requests_.open_count() > 0) return;
    stopped_ = true;
    pool_.stop();
    admin_.stop();
    if (!running_.admin_address.empty()) context_.close(kAdminListener);
    bulletin_.stop();
    context_.log("stopped");
  }

  // ---- Clients ----

  void on_call(ConnectionId front, ObjectRequest& call) {
    // Guards against two requests under one number: which of them an answer is for could not be told.
    if (fronts_.has_open_call(front, call.id)) {
      turn_away(front);
      return;
    }
    // Guards against clients that ask for more than they may or read: these refusals take next to no work.
    if (fronts_.is_backed_up(front) || !serving_) {
      ++load_.counters.rejected_early;
      requests_.reject_unaccepted(front, call);
      return;
    }
    // Guards everywhere or nowhere: without a lease on the active epoch nothing is decided, and a class that
    // the policy refuses is refused.
    if (!agreeing_.can_decide()) agreeing_.count_rejected();
    const bool refused = !refused_classes_.empty() && refused_classes_.count(requests_.class_of(call)) != 0;
    if (!agreeing_.can_decide() || refused) {
      ++load_.counters.rejected_early;
      requests_.reject_unaccepted(front, call);
      return;
    }
    // Guards what is taken late against the end of the process: it would never be answered.
    std::optional<PendingRequest> taken =
        requests_.read(front, call, stopping_ ? std::optional<Time>(stop_by_) : std::nullopt);
    if (!taken || requests_.find(taken->request.id) != nullptr) {
      ++load_.counters.rejected_early;
      requests_.fail_unaccepted(front, call);
      return;
    }
    // Guards the memory against clients that send more than can be passed on.
    if (!requests_.has_room_for(*taken)) {
      ++load_.counters.rejected_early;
      requests_.reject_unaccepted(front, call);
      return;
    }
    ++load_.counters.accepted;
    Request request = taken->request;
    taken->accepted_epoch = agreeing_.epoch().value_or(0);
    if (agreeing_.is_tracing()) trace("taken", request.id, taken->accepted_epoch);
    // Guards the rule on purges: without its news a copy may be older than one that counts as told.
    if (!request.write && taken->key.empty() && taken->body.empty() && bulletin_.is_current() &&
        copies_.find(key_of(request), context_.now, max_age_of(request)) != nullptr)
      request.local_copy_wait = copies_.transfer_wait(context_.now);
    requests_.add(std::move(*taken));
    context_.timers.add(request.expires, {TimerKind::request_expired, request.id, 0, 0});
    tell(request);
    settle();
  }

  /// For those who hold all proxies' decisions against each other.
  void trace(const char* what, const std::string& request, std::uint64_t epoch) {
    context_.log(std::string("decided what=") + what + " request=" + request +
                 " epoch=" + std::to_string(epoch) + " now_us=" + std::to_string(context_.now.count()));
  }

  static LocalCache::Key key_of(const Request& r) {
    return {static_cast<std::size_t>(r.request_class), r.object, r.part};
  }
  Time max_age_of(const Request& r) const {
    return settings_.classes[static_cast<std::size_t>(r.request_class)].max_age;
  }

  void on_call(ConnectionId front, const CancelRequest& call) {
    withdraw(fronts_.remove_open_call(front, call.id));
  }

  void on_call(ConnectionId front, const ReadinessCheck& call) {
    fronts_.reply(front, fronts_.protocol(front)->readiness_reply(
                             call.id, listed_ && !stopping_ && agreeing_.can_decide()));
  }

  void on_call(ConnectionId front, const UnknownMethod& call) {
    if (call.wants_reply) fronts_.reply(front, fronts_.protocol(front)->unknown_method_reply(call));
  }

  /// Ends a client whose stream can't be followed any further, so that it can still read why.
  void turn_away(ConnectionId front) {
    std::string last = fronts_.protocol(front)->malformed_stream_reply();
    for (const std::string& request : fronts_.drain(front, CloseReason::bad_frame, std::move(last)))
      withdraw(request);
  }

  void end_front(ConnectionId front, CloseReason reason, bool close_it) {
    for (const std::string& request : fronts_.close(front, reason, close_it)) withdraw(request);
  }

  /// The client waits no longer: no answer is owed.
  void withdraw(const std::string& request) {
    if (!requests_.remove(request)) return;
    tell(RequestCancelled{request});
    settle();
  }

  /// Guards the rule on final answers, should the module not have given one by the time the client leaves.
  void expire(const std::string& request) {
    const PendingRequest* taken = requests_.find(request);
    if (taken == nullptr) return;
    const int attempts = taken->attempt_count;
    for (int n = 0; n < attempts; ++n) pool_.time_out_attempt(request, n);
    requests_.failed(request);
    tell(RequestCancelled{request});
  }

  // ---- The bulletin ----

  void apply(const codec::DiscoveryEvent& event, bool remembered) {
    // Guards against a list that is whole in name and empty, which would end all service: it names no member
    // that has gone either, so nothing that was heard of drains is lost with it. Where nothing was known, it
    // is the list.
    const bool empty = event.endpoints && event.endpoints->is_complete &&
                       event.endpoints->endpoints.empty() && pool_.endpoint_count() > 0;
    if (empty) context_.log("list empty no=" + std::to_string(event.number) + " passed over");
    if (event.endpoints && !empty) {
      listed_ = listed_ || event.endpoints->is_complete;
      context_.log("list no=" + std::to_string(event.number) +
                   " complete=" + (event.endpoints->is_complete ? "1" : "0") +
                   " members=" + std::to_string(event.endpoints->endpoints.size()));
      spread(membership_.apply(*event.endpoints, context_.now), !event.endpoints->is_complete
                                                                    ? ListKind::changes
                                                                : remembered ? ListKind::from_configuration
                                                                             : ListKind::complete);
    }
    if (event.invalidation) {
      pool_.invalidate(*event.invalidation);
      copies_.invalidate(*event.invalidation, context_.now);
      tell(Invalidation{event.invalidation->object, event.invalidation->group,
                        std::max(Time{0}, context_.now - event.invalidation->issued_at)});
    }
    settle();
  }

  /// Tells the pool and the module of members as they are to be treated from now on.
  void spread(const codec::EndpointUpdate& roster, ListKind kind) {
    pool_.apply(roster);
    EndpointList list{kind, {}};
    for (const codec::ListedEndpoint& m : roster.endpoints) list.endpoints.push_back(m.endpoint);
    tell(list);
  }

  // ---- The module ----

  void tell(const Event& event) {
    for (Action& action : router_.handle(context_.now, event)) {
      std::visit([this](auto& a) { perform(a); }, action);
    }
  }

  /// Tells the module of what has ended meanwhile, until nothing is left to tell.
  void settle() {
    AttemptCompletion ended;
    HealthChecked probed;
    while (true) {
      if (pool_.take_completion(ended)) {
        report(ended);
      } else if (pool_.take_health_result(probed)) {
        tell(probed);
      } else {
        return;
      }
    }
  }

  void report(const AttemptCompletion& ended) {
    Outcome outcome;
    outcome.request = ended.request;
    outcome.attempt = ended.attempt;
    outcome.endpoint = ended.endpoint;
    outcome.result = ended.result;
    // Guards clients against being told that the copy they hold is the one, where they hold none, or against
    // bytes that such an answer can't bring.
    if (ended.result == AttemptResult::served &&
        ended.response.status == codec::CacheResponseStatus::not_modified) {
      const PendingRequest* taken = requests_.find(ended.request);
      if (taken != nullptr && (taken->client_entity_tag.empty() || !ended.response.body.empty()))
        outcome.result = AttemptResult::malformed_response;
    }
    outcome.duration = ended.duration;
    load_.log_attempt(context_, ended, outcome.result);
    if (outcome.result == AttemptResult::served) {
      if (const PendingRequest* taken = requests_.find(ended.request)) {
        ++load_.counters.served;
        const Request& r = taken->request;
        if (!r.write) copies_.insert(key_of(r), r.group, ended.response, context_.now);
        requests_.served(ended.request, ended.response);
      }
    }
    outcome.request_finished = requests_.find(ended.request) == nullptr;
    tell(outcome);
  }

  void perform(Attempt& a) {
    ++load_.counters.attempts;
    UpstreamRequest order;
    order.request = a.request;
    order.endpoint = a.endpoint;
    order.source = a.source.empty() ? a.endpoint : a.source;
    order.decided_at = context_.now;
    order.expires_at = context_.now;  // unless somebody waits: then it is unsent
    order.max_copy_age = a.max_copy_age;
    if (PendingRequest* found = requests_.find(a.request)) {
      PendingRequest& taken = *found;
      order.attempt = taken.attempt_count++;
      order.request_class = static_cast<std::size_t>(taken.request.request_class);
      order.object = taken.request.object;
      order.group = taken.request.group;
      order.expires_at = taken.request.expires;
      if (a.send_within > Time{0}) order.send_before = context_.now + a.send_within;
      if (a.timeout > Time{0}) order.expires_at = std::min(order.expires_at, context_.now + a.timeout);
      // Guards the next epoch against what goes on under the one before: it is unsent.
      if (!agreeing_.can_attempt(taken.accepted_epoch)) order.expires_at = context_.now;
      if (agreeing_.is_tracing())
        trace(order.expires_at > context_.now ? "attempt" : "unsent", a.request, taken.accepted_epoch);
      order.body = taken.body;
      add_fields(order.fields, taken, a);
    }
    pool_.start_attempt(std::move(order));
  }

  static void add_fields(codec::FieldList& fields, const PendingRequest& taken, const Attempt& a) {
    fields.add("profile", taken.verb);
    fields.add("thing", taken.item);
    if (!taken.piece.empty()) fields.add("nth", taken.piece);
    if (!taken.key.empty()) fields.add("replay", taken.key);
    if (!taken.client_entity_tag.empty()) fields.add("seen", taken.client_entity_tag);
    if (a.rank != Rank::uncached) fields.add("rank", std::to_string(static_cast<int>(a.rank)));
    std::string mode;
    if (a.join_fill) mode += "collapse+";
    if (a.cached_only) mode += "only-if-cached+";
    if (a.parent_uncached) mode += "no-store-up+";
    if (a.stale_while_revalidate) mode += "refresh+";
    if (mode.empty()) return;
    mode.pop_back();
    fields.add("mode", mode);
  }

  void perform(const Cancel& c) { pool_.cancel_attempt(c.request, c.attempt); }
  void perform(const Reject& r) {
    ++load_.counters.rejected;
    requests_.rejected(r.request, r.retry_after);
  }
  void perform(const Fail& f) {
    ++load_.counters.failed;
    requests_.failed(f.request);
  }
  void perform(const ServeFromLocalCache& own) {
    const PendingRequest* taken = requests_.find(own.request);
    if (taken == nullptr) return;
    const LocalCache::CachedCopy* copy =
        copies_.find(key_of(taken->request), context_.now, max_age_of(taken->request));
    if (copy == nullptr) return;
    // Telling a client that the copy it holds is the one takes little of the link.
    const bool same = !taken->client_entity_tag.empty() && taken->client_entity_tag == copy->entity_tag;
    copies_.record_sent(same ? copy->body.size() / kSameCopyCosts : copy->body.size(), context_.now);
    ++load_.counters.served_locally;
    requests_.served(own.request, same ? std::string_view() : std::string_view(copy->body), copy->entity_tag,
                     same);
  }
  void perform(const SetTimer& w) {
    context_.timers.add(context_.now + w.after, {TimerKind::router_timer, std::to_string(w.token), 0, 0});
  }
  void perform(const CheckHealth& p) { pool_.check_health(p.endpoint); }
  void perform(const FetchEndpointList&) {}      // the bulletin tells of every change by itself
  void perform(const SubscribeEndpointList&) {}  // likewise
  void perform(const LogMessage& r) { context_.log("remark " + r.text); }

  config::Config running_;  // as reloaded; its settings are those of the start
  const Settings& settings_;
  Router router_;
  Context context_;
  Admin admin_;
  ClientConnections fronts_;
  PendingRequests requests_;
  EndpointDirectory membership_;
  UpstreamPool pool_;
  DiscoveryClient bulletin_;
  LocalCache copies_;
  MembershipAdapter peering_;
  PolicyController agreeing_;
  std::set<std::size_t> refused_classes_;  // by the policy
  AdminHandler operators_;
  StatsLog load_;
  bool listed_ = false;       // the whole list is in
  bool stopping_ = false;     // SIGTERM has come
  bool ending_idle_ = false;  // clients' connections end as soon as they owe nothing
  bool listening_ = true;
  bool serving_ = true;
  Time stop_by_{0};  // what is taken after SIGTERM is answered by then
  bool stopped_ = false;
  Time armed_{0};
};

State::State(const config::Config& config, Time now) : impl_(std::make_unique<Impl>(config, now)) {}
State::~State() = default;
State::State(State&&) noexcept = default;
State& State::operator=(State&&) noexcept = default;

std::vector<Effect> reduce(State& state, Time now, const Input& input) {
  return state.impl_->take(now, input);
}

}  // namespace edge_proxy::proxy
