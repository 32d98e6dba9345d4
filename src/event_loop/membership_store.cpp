// SPDX-License-Identifier: MIT
#include "event_loop/membership_store.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>
#include <xxhash.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <iterator>
#include <random>

#include "membership/codec.h"

namespace edge_proxy::event_loop {
namespace {

constexpr std::size_t kMaxStoredBytes = 16 * 1024 * 1024;
constexpr std::size_t kChecksumBytes = 8;

std::string checksum_of(std::string_view bytes) {
  const XXH64_hash_t sum = XXH3_64bits(bytes.data(), bytes.size());
  std::string checksum(kChecksumBytes, '\0');
  std::memcpy(checksum.data(), &sum, kChecksumBytes);
  return checksum;
}

std::uint64_t new_disk_id() {
  std::random_device random;
  return (std::uint64_t{random()} << 32U | random()) | 1U;
}

/// Returns false and sets errno if the file is not safely on the disk.
bool write_and_sync(const std::string& path, std::string_view bytes) {
  const storage::FileDescriptor file(
      ::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, storage::kFileMode));
  if (!file.is_open()) return false;
  while (!bytes.empty()) {
    const ssize_t size = ::write(file.get(), bytes.data(), bytes.size());
    if (size <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(size));
  }
  return fsync(file.get()) == 0;
}

}  // namespace

MembershipStore::MembershipStore(const std::string& folder, const std::string& name, std::string cluster,
                                 std::function<void(const std::string&)> log)
    : folder_(folder),
      path_(folder + "/peers-" + name),
      cluster_(std::move(cluster)),
      log_(std::move(log)),
      file_(path_, [this](const char* reason) { log_(std::string("peers file not written: ") + reason); }) {}

bool MembershipStore::lock(std::string& error_message) {
  if (lock_.is_open()) return true;
  storage::FileDescriptor file(
      ::open((path_ + ".lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, storage::kFileMode));
  if (!file.is_open()) {
    error_message = "cannot open the folder: " + std::string(std::strerror(errno));
    return false;
  }
  // Prevents two processes from running as the same member: the second one waits until the first one has
  // exited.
  if (flock(file.get(), LOCK_EX | LOCK_NB) != 0) {
    error_message = "another process has locked the folder";
    return false;
  }
  lock_ = std::move(file);
  return true;
}

std::optional<membership::Message> MembershipStore::read() const {
  std::ifstream file(path_, std::ios::binary);
  if (!file) return std::nullopt;
  const std::string content(std::istreambuf_iterator<char>(file), {});
  if (content.empty()) return std::nullopt;
  // A file with a wrong checksum (a torn write or flipped bits) is not used at all.
  if (content.size() > kChecksumBytes &&
      checksum_of(std::string_view(content).substr(kChecksumBytes)) == content.substr(0, kChecksumBytes)) {
    auto decoded =
        membership::decode(std::string_view(content).substr(kChecksumBytes), cluster_, kMaxStoredBytes);
    if (auto* message = std::get_if<membership::Message>(&decoded)) return std::move(*message);
  }
  log_("peers file unreadable: starting as a new member with the same name");
  return std::nullopt;
}

std::string MembershipStore::file_content(const membership::MemberUpdate& self,
                                          std::vector<membership::MemberUpdate> members) const {
  membership::Message stored;
  stored.kind = membership::MessageKind::full_sync;
  stored.from = self;
  stored.updates = std::move(members);
  const std::string bytes = membership::encode(stored, cluster_);
  return checksum_of(bytes) + bytes;
}

std::optional<membership::Identity> MembershipStore::open(const membership::MemberUpdate& self,
                                                          std::string& error_message) {
  membership::Identity identity;
  membership::MemberUpdate updated_self = self;
  if (auto stored = read()) {
    identity.disk_id = stored->from.disk_id;
    const std::uint64_t epoch = stored->from.incarnation >> membership::kRefutationBits;
    identity.incarnation = (epoch + 1) << membership::kRefutationBits;
    identity.is_new_disk = false;
    identity.known_members = std::move(stored->updates);
  } else {
    identity.disk_id = new_disk_id();
    identity.incarnation = membership::kEpochStep;
  }
  updated_self.disk_id = identity.disk_id;
  updated_self.incarnation = identity.incarnation;
  if (!write_durably(file_content(updated_self, identity.known_members), error_message)) return std::nullopt;
  return identity;
}

bool MembershipStore::write_durably(const std::string& bytes, std::string& error_message) const {
  const std::string new_path = path_ + ".new";
  if (!write_and_sync(new_path, bytes)) {
    error_message = std::strerror(errno);
    return false;
  }
  const storage::FileDescriptor folder(::open(folder_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (std::rename(new_path.c_str(), path_.c_str()) != 0 || !folder.is_open() || fsync(folder.get()) != 0) {
    error_message = std::strerror(errno);
    return false;
  }
  return true;
}

void MembershipStore::persist(const membership::MemberUpdate& self,
                              std::vector<membership::MemberUpdate> members) {
  file_.write(file_content(self, std::move(members)));
}

}  // namespace edge_proxy::event_loop
