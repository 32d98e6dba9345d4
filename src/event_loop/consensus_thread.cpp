// SPDX-License-Identifier: MIT
#include "event_loop/consensus_thread.h"

#include <cstring>
#include <random>
#include <string>
#include <utility>

#include "event_loop/consensus_worker.h"
#include "event_loop/glib_source.h"

namespace edge_proxy::event_loop {
namespace {

constexpr std::chrono::milliseconds kTickInterval{50};
/// Used while another process holds the lock of the folder.
constexpr std::chrono::milliseconds kLockRetryInterval{200};
/// Bounds the memory while the disk is slow.
constexpr std::size_t kMaxQueuedEffects = 4096;
constexpr std::size_t kMaxRecordBytes = std::size_t{1} << 20U;

}  // namespace

ConsensusThread::ConsensusThread(const config::PolicyConfig& config, std::uint64_t seed,
                                 std::function<void(proxy::ConsensusOutput)> on_output)
    : config_(config),
      seed_(seed),
      on_output_(std::move(on_output)),
      owner_(std::make_shared<ConsensusThread*>(this)) {
  thread_ = std::thread([this] { run(); });
}

ConsensusThread::~ConsensusThread() {
  *owner_ = nullptr;
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_one();
  thread_.join();
}

void ConsensusThread::perform(const proxy::ConsensusEffect& effect) {
  {
    const std::lock_guard lock(mutex_);
    // Bounds the memory if the disk hangs. The protocol handles a dropped effect like a lost message.
    if (queued_effects_.size() >= kMaxQueuedEffects) return;
    queued_effects_.push_back(effect);
  }
  wake_.notify_one();
}

void ConsensusThread::deliver(proxy::ConsensusOutput output) {
  // The reducer may run only on the main loop: calls from this thread crashed 3 of 25 clusters at their
  // start.
  post_to_main_loop([owner = owner_, output = std::move(output)]() mutable {
    if (*owner != nullptr) (*owner)->on_output_(std::move(output));
  });
}

/// Returns false if the thread has to end.
bool ConsensusThread::sleep_unless_stopping(std::chrono::milliseconds duration) {
  std::unique_lock lock(mutex_);
  wake_.wait_for(lock, duration, [this] { return stopping_; });
  return !stopping_;
}

/// Waits for the lock of the folder, which the process that this one replaces holds until it ends. Returns
/// false if the thread has to end.
bool ConsensusThread::lock_folder(storage::SystemFolder& folder) {
  std::string logged_reason;
  while (const int error = folder.lock()) {
    const std::string reason = std::strerror(error);
    if (reason != logged_reason) {
      proxy::ConsensusOutput output;
      output.log_lines.push_back("policy waiting for the folder lock: " + reason);
      deliver(std::move(output));
    }
    logged_reason = reason;
    if (!sleep_unless_stopping(kLockRetryInterval)) return false;
  }
  return true;
}

consensus::RaftLog::Settings ConsensusThread::raft_settings() const {
  const auto now =
      std::chrono::duration_cast<consensus::Time>(std::chrono::steady_clock::now().time_since_epoch());
  consensus::RaftLog::Settings settings;
  settings.name = config_.settings.name;
  settings.initial_voters = config_.settings.voters;
  settings.lease = config_.settings.lease;
  settings.seed = seed_ ^ static_cast<std::uint64_t>(now.count()) ^ std::random_device{}();
  return settings;
}

/// Waits for at most one tick interval. None: the thread has to end.
std::optional<std::deque<proxy::ConsensusEffect>> ConsensusThread::wait_for_effects() {
  std::unique_lock lock(mutex_);
  wake_.wait_for(lock, kTickInterval, [this] { return stopping_ || !queued_effects_.empty(); });
  if (stopping_) return std::nullopt;
  return std::exchange(queued_effects_, {});
}

void ConsensusThread::run() {
  storage::SystemFolder folder(config_.folder);
  if (!lock_folder(folder)) return;
  storage::Journal journal(folder, "policy-" + config_.settings.name, kMaxRecordBytes);
  ConsensusWorker worker(raft_settings(), journal);
  worker.open();
  if (auto output = worker.take_output()) deliver(std::move(*output));
  while (const auto effects = wait_for_effects()) {
    for (const proxy::ConsensusEffect& effect : *effects) worker.perform(effect);
    worker.tick();
    if (auto output = worker.take_output()) deliver(std::move(*output));
  }
}

}  // namespace edge_proxy::event_loop
