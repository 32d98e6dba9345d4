// SPDX-License-Identifier: MIT
/// @file
/// A folder in memory with the faults of real disks: short and failed writes, a full disk, flipped bits,
/// unsynced data that is lost or torn at a crash, and a sync that fails once and succeeds the next time
/// although the pages are lost.
#pragma once

#include <algorithm>
#include <cerrno>
#include <limits>
#include <map>
#include <random>

#include "storage/folder.h"

namespace edge_proxy::test {

class FaultyFolder : public storage::Folder {
 public:
  explicit FaultyFolder(std::uint64_t seed = 1) : random_(seed) {}

  std::size_t free_bytes = std::numeric_limits<std::size_t>::max();  ///< free space on the disk
  bool short_writes = false;
  int fail_syncs = 0;        ///< this many of the next syncs fail
  int next_write_error = 0;  ///< errno that the next write fails with; 0: none
  std::size_t sync_count = 0;

  /// The machine crashes. Of unsynced data a prefix is kept, possibly with garbage at its end. Names that
  /// were not synced are either all old or all new.
  void crash() {
    for (auto& [name, inode] : names_) {
      const std::size_t synced_size = std::min(inode->synced.size(), inode->text.size());
      std::string kept_text = inode->synced;
      if (inode->text.size() > synced_size) {
        const std::size_t unsynced_size = random_() % (inode->text.size() - synced_size + 1);
        kept_text += inode->text.substr(synced_size, unsynced_size);
        for (std::size_t i = synced_size; i < kept_text.size(); ++i) {
          if (i + 64 > kept_text.size() && random_() % 3 == 0) kept_text[i] = static_cast<char>(random_());
        }
      }
      inode->text = inode->synced = kept_text;
    }
    if (random_() % 2 == 0) names_ = synced_names_;
    synced_names_ = names_;
  }
  void flip_bit(const std::string& name, std::size_t byte, unsigned bit) {
    Inode& inode = *names_.at(name);
    inode.text[byte] = static_cast<char>(inode.text[byte] ^ (1U << bit));
    inode.synced = inode.text;
  }
  [[nodiscard]] std::size_t size(const std::string& name) const {
    const auto found = names_.find(name);
    return found == names_.end() ? 0 : found->second->text.size();
  }
  void erase() { names_.clear(), synced_names_.clear(); }

  int read(const std::string& name, std::optional<std::string>& text) override {
    text.reset();
    if (const auto found = names_.find(name); found != names_.end()) text = found->second->text;
    return 0;
  }
  int create(const std::string& name, std::unique_ptr<storage::File>& file) override {
    names_[name] = std::make_shared<Inode>();
    file = std::make_unique<OpenFile>(*this, names_[name]);
    return 0;
  }
  int open_for_append(const std::string& name, std::size_t size,
                      std::unique_ptr<storage::File>& file) override {
    const auto found = names_.find(name);
    if (found == names_.end()) return ENOENT;
    found->second->text.resize(size);
    if (found->second->synced.size() > size) found->second->synced.resize(size);
    file = std::make_unique<OpenFile>(*this, found->second);
    return 0;
  }
  int rename(const std::string& from, const std::string& to) override {
    names_[to] = names_.at(from);
    names_.erase(from);
    return 0;
  }
  int sync() override {
    if (fail_syncs > 0) return --fail_syncs, EIO;
    synced_names_ = names_;
    return 0;
  }

 private:
  struct Inode {
    std::string text, synced;
  };
  class OpenFile : public storage::File {
   public:
    OpenFile(FaultyFolder& folder, std::shared_ptr<Inode> inode)
        : folder_(folder), inode_(std::move(inode)) {}
    int write(std::string_view bytes, std::size_t& written) override {
      written = 0;
      if (folder_.next_write_error != 0) return std::exchange(folder_.next_write_error, 0);
      if (folder_.free_bytes == 0) return ENOSPC;
      written = std::min(bytes.size(), folder_.free_bytes);
      if (folder_.short_writes && written > 1) written = 1 + folder_.random_() % (written - 1);
      folder_.free_bytes -= written;
      inode_->text.append(bytes.substr(0, written));
      return 0;
    }
    int sync() override {
      ++folder_.sync_count;
      if (folder_.fail_syncs > 0) {
        --folder_.fail_syncs;
        inode_->text = inode_->synced;  // the kernel has dropped the pages
        return EIO;
      }
      inode_->synced = inode_->text;
      return 0;
    }

   private:
    FaultyFolder& folder_;
    std::shared_ptr<Inode> inode_;
  };

  std::mt19937_64 random_;
  std::map<std::string, std::shared_ptr<Inode>> names_, synced_names_;
};

}  // namespace edge_proxy::test
