// SPDX-License-Identifier: MIT
/// @file
/// An explicit-state search over the consensus reducer (src/consensus/reducer) with three voters. The log is
/// a model of Raft's guarantees: one leader per term; an entry on a majority is never lost; an entry on a
/// minority may be kept or lost by the next leader. Time advances in rounds. In each round one member may be
/// isolated or paused; messages may be delivered in a later round, or twice; members may crash before any
/// input and keep or lose their disk; leaders change; clock rates are at the limits of the allowed drift.
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

class ConsensusModel {
 public:
  static constexpr std::size_t kNodes = 3;
  static constexpr std::size_t kNever = ~std::size_t{0};
  using Time = consensus::Time;

  /// Deliberate faults of the program or of the guarantees that it relies on.
  struct InjectedFaults {
    bool no_wait_for_leases = false;        ///< the leader treats all leases as released
    bool vote_before_write = false;         ///< a crash loses the vote of the current term
    bool erased_voter_votes = false;        ///< a member that has lost its disk still counts as a voter
    bool unconfirmed_grants = false;        ///< a leader grants leases without leadership checks
    bool reused_request_numbers = false;    ///< a restarted member accepts grants for its earlier process
    bool excessive_drift = false;           ///< clocks drift beyond the allowed maximum
    bool accepts_acks_of_any_term = false;  ///< a revocation ack for one term counts in the next
    bool short_lease_leader = false;        ///< the second member's leases are shorter than the others'
  };
  struct Bounds {
    std::array<int, kNodes> clock_rates{4, 4, 4};  ///< ticks per round; 3 to 5 are within the allowed drift
    std::vector<std::size_t> isolatable{0, 1, 2};  ///< the members that may be isolated
    bool may_pause = false;                        ///< an isolated member may also be paused
    /// A crash may come before any input of a round; otherwise only at its start.
    bool crash_at_any_input = false;
    /// The variant index of the messages that may be late; kNever: all messages.
    std::size_t late_message_kind = kNever;
    /// The change may be committed at any time; otherwise it is committed before the search starts.
    bool start_without_change = false;
    int max_elections = 1, max_crashes = 0, max_lost_disks = 0, max_late_messages = 0;
    std::size_t max_states = 400'000;
    int max_rounds = 14;
  };
  struct Result {
    std::size_t state_count = 0;
    int rounds = 0;
    bool is_complete = false;                 ///< all states within the bounds were visited
    std::vector<std::string> counterexample;  ///< the shortest sequence of moves to a violation
    std::string violation;                    ///< of the invariant; empty: none was found
    std::size_t liveness_checks = 0;    ///< states from which the change was run to its end without faults
    std::size_t liveness_failures = 0;  ///< those of them from which the change did not become active
  };

  ConsensusModel(const Bounds& bounds, const InjectedFaults& injected)
      : bounds_(bounds), injected_(injected) {}

  Result search() {
    Result result;
    std::deque<std::uint32_t> open;
    add(initial(), kNone, "", 0, result, open);
    while (!open.empty() && result.violation.empty() && visited_.size() < bounds_.max_states) {
      const std::uint32_t current = open.front();
      open.pop_front();
      const SystemState system = std::move(*visited_[current].system);
      visited_[current].system.reset();
      result.rounds = std::max(result.rounds, visited_[current].round);
      if (current % kLivenessCheckInterval == 0) {
        ++result.liveness_checks;
        if (!change_finishes(system)) ++result.liveness_failures;
      }
      if (visited_[current].round >= bounds_.max_rounds) continue;
      moves(system, [&](const std::string& move, SystemState&& next, int rounds) {
        add(std::move(next), current, move, visited_[current].round + rounds, result, open);
      });
    }
    result.is_complete = open.empty() && result.violation.empty();
    result.state_count = visited_.size();
    return result;
  }

 private:
  struct Envelope {
    std::size_t from = 0, to = 0;
    consensus::Message message;
    auto operator<=>(const Envelope&) const = default;
  };
  struct Node {
    consensus::State state;
    Time clock{0};
    consensus::Term term = 0;  // the newest term in which it has voted or led
    std::size_t applied = 0;   // number of applied log entries
    int process_number = 1;
    bool is_voter = true;
  };
  struct SystemState {
    std::vector<Node> nodes;
    std::vector<consensus::Entry> log;          // committed
    consensus::Term newest_term = 0;            // the term of the last leader
    std::size_t leader = 0;                     // the last leader
    std::vector<consensus::Entry> uncommitted;  // appended by the last leader, not yet on a majority
    std::vector<Envelope> late_messages;        // delivered in a later round
    int election_count = 0, crash_count = 0, lost_disk_count = 0, late_message_count = 0;
  };
  struct VisitedState {
    std::unique_ptr<SystemState> system;  // released once its successors have been generated
    std::uint32_t predecessor = 0;
    int round = 0;
    std::string move;
  };
  /// The faults of one round.
  struct RoundFaults {
    std::size_t isolated = kNodes;     // this member neither receives nor sends messages; kNodes: none
    bool is_paused = false;            // the isolated member is paused as well
    std::size_t crash_input = kNever;  // the receiver of this input crashes before it
    bool empty_disk = false;
    std::size_t late_message = kNever;  // this message is delivered in a later round
    bool is_duplicated = false;         // the late message is delivered in this round as well
  };
  static constexpr std::uint32_t kNone = ~std::uint32_t{0};
  static constexpr std::uint32_t kLivenessCheckInterval = 97;
  /// How many request numbers a restarted member uses again, with reused_request_numbers.
  static constexpr std::uint64_t kReusedRequestNumbers = 7;
  using OnMove = std::function<void(const std::string&, SystemState&&, int)>;

  static std::string name(std::size_t i) { return std::string(1, static_cast<char>('x' + i)); }
  static std::size_t index_of(const std::string& name) { return static_cast<std::size_t>(name[0] - 'x'); }

  consensus::Settings settings(std::size_t i) const {
    consensus::Settings settings;
    settings.name = name(i);
    for (std::size_t voter = 0; voter < kNodes; ++voter) settings.voters.push_back(name(voter));
    settings.lease = Time{injected_.short_lease_leader && i == 1 ? 2 : 12};
    settings.renew_interval = Time{4};
    settings.urgent_interval = Time{3};
    settings.max_clock_drift = 0.25;  // clock rates from 3 to 5 with a nominal rate of 4
    settings.prepare_timeout = Time{60};
    return settings;
  }
  consensus::State initial_state(std::size_t i, int process_number, Time clock) const {
    return consensus::State(settings(i), static_cast<std::uint64_t>(process_number) * 1000, i, clock);
  }

  /// The initial state: there is a leader, all members hold leases on epoch 0, and a change is committed
  /// unless start_without_change is set.
  SystemState initial() const {
    SystemState system;
    for (std::size_t i = 0; i < kNodes; ++i)
      system.nodes.push_back({initial_state(i, 1, Time{1000}), Time{1000}});
    std::map<std::string, bool> reached;
    for (std::size_t i = 0; i < kNodes; ++i) reached[name(i)] = true;
    for (std::size_t i = 0; i < kNodes; ++i)
      system.nodes[i].state.handle(Time{1000}, consensus::MembersChanged{reached});
    RoundRunner runner(*this, system, {});
    runner.elect(0, 1, true);
    for (int round = 0; round < 8; ++round)
      RoundRunner(*this, system, {}).run();  // until leases of earlier leaders have expired
    if (!bounds_.start_without_change) commit_change(system);
    system.election_count = 0;
    return system;
  }
  static void commit_change(SystemState& system) {
    system.log.push_back({consensus::Step::propose, 0, "k", 0, "p", {}});
    system.log.push_back({consensus::Step::commit, 1, {}, 0, {}, {}});
  }

  /// Runs a round with the given faults.
  class RoundRunner {
   public:
    RoundRunner(const ConsensusModel& model, SystemState& system, const RoundFaults& faults)
        : model_(model), system_(system), faults_(faults) {}

    void run() {
      for (std::size_t i = 0; i < kNodes; ++i) {
        const int rate = model_.injected_.excessive_drift ? (i == 0 ? 6 : 2) : model_.bounds_.clock_rates[i];
        system_.nodes[i].clock += Time{rate};
      }
      // The log is replicated to the connected members.
      commit();
      for (std::size_t i = 0; i < kNodes; ++i) {
        if (is_connected(i)) apply(i);
      }
      if (!model_.bounds_.crash_at_any_input) input_count_ = 0;
      for (std::size_t i = 0; i < kNodes; ++i) {
        if (!(faults_.is_paused && faults_.isolated == i)) feed(i, consensus::TimerExpired{});
      }
      start_input_count_ = input_count_;
      deliver_messages();
      commit();
      if (is_connected(system_.leader)) apply(system_.leader);
      deliver_messages();
      // A deposed leader learns of a later term from its voters.
      for (std::size_t i = 0; i < kNodes; ++i) {
        if (i != system_.leader && is_connected(i) && is_connected(system_.leader) &&
            system_.nodes[i].state.lease_manager()) {
          system_.nodes[i].term = system_.newest_term;
          feed(i, consensus::BecameFollower{name(system_.leader), system_.nodes[i].is_voter});
        }
      }
    }
    /// The number of inputs before which a member may crash.
    [[nodiscard]] std::size_t crashable_inputs() const {
      return model_.bounds_.crash_at_any_input ? input_count_ : start_input_count_;
    }
    [[nodiscard]] std::size_t message_count() const { return message_count_; }
    [[nodiscard]] const std::string& description() const { return description_; }

    void elect(std::size_t i, std::size_t supporter, bool keep_uncommitted) {
      if (keep_uncommitted)
        system_.log.insert(system_.log.end(), system_.uncommitted.begin(), system_.uncommitted.end());
      system_.uncommitted.clear();
      const consensus::Term term = std::max(system_.nodes[i].term, system_.nodes[supporter].term) + 1;
      system_.nodes[i].term = system_.nodes[supporter].term = term;
      system_.newest_term = std::max(system_.newest_term, term);
      system_.leader = i;
      apply(i);
      std::set<std::string> voters;
      for (std::size_t v = 0; v < kNodes; ++v) voters.insert(name(v));
      feed(i, consensus::BecameLeader{term, voters});
      feed(supporter, consensus::BecameFollower{name(i), true});
      in_transit_.clear();
    }
    void apply(std::size_t i) {
      while (system_.nodes[i].applied < system_.log.size()) {
        const std::size_t at = system_.nodes[i].applied++;
        feed(i, consensus::EntryApplied{at + 1, system_.log[at]});
      }
    }
    void deliver(const Envelope& envelope) {
      Node& node = system_.nodes[envelope.to];
      consensus::Message message = envelope.message;
      if (auto* ack = std::get_if<consensus::LeaseRevocationAck>(&message);
          ack != nullptr && model_.injected_.accepts_acks_of_any_term && node.state.lease_manager())
        ack->term = node.state.lease_manager()->term();
      feed(envelope.to, consensus::MessageReceived{name(envelope.from), message});
      if (model_.injected_.no_wait_for_leases && node.state.lease_manager()) {
        for (std::size_t i = 0; i < kNodes; ++i)
          feed(envelope.to, consensus::MessageReceived{name(i), consensus::LeaseRevocationAck{
                                                                    node.state.lease_manager()->term(), 0}});
      }
    }
    void deliver_messages() {
      for (int deliveries = 0; deliveries < 200 && !in_transit_.empty(); ++deliveries) {
        const Envelope envelope = in_transit_.front();
        in_transit_.pop_front();
        if (!is_connected(envelope.from) || !is_connected(envelope.to)) continue;
        const bool may_be_late = model_.bounds_.late_message_kind == kNever ||
                                 envelope.message.index() == model_.bounds_.late_message_kind;
        if (may_be_late && message_count_++ == faults_.late_message) {
          system_.late_messages.push_back(envelope);
          description_ += ", message " + std::to_string(envelope.message.index()) + " from " +
                          name(envelope.from) + " to " + name(envelope.to) +
                          (faults_.is_duplicated ? " is delivered twice" : " is late");
          if (!faults_.is_duplicated) continue;
        }
        deliver(envelope);
      }
    }

   private:
    [[nodiscard]] bool is_connected(std::size_t i) const { return i != faults_.isolated; }

    /// Commits the leader's entries once another voter, which has not voted in a later term, stores them.
    void commit() {
      const Node& leader = system_.nodes[system_.leader];
      if (system_.uncommitted.empty() || leader.term != system_.newest_term || !leader.state.lease_manager())
        return;
      for (std::size_t i = 0; i < kNodes; ++i) {
        if (i == system_.leader || !is_connected(i) || !is_connected(system_.leader) ||
            !system_.nodes[i].is_voter)
          continue;
        if (system_.nodes[i].term > leader.term) continue;
        system_.nodes[i].term = leader.term;
        system_.log.insert(system_.log.end(), system_.uncommitted.begin(), system_.uncommitted.end());
        system_.uncommitted.clear();
        return;
      }
    }

    void feed(std::size_t i, const consensus::Input& input) {
      if (input_count_++ == faults_.crash_input) {
        description_ +=
            ", " + name(i) + (faults_.empty_disk ? " restarts with an empty disk" : " crashes and restarts");
        restart(i);
        return;
      }
      Node& node = system_.nodes[i];
      for (consensus::Effect& effect : node.state.handle(node.clock, input)) {
        if (auto* send = std::get_if<consensus::SendMessage>(&effect)) {
          enqueue(i, index_of(send->to), std::move(send->message));
        } else if (auto* append = std::get_if<consensus::AppendEntry>(&effect)) {
          // An entry of a deposed leader is dropped: no majority accepts it.
          if (system_.newest_term == node.term && system_.leader == i)
            system_.uncommitted.push_back(append->entry);
        } else if (auto* request = std::get_if<consensus::CheckTerm>(&effect)) {
          const bool confirms = node.is_voter && node.term <= request->check.term;
          if (!confirms && !model_.injected_.unconfirmed_grants) continue;
          const consensus::LeadershipCheckReply reply{request->check.term, request->check.round};
          if (index_of(request->from) == i) {
            feed(i, consensus::MessageReceived{name(i), reply});
          } else {
            enqueue(i, index_of(request->from), reply);
          }
        }
      }
    }
    void enqueue(std::size_t from, std::size_t to, consensus::Message message) {
      if (model_.injected_.unconfirmed_grants &&
          std::holds_alternative<consensus::LeadershipCheck>(message)) {
        // With this fault the voters are not asked, and the check counts as confirmed.
        const auto& check = std::get<consensus::LeadershipCheck>(message);
        feed(from,
             consensus::MessageReceived{name(to), consensus::LeadershipCheckReply{check.term, check.round}});
        return;
      }
      // The model replicates the log itself and needs neither catch-up nor prepare replies.
      if (std::holds_alternative<consensus::CatchUpRequest>(message) ||
          std::holds_alternative<consensus::PrepareReply>(message))
        return;
      in_transit_.push_back({from, to, std::move(message)});
    }
    void restart(std::size_t i) {
      Node& node = system_.nodes[i];
      ++node.process_number;
      const consensus::Snapshot kept = node.state.policy_state().snapshot();
      const std::map<std::string, bool> members = node.state.members();
      const std::uint64_t used = node.state.lease().newest_request();
      node.state = model_.initial_state(i, node.process_number, node.clock);
      if (model_.injected_.reused_request_numbers)
        node.state = consensus::State(model_.settings(i), used - kReusedRequestNumbers, i, node.clock);
      if (faults_.empty_disk) {
        if (system_.leader == i) system_.uncommitted.clear();
        node.applied = 0;
        node.term = 0;
        node.is_voter = model_.injected_.erased_voter_votes;
      } else {
        if (model_.injected_.vote_before_write && node.term > 0 && system_.leader != i) --node.term;
        node.applied = kept.index;
        feed(i, consensus::SnapshotRestored{kept});
        feed(i, consensus::BecameFollower{"", node.is_voter});
      }
      feed(i, consensus::MembersChanged{members});
    }

    const ConsensusModel& model_;
    SystemState& system_;
    RoundFaults faults_;
    std::deque<Envelope> in_transit_;
    std::size_t input_count_ = 0, message_count_ = 0, start_input_count_ = 0;
    std::string description_;
  };

  void moves(const SystemState& system, const OnMove& on_move) const {
    std::vector<std::size_t> isolated_choices = bounds_.isolatable;
    isolated_choices.push_back(kNodes);
    for (const std::size_t isolated : isolated_choices) {
      for (const bool paused : {false, true}) {
        if (paused && (isolated == kNodes || !bounds_.may_pause)) continue;
        RoundFaults faults;
        faults.isolated = isolated;
        faults.is_paused = paused;
        const std::string move = isolated == kNodes ? "a round"
                                 : paused           ? "a round in which " + name(isolated) + " is paused"
                                                    : "a round in which " + name(isolated) + " is isolated";
        const auto run_round = [&](const RoundFaults& round_faults) {
          SystemState next = system;
          RoundRunner runner(*this, next, round_faults);
          runner.run();
          next.lost_disk_count += round_faults.crash_input != kNever && round_faults.empty_disk ? 1 : 0;
          next.crash_count += round_faults.crash_input != kNever && !round_faults.empty_disk ? 1 : 0;
          next.late_message_count += round_faults.late_message != kNever ? 1 : 0;
          const std::pair<std::size_t, std::size_t> counts{runner.crashable_inputs(), runner.message_count()};
          on_move(move + runner.description(), std::move(next), 1);
          return counts;
        };
        const auto [inputs, messages] = run_round(faults);
        for (const bool empty : {false, true}) {
          if (empty ? system.lost_disk_count >= bounds_.max_lost_disks
                    : system.crash_count >= bounds_.max_crashes)
            continue;
          for (std::size_t at = 0; at < inputs; ++at) {
            RoundFaults crash = faults;
            crash.crash_input = at;
            crash.empty_disk = empty;
            run_round(crash);
          }
        }
        if (system.late_message_count >= bounds_.max_late_messages) continue;
        for (const bool duplicated : {false, true}) {
          for (std::size_t at = 0; at < messages; ++at) {
            RoundFaults late = faults;
            late.late_message = at;
            late.is_duplicated = duplicated;
            run_round(late);
          }
        }
      }
    }
    if (system.log.empty()) {
      SystemState next = system;
      commit_change(next);
      on_move("a change is committed", std::move(next), 0);
    }
    for (std::size_t at = 0; at < system.late_messages.size(); ++at) {
      SystemState next = system;
      next.late_messages.erase(next.late_messages.begin() + static_cast<std::ptrdiff_t>(at));
      RoundRunner runner(*this, next, {});
      runner.deliver(system.late_messages[at]);
      runner.deliver_messages();
      on_move("message " + std::to_string(system.late_messages[at].message.index()) + " from " +
                  name(system.late_messages[at].from) + " to " + name(system.late_messages[at].to) +
                  " is delivered late",
              std::move(next), 0);
    }
    if (system.election_count >= bounds_.max_elections) return;
    for (std::size_t i = 0; i < kNodes; ++i) {
      for (std::size_t supporter = 0; supporter < kNodes; ++supporter) {
        if (supporter == i || !system.nodes[i].is_voter || !system.nodes[supporter].is_voter) continue;
        for (const bool keep_uncommitted : {true, false}) {
          if (!keep_uncommitted && system.uncommitted.empty()) continue;
          SystemState next = system;
          ++next.election_count;
          RoundRunner(*this, next, {}).elect(i, supporter, keep_uncommitted);
          on_move(name(i) + " is elected with the vote of " + name(supporter) +
                      (system.uncommitted.empty() ? ""
                       : keep_uncommitted         ? ", keeps uncommitted entries"
                                                  : ", drops uncommitted entries"),
                  std::move(next), 0);
        }
      }
    }
  }

  /// Whether the change becomes active without further faults: all members run, a leader is elected and no
  /// message is lost.
  bool change_finishes(SystemState system) const {
    std::size_t first = kNodes, second = kNodes;
    for (std::size_t i = 0; i < kNodes; ++i) {
      if (system.nodes[i].is_voter) (first == kNodes ? first : second) = i;
    }
    if (second == kNodes) return true;  // the majority is lost, and an operator has to intervene
    if (system.log.empty()) commit_change(system);
    RoundRunner(*this, system, {}).elect(first, second, true);
    for (int round = 0; round < 40; ++round) {
      RoundRunner(*this, system, {}).run();
      bool done = true;
      for (const Node& node : system.nodes)
        done = done && node.state.policy_state().epoch() == 1 && node.state.decision_epoch(node.clock) == 1;
      if (done) return true;
    }
    return false;
  }

  void add(SystemState&& system, std::uint32_t predecessor, const std::string& move, int round,
           Result& result, std::deque<std::uint32_t>& open) {
    if (!result.violation.empty() || !keys_.insert(state_key(system)).second) return;
    std::optional<consensus::Epoch> epoch;
    for (const Node& node : system.nodes) {
      const auto decision_epoch = node.state.decision_epoch(node.clock);
      if (!decision_epoch) continue;
      if (epoch && *epoch != *decision_epoch)
        result.violation = "epochs " + std::to_string(std::min(*epoch, *decision_epoch)) + " and " +
                           std::to_string(std::max(*epoch, *decision_epoch)) + " at once";
      epoch = decision_epoch;
    }
    visited_.push_back({std::make_unique<SystemState>(std::move(system)), predecessor, round, move});
    open.push_back(static_cast<std::uint32_t>(visited_.size() - 1));
    if (result.violation.empty()) return;
    for (std::uint32_t visited = open.back(); visited_[visited].predecessor != kNone;
         visited = visited_[visited].predecessor)
      result.counterexample.insert(result.counterexample.begin(), visited_[visited].move);
  }
  /// The hash of a state. Where the members' clock rates are equal, states that differ only in the names of
  /// the members have the same hash.
  std::size_t state_key(const SystemState& system) const {
    std::map<std::string, std::uint64_t> newest_requests;
    for (std::size_t i = 0; i < kNodes; ++i)
      newest_requests[name(i)] = system.nodes[i].state.lease().newest_request();
    std::array<std::size_t, kNodes> order{0, 1, 2};
    std::size_t smallest_hash = ~std::size_t{0};
    do {
      bool is_symmetric = !injected_.short_lease_leader && !injected_.excessive_drift;
      for (std::size_t i = 0; i < kNodes; ++i)
        is_symmetric = is_symmetric && bounds_.clock_rates[order[i]] == bounds_.clock_rates[i];
      if (!is_symmetric && !std::is_sorted(order.begin(), order.end())) continue;
      std::array<char, kNodes> renamed{};
      for (std::size_t i = 0; i < kNodes; ++i) renamed[order[i]] = static_cast<char>('x' + i);
      std::string text;
      for (std::size_t i = 0; i < kNodes; ++i) {
        const Node& node = system.nodes[order[i]];
        text += node.state.debug_state(newest_requests) + " T" + std::to_string(node.term) + " A" +
                std::to_string(node.applied) + (node.is_voter ? "v" : "") + "\n";
      }
      for (const consensus::Entry& entry : system.uncommitted)
        text += "l" + std::to_string(static_cast<int>(entry.step));
      text += std::to_string(system.log.size()) + name(system.leader) + std::to_string(system.newest_term);
      for (const Envelope& envelope : system.late_messages)
        text += " " + name(envelope.from) + name(envelope.to) + message_key(envelope, newest_requests);
      text += " " + std::to_string(system.election_count) + std::to_string(system.crash_count) +
              std::to_string(system.lost_disk_count) + std::to_string(system.late_message_count);
      for (char& letter : text) {
        if (letter >= 'x' && letter <= 'z') letter = renamed[static_cast<std::size_t>(letter - 'x')];
      }
      smallest_hash = std::min(smallest_hash, std::hash<std::string>{}(text));
    } while (std::next_permutation(order.begin(), order.end()));
    return smallest_hash;
  }
  static std::string message_key(const Envelope& envelope,
                                 const std::map<std::string, std::uint64_t>& newest_requests) {
    std::string text = std::to_string(envelope.message.index()) + ",";
    if (const auto* message = std::get_if<consensus::LeaseRequest>(&envelope.message))
      text += std::to_string(newest_requests.at(name(envelope.from)) - message->number);
    if (const auto* message = std::get_if<consensus::LeaseGrant>(&envelope.message))
      text += std::to_string(newest_requests.at(name(envelope.to)) - message->request_number) + "," +
              std::to_string(message->epoch);
    if (const auto* message = std::get_if<consensus::LeadershipCheck>(&envelope.message))
      text += std::to_string(message->term) + "," + std::to_string(message->round);
    if (const auto* message = std::get_if<consensus::LeadershipCheckReply>(&envelope.message))
      text += std::to_string(message->term) + "," + std::to_string(message->round);
    if (const auto* message = std::get_if<consensus::LeaseRevocation>(&envelope.message))
      text += std::to_string(message->term);
    if (const auto* message = std::get_if<consensus::LeaseRevocationAck>(&envelope.message))
      text += std::to_string(message->term);
    return text;
  }

  Bounds bounds_;
  InjectedFaults injected_;
  std::vector<VisitedState> visited_;
  std::unordered_set<std::size_t> keys_;
};

}  // namespace edge_proxy::test
