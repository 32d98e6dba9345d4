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
constexpr Time kWindowPerRouter = 20s;     // the counting window, times the location's routers
constexpr Time kRecompute = 1s;            // how often gold is chosen anew
constexpr std::size_t kGold = 20;          // objects kept at the middle rank
constexpr std::size_t kBronzeCount = 1;    // seen so often in the window: passed through unkept
constexpr std::size_t kCounted = 1 << 16;  // requests the counting table holds at most
constexpr double kBound = 4.0;             // bound on requests under way, over the member's even share

// Guards.
constexpr double kPatience = 0.6;     // part of the wanted time after which a second copy is worth it
constexpr double kRetryShare = 0.05;  // further attempts paid for by each first one
constexpr double kRetryBurst = 2;     // further attempts saved up at most
constexpr double kFaultGain = 0.05;   // weight of a new attempt in a member's share of errors
constexpr double kOwnFaults = 0.3;    // share above that of its best peer from which errors are its own
constexpr double kPaceGain = 0.1;     // weight of a new sample in a member's pace
constexpr double kWorstPace = 3;      // a failure counts as an answer in this many wanted times
constexpr double kSlowFrom = 2;       // pace over that of its sound peers from which a member gets less
constexpr double kForgiven = 0.05;    // part of its slowness that a member is forgiven each second
constexpr int kStrikes = 3;           // failures in a row that shut a member
constexpr Time kShutFirst = 500ms;    // the first rest of a shut member; doubles up to kShutLongest
constexpr Time kShutLongest = 8s;
constexpr double kLimitStart = 16;      // requests under way at a member before anything is known of it
constexpr double kLimitUp = 0.02;       // part by which an answer in time raises it, by one a round at least
constexpr double kLimitDown = 0.1;      // part by which a late answer or a refusal lowers it
constexpr double kColdUse = 0.7;        // part of a cold member's budget that is used
constexpr double kColdUseBeside = 0.3;  // the same while another process of this router may still send
constexpr Time kReplacing = 4s;         // for so long after the start
constexpr double kMeanMemory = 0.02;    // weight of a new request in the mean work and worth
constexpr double kPoorRoom = 0.5;       // part of a source's limit open to fills that earn less than usual
constexpr double kLinkFull = 1.5;  // told load of the location's link from which fewer fills are let through
constexpr double kLinkMemory = 0.3;  // weight of the newest report of it
constexpr double kLoadMemory = 0.1;  // weight of the newest second in the usual load
constexpr double kStayAway = 0.5;    // part of the longest wait that clients follow, told with a refusal
constexpr double kOwnWithin = 0.7;   // part of the wanted time in which an own copy has to be through
constexpr std::size_t kOwnRare = 2;  // asked for so often in the window: the caches may not hold it any more
constexpr Time kAskAgain = 1s;       // wait after a failed call to the member list

constexpr std::int64_t kTimerToken = 1;

/// A strong mix of 64 bits (the finalizer of SplitMix64).
std::uint64_t mix(std::uint64_t x) {
  x += 0x9e3779b97f4a7c15U;
  x = (x ^ (x >> 30U)) * 0xbf58476d1ce4e5b9U;
  x = (x ^ (x >> 27U)) * 0x94d049bb133111ebU;
  return x ^ (x >> 31U);
}

/// FNV-1a: the same at all routers, whatever the platform's std::hash does.
std::uint64_t hash_text(std::string_view text) {
  std::uint64_t hash = 0xcbf29ce484222325U;
  for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3U;
  return mix(hash);
}

double seconds(Time t) { return static_cast<double>(t.count()) / 1e6; }
Time from_seconds(double s) { return Time{static_cast<std::int64_t>(s * 1e6)}; }

enum class Role { cache, parent, origin, elsewhere };

/// What this router knows of one member.
struct Peer {
  Endpoint member;
  std::uint64_t hash = 0;
  Role role = Role::elsewhere;
  int named = 0;      // tries of requests not over yet that name it
  int under_way = 0;  // own attempts out at it, and fills that name it as source
  double pace = 0;    // recent answers' time over their wanted time
  double faults = 0;  // share of the attempts at it that end in an error, lately
  int strikes = 0;    // failures in a row
  Time struck_at{-1};
  double limit = kLimitStart;  // requests under way that it answers in time, as learnt
  Time shut_until{0};
  Time rest{kShutFirst};
  SlidingWindowSum sent;  // work sent to it while cold, for the budget
  Time sent_at{0};        // when it was last sent some while cold
};

struct Try {
  std::size_t at = 0;  // place in peers_
  std::size_t source = 0;
  Time sent{0};
  bool open = true;
  bool judged = false;     // its silence has been counted already
  bool late = false;       // its fill has been counted as late already
  bool spoilt = false;     // lost on the way, through no fault of its member
  bool held_only = false;  // its source was asked only for what it holds
};

struct Held {
  Request request;
  std::uint64_t key = 0;  // the part of the object: what is counted and kept
  Rank rank = Rank::low;
  Time arrived{0};
  double work = 0;     // sending time at full pace, in seconds
  bool sized = false;  // its size was told
  Time aim{0};         // wanted within this time of the arrival
  std::vector<Try> tries;
  bool over = false;  // a final answer was given; attempts may still be out
  bool streaming = false;
};

enum class Due { second_copy, aim, deadline, recompute, ask_list };
struct Timer {
  Due what = Due::recompute;
  std::string request;
};

}  // namespace

class Router::Impl {
 public:
  Impl(Settings settings, std::uint64_t seed)
      : s_(std::move(settings)),
        seed_(seed),
        counts_(kWindowPerRouter * std::max(1, routers_here()), kCounted) {
    mean_work_.assign(s_.classes.size(), 0);
    fills_in_time_.assign(s_.classes.size(), 1);
  }

  std::vector<Action> handle(Time now, const Event& event) {
    now_ = now;
    actions_.clear();
    if (!begun_) begin();
    run_timers();
    std::visit([this](const auto& e) { on(e); }, event);
    run_timers();
    wake_for_next();
    return std::move(actions_);
  }

  Router::Stats beliefs() const {
    Router::Stats b;
    for (const auto& [id, h] : held_)
      b.in_flight += static_cast<std::size_t>(
          std::count_if(h.tries.begin(), h.tries.end(), [](const Try& t) { return t.open; }));
    for (const Peer& p : peers_) b.ejected += running(p) && now_ < p.shut_until ? 1 : 0;
    b.endpoints = by_id_.size();
    b.table_entries = peers_.size() + held_.size() + ran_.size() + object_purges_.size() +
                      group_purges_.size() + timers_.size();
    return b;
  }

 private:
  // ---- Start and time ----

  int routers_here() const {
    const auto zone = static_cast<std::size_t>(s_.zone);
    return zone < s_.routers_by_zone.size() ? s_.routers_by_zone[zone] : s_.router_count;
  }

  void begin() {
    begun_ = true;
    started_ = now_;
    timers_.add(now_ + kRecompute, {Due::recompute, {}});
    if (s_.subscription_required) actions_.push_back(SubscribeEndpointList{});
  }

  void run_timers() {
    while (const auto timer = timers_.pop_due(now_)) {
      switch (timer->what) {
        case Due::second_copy:
          on_silence(timer->request);
          break;
        case Due::aim:
          on_aim(timer->request);
          break;
        case Due::deadline:
          on_deadline(timer->request);
          break;
        case Due::recompute:
          recompute();
          break;
        case Due::ask_list:
          actions_.push_back(SubscribeEndpointList{});
          break;
      }
    }
  }

  void wake_for_next() {
    const auto due = timers_.next_due();
    if (!due || (wake_at_ > now_ && wake_at_ <= *due)) return;
    wake_at_ = *due;
    actions_.push_back(SetTimer{*due - now_, kTimerToken});
  }

  void on(const TimerFired&) {}
  void on(const HealthChecked&) {}

  // ---- Ranks: the router's own windowed counts ----

  void recompute() {
    counts_.trim(now_);
    gold_.clear();
    for (const std::uint64_t key : counts_.top(kGold)) gold_.insert(key);
    // Seconds in which most of a group is cold, or fails though it is listed, say nothing of what its members
    // can do: after a mass restart budgets that followed them would go to nothing.
    if (mostly_warm(Role::cache)) usual_load_ += kLoadMemory * (load_second_ - usual_load_);
    if (mostly_warm(Role::parent)) usual_fills_ += kLoadMemory * (fills_second_ - usual_fills_);
    load_second_ = fills_second_ = 0;
    // A member judged slow gets few requests and could not show that it has recovered: it is forgiven bit by
    // bit, and judged again by what it then does.
    for (const Role role : {Role::cache, Role::parent}) {
      const auto group = members(role);
      const double sound = sound_pace(group);
      for (const std::size_t i : group) peers_[i].pace += kForgiven * std::min(0.0, sound - peers_[i].pace);
    }
    timers_.add(now_ + kRecompute, {Due::recompute, {}});
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
      if (s_.subscription_required) timers_.add(now_ + kAskAgain, {Due::ask_list, {}});
      return;
    }
    if (list.kind != ListKind::changes) {  // a member that a whole list lacks is gone
      for (Peer& peer : peers_) peer.member.state = EndpointState::removed;
    }
    for (const Endpoint& m : list.endpoints) {
      if (m.state == EndpointState::removed && by_id_.count(m.id) == 0) continue;
      const auto [found, fresh] = by_id_.emplace(m.id, free_.empty() ? peers_.size() : free_.back());
      if (fresh) {
        if (free_.empty()) {
          peers_.emplace_back();
        } else {
          free_.pop_back();
        }
        peers_[found->second] = Peer();
        peers_[found->second].hash = hash_text(m.id);
      }
      Peer& peer = peers_[found->second];
      if (m.started != peer.member.started) {  // a new process: what was known of the old one is void
        peer.pace = 0;
        peer.strikes = 0;
        peer.shut_until = Time{0};
        peer.rest = kShutFirst;
      }
      peer.member = m;
      peer.role = m.kind == s_.origin_kind   ? Role::origin
                  : m.kind == s_.parent_kind ? Role::parent
                  : m.zone == s_.zone        ? Role::cache
                                             : Role::elsewhere;
    }
    for (std::size_t i = 0; i < peers_.size(); ++i) forget_if_gone(i);
  }

  /// Guards the memory through days on which members are replaced for ever: what is known of one that has
  /// gone is dropped with the last request that names it, and its place goes to another.
  void forget_if_gone(std::size_t at) {
    const Peer& p = peers_[at];
    if (p.member.state != EndpointState::removed || p.named > 0 || by_id_.erase(p.member.id) == 0) return;
    free_.push_back(at);
  }

  static bool running(const Peer& p) { return p.member.state == EndpointState::running; }

  std::vector<std::size_t> members(Role role) const {
    std::vector<std::size_t> found;
    for (std::size_t i = 0; i < peers_.size(); ++i) {
      if (peers_[i].role == role && running(peers_[i])) found.push_back(i);
    }
    return found;
  }

  // ---- Health: one reading, relative to the member's peers ----

  double weight(const Peer& p) const {
    return s_.weights == Weights::nominal || s_.weights == Weights::rough ? std::max(p.member.weight, 1e-3)
                                                                          : 1;
  }

  /// How much slower than its sound peers (the lower quartile of their paces) a member is: 1 unless it is
  /// much slower. Its square takes from its weight in the hash order, so that all routers move the same
  /// objects away. Guards against slow, stalled, ageing, silent and overloaded members; a trouble that all
  /// share (a slow origin, a full link) moves the quartile and nobody is passed over for it. Harm: a few odd
  /// late answers move objects from a sound cache, and each is a miss at the next.
  double slowness(const Peer& p, double sound) const {
    return std::max(1.0, p.pace / std::max(sound, 0.05) / kSlowFrom);
  }

  double sound_pace(const std::vector<std::size_t>& group) const {
    std::vector<double> paces;
    for (const std::size_t i : group) paces.push_back(peers_[i].pace);
    if (paces.empty()) return 0;
    const auto middle = paces.begin() + static_cast<std::ptrdiff_t>((paces.size() - 1) / 4);
    std::nth_element(paces.begin(), middle, paces.end());
    return *middle;
  }

  /// The limit on requests under way follows what the member answers in time. Guards against congestion
  /// collapse, whatever fills the slots: late work holding them, a full link, a slow or crowded source.
  /// Harm: a few odd late answers hold back a member that had room.
  static void in_time(Peer& p) {
    if (p.under_way + 1 >= p.limit / 2) p.limit += std::max(kLimitUp * p.limit, 1 / p.limit);
  }
  static bool crowded(const Peer& p) { return p.under_way + 1 >= p.limit; }
  static void too_late(Peer& p, double blame = 1) {
    p.limit = std::max(1.0, p.limit * (1 - kLimitDown * blame));
  }

  void sample(Peer& p, double pace) { p.pace += kPaceGain * (std::min(pace, kWorstPace) - p.pace); }

  /// What is lost at one moment is one failure, and one alone moves nothing. Guards against a sound member
  /// that is shut, or asked less, for one connection that broke with several attempts on it.
  void strike(Peer& p) {
    if (std::exchange(p.struck_at, now_) == now_ || ++p.strikes < 2) return;
    sample(p, kWorstPace);
    if (p.strikes < kStrikes) return;
    p.shut_until = now_ + p.rest;
    p.rest = std::min(p.rest * 2, kShutLongest);
  }

  void good(Peer& p) {
    p.strikes = 0;
    p.shut_until = Time{0};
    p.rest = kShutFirst;
  }

  // ---- Cold members ----

  bool cold(const Peer& p) const {
    const Time warm = p.role == Role::parent ? s_.parent_warm_up_time : s_.warm_up_time;
    return p.member.started.count() != 0 && now_ - p.member.started < warm;
  }

  /// Whether a cold member's budget leaves room for one more request of this class. Guards against
  /// pushing a freshly started cache or parent over. The budget is this router's part of the member's size
  /// where that is told, else an even share of what its requests have lately been served by the member's
  /// peers (what was asked may be far above what they can do), times the least part of its capacity the
  /// member may have by now, times the multiple at which it falls. A router that has just started keeps to
  /// less: the process it replaces may still send. Harm: at low load it holds back more than needed.
  bool cold_room(Peer& p, double work) {
    if (!cold(p)) return true;
    const bool parent = p.role == Role::parent;
    const double floor = parent ? s_.parent_initial_capacity : s_.initial_capacity;
    const double multiple = parent ? s_.parent_overload_factor : s_.overload_factor;
    const Time warm = parent ? s_.parent_warm_up_time : s_.warm_up_time;
    const double age = std::max(0.0, seconds(now_ - p.member.started) / seconds(warm));
    const auto group = members(p.role);
    double weights = 0;
    for (const std::size_t i : group) weights += weight(peers_[i]);
    double load = (parent ? usual_fills_ : usual_load_) * weight(p) / std::max(weights, 1e-3);
    if (s_.weights == Weights::nominal || s_.weights == Weights::rough) {
      load = weight(p) / std::max(1, parent ? s_.router_count : routers_here());
    }
    load *= parent ? portion_.parent_share : portion_.cache_share;
    const double use = now_ - started_ < kReplacing ? kColdUseBeside : kColdUse;
    const double budget = use * multiple * (floor + (1 - floor) * age) * load * seconds(s_.overload_window);
    if (budget >= work) return p.sent.sum(now_, s_.overload_window) + work <= budget;
    if (budget <= 0) return false;
    // Less than one request in the rule's span is one in a longer one, from a moment of this router's own on:
    // else hundreds of routers would send nothing until the member counts as warm, then all at once.
    const Time stretched = from_seconds(std::min(seconds(s_.overload_window) * work / budget, seconds(warm)));
    const double phase = static_cast<double>(mix(p.hash ^ seed_) >> 11U) / 9007199254740992.0;
    return now_ - std::max(p.sent_at, p.member.started) >=
           (p.sent_at < p.member.started ? from_seconds(phase * seconds(stretched)) : stretched);
  }

  bool mostly_warm(Role role) const {
    const auto group = members(role);
    std::size_t warm = 0;
    for (const std::size_t i : group) warm += cold(peers_[i]) || peers_[i].strikes >= kStrikes ? 0 : 1;
    return warm > 0 && 2 * warm >= group.size();
  }

  // ---- Choosing: the bounded hash order ----

  bool usable(Peer& p, double work) { return running(p) && now_ >= p.shut_until && cold_room(p, work); }

  /// The first usable member in the object's hash order whose requests under way are below the bound and
  /// its limit, if there is one. Members in `tried` are left out.
  std::optional<std::size_t> pick(Role role, std::uint64_t key, double work,
                                  const std::vector<std::size_t>& tried, double room) {
    const auto group = members(role);
    const double sound = sound_pace(group);
    double shares = 0, total = 0;
    std::vector<std::pair<double, std::size_t>> order;
    for (const std::size_t i : group) {
      Peer& p = peers_[i];
      const double share = weight(p) / slowness(p, sound);
      shares += share;
      total += p.under_way;
      if (!usable(p, work) || std::find(tried.begin(), tried.end(), i) != tried.end()) continue;
      // Weighted rendezvous: -weight / ln(u), the highest first.
      const double u = (static_cast<double>(mix(p.hash ^ key) >> 11U) + 0.5) / 9007199254740992.0;
      const double slow = slowness(p, sound);
      order.emplace_back(-weight(p) / (slow * slow) / std::log(u), i);
    }
    std::sort(order.begin(), order.end(), [](const auto& a, const auto& b) { return a.first > b.first; });
    for (const auto& [score, i] : order) {
      const Peer& p = peers_[i];
      const double share = weight(p) / slowness(p, sound) / shares;
      const double bound = role == Role::parent ? room * p.limit / slowness(p, sound)
                                                : std::min(kBound * (total + 1) * share, p.limit);
      if (p.under_way < std::max(1.0, bound)) return i;
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
    Held held;
    held.request = r;
    held.key = mix(r.object ^ mix(r.part));
    held.rank = rank_of(r, held.key);
    held.arrived = now_;
    const auto c = static_cast<std::size_t>(r.request_class);
    if (c >= s_.classes.size()) {
      actions_.push_back(Reject{r.id, stay_away()});
      return;
    }
    const bool told = r.size_kb > 0 && s_.transfer_kb_per_s > 0;
    held.work = told ? r.size_kb / s_.transfer_kb_per_s : mean_work_[c];
    if (told) weigh(c, held.work);
    held.sized = told;
    held.aim = std::min(s_.classes[c].latency_objective +
                            from_seconds(s_.classes[c].latency_objective_per_transfer_time * held.work),
                        s_.classes[c].deadline);
    // A copy of its own spares a fill that would be late or dear. Its link is narrow: what is asked for
    // often, which the caches hold, goes out there only while it is free.
    if (r.local_copy_wait &&
        *r.local_copy_wait + from_seconds(held.work) <= from_seconds(kOwnWithin * seconds(held.aim)) &&
        (r.local_copy_wait->count() == 0 || counts_.count(held.key) <= kOwnRare)) {
      actions_.push_back(ServeFromLocalCache{r.id});
      return;
    }
    usual_work_ += kMeanMemory * (held.work - usual_work_);
    usual_worth_ += kMeanMemory * (expected_worth(held) - usual_worth_);
    retry_budget_ = std::min(kRetryBurst, retry_budget_ + kRetryShare);
    timers_.add(r.expires - s_.tick, {Due::deadline, r.id});
    if (!writes(held)) timers_.add(now_ + held.aim, {Due::aim, r.id});
    Held& kept = held_[r.id] = std::move(held);
    if (!attempt(kept)) conclude(kept);
    drop_if_done(r.id);
  }

  const RequestClass& class_of(const Held& h) const {
    return s_.classes[static_cast<std::size_t>(h.request.request_class)];
  }

  /// What a request of the class weighs for a cold member. Guards one that has started where requests don't
  /// tell their size: then an answer's whole time stands for its sending, and before the first one the wanted
  /// time.
  double mean_work(const Held& h) const {
    const double mean = mean_work_[static_cast<std::size_t>(h.request.request_class)];
    return mean > 0 ? mean : seconds(class_of(h).latency_objective);
  }

  void weigh(std::size_t c, double work) {
    double& mean = mean_work_[c];
    mean = mean == 0 ? work : mean + kMeanMemory * (work - mean);
  }

  /// What a fill is expected to earn: a slow source leaves classes with little time no chance.
  double expected_worth(const Held& h) const {
    return class_of(h).priority_weight * fills_in_time_[static_cast<std::size_t>(h.request.request_class)];
  }

  void fill_ended(const Held& h, bool in_time, Time delay) {
    double& share = fills_in_time_[static_cast<std::size_t>(h.request.request_class)];
    share += kMeanMemory * ((in_time ? 1 : 0) - share);
    // A full link slows large fills most: only small ones tell the delay of the source.
    if (h.work < usual_work_) fill_delay_ += kMeanMemory * (seconds(delay) - fill_delay_);
  }

  /// The told load of the location's link shows what its other routers draw, before anything is late. Every
  /// answer tells it anew, also of what is kept; where it is not told it stays 0.
  bool fill_allowed(FillAdmission& gate, const Held& h) {
    return gate.admit(now_, (h.work + fill_delay_) / std::max(expected_worth(h), 1e-6),
                      kLinkFull / std::max(link_fill_, kLinkFull));
  }

  FillAdmission& gate_of(const Try& t) {
    return t.held_only ? held_fills_ : peers_[t.source].role == Role::origin ? origin_fills_ : fills_;
  }

  /// The gates to which an attempt tells what happens to answers where nothing is fetched.
  std::vector<FillAdmission*> beside(const Try& t) {
    if (t.source == t.at) return {&fills_, &origin_fills_, &held_fills_};
    if (t.held_only) return {&fills_, &origin_fills_};
    return {};
  }

  bool writes(const Held& h) const { return h.request.write || class_of(h).uncacheable; }

  /// Sends the next attempt of a request; false where there is none to send.
  bool attempt(Held& h) {
    if (h.over || static_cast<int>(h.tries.size()) >= s_.max_attempts || now_ >= h.request.expires - s_.tick)
      return false;
    std::vector<std::size_t> tried, tried_sources;
    for (const Try& t : h.tries) {
      if (t.spoilt) continue;  // it has run there, and its copy is there now
      tried.push_back(t.at);
      tried_sources.push_back(t.source);
    }
    const double charge = mean_work(h);
    const auto home = origin();
    // Guards against large fills crowding out several small ones of more worth on a full link or at a
    // crowded source. Harm: a source that bears all sizes alike is used less by the large ones.
    const double worth = expected_worth(h);
    const double room =
        worth * (usual_work_ + fill_delay_) < usual_worth_ * (h.work + fill_delay_) ? kPoorRoom : 1;
    std::optional<std::size_t> at, source;
    // Fills that no parent takes go to the origin while it answers in time: it may have room when parents are
    // lost or cold. What is held back from the parents is not asked of the origin instead: it bears their
    // misses too, and a fill past them leaves no copy for the other locations. A parent is still asked for
    // what it holds.
    bool held_only = false;
    if (writes(h)) {
      source = home;
      at = s_.direct_to_sources ? home : pick(Role::cache, h.key, charge, tried, 1);
    } else {
      source = pick(Role::parent, mix(h.request.object), charge, tried_sources, room);
      if (source && !fill_allowed(fills_, h)) {
        held_only = fill_allowed(held_fills_, h);
        if (!held_only) source.reset();
      } else if (!source && home && peers_[*home].under_way < peers_[*home].limit &&
                 fill_allowed(origin_fills_, h)) {
        source = home;
      }
      at = pick(Role::cache, h.key, charge, tried, 1);
      if (at && !source) source = at;  // the sources are full: what is kept is served, no fill is added
      if (!at && source && s_.direct_to_sources) at = source;
    }
    if (!at || (writes(h) && !source) || !may_send(h, *at)) return false;
    send(h, *at, source ? *source : *at, charge, held_only);
    return true;
  }

  void send(Held& h, std::size_t at, std::size_t source, double charge, bool held_only) {
    Peer& p = peers_[at];
    Attempt a;
    a.request = h.request.id;
    a.endpoint = p.member.id;
    a.source = peers_[source].member.id;
    a.rank = p.role == Role::cache ? h.rank : Rank::uncached;
    a.max_copy_age = oldest_allowed(h, source == at || held_only);
    a.parent_uncached = h.rank == Rank::uncached && peers_[source].role == Role::parent;
    a.stale_while_revalidate =
        p.role == Role::cache && h.rank != Rank::uncached && class_of(h).max_age.count() > 0;
    a.join_fill = p.role == Role::cache && !writes(h);
    a.cached_only = held_only && peers_[source].role == Role::parent;
    a.send_within = repeat_within(h);
    // Asked straight, a parent gives only what it holds unless the origin is named as its source.
    const auto home = origin();
    if (at == source && p.role == Role::parent && !a.cached_only && home) a.source = peers_[*home].member.id;
    h.tries.push_back({at, source, now_});
    ++peers_[at].named;
    ++peers_[source].named;
    h.tries.back().held_only = a.cached_only;
    charge_member(p, charge);
    if (source != at) charge_member(peers_[source], charge);

    actions_.push_back(std::move(a));
    if (!writes(h))
      timers_.add(now_ + from_seconds(kPatience * seconds(h.aim)), {Due::second_copy, h.request.id});
  }

  void charge_member(Peer& p, double charge) {
    ++p.under_way;
    if (!cold(p)) return;
    p.sent.add(now_, charge);
    p.sent_at = now_;
  }

  // ---- Rule: no effect twice ----

  static bool may_have_run(AttemptResult e) {
    return e != AttemptResult::shed && e != AttemptResult::unreachable && e != AttemptResult::not_sent &&
           e != AttemptResult::cache_miss;
  }

  /// Whether a further attempt is allowed by the class: safe always; unsafe only while nothing may have
  /// run; keyed only within the group and the memory of the first attempt that may have.
  bool may_send(const Held& h, std::size_t at) const {
    const RequestClass& c = class_of(h);
    const bool open = std::any_of(h.tries.begin(), h.tries.end(), [](const Try& t) { return t.open; });
    if (open && !s_.hedging) return false;
    if (c.idempotency == Idempotency::idempotent) return true;
    const auto ran = ran_.find(h.request.id);
    const bool maybe = open || ran != ran_.end();
    if (!maybe) return true;
    if (c.idempotency == Idempotency::none) return false;
    for (const Try& t : h.tries) {
      const Endpoint &one = peers_[t.at].member, &other = peers_[at].member;
      if (now_ - t.sent >= c.deduplication_window) return false;
      if (c.deduplication_scope == DeduplicationScope::zone && one.zone != other.zone) return false;
      if (c.deduplication_scope == DeduplicationScope::cell && one.cell != other.cell) return false;
    }
    return true;
  }

  /// How soon a repeat of a keyed request has to be sent. Guards the memory of its key against a repeat that
  /// is decided within it and waits for a connection until after it.
  Time repeat_within(const Held& h) const {
    if (class_of(h).idempotency != Idempotency::with_key || h.tries.empty()) return Time{0};
    return class_of(h).deduplication_window - (now_ - h.tries.front().sent);
  }

  bool may_refuse(const Held& h) const {
    const RequestClass& c = class_of(h);
    if (c.idempotency == Idempotency::idempotent ||
        (c.idempotency == Idempotency::with_key && c.deduplication_scope == DeduplicationScope::all))
      return true;
    const bool open = std::any_of(h.tries.begin(), h.tries.end(), [](const Try& t) { return t.open; });
    return !open && ran_.find(h.request.id) == ran_.end();
  }

  // ---- Rule: one final answer ----

  /// How long a refused client should stay away. Guards against a client's try that comes again at once,
  /// while what was full still is. Harm: a passing refusal costs that long.
  Time stay_away() const {
    return s_.retry_after ? from_seconds(kStayAway * seconds(s_.max_retry_after)) : Time{0};
  }

  void conclude(Held& h) {
    if (h.over) return;
    h.over = true;
    if (may_refuse(h)) {
      actions_.push_back(Reject{h.request.id, stay_away()});
    } else {
      actions_.push_back(Fail{h.request.id});
    }
    call_off(h);
  }

  void call_off(const Held& h) {
    if (!s_.cancellation || h.streaming) return;
    for (std::size_t n = 0; n < h.tries.size(); ++n) {
      if (h.tries[n].open) actions_.push_back(Cancel{h.request.id, static_cast<int>(n)});
    }
  }

  /// A request is forgotten once it is over and all its attempts have been told of.
  void drop_if_done(const std::string& id) {
    const auto found = held_.find(id);
    if (found == held_.end() || !found->second.over) return;
    const auto& tries = found->second.tries;
    if (std::any_of(tries.begin(), tries.end(), [](const Try& t) { return t.open; })) return;
    const std::vector<Try> ended = std::move(found->second.tries);
    held_.erase(found);
    ran_.erase(id);
    for (const Try& t : ended) {
      --peers_[t.at].named;
      --peers_[t.source].named;
      forget_if_gone(t.at);
      forget_if_gone(t.source);
    }
  }

  void on_deadline(const std::string& id) {
    const auto found = held_.find(id);
    if (found == held_.end() || found->second.over || found->second.streaming) return;
    conclude(found->second);
    drop_if_done(id);
  }

  /// Past its wanted time a request is given up where its members are crowded: what it would still earn is
  /// little, and the slots and links it holds are needed for requests that can still be in time. Where
  /// there is room it goes on, so that a slow fill still leaves its copy. A fill is given as long again: the
  /// caches may drop one whose client has left, and its bytes would have to come in once more.
  void on_aim(const std::string& id) {
    const auto found = held_.find(id);
    if (found == held_.end() || found->second.over || found->second.streaming) return;
    Held& h = found->second;
    bool contested = false, filling = false;
    for (Try& t : h.tries) {
      if (!t.open) continue;
      Peer& blamed = peers_[t.source];  // the member itself where no fill was asked for
      contested = contested || crowded(peers_[t.at]) || crowded(blamed);
      if (std::exchange(t.late, true)) continue;
      too_late(blamed);
      sample(peers_[t.at], kWorstPace);
      for (FillAdmission* gate : beside(t)) gate->record_cached_timeout();
      if (t.source == t.at) continue;
      filling = true;
      gate_of(t).record_timeout();
      too_late(peers_[t.at], 0.5);
      fill_ended(h, false, now_ - t.sent);
    }
    if (filling) {
      timers_.add(now_ + h.aim, {Due::aim, id});
    } else if (contested) {
      conclude(h);
      drop_if_done(id);
    }
  }

  /// Guards against silence: an attempt that has not answered in most of the wanted time counts as slow,
  /// and a second copy goes to the next members in the order. The retry budget keeps it from adding to an
  /// overload.
  void on_silence(const std::string& id) {
    const auto found = held_.find(id);
    if (found == held_.end() || found->second.over || found->second.streaming) return;
    Held& h = found->second;
    int open = 0;
    for (Try& t : h.tries) {
      if (!t.open) continue;
      ++open;
      if (t.judged || now_ - t.sent < from_seconds(kPatience * seconds(h.aim))) continue;
      t.judged = true;
      sample(peers_[t.at], 1);
      if (t.source != t.at) sample(peers_[t.source], 1);
    }
    if (open > 1 || retry_budget_ < 1) return;
    if (attempt(h)) retry_budget_ -= 1;
  }

  void on(const Outcome& o) {
    const auto found = held_.find(o.request);
    if (found == held_.end() || o.attempt < 0 || o.attempt >= static_cast<int>(found->second.tries.size()))
      return;
    Held& h = found->second;
    Try& t = h.tries[static_cast<std::size_t>(o.attempt)];
    if (!t.open) return;
    t.open = false;
    Peer& p = peers_[t.at];
    Peer& source = peers_[t.source];
    --p.under_way;
    if (t.source != t.at) --source.under_way;
    for (FillAdmission* gate : {&fills_, &origin_fills_, &held_fills_}) gate->decay(now_);
    for (FillAdmission* gate : beside(t)) gate->record_cached();
    if (t.source != t.at) gate_of(t).record_source_asked();
    if (p.role == Role::cache && o.report && o.report->link_utilization)
      link_fill_ += kLinkMemory * (*o.report->link_utilization - link_fill_);
    t.spoilt = o.result == AttemptResult::malformed_response;
    p.faults += kFaultGain * ((o.result == AttemptResult::error ? 1 : 0) - p.faults);
    judge(h, t, o);
    if (may_have_run(o.result)) ran_.insert(o.request);
    if (o.request_finished && !h.over) {
      h.over = true;
      call_off(h);
    }
    if (!h.over && o.result != AttemptResult::served) retry(h, o.result);
    drop_if_done(o.request);
  }

  void judge(const Held& h, const Try& t, const Outcome& o) {
    Peer& p = peers_[t.at];
    Peer& source = peers_[t.source];
    const bool by_source = o.cache_status == CacheStatus::source_shed ||
                           o.cache_status == CacheStatus::source_unreachable ||
                           o.cache_status == CacheStatus::origin_failed;
    switch (o.result) {
      case AttemptResult::served: {
        if (!h.sized) weigh(static_cast<std::size_t>(h.request.request_class), seconds(o.duration));
        const double pace = seconds(o.duration) / std::max(seconds(h.aim), 1e-3);
        const bool hit = o.cache_status == CacheStatus::hit || o.cache_status == CacheStatus::stale;
        good(p);
        if (!t.judged) sample(p, pace);
        if (hit && pace > 1) {
          too_late(p);
        } else {
          in_time(p);
        }
        if (p.role == Role::cache) load_second_ += h.work;

        if (t.source != t.at && hit) {
          gate_of(t).record_hit();
        } else if (t.source != t.at) {
          if (source.role == Role::parent) fills_second_ += h.work;
          if (o.cache_status != CacheStatus::unknown) good(source);
          if (!t.judged) sample(source, pace);
          if (pace <= 1) in_time(source);
          if (pace <= 1) gate_of(t).record_in_time();
          // Late though no origin was asked: the link or the parent is full, and asking less would not help.
          if (!t.held_only && o.cache_status != CacheStatus::filled_by_origin)
            pace <= 1 ? held_fills_.record_in_time() : held_fills_.record_rejected();
          const Time over_sending = std::max(0us, o.duration - from_seconds(h.work));
          if (!t.late) fill_ended(h, pace <= 1, o.first_byte.value_or(over_sending));
        }
        break;
      }
      case AttemptResult::cache_miss:
        if (t.source == t.at) held_fills_.record_denied();  // no fill was asked for
        if (t.source == t.at || t.held_only) {
          fills_.record_denied();
          origin_fills_.record_denied();
          break;
        }
        [[fallthrough]];
      case AttemptResult::shed:
      case AttemptResult::error:
        if (o.cache_status == CacheStatus::unknown && o.result == AttemptResult::error && own_faults(p)) {
          too_late(p);
          sample(p, kWorstPace);
          break;
        }
        if (t.source != t.at && !t.late) gate_of(t).record_rejected();
        if (by_source && t.source != t.at) {
          too_late(source);
          strike(source);
        } else if (o.cache_status == CacheStatus::unknown && t.source != t.at) {
          too_late(source);  // not told which of the two refused: the source more often, the cache by half
          sample(source, kWorstPace);
          too_late(p, 0.5);
        } else {
          too_late(p);
          sample(p, kWorstPace);
        }
        break;
      case AttemptResult::unreachable:
      case AttemptResult::connection_lost:
        strike(p);
        break;
      case AttemptResult::timed_out:
        if (!t.judged) sample(p, kWorstPace);
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
  bool own_faults(const Peer& p) const {
    double least = 1;
    for (const std::size_t i : members(p.role)) least = std::min(least, peers_[i].faults);
    return p.faults > least + kOwnFaults;
  }

  void retry(Held& h, AttemptResult ending) {
    const Try& last = h.tries.back();
    // What was lost on the way is no sign of overload: asking again takes nothing from the budget.
    if ((ending == AttemptResult::malformed_response || ending == AttemptResult::connection_lost) &&
        attempt(h))
      return;
    const bool filled = !last.held_only && (last.source != last.at || peers_[last.at].role != Role::cache);
    if (filled && retry_budget_ >= 1 && attempt(h)) {
      retry_budget_ -= 1;
      return;
    }
    if (std::none_of(h.tries.begin(), h.tries.end(), [](const Try& t) { return t.open; })) conclude(h);
  }

  void on(const RequestCancelled& w) {
    const auto found = held_.find(w.request);
    if (found == held_.end()) return;
    if (!found->second.over) {
      found->second.over = true;
      call_off(found->second);
    }
    drop_if_done(w.request);
  }

  void on(const QuotaChanged& p) { portion_ = p; }
  void on(const SettingsChanged& r) { s_ = r.settings; }

  void on(const StreamStarted& s) {
    const auto found = held_.find(s.request);
    if (found != held_.end()) found->second.streaming = true;
  }

  // ---- Rule: purges kept ----

  void on(const Invalidation& purge) {
    const Time at = now_ - purge.age;
    Time& known = purge.object ? object_purges_[*purge.object] : group_purges_[purge.group];
    known = std::max(known, at);
    std::erase_if(object_purges_, [this](const auto& e) { return !purge_binds(e.second); });
    std::erase_if(group_purges_, [this](const auto& e) { return !purge_binds(e.second); });
  }

  /// Twice the time in which older copies go, so that none under way at the purge slips through.
  bool purge_binds(Time at) const { return now_ - at < 2 * s_.invalidation_settled_after; }

  /// The oldest copy that will do: fresh, and given out after the newest purge of the object or its group.
  /// Where no fill is let through, one in its grace time will do: it earns less, a refusal nothing.
  Time oldest_allowed(const Held& h, bool no_fill) const {
    Time newest{INT64_MIN};
    if (const auto p = object_purges_.find(h.request.object); p != object_purges_.end()) newest = p->second;
    if (const auto p = group_purges_.find(h.request.group); p != group_purges_.end())
      newest = std::max(newest, p->second);
    const RequestClass& c = class_of(h);
    const Time fresh = c.max_age + (no_fill && c.max_age.count() > 0 ? c.grace : Time{0});
    if (newest.count() == INT64_MIN || !purge_binds(newest)) return fresh;
    const Time since = std::max(Time{1}, now_ - newest);
    return fresh.count() > 0 ? std::min(fresh, since) : since;
  }

  Settings s_;
  QuotaChanged portion_;  // of its even share of what cold members bear
  std::uint64_t seed_;
  Time now_{0};
  Time started_{0};
  Time wake_at_{0};
  bool begun_ = false;
  std::vector<Action> actions_;
  TimerQueue<Timer> timers_;
  std::vector<Peer> peers_;
  std::vector<std::size_t> free_;  // places in it of members that have gone
  std::map<std::string, std::size_t> by_id_;
  std::map<std::string, Held> held_;
  std::set<std::string> ran_;  // requests of which an attempt may have run
  SlidingWindowCounter counts_;
  std::set<std::uint64_t> gold_;
  std::vector<double> mean_work_;  // by class
  double fill_delay_ = 0;          // time to a fill's first byte, lately, in seconds
  std::vector<double>
      fills_in_time_;           // by class, share of the attempts with a source that were in time, lately
  double link_fill_ = 0;        // transfers on the location's link over those that fit, as told
  FillAdmission fills_;         // that the source may have to fetch
  FillAdmission origin_fills_;  // asked of the origin itself
  FillAdmission held_fills_;    // asked of a parent only where it holds them
  double retry_budget_ = kRetryBurst;
  double usual_work_ = 0, usual_worth_ = 0;    // of a request, as a moving mean
  double load_second_ = 0, usual_load_ = 0;    // own work served by caches, in seconds of sending each second
  double fills_second_ = 0, usual_fills_ = 0;  // own work served through parents
  std::map<std::uint64_t, Time> object_purges_;
  std::map<std::int64_t, Time> group_purges_;
};

Router::Router(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Router::~Router() = default;
Router::Router(Router&&) noexcept = default;
Router& Router::operator=(Router&&) noexcept = default;

std::vector<Action> Router::handle(Time now, const Event& event) { return impl_->handle(now, event); }
Router::Stats Router::stats() const { return impl_->beliefs(); }

}  // namespace edge_proxy
