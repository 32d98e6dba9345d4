// SPDX-License-Identifier: MIT
// Tests the journal on a simulated disk with failed writes and syncs, bit flips and crashes.
#include "storage/journal.h"

#include <gtest/gtest.h>

#include <filesystem>

#include "support/faulty_folder.h"

namespace edge_proxy::test {
namespace {

using storage::Journal;
using Records = std::vector<std::string>;

constexpr std::size_t kMaxRecordBytes = 4096;

Records read(FaultyFolder& folder, bool* opened_out = nullptr, std::string* error_out = nullptr,
             std::size_t* repaired_out = nullptr) {
  Journal journal(folder, "log", kMaxRecordBytes);
  Records records;
  const bool opened = journal.open(records);
  if (opened_out != nullptr) *opened_out = opened;
  if (error_out != nullptr) *error_out = journal.error();
  if (repaired_out != nullptr) *repaired_out = journal.repaired_record_count();
  EXPECT_TRUE(opened || opened_out != nullptr) << journal.error();
  return records;
}

/// A journal without a file.
struct NewJournal : Journal {
  explicit NewJournal(FaultyFolder& folder) : Journal(folder, "log", kMaxRecordBytes) {
    Records records;
    EXPECT_TRUE(open(records));
    EXPECT_TRUE(records.empty());
  }
};

TEST(Journal, ReopenReturnsWrittenRecordsAndAppends) {
  FaultyFolder folder;
  folder.short_writes = true;
  EXPECT_EQ(read(folder), Records{});
  {
    NewJournal journal(folder);
    ASSERT_TRUE(journal.append({"a", ""}));
    ASSERT_TRUE(journal.append({std::string(300, 'b')}));
  }
  {
    Journal journal(folder, "log", kMaxRecordBytes);
    Records records;
    ASSERT_TRUE(journal.open(records));
    EXPECT_EQ(records, (Records{"a", "", std::string(300, 'b')}));
    ASSERT_TRUE(journal.append({"c"}));
    EXPECT_FALSE(journal.append({std::string(kMaxRecordBytes + 1, 'x')}));
  }
  EXPECT_EQ(read(folder).size(), 4U);
}

TEST(Journal, FailedSyncIsPermanent) {
  FaultyFolder folder;
  NewJournal journal(folder);
  ASSERT_TRUE(journal.append({"a"}));
  folder.fail_syncs = 1;
  EXPECT_FALSE(journal.append({"b"}));
  EXPECT_FALSE(journal.append({"b"}))
      << "a later sync succeeds although the kernel has dropped the dirty pages";
  EXPECT_FALSE(journal.replace({"b"}));
  EXPECT_NE(journal.error().find("can't be flushed to disk"), std::string::npos) << journal.error();
  folder.crash();
  EXPECT_EQ(read(folder), Records{"a"});
}

TEST(Journal, FullDiskIsReportedAndKeepsEarlierRecords) {
  FaultyFolder folder;
  NewJournal journal(folder);
  ASSERT_TRUE(journal.append({"a"}));
  folder.free_bytes = 30;
  EXPECT_FALSE(journal.append({std::string(100, 'b')}));
  EXPECT_NE(journal.error().find("No space"), std::string::npos) << journal.error();
  EXPECT_EQ(read(folder), Records{"a"});
}

TEST(Journal, EveryFlippedBitIsDetectedAndRepairedFromTheOtherCopy) {
  const Records written{"first", "second record", "3"};
  FaultyFolder folder;
  {
    NewJournal journal(folder);
    for (const std::string& record : written) ASSERT_TRUE(journal.append({record}));
  }
  const std::size_t size = folder.size("log");
  for (std::size_t byte = 0; byte < size; ++byte) {
    folder.flip_bit("log", byte, static_cast<unsigned>(byte % 8));
    std::size_t repaired = 0;
    ASSERT_EQ(read(folder, nullptr, nullptr, &repaired), written) << byte;
    ASSERT_EQ(repaired, 1U) << byte;
    ASSERT_EQ(read(folder, nullptr, nullptr, &repaired), written) << byte;
    ASSERT_EQ(repaired, 0U) << "the first open must have rewritten the damaged copy";
  }
}

TEST(Journal, DamageToBothCopiesIsReportedAndNoRecordIsUsed) {
  FaultyFolder folder;
  {
    NewJournal journal(folder);
    ASSERT_TRUE(journal.append({"first", "second"}));
  }
  folder.flip_bit("log", 21, 0);
  folder.flip_bit("log", 46, 0);
  bool opened = true;
  std::string error;
  EXPECT_EQ(read(folder, &opened, &error).size(), 0U);
  EXPECT_FALSE(opened);
  EXPECT_NE(error.find("record 0 at byte 0 is damaged in both copies"), std::string::npos) << error;
}

TEST(Journal, DurableRecordsSurviveEveryCrash) {
  for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
    FaultyFolder folder(seed);
    std::mt19937_64 random(seed);
    folder.short_writes = random() % 2 == 0;
    Records durable;
    Records possibly_durable;  // records of a failed or interrupted append, which may be on disk
    for (int restart = 0; restart < 4; ++restart) {
      Journal journal(folder, "log", kMaxRecordBytes);
      Records records;
      ASSERT_TRUE(journal.open(records)) << "seed " << seed << ": " << journal.error();
      ASSERT_GE(records.size(), durable.size()) << "seed " << seed;
      ASSERT_TRUE(std::equal(durable.begin(), durable.end(), records.begin())) << "seed " << seed;
      for (std::size_t i = durable.size(); i < records.size(); ++i)
        ASSERT_EQ(records[i], possibly_durable.at(i - durable.size())) << "seed " << seed;
      durable = records;
      possibly_durable.clear();
      for (int operation = 0; operation < 6; ++operation) {
        Records batch;
        for (std::size_t i = 0, count = 1 + random() % 3; i < count; ++i)
          batch.push_back(std::string(random() % 200, static_cast<char>('a' + random() % 26)));
        if (random() % 8 == 0) folder.fail_syncs = 1;
        if (random() % 8 == 0) folder.next_write_error = ENOSPC;
        if (random() % 5 == 0) {
          Records all = durable;
          all.insert(all.end(), batch.begin(), batch.end());
          if (journal.replace(all)) {
            durable = all;
            continue;
          }
        } else if (journal.append(batch)) {
          durable.insert(durable.end(), batch.begin(), batch.end());
          continue;
        }
        possibly_durable = batch;
        break;
      }
      folder.fail_syncs = folder.next_write_error = 0;
      folder.crash();
    }
  }
}

TEST(Journal, SystemFolderIsLockedByOneProcessAndStoresRecords) {
  std::string path = "/tmp/edge_proxy-journal-XXXXXX";
  ASSERT_NE(mkdtemp(path.data()), nullptr);
  {
    storage::SystemFolder folder(path), second(path);
    ASSERT_EQ(folder.lock(), 0);
    EXPECT_NE(second.lock(), 0);
    Journal journal(folder, "log", kMaxRecordBytes);
    Records records;
    ASSERT_TRUE(journal.open(records));
    ASSERT_TRUE(journal.append({"a"}));
    ASSERT_TRUE(journal.append({"b"}));
    ASSERT_TRUE(journal.replace({"c"}));
    ASSERT_TRUE(journal.append({"d"}));
    Journal reopened(folder, "log", kMaxRecordBytes);
    ASSERT_TRUE(reopened.open(records));
    EXPECT_EQ(records, (Records{"c", "d"}));
  }
  std::filesystem::remove_all(path);
}

}  // namespace
}  // namespace edge_proxy::test
