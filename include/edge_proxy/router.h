// SPDX-License-Identifier: MIT
/// @file
/// The interface of the routing decisions (src/routing): the caller feeds events and carries out actions.
///
/// Units      Times are in microseconds: points on a monotonic clock of the caller, or durations. Sizes are
///            in kilobytes.
/// Ordering   The caller feeds events in the order in which they happened, and carries out the actions in
///            the order in which they are returned, at the time that it passed in.
/// Ownership  The router copies what it keeps. Returned values hold no references to its state.
/// Threads    A Router has no lock, thread, clock or global state, and is used from one thread at a time.
///            Different Routers share no state.
/// Duties     The caller owes one Outcome for each Attempt, however the attempt ends; a TimerFired for each
///            SetTimer (late is harmless, early is ignored); a RequestCancelled when a client leaves early.
/// Errors     The router throws and returns no errors. It rejects a request of an unknown class; it ignores
///            an Outcome of an unknown request or attempt, and a second Outcome of an attempt.
///
/// The router is deterministic: equal settings, seeds and events give equal actions.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace edge_proxy {

using Time = std::chrono::microseconds;

/// Whether a request may run twice: `with_key` requests carry an idempotency key, by which endpoints discard
/// duplicates.
enum class Idempotency { idempotent, with_key, none };

/// Which endpoints share their deduplication state for `with_key` requests: all, or those of one zone or
/// cell.
enum class DeduplicationScope { all, zone, cell };

/// What the weights in the endpoint list mean. `nominal` and `rough` weights describe the endpoints'
/// capacities, exactly or approximately; the router ignores weights of the other kinds.
enum class WeightMeaning { none, nominal, rough, live };

/// How load reports reach the router: not at all, with health checks, or with attempt outcomes.
enum class ReportVia { none, probes, answers };

/// Which caches may be the source of another cache's fill: none, those in the same location, or any.
enum class SiblingFills { none, location, any };

/// How much detail `Outcome::cache_status` has: none, only hits, or every status.
enum class CacheStatusDetail { none, hits, all };

/// The properties that all requests of a class share.
struct RequestClass {
  std::string name;
  Time latency_objective{0};  ///< a response within this time counts with `priority_weight`
  /// The latency objective grows by this multiple of the request's own transfer time.
  double latency_objective_per_transfer_time = 0;
  Time deadline{0};  ///< time from a request's arrival until its client gives up
  Idempotency idempotency = Idempotency::idempotent;
  DeduplicationScope deduplication_scope = DeduplicationScope::all;
  /// For `with_key` requests: how long endpoints discard duplicates after the first attempt was sent.
  Time deduplication_window{0};
  double priority_weight = 1;  ///< weight of a response within the latency objective
  double late_weight = 0;      ///< weight of a late response
  bool streamed = false;       ///< responses are streams
  Time max_age{0};             ///< how long a copy is fresh; 0: without limit
  Time grace{0};               ///< how much longer a stale copy may be served on request
  double stale_weight = 1;     ///< weight of a response from a copy within its grace
  bool segmented = false;      ///< objects are requested in parts
  bool uncacheable = false;    ///< requests run at the origin and leave no copy
};

/// Amounts subtracted from the score for each unit of a cost.
struct CostWeights {
  double cross_zone = 0, waste = 0, origin = 0, health_check = 0, late_failure = 0, link_bytes = 0;
};

/// The rules and capabilities of the site, and this router's place among all routers.
struct Settings {
  int router_number = 0;  ///< identifies this router among all routers
  int zone = 0;           ///< the location of this router
  int router_count = 1;   ///< number of routers in all zones
  std::vector<int> routers_by_zone;
  std::vector<int> hub_by_zone;
  std::vector<double> link_in_kb_per_s;  ///< incoming bandwidth by zone; 0: unknown
  std::vector<RequestClass> classes;
  int parent_kind = -1;            ///< `Endpoint::kind` of parents; -1: the site has none
  int origin_kind = -1;            ///< `Endpoint::kind` of the origin
  bool direct_to_sources = false;  ///< parents and the origin accept attempts too
  SiblingFills sibling_fills = SiblingFills::none;
  CacheStatusDetail cache_status_detail = CacheStatusDetail::none;
  double transfer_kb_per_s = 0;  ///< maximum transfer rate of one response; 0: unknown
  Time tick{0};                  ///< minimum time between two deliveries of events

  // The site's rules. An endpoint fails if, over `overload_window`, it receives more than `overload_factor`
  // times the capacity that it has at its age.
  Time answer_slack{0};
  Time drain_grace{0};
  double initial_capacity = 1;  ///< minimum fraction of its capacity with which a cache starts
  Time warm_up_time{0};
  double overload_factor = 0;
  Time overload_window{0};
  double parent_initial_capacity = 1;
  Time parent_warm_up_time{0};
  double parent_overload_factor = 0;
  double origin_overload_factor = 0;  ///< 0: the origin accepts any load
  Time origin_overload_window{0};
  Time invalidation_slack{0};
  Time invalidation_settled_after{0};  ///< time after an invalidation until no older copy exists

  // The site's capabilities.
  int max_attempts = 1;
  bool cancellation = false;
  bool health_checks = false;
  bool hedging = false;
  bool retry_after = false;
  Time max_retry_after{0};
  bool subscription_required = false;  ///< list changes arrive only after SubscribeEndpointList
  Time poll_within{0};
  bool marks_client_retries = false;
  ReportVia report_via = ReportVia::none;
  WeightMeaning weights = WeightMeaning::none;
  CostWeights cost_weights;
};

enum class EndpointState { running, draining, removed };

/// A cache, a parent or the origin, as `kind` states. `draining` endpoints receive no new attempts.
struct Endpoint {
  std::string id;
  EndpointState state = EndpointState::running;
  double weight = 1;
  int zone = 0;
  int cell = 0;
  int kind = 0;
  Time started{0};  ///< when its process started; 0: long before the current time
};

/// A load report of an endpoint about itself; the values are delayed and approximate.
struct LoadReport {
  std::optional<double> busy, in_flight, queued, hit_ratio, link_utilization;
};

// ---- Events ----

/// `complete` and `from_configuration` lists replace the known list; `failed`: the list was unavailable.
enum class ListKind { changes, complete, from_configuration, failed };
/// A watch event or the response to a call for the endpoint list.
struct EndpointList {
  ListKind kind = ListKind::complete;
  std::vector<Endpoint> endpoints;
};
/// A client's request has arrived.
struct Request {
  std::string id;  ///< unique among the requests not yet finished
  int request_class = 0;
  std::uint64_t object = 0;
  std::uint64_t part = 0;
  std::int64_t group = 0;
  double size_kb = 0;         ///< size of the response; 0: unknown
  Time expires{0};            ///< when its client gives up
  bool write = false;         ///< the request runs at the origin
  bool client_retry = false;  ///< the client repeats an earlier request
  /// How long a transfer from the local cache would wait for the proxy's link; set if the local cache has a
  /// valid copy.
  std::optional<Time> local_copy_wait;
};
/// The timer of a SetTimer has expired.
struct TimerFired {
  std::int64_t token = 0;
};
/// How an attempt ended, and whether the endpoint may have run the request.
enum class AttemptResult {
  served,             ///< the client has received the response
  error,              ///< the endpoint failed; the request may have run
  shed,               ///< the endpoint rejected the request; it never ran
  timed_out,          ///< the request may have run or may still run
  unreachable,        ///< no connection could be opened; the request never ran
  connection_lost,    ///< the connection broke; the request may have run
  cancelled,          ///< the request may have run
  not_sent,           ///< the request was never sent
  cache_miss,         ///< no valid copy and no fill; the request never ran
  malformed_response  ///< a response on the connection was unreadable; the request may have run
};
/// Whether a request may have run if an attempt of it ended like this.
[[nodiscard]] bool may_have_run_after(AttemptResult result);
/// How a cache served an attempt or why it failed; `unknown` if the response does not state it.
enum class CacheStatus {
  unknown,
  hit,
  filled,
  filled_by_origin,
  joined,
  stale,
  source_shed,
  source_unreachable,
  source_miss,
  no_fill_capacity,
  origin_failed
};
/// An attempt has ended.
struct Outcome {
  std::string request;
  int attempt = 0;  ///< the attempt's number within the request, from 0
  std::string endpoint;
  AttemptResult result = AttemptResult::served;
  Time duration{0};               ///< duration of the attempt
  bool request_finished = false;  ///< the client has received its final answer
  CacheStatus cache_status = CacheStatus::unknown;
  std::optional<Time> first_byte;  ///< time to the first byte, if known
  std::optional<LoadReport> report;
};
/// A health check has ended.
struct HealthChecked {
  std::string endpoint;
  bool answered = false;
  Time duration{0};
  std::optional<LoadReport> report;
};
/// Copies that are older than the invalidation must no longer be served.
struct Invalidation {
  std::optional<std::uint64_t> object;  ///< empty: the whole group
  std::int64_t group = 0;
  Time age{0};  ///< time since the invalidation took effect
};
/// The client disconnected or cancelled before its final answer.
struct RequestCancelled {
  std::string request;
};
/// The fraction of its even share of the slow-start budgets that this router may use; above 1 if other
/// routers have stopped.
struct QuotaChanged {
  double parent_share = 1, cache_share = 1;
};
/// The client receives the beginning of a streamed response: from now on the request is neither hedged nor
/// failed for its age.
struct StreamStarted {
  std::string request;
  int attempt = 0;
};
/// New settings apply from now on. Request classes, their order and the set of routers stay the same.
struct SettingsChanged {
  Settings settings;
};
using Event = std::variant<EndpointList, Request, TimerFired, Outcome, HealthChecked, Invalidation,
                           RequestCancelled, StreamStarted, QuotaChanged, SettingsChanged>;

// ---- Actions ----

/// The rank at which a cache stores a copy; `uncached`: it stores none.
enum class Rank { uncached, low, middle, high };
/// Send the request to an endpoint. Attempts of a request are numbered from 0 in the order given.
struct Attempt {
  std::string request;
  std::string endpoint;
  std::string source;  ///< endpoint from which a miss is filled; the endpoint itself: no fill
  Rank rank = Rank::uncached;
  Time max_copy_age{0};                 ///< maximum age of a valid copy; 0: the class's `max_age`
  Time timeout{0};                      ///< 0: until the client gives up
  Time send_within{0};                  ///< the attempt must be sent within this time; 0: before it times out
  bool join_fill = false;               ///< wait for a fill of the same part that is in flight, if any
  bool cached_only = false;             ///< the source serves only what it has cached
  bool parent_uncached = false;         ///< the fill leaves no copy at the parent
  bool stale_while_revalidate = false;  ///< serve a stale copy and refresh it in the background
};
/// Cancel an open attempt; the caller still has to feed its Outcome.
struct Cancel {
  std::string request;
  int attempt = 0;
};
/// A final answer: the request was rejected and the client may safely retry it.
struct Reject {
  std::string request;
  Time retry_after{0};  ///< Retry-After for the client; 0: none
};
/// A final answer: the request failed and may have run.
struct Fail {
  std::string request;
};
/// A final answer: serve the copy in the proxy's local cache.
struct ServeFromLocalCache {
  std::string request;
};
/// Feed a TimerFired with the same token after this time.
struct SetTimer {
  Time after{0};
  std::int64_t token = 0;
};
/// Send a health check. The router does not return this action at present.
struct CheckHealth {
  std::string endpoint;
};
/// Fetch the endpoint list once. The router does not return this action at present.
struct FetchEndpointList {};
/// Fetch the endpoint list and watch its changes.
struct SubscribeEndpointList {};
/// Write a line to the log. The router does not return this action at present.
struct LogMessage {
  std::string text;
};
using Action = std::variant<Attempt, Cancel, Reject, Fail, SetTimer, CheckHealth, FetchEndpointList,
                            SubscribeEndpointList, LogMessage, ServeFromLocalCache>;

/// Decides which endpoints serve the requests of one edge proxy.
class Router {
 public:
  /// `seed` desynchronizes routers that would otherwise act at the same moment; each needs a different one.
  Router(Settings settings, std::uint64_t seed);
  ~Router();
  Router(Router&&) noexcept;
  Router& operator=(Router&&) noexcept;

  /// Handles one event at time `now` and returns the actions to carry out, in order.
  std::vector<Action> handle(Time now, const Event& event);

  /// The router's view of its state, for comparison with the actual state, and the size of its tables.
  struct Stats {
    std::size_t in_flight = 0;      ///< attempts without an Outcome
    std::size_t ejected = 0;        ///< running endpoints that receive no requests at present
    std::size_t endpoints = 0;      ///< endpoints in the list or named by unfinished requests
    std::size_t table_entries = 0;  ///< entries of all tables without a fixed bound
  };
  [[nodiscard]] Stats stats() const;
  /// Whether a request with this id is unfinished or has an attempt without an Outcome. Until then, no other
  /// request may have the id.
  [[nodiscard]] bool has_request(const std::string& id) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace edge_proxy
