// SPDX-License-Identifier: MIT
#include "storage/folder.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdio>
#include <utility>

namespace edge_proxy::storage {
namespace {

constexpr std::size_t kReadChunkBytes = 64 * 1024;

class SystemFile : public File {
 public:
  explicit SystemFile(FileDescriptor descriptor) : descriptor_(std::move(descriptor)) {}
  int write(std::string_view bytes, std::size_t& written) override {
    const ssize_t size = ::write(descriptor_.get(), bytes.data(), bytes.size());
    written = size < 0 ? 0 : static_cast<std::size_t>(size);
    return size < 0 && errno != EINTR ? errno : 0;
  }
  int sync() override { return fsync(descriptor_.get()) == 0 ? 0 : errno; }

 private:
  FileDescriptor descriptor_;
};

}  // namespace

int SystemFolder::lock() {
  if (lock_.is_open()) return 0;
  FileDescriptor file(::open(path_of("lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kFileMode));
  if (!file.is_open()) return errno;
  if (flock(file.get(), LOCK_EX | LOCK_NB) != 0) return errno;
  lock_ = std::move(file);
  return 0;
}

int SystemFolder::read(const std::string& name, std::optional<std::string>& content) {
  content.reset();
  const FileDescriptor file(::open(path_of(name).c_str(), O_RDONLY | O_CLOEXEC));
  if (!file.is_open()) return errno == ENOENT ? 0 : errno;
  std::string bytes;
  std::array<char, kReadChunkBytes> buffer;
  for (ssize_t size = 0; (size = ::read(file.get(), buffer.data(), buffer.size())) != 0;) {
    if (size < 0 && errno == EINTR) continue;
    if (size < 0) return errno;
    bytes.append(buffer.data(), static_cast<std::size_t>(size));
  }
  content = std::move(bytes);
  return 0;
}

int SystemFolder::create(const std::string& name, std::unique_ptr<File>& file) {
  FileDescriptor descriptor(
      ::open(path_of(name).c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, kFileMode));
  if (!descriptor.is_open()) return errno;
  file = std::make_unique<SystemFile>(std::move(descriptor));
  return 0;
}

int SystemFolder::open_for_append(const std::string& name, std::size_t size, std::unique_ptr<File>& file) {
  FileDescriptor descriptor(::open(path_of(name).c_str(), O_WRONLY | O_APPEND | O_CLOEXEC));
  if (!descriptor.is_open()) return errno;
  const int fd = descriptor.get();
  file = std::make_unique<SystemFile>(std::move(descriptor));
  return ftruncate(fd, static_cast<off_t>(size)) == 0 ? 0 : errno;
}

int SystemFolder::rename(const std::string& old_name, const std::string& new_name) {
  return std::rename(path_of(old_name).c_str(), path_of(new_name).c_str()) == 0 ? 0 : errno;
}

int SystemFolder::sync() {
  const FileDescriptor folder(::open(path_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (!folder.is_open()) return errno;
  return fsync(folder.get()) == 0 ? 0 : errno;
}

}  // namespace edge_proxy::storage
