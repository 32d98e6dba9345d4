// SPDX-License-Identifier: MIT
/// @file
/// The interface of the routing decisions (src/routing): events go in, actions come out.
///
/// Units      Times are in microseconds: points on a clock of the caller's that never runs backwards, or
///            durations. Sizes are in kilobytes.
/// Ordering   Feed events in the order in which they happened. Carry out actions in the order in which they
///            are given, at the time that was passed in.
/// Ownership  The router copies what it keeps. Nothing that it returns refers to its inside.
/// Threads    A Router has no lock, thread, clock or global state: use one from one thread at a time.
///            Different Routers share nothing.
/// Duties     The caller owes one Outcome for each Attempt, however the attempt ends; a TimerFired for each
///            SetTimer (late is harmless, early is ignored); a RequestCancelled when a client leaves early.
/// Errors     None are thrown or returned. A request of an unknown class is rejected; an Outcome of an
/// unknown
///            request or attempt, or a second one, is ignored.
///
/// Same settings, seed and events give the same actions.
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

/// Which endpoints discard duplicates of each other's requests `with_key`: all, or those of one zone or cell.
enum class DeduplicationScope { all, zone, cell };

/// What the weights in the endpoint list mean. `nominal` and `rough` tell the endpoints' sizes; the router
/// uses no others.
enum class WeightMeaning { none, nominal, rough, live };

/// How load reports reach the router: not at all, with health checks, or with the outcomes of attempts.
enum class ReportVia { none, probes, answers };

/// Which caches may be the source of another cache's fill: none, those of its location, or any.
enum class SiblingFills { none, location, any };

/// How much an Outcome tells in `cache_status`: nothing, hits alone, or everything.
enum class CacheStatusDetail { none, hits, all };

/// What all requests of a class have in common.

struct RequestClass {
  std::string name;
  Time latency_objective{0};  ///< a response within this time earns the full score
  /// The latency objective grows by this multiple of the request's own transfer time.
  double latency_objective_per_transfer_time = 0;
  Time deadline{0};  ///< from a request's arrival, when its client gives up
  Idempotency idempotency = Idempotency::idempotent;
  DeduplicationScope deduplication_scope = DeduplicationScope::all;
  /// `with_key`: how long duplicates are discarded, from when the first attempt was sent.
  Time deduplication_window{0};
  double priority_weight = 1;  ///< weight of a response in time
  double late_weight = 0;      ///< weight of a late response
  bool streamed = false;       ///< responses are streams
  Time max_age{0};             ///< how long a copy is fresh; 0: no limit
  Time grace{0};               ///< how much longer a copy may be served when it is asked for
  double stale_weight = 1;     ///< weight of a response from a copy in its grace time
  bool segmented = false;      ///< objects are requested in parts
  bool uncacheable = false;    ///< runs at the origin and leaves no copy
};

/// Score taken off for each unit of a cost.
struct CostWeights {
  double cross_zone = 0, waste = 0, origin = 0, health_check = 0, late_failure = 0, link_bytes = 0;
};

/// What the site allows and requires, and what this router knows of the fleet of routers.
struct Settings {
  int router_number = 0;  ///< this router's number
  int zone = 0;           ///< its location
  int router_count = 1;   ///< of all zones
  std::vector<int> routers_by_zone;
  std::vector<int> hub_by_zone;
  std::vector<double> link_in_kb_per_s;  ///< by zone; 0: unknown
  std::vector<RequestClass> classes;
  int parent_kind = -1;            ///< `Endpoint::kind` of parents; -1: the site has none
  int origin_kind = -1;            ///< `Endpoint::kind` of the origin
  bool direct_to_sources = false;  ///< parents and the origin take attempts too
  SiblingFills sibling_fills = SiblingFills::none;
  CacheStatusDetail cache_status_detail = CacheStatusDetail::none;
  double transfer_kb_per_s = 0;  ///< highest rate of one response; 0: unknown
  Time tick{0};                  ///< shortest time between two deliveries of events

  // The site's rules. `overload_factor`: an endpoint that gets more than this multiple of its capacity at its
  // age, over `overload_window`, fails.
  Time answer_slack{0};
  Time drain_grace{0};
  double initial_capacity = 1;  ///< least part of its capacity that a cache starts with
  Time warm_up_time{0};
  double overload_factor = 0;
  Time overload_window{0};
  double parent_initial_capacity = 1;
  Time parent_warm_up_time{0};
  double parent_overload_factor = 0;
  double origin_overload_factor = 0;  ///< 0: the origin takes any load
  Time origin_overload_window{0};
  Time invalidation_slack{0};
  Time invalidation_settled_after{0};  ///< after an invalidation; then no older copy is left anywhere

  // What the site allows.
  int max_attempts = 1;
  bool cancellation = false;
  bool health_checks = false;
  bool hedging = false;
  bool retry_after = false;
  Time max_retry_after{0};
  bool subscription_required = false;  ///< list changes come after SubscribeEndpointList alone
  Time poll_within{0};
  bool marks_client_retries = false;
  ReportVia report_via = ReportVia::none;
  WeightMeaning weights = WeightMeaning::none;
  CostWeights cost_weights;
};

enum class EndpointState { running, draining, removed };

/// A cache, a parent or the origin, by its kind. `draining` endpoints get no new attempts.
struct Endpoint {
  std::string id;
  EndpointState state = EndpointState::running;
  double weight = 1;
  int zone = 0;
  int cell = 0;
  int kind = 0;
  Time started{0};  ///< when its process started; 0: long ago
};

/// A load report: what an endpoint says of itself, late and inexact.
struct LoadReport {
  std::optional<double> busy, in_flight, queued, hit_ratio, link_utilization;
};

// ---- Events ----

/// `complete` and `from_configuration` lists replace all that was known; `failed`: the list could not be had.
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
  double size_kb = 0;         ///< of the response; 0: unknown
  Time expires{0};            ///< when its client gives up
  bool write = false;         ///< runs at the origin
  bool client_retry = false;  ///< repeats an earlier request
  /// Set where the proxy has a valid copy of its own: how long its transfer would wait for the proxy's link.
  std::optional<Time> local_copy_wait;
};
/// The time of a SetTimer has passed.
struct TimerFired {
  std::int64_t token = 0;
};
/// How an attempt ended, and whether the request may have run.
enum class AttemptResult {
  served,             ///< the response has reached the client
  error,              ///< the endpoint failed; it may have run
  shed,               ///< rejected by the endpoint; it never ran
  timed_out,          ///< it may have run, or may still
  unreachable,        ///< no connection; it never ran
  connection_lost,    ///< the connection broke; it may have run
  cancelled,          ///< it may have run
  not_sent,           ///< never sent
  cache_miss,         ///< no valid copy and no fill; it never ran
  malformed_response  ///< a response on its connection could not be read; it may have run
};
/// How an attempt was served, or why it failed; `unknown` where the response does not say.
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
  int attempt = 0;  ///< its number among the request's attempts, from 0
  std::string endpoint;
  AttemptResult result = AttemptResult::served;
  Time duration{0};               ///< of the attempt
  bool request_finished = false;  ///< the client has its final answer
  CacheStatus cache_status = CacheStatus::unknown;
  std::optional<Time> first_byte;  ///< time from the attempt to its first byte, where it is known
  std::optional<LoadReport> report;
};
/// A health check has ended.
struct HealthChecked {
  std::string endpoint;
  bool answered = false;
  Time duration{0};
  std::optional<LoadReport> report;
};
/// Copies from before the invalidation must not be served any more.
struct Invalidation {
  std::optional<std::uint64_t> object;  ///< none: the whole group
  std::int64_t group = 0;
  Time age{0};  ///< how long ago it took effect
};
/// The client has left before its final answer.
struct RequestCancelled {
  std::string request;
};
/// Which part of its even share of the slow-start budgets this router may use; more than 1 where other
/// routers have stopped.
struct QuotaChanged {
  double parent_share = 1, cache_share = 1;
};
/// The client gets the beginning of a streamed response: from here on the request is neither hedged nor given
/// up for its age.
struct StreamStarted {
  std::string request;
  int attempt = 0;
};
/// Other settings from now on, between two requests: the same classes in the same order, the same fleet.
struct SettingsChanged {
  Settings settings;
};
using Event = std::variant<EndpointList, Request, TimerFired, Outcome, HealthChecked, Invalidation,
                           RequestCancelled, StreamStarted, QuotaChanged, SettingsChanged>;

// ---- Actions ----

/// The rank at which a cache keeps a copy; `uncached`: it keeps none.
enum class Rank { uncached, low, middle, high };
/// Send the request to an endpoint. Attempts of a request are numbered from 0 in the order given.
struct Attempt {
  std::string request;
  std::string endpoint;
  std::string source;  ///< where a miss is filled from; the endpoint itself: no fill
  Rank rank = Rank::uncached;
  Time max_copy_age{0};          ///< of the oldest valid copy; 0: the class's `max_age`
  Time timeout{0};               ///< 0: until the client gives up
  Time send_within{0};           ///< it must not be sent later than this; 0: at any time before it times out
  bool join_fill = false;        ///< waits for a fill of the same part that is in flight, where there is one
  bool cached_only = false;      ///< the source gives only what it has cached
  bool parent_uncached = false;  ///< the fill leaves no copy at the parent
  bool stale_while_revalidate = false;  ///< a stale copy is served and fetched anew in the background
};
/// Cancel an open attempt; its Outcome is still owed.
struct Cancel {
  std::string request;
  int attempt = 0;
};
/// A final answer: the request was rejected, and a retry by the client does no harm.
struct Reject {
  std::string request;
  Time retry_after{0};  ///< Retry-After for the client; 0: none
};
/// A final answer: the request failed and may have run.
struct Fail {
  std::string request;
};
/// A final answer: serve the proxy's own copy.
struct ServeFromLocalCache {
  std::string request;
};
/// Feed a TimerFired with the same token after this time.
struct SetTimer {
  Time after{0};
  std::int64_t token = 0;
};
/// Send a health check. The router gives none at present.
struct CheckHealth {
  std::string endpoint;
};
/// Call for the endpoint list once. The router gives none at present.
struct FetchEndpointList {};
/// Call for the endpoint list and watch its changes.
struct SubscribeEndpointList {};
/// Write a line to the log. The router gives none at present.
struct LogMessage {
  std::string text;
};
using Action = std::variant<Attempt, Cancel, Reject, Fail, SetTimer, CheckHealth, FetchEndpointList,
                            SubscribeEndpointList, LogMessage, ServeFromLocalCache>;

/// The decisions of one router.
class Router {
 public:
  /// `seed` spreads what many routers would else do at one moment; give each another one.
  Router(Settings settings, std::uint64_t seed);
  ~Router();
  Router(Router&&) noexcept;
  Router& operator=(Router&&) noexcept;

  /// Takes in one event at time `now` and returns what is to be done, in order.
  std::vector<Action> handle(Time now, const Event& event);

  /// The router's own view, to compare with what really happens, and the size of its tables.
  struct Stats {
    std::size_t in_flight = 0;      ///< attempts without an Outcome
    std::size_t ejected = 0;        ///< running endpoints that get no requests for now
    std::size_t endpoints = 0;      ///< listed, or named by requests not yet finished
    std::size_t table_entries = 0;  ///< of all tables that have no fixed bound
  };
  [[nodiscard]] Stats stats() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace edge_proxy
