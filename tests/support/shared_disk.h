// SPDX-License-Identifier: MIT
/// @file
/// A file in memory that several simulated processes share, with the steps at which they can be interleaved,
/// fail or crash.
#pragma once

#include <cerrno>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "storage/shared_file.h"

namespace edge_proxy::test {

/// The state of the disk.
struct SharedDisk {
  std::optional<std::string> content;   ///< as processes see it
  std::optional<std::string> flushed;   ///< as it is after a crash of the machine
  std::optional<std::string> prepared;  ///< the file beside it
  std::uint64_t version = 0;            ///< changes with each replacement
  const void* lock_holder = nullptr;

  void replace(std::optional<std::string> text) {
    content = std::move(text);
    ++version;
  }
};

/// The steps of a process at the file.
enum class DiskStep : std::uint8_t { try_lock, pause, read, prepare, publish, take_replaced, sync_folder };

/// The file as one process sees it. `before_step` is called before each step; it returns an errno value with
/// which the step fails, or 0.
class SimulatedFile : public storage::SharedFile {
 public:
  using BeforeStep = std::function<int(DiskStep)>;
  SimulatedFile(SharedDisk& disk, BeforeStep before_step)
      : disk_(disk), before_step_(std::move(before_step)) {}
  ~SimulatedFile() override { SimulatedFile::unlock(); }
  SimulatedFile(const SimulatedFile&) = delete;
  SimulatedFile& operator=(const SimulatedFile&) = delete;

  int try_lock() override {
    if (const int error = before_step_(DiskStep::try_lock)) return error;
    if (disk_.lock_holder != nullptr) return EWOULDBLOCK;
    disk_.lock_holder = this;
    return 0;
  }
  void unlock() override {
    if (disk_.lock_holder == this) disk_.lock_holder = nullptr;
  }
  void pause() override { static_cast<void>(before_step_(DiskStep::pause)); }
  int read(std::optional<std::string>& content) override {
    if (const int error = before_step_(DiskStep::read)) return error;
    content = disk_.content;
    return 0;
  }
  int prepare(std::string_view content) override {
    if (const int error = before_step_(DiskStep::prepare)) {
      disk_.prepared = std::string(content.substr(0, content.size() / 2));
      return error;
    }
    disk_.prepared = std::string(content);
    return 0;
  }
  int publish() override {
    if (const int error = before_step_(DiskStep::publish)) return error;
    std::swap(disk_.content, disk_.prepared);
    ++disk_.version;
    return 0;
  }
  int take_replaced(std::optional<std::string>& content) override {
    content = std::exchange(disk_.prepared, std::nullopt);
    return before_step_(DiskStep::take_replaced);
  }
  int sync_folder() override {
    if (const int error = before_step_(DiskStep::sync_folder)) return error;
    disk_.flushed = disk_.content;
    return 0;
  }

 private:
  SharedDisk& disk_;
  BeforeStep before_step_;
};

/// A process of the version before the overrides were merged: it takes over the file as a whole, answers a
/// call before it is stored, and writes without the lock.
class EarlierProcess {
 public:
  explicit EarlierProcess(SharedDisk& disk) : disk_(disk) {}

  [[nodiscard]] bool is_writing() const { return being_written_.has_value(); }
  [[nodiscard]] bool has_unstored_calls() const { return is_writing() || queued_; }
  [[nodiscard]] bool is_suspended(const std::string& id) const {
    const auto found = overrides_.find(id);
    return found != overrides_.end() && found->second.is_suspended;
  }
  void poll() {
    if (is_writing() || has_replaced_ || seen_version_ == disk_.version || !disk_.content) return;
    seen_version_ = disk_.version;
    overrides_ = parse(*disk_.content);
  }
  void change(const std::string& id, bool suspend, std::int64_t now) {
    poll();
    if (suspend != is_suspended(id)) overrides_[id] = {suspend, now};
    queued_ = serialize();
    start_write();
  }
  /// The worker thread replaces the file.
  void replace_file() {
    if (!being_written_) return;
    disk_.replace(std::exchange(being_written_, std::nullopt));
    has_replaced_ = true;
  }
  /// The main loop hears of that, and marks whatever file it finds as its own.
  void finish_write() {
    if (!has_replaced_) return;
    has_replaced_ = false;
    seen_version_ = disk_.version;
    start_write();
  }

 private:
  struct Entry {
    bool is_suspended = false;
    std::int64_t changed_at = 0;
  };
  using Entries = std::map<std::string, Entry>;

  void start_write() {
    if (is_writing() || has_replaced_ || !queued_) return;
    being_written_ = std::exchange(queued_, std::nullopt);
  }
  [[nodiscard]] std::string serialize() const {
    std::string text;
    for (const auto& [id, entry] : overrides_) {
      text += (entry.is_suspended ? "out " : "in ") + std::to_string(entry.changed_at) + " " + id + "\n";
    }
    return text;
  }
  static Entries parse(std::string_view text) {
    Entries entries;
    while (!text.empty()) {
      std::string line(text.substr(0, text.find('\n')));
      text.remove_prefix(std::min(line.size() + 1, text.size()));
      const bool is_suspended = line.starts_with("out ");
      if (!is_suspended && !line.starts_with("in ")) continue;
      line.erase(0, line.find(' ') + 1);
      const std::size_t digits = line.find_first_not_of("0123456789");
      if (digits == 0 || digits + 1 >= line.size() || line[digits] != ' ') continue;
      entries[line.substr(digits + 1)] = {is_suspended, std::stoll(line.substr(0, digits))};
    }
    return entries;
  }

  SharedDisk& disk_;
  Entries overrides_;
  std::optional<std::uint64_t> seen_version_;
  std::optional<std::string> queued_, being_written_;
  bool has_replaced_ = false;
};

}  // namespace edge_proxy::test
