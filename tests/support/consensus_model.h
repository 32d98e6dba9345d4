// SPDX-License-Identifier: MIT
/// @file
/// An explicit-state search over the reducer of agreement (src/consensus/reducer): three voters, and the log
/// as a model of Raft's promises (one leader a term; what a majority has is never lost; what only some have
/// may be kept or lost by the next leader). Time goes in rounds: in each one member may be cut off or stand
/// still; messages may come a later round, or twice; members crash at any message, with their disk or
/// without; leaders change; clocks go at the edges of the drift.
#pragma once

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

#include "consensus/reducer.h"

namespace edge_proxy::test {

class AgreedModel {
 public:
  static constexpr std::size_t kNodes = 3;
  static constexpr std::size_t kNever = ~std::size_t{0};
  using Time = consensus::Time;

  /// Ways in which the program, or what it stands on, is broken on purpose.
  struct Broken {
    bool no_wait_for_leases = false;  ///< the leader takes all for having given up their leases
    bool vote_before_write = false;   ///< a crash forgets to whom a vote went
    bool amnesiac_votes = false;      ///< one that lost its disk is let back in as a voter
    bool unconfirmed_grants = false;  ///< a leader grants without asking whether it still leads
    bool numbers_start_anew = false;  ///< a restarted member takes grants for an earlier process of its
    bool drift_beyond = false;        ///< clocks go more unlike than is stated
    bool any_term_yields = false;     ///< what was yielded to one leadership counts for the next
    bool short_lease_leader = false;  ///< the second member's leases are shorter than the others'
  };
  struct Bounds {
    std::array<int, kNodes> rates{4, 4, 4};  ///< how fast each clock goes; 3 to 5 are within the drift
    std::vector<std::size_t> cut{0, 1, 2};   ///< who may be cut off
    bool stills = false;                     ///< who is cut off may stand still as well
    bool crash_anywhere = false;             ///< at every input of a round; else at its start
    std::size_t late_kind = kNever;          ///< of messages that may be late; any
    bool from_before = false;  ///< the change is committed at any time; else all begins with that
    int elections = 1, crashes = 0, lost_disks = 0, late = 0;
    std::size_t states = 400'000;
    int rounds = 14;
  };
  struct Result {
    std::size_t states = 0;
    int rounds = 0;
    bool whole = false;                       ///< all states within the bounds were seen
    std::vector<std::string> counterexample;  ///< the shortest way to a broken invariant
    std::string what;                         ///< it; empty: none is broken
    std::size_t stuck = 0;  ///< of the states tried: those from which the change did not end without faults
    std::size_t tried = 0;
  };

  AgreedModel(const Bounds& bounds, const Broken& broken) : bounds_(bounds), broken_(broken) {}

  Result search() {
    Result result;
    std::deque<std::uint32_t> open;
    add(initial(), kNone, "", 0, result, open);
    while (!open.empty() && result.what.empty() && seen_.size() < bounds_.states) {
      const std::uint32_t at = open.front();
      open.pop_front();
      const World from = std::move(*seen_[at].world);
      seen_[at].world.reset();
      result.rounds = std::max(result.rounds, seen_[at].round);
      if (at % kLivenessEvery == 0) {
        ++result.tried;
        if (!ends(from)) ++result.stuck;
      }
      if (seen_[at].round >= bounds_.rounds) continue;
      moves(from, [&](const std::string& what, World&& next, int rounds) {
        add(std::move(next), at, what, seen_[at].round + rounds, result, open);
      });
    }
    result.whole = open.empty() && result.what.empty();
    result.states = seen_.size();
    return result;
  }

 private:
  struct Letter {
    std::size_t from = 0, to = 0;
    consensus::Message message;
    auto operator<=>(const Letter&) const = default;
  };
  struct Node {
    consensus::State state;
    Time clock{0};
    consensus::Term term = 0;  // as its log answers
    std::size_t applied = 0;   // entries of the log
    int life = 1;
    bool voter = true;
  };
  struct World {
    std::vector<Node> nodes;
    std::vector<consensus::Entry> log;    // committed
    consensus::Term newest = 0;           // the last leader's term
    std::size_t leader = 0;               // it
    std::vector<consensus::Entry> limbo;  // appended by the last leader, not with a majority yet
    std::vector<Letter> late;             // comes in a later round
    int elections = 0, crashes = 0, lost_disks = 0, lates = 0;
  };
  struct Seen {
    std::unique_ptr<World> world;  // until its moves were made
    std::uint32_t from = 0;
    int round = 0;
    std::string move;
  };
  /// What goes wrong in a round.
  struct Plan {
    std::size_t cut = kNodes;       // that member hears nobody and is heard by nobody
    bool still = false;             // it stands still as well
    std::size_t crash_at = kNever;  // the input in that round before which its receiver crashes
    bool empty_disk = false;
    std::size_t late_at = kNever;  // the message in that round that comes later on
    bool doubled = false;          // it comes now as well
  };
  static constexpr std::uint32_t kNone = ~std::uint32_t{0};
  static constexpr std::uint32_t kLivenessEvery = 97;
  static constexpr std::uint64_t kNumbersAgain =
      7;  // that a restarted member uses again, where that is broken
  using Made = std::function<void(const std::string&, World&&, int)>;

  static std::string name(std::size_t i) { return std::string(1, static_cast<char>('x' + i)); }
  static std::size_t number(const std::string& name) { return static_cast<std::size_t>(name[0] - 'x'); }

  consensus::Settings settings(std::size_t i) const {
    consensus::Settings s;
    s.name = name(i);
    for (std::size_t v = 0; v < kNodes; ++v) s.voters.push_back(name(v));
    s.lease = Time{broken_.short_lease_leader && i == 1 ? 2 : 12};
    s.renew_interval = Time{4};
    s.urgent_interval = Time{3};
    s.max_clock_drift = 0.25;  // clocks of 3 to 5 where time goes 4
    s.prepare_timeout = Time{60};
    return s;
  }
  consensus::State fresh(std::size_t i, int life, Time clock) const {
    return consensus::State(settings(i), static_cast<std::uint64_t>(life) * 1000, i, clock);
  }

  /// One leader, all hold leases on epoch 0, and a change is committed: what follows is what may go wrong.
  World initial() const {
    World w;
    for (std::size_t i = 0; i < kNodes; ++i) w.nodes.push_back({fresh(i, 1, Time{1000}), Time{1000}});
    std::map<std::string, bool> reached;
    for (std::size_t i = 0; i < kNodes; ++i) reached[name(i)] = true;
    for (std::size_t i = 0; i < kNodes; ++i)
      w.nodes[i].state.handle(Time{1000}, consensus::MembersChanged{reached});
    Course course(*this, w, {});
    course.elect(0, 1, true);
    for (int round = 0; round < 8; ++round) Course(*this, w, {}).run();  // past the leases of leaders before
    if (!bounds_.from_before) commit_change(w);
    w.elections = 0;
    return w;
  }
  static void commit_change(World& w) {
    w.log.push_back({consensus::Step::propose, 0, "k", 0, "p", {}});
    w.log.push_back({consensus::Step::commit, 1, {}, 0, {}, {}});
  }

  /// A round as it goes by that plan.
  class Course {
   public:
    Course(const AgreedModel& model, World& world, const Plan& plan)
        : model_(model), w_(world), plan_(plan) {}

    void run() {
      for (std::size_t i = 0; i < kNodes; ++i) {
        const int rate = model_.broken_.drift_beyond ? (i == 0 ? 6 : 2) : model_.bounds_.rates[i];
        w_.nodes[i].clock += Time{rate};
      }
      // The log spreads among those who hear each other.
      commit();
      for (std::size_t i = 0; i < kNodes; ++i) {
        if (hears(i)) apply(i);
      }
      if (!model_.bounds_.crash_anywhere) inputs_ = 0;
      for (std::size_t i = 0; i < kNodes; ++i) {
        if (!(plan_.still && plan_.cut == i)) feed(i, consensus::TimerExpired{});
      }
      crashes_in_ = inputs_;
      pass_letters();
      commit();
      if (hears(w_.leader)) apply(w_.leader);
      pass_letters();
      // One that leads no more hears so from voters of a later term.
      for (std::size_t i = 0; i < kNodes; ++i) {
        if (i != w_.leader && hears(i) && hears(w_.leader) && w_.nodes[i].state.lease_manager()) {
          w_.nodes[i].term = w_.newest;
          feed(i, consensus::BecameFollower{name(w_.leader), w_.nodes[i].voter});
        }
      }
    }
    /// Inputs and messages there were.
    [[nodiscard]] std::size_t inputs() const { return model_.bounds_.crash_anywhere ? inputs_ : crashes_in_; }
    [[nodiscard]] std::size_t messages() const { return messages_; }
    [[nodiscard]] const std::string& story() const { return story_; }

    void elect(std::size_t i, std::size_t with, bool keep_limbo) {
      if (keep_limbo) w_.log.insert(w_.log.end(), w_.limbo.begin(), w_.limbo.end());
      w_.limbo.clear();
      const consensus::Term term = std::max(w_.nodes[i].term, w_.nodes[with].term) + 1;
      w_.nodes[i].term = w_.nodes[with].term = term;
      w_.newest = std::max(w_.newest, term);
      w_.leader = i;
      apply(i);
      std::set<std::string> voters;
      for (std::size_t v = 0; v < kNodes; ++v) voters.insert(name(v));
      feed(i, consensus::BecameLeader{term, voters});
      feed(with, consensus::BecameFollower{name(i), true});
      letters_.clear();
    }
    void apply(std::size_t i) {
      while (w_.nodes[i].applied < w_.log.size()) {
        const std::size_t at = w_.nodes[i].applied++;
        feed(i, consensus::EntryApplied{at + 1, w_.log[at]});
      }
    }
    void deliver(const Letter& letter) {
      Node& node = w_.nodes[letter.to];
      consensus::Message message = letter.message;
      if (auto* yielded = std::get_if<consensus::LeaseRevocationAck>(&message);
          yielded != nullptr && model_.broken_.any_term_yields && node.state.lease_manager())
        yielded->term = node.state.lease_manager()->term();
      feed(letter.to, consensus::MessageReceived{name(letter.from), message});
      if (model_.broken_.no_wait_for_leases && node.state.lease_manager()) {
        for (std::size_t i = 0; i < kNodes; ++i)
          feed(letter.to, consensus::MessageReceived{
                              name(i), consensus::LeaseRevocationAck{node.state.lease_manager()->term(), 0}});
      }
    }
    void pass_letters() {
      for (int turns = 0; turns < 200 && !letters_.empty(); ++turns) {
        const Letter letter = letters_.front();
        letters_.pop_front();
        if (!hears(letter.from) || !hears(letter.to)) continue;
        const bool counts =
            model_.bounds_.late_kind == kNever || letter.message.index() == model_.bounds_.late_kind;
        if (counts && messages_++ == plan_.late_at) {
          w_.late.push_back(letter);
          story_ += ", message " + std::to_string(letter.message.index()) + " from " + name(letter.from) +
                    " to " + name(letter.to) + (plan_.doubled ? " is to come again" : " is late");
          if (!plan_.doubled) continue;
        }
        deliver(letter);
      }
    }

   private:
    [[nodiscard]] bool hears(std::size_t i) const { return i != plan_.cut; }

    /// What the leader appended, once one more voter that has not voted for a later term has it.
    void commit() {
      const Node& leader = w_.nodes[w_.leader];
      if (w_.limbo.empty() || leader.term != w_.newest || !leader.state.lease_manager()) return;
      for (std::size_t i = 0; i < kNodes; ++i) {
        if (i == w_.leader || !hears(i) || !hears(w_.leader) || !w_.nodes[i].voter) continue;
        if (w_.nodes[i].term > leader.term) continue;
        w_.nodes[i].term = leader.term;
        w_.log.insert(w_.log.end(), w_.limbo.begin(), w_.limbo.end());
        w_.limbo.clear();
        return;
      }
    }

    void feed(std::size_t i, const consensus::Input& input) {
      if (inputs_++ == plan_.crash_at) {
        story_ += ", " + name(i) + (plan_.empty_disk ? " starts with an empty disk" : " crashes and starts");
        restart(i);
        return;
      }
      Node& node = w_.nodes[i];
      for (consensus::Effect& effect : node.state.handle(node.clock, input)) {
        if (auto* send = std::get_if<consensus::SendMessage>(&effect)) {
          post(i, number(send->to), std::move(send->message));
        } else if (auto* append = std::get_if<consensus::AppendEntry>(&effect)) {
          // Of a deposed leader: no majority takes it.
          if (w_.newest == node.term && w_.leader == i) w_.limbo.push_back(append->entry);
        } else if (auto* asked = std::get_if<consensus::CheckTerm>(&effect)) {
          const bool good = node.voter && node.term <= asked->check.term;
          if (!good && !model_.broken_.unconfirmed_grants) continue;
          const consensus::LeadershipCheckReply yes{asked->check.term, asked->check.round};
          if (number(asked->from) == i) {
            feed(i, consensus::MessageReceived{name(i), yes});
          } else {
            post(i, number(asked->from), yes);
          }
        }
      }
    }
    void post(std::size_t from, std::size_t to, consensus::Message message) {
      if (model_.broken_.unconfirmed_grants && std::holds_alternative<consensus::LeadershipCheck>(message)) {
        // Nobody is asked: the leader takes it for confirmed.
        const auto& c = std::get<consensus::LeadershipCheck>(message);
        feed(from, consensus::MessageReceived{name(to), consensus::LeadershipCheckReply{c.term, c.round}});
        return;
      }
      // The log spreads by itself here.
      if (std::holds_alternative<consensus::CatchUpRequest>(message) ||
          std::holds_alternative<consensus::PrepareReply>(message))
        return;
      letters_.push_back({from, to, std::move(message)});
    }
    void restart(std::size_t i) {
      Node& node = w_.nodes[i];
      ++node.life;
      const consensus::Snapshot kept = node.state.policy_state().snapshot();
      const std::map<std::string, bool> members = node.state.members();
      const std::uint64_t used = node.state.lease().newest_request();
      node.state = model_.fresh(i, node.life, node.clock);
      if (model_.broken_.numbers_start_anew)
        node.state = consensus::State(model_.settings(i), used - kNumbersAgain, i, node.clock);
      if (plan_.empty_disk) {
        if (w_.leader == i) w_.limbo.clear();
        node.applied = 0;
        node.term = 0;
        node.voter = model_.broken_.amnesiac_votes;
      } else {
        if (model_.broken_.vote_before_write && node.term > 0 && w_.leader != i) --node.term;
        node.applied = kept.index;
        feed(i, consensus::SnapshotRestored{kept});
        feed(i, consensus::BecameFollower{"", node.voter});
      }
      feed(i, consensus::MembersChanged{members});
    }

    const AgreedModel& model_;
    World& w_;
    Plan plan_;
    std::deque<Letter> letters_;
    std::size_t inputs_ = 0, messages_ = 0, crashes_in_ = 0;
    std::string story_;
  };

  void moves(const World& w, const Made& made) const {
    std::vector<std::size_t> cuts = bounds_.cut;
    cuts.push_back(kNodes);
    for (const std::size_t cut : cuts) {
      for (const bool still : {false, true}) {
        if (still && (cut == kNodes || !bounds_.stills)) continue;
        Plan plan;
        plan.cut = cut;
        plan.still = still;
        const std::string what = cut == kNodes ? "a round"
                                 : still       ? "a round in which " + name(cut) + " stands still"
                                               : "a round in which " + name(cut) + " is cut off";
        const auto play = [&](const Plan& p) {
          World next = w;
          Course course(*this, next, p);
          course.run();
          next.lost_disks += p.crash_at != kNever && p.empty_disk ? 1 : 0;
          next.crashes += p.crash_at != kNever && !p.empty_disk ? 1 : 0;
          next.lates += p.late_at != kNever ? 1 : 0;
          const std::pair<std::size_t, std::size_t> counts{course.inputs(), course.messages()};
          made(what + course.story(), std::move(next), 1);
          return counts;
        };
        const auto [inputs, messages] = play(plan);
        for (const bool empty : {false, true}) {
          if (empty ? w.lost_disks >= bounds_.lost_disks : w.crashes >= bounds_.crashes) continue;
          for (std::size_t at = 0; at < inputs; ++at) {
            Plan crash = plan;
            crash.crash_at = at;
            crash.empty_disk = empty;
            play(crash);
          }
        }
        if (w.lates >= bounds_.late) continue;
        for (const bool doubled : {false, true}) {
          for (std::size_t at = 0; at < messages; ++at) {
            Plan late = plan;
            late.late_at = at;
            late.doubled = doubled;
            play(late);
          }
        }
      }
    }
    if (w.log.empty()) {
      World next = w;
      commit_change(next);
      made("a change is committed", std::move(next), 0);
    }
    for (std::size_t at = 0; at < w.late.size(); ++at) {
      World next = w;
      next.late.erase(next.late.begin() + static_cast<std::ptrdiff_t>(at));
      Course course(*this, next, {});
      course.deliver(w.late[at]);
      course.pass_letters();
      made("message " + std::to_string(w.late[at].message.index()) + " from " + name(w.late[at].from) +
               " to " + name(w.late[at].to) + " comes late",
           std::move(next), 0);
    }
    if (w.elections >= bounds_.elections) return;
    for (std::size_t i = 0; i < kNodes; ++i) {
      for (std::size_t with = 0; with < kNodes; ++with) {
        if (with == i || !w.nodes[i].voter || !w.nodes[with].voter) continue;
        for (const bool keep : {true, false}) {
          if (!keep && w.limbo.empty()) continue;
          World next = w;
          ++next.elections;
          Course(*this, next, {}).elect(i, with, keep);
          made(name(i) + " leads by the vote of " + name(with) +
                   (w.limbo.empty() ? ""
                    : keep          ? ", keeps what was appended"
                                    : ", drops what was appended"),
               std::move(next), 0);
        }
      }
    }
  }

  /// Whether the change ends once faults have ended: all run, a leader is there, nothing is lost.
  bool ends(World w) const {
    std::size_t a = kNodes, b = kNodes;
    for (std::size_t i = 0; i < kNodes; ++i) {
      if (w.nodes[i].voter) (a == kNodes ? a : b) = i;
    }
    if (b == kNodes) return true;  // a majority is gone: an operator's matter
    if (w.log.empty()) commit_change(w);
    Course(*this, w, {}).elect(a, b, true);
    for (int round = 0; round < 40; ++round) {
      Course(*this, w, {}).run();
      bool done = true;
      for (const Node& node : w.nodes)
        done = done && node.state.policy_state().epoch() == 1 && node.state.decision_epoch(node.clock) == 1;
      if (done) return true;
    }
    return false;
  }

  void add(World&& world, std::uint32_t from, const std::string& move, int round, Result& result,
           std::deque<std::uint32_t>& open) {
    if (!result.what.empty() || !keys_.insert(key_of(world)).second) return;
    std::optional<consensus::Epoch> epoch;
    for (const Node& node : world.nodes) {
      const auto decides = node.state.decision_epoch(node.clock);
      if (!decides) continue;
      if (epoch && *epoch != *decides)
        result.what = "epochs " + std::to_string(std::min(*epoch, *decides)) + " and " +
                      std::to_string(std::max(*epoch, *decides)) + " at once";
      epoch = decides;
    }
    seen_.push_back({std::make_unique<World>(std::move(world)), from, round, move});
    open.push_back(static_cast<std::uint32_t>(seen_.size() - 1));
    if (result.what.empty()) return;
    for (std::uint32_t at = open.back(); seen_[at].from != kNone; at = seen_[at].from)
      result.counterexample.insert(result.counterexample.begin(), seen_[at].move);
  }
  /// Alike for states that differ only in the members' names, where the clocks go alike.
  std::size_t key_of(const World& w) const {
    std::map<std::string, std::uint64_t> newest;
    for (std::size_t i = 0; i < kNodes; ++i) newest[name(i)] = w.nodes[i].state.lease().newest_request();
    std::array<std::size_t, kNodes> order{0, 1, 2};
    std::size_t least = ~std::size_t{0};
    do {
      bool fits = !broken_.short_lease_leader && !broken_.drift_beyond;
      for (std::size_t i = 0; i < kNodes; ++i) fits = fits && bounds_.rates[order[i]] == bounds_.rates[i];
      if (!fits && !std::is_sorted(order.begin(), order.end())) continue;
      std::array<char, kNodes> renamed{};
      for (std::size_t i = 0; i < kNodes; ++i) renamed[order[i]] = static_cast<char>('x' + i);
      std::string text;
      for (std::size_t i = 0; i < kNodes; ++i) {
        const Node& n = w.nodes[order[i]];
        text += n.state.debug_state(newest) + " T" + std::to_string(n.term) + " A" +
                std::to_string(n.applied) + (n.voter ? "v" : "") + "\n";
      }
      for (const consensus::Entry& e : w.limbo) text += "l" + std::to_string(static_cast<int>(e.step));
      text += std::to_string(w.log.size()) + name(w.leader) + std::to_string(w.newest);
      for (const Letter& l : w.late) text += " " + name(l.from) + name(l.to) + print(l, newest);
      text += " " + std::to_string(w.elections) + std::to_string(w.crashes) + std::to_string(w.lost_disks) +
              std::to_string(w.lates);
      for (char& c : text) {
        if (c >= 'x' && c <= 'z') c = renamed[static_cast<std::size_t>(c - 'x')];
      }
      least = std::min(least, std::hash<std::string>{}(text));
    } while (std::next_permutation(order.begin(), order.end()));
    return least;
  }
  static std::string print(const Letter& letter, const std::map<std::string, std::uint64_t>& newest) {
    std::string text = std::to_string(letter.message.index()) + ",";
    if (const auto* m = std::get_if<consensus::LeaseRequest>(&letter.message))
      text += std::to_string(newest.at(name(letter.from)) - m->number);
    if (const auto* m = std::get_if<consensus::LeaseGrant>(&letter.message))
      text += std::to_string(newest.at(name(letter.to)) - m->request_number) + "," + std::to_string(m->epoch);
    if (const auto* m = std::get_if<consensus::LeadershipCheck>(&letter.message))
      text += std::to_string(m->term) + "," + std::to_string(m->round);
    if (const auto* m = std::get_if<consensus::LeadershipCheckReply>(&letter.message))
      text += std::to_string(m->term) + "," + std::to_string(m->round);
    if (const auto* m = std::get_if<consensus::LeaseRevocation>(&letter.message))
      text += std::to_string(m->term);
    if (const auto* m = std::get_if<consensus::LeaseRevocationAck>(&letter.message))
      text += std::to_string(m->term);
    return text;
  }

  Bounds bounds_;
  Broken broken_;
  std::vector<Seen> seen_;
  std::unordered_set<std::size_t> keys_;
};

}  // namespace edge_proxy::test
