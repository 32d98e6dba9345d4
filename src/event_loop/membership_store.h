// SPDX-License-Identifier: MIT
/// @file
/// What makes a member the same one after a restart: the mark of its disk, its incarnation and the members
/// that were registered, in one file of its folder.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "event_loop/overrides_file.h"
#include "membership/reducer.h"

namespace edge_proxy::event_loop {

class MembershipStore {
 public:
  /// `log` is told of a file that can't be read or written.
  MembershipStore(const std::string& folder, const std::string& name, std::string cluster,
                  std::function<void(const std::string&)> log);
  ~MembershipStore();
  MembershipStore(const MembershipStore&) = delete;
  MembershipStore& operator=(const MembershipStore&) = delete;

  /// Takes the folder for this process alone. False: another one has it, or it can't be opened (`why`).
  bool lock(std::string& why);
  /// Who this process is, once its new incarnation is on the disk. None where that failed: it must not take
  /// part, since it could not tell its own past later on (`why`).
  std::optional<membership::Identity> open(const membership::MemberUpdate& self, std::string& why);
  /// Writes beside the loop; the newest counts.
  void persist(const membership::MemberUpdate& self, std::vector<membership::MemberUpdate> members);

 private:
  [[nodiscard]] std::string text(const membership::MemberUpdate& self,
                                 std::vector<membership::MemberUpdate> members) const;
  [[nodiscard]] std::optional<membership::Message> read() const;
  bool write_durably(const std::string& bytes, std::string& why) const;

  std::string folder_, path_, cluster_;
  std::function<void(const std::string&)> log_;
  OverridesFile file_;
  int locked_ = -1;
};

}  // namespace edge_proxy::event_loop
