// SPDX-License-Identifier: MIT
#include "event_loop/consensus_thread.h"

#include <charconv>
#include <chrono>
#include <cstring>
#include <memory>
#include <random>
#include <utility>

#include "event_loop/glib_source.h"

namespace edge_proxy::event_loop {
namespace {

constexpr std::chrono::milliseconds kTick{50};
constexpr std::chrono::milliseconds kTryEvery{200};  // while another process has the folder
constexpr std::size_t kMostWork = 4096;              // what waits for a slow disk, at most
constexpr std::size_t kMostRecord = std::size_t{1} << 20U;

consensus::Time now() {
  return std::chrono::duration_cast<consensus::Time>(std::chrono::steady_clock::now().time_since_epoch());
}

}  // namespace

ConsensusThread::ConsensusThread(const config::PolicyConfig& config, std::uint64_t seed,
                                 std::function<void(proxy::ConsensusOutput)> told)
    : config_(config),
      seed_(seed),
      on_output_(std::move(told)),
      is_alive_(std::make_shared<ConsensusThread*>(this)) {
  thread_ = std::thread([this] { run(); });
}

ConsensusThread::~ConsensusThread() {
  *is_alive_ = nullptr;
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_one();
  thread_.join();
}

void ConsensusThread::push(Task work) {
  {
    const std::lock_guard lock(mutex_);
    // Guards the memory against a disk that hangs: what is lost here is as good as lost on the way.
    if (tasks_.size() >= kMostWork) return;
    tasks_.push_back(std::move(work));
  }
  wake_.notify_one();
}

void ConsensusThread::deliver(proxy::ConsensusOutput out) {
  // Guards against two threads in one reducer (seen as a crash at the start of 3 of 25 clusters).
  post_to_main_loop([owner = is_alive_, out = std::move(out)]() mutable {
    if (*owner != nullptr) (*owner)->on_output_(std::move(out));
  });
}

void ConsensusThread::perform(const proxy::ConsensusEffect& effect) {
  if (const auto* append = std::get_if<consensus::AppendEntry>(&effect.effect)) {
    push([entry = append->entry](auto& log, auto at, auto&, auto& out) { log.append(at, entry, out); });
  } else if (const auto* ask = std::get_if<consensus::CheckTerm>(&effect.effect)) {
    push([asked = *ask, lease = config_.settings.lease, name = config_.settings.name](auto& log, auto,
                                                                                      auto& told, auto&) {
      if (!log.can_confirm_leadership(asked.check.term)) return;
      const consensus::LeadershipCheckReply yes{asked.check.term, asked.check.round};
      if (asked.from == name) {
        told.inputs.emplace_back(consensus::MessageReceived{name, yes});
      } else {
        told.messages.emplace_back(asked.from, consensus::encode(yes, lease));
      }
    });
  } else if (const auto* learn = std::get_if<consensus::PersistLearned>(&effect.effect)) {
    push([what = *learn](auto& log, auto at, auto&, auto& out) { log.persist_learned(at, what, out); });
  } else if (const auto* message = std::get_if<consensus::RaftMessage>(&effect.effect)) {
    push([m = *message](auto& log, auto at, auto&, auto& out) { log.on_message(at, m, out); });
  } else if (const auto* birth = std::get_if<proxy::BootstrapReceived>(&effect.effect)) {
    push([b = *birth](auto& log, auto at, auto&, auto& out) { log.on_message(at, b.from, b.message, out); });
  } else if (const auto* wanted = std::get_if<proxy::VoterChangeCall>(&effect.effect)) {
    push([w = *wanted](auto& log, auto, auto& told, auto& out) {
      const std::size_t sign = w.name.find('=');
      std::uint64_t id = 0;
      if (sign != std::string::npos)
        std::from_chars(w.name.data() + sign + 1, w.name.data() + w.name.size(), id);
      const bool begun =
          w.add ? log.add_voter(w.name.substr(0, sign), id, out) : log.remove_voter(w.name, out);
      told.replies.emplace_back(w.call, begun ? 202 : 409,
                                begun
                                    ? "begun: see the log and GET /v1/policy\n"
                                    : "ask the leader, with NAME=ID to add, while no other voter changes\n");
    });
  }
}

void ConsensusThread::run() {
  storage::SystemFolder folder(config_.folder);
  std::string waits_for;
  const auto wait = [this](std::chrono::milliseconds span) {
    std::unique_lock lock(mutex_);
    wake_.wait_for(lock, span, [this] { return stopping_; });
    return !stopping_;
  };
  // The process that this one replaces has it until it ends.
  while (const int error = folder.lock()) {
    const std::string why = std::strerror(error);
    if (why != waits_for) deliver({{}, {}, {"policy wait: the folder can't be taken: " + why}, {}, {}, 0});
    waits_for = why;
    if (!wait(kTryEvery)) return;
  }
  storage::Journal journal(folder, "policy-" + config_.settings.name, kMostRecord);
  consensus::RaftLog::Settings settings;
  settings.name = config_.settings.name;
  settings.initial_voters = config_.settings.voters;
  settings.lease = config_.settings.lease;
  settings.seed = seed_ ^ static_cast<std::uint64_t>(now().count()) ^ std::random_device{}();
  consensus::RaftLog log(settings, journal, now());
  std::map<std::string, std::uint64_t> voters;
  const auto pass_on = [&](proxy::ConsensusOutput told, consensus::RaftLog::Output& out) {
    for (auto& s : out.messages) told.messages.push_back(std::move(s));
    for (auto& i : out.inputs) told.inputs.push_back(std::move(i));
    for (auto& l : out.log_lines) told.log_lines.push_back(std::move(l));
    auto are = log.voters();
    const bool changed = are != voters;
    voters = std::move(are);
    if (told.messages.empty() && told.inputs.empty() && told.log_lines.empty() && told.replies.empty() &&
        !changed)
      return;
    told.voters = voters;
    told.raft_id = log.id();
    deliver(std::move(told));
  };
  {
    consensus::RaftLog::Output out;
    log.open(out);
    out.log_lines.push_back("policy log ready id=" + std::to_string(log.id()) +
                            " has_log=" + (log.is_running() ? "1" : "0"));
    pass_on({}, out);
  }
  while (true) {
    std::deque<Task> work;
    {
      std::unique_lock lock(mutex_);
      wake_.wait_for(lock, kTick, [this] { return stopping_ || !tasks_.empty(); });
      if (stopping_) return;
      work.swap(tasks_);
    }
    proxy::ConsensusOutput told;
    consensus::RaftLog::Output out;
    for (const Task& w : work) w(log, now(), told, out);
    log.tick(now(), out);
    pass_on(std::move(told), out);
  }
}

}  // namespace edge_proxy::event_loop
