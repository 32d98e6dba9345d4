// SPDX-License-Identifier: MIT
/// @file
/// Stores the identity of a member across restarts: its disk id, its incarnation and its known members, in
/// one file of its folder.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "event_loop/background_file.h"
#include "membership/reducer.h"
#include "storage/file_descriptor.h"

namespace edge_proxy::event_loop {

/// Reads and writes the file of one member, and holds the lock on its folder.
class MembershipStore {
 public:
  /// `log` receives a line if the file cannot be read or written.
  MembershipStore(const std::string& folder, const std::string& name, std::string cluster,
                  std::function<void(const std::string&)> log);
  ~MembershipStore() = default;
  MembershipStore(const MembershipStore&) = delete;
  MembershipStore& operator=(const MembershipStore&) = delete;

  /// Locks the folder for this process. Returns false, with the reason in `error_message`, if another process
  /// has locked it or it cannot be opened.
  bool lock(std::string& error_message);
  /// Returns the identity of this process after its new incarnation has been stored. On failure, returns
  /// std::nullopt with the reason in `error_message`; the process must not participate then, since it could
  /// not refute updates about its earlier incarnations later.
  std::optional<membership::Identity> open(const membership::MemberUpdate& self, std::string& error_message);
  /// Writes the file in the background; a later call replaces earlier ones.
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
  BackgroundFile file_;
  storage::FileDescriptor lock_;
};

}  // namespace edge_proxy::event_loop
