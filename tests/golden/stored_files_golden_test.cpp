// SPDX-License-Identifier: MIT
/// @file
/// Golden files: tests/golden/stored/ has one file of each kind that the program stores, with the bytes that
/// were written at the time of recording. The tests write the same content again and compare the bytes. They
/// also read each stored file, which represents a file that an older version left on the disk.
extern "C" {
#include <raft.h>
}

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "consensus/raft_log.h"
#include "event_loop/membership_store.h"
#include "event_loop/overrides_store.h"
#include "golden/golden_record.h"
#include "invalidation/snapshot.h"
#include "proxy/resource_limits.h"
#include "proxy/upstream/endpoint_directory.h"
#include "storage/folder.h"
#include "storage/journal.h"
#include "support/faulty_folder.h"

namespace edge_proxy::test {
namespace {

using golden::GoldenRecord;
using Microseconds = std::chrono::microseconds;

// ---- Files ----

std::string read_file(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}
void write_file(const std::string& path, const std::string& bytes) {
  std::ofstream file(path, std::ios::binary);
  file << bytes;
  ASSERT_TRUE(file.good()) << path;
}

std::string stored_file(const std::string& name) {
  const std::string bytes = read_file(std::string(GOLDEN_STORED) + "/" + name);
  EXPECT_FALSE(bytes.empty()) << "no stored file " << name;
  return bytes;
}

/// Compares `bytes` with the stored file. With GOLDEN_UPDATE, `bytes` replace the stored file first.
void expect_stored(const std::string& name, const std::string& bytes) {
  if (std::getenv("GOLDEN_UPDATE") != nullptr) write_file(std::string(GOLDEN_STORED) + "/" + name, bytes);
  EXPECT_EQ(golden::quoted(stored_file(name)), golden::quoted(bytes)) << name;
}

class GoldenStoredFile : public testing::Test {
 protected:
  void SetUp() override { ASSERT_NE(mkdtemp(directory_.data()), nullptr); }
  void TearDown() override { std::filesystem::remove_all(directory_); }

  /// Runs the main loop until the file exists. The file appears with its full content.
  [[nodiscard]] std::string wait_for_file(const std::string& name) const {
    for (int i = 0; i < 5000 && !std::filesystem::exists(directory_ + "/" + name); ++i) {
      g_main_context_iteration(nullptr, FALSE);
      g_usleep(1000);
    }
    // GIO reports the end of the write only now. The report must arrive before the file object is destroyed.
    for (int i = 0; i < 50; ++i) {
      g_main_context_iteration(nullptr, FALSE);
      g_usleep(200);
    }
    return read_file(directory_ + "/" + name);
  }

  std::string directory_ = testing::TempDir() + "/golden-stored-XXXXXX";
};

std::string number(std::uint64_t value) { return std::to_string(value); }

// ---- Admin overrides ----

codec::ListedEndpoint endpoint(const std::string& id) {
  codec::ListedEndpoint listed;
  listed.endpoint.id = id;
  listed.endpoint.started = Microseconds{1'000'000};
  listed.address = "10.0.0.1:80";
  return listed;
}

const char* name_of_endpoint_state(EndpointState state) {
  switch (state) {
    case EndpointState::running:
      return "running";
    case EndpointState::draining:
      return "draining";
    case EndpointState::removed:
      return "gone";
  }
  return "?";
}

void record_endpoints(GoldenRecord& record, const codec::EndpointUpdate& changes) {
  record.add("changes complete=" + std::string(changes.is_complete ? "yes" : "no"));
  for (const codec::ListedEndpoint& listed : changes.endpoints) {
    record.add("  endpoint id=" + golden::quoted(listed.endpoint.id) +
               " state=" + name_of_endpoint_state(listed.endpoint.state) +
               " started=" + std::to_string(listed.endpoint.started.count()) +
               " address=" + golden::quoted(listed.address));
  }
}

TEST_F(GoldenStoredFile, AdminOverridesMatchStoredFile) {
  using proxy::OverrideAction;
  event_loop::OverridesStore store(
      std::make_unique<storage::SystemSharedFile>(directory_ + "/overrides", proxy::kMaxOverridesFileBytes));
  event_loop::PendingOverrides calls;
  const auto add_call = [&calls](OverrideAction action, const std::string& id, Microseconds at) {
    calls.push_back(std::make_shared<event_loop::PendingOverride>(1, proxy::OverrideChange{action, id, at}));
  };
  add_call(OverrideAction::suspend, "cache-b", Microseconds{1'700'000'000'000'123});
  add_call(OverrideAction::suspend, "cache c", Microseconds{1'700'000'000'000'456});
  add_call(OverrideAction::suspend, "d", Microseconds{7});
  add_call(OverrideAction::resume, "cache c", Microseconds{1'700'000'001'000'000});
  proxy::OverrideTable policy;
  policy.note_policy_resume("cache-a", Microseconds{1'700'000'002'000'000});
  store.merge(policy);
  const event_loop::OverridesUpdate update = store.update(calls, Microseconds{1'700'000'002'000'000});
  EXPECT_EQ(update.replies.size(), 4U);
  expect_stored("admin_overrides_checked", read_file(directory_ + "/overrides"));
}

TEST_F(GoldenStoredFile, AdminOverridesAreReadFromStoredFiles) {
  const codec::EndpointUpdate all{
      true, {endpoint("cache-a"), endpoint("cache-b"), endpoint("cache c"), endpoint("d")}};
  GoldenRecord record("stored_admin_overrides");
  const auto read = [&](std::string_view text) {
    const proxy::StoredOverrides stored = proxy::StoredOverrides::parse(text);
    proxy::EndpointDirectory reader;
    reader.apply(all, Microseconds{5'000'000});
    record_endpoints(record, reader.merge_overrides(stored.table));
    for (const char* id : {"cache-a", "cache-b", "cache c", "d"})
      record.add(std::string(id) + " suspended=" + (reader.overrides().is_suspended(id) ? "yes" : "no"));
    record.add("  form=" + std::to_string(static_cast<int>(stored.form)) + " kept as " +
               golden::quoted(reader.overrides().serialize()));
  };
  // The first file was written by the version before the line `check`.
  for (const char* name : {"admin_overrides", "admin_overrides_checked"}) {
    record.add(name);
    read(stored_file(name));
  }
  // Truncated and unknown lines are ignored.
  for (const char* damaged : {"", "out", "out 5", "out 5 ", "out x a\nin 6 b\n", "odd 5 a\nout 7 cache-a",
                              "out 9 cache-a\nin 10 cache-a\n", "out -1 cache-b\n"}) {
    record.add("damaged " + golden::quoted(damaged));
    read(damaged);
  }
  record.check();
}

// ---- Membership store ----

membership::MemberUpdate member_update(const std::string& name, membership::MemberStatus status,
                                       std::uint64_t value) {
  membership::MemberUpdate update;
  update.name = name;
  update.address = "10.0.0." + number(value) + ":7000";
  update.disk_id = 0xa1b2c3d4e5f60718U + value;
  update.incarnation = (value << membership::kRefutationBits) + 2;
  update.zone = static_cast<int>(value % 3);
  update.status = status;
  update.reported_by = status == membership::MemberStatus::dead ? "n4" : "";
  return update;
}

const char* name_of_member_status(membership::MemberStatus status) {
  switch (status) {
    case membership::MemberStatus::alive:
      return "alive";
    case membership::MemberStatus::suspect:
      return "suspect";
    case membership::MemberStatus::dead:
      return "dead";
    case membership::MemberStatus::left:
      return "left";
    case membership::MemberStatus::forgotten:
      return "forgotten";
    case membership::MemberStatus::disputed:
      return "disputed";
  }
  return "?";
}

void record_identity(GoldenRecord& record, const membership::Identity& identity) {
  record.add("identity disk=" + number(identity.disk_id) + " incarnation=" + number(identity.incarnation) +
             " empty_disk=" + (identity.is_new_disk ? "yes" : "no"));
  for (const membership::MemberUpdate& update : identity.known_members)
    record.add("  member name=" + golden::quoted(update.name) + " address=" + golden::quoted(update.address) +
               " disk=" + number(update.disk_id) + " incarnation=" + number(update.incarnation) +
               " zone=" + std::to_string(update.zone) + " status=" + name_of_member_status(update.status) +
               " reported_by=" + golden::quoted(update.reported_by));
}

TEST_F(GoldenStoredFile, MembershipStoreMatchesStoredFile) {
  std::vector<std::string> log;
  const auto add_to_log = [&log](const std::string& line) { log.push_back(line); };
  const membership::MemberUpdate self = member_update("n1", membership::MemberStatus::alive, 1);
  {
    event_loop::MembershipStore store(directory_, "n1", "west", add_to_log);
    std::vector<membership::MemberUpdate> members;
    for (std::uint64_t status = 0; status < membership::kMemberStatusCount; ++status)
      members.push_back(
          member_update("m" + number(status), static_cast<membership::MemberStatus>(status), status + 2));
    store.persist(self, std::move(members));
    expect_stored("membership_store", wait_for_file("peers-n1"));
  }
  GoldenRecord record("stored_membership_store");
  write_file(directory_ + "/peers-n1", stored_file("membership_store"));
  {
    event_loop::MembershipStore store(directory_, "n1", "west", add_to_log);
    std::string error;
    ASSERT_TRUE(store.lock(error)) << error;
    membership::MemberUpdate restarted = self;
    restarted.disk_id = restarted.incarnation = 0;
    const auto identity = store.open(restarted, error);
    ASSERT_TRUE(identity) << error;
    record_identity(record, *identity);
    EXPECT_TRUE(log.empty());
    // The new incarnation is on the disk before the member joins the cluster.
    expect_stored("membership_store_after_restart", read_file(directory_ + "/peers-n1"));
  }
  // A file of another cluster and a damaged file are not used.
  const std::string intact = stored_file("membership_store");
  for (std::size_t index = 0; index < intact.size(); index += 41) {
    std::string damaged = intact;
    damaged[index] = static_cast<char>(damaged[index] ^ 4);
    write_file(directory_ + "/peers-n1", index == 0 ? intact : damaged);
    event_loop::MembershipStore store(directory_, "n1", index == 0 ? "east" : "west", add_to_log);
    std::string error;
    const auto identity = store.open(self, error);
    ASSERT_TRUE(identity) << error;
    EXPECT_TRUE(identity->is_new_disk) << index;
    EXPECT_TRUE(identity->known_members.empty()) << index;
    record.add("unusable at byte " + number(index) + " incarnation=" + number(identity->incarnation));
  }
  record.check();
}

// ---- Journal ----

constexpr std::size_t kMaxRecordBytes = 4096;

void create_file(FaultyFolder& folder, const std::string& name, const std::string& bytes) {
  std::unique_ptr<storage::File> file;
  std::size_t size = 0;
  ASSERT_EQ(folder.create(name, file), 0);
  ASSERT_EQ(file->write(bytes, size), 0);
  ASSERT_EQ(size, bytes.size());
}
std::string file_bytes(FaultyFolder& folder, const std::string& name) {
  std::optional<std::string> text;
  EXPECT_EQ(folder.read(name, text), 0);
  return text.value_or("");
}

TEST_F(GoldenStoredFile, JournalMatchesStoredFile) {
  {
    storage::SystemFolder folder(directory_);
    ASSERT_EQ(folder.lock(), 0);
    storage::Journal journal(folder, "log", kMaxRecordBytes);
    std::vector<std::string> records;
    ASSERT_TRUE(journal.open(records));
    ASSERT_TRUE(journal.append({"first", ""}));
    ASSERT_TRUE(journal.append({std::string("third\0\xff", 7)}));
    ASSERT_TRUE(journal.append({std::string(300, 'x')}));
  }
  expect_stored("journal", read_file(directory_ + "/log"));
  GoldenRecord record("stored_journal");
  const std::string intact = stored_file("journal");
  const auto open = [&record](const std::string& name, const std::string& bytes) {
    FaultyFolder folder;
    create_file(folder, "log", bytes);
    storage::Journal journal(folder, "log", kMaxRecordBytes);
    std::vector<std::string> records;
    const bool opened = journal.open(records);
    std::string line =
        name + " opened=" + (opened ? "yes" : "no") + " error=" + golden::quoted(journal.error()) +
        " mended=" + number(journal.repaired_record_count()) + " bytes_after=" + number(folder.size("log"));
    for (const std::string& entry : records) line += " record=" + golden::quoted(entry.substr(0, 20));
    record.add(line);
    return records;
  };
  for (const std::string& entry : open("whole", intact)) record.add("record " + golden::quoted(entry));
  for (std::size_t size = 0; size < intact.size(); ++size)
    open("first " + number(size), intact.substr(0, size));
  for (std::size_t index = 0; index < intact.size(); ++index) {
    std::string damaged = intact;
    damaged[index] = static_cast<char>(damaged[index] ^ 8);
    open("changed byte " + number(index), damaged);
  }
  record.check();
}

// ---- Consensus: journals and snapshots of voters and of a learner ----

const char* name_of_step(consensus::Step step) {
  switch (step) {
    case consensus::Step::propose:
      return "propose";
    case consensus::Step::commit:
      return "commit";
    case consensus::Step::activate:
      return "activate";
    case consensus::Step::abort:
      return "abort";
  }
  return "?";
}
const char* name_of_change_result(consensus::ChangeResult result) {
  switch (result) {
    case consensus::ChangeResult::active:
      return "active";
    case consensus::ChangeResult::aborted:
      return "aborted";
    case consensus::ChangeResult::rejected:
      return "rejected";
  }
  return "?";
}

std::string text_of(const consensus::Entry& entry) {
  return std::string("step=") + name_of_step(entry.step) + " change=" + number(entry.change) +
         " key=" + golden::quoted(entry.key) + " base_epoch=" + number(entry.base_epoch) +
         " policy=" + golden::quoted(entry.policy) + " reason=" + golden::quoted(entry.reason);
}
std::string text_of(const consensus::Snapshot& snapshot) {
  std::string text = "log_index=" + number(snapshot.index) + " epoch=" + number(snapshot.epoch) +
                     " key=" + golden::quoted(snapshot.key) + " policy=" + golden::quoted(snapshot.policy);
  for (const consensus::Change& change : snapshot.change)
    text += " change=" + number(change.id) + " change_epoch=" + number(change.epoch) +
            " change_key=" + golden::quoted(change.key) + " change_policy=" + golden::quoted(change.policy) +
            " committed=" + (change.committed ? "yes" : "no");
  for (const consensus::ChangeOutcome& outcome : snapshot.outcomes)
    text += " outcome_key=" + golden::quoted(outcome.key) +
            " result=" + name_of_change_result(outcome.result) + " outcome_epoch=" + number(outcome.epoch) +
            " reason=" + golden::quoted(outcome.reason);
  return text;
}

std::string text_of(const std::set<std::string>& names) {
  std::string text;
  for (const std::string& name : names) text += " " + name;
  return text;
}

std::string text_of(const consensus::Input& input) {
  if (const auto* applied = std::get_if<consensus::EntryApplied>(&input))
    return "applied log_index=" + number(applied->index) + " " +
           (applied->entry ? text_of(*applied->entry) : "no entry");
  if (const auto* restored = std::get_if<consensus::SnapshotRestored>(&input))
    return "restored " + text_of(restored->snapshot);
  if (const auto* leader = std::get_if<consensus::BecameLeader>(&input))
    return "became_leader term=" + number(leader->term) + " voters" + text_of(leader->voters);
  if (const auto* follower = std::get_if<consensus::BecameFollower>(&input))
    return "became_follower leader=" + golden::quoted(follower->leader) +
           " voter=" + (follower->is_voter ? "yes" : "no");
  if (const auto* voters = std::get_if<consensus::VotersChanged>(&input))
    return "voters" + text_of(voters->names);
  return "another input";
}

/// Makes libraft allocate zeroed memory. libraft writes 8 uninitialized bytes into each barrier entry, by
/// which a new leader learns the commit index, and these entries are stored on the disk.
class ZeroedRaftMemory {
 public:
  ZeroedRaftMemory() {
    heap_.malloc = [](void*, std::size_t size) { return std::calloc(1, size); };
    heap_.free = [](void*, void* block) { std::free(block); };
    heap_.calloc = [](void*, std::size_t count, std::size_t size) { return std::calloc(count, size); };
    heap_.realloc = [](void*, void* block, std::size_t size) { return std::realloc(block, size); };
    heap_.aligned_alloc = [](void*, std::size_t alignment, std::size_t size) {
      return std::aligned_alloc(alignment, size);
    };
    heap_.aligned_free = [](void*, std::size_t, void* block) { std::free(block); };
    raft_heap_set(&heap_);
  }
  ~ZeroedRaftMemory() { raft_heap_set_default(); }
  ZeroedRaftMemory(const ZeroedRaftMemory&) = delete;
  ZeroedRaftMemory& operator=(const ZeroedRaftMemory&) = delete;

 private:
  raft_heap heap_{};
};

/// Three voters with in-memory disks in virtual time. Messages arrive in the order in which they were sent.
class Cluster {
 public:
  static constexpr std::size_t kSize = 3;

  Cluster(unsigned snapshot_every, GoldenRecord& record) : snapshot_every_(snapshot_every), record_(record) {}

  static std::string name(std::size_t index) { return "n" + number(index); }
  void write_journal(std::size_t index, const std::string& bytes) {
    create_file(nodes_[index].folder, "log", bytes);
  }
  [[nodiscard]] std::string journal_bytes(std::size_t index) {
    return file_bytes(nodes_[index].folder, "log");
  }

  void start(std::uint64_t seed) {
    for (std::size_t index = 0; index < kSize; ++index) {
      consensus::RaftLog::Settings settings;
      settings.name = name(index);
      settings.initial_voters = {name(0), name(1), name(2)};
      settings.snapshot_threshold_entries = snapshot_every_;
      settings.trailing_entries = 2;
      settings.seed = seed + index;
      Node& node = nodes_[index];
      node.journal = std::make_unique<storage::Journal>(node.folder, "log", 1U << 20U);
      node.log = std::make_unique<consensus::RaftLog>(settings, *node.journal, now_);
      consensus::RaftLog::Output output;
      EXPECT_TRUE(node.log->open(output)) << node.log->error();
      record_.add(name(index) + " opened id=" + number(node.log->id()) + " term=" + number(node.log->term()) +
                  " entries=" + number(node.log->entry_count()) +
                  " runs=" + (node.log->is_running() ? "yes" : "no"));
      handle_output(index, output);
    }
  }
  void run(Microseconds span) {
    for (const Microseconds end = now_ + span; now_ < end;) {
      now_ += Microseconds{10'000};
      for (std::size_t index = 0; index < kSize; ++index) {
        consensus::RaftLog::Output output;
        nodes_[index].log->tick(now_, output);
        handle_output(index, output);
      }
      for (std::size_t left = in_flight_.size(); left > 0; --left) deliver();
    }
  }
  void append(std::size_t index, const consensus::Entry& entry) {
    consensus::RaftLog::Output output;
    nodes_[index].log->append(now_, entry, output);
    handle_output(index, output);
  }
  [[nodiscard]] std::size_t leader() const {
    for (std::size_t index = 0; index < kSize; ++index)
      if (nodes_[index].log->is_leader() && index != isolated) return index;
    ADD_FAILURE() << "nobody leads";
    return 0;
  }

  std::size_t isolated = kSize;  ///< messages from and to this voter are dropped; kSize: none

 private:
  struct Node {
    FaultyFolder folder;
    std::unique_ptr<storage::Journal> journal;
    std::unique_ptr<consensus::RaftLog> log;
  };
  struct Packet {
    std::size_t from = 0, to = 0;
    std::string bytes;
  };

  void handle_output(std::size_t index, consensus::RaftLog::Output& output) {
    for (const auto& [to, bytes] : output.messages)
      in_flight_.push_back({index, std::stoul(to.substr(1)), bytes});
    for (const consensus::Input& input : output.inputs) record_.add(name(index) + " " + text_of(input));
  }
  void deliver() {
    const Packet packet = std::move(in_flight_.front());
    in_flight_.pop_front();
    if (packet.from == isolated || packet.to == isolated) return;
    const auto decoded = consensus::decode(packet.bytes, Microseconds{5'000'000});
    ASSERT_TRUE(decoded);
    consensus::RaftLog::Output output;
    consensus::RaftLog& log = *nodes_[packet.to].log;
    if (const auto* raft = std::get_if<consensus::RaftMessage>(&*decoded)) {
      log.on_message(now_, *raft, output);
    } else {
      log.on_message(now_, name(packet.from), std::get<consensus::BootstrapMessage>(*decoded), output);
    }
    handle_output(packet.to, output);
  }

  unsigned snapshot_every_;
  GoldenRecord& record_;
  Microseconds now_{1'000'000};
  std::deque<Packet> in_flight_;
  std::array<Node, kSize> nodes_;
};

void record_journal_entries(GoldenRecord& record, const std::string& file) {
  FaultyFolder folder;
  create_file(folder, "log", stored_file(file));
  storage::Journal journal(folder, "log", 1U << 20U);
  std::vector<std::string> records;
  EXPECT_TRUE(journal.open(records)) << journal.error();
  for (const std::string& entry : records) record.add(file + " record " + golden::quoted(entry));
}

/// Opens the stored files as after a restart of all three voters and lets the voters continue.
void restart_from(const std::string& prefix, unsigned snapshot_every, GoldenRecord& record) {
  Cluster cluster(snapshot_every, record);
  for (std::size_t index = 0; index < Cluster::kSize; ++index) {
    const std::string file = prefix + Cluster::name(index);
    record_journal_entries(record, file);
    cluster.write_journal(index, stored_file(file));
  }
  cluster.start(900);
  cluster.run(std::chrono::seconds(6));
  cluster.append(cluster.leader(), {consensus::Step::propose, 0, "after", 1, "policy after", ""});
  cluster.run(std::chrono::seconds(1));
}

TEST(GoldenStored, ConsensusJournalsMatchStoredFiles) {
  const ZeroedRaftMemory memory;
  {
    GoldenRecord record("stored_consensus_journal_written");
    Cluster cluster(1024, record);
    cluster.start(40);
    cluster.run(std::chrono::seconds(6));
    const std::size_t first = cluster.leader();
    cluster.append(first, {consensus::Step::propose, 0, "k1", 0, std::string("policy\0 1", 9), ""});
    cluster.run(std::chrono::seconds(1));
    // Entries that no majority has stored are truncated.
    cluster.isolated = first;
    cluster.append(first, {consensus::Step::propose, 0, "lost", 0, "lost", ""});
    cluster.append(first, {consensus::Step::abort, 2, "", 0, "", "lost"});
    cluster.run(std::chrono::seconds(6));
    cluster.append(cluster.leader(), {consensus::Step::commit, 2, "", 0, "", ""});
    cluster.run(std::chrono::seconds(1));
    cluster.isolated = Cluster::kSize;
    cluster.run(std::chrono::seconds(3));
    cluster.append(cluster.leader(), {consensus::Step::activate, 2, "", 0, "", ""});
    cluster.append(cluster.leader(), {consensus::Step::abort, 2, "", 0, "", "too late"});
    cluster.run(std::chrono::seconds(1));
    for (std::size_t index = 0; index < Cluster::kSize; ++index)
      expect_stored("consensus_journal_" + Cluster::name(index), cluster.journal_bytes(index));
    record.check();
  }
  GoldenRecord record("stored_consensus_journal_read");
  restart_from("consensus_journal_", 1024, record);
  record.check();
}

TEST(GoldenStored, ConsensusSnapshotsMatchStoredFiles) {
  const ZeroedRaftMemory memory;
  {
    GoldenRecord record("stored_consensus_snapshot_written");
    Cluster cluster(4, record);
    cluster.start(70);
    cluster.run(std::chrono::seconds(6));
    const std::size_t behind = (cluster.leader() + 1) % Cluster::kSize;
    for (int round = 0; round < 14; ++round) {
      // One voter falls so far behind that it receives a snapshot.
      if (round == 4) cluster.isolated = behind;
      if (round == 12) cluster.isolated = Cluster::kSize;
      cluster.append(cluster.leader(), {consensus::Step::propose, 0, "k" + std::to_string(round), 0,
                                        "policy " + std::to_string(round), ""});
      cluster.run(std::chrono::milliseconds(500));
    }
    cluster.run(std::chrono::seconds(3));
    for (std::size_t index = 0; index < Cluster::kSize; ++index)
      expect_stored("consensus_snapshot_" + Cluster::name(index), cluster.journal_bytes(index));
    record.check();
  }
  GoldenRecord record("stored_consensus_snapshot_read");
  restart_from("consensus_snapshot_", 4, record);
  record.check();
}

TEST(GoldenStored, ConsensusLearnerMatchesStoredFiles) {
  const ZeroedRaftMemory memory;
  consensus::RaftLog::Settings settings;
  settings.name = "n9";
  settings.initial_voters = {"n0", "n1", "n2"};
  settings.seed = 5;
  GoldenRecord record("stored_consensus_learner");
  FaultyFolder folder;
  const auto record_output = [&record](const consensus::RaftLog::Output& output) {
    for (const consensus::Input& input : output.inputs) record.add(text_of(input));
  };
  {
    storage::Journal journal(folder, "log", 1U << 20U);
    consensus::RaftLog log(settings, journal, Microseconds{1'000'000});
    consensus::RaftLog::Output output;
    ASSERT_TRUE(log.open(output));
    consensus::CatchUpResponse entries{0, 5, {}};
    entries.entries.emplace_back(2, consensus::Entry{consensus::Step::propose, 0, "k1", 0, "policy 1", ""});
    entries.entries.emplace_back(3, consensus::Entry{consensus::Step::commit, 2, "", 0, "", ""});
    entries.entries.emplace_back(4, consensus::Entry{consensus::Step::activate, 2, "", 0, "", ""});
    log.persist_learned(Microseconds{2'000'000}, {entries}, output);
    record_output(output);
    expect_stored("consensus_learner_entries", file_bytes(folder, "log"));
    consensus::Snapshot snapshot{40, 3, "k3", "policy 3", {}, {}};
    snapshot.change.push_back({39, 4, "k4", std::string("po\0licy", 7), true});
    snapshot.outcomes.push_back({"k2", consensus::ChangeResult::aborted, 1, "reason"});
    snapshot.outcomes.push_back({"k2b", consensus::ChangeResult::rejected, 2, "other"});
    consensus::RaftLog::Output second_output;
    log.persist_learned(Microseconds{3'000'000}, {snapshot}, second_output);
    record_output(second_output);
    expect_stored("consensus_learner_snapshot", file_bytes(folder, "log"));
  }
  for (const char* file : {"consensus_learner_entries", "consensus_learner_snapshot"}) {
    record_journal_entries(record, file);
    FaultyFolder old;
    create_file(old, "log", stored_file(file));
    settings.seed = 6;
    storage::Journal journal(old, "log", 1U << 20U);
    consensus::RaftLog log(settings, journal, Microseconds{1'000'000});
    consensus::RaftLog::Output output;
    ASSERT_TRUE(log.open(output)) << log.error();
    record.add(std::string(file) + " id=" + number(log.id()) + " runs=" + (log.is_running() ? "yes" : "no"));
    record_output(output);
    EXPECT_EQ(file_bytes(old, "log"), stored_file(file)) << "reading changes nothing";
  }
  record.check();
}

// ---- Invalidations ----

const char* name_of_selector_kind(invalidation::SelectorKind kind) {
  switch (kind) {
    case invalidation::SelectorKind::key:
      return "key";
    case invalidation::SelectorKind::tag:
      return "tag";
    case invalidation::SelectorKind::prefix:
      return "prefix";
    case invalidation::SelectorKind::glob:
      return "glob";
  }
  return "?";
}

TEST(GoldenStored, InvalidationSnapshotsMatchStoredFiles) {
  invalidation::SequencerState state;
  state.applied = 41;
  state.highest_seen = 57;
  const auto add_pending = [&state](std::uint64_t sequence, invalidation::SelectorKind kind,
                                    const std::string& text) {
    invalidation::InvalidationCommand command;
    command.number = sequence;
    command.selector = {kind, text};
    command.issued_at = std::chrono::milliseconds(1'764'576'000'480 + static_cast<std::int64_t>(sequence));
    state.out_of_order[sequence] = command;
  };
  add_pending(43, invalidation::SelectorKind::tag, "class-4b");
  add_pending(44, invalidation::SelectorKind::glob, "school/*/proof-?.jpg");
  add_pending(50, invalidation::SelectorKind::prefix, "");
  add_pending(51, invalidation::SelectorKind::prefix, "a/b");
  add_pending(57, invalidation::SelectorKind::key, "one/key");
  expect_stored("invalidation_snapshot", invalidation::write_snapshot(state));
  invalidation::SequencerState empty_state;
  expect_stored("invalidation_snapshot_empty", invalidation::write_snapshot(empty_state));

  GoldenRecord record("stored_invalidation_snapshot");
  const auto read = [&record](const std::string& name, const std::string& text, std::size_t max_pending) {
    const auto result = invalidation::read_snapshot(text, max_pending);
    if (const auto* error = std::get_if<invalidation::SnapshotError>(&result)) {
      record.add(name + " error " + golden::quoted(error->message));
      return;
    }
    const auto& found = std::get<invalidation::SequencerState>(result);
    record.add(name + " applied=" + number(found.applied) + " highest_seen=" + number(found.highest_seen) +
               " max_pending=" + number(found.max_out_of_order) +
               " requested=" + (found.gap_requested ? "yes" : "no"));
    for (const auto& [sequence, command] : found.out_of_order)
      record.add("  pending " + number(sequence) + " sequence=" + number(command.number) +
                 " kind=" + name_of_selector_kind(command.selector.kind) +
                 " text=" + golden::quoted(command.selector.text) +
                 " issued_ms=" + std::to_string(command.issued_at.count()));
  };
  const std::string intact = stored_file("invalidation_snapshot");
  read("stored", intact, 100);
  read("just fits", intact, 5);
  read("too many", intact, 4);
  read("empty", stored_file("invalidation_snapshot_empty"), 0);
  read("nothing", "", 100);
  read("text behind", intact + "x", 100);
  for (std::size_t size = 0; size < intact.size(); size += 7)
    read("first " + number(size), intact.substr(0, size), 100);
  for (std::size_t index = 0; index < intact.size(); index += 3) {
    std::string damaged = intact;
    damaged[index] = static_cast<char>(damaged[index] ^ 1);
    read("changed byte " + number(index), damaged, 100);
  }
  // These snapshots have a valid checksum but inconsistent values, which no running sequencer can have.
  const auto read_inconsistent = [&read](const std::string& name,
                                         const invalidation::SequencerState& inconsistent) {
    read(name, invalidation::write_snapshot(inconsistent), 100);
  };
  invalidation::SequencerState changed = state;
  changed.applied = 58;
  read_inconsistent("applied beyond seen", changed);
  changed = state;
  changed.applied = 43;
  read_inconsistent("applied and pending", changed);
  changed = state;
  changed.out_of_order[44].selector.text.clear();
  read_inconsistent("empty glob", changed);
  changed = state;
  changed.out_of_order[57].selector.text = "a*b";
  read_inconsistent("wildcard in a key", changed);
  changed = state;
  changed.out_of_order[57].selector.text = "a\nb";
  read_inconsistent("line feed in a key", changed);
  record.check();
}

}  // namespace
}  // namespace edge_proxy::test
