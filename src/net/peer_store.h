// SPDX-License-Identifier: MIT
/// @file
/// What makes a member the same one after a restart: the mark of its disk, its incarnation and the members
/// that were registered, in one file of its folder.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "net/kept_file.h"
#include "peers/reducer.h"

namespace dahliahall::net {

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
  std::optional<peers::Identity> open(const peers::MemberUpdate& self, std::string& why);
  /// Writes beside the loop; the newest counts.
  void persist(const peers::MemberUpdate& self, std::vector<peers::MemberUpdate> members);

 private:
  [[nodiscard]] std::string text(const peers::MemberUpdate& self,
                                 std::vector<peers::MemberUpdate> members) const;
  [[nodiscard]] std::optional<peers::Message> read() const;
  bool write_durably(const std::string& bytes, std::string& why) const;

  std::string folder_, path_, cluster_;
  std::function<void(const std::string&)> log_;
  OverridesFile file_;
  int locked_ = -1;
};

}  // namespace dahliahall::net
