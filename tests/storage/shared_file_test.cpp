// SPDX-License-Identifier: MIT
#include "storage/shared_file.h"

#include <gtest/gtest.h>
#include <sys/stat.h>

#include <cerrno>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>

namespace edge_proxy::storage {
namespace {

constexpr std::size_t kMaxBytes = 100;

class SharedFileTest : public testing::Test {
 protected:
  void SetUp() override { ASSERT_NE(mkdtemp(folder_.data()), nullptr); }
  void TearDown() override { std::filesystem::remove_all(folder_); }

  [[nodiscard]] std::string path() const { return folder_ + "/file"; }
  [[nodiscard]] std::string content() const {
    std::ifstream file(path(), std::ios::binary);
    return {std::istreambuf_iterator<char>(file), {}};
  }
  void overwrite(const std::string& text) const { std::ofstream(path()) << text; }
  /// Writes as a process with the lock does; returns the content that was replaced.
  static std::optional<std::string> write(SharedFile& file, const std::string& text) {
    std::optional<std::string> replaced;
    EXPECT_EQ(file.prepare(text), 0);
    EXPECT_EQ(file.publish(), 0);
    EXPECT_EQ(file.take_replaced(replaced), 0);
    EXPECT_EQ(file.sync_folder(), 0);
    return replaced;
  }

  std::string folder_ = "/tmp/edge_proxy-test-XXXXXX";
};

TEST_F(SharedFileTest, ContentIsReplacedAndReadBack) {
  SystemSharedFile file(path(), kMaxBytes);
  std::optional<std::string> text;
  EXPECT_EQ(file.read(text), 0);
  EXPECT_FALSE(text);
  EXPECT_FALSE(write(file, "one"));
  EXPECT_EQ(write(file, "two"), "one");
  EXPECT_EQ(file.read(text), 0);
  EXPECT_EQ(text, "two");
  EXPECT_FALSE(std::filesystem::exists(path() + ".new"));
}

TEST_F(SharedFileTest, PreparedContentIsNotVisible) {
  SystemSharedFile file(path(), kMaxBytes);
  write(file, "one");
  EXPECT_EQ(file.prepare("two"), 0);
  EXPECT_EQ(content(), "one");
  EXPECT_EQ(file.prepare("three"), 0);  // after a crash, say
  EXPECT_EQ(file.publish(), 0);
  EXPECT_EQ(content(), "three");
}

TEST_F(SharedFileTest, AWriterWithoutTheLockIsSeenAndNotLost) {
  SystemSharedFile file(path(), kMaxBytes);
  EXPECT_EQ(file.prepare("one"), 0);
  overwrite("created meanwhile");
  EXPECT_EQ(file.publish(), 0);
  std::optional<std::string> replaced;
  EXPECT_EQ(file.take_replaced(replaced), 0);
  EXPECT_EQ(replaced, "created meanwhile");
  EXPECT_EQ(content(), "one");
}

TEST_F(SharedFileTest, ASlowReaderOfTheReplacedFileSeesItsOldContent) {
  SystemSharedFile file(path(), kMaxBytes);
  write(file, "one");
  std::ifstream slow(path());
  write(file, "two, longer");
  write(file, "three");
  EXPECT_EQ(std::string(std::istreambuf_iterator<char>(slow), {}), "one");
}

TEST_F(SharedFileTest, OneProcessAtATimeHoldsTheLock) {
  SystemSharedFile one(path(), kMaxBytes), two(path(), kMaxBytes);
  EXPECT_EQ(one.try_lock(), 0);
  EXPECT_EQ(two.try_lock(), EWOULDBLOCK);
  one.unlock();
  EXPECT_EQ(two.try_lock(), 0);
  // A lock file that was removed and created again does not give two processes the lock of the same file.
  std::filesystem::remove(path() + ".lock");
  EXPECT_EQ(one.try_lock(), 0);
}

TEST_F(SharedFileTest, FailuresAreReported) {
  std::optional<std::string> text;
  SystemSharedFile missing(folder_ + "/missing/file", kMaxBytes);
  EXPECT_EQ(missing.try_lock(), ENOENT);
  EXPECT_EQ(missing.prepare("a"), ENOENT);
  EXPECT_EQ(missing.sync_folder(), ENOENT);
  SystemSharedFile file(path(), kMaxBytes);
  EXPECT_NE(file.publish(), 0);  // nothing is prepared
  overwrite(std::string(kMaxBytes + 1, 'x'));
  EXPECT_EQ(file.read(text), EFBIG);
  EXPECT_FALSE(text);
}

TEST_F(SharedFileTest, AFifoIsNotRead) {
  // Guards against a reader that blocks: opening a FIFO waits for a writer.
  ASSERT_EQ(mkfifo(path().c_str(), 0600), 0);
  SystemSharedFile file(path(), kMaxBytes);
  std::optional<std::string> text;
  EXPECT_EQ(file.read(text), EINVAL);
}

}  // namespace
}  // namespace edge_proxy::storage
