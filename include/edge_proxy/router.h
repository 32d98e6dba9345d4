// SPDX-License-Identifier: MIT
/// @file
/// The interface of edge_proxy's decision module (src/routing/router.cpp).
///
/// Units      Every time is in microseconds: points on a clock of the caller's that never runs
///            backwards, or spans. Sizes are in kilobytes.
/// Ordering   Feed events in the order in which they happened; carry the actions out in the order
///            in which they are given, at the time that was passed in.
/// Ownership  The router copies what it keeps. Nothing it returns refers to its inside.
/// Threads    A Router has no lock, thread, clock or global: use one from one thread at a time.
///            Different Routers share nothing.
/// Owed       One Outcome for each Attempt, however the attempt ends; a TimerFired for each Wake
///            (late is harmless, early is ignored); Withdrawn when a client leaves early.
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

/// What a repeated request may do.
enum class Idempotency { idempotent, with_key, none };
/// Which members discard a keyed request's duplicates.
enum class DeduplicationScope { all, zone, cell };
enum class Weights { none, nominal, rough, live };
enum class ReportVia { none, probes, answers };
enum class SiblingFills { none, location, any };
/// How much an outcome tells of how a request was served.
enum class CacheStatusDetail { none, hits, all };

struct RequestClass {
  std::string name;
  Time latency_objective{0};  ///< an answer within this time earns the full worth
  double latency_objective_per_transfer_time =
      0;  ///< the aim grows by this multiple of the request's own sending time
  Time deadline{0};
  Idempotency idempotency = Idempotency::idempotent;
  DeduplicationScope deduplication_scope = DeduplicationScope::all;
  Time deduplication_window{0};  ///< keyed: how long duplicates are discarded, from the first attempt's send
  double priority_weight = 1;
  double late_weight = 0;
  bool streamed = false;
  Time max_age{0};  ///< fresh time of a copy; 0: no limit
  Time grace{0};    ///< how much older than fresh a copy may be when asked for
  double stale_weight = 1;
  bool segmented = false;
  bool uncacheable = false;  ///< runs at the origin, leaves no copy
};

/// Points taken off the result for each unit.
struct CostWeights {
  double cross_zone = 0, waste = 0, origin = 0, health_check = 0, late_failure = 0, link_bytes = 0;
};

struct Settings {
  int router_number = 0;  ///< this router's number
  int zone = 0;           ///< its location
  int router_count = 1;   ///< routers in all
  std::vector<int> routers_by_zone;
  std::vector<int> hub_by_zone;
  std::vector<double> link_in_kb_per_s;  ///< by location; 0: not told
  std::vector<RequestClass> classes;
  int parent_kind = -1;  ///< -1: the site has no parents
  int origin_kind = -1;
  bool direct_to_sources = false;  ///< parents and the origin take attempts too
  SiblingFills sibling_fills = SiblingFills::none;
  CacheStatusDetail cache_status_detail = CacheStatusDetail::none;
  double transfer_kb_per_s = 0;  ///< top pace of one answer
  Time tick{0};                  ///< the shortest time between two deliveries of events
  // The rules.
  Time answer_slack{0};
  Time drain_grace{0};
  double initial_capacity = 1;  ///< a cache starts with this part of its capacity at least
  Time warm_up_time{0};
  double overload_factor = 0;
  Time overload_window{0};
  double parent_initial_capacity = 1;
  Time parent_warm_up_time{0};
  double parent_overload_factor = 0;
  double origin_overload_factor = 0;  ///< 0: the origin bears any overload
  Time origin_overload_window{0};
  Time invalidation_slack{0};
  Time invalidation_settled_after{0};  ///< after this no older copy is left anywhere
  // What is allowed.
  int max_attempts = 1;
  bool cancellation = false;
  bool health_checks = false;
  bool hedging = false;
  bool retry_after = false;
  Time max_retry_after{0};
  bool subscription_required = false;  ///< changes of the list come only after SubscribeList or FetchList
  Time poll_within{0};
  bool marks_client_retries = false;
  ReportVia report_via = ReportVia::none;
  Weights weights = Weights::none;
  CostWeights cost_weights;
};

enum class EndpointState { running, draining, removed };

/// A cache, a parent or the origin, by its kind.
struct Endpoint {
  std::string id;
  EndpointState state = EndpointState::running;
  double weight = 1;
  int zone = 0;
  int cell = 0;
  int kind = 0;
  Time started{0};  ///< 0: long ago
};

/// A load report: what a member says of itself, late and inexact.
struct LoadReport {
  std::optional<double> busy, in_flight, queued, hit_ratio, link_utilization;
};

// ---- Events ----

enum class ListKind { changes, complete, from_configuration, failed };
struct EndpointList {
  ListKind kind = ListKind::complete;
  std::vector<Endpoint> endpoints;
};
struct Request {
  std::string id;
  int request_class = 0;
  std::uint64_t object = 0;
  std::uint64_t part = 0;
  std::int64_t group = 0;
  double size_kb = 0;  ///< 0: not told
  Time expires{0};
  bool write = false;
  bool client_retry = false;
  std::optional<Time>
      local_copy_wait;  ///< the router holds a good copy itself; how long that waits for its link
};
struct TimerFired {
  std::int64_t token = 0;
};
enum class AttemptResult {
  served,             ///< the answer has reached the client
  error,              ///< the member failed; it may have run
  shed,               ///< not taken; it never ran
  timed_out,          ///< it may have run, or may still
  unreachable,        ///< no connection; it never ran
  connection_lost,    ///< the connection broke; it may have run
  cancelled,          ///< it may have run
  not_sent,           ///< never sent
  cache_miss,         ///< no copy that will do and none filled; it never ran
  malformed_response  ///< an answer on its connection could not be read; it may have run
};
/// Why, or how, an attempt was served; `unknown` where nothing is told.
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
struct Outcome {
  std::string request;
  int attempt = 0;
  std::string endpoint;
  AttemptResult result = AttemptResult::served;
  Time duration{0};
  bool request_finished = false;  ///< the request is over
  CacheStatus cache_status = CacheStatus::unknown;
  std::optional<Time> first_byte;
  std::optional<LoadReport> report;
};
struct HealthChecked {
  std::string endpoint;
  bool answered = false;
  Time duration{0};
  std::optional<LoadReport> report;
};
struct Invalidation {
  std::optional<std::uint64_t> object;  ///< none: the whole group
  std::int64_t group = 0;
  Time age{0};
};
struct RequestCancelled {
  std::string request;
};
/// Which part of its even share of a cold member's budget this router may use; more than 1 where others have
/// stopped.
struct QuotaChanged {
  double parent_share = 1, cache_share = 1;
};
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

enum class Rank { uncached, low, middle, high };
/// One attempt at a member. Attempts of a request are numbered from 0 in the order given.
struct Attempt {
  std::string request;
  std::string endpoint;
  std::string source;  ///< where a miss is filled from; the member itself: no fill
  Rank rank = Rank::uncached;
  Time max_copy_age{0};      ///< oldest copy that will do; 0: the class's fresh time
  Time timeout{0};           ///< 0: until the client gives up
  Time send_within{0};       ///< it may not be sent later than this; 0: at any time before it times out
  bool join_fill = false;    ///< waits for a fill of the same part that is under way, where there is one
  bool cached_only = false;  ///< the source gives only what it holds
  bool parent_uncached = false;
  bool stale_while_revalidate = false;  ///< an ageing copy is served and fetched anew behind
};
struct Cancel {
  std::string request;
  int attempt = 0;
};
/// A final answer: no, and a new try does no harm.
struct Reject {
  std::string request;
  Time retry_after{0};
};
/// A final answer of failure, with no assurance.
struct Fail {
  std::string request;
};
/// Serve the router's own copy; the request is over.
struct ServeFromLocalCache {
  std::string request;
};
struct SetTimer {
  Time after{0};
  std::int64_t token = 0;
};
struct CheckHealth {
  std::string endpoint;
};
struct FetchEndpointList {};
struct SubscribeEndpointList {};
struct LogMessage {
  std::string text;
};
using Action = std::variant<Attempt, Cancel, Reject, Fail, SetTimer, CheckHealth, FetchEndpointList,
                            SubscribeEndpointList, LogMessage, ServeFromLocalCache>;

/// The decisions of one router.
class Router {
 public:
  Router(Settings settings, std::uint64_t seed);
  ~Router();
  Router(Router&&) noexcept;
  Router& operator=(Router&&) noexcept;

  /// Takes in one event at time `now` and returns what is to be done, in order.
  std::vector<Action> handle(Time now, const Event& event);

  /// What it believes, to be held against what really passes, and what it keeps in all.
  struct Stats {
    std::size_t in_flight = 0;  ///< attempts without an Outcome
    std::size_t ejected = 0;    ///< running members that are left out for now
    std::size_t endpoints = 0;
    std::size_t table_entries = 0;  ///< entries of all tables that are not bounded by themselves
  };
  [[nodiscard]] Stats stats() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace edge_proxy
