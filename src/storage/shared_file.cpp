// SPDX-License-Identifier: MIT
#include "storage/shared_file.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <thread>
#include <utility>

namespace edge_proxy::storage {
namespace {

constexpr std::size_t kReadChunkBytes = 16 * 1024;
constexpr std::chrono::milliseconds kLockRetryInterval{2};

/// Returns whether the open file is still the one of that path.
bool is_same_file(int descriptor, const std::string& path) {
  struct stat opened {};
  struct stat named {};
  if (fstat(descriptor, &opened) != 0 || stat(path.c_str(), &named) != 0) return false;
  return opened.st_dev == named.st_dev && opened.st_ino == named.st_ino;
}

int write_all(int descriptor, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t size = ::write(descriptor, bytes.data(), bytes.size());
    if (size < 0 && errno == EINTR) continue;
    if (size < 0) return errno;
    bytes.remove_prefix(static_cast<std::size_t>(size));
  }
  return 0;
}

int rename_with(const std::string& from, const std::string& to, unsigned flags) {
  return renameat2(AT_FDCWD, from.c_str(), AT_FDCWD, to.c_str(), flags) == 0 ? 0 : errno;
}

}  // namespace

SystemSharedFile::SystemSharedFile(std::string path, std::size_t max_bytes)
    : path_(std::move(path)),
      prepared_path_(path_ + ".new"),
      lock_path_(path_ + ".lock"),
      folder_path_(std::filesystem::path(path_).parent_path().string()),
      max_bytes_(max_bytes) {}

int SystemSharedFile::try_lock() {
  FileDescriptor file(::open(lock_path_.c_str(), O_RDWR | O_CREAT | O_CLOEXEC | O_NONBLOCK, kFileMode));
  if (!file.is_open()) return errno;
  if (flock(file.get(), LOCK_EX | LOCK_NB) != 0) return errno;
  // If somebody has removed the file meanwhile, another process may hold the lock of a new one.
  if (!is_same_file(file.get(), lock_path_)) return EWOULDBLOCK;
  lock_ = std::move(file);
  return 0;
}

void SystemSharedFile::unlock() { lock_ = FileDescriptor(); }

void SystemSharedFile::pause() { std::this_thread::sleep_for(kLockRetryInterval); }

int SystemSharedFile::read(std::optional<std::string>& content) { return read_from(path_, content); }

int SystemSharedFile::read_from(const std::string& path, std::optional<std::string>& content) const {
  content.reset();
  // Without O_NONBLOCK the open of a FIFO would wait for a writer.
  const FileDescriptor file(::open(path.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK));
  if (!file.is_open()) return errno == ENOENT ? 0 : errno;
  struct stat status {};
  if (fstat(file.get(), &status) != 0) return errno;
  if (!S_ISREG(status.st_mode)) return EINVAL;
  std::string bytes;
  std::array<char, kReadChunkBytes> buffer;
  for (ssize_t size = 0; (size = ::read(file.get(), buffer.data(), buffer.size())) != 0;) {
    if (size < 0 && errno == EINTR) continue;
    if (size < 0) return errno;
    bytes.append(buffer.data(), static_cast<std::size_t>(size));
    if (bytes.size() > max_bytes_) return EFBIG;
  }
  content = std::move(bytes);
  return 0;
}

int SystemSharedFile::prepare(std::string_view content) {
  // A new file each time: a slow reader may still read the one that the last publish() has replaced.
  if (unlink(prepared_path_.c_str()) != 0 && errno != ENOENT) return errno;
  const FileDescriptor file(
      ::open(prepared_path_.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, kFileMode));
  if (!file.is_open()) return errno;
  if (const int error = write_all(file.get(), content)) return error;
  return fsync(file.get()) == 0 ? 0 : errno;
}

int SystemSharedFile::publish() {
  int error = rename_with(prepared_path_, path_, RENAME_EXCHANGE);
  if (error == ENOENT) error = rename_with(prepared_path_, path_, RENAME_NOREPLACE);
  if (error == EEXIST) error = rename_with(prepared_path_, path_, RENAME_EXCHANGE);
  // Some file systems can't exchange; there, a writer that does not use the lock may be overwritten.
  if (error == EINVAL || error == ENOSYS) error = rename_with(prepared_path_, path_, 0);
  return error;
}

int SystemSharedFile::take_replaced(std::optional<std::string>& content) {
  const int error = read_from(prepared_path_, content);
  unlink(prepared_path_.c_str());
  return error;
}

int SystemSharedFile::sync_folder() {
  const FileDescriptor folder(::open(folder_path_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (!folder.is_open()) return errno;
  return fsync(folder.get()) == 0 ? 0 : errno;
}

}  // namespace edge_proxy::storage
