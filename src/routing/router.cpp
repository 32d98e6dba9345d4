// SPDX-License-Identifier: MIT
//
// The decision module of edge_proxy: every decision, table and tuned value. Its interface (settings,
// events, actions) is include/edge_proxy/router.h; docs/design.md says what is kept of the design, what
// is changed and why.
//
// The ordinary path: the router counts its own requests for each part of an object over a moving window
// and ranks the part gold, silver or bronze; cache and parent follow a hash order of the object, passing
// over members at which its own requests under way reach a bound. Everything else here is a guard and
// says what it guards against.
#include "edge_proxy/router.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <set>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "admission/fill_admission.h"
#include "base/sliding_window_counter.h"
#include "base/sliding_window_sum.h"
#include "base/timer_queue.h"

namespace edge_proxy {
namespace {

using namespace std::chrono_literals;
using admission::FillAdmission;

// The design's open values.
constexpr Time kWindowPerRouter = 20s;                // the counting window, times the location's routers
constexpr Time kRecomputeInterval = 1s;               // how often gold is chosen anew
constexpr std::size_t kGoldParts = 20;                // objects kept at the middle rank
constexpr std::size_t kBronzeCount = 1;               // seen so often in the window: passed through unkept
constexpr std::size_t kMaxCountedRequests = 1 << 16;  // requests the counting table holds at most
constexpr double kLoadBound = 4.0;  // bound on requests under way, over the member's even share

// Guards.
constexpr double kHedgeDelayRatio = 0.6;    // part of the wanted time after which a second copy is worth it
constexpr double kRetryBudgetRatio = 0.05;  // further attempts paid for by each first one
constexpr double kRetryBudgetBurst = 2;     // further attempts saved up at most
constexpr double kErrorRateGain = 0.05;     // weight of a new attempt in a member's share of errors
constexpr double kOwnErrorExcess = 0.3;     // share above that of its best peer from which errors are its own
constexpr double kLatencyGain = 0.1;        // weight of a new sample in a member's pace
constexpr double kWorstLatency = 3;         // a failure counts as an answer in this many wanted times
constexpr double kSlowThreshold = 2;        // pace over that of its sound peers from which a member gets less
constexpr double kLatencyRecovery = 0.05;   // part of its slowness that a member is forgiven each second
constexpr int kFailuresToEject = 3;         // failures in a row that shut a member
constexpr Time kEjectionFirst = 500ms;      // the first rest of a shut member; doubles up to kEjectionLongest
constexpr Time kEjectionLongest = 8s;
constexpr double kInitialConcurrencyLimit =
    16;                                  // requests under way at a member before anything is known of it
constexpr double kLimitIncrease = 0.02;  // part by which an answer in time raises it, by one a round at least
constexpr double kLimitDecrease = 0.1;   // part by which a late answer or a refusal lowers it
constexpr double kSlowStartBudgetUse = 0.7;  // part of a cold member's budget that is used
constexpr double kSlowStartBudgetUseDuringHandover =
    0.3;                                   // the same while another process of this router may still send
constexpr Time kHandover = 4s;             // for so long after the start
constexpr double kMeanGain = 0.02;         // weight of a new request in the mean work and worth
constexpr double kLowValueCapacity = 0.5;  // part of a source's limit open to fills that earn less than usual
constexpr double kLinkOverload =
    1.5;                           // told load of the location's link from which fewer fills are let through
constexpr double kLinkGain = 0.3;  // weight of the newest report of it
constexpr double kLoadGain = 0.1;  // weight of the newest second in the usual load
constexpr double kRetryAfterRatio = 0.5;  // part of the longest wait that clients follow, told with a refusal
constexpr double kLocalCopyWithin = 0.7;  // part of the wanted time in which an own copy has to be through
constexpr std::size_t kLocalCopyMaxCount =
    2;                                // asked for so often in the window: the caches may not hold it any more
constexpr Time kSubscribeRetry = 1s;  // wait after a failed call to the member list

constexpr std::int64_t kTimerToken = 1;

/// A strong mix of 64 bits (the finalizer of SplitMix64).
std::uint64_t mix(std::uint64_t x) {
  x += 0x9e3779b97f4a7c15U;
  x = (x ^ (x >> 30U)) * 0xbf58476d1ce4e5b9U;
  x = (x ^ (x >> 27U)) * 0x94d049bb133111ebU;
  return x ^ (x >> 31U);
}

/// FNV-1a: the same at all routers, whatever the platform's std::hash does.
std::uint64_t hash_of(std::string_view text) {
  std::uint64_t hash = 0xcbf29ce484222325U;
  for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3U;
  return mix(hash);
}

double seconds(Time time) { return static_cast<double>(time.count()) / 1e6; }
Time from_seconds(double s) { return Time{static_cast<std::int64_t>(s * 1e6)}; }

enum class Role { cache, parent, origin, elsewhere };

/// What this router knows of one member.
struct EndpointStats {
  Endpoint member;
  std::uint64_t hash = 0;
  Role role = Role::elsewhere;
  int references = 0;            // tries of requests not over yet that name it
  int in_flight = 0;             // own attempts out at it, and fills that name it as source
  double relative_latency = 0;   // recent answers' time over their wanted time
  double error_rate = 0;         // share of the attempts at it that end in an error, lately
  int consecutive_failures = 0;  // failures in a row
  Time last_failure_at{-1};
  double concurrency_limit =
      kInitialConcurrencyLimit;  // requests under way that it answers in time, as learnt
  Time ejected_until{0};
  Time ejection_backoff{kEjectionFirst};
  SlidingWindowSum sent;  // work sent to it while cold, for the budget
  Time last_sent_at{0};   // when it was last sent some while cold
};

struct AttemptRecord {
  std::size_t at = 0;  // place in peers_
  std::size_t source = 0;
  Time sent{0};
  bool open = true;
  bool latency_sampled = false;  // its silence has been counted already
  bool late = false;             // its fill has been counted as late already
  bool malformed = false;        // lost on the way, through no fault of its member
  bool cached_only = false;      // its source was asked only for what it holds
};

struct PendingRequest {
  Request request;
  std::uint64_t key = 0;  // the part of the object: what is counted and kept
  Rank rank = Rank::low;
  Time arrived{0};
  double work = 0;            // sending time at full pace, in seconds
  bool size_known = false;    // its size was told
  Time latency_objective{0};  // wanted within this time of the arrival
  std::vector<AttemptRecord> attempts;
  bool finished = false;  // a final answer was given; attempts may still be out
  bool streaming = false;
};

enum class TimerKind { hedge, latency_objective, deadline, recompute, subscribe };
struct Timer {
  TimerKind what = TimerKind::recompute;
  std::string request;
};

}  // namespace

class Router::Impl {
 public:
  Impl(Settings settings, std::uint64_t seed)
      : settings_(std::move(settings)),
        seed_(seed),
        counts_(kWindowPerRouter * std::max(1, routers_here()), kMaxCountedRequests) {
    mean_work_.assign(settings_.classes.size(), 0);
    fills_in_time_.assign(settings_.classes.size(), 1);
  }

  std::vector<Action> handle(Time now, const Event& event) {
    now_ = now;
    actions_.clear();
    if (!has_started_) start();
    run_timers();
    std::visit([this](const auto& e) { on(e); }, event);
    run_timers();
    schedule_wake_up();
    return std::move(actions_);
  }

  Router::Stats stats() const {
    Router::Stats b;
    for (const auto& [id, pending] : pending_)
      b.in_flight += static_cast<std::size_t>(
          std::count_if(pending.attempts.begin(), pending.attempts.end(),
                        [](const AttemptRecord& attempt_record) { return attempt_record.open; }));
    for (const EndpointStats& stats : endpoints_)
      b.ejected += is_running(stats) && now_ < stats.ejected_until ? 1 : 0;
    b.endpoints = by_id_.size();
    b.table_entries = endpoints_.size() + pending_.size() + may_have_run_.size() +
                      object_invalidations_.size() + group_invalidations_.size() + timers_.size();
    return b;
  }

 private:
  // ---- Start and time ----

  int routers_here() const {
    const auto zone = static_cast<std::size_t>(settings_.zone);
    return zone < settings_.routers_by_zone.size() ? settings_.routers_by_zone[zone] : settings_.router_count;
  }

  void start() {
    has_started_ = true;
    started_ = now_;
    timers_.add(now_ + kRecomputeInterval, {TimerKind::recompute, {}});
    if (settings_.subscription_required) actions_.push_back(SubscribeEndpointList{});
  }

  void run_timers() {
    while (const auto timer = timers_.pop_due(now_)) {
      switch (timer->what) {
        case TimerKind::hedge:
          on_hedge_delay(timer->request);
          break;
        case TimerKind::latency_objective:
          on_latency_objective(timer->request);
          break;
        case TimerKind::deadline:
          on_deadline(timer->request);
          break;
        case TimerKind::recompute:
          recompute();
          break;
        case TimerKind::subscribe:
          actions_.push_back(SubscribeEndpointList{});
          break;
      }
    }
  }

  void schedule_wake_up() {
    const auto due = timers_.next_due();
    if (!due || (wake_up_at_ > now_ && wake_up_at_ <= *due)) return;
    wake_up_at_ = *due;
    actions_.push_back(SetTimer{*due - now_, kTimerToken});
  }

  void on(const TimerFired&) {}
  void on(const HealthChecked&) {}

  // ---- Ranks: the router's own windowed counts ----

  void recompute() {
    counts_.trim(now_);
    gold_.clear();
    for (const std::uint64_t key : counts_.top(kGoldParts)) gold_.insert(key);
    // Seconds in which most of a group is cold, or fails though it is listed, say nothing of what its members
    // can do: after a mass restart budgets that followed them would go to nothing.
    if (mostly_warmed_up(Role::cache)) usual_load_ += kLoadGain * (load_second_ - usual_load_);
    if (mostly_warmed_up(Role::parent)) usual_fills_ += kLoadGain * (fills_second_ - usual_fills_);
    load_second_ = fills_second_ = 0;
    // A member judged slow gets few requests and could not show that it has recovered: it is forgiven bit by
    // bit, and judged again by what it then does.
    for (const Role role : {Role::cache, Role::parent}) {
      const auto group = members(role);
      const double reference = reference_latency(group);
      for (const std::size_t i : group)
        endpoints_[i].relative_latency +=
            kLatencyRecovery * std::min(0.0, reference - endpoints_[i].relative_latency);
    }
    timers_.add(now_ + kRecomputeInterval, {TimerKind::recompute, {}});
  }

  /// Counts new demand and ranks it. Repeats by the client or by this router are not new demand.
  Rank rank_of(const Request& r, std::uint64_t key) {
    if (!r.client_retry) counts_.add(now_, key);
    if (gold_.count(key) != 0) return Rank::middle;
    const bool window_full = now_ - started_ >= kWindowPerRouter * std::max(1, routers_here());
    return window_full && counts_.count(key) <= kBronzeCount ? Rank::uncached : Rank::low;
  }

  // ---- The member list ----

  void on(const EndpointList& list) {
    if (list.kind == ListKind::failed) {
      if (settings_.subscription_required) timers_.add(now_ + kSubscribeRetry, {TimerKind::subscribe, {}});
      return;
    }
    if (list.kind != ListKind::changes) {  // a member that a whole list lacks is gone
      for (EndpointStats& stats : endpoints_) stats.member.state = EndpointState::removed;
    }
    for (const Endpoint& m : list.endpoints) {
      if (m.state == EndpointState::removed && by_id_.count(m.id) == 0) continue;
      const auto [found, fresh] = by_id_.emplace(m.id, free_.empty() ? endpoints_.size() : free_.back());
      if (fresh) {
        if (free_.empty()) {
          endpoints_.emplace_back();
        } else {
          free_.pop_back();
        }
        endpoints_[found->second] = EndpointStats();
        endpoints_[found->second].hash = hash_of(m.id);
      }
      EndpointStats& stats = endpoints_[found->second];
      if (m.started != stats.member.started) {  // a new process: what was known of the old one is void
        stats.relative_latency = 0;
        stats.consecutive_failures = 0;
        stats.ejected_until = Time{0};
        stats.ejection_backoff = kEjectionFirst;
      }
      stats.member = m;
      stats.role = m.kind == settings_.origin_kind   ? Role::origin
                   : m.kind == settings_.parent_kind ? Role::parent
                   : m.zone == settings_.zone        ? Role::cache
                                                     : Role::elsewhere;
    }
    for (std::size_t i = 0; i < endpoints_.size(); ++i) forget_if_gone(i);
  }

  /// Guards the memory through days on which members are replaced for ever: what is known of one that has
  /// gone is dropped with the last request that names it, and its place goes to another.
  void forget_if_gone(std::size_t at) {
    const EndpointStats& stats = endpoints_[at];
    if (stats.member.state != EndpointState::removed || stats.references > 0 ||
        by_id_.erase(stats.member.id) == 0)
      return;
    free_.push_back(at);
  }

  static bool is_running(const EndpointStats& stats) { return stats.member.state == EndpointState::running; }

  std::vector<std::size_t> members(Role role) const {
    std::vector<std::size_t> found;
    for (std::size_t i = 0; i < endpoints_.size(); ++i) {
      if (endpoints_[i].role == role && is_running(endpoints_[i])) found.push_back(i);
    }
    return found;
  }

  // ---- Health: one reading, relative to the member's peers ----

  double weight(const EndpointStats& stats) const {
    return settings_.weights == Weights::nominal || settings_.weights == Weights::rough
               ? std::max(stats.member.weight, 1e-3)
               : 1;
  }

  /// How much slower than its sound peers (the lower quartile of their paces) a member is: 1 unless it is
  /// much slower. Its square takes from its weight in the hash order, so that all routers move the same
  /// objects away. Guards against slow, stalled, ageing, silent and overloaded members; a trouble that all
  /// share (a slow origin, a full link) moves the quartile and nobody is passed over for it. Harm: a few odd
  /// late answers move objects from a sound cache, and each is a miss at the next.
  double slowness(const EndpointStats& stats, double reference) const {
    return std::max(1.0, stats.relative_latency / std::max(reference, 0.05) / kSlowThreshold);
  }

  double reference_latency(const std::vector<std::size_t>& group) const {
    std::vector<double> paces;
    for (const std::size_t i : group) paces.push_back(endpoints_[i].relative_latency);
    if (paces.empty()) return 0;
    const auto middle = paces.begin() + static_cast<std::ptrdiff_t>((paces.size() - 1) / 4);
    std::nth_element(paces.begin(), middle, paces.end());
    return *middle;
  }

  /// The limit on requests under way follows what the member answers in time. Guards against congestion
  /// collapse, whatever fills the slots: late work holding them, a full link, a slow or crowded source.
  /// Harm: a few odd late answers hold back a member that had room.
  static void increase_concurrency_limit(EndpointStats& stats) {
    if (stats.in_flight + 1 >= stats.concurrency_limit / 2)
      stats.concurrency_limit +=
          std::max(kLimitIncrease * stats.concurrency_limit, 1 / stats.concurrency_limit);
  }
  static bool at_concurrency_limit(const EndpointStats& stats) {
    return stats.in_flight + 1 >= stats.concurrency_limit;
  }
  static void decrease_concurrency_limit(EndpointStats& stats, double blame = 1) {
    stats.concurrency_limit = std::max(1.0, stats.concurrency_limit * (1 - kLimitDecrease * blame));
  }

  void sample_latency(EndpointStats& stats, double relative_latency) {
    stats.relative_latency +=
        kLatencyGain * (std::min(relative_latency, kWorstLatency) - stats.relative_latency);
  }

  /// What is lost at one moment is one failure, and one alone moves nothing. Guards against a sound member
  /// that is shut, or asked less, for one connection that broke with several attempts on it.
  void record_failure(EndpointStats& stats) {
    if (std::exchange(stats.last_failure_at, now_) == now_ || ++stats.consecutive_failures < 2) return;
    sample_latency(stats, kWorstLatency);
    if (stats.consecutive_failures < kFailuresToEject) return;
    stats.ejected_until = now_ + stats.ejection_backoff;
    stats.ejection_backoff = std::min(stats.ejection_backoff * 2, kEjectionLongest);
  }

  void record_success(EndpointStats& stats) {
    stats.consecutive_failures = 0;
    stats.ejected_until = Time{0};
    stats.ejection_backoff = kEjectionFirst;
  }

  // ---- Cold members ----

  bool warming_up(const EndpointStats& stats) const {
    const Time warm = stats.role == Role::parent ? settings_.parent_warm_up_time : settings_.warm_up_time;
    return stats.member.started.count() != 0 && now_ - stats.member.started < warm;
  }

  /// Whether a cold member's budget leaves room for one more request of this class. Guards against
  /// pushing a freshly started cache or parent over. The budget is this router's part of the member's size
  /// where that is told, else an even share of what its requests have lately been served by the member's
  /// peers (what was asked may be far above what they can do), times the least part of its capacity the
  /// member may have by now, times the multiple at which it falls. A router that has just started keeps to
  /// less: the process it replaces may still send. Harm: at low load it holds back more than needed.
  bool slow_start_admits(EndpointStats& stats, double work) {
    if (!warming_up(stats)) return true;
    const bool parent = stats.role == Role::parent;
    const double floor = parent ? settings_.parent_initial_capacity : settings_.initial_capacity;
    const double multiple = parent ? settings_.parent_overload_factor : settings_.overload_factor;
    const Time warm = parent ? settings_.parent_warm_up_time : settings_.warm_up_time;
    const double age = std::max(0.0, seconds(now_ - stats.member.started) / seconds(warm));
    const auto group = members(stats.role);
    double weights = 0;
    for (const std::size_t i : group) weights += weight(endpoints_[i]);
    double load = (parent ? usual_fills_ : usual_load_) * weight(stats) / std::max(weights, 1e-3);
    if (settings_.weights == Weights::nominal || settings_.weights == Weights::rough) {
      load = weight(stats) / std::max(1, parent ? settings_.router_count : routers_here());
    }
    load *= parent ? quota_.parent_share : quota_.cache_share;
    const double use = now_ - started_ < kHandover ? kSlowStartBudgetUseDuringHandover : kSlowStartBudgetUse;
    const double budget =
        use * multiple * (floor + (1 - floor) * age) * load * seconds(settings_.overload_window);
    if (budget >= work) return stats.sent.sum(now_, settings_.overload_window) + work <= budget;
    if (budget <= 0) return false;
    // Less than one request in the rule's span is one in a longer one, from a moment of this router's own on:
    // else hundreds of routers would send nothing until the member counts as warm, then all at once.
    const Time stretched =
        from_seconds(std::min(seconds(settings_.overload_window) * work / budget, seconds(warm)));
    const double phase = static_cast<double>(mix(stats.hash ^ seed_) >> 11U) / 9007199254740992.0;
    return now_ - std::max(stats.last_sent_at, stats.member.started) >=
           (stats.last_sent_at < stats.member.started ? from_seconds(phase * seconds(stretched)) : stretched);
  }

  bool mostly_warmed_up(Role role) const {
    const auto group = members(role);
    std::size_t warm = 0;
    for (const std::size_t i : group)
      warm += warming_up(endpoints_[i]) || endpoints_[i].consecutive_failures >= kFailuresToEject ? 0 : 1;
    return warm > 0 && 2 * warm >= group.size();
  }

  // ---- Choosing: the bounded hash order ----

  bool is_usable(EndpointStats& stats, double work) {
    return is_running(stats) && now_ >= stats.ejected_until && slow_start_admits(stats, work);
  }

  /// The first usable member in the object's hash order whose requests under way are below the bound and
  /// its limit, if there is one. Members in `tried` are left out.
  std::optional<std::size_t> select(Role role, std::uint64_t key, double work,
                                    const std::vector<std::size_t>& attempted, double room) {
    const auto group = members(role);
    const double reference = reference_latency(group);
    double shares = 0, total = 0;
    std::vector<std::pair<double, std::size_t>> order;
    for (const std::size_t i : group) {
      EndpointStats& stats = endpoints_[i];
      const double share = weight(stats) / slowness(stats, reference);
      shares += share;
      total += stats.in_flight;
      if (!is_usable(stats, work) || std::find(attempted.begin(), attempted.end(), i) != attempted.end())
        continue;
      // Weighted rendezvous: -weight / ln(u), the highest first.
      const double u = (static_cast<double>(mix(stats.hash ^ key) >> 11U) + 0.5) / 9007199254740992.0;
      const double slow = slowness(stats, reference);
      order.emplace_back(-weight(stats) / (slow * slow) / std::log(u), i);
    }
    std::sort(order.begin(), order.end(), [](const auto& a, const auto& b) { return a.first > b.first; });
    for (const auto& [score, i] : order) {
      const EndpointStats& stats = endpoints_[i];
      const double share = weight(stats) / slowness(stats, reference) / shares;
      const double bound = role == Role::parent
                               ? room * stats.concurrency_limit / slowness(stats, reference)
                               : std::min(kLoadBound * (total + 1) * share, stats.concurrency_limit);
      if (stats.in_flight < std::max(1.0, bound)) return i;
    }
    return std::nullopt;
  }

  std::optional<std::size_t> origin() const {
    const auto found = members(Role::origin);
    if (found.empty()) return std::nullopt;
    return found.front();
  }

  // ---- Requests ----

  void on(const Request& r) {
    PendingRequest held;
    held.request = r;
    held.key = mix(r.object ^ mix(r.part));
    held.rank = rank_of(r, held.key);
    held.arrived = now_;
    const auto c = static_cast<std::size_t>(r.request_class);
    if (c >= settings_.classes.size()) {
      actions_.push_back(Reject{r.id, retry_after()});
      return;
    }
    const bool told = r.size_kb > 0 && settings_.transfer_kb_per_s > 0;
    held.work = told ? r.size_kb / settings_.transfer_kb_per_s : mean_work_[c];
    if (told) record_work(c, held.work);
    held.size_known = told;
    held.latency_objective =
        std::min(settings_.classes[c].latency_objective +
                     from_seconds(settings_.classes[c].latency_objective_per_transfer_time * held.work),
                 settings_.classes[c].deadline);
    // A copy of its own spares a fill that would be late or dear. Its link is narrow: what is asked for
    // often, which the caches hold, goes out there only while it is free.
    if (r.local_copy_wait &&
        *r.local_copy_wait + from_seconds(held.work) <=
            from_seconds(kLocalCopyWithin * seconds(held.latency_objective)) &&
        (r.local_copy_wait->count() == 0 || counts_.count(held.key) <= kLocalCopyMaxCount)) {
      actions_.push_back(ServeFromLocalCache{r.id});
      return;
    }
    usual_work_ += kMeanGain * (held.work - usual_work_);
    usual_priority_ += kMeanGain * (expected_priority(held) - usual_priority_);
    retry_budget_ = std::min(kRetryBudgetBurst, retry_budget_ + kRetryBudgetRatio);
    timers_.add(r.expires - settings_.tick, {TimerKind::deadline, r.id});
    if (!runs_at_origin(held))
      timers_.add(now_ + held.latency_objective, {TimerKind::latency_objective, r.id});
    PendingRequest& kept = pending_[r.id] = std::move(held);
    if (!attempt(kept)) give_up(kept);
    drop_if_done(r.id);
  }

  const RequestClass& class_of(const PendingRequest& pending) const {
    return settings_.classes[static_cast<std::size_t>(pending.request.request_class)];
  }

  /// What a request of the class weighs for a cold member. Guards one that has started where requests don't
  /// tell their size: then an answer's whole time stands for its sending, and before the first one the wanted
  /// time.
  double mean_work(const PendingRequest& pending) const {
    const double mean = mean_work_[static_cast<std::size_t>(pending.request.request_class)];
    return mean > 0 ? mean : seconds(class_of(pending).latency_objective);
  }

  void record_work(std::size_t c, double work) {
    double& mean = mean_work_[c];
    mean = mean == 0 ? work : mean + kMeanGain * (work - mean);
  }

  /// What a fill is expected to earn: a slow source leaves classes with little time no chance.
  double expected_priority(const PendingRequest& pending) const {
    return class_of(pending).priority_weight *
           fills_in_time_[static_cast<std::size_t>(pending.request.request_class)];
  }

  void record_fill(const PendingRequest& pending, bool in_time, Time delay) {
    double& share = fills_in_time_[static_cast<std::size_t>(pending.request.request_class)];
    share += kMeanGain * ((in_time ? 1 : 0) - share);
    // A full link slows large fills most: only small ones tell the delay of the source.
    if (pending.work < usual_work_) fill_delay_ += kMeanGain * (seconds(delay) - fill_delay_);
  }

  /// The told load of the location's link shows what its other routers draw, before anything is late. Every
  /// answer tells it anew, also of what is kept; where it is not told it stays 0.
  bool fill_allowed(FillAdmission& gate, const PendingRequest& pending) {
    return gate.admit(now_, (pending.work + fill_delay_) / std::max(expected_priority(pending), 1e-6),
                      kLinkOverload / std::max(link_utilization_, kLinkOverload));
  }

  FillAdmission& fill_admission_for(const AttemptRecord& attempt_record) {
    return attempt_record.cached_only                               ? cached_fills_
           : endpoints_[attempt_record.source].role == Role::origin ? origin_fills_
                                                                    : fills_;
  }

  /// The gates to which an attempt tells what happens to answers where nothing is fetched.
  std::vector<FillAdmission*> fill_admissions_for_hits(const AttemptRecord& attempt_record) {
    if (attempt_record.source == attempt_record.at) return {&fills_, &origin_fills_, &cached_fills_};
    if (attempt_record.cached_only) return {&fills_, &origin_fills_};
    return {};
  }

  bool runs_at_origin(const PendingRequest& pending) const {
    return pending.request.write || class_of(pending).uncacheable;
  }

  /// Sends the next attempt of a request; false where there is none to send.
  bool attempt(PendingRequest& pending) {
    if (pending.finished || static_cast<int>(pending.attempts.size()) >= settings_.max_attempts ||
        now_ >= pending.request.expires - settings_.tick)
      return false;
    std::vector<std::size_t> attempted, attempted_sources;
    for (const AttemptRecord& attempt_record : pending.attempts) {
      if (attempt_record.malformed) continue;  // it has run there, and its copy is there now
      attempted.push_back(attempt_record.at);
      attempted_sources.push_back(attempt_record.source);
    }
    const double charge = mean_work(pending);
    const auto home = origin();
    // Guards against large fills crowding out several small ones of more worth on a full link or at a
    // crowded source. Harm: a source that bears all sizes alike is used less by the large ones.
    const double priority = expected_priority(pending);
    const double room =
        priority * (usual_work_ + fill_delay_) < usual_priority_ * (pending.work + fill_delay_)
            ? kLowValueCapacity
            : 1;
    std::optional<std::size_t> at, source;
    // Fills that no parent takes go to the origin while it answers in time: it may have room when parents are
    // lost or cold. What is held back from the parents is not asked of the origin instead: it bears their
    // misses too, and a fill past them leaves no copy for the other locations. A parent is still asked for
    // what it holds.
    bool cached_only = false;
    if (runs_at_origin(pending)) {
      source = home;
      at = settings_.direct_to_sources ? home : select(Role::cache, pending.key, charge, attempted, 1);
    } else {
      source = select(Role::parent, mix(pending.request.object), charge, attempted_sources, room);
      if (source && !fill_allowed(fills_, pending)) {
        cached_only = fill_allowed(cached_fills_, pending);
        if (!cached_only) source.reset();
      } else if (!source && home && endpoints_[*home].in_flight < endpoints_[*home].concurrency_limit &&
                 fill_allowed(origin_fills_, pending)) {
        source = home;
      }
      at = select(Role::cache, pending.key, charge, attempted, 1);
      if (at && !source) source = at;  // the sources are full: what is kept is served, no fill is added
      if (!at && source && settings_.direct_to_sources) at = source;
    }
    if (!at || (runs_at_origin(pending) && !source) || !may_attempt(pending, *at)) return false;
    send(pending, *at, source ? *source : *at, charge, cached_only);
    return true;
  }

  void send(PendingRequest& pending, std::size_t at, std::size_t source, double charge, bool cached_only) {
    EndpointStats& stats = endpoints_[at];
    Attempt a;
    a.request = pending.request.id;
    a.endpoint = stats.member.id;
    a.source = endpoints_[source].member.id;
    a.rank = stats.role == Role::cache ? pending.rank : Rank::uncached;
    a.max_copy_age = max_copy_age(pending, source == at || cached_only);
    a.parent_uncached = pending.rank == Rank::uncached && endpoints_[source].role == Role::parent;
    a.stale_while_revalidate =
        stats.role == Role::cache && pending.rank != Rank::uncached && class_of(pending).max_age.count() > 0;
    a.join_fill = stats.role == Role::cache && !runs_at_origin(pending);
    a.cached_only = cached_only && endpoints_[source].role == Role::parent;
    a.send_within = send_deadline(pending);
    // Asked straight, a parent gives only what it holds unless the origin is named as its source.
    const auto home = origin();
    if (at == source && stats.role == Role::parent && !a.cached_only && home)
      a.source = endpoints_[*home].member.id;
    pending.attempts.push_back({at, source, now_});
    ++endpoints_[at].references;
    ++endpoints_[source].references;
    pending.attempts.back().cached_only = a.cached_only;
    record_sent(stats, charge);
    if (source != at) record_sent(endpoints_[source], charge);

    actions_.push_back(std::move(a));
    if (!runs_at_origin(pending))
      timers_.add(now_ + from_seconds(kHedgeDelayRatio * seconds(pending.latency_objective)),
                  {TimerKind::hedge, pending.request.id});
  }

  void record_sent(EndpointStats& stats, double charge) {
    ++stats.in_flight;
    if (!warming_up(stats)) return;
    stats.sent.add(now_, charge);
    stats.last_sent_at = now_;
  }

  // ---- Rule: no effect twice ----

  static bool may_have_executed(AttemptResult e) {
    return e != AttemptResult::shed && e != AttemptResult::unreachable && e != AttemptResult::not_sent &&
           e != AttemptResult::cache_miss;
  }

  /// Whether a further attempt is allowed by the class: safe always; unsafe only while nothing may have
  /// run; keyed only within the group and the memory of the first attempt that may have.
  bool may_attempt(const PendingRequest& pending, std::size_t at) const {
    const RequestClass& c = class_of(pending);
    const bool open = std::any_of(pending.attempts.begin(), pending.attempts.end(),
                                  [](const AttemptRecord& attempt_record) { return attempt_record.open; });
    if (open && !settings_.hedging) return false;
    if (c.idempotency == Idempotency::idempotent) return true;
    const auto ran = may_have_run_.find(pending.request.id);
    const bool maybe = open || ran != may_have_run_.end();
    if (!maybe) return true;
    if (c.idempotency == Idempotency::none) return false;
    for (const AttemptRecord& attempt_record : pending.attempts) {
      const Endpoint &one = endpoints_[attempt_record.at].member, &other = endpoints_[at].member;
      if (now_ - attempt_record.sent >= c.deduplication_window) return false;
      if (c.deduplication_scope == DeduplicationScope::zone && one.zone != other.zone) return false;
      if (c.deduplication_scope == DeduplicationScope::cell && one.cell != other.cell) return false;
    }
    return true;
  }

  /// How soon a repeat of a keyed request has to be sent. Guards the memory of its key against a repeat that
  /// is decided within it and waits for a connection until after it.
  Time send_deadline(const PendingRequest& pending) const {
    if (class_of(pending).idempotency != Idempotency::with_key || pending.attempts.empty()) return Time{0};
    return class_of(pending).deduplication_window - (now_ - pending.attempts.front().sent);
  }

  bool may_reject(const PendingRequest& pending) const {
    const RequestClass& c = class_of(pending);
    if (c.idempotency == Idempotency::idempotent ||
        (c.idempotency == Idempotency::with_key && c.deduplication_scope == DeduplicationScope::all))
      return true;
    const bool open = std::any_of(pending.attempts.begin(), pending.attempts.end(),
                                  [](const AttemptRecord& attempt_record) { return attempt_record.open; });
    return !open && may_have_run_.find(pending.request.id) == may_have_run_.end();
  }

  // ---- Rule: one final answer ----

  /// How long a refused client should stay away. Guards against a client's try that comes again at once,
  /// while what was full still is. Harm: a passing refusal costs that long.
  Time retry_after() const {
    return settings_.retry_after ? from_seconds(kRetryAfterRatio * seconds(settings_.max_retry_after))
                                 : Time{0};
  }

  void give_up(PendingRequest& pending) {
    if (pending.finished) return;
    pending.finished = true;
    if (may_reject(pending)) {
      actions_.push_back(Reject{pending.request.id, retry_after()});
    } else {
      actions_.push_back(Fail{pending.request.id});
    }
    cancel_open_attempts(pending);
  }

  void cancel_open_attempts(const PendingRequest& pending) {
    if (!settings_.cancellation || pending.streaming) return;
    for (std::size_t n = 0; n < pending.attempts.size(); ++n) {
      if (pending.attempts[n].open) actions_.push_back(Cancel{pending.request.id, static_cast<int>(n)});
    }
  }

  /// A request is forgotten once it is over and all its attempts have been told of.
  void drop_if_done(const std::string& id) {
    const auto found = pending_.find(id);
    if (found == pending_.end() || !found->second.finished) return;
    const auto& attempts = found->second.attempts;
    if (std::any_of(attempts.begin(), attempts.end(),
                    [](const AttemptRecord& attempt_record) { return attempt_record.open; }))
      return;
    const std::vector<AttemptRecord> ended = std::move(found->second.attempts);
    pending_.erase(found);
    may_have_run_.erase(id);
    for (const AttemptRecord& attempt_record : ended) {
      --endpoints_[attempt_record.at].references;
      --endpoints_[attempt_record.source].references;
      forget_if_gone(attempt_record.at);
      forget_if_gone(attempt_record.source);
    }
  }

  void on_deadline(const std::string& id) {
    const auto found = pending_.find(id);
    if (found == pending_.end() || found->second.finished || found->second.streaming) return;
    give_up(found->second);
    drop_if_done(id);
  }

  /// Past its wanted time a request is given up where its members are crowded: what it would still earn is
  /// little, and the slots and links it holds are needed for requests that can still be in time. Where
  /// there is room it goes on, so that a slow fill still leaves its copy. A fill is given as long again: the
  /// caches may drop one whose client has left, and its bytes would have to come in once more.
  void on_latency_objective(const std::string& id) {
    const auto found = pending_.find(id);
    if (found == pending_.end() || found->second.finished || found->second.streaming) return;
    PendingRequest& pending = found->second;
    bool contested = false, filling = false;
    for (AttemptRecord& attempt_record : pending.attempts) {
      if (!attempt_record.open) continue;
      EndpointStats& blamed =
          endpoints_[attempt_record.source];  // the member itself where no fill was asked for
      contested =
          contested || at_concurrency_limit(endpoints_[attempt_record.at]) || at_concurrency_limit(blamed);
      if (std::exchange(attempt_record.late, true)) continue;
      decrease_concurrency_limit(blamed);
      sample_latency(endpoints_[attempt_record.at], kWorstLatency);
      for (FillAdmission* gate : fill_admissions_for_hits(attempt_record)) gate->record_cached_timeout();
      if (attempt_record.source == attempt_record.at) continue;
      filling = true;
      fill_admission_for(attempt_record).record_timeout();
      decrease_concurrency_limit(endpoints_[attempt_record.at], 0.5);
      record_fill(pending, false, now_ - attempt_record.sent);
    }
    if (filling) {
      timers_.add(now_ + pending.latency_objective, {TimerKind::latency_objective, id});
    } else if (contested) {
      give_up(pending);
      drop_if_done(id);
    }
  }

  /// Guards against silence: an attempt that has not answered in most of the wanted time counts as slow,
  /// and a second copy goes to the next members in the order. The retry budget keeps it from adding to an
  /// overload.
  void on_hedge_delay(const std::string& id) {
    const auto found = pending_.find(id);
    if (found == pending_.end() || found->second.finished || found->second.streaming) return;
    PendingRequest& pending = found->second;
    int open = 0;
    for (AttemptRecord& attempt_record : pending.attempts) {
      if (!attempt_record.open) continue;
      ++open;
      if (attempt_record.latency_sampled ||
          now_ - attempt_record.sent < from_seconds(kHedgeDelayRatio * seconds(pending.latency_objective)))
        continue;
      attempt_record.latency_sampled = true;
      sample_latency(endpoints_[attempt_record.at], 1);
      if (attempt_record.source != attempt_record.at) sample_latency(endpoints_[attempt_record.source], 1);
    }
    if (open > 1 || retry_budget_ < 1) return;
    if (attempt(pending)) retry_budget_ -= 1;
  }

  void on(const Outcome& o) {
    const auto found = pending_.find(o.request);
    if (found == pending_.end() || o.attempt < 0 ||
        o.attempt >= static_cast<int>(found->second.attempts.size()))
      return;
    PendingRequest& pending = found->second;
    AttemptRecord& attempt_record = pending.attempts[static_cast<std::size_t>(o.attempt)];
    if (!attempt_record.open) return;
    attempt_record.open = false;
    EndpointStats& stats = endpoints_[attempt_record.at];
    EndpointStats& source = endpoints_[attempt_record.source];
    --stats.in_flight;
    if (attempt_record.source != attempt_record.at) --source.in_flight;
    for (FillAdmission* gate : {&fills_, &origin_fills_, &cached_fills_}) gate->decay(now_);
    for (FillAdmission* gate : fill_admissions_for_hits(attempt_record)) gate->record_cached();
    if (attempt_record.source != attempt_record.at) fill_admission_for(attempt_record).record_source_asked();
    if (stats.role == Role::cache && o.report && o.report->link_utilization)
      link_utilization_ += kLinkGain * (*o.report->link_utilization - link_utilization_);
    attempt_record.malformed = o.result == AttemptResult::malformed_response;
    stats.error_rate += kErrorRateGain * ((o.result == AttemptResult::error ? 1 : 0) - stats.error_rate);
    record_result(pending, attempt_record, o);
    if (may_have_executed(o.result)) may_have_run_.insert(o.request);
    if (o.request_finished && !pending.finished) {
      pending.finished = true;
      cancel_open_attempts(pending);
    }
    if (!pending.finished && o.result != AttemptResult::served) retry(pending, o.result);
    drop_if_done(o.request);
  }

  void record_result(const PendingRequest& pending, const AttemptRecord& attempt_record, const Outcome& o) {
    EndpointStats& stats = endpoints_[attempt_record.at];
    EndpointStats& source = endpoints_[attempt_record.source];
    const bool by_source = o.cache_status == CacheStatus::source_shed ||
                           o.cache_status == CacheStatus::source_unreachable ||
                           o.cache_status == CacheStatus::origin_failed;
    switch (o.result) {
      case AttemptResult::served: {
        if (!pending.size_known)
          record_work(static_cast<std::size_t>(pending.request.request_class), seconds(o.duration));
        const double relative_latency =
            seconds(o.duration) / std::max(seconds(pending.latency_objective), 1e-3);
        const bool hit = o.cache_status == CacheStatus::hit || o.cache_status == CacheStatus::stale;
        record_success(stats);
        if (!attempt_record.latency_sampled) sample_latency(stats, relative_latency);
        if (hit && relative_latency > 1) {
          decrease_concurrency_limit(stats);
        } else {
          increase_concurrency_limit(stats);
        }
        if (stats.role == Role::cache) load_second_ += pending.work;

        if (attempt_record.source != attempt_record.at && hit) {
          fill_admission_for(attempt_record).record_hit();
        } else if (attempt_record.source != attempt_record.at) {
          if (source.role == Role::parent) fills_second_ += pending.work;
          if (o.cache_status != CacheStatus::unknown) record_success(source);
          if (!attempt_record.latency_sampled) sample_latency(source, relative_latency);
          if (relative_latency <= 1) increase_concurrency_limit(source);
          if (relative_latency <= 1) fill_admission_for(attempt_record).record_in_time();
          // Late though no origin was asked: the link or the parent is full, and asking less would not help.
          if (!attempt_record.cached_only && o.cache_status != CacheStatus::filled_by_origin)
            relative_latency <= 1 ? cached_fills_.record_in_time() : cached_fills_.record_rejected();
          const Time over_sending = std::max(0us, o.duration - from_seconds(pending.work));
          if (!attempt_record.late)
            record_fill(pending, relative_latency <= 1, o.first_byte.value_or(over_sending));
        }
        break;
      }
      case AttemptResult::cache_miss:
        if (attempt_record.source == attempt_record.at)
          cached_fills_.record_denied();  // no fill was asked for
        if (attempt_record.source == attempt_record.at || attempt_record.cached_only) {
          fills_.record_denied();
          origin_fills_.record_denied();
          break;
        }
        [[fallthrough]];
      case AttemptResult::shed:
      case AttemptResult::error:
        if (o.cache_status == CacheStatus::unknown && o.result == AttemptResult::error &&
            has_own_errors(stats)) {
          decrease_concurrency_limit(stats);
          sample_latency(stats, kWorstLatency);
          break;
        }
        if (attempt_record.source != attempt_record.at && !attempt_record.late)
          fill_admission_for(attempt_record).record_rejected();
        if (by_source && attempt_record.source != attempt_record.at) {
          decrease_concurrency_limit(source);
          record_failure(source);
        } else if (o.cache_status == CacheStatus::unknown && attempt_record.source != attempt_record.at) {
          decrease_concurrency_limit(
              source);  // not told which of the two refused: the source more often, the cache by half
          sample_latency(source, kWorstLatency);
          decrease_concurrency_limit(stats, 0.5);
        } else {
          decrease_concurrency_limit(stats);
          sample_latency(stats, kWorstLatency);
        }
        break;
      case AttemptResult::unreachable:
      case AttemptResult::connection_lost:
        record_failure(stats);
        break;
      case AttemptResult::timed_out:
        if (!attempt_record.latency_sampled) sample_latency(stats, kWorstLatency);
        break;
      case AttemptResult::cancelled:
      case AttemptResult::not_sent:
      case AttemptResult::malformed_response:  // the way spoils answers from any member alike: no evidence
                                               // against this one
        break;
    }
  }

  /// Whether the errors at a cache are its own, where none tells: those of a source come back from all caches
  /// alike. Guards the sources, and all fills, against paying for one cache that fails fast.
  bool has_own_errors(const EndpointStats& stats) const {
    double least = 1;
    for (const std::size_t i : members(stats.role)) least = std::min(least, endpoints_[i].error_rate);
    return stats.error_rate > least + kOwnErrorExcess;
  }

  void retry(PendingRequest& pending, AttemptResult ending) {
    const AttemptRecord& last = pending.attempts.back();
    // What was lost on the way is no sign of overload: asking again takes nothing from the budget.
    if ((ending == AttemptResult::malformed_response || ending == AttemptResult::connection_lost) &&
        attempt(pending))
      return;
    const bool filled =
        !last.cached_only && (last.source != last.at || endpoints_[last.at].role != Role::cache);
    if (filled && retry_budget_ >= 1 && attempt(pending)) {
      retry_budget_ -= 1;
      return;
    }
    if (std::none_of(pending.attempts.begin(), pending.attempts.end(),
                     [](const AttemptRecord& attempt_record) { return attempt_record.open; }))
      give_up(pending);
  }

  void on(const RequestCancelled& w) {
    const auto found = pending_.find(w.request);
    if (found == pending_.end()) return;
    if (!found->second.finished) {
      found->second.finished = true;
      cancel_open_attempts(found->second);
    }
    drop_if_done(w.request);
  }

  void on(const QuotaChanged& stats) { quota_ = stats; }
  void on(const SettingsChanged& r) { settings_ = r.settings; }

  void on(const StreamStarted& s) {
    const auto found = pending_.find(s.request);
    if (found != pending_.end()) found->second.streaming = true;
  }

  // ---- Rule: purges kept ----

  void on(const Invalidation& purge) {
    const Time at = now_ - purge.age;
    Time& known = purge.object ? object_invalidations_[*purge.object] : group_invalidations_[purge.group];
    known = std::max(known, at);
    std::erase_if(object_invalidations_, [this](const auto& e) { return !is_effective(e.second); });
    std::erase_if(group_invalidations_, [this](const auto& e) { return !is_effective(e.second); });
  }

  /// Twice the time in which older copies go, so that none under way at the purge slips through.
  bool is_effective(Time at) const { return now_ - at < 2 * settings_.invalidation_settled_after; }

  /// The oldest copy that will do: fresh, and given out after the newest purge of the object or its group.
  /// Where no fill is let through, one in its grace time will do: it earns less, a refusal nothing.
  Time max_copy_age(const PendingRequest& pending, bool no_fill) const {
    Time newest{INT64_MIN};
    if (const auto stats = object_invalidations_.find(pending.request.object);
        stats != object_invalidations_.end())
      newest = stats->second;
    if (const auto stats = group_invalidations_.find(pending.request.group);
        stats != group_invalidations_.end())
      newest = std::max(newest, stats->second);
    const RequestClass& c = class_of(pending);
    const Time fresh = c.max_age + (no_fill && c.max_age.count() > 0 ? c.grace : Time{0});
    if (newest.count() == INT64_MIN || !is_effective(newest)) return fresh;
    const Time since = std::max(Time{1}, now_ - newest);
    return fresh.count() > 0 ? std::min(fresh, since) : since;
  }

  Settings settings_;
  QuotaChanged quota_;  // of its even share of what cold members bear
  std::uint64_t seed_;
  Time now_{0};
  Time started_{0};
  Time wake_up_at_{0};
  bool has_started_ = false;
  std::vector<Action> actions_;
  TimerQueue<Timer> timers_;
  std::vector<EndpointStats> endpoints_;
  std::vector<std::size_t> free_;  // places in it of members that have gone
  std::map<std::string, std::size_t> by_id_;
  std::map<std::string, PendingRequest> pending_;
  std::set<std::string> may_have_run_;  // requests of which an attempt may have run
  SlidingWindowCounter counts_;
  std::set<std::uint64_t> gold_;
  std::vector<double> mean_work_;  // by class
  double fill_delay_ = 0;          // time to a fill's first byte, lately, in seconds
  std::vector<double>
      fills_in_time_;            // by class, share of the attempts with a source that were in time, lately
  double link_utilization_ = 0;  // transfers on the location's link over those that fit, as told
  FillAdmission fills_;          // that the source may have to fetch
  FillAdmission origin_fills_;   // asked of the origin itself
  FillAdmission cached_fills_;   // asked of a parent only where it holds them
  double retry_budget_ = kRetryBudgetBurst;
  double usual_work_ = 0, usual_priority_ = 0;  // of a request, as a moving mean
  double load_second_ = 0, usual_load_ = 0;    // own work served by caches, in seconds of sending each second
  double fills_second_ = 0, usual_fills_ = 0;  // own work served through parents
  std::map<std::uint64_t, Time> object_invalidations_;
  std::map<std::int64_t, Time> group_invalidations_;
};

Router::Router(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Router::~Router() = default;
Router::Router(Router&&) noexcept = default;
Router& Router::operator=(Router&&) noexcept = default;

std::vector<Action> Router::handle(Time now, const Event& event) { return impl_->handle(now, event); }
Router::Stats Router::stats() const { return impl_->stats(); }

}  // namespace edge_proxy
