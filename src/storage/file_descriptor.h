// SPDX-License-Identifier: MIT
/// @file
/// Owns file descriptors.
#pragma once

#include <sys/types.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

namespace edge_proxy::storage {

/// Mode of created files: writable by the owner, readable by all.
constexpr mode_t kFileMode = 0644;

/// Owns a file descriptor; the destructor preserves errno.
class FileDescriptor {
 public:
  FileDescriptor() = default;
  /// Takes ownership of the result of open(), which may be -1.
  explicit FileDescriptor(int fd) : fd_(fd) {}
  FileDescriptor(const FileDescriptor&) = delete;
  FileDescriptor& operator=(const FileDescriptor&) = delete;
  FileDescriptor(FileDescriptor&& other) noexcept : fd_(std::exchange(other.fd_, kClosed)) {}
  FileDescriptor& operator=(FileDescriptor&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }
  ~FileDescriptor() {
    if (!is_open()) return;
    const int saved_errno = errno;
    close(fd_);
    errno = saved_errno;
  }

  [[nodiscard]] bool is_open() const { return fd_ >= 0; }
  [[nodiscard]] int get() const { return fd_; }

 private:
  static constexpr int kClosed = -1;
  int fd_ = kClosed;
};

}  // namespace edge_proxy::storage
