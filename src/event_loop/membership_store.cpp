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

constexpr std::size_t kMostKept = 16 * 1024 * 1024;
constexpr std::size_t kSumBytes = 8;

std::string sum_of(std::string_view bytes) {
  const XXH64_hash_t sum = XXH3_64bits(bytes.data(), bytes.size());
  std::string out(kSumBytes, '\0');
  std::memcpy(out.data(), &sum, kSumBytes);
  return out;
}

std::uint64_t new_mark() {
  std::random_device random;
  return (std::uint64_t{random()} << 32U | random()) | 1U;
}

}  // namespace

MembershipStore::MembershipStore(const std::string& folder, const std::string& name, std::string cluster,
                                 std::function<void(const std::string&)> log)
    : folder_(folder),
      path_(folder + "/peers-" + name),
      cluster_(std::move(cluster)),
      log_(std::move(log)),
      file_(path_, [this](const char* why) { log_(std::string("peers keep failed: ") + why); }) {}

MembershipStore::~MembershipStore() {
  if (locked_ >= 0) close(locked_);
}

bool MembershipStore::lock(std::string& why) {
  if (locked_ >= 0) return true;
  const int file = ::open((path_ + ".lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644);
  if (file < 0) {
    why = "can't open the folder: " + std::string(std::strerror(errno));
    return false;
  }
  // Guards against two processes that would be one member: the second waits until the first has gone.
  if (flock(file, LOCK_EX | LOCK_NB) != 0) {
    close(file);
    why = "another process uses the folder";
    return false;
  }
  locked_ = file;
  return true;
}

std::optional<membership::Message> MembershipStore::read() const {
  std::ifstream file(path_, std::ios::binary);
  if (!file) return std::nullopt;
  const std::string all(std::istreambuf_iterator<char>(file), {});
  if (all.empty()) return std::nullopt;
  // Guards against a torn file and flipped bits: what is not whole is not used at all.
  if (all.size() > kSumBytes && sum_of(std::string_view(all).substr(kSumBytes)) == all.substr(0, kSumBytes)) {
    auto decoded = membership::decode(std::string_view(all).substr(kSumBytes), cluster_, kMostKept);
    if (auto* message = std::get_if<membership::Message>(&decoded)) return std::move(*message);
  }
  log_("peers kept file unreadable: starts as another member under its name");
  return std::nullopt;
}

std::string MembershipStore::text(const membership::MemberUpdate& self,
                                  std::vector<membership::MemberUpdate> members) const {
  membership::Message kept;
  kept.kind = membership::MessageKind::full_sync;
  kept.from = self;
  kept.updates = std::move(members);
  const std::string bytes = membership::encode(kept, cluster_);
  return sum_of(bytes) + bytes;
}

std::optional<membership::Identity> MembershipStore::open(const membership::MemberUpdate& self,
                                                          std::string& why) {
  membership::Identity identity;
  membership::MemberUpdate mine = self;
  if (auto kept = read()) {
    identity.disk_id = kept->from.disk_id;
    identity.incarnation = ((kept->from.incarnation >> membership::kRefutationBits) + 1)
                           << membership::kRefutationBits;
    identity.is_new_disk = false;
    identity.known_members = std::move(kept->updates);
  } else {
    identity.disk_id = new_mark();
    identity.incarnation = membership::kEpochStep;
  }
  mine.disk_id = identity.disk_id;
  mine.incarnation = identity.incarnation;
  if (!write_durably(text(mine, identity.known_members), why)) return std::nullopt;
  return identity;
}

bool MembershipStore::write_durably(const std::string& bytes, std::string& why) const {
  const std::string beside = path_ + ".new";
  const int file = ::open(beside.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
  bool good = file >= 0;
  std::size_t written = 0;
  while (good && written < bytes.size()) {
    const ssize_t size = ::write(file, bytes.data() + written, bytes.size() - written);
    good = size > 0;
    if (good) written += static_cast<std::size_t>(size);
  }
  good = good && fsync(file) == 0;
  if (!good) why = std::strerror(errno);
  if (file >= 0) close(file);
  if (!good) return false;
  const int folder = ::open(folder_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  good = std::rename(beside.c_str(), path_.c_str()) == 0 && folder >= 0 && fsync(folder) == 0;
  if (!good) why = std::strerror(errno);
  if (folder >= 0) close(folder);
  return good;
}

void MembershipStore::persist(const membership::MemberUpdate& self,
                              std::vector<membership::MemberUpdate> members) {
  file_.write(text(self, std::move(members)));
}

}  // namespace edge_proxy::event_loop
