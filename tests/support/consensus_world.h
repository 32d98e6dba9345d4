// SPDX-License-Identifier: MIT
/// @file
/// Many proxies' agreement in virtual time: the real reducer and the real log on disks that fail, and between
/// them delay, loss, cuts; clocks that go unlike; standstills, crashes with the disk kept or emptied. Who is
/// reached is told to each a little late, as membership would.
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

class AgreedWorld {
 public:
  using Time = consensus::Time;
  struct Answered {
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
    std::unique_ptr<consensus::State> state;  // none: the process does not run
    bool stopped = false;
    std::vector<std::function<void()>> waiting;  // while it is stopped
    double pace = 1;
    std::uint64_t life = 0;
    std::string lines;
    std::optional<consensus::Epoch> decides;
    std::uint64_t sent = 0, ticks = 0;
    Time armed{-1};
  };

  /// Sees what the parts of a node are given and what they give, before that is carried out.
  struct Observer {
    /// The reducer after an input at that time of the node's clock, and the effects.
    std::function<void(std::size_t, Time, const consensus::Input&, const std::vector<consensus::Effect>&,
                       const consensus::State&)>
        input;
    /// What came of a call of the log.
    std::function<void(std::size_t, const consensus::RaftLog::Output&)> log;
  };

  AgreedWorld(std::size_t count, std::size_t voters, std::uint64_t seed = 1,
              std::function<void(consensus::Settings&)> edit = {}, Observer observer = {})
      : voters_(voters), edit_(std::move(edit)), observer_(std::move(observer)), random_(seed) {
    nodes_.resize(count);
    for (std::size_t i = 0; i < count; ++i) {
      nodes_[i].folder = std::make_unique<FaultyFolder>(random_());
      nodes_[i].pace = std::uniform_real_distribution<>(0.991, 1.009)(random_);
      start(i);
    }
  }

  static std::string name(std::size_t i) { return "n" + std::to_string(i); }

  void start(std::size_t i) {
    Node& node = nodes_[i];
    ++node.life;
    node.stopped = false;
    consensus::Settings settings;
    settings.name = name(i);
    for (std::size_t v = 0; v < voters_; ++v) settings.voters.push_back(name(v));
    settings.check_policy = [i](const std::string& policy) -> std::optional<std::string> {
      if (policy == "unfit for n" + std::to_string(i)) return "key 'caches': is not known";
      return std::nullopt;
    };
    if (edit_) edit_(settings);
    consensus::RaftLog::Settings log;
    log.name = settings.name;
    log.initial_voters = settings.voters;
    log.lease = settings.lease;
    log.snapshot_threshold_entries = snapshot_every;
    log.trailing_entries = 8;
    log.seed = random_();
    node.journal = std::make_unique<storage::Journal>(*node.folder, "log", 1U << 20U);
    node.log = std::make_unique<consensus::RaftLog>(log, *node.journal, local(i));
    node.state = std::make_unique<consensus::State>(settings, node.life << 32U, random_(), local(i));
    consensus::RaftLog::Output out;
    node.log->open(out);
    take_out(i, out);
    feed(i, members(i));
    tick(i, node.life);
  }
  /// The process ends; with `machine`, so does what its disk had not synced.
  void kill(std::size_t i, bool machine = false) {
    Node& node = nodes_[i];
    ++node.life;
    node.state.reset();
    node.log.reset();
    node.journal.reset();
    node.waiting.clear();
    node.decides.reset();
    if (machine) node.folder->crash();
  }
  void empty_disk(std::size_t i) { nodes_[i].folder->empty(); }
  void stop(std::size_t i) { nodes_[i].stopped = true; }
  void resume(std::size_t i) {
    Node& node = nodes_[i];
    node.stopped = false;
    for (auto& waited : std::exchange(node.waiting, {})) waited();
  }

  void run(Time span) {
    const Time end = now_ + span;
    while (!events_.empty() && events_.top().at <= end) {
      const Event event = std::move(const_cast<Event&>(events_.top()));
      events_.pop();
      now_ = event.at;
      event.what();
    }
    now_ = end;
  }
  template <typename Done>
  std::optional<Time> until(Done&& done, Time most, Time step = 20ms) {
    return run_until(*this, done, most, step);
  }

  void put(std::size_t i, std::uint64_t call, const std::string& key, consensus::Epoch base,
           const std::string& policy) {
    feed(i, consensus::ProposeCall{call, key, base, policy});
  }
  void feed(std::size_t i, const consensus::Input& input) {
    Node& node = nodes_[i];
    if (!node.state) return;
    std::vector<consensus::Effect> effects = node.state->handle(local(i), input);
    if (observer_.input) observer_.input(i, local(i), input, effects, *node.state);
    for (consensus::Effect& effect : effects) carry_out(i, effect);
    if (node.state) watch(i);
  }

  [[nodiscard]] Time local(std::size_t i) const {
    return kBegan +
           Time{static_cast<Time::rep>(static_cast<double>((now_ - kBegan).count()) * nodes_[i].pace)};
  }
  [[nodiscard]] std::size_t size() const { return nodes_.size(); }
  Node& node(std::size_t i) { return nodes_[i]; }
  [[nodiscard]] Time now() const { return now_; }
  [[nodiscard]] bool runs(std::size_t i) const { return nodes_[i].state && !nodes_[i].stopped; }
  std::optional<std::size_t> leader() {
    for (std::size_t i = 0; i < size(); ++i) {
      if (runs(i) && nodes_[i].state->lease_manager()) return i;
    }
    return std::nullopt;
  }
  bool all_decide(consensus::Epoch epoch) {
    for (std::size_t i = 0; i < size(); ++i) {
      if (runs(i) && nodes_[i].state->decision_epoch(local(i)) != epoch) return false;
    }
    return true;
  }

  std::function<bool(std::size_t, std::size_t)> cut;  ///< from, to
  double loss = 0;
  unsigned snapshot_every = 64;
  std::vector<Answered> answers;
  std::string violation;  ///< the first one
  std::string story;

 private:
  struct Event {
    Time at{0};
    std::uint64_t order = 0;
    std::function<void()> what;
    bool operator<(const Event& other) const { return at != other.at ? at > other.at : order > other.order; }
  };

  void after(Time span, std::function<void()> what) {
    events_.push({now_ + span, order_++, std::move(what)});
  }
  /// At that process, once it is not stopped, as long as it is the same one.
  void at_node(std::size_t i, std::uint64_t life, Time span, std::function<void()> what) {
    after(span, [this, i, life, what = std::move(what)] {
      if (nodes_[i].life != life || !nodes_[i].state) return;
      if (!nodes_[i].stopped) return what();
      if (nodes_[i].waiting.size() < 200) {
        nodes_[i].waiting.push_back([this, i, life, what] {
          if (nodes_[i].life == life && nodes_[i].state) what();
        });
      }
    });
  }

  consensus::MembersChanged members(std::size_t i) const {
    consensus::MembersChanged all;
    for (std::size_t j = 0; j < size(); ++j)
      all.reachable[name(j)] = j == i || (runs(j) && !(cut && (cut(i, j) || cut(j, i))));
    return all;
  }
  void tick(std::size_t i, std::uint64_t life) {
    consensus::RaftLog::Output out;
    nodes_[i].log->tick(local(i), out);
    take_out(i, out);
    if (++nodes_[i].ticks % 10 == 0) feed(i, members(i));
    feed(i, consensus::TimerExpired{});
    at_node(i, life, 50ms, [this, i, life] { tick(i, life); });
  }
  void arm(std::size_t i) {
    Node& node = nodes_[i];
    const Time due = node.state->next_due();
    if (due == node.armed) return;
    node.armed = due;
    const Time span = std::max(Time{100}, due - local(i));
    if (span > 1s) return;  // a tick comes before that
    at_node(i, node.life, span, [this, i, due] {
      if (nodes_[i].armed != due) return;  // armed anew meanwhile
      nodes_[i].armed = Time{-1};
      feed(i, consensus::TimerExpired{});
    });
  }

  void take_out(std::size_t i, consensus::RaftLog::Output& out) {
    if (observer_.log) observer_.log(i, out);
    for (auto& [to, bytes] : out.messages) transmit(i, to, std::move(bytes));
    for (std::string& line : out.log_lines) note(i, line);
    for (const consensus::Input& input : out.inputs) feed(i, input);
  }
  void carry_out(std::size_t i, consensus::Effect& effect) {
    Node& node = nodes_[i];
    consensus::RaftLog::Output out;
    if (auto* send = std::get_if<consensus::SendMessage>(&effect)) {
      transmit(i, send->to, consensus::encode(send->message, node.state->settings().lease));
    } else if (auto* append = std::get_if<consensus::AppendEntry>(&effect)) {
      // As in the program, the log takes it a moment later.
      at_node(i, node.life, 100us, [this, i, entry = append->entry] {
        consensus::RaftLog::Output later;
        nodes_[i].log->append(local(i), entry, later);
        take_out(i, later);
      });
    } else if (auto* ask = std::get_if<consensus::CheckTerm>(&effect)) {
      at_node(i, node.life, 100us, [this, i, asked = *ask] {
        if (!nodes_[i].log->can_confirm_leadership(asked.check.term)) return;
        const consensus::LeadershipCheckReply yes{asked.check.term, asked.check.round};
        if (asked.from == name(i)) {
          feed(i, consensus::MessageReceived{asked.from, yes});
        } else {
          transmit(i, asked.from, consensus::encode(yes, nodes_[i].state->settings().lease));
        }
      });
    } else if (auto* learn = std::get_if<consensus::PersistLearned>(&effect)) {
      at_node(i, node.life, 100us, [this, i, what = *learn] {
        consensus::RaftLog::Output later;
        nodes_[i].log->persist_learned(local(i), what, later);
        take_out(i, later);
      });
    } else if (auto* answer = std::get_if<consensus::AdminReply>(&effect)) {
      note(i, "answers " + std::to_string(answer->status) + " " + answer->body);
      answers.push_back({i, answer->call, answer->status, answer->body, now_});
    } else if (auto* line = std::get_if<consensus::LogLine>(&effect)) {
      note(i, line->line);
    }
  }
  void transmit(std::size_t from, const std::string& to, std::string bytes) {
    const std::size_t target = std::stoul(to.substr(1));
    ++nodes_[from].sent;
    if (target >= size() || (cut && cut(from, target))) return;
    if (loss > 0 && std::uniform_real_distribution<>(0, 1)(random_) < loss) return;
    const int copies = loss > 0 && random_() % 20 == 0 ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      const Time delay{std::uniform_int_distribution<int>(200, copy == 0 ? 3000 : 2'000'000)(random_)};
      at_node(target, nodes_[target].life, delay,
              [this, from, target, bytes] { heard(from, target, bytes); });
    }
  }
  void heard(std::size_t from, std::size_t i, const std::string& bytes) {
    const auto carried = consensus::decode(bytes, nodes_[i].state->settings().lease);
    if (!carried) return;
    consensus::RaftLog::Output out;
    if (const auto* message = std::get_if<consensus::Message>(&*carried)) {
      feed(i, consensus::MessageReceived{name(from), *message});
    } else if (const auto* log = std::get_if<consensus::RaftMessage>(&*carried)) {
      nodes_[i].log->on_message(local(i), *log, out);
    } else {
      nodes_[i].log->on_message(local(i), name(from), std::get<consensus::BootstrapMessage>(*carried), out);
    }
    take_out(i, out);
  }
  void watch(std::size_t i) {
    arm(i);
    if (!violation.empty()) return;
    const auto mine = nodes_[i].state->decision_epoch(local(i));
    if (!mine) return;
    for (std::size_t j = 0; j < size(); ++j) {
      if (j == i || !runs(j)) continue;
      const auto other = nodes_[j].state->decision_epoch(local(j));
      if (other && *other != *mine)
        violation = name(i) + " decides " + std::to_string(*mine) + " and " + name(j) + " " +
                    std::to_string(*other) + " at " + std::to_string(now_.count());
    }
  }
  void note(std::size_t i, const std::string& line) {
    story += std::to_string((now_ - kBegan).count() / 1000) + " " + name(i) + " " + line + "\n";
    nodes_[i].lines += line + "\n";
  }

  static constexpr Time kBegan{1h};
  std::size_t voters_;
  std::function<void(consensus::Settings&)> edit_;
  Observer observer_;
  std::mt19937_64 random_;
  Time now_ = kBegan;
  std::vector<Node> nodes_;
  std::priority_queue<Event> events_;
  std::uint64_t order_ = 0;
};

}  // namespace edge_proxy::test
