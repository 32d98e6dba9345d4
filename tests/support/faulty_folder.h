// SPDX-License-Identifier: MIT
/// @file
/// A folder in memory that fails as disks do: short and failed writes, a full disk, a sync that fails once
/// and says yes the next time though the pages are lost, what was not synced lost or torn at a crash, flipped
/// bits.
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

  std::size_t room = std::numeric_limits<std::size_t>::max();  ///< bytes left on the disk
  bool short_writes = false;
  int fail_syncs = 0;  ///< as many of the next ones fail
  int fail_write = 0;  ///< errno of the next write
  std::size_t syncs = 0;

  /// The machine stops: of what was not synced, a beginning is kept, maybe with garbage at its end; names
  /// that the folder was not synced for are the old ones or the new ones.
  void crash() {
    for (auto& [name, inode] : names_) {
      const std::size_t kept = std::min(inode->durable.size(), inode->text.size());
      std::string after = inode->durable;
      if (inode->text.size() > kept) {
        const std::size_t more = random_() % (inode->text.size() - kept + 1);
        after += inode->text.substr(kept, more);
        for (std::size_t i = kept; i < after.size(); ++i) {
          if (i + 64 > after.size() && random_() % 3 == 0) after[i] = static_cast<char>(random_());
        }
      }
      inode->text = inode->durable = after;
    }
    if (random_() % 2 == 0) names_ = durable_names_;
    durable_names_ = names_;
  }
  void flip(const std::string& name, std::size_t byte, unsigned bit) {
    Inode& inode = *names_.at(name);
    inode.text[byte] = static_cast<char>(inode.text[byte] ^ (1U << bit));
    inode.durable = inode.text;
  }
  [[nodiscard]] std::size_t size(const std::string& name) const {
    const auto found = names_.find(name);
    return found == names_.end() ? 0 : found->second->text.size();
  }
  void empty() { names_.clear(), durable_names_.clear(); }

  int read(const std::string& name, std::optional<std::string>& text) override {
    text.reset();
    if (const auto found = names_.find(name); found != names_.end()) text = found->second->text;
    return 0;
  }
  int create(const std::string& name, std::unique_ptr<storage::File>& file) override {
    names_[name] = std::make_shared<Inode>();
    file = std::make_unique<Open>(*this, names_[name]);
    return 0;
  }
  int open_for_append(const std::string& name, std::size_t size,
                      std::unique_ptr<storage::File>& file) override {
    const auto found = names_.find(name);
    if (found == names_.end()) return ENOENT;
    found->second->text.resize(size);
    if (found->second->durable.size() > size) found->second->durable.resize(size);
    file = std::make_unique<Open>(*this, found->second);
    return 0;
  }
  int rename(const std::string& from, const std::string& to) override {
    names_[to] = names_.at(from);
    names_.erase(from);
    return 0;
  }
  int sync() override {
    if (fail_syncs > 0) return --fail_syncs, EIO;
    durable_names_ = names_;
    return 0;
  }

 private:
  struct Inode {
    std::string text, durable;
  };
  class Open : public storage::File {
   public:
    Open(FaultyFolder& folder, std::shared_ptr<Inode> inode) : folder_(folder), inode_(std::move(inode)) {}
    int write(std::string_view bytes, std::size_t& written) override {
      written = 0;
      if (folder_.fail_write != 0) return std::exchange(folder_.fail_write, 0);
      if (folder_.room == 0) return ENOSPC;
      written = std::min(bytes.size(), folder_.room);
      if (folder_.short_writes && written > 1) written = 1 + folder_.random_() % (written - 1);
      folder_.room -= written;
      inode_->text.append(bytes.substr(0, written));
      return 0;
    }
    int sync() override {
      ++folder_.syncs;
      if (folder_.fail_syncs > 0) {
        --folder_.fail_syncs;
        inode_->text = inode_->durable;  // the system has dropped the pages
        return EIO;
      }
      inode_->durable = inode_->text;
      return 0;
    }

   private:
    FaultyFolder& folder_;
    std::shared_ptr<Inode> inode_;
  };

  std::mt19937_64 random_;
  std::map<std::string, std::shared_ptr<Inode>> names_, durable_names_;
};

}  // namespace edge_proxy::test
