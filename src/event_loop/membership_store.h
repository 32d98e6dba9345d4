// SPDX-License-Identifier: MIT
/// @file
/// What makes a member the same one after a restart: the id of its disk, its incarnation and the members that
/// it knew, in one file of its folder.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "event_loop/overrides_file.h"
#include "membership/reducer.h"
#include "storage/file_descriptor.h"

namespace edge_proxy::event_loop {

/// Reads and writes the file of one member; holds the lock of its folder.
class MembershipStore {
 public:
  /// `log` gets a line where the file can't be read or written.
  MembershipStore(const std::string& folder, const std::string& name, std::string cluster,
                  std::function<void(const std::string&)> log);
  ~MembershipStore() = default;
  MembershipStore(const MembershipStore&) = delete;
  MembershipStore& operator=(const MembershipStore&) = delete;

  /// Locks the folder for this process. False: another one has it, or it can't be opened (`error_message`).
  bool lock(std::string& error_message);
  /// The identity of this process, once its new incarnation is on the disk. None where that failed
  /// (`error_message`): the process must not take part, since it could not refute statements on its earlier
  /// incarnations later on.
  std::optional<membership::Identity> open(const membership::MemberUpdate& self, std::string& error_message);
  /// Writes in the background; the latest call counts.
  void persist(const membership::MemberUpdate& self, std::vector<membership::MemberUpdate> members);

 private:
  [[nodiscard]] std::string file_content(const membership::MemberUpdate& self,
                                         std::vector<membership::MemberUpdate> members) const;
  [[nodiscard]] std::optional<membership::Message> read() const;
  [[nodiscard]] bool write_durably(const std::string& bytes, std::string& error_message) const;

  std::string folder_;
  std::string path_;
  std::string cluster_;
  std::function<void(const std::string&)> log_;
  OverridesFile file_;
  storage::FileDescriptor lock_;
};

}  // namespace edge_proxy::event_loop
