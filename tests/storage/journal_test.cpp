// SPDX-License-Identifier: MIT
// What is kept on disk, on one that fails as disks do.
#include "storage/journal.h"

#include <gtest/gtest.h>

#include <filesystem>

#include "support/faulty_folder.h"

namespace edge_proxy::test {
namespace {

using storage::Journal;
using Records = std::vector<std::string>;

constexpr std::size_t kMost = 4096;

Records read(FaultyFolder& folder, bool* good = nullptr, std::string* why = nullptr,
             std::size_t* mended = nullptr) {
  Journal journal(folder, "log", kMost);
  Records records;
  const bool opened = journal.open(records);
  if (good != nullptr) *good = opened;
  if (why != nullptr) *why = journal.error();
  if (mended != nullptr) *mended = journal.repaired_record_count();
  EXPECT_TRUE(opened || good != nullptr) << journal.error();
  return records;
}

/// A new one.
struct Begun : Journal {
  explicit Begun(FaultyFolder& folder) : Journal(folder, "log", kMost) {
    Records none;
    EXPECT_TRUE(open(none));
    EXPECT_TRUE(none.empty());
  }
};

TEST(Journal, HoldsWhatWasWrittenAndGoesOn) {
  FaultyFolder folder;
  folder.short_writes = true;
  EXPECT_EQ(read(folder), Records{});
  {
    Begun journal(folder);
    ASSERT_TRUE(journal.append({"a", ""}));
    ASSERT_TRUE(journal.append({std::string(300, 'b')}));
  }
  {
    Journal journal(folder, "log", kMost);
    Records records;
    ASSERT_TRUE(journal.open(records));
    EXPECT_EQ(records, (Records{"a", "", std::string(300, 'b')}));
    ASSERT_TRUE(journal.append({"c"}));
    EXPECT_FALSE(journal.append({std::string(kMost + 1, 'x')}));
  }
  EXPECT_EQ(read(folder).size(), 4U);
}

TEST(Journal, AFailedSyncIsAFailureForGood) {
  FaultyFolder folder;
  Begun journal(folder);
  ASSERT_TRUE(journal.append({"a"}));
  folder.fail_syncs = 1;
  EXPECT_FALSE(journal.append({"b"}));
  EXPECT_FALSE(journal.append({"b"})) << "the system says yes now, and has lost the pages";
  EXPECT_FALSE(journal.replace({"b"}));
  EXPECT_NE(journal.error().find("is not on the disk"), std::string::npos) << journal.error();
  folder.crash();
  EXPECT_EQ(read(folder), Records{"a"});
}

TEST(Journal, AFullDiskIsToldAndKeepsWhatThereWas) {
  FaultyFolder folder;
  Begun journal(folder);
  ASSERT_TRUE(journal.append({"a"}));
  folder.room = 30;
  EXPECT_FALSE(journal.append({std::string(100, 'b')}));
  EXPECT_NE(journal.error().find("No space"), std::string::npos) << journal.error();
  EXPECT_EQ(read(folder), Records{"a"});
}

TEST(Journal, EveryFlippedBitIsFoundAndMendedFromTheOtherCopy) {
  const Records written{"first", "second record", "3"};
  FaultyFolder folder;
  {
    Begun journal(folder);
    for (const std::string& record : written) ASSERT_TRUE(journal.append({record}));
  }
  const std::size_t size = folder.size("log");
  for (std::size_t byte = 0; byte < size; ++byte) {
    folder.flip("log", byte, static_cast<unsigned>(byte % 8));
    std::size_t mended = 0;
    ASSERT_EQ(read(folder, nullptr, nullptr, &mended), written) << byte;
    ASSERT_EQ(mended, 1U) << byte;
    ASSERT_EQ(read(folder, nullptr, nullptr, &mended), written) << byte;
    ASSERT_EQ(mended, 0U) << "whole again";
  }
}

TEST(Journal, DamageToBothCopiesIsNamedAndNothingIsUsed) {
  FaultyFolder folder;
  {
    Begun journal(folder);
    ASSERT_TRUE(journal.append({"first", "second"}));
  }
  folder.flip("log", 21, 0);
  folder.flip("log", 46, 0);
  bool good = true;
  std::string why;
  EXPECT_EQ(read(folder, &good, &why).size(), 0U);
  EXPECT_FALSE(good);
  EXPECT_NE(why.find("record 0 at byte 0 is damaged in both copies"), std::string::npos) << why;
}

TEST(Journal, WhatWasToldToBeDurableOutlivesEveryCrash) {
  for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
    FaultyFolder folder(seed);
    std::mt19937_64 random(seed);
    folder.short_writes = random() % 2 == 0;
    Records durable;
    Records tried;  // what an append that failed, or was cut off, may have left
    for (int life = 0; life < 4; ++life) {
      Journal journal(folder, "log", kMost);
      Records records;
      ASSERT_TRUE(journal.open(records)) << "seed " << seed << ": " << journal.error();
      ASSERT_GE(records.size(), durable.size()) << "seed " << seed;
      ASSERT_TRUE(std::equal(durable.begin(), durable.end(), records.begin())) << "seed " << seed;
      for (std::size_t i = durable.size(); i < records.size(); ++i)
        ASSERT_EQ(records[i], tried.at(i - durable.size())) << "seed " << seed;
      durable = records;
      tried.clear();
      for (int turn = 0; turn < 6; ++turn) {
        Records some;
        for (std::size_t i = 0, n = 1 + random() % 3; i < n; ++i)
          some.push_back(std::string(random() % 200, static_cast<char>('a' + random() % 26)));
        if (random() % 8 == 0) folder.fail_syncs = 1;
        if (random() % 8 == 0) folder.fail_write = ENOSPC;
        if (random() % 5 == 0) {
          Records all = durable;
          all.insert(all.end(), some.begin(), some.end());
          if (journal.replace(all)) {
            durable = all;
            continue;
          }
        } else if (journal.append(some)) {
          durable.insert(durable.end(), some.begin(), some.end());
          continue;
        }
        tried = some;
        break;
      }
      folder.fail_syncs = folder.fail_write = 0;
      folder.crash();
    }
  }
}

TEST(Journal, OnARealFolderForOneProcessAtATime) {
  std::string path = "/tmp/edge_proxy-journal-XXXXXX";
  ASSERT_NE(mkdtemp(path.data()), nullptr);
  {
    storage::SystemFolder folder(path), second(path);
    ASSERT_EQ(folder.lock(), 0);
    EXPECT_NE(second.lock(), 0);
    Journal journal(folder, "log", kMost);
    Records records;
    ASSERT_TRUE(journal.open(records));
    ASSERT_TRUE(journal.append({"a"}));
    ASSERT_TRUE(journal.append({"b"}));
    ASSERT_TRUE(journal.replace({"c"}));
    ASSERT_TRUE(journal.append({"d"}));
    Journal again(folder, "log", kMost);
    ASSERT_TRUE(again.open(records));
    EXPECT_EQ(records, (Records{"c", "d"}));
  }
  std::filesystem::remove_all(path);
}

}  // namespace
}  // namespace edge_proxy::test
