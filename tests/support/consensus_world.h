// SPDX-License-Identifier: MIT
/// @file
/// A cluster of proxies in virtual time with the real consensus reducer and the real replicated log. Disks
/// fail; messages are delayed, lost, duplicated or cut off; clocks run at different rates; processes are
/// paused, and they crash with or without loss of their disk. Each proxy learns of changed reachability with
/// a delay, as with real membership.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "consensus/raft_log.h"
#include "support/faulty_folder.h"
#include "support/virtual_time.h"

namespace edge_proxy::test {

using namespace std::chrono_literals;

class ConsensusWorld {
 public:
  using Time = consensus::Time;
  struct OperatorAnswer {
    std::size_t node = 0;
    std::uint64_t call = 0;
    int status = 0;
    std::string body;
    Time at{0};
  };
  struct Node {
    std::unique_ptr<FaultyFolder> folder;
    std::unique_ptr<storage::Journal> journal;
    std::unique_ptr<consensus::RaftLog> log;
    std::unique_ptr<consensus::State> state;  // null: the process is not running
    bool stopped = false;
    std::vector<std::function<void()>> deferred_actions;  // while the process is stopped
    double clock_rate = 1;
    std::uint64_t process_number = 0;
    std::string log_text;
    std::optional<consensus::Epoch> decides;
    std::uint64_t sent_messages = 0, tick_count = 0;
    Time timer_due{-1};
  };

  /// Callbacks that receive the inputs and results of the reducer and the log of a node before the results
  /// are processed.
  struct Observer {
    /// Called after each input of a reducer: node, time of its clock, input, effects and new state.
    std::function<void(std::size_t, Time, const consensus::Input&, const std::vector<consensus::Effect>&,
                       const consensus::State&)>
        input;
    /// Called after each call of a log: node and output.
    std::function<void(std::size_t, const consensus::RaftLog::Output&)> log;
  };

  ConsensusWorld(std::size_t count, std::size_t voters, std::uint64_t seed = 1,
                 std::function<void(consensus::Settings&)> edit_settings = {}, Observer observer = {})
      : voters_(voters),
        edit_settings_(std::move(edit_settings)),
        observer_(std::move(observer)),
        random_(seed) {
    nodes_.resize(count);
    for (std::size_t i = 0; i < count; ++i) {
      nodes_[i].folder = std::make_unique<FaultyFolder>(random_());
      nodes_[i].clock_rate = std::uniform_real_distribution<>(0.991, 1.009)(random_);
      start(i);
    }
  }

  static std::string name(std::size_t i) { return "n" + std::to_string(i); }

  void start(std::size_t i) {
    Node& node = nodes_[i];
    ++node.process_number;
    node.stopped = false;
    consensus::Settings settings;
    settings.name = name(i);
    for (std::size_t voter = 0; voter < voters_; ++voter) settings.voters.push_back(name(voter));
    settings.check_policy = [i](const std::string& policy) -> std::optional<std::string> {
      if (policy == "unfit for n" + std::to_string(i)) return "key 'caches': is not known";
      return std::nullopt;
    };
    if (edit_settings_) edit_settings_(settings);
    consensus::RaftLog::Settings log_settings;
    log_settings.name = settings.name;
    log_settings.initial_voters = settings.voters;
    log_settings.lease = settings.lease;
    log_settings.snapshot_threshold_entries = snapshot_threshold;
    log_settings.trailing_entries = 8;
    log_settings.seed = random_();
    node.journal = std::make_unique<storage::Journal>(*node.folder, "log", 1U << 20U);
    node.log = std::make_unique<consensus::RaftLog>(log_settings, *node.journal, local_time(i));
    node.state =
        std::make_unique<consensus::State>(settings, node.process_number << 32U, random_(), local_time(i));
    consensus::RaftLog::Output output;
    node.log->open(output);
    process_output(i, output);
    feed(i, members(i));
    tick(i, node.process_number);
  }
  /// Ends the process. With `power_loss` the disk also loses what was not synced.
  void kill(std::size_t i, bool power_loss = false) {
    Node& node = nodes_[i];
    ++node.process_number;
    node.state.reset();
    node.log.reset();
    node.journal.reset();
    node.deferred_actions.clear();
    node.decides.reset();
    if (power_loss) node.folder->crash();
  }
  void erase_disk(std::size_t i) { nodes_[i].folder->erase(); }
  void stop(std::size_t i) { nodes_[i].stopped = true; }
  void resume(std::size_t i) {
    Node& node = nodes_[i];
    node.stopped = false;
    for (auto& action : std::exchange(node.deferred_actions, {})) action();
  }

  void run(Time span) {
    const Time end = now_ + span;
    while (!events_.empty() && events_.top().at <= end) {
      const Event event = std::move(const_cast<Event&>(events_.top()));
      events_.pop();
      now_ = event.at;
      event.action();
    }
    now_ = end;
  }
  template <typename Done>
  std::optional<Time> wait_until(Done&& done, Time timeout, Time step = 20ms) {
    return run_until(*this, done, timeout, step);
  }

  void propose(std::size_t i, std::uint64_t call, const std::string& key, consensus::Epoch base,
               const std::string& policy) {
    feed(i, consensus::ProposeCall{call, key, base, policy});
  }
  void feed(std::size_t i, const consensus::Input& input) {
    Node& node = nodes_[i];
    if (!node.state) return;
    std::vector<consensus::Effect> effects = node.state->handle(local_time(i), input);
    if (observer_.input) observer_.input(i, local_time(i), input, effects, *node.state);
    for (consensus::Effect& effect : effects) perform(i, effect);
    if (node.state) check_invariant(i);
  }

  [[nodiscard]] Time local_time(std::size_t i) const {
    return kStart +
           Time{static_cast<Time::rep>(static_cast<double>((now_ - kStart).count()) * nodes_[i].clock_rate)};
  }
  [[nodiscard]] std::size_t size() const { return nodes_.size(); }
  Node& node(std::size_t i) { return nodes_[i]; }
  [[nodiscard]] Time now() const { return now_; }
  [[nodiscard]] bool is_running(std::size_t i) const { return nodes_[i].state && !nodes_[i].stopped; }
  std::optional<std::size_t> leader() {
    for (std::size_t i = 0; i < size(); ++i) {
      if (is_running(i) && nodes_[i].state->lease_manager()) return i;
    }
    return std::nullopt;
  }
  bool all_decide_under(consensus::Epoch epoch) {
    for (std::size_t i = 0; i < size(); ++i) {
      if (is_running(i) && nodes_[i].state->decision_epoch(local_time(i)) != epoch) return false;
    }
    return true;
  }

  /// Whether messages from one node to another are dropped.
  std::function<bool(std::size_t, std::size_t)> is_cut;
  double loss = 0;  ///< the probability that a message is lost
  unsigned snapshot_threshold = 64;
  std::vector<OperatorAnswer> answers;
  std::string violation;  ///< the first violation of the invariant; empty: none
  std::string history;    ///< all log lines and answers, with time and node

 private:
  struct Event {
    Time at{0};
    std::uint64_t order = 0;
    std::function<void()> action;
    bool operator<(const Event& other) const { return at != other.at ? at > other.at : order > other.order; }
  };

  void schedule(Time span, std::function<void()> action) {
    events_.push({now_ + span, order_++, std::move(action)});
  }
  /// Schedules an action of a process. It is deferred while the process is stopped, and dropped if the
  /// process ends.
  void schedule_at(std::size_t i, std::uint64_t process_number, Time span, std::function<void()> action) {
    schedule(span, [this, i, process_number, action = std::move(action)] {
      if (nodes_[i].process_number != process_number || !nodes_[i].state) return;
      if (!nodes_[i].stopped) return action();
      if (nodes_[i].deferred_actions.size() < 200) {
        nodes_[i].deferred_actions.push_back([this, i, process_number, action] {
          if (nodes_[i].process_number == process_number && nodes_[i].state) action();
        });
      }
    });
  }

  consensus::MembersChanged members(std::size_t i) const {
    consensus::MembersChanged changed;
    for (std::size_t j = 0; j < size(); ++j)
      changed.reachable[name(j)] = j == i || (is_running(j) && !(is_cut && (is_cut(i, j) || is_cut(j, i))));
    return changed;
  }
  void tick(std::size_t i, std::uint64_t process_number) {
    consensus::RaftLog::Output output;
    nodes_[i].log->tick(local_time(i), output);
    process_output(i, output);
    if (++nodes_[i].tick_count % 10 == 0) feed(i, members(i));
    feed(i, consensus::TimerExpired{});
    schedule_at(i, process_number, 50ms, [this, i, process_number] { tick(i, process_number); });
  }
  void set_timer(std::size_t i) {
    Node& node = nodes_[i];
    const Time due = node.state->next_due();
    if (due == node.timer_due) return;
    node.timer_due = due;
    const Time span = std::max(Time{100}, due - local_time(i));
    if (span > 1s) return;  // the next tick comes earlier
    schedule_at(i, node.process_number, span, [this, i, due] {
      if (nodes_[i].timer_due != due) return;  // the timer has been set again since
      nodes_[i].timer_due = Time{-1};
      feed(i, consensus::TimerExpired{});
    });
  }

  void process_output(std::size_t i, consensus::RaftLog::Output& output) {
    if (observer_.log) observer_.log(i, output);
    for (auto& [to, bytes] : output.messages) transmit(i, to, std::move(bytes));
    for (std::string& line : output.log_lines) add_log_line(i, line);
    for (const consensus::Input& input : output.inputs) feed(i, input);
  }
  void perform(std::size_t i, consensus::Effect& effect) {
    Node& node = nodes_[i];
    consensus::RaftLog::Output output;
    if (auto* send = std::get_if<consensus::SendMessage>(&effect)) {
      transmit(i, send->to, consensus::encode(send->message, node.state->settings().lease));
    } else if (auto* append = std::get_if<consensus::AppendEntry>(&effect)) {
      // As in the program, the log handles the entry with a short delay.
      schedule_at(i, node.process_number, 100us, [this, i, entry = append->entry] {
        consensus::RaftLog::Output later;
        nodes_[i].log->append(local_time(i), entry, later);
        process_output(i, later);
      });
    } else if (auto* check_term = std::get_if<consensus::CheckTerm>(&effect)) {
      schedule_at(i, node.process_number, 100us, [this, i, request = *check_term] {
        if (!nodes_[i].log->can_confirm_leadership(request.check.term)) return;
        const consensus::LeadershipCheckReply reply{request.check.term, request.check.round};
        if (request.from == name(i)) {
          feed(i, consensus::MessageReceived{request.from, reply});
        } else {
          transmit(i, request.from, consensus::encode(reply, nodes_[i].state->settings().lease));
        }
      });
    } else if (auto* persist = std::get_if<consensus::PersistLearned>(&effect)) {
      schedule_at(i, node.process_number, 100us, [this, i, learned = *persist] {
        consensus::RaftLog::Output later;
        nodes_[i].log->persist_learned(local_time(i), learned, later);
        process_output(i, later);
      });
    } else if (auto* answer = std::get_if<consensus::AdminReply>(&effect)) {
      add_log_line(i, "answers " + std::to_string(answer->status) + " " + answer->body);
      answers.push_back({i, answer->call, answer->status, answer->body, now_});
    } else if (auto* line = std::get_if<consensus::LogLine>(&effect)) {
      add_log_line(i, line->line);
    }
  }
  void transmit(std::size_t from, const std::string& to, std::string bytes) {
    const std::size_t target = std::stoul(to.substr(1));
    ++nodes_[from].sent_messages;
    if (target >= size() || (is_cut && is_cut(from, target))) return;
    if (loss > 0 && std::uniform_real_distribution<>(0, 1)(random_) < loss) return;
    const int copies = loss > 0 && random_() % 20 == 0 ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      const Time delay{std::uniform_int_distribution<int>(200, copy == 0 ? 3000 : 2'000'000)(random_)};
      schedule_at(target, nodes_[target].process_number, delay,
                  [this, from, target, bytes] { receive(from, target, bytes); });
    }
  }
  void receive(std::size_t from, std::size_t i, const std::string& bytes) {
    const auto decoded = consensus::decode(bytes, nodes_[i].state->settings().lease);
    if (!decoded) return;
    consensus::RaftLog::Output output;
    if (const auto* message = std::get_if<consensus::Message>(&*decoded)) {
      feed(i, consensus::MessageReceived{name(from), *message});
    } else if (const auto* log = std::get_if<consensus::RaftMessage>(&*decoded)) {
      nodes_[i].log->on_message(local_time(i), *log, output);
    } else {
      nodes_[i].log->on_message(local_time(i), name(from), std::get<consensus::BootstrapMessage>(*decoded),
                                output);
    }
    process_output(i, output);
  }
  void check_invariant(std::size_t i) {
    set_timer(i);
    if (!violation.empty()) return;
    const auto own_epoch = nodes_[i].state->decision_epoch(local_time(i));
    if (!own_epoch) return;
    for (std::size_t j = 0; j < size(); ++j) {
      if (j == i || !is_running(j)) continue;
      const auto other_epoch = nodes_[j].state->decision_epoch(local_time(j));
      if (other_epoch && *other_epoch != *own_epoch)
        violation = name(i) + " decides under " + std::to_string(*own_epoch) + " and " + name(j) + " " +
                    std::to_string(*other_epoch) + " at " + std::to_string(now_.count());
    }
  }
  void add_log_line(std::size_t i, const std::string& line) {
    history += std::to_string((now_ - kStart).count() / 1000) + " " + name(i) + " " + line + "\n";
    nodes_[i].log_text += line + "\n";
  }

  static constexpr Time kStart{1h};
  std::size_t voters_;
  std::function<void(consensus::Settings&)> edit_settings_;
  Observer observer_;
  std::mt19937_64 random_;
  Time now_ = kStart;
  std::vector<Node> nodes_;
  std::priority_queue<Event> events_;
  std::uint64_t order_ = 0;
};

}  // namespace edge_proxy::test
