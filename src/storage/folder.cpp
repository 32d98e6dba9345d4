// SPDX-License-Identifier: MIT
#include "storage/folder.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdio>

namespace edge_proxy::storage {
namespace {

/// Ends with its scope.
class Descriptor {
 public:
  explicit Descriptor(int number) : number_(number) {}
  ~Descriptor() {
    if (number_ >= 0) close(number_);
  }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  [[nodiscard]] int get() const { return number_; }

 private:
  int number_;
};

class SystemFile : public File {
 public:
  explicit SystemFile(int number) : descriptor_(number) {}
  int write(std::string_view bytes, std::size_t& written) override {
    const ssize_t size = ::write(descriptor_.get(), bytes.data(), bytes.size());
    written = size < 0 ? 0 : static_cast<std::size_t>(size);
    return size < 0 && errno != EINTR ? errno : 0;
  }
  int sync() override { return fsync(descriptor_.get()) == 0 ? 0 : errno; }

 private:
  Descriptor descriptor_;
};

}  // namespace

SystemFolder::~SystemFolder() {
  if (locked_ >= 0) close(locked_);
}

int SystemFolder::lock() {
  if (locked_ >= 0) return 0;
  const int number = open((path_ + "/lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644);
  if (number < 0) return errno;
  if (flock(number, LOCK_EX | LOCK_NB) != 0) {
    const int error = errno;
    close(number);
    return error;
  }
  locked_ = number;
  return 0;
}

int SystemFolder::read(const std::string& name, std::optional<std::string>& text) {
  text.reset();
  const Descriptor file(open((path_ + "/" + name).c_str(), O_RDONLY | O_CLOEXEC));
  if (file.get() < 0) return errno == ENOENT ? 0 : errno;
  std::string all;
  std::array<char, 65536> buffer;
  for (ssize_t size = 0; (size = ::read(file.get(), buffer.data(), buffer.size())) != 0;) {
    if (size < 0 && errno == EINTR) continue;
    if (size < 0) return errno;
    all.append(buffer.data(), static_cast<std::size_t>(size));
  }
  text = std::move(all);
  return 0;
}

int SystemFolder::create(const std::string& name, std::unique_ptr<File>& file) {
  const int number = open((path_ + "/" + name).c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
  if (number < 0) return errno;
  file = std::make_unique<SystemFile>(number);
  return 0;
}

int SystemFolder::extend(const std::string& name, std::size_t size, std::unique_ptr<File>& file) {
  const int number = open((path_ + "/" + name).c_str(), O_WRONLY | O_APPEND | O_CLOEXEC);
  if (number < 0) return errno;
  file = std::make_unique<SystemFile>(number);
  return ftruncate(number, static_cast<off_t>(size)) == 0 ? 0 : errno;
}

int SystemFolder::rename(const std::string& from, const std::string& to) {
  return std::rename((path_ + "/" + from).c_str(), (path_ + "/" + to).c_str()) == 0 ? 0 : errno;
}

int SystemFolder::sync() {
  const Descriptor folder(open(path_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (folder.get() < 0) return errno;
  return fsync(folder.get()) == 0 ? 0 : errno;
}

}  // namespace edge_proxy::storage
