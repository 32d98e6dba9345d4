// SPDX-License-Identifier: MIT
/// @file
/// Golden files: one of each kind that the program stores, byte by byte as it was written at the time of
/// recording (tests/golden/stored/). The same content is written again and compared, and each stored file is
/// read back: it stands for what an older version has left on a disk.
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
#include "event_loop/overrides_file.h"
#include "golden/golden_record.h"
#include "invalidation/snapshot.h"
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

std::string stored(const std::string& name) {
  const std::string bytes = read_file(std::string(GOLDEN_STORED) + "/" + name);
  EXPECT_FALSE(bytes.empty()) << "no stored file " << name;
  return bytes;
}

/// Compares what is written today with the stored file; with GOLDEN_UPDATE it is stored instead.
void expect_stored(const std::string& name, const std::string& bytes) {
  if (std::getenv("GOLDEN_UPDATE") != nullptr) write_file(std::string(GOLDEN_STORED) + "/" + name, bytes);
  EXPECT_EQ(golden::quoted(stored(name)), golden::quoted(bytes)) << name;
}

class GoldenStoredFile : public testing::Test {
 protected:
  void SetUp() override { ASSERT_NE(mkdtemp(folder_.data()), nullptr); }
  void TearDown() override { std::filesystem::remove_all(folder_); }

  /// Lets the main loop run until the file is there; it is put in place whole.
  [[nodiscard]] std::string written(const std::string& name) const {
    for (int i = 0; i < 5000 && !std::filesystem::exists(folder_ + "/" + name); ++i) {
      g_main_context_iteration(nullptr, FALSE);
      g_usleep(1000);
    }
    // What GIO has to say of the end of the write, before its file object goes.
    for (int i = 0; i < 50; ++i) {
      g_main_context_iteration(nullptr, FALSE);
      g_usleep(200);
    }
    return read_file(folder_ + "/" + name);
  }

  std::string folder_ = testing::TempDir() + "/golden-stored-XXXXXX";
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

void add_endpoints(GoldenRecord& record, const codec::EndpointUpdate& changes) {
  record.add("changes complete=" + std::string(changes.is_complete ? "yes" : "no"));
  for (const codec::ListedEndpoint& listed : changes.endpoints) {
    record.add("  endpoint id=" + golden::quoted(listed.endpoint.id) +
               " state=" + name_of_endpoint_state(listed.endpoint.state) +
               " started=" + std::to_string(listed.endpoint.started.count()) +
               " address=" + golden::quoted(listed.address));
  }
}

TEST_F(GoldenStoredFile, AdminOverrides) {
  const codec::EndpointUpdate all{
      true, {endpoint("cache-a"), endpoint("cache-b"), endpoint("cache c"), endpoint("d")}};
  proxy::EndpointDirectory writer;
  writer.apply(all, Microseconds{5'000'000});
  ASSERT_TRUE(writer.suspend("cache-b", Microseconds{1'700'000'000'000'123}));
  ASSERT_TRUE(writer.suspend("cache c", Microseconds{1'700'000'000'000'456}));
  ASSERT_TRUE(writer.suspend("d", Microseconds{7}));
  ASSERT_TRUE(writer.resume("cache c", Microseconds{1'700'000'001'000'000}));
  ASSERT_FALSE(writer.suspend("unknown", Microseconds{8}));
  std::string problem;
  event_loop::OverridesFile file(folder_ + "/overrides", [&problem](const char* why) { problem = why; });
  file.write(writer.serialized_overrides());
  expect_stored("admin_overrides", written("overrides"));
  EXPECT_EQ(problem, "");

  GoldenRecord record("stored_admin_overrides");
  write_file(folder_ + "/old", stored("admin_overrides"));
  event_loop::OverridesFile old(folder_ + "/old", [&problem](const char* why) { problem = why; });
  const std::optional<std::string> text = old.read_if_new();
  ASSERT_TRUE(text);
  EXPECT_FALSE(old.read_if_new());
  proxy::EndpointDirectory reader;
  reader.apply(all, Microseconds{5'000'000});
  add_endpoints(record, reader.load_overrides(*text));
  for (const char* id : {"cache-a", "cache-b", "cache c", "d"})
    record.add(std::string(id) + " suspended=" + (reader.is_suspended(id) ? "yes" : "no"));
  EXPECT_EQ(reader.serialized_overrides(), *text);
  // Lines that were cut off or that nobody knows are passed over.
  for (const char* damaged : {"", "out", "out 5", "out 5 ", "out x a\nin 6 b\n", "odd 5 a\nout 7 cache-a",
                              "out 9 cache-a\nin 10 cache-a\n", "out -1 cache-b\n"}) {
    proxy::EndpointDirectory other;
    other.apply(all, Microseconds{5'000'000});
    record.add("damaged " + golden::quoted(damaged));
    add_endpoints(record, other.load_overrides(damaged));
    record.add("  kept as " + golden::quoted(other.serialized_overrides()));
  }
  record.check();
}

// ---- Membership's store ----

membership::MemberUpdate member_update(const std::string& name, membership::MemberStatus state,
                                       std::uint64_t value) {
  membership::MemberUpdate update;
  update.name = name;
  update.address = "10.0.0." + number(value) + ":7000";
  update.disk_id = 0xa1b2c3d4e5f60718U + value;
  update.incarnation = (value << membership::kRefutationBits) + 2;
  update.zone = static_cast<int>(value % 3);
  update.status = state;
  update.reported_by = state == membership::MemberStatus::dead ? "n4" : "";
  return update;
}

const char* name_of_member_status(membership::MemberStatus state) {
  switch (state) {
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

void add_identity(GoldenRecord& record, const membership::Identity& identity) {
  record.add("identity disk=" + number(identity.disk_id) + " incarnation=" + number(identity.incarnation) +
             " empty_disk=" + (identity.is_new_disk ? "yes" : "no"));
  for (const membership::MemberUpdate& update : identity.known_members)
    record.add("  member name=" + golden::quoted(update.name) + " address=" + golden::quoted(update.address) +
               " disk=" + number(update.disk_id) + " incarnation=" + number(update.incarnation) +
               " zone=" + std::to_string(update.zone) + " status=" + name_of_member_status(update.status) +
               " reported_by=" + golden::quoted(update.reported_by));
}

TEST_F(GoldenStoredFile, MembershipStore) {
  std::vector<std::string> log;
  const auto add_to_log = [&log](const std::string& line) { log.push_back(line); };
  const membership::MemberUpdate self = member_update("n1", membership::MemberStatus::alive, 1);
  {
    event_loop::MembershipStore store(folder_, "n1", "west", add_to_log);
    std::vector<membership::MemberUpdate> members;
    for (std::uint64_t state = 0; state < membership::kMemberStatusCount; ++state)
      members.push_back(
          member_update("m" + number(state), static_cast<membership::MemberStatus>(state), state + 2));
    store.persist(self, std::move(members));
    expect_stored("membership_store", written("peers-n1"));
  }
  GoldenRecord record("stored_membership_store");
  write_file(folder_ + "/peers-n1", stored("membership_store"));
  {
    event_loop::MembershipStore store(folder_, "n1", "west", add_to_log);
    std::string why;
    ASSERT_TRUE(store.lock(why)) << why;
    membership::MemberUpdate fresh = self;
    fresh.disk_id = fresh.incarnation = 0;
    const auto identity = store.open(fresh, why);
    ASSERT_TRUE(identity) << why;
    add_identity(record, *identity);
    EXPECT_TRUE(log.empty());
    // Its new incarnation is on the disk before it takes part.
    expect_stored("membership_store_after_restart", read_file(folder_ + "/peers-n1"));
  }
  // One of another cluster, and a damaged one, aren't used.
  const std::string good = stored("membership_store");
  for (std::size_t at = 0; at < good.size(); at += 41) {
    std::string bad = good;
    bad[at] = static_cast<char>(bad[at] ^ 4);
    write_file(folder_ + "/peers-n1", at == 0 ? good : bad);
    event_loop::MembershipStore store(folder_, "n1", at == 0 ? "east" : "west", add_to_log);
    std::string why;
    const auto identity = store.open(self, why);
    ASSERT_TRUE(identity) << why;
    EXPECT_TRUE(identity->is_new_disk) << at;
    EXPECT_TRUE(identity->known_members.empty()) << at;
    record.add("unusable at byte " + number(at) + " incarnation=" + number(identity->incarnation));
  }
  record.check();
}

// ---- Journal ----

constexpr std::size_t kMaxRecord = 4096;

void put(FaultyFolder& folder, const std::string& name, const std::string& bytes) {
  std::unique_ptr<storage::File> file;
  std::size_t size = 0;
  ASSERT_EQ(folder.create(name, file), 0);
  ASSERT_EQ(file->write(bytes, size), 0);
  ASSERT_EQ(size, bytes.size());
}
std::string bytes_in(FaultyFolder& folder, const std::string& name) {
  std::optional<std::string> text;
  EXPECT_EQ(folder.read(name, text), 0);
  return text.value_or("");
}

TEST_F(GoldenStoredFile, Journal) {
  {
    storage::SystemFolder folder(folder_);
    ASSERT_EQ(folder.lock(), 0);
    storage::Journal journal(folder, "log", kMaxRecord);
    std::vector<std::string> records;
    ASSERT_TRUE(journal.open(records));
    ASSERT_TRUE(journal.append({"first", ""}));
    ASSERT_TRUE(journal.append({std::string("third\0\xff", 7)}));
    ASSERT_TRUE(journal.append({std::string(300, 'x')}));
  }
  expect_stored("journal", read_file(folder_ + "/log"));
  GoldenRecord record("stored_journal");
  const std::string good = stored("journal");
  const auto open = [&record](const std::string& name, const std::string& bytes) {
    FaultyFolder folder;
    put(folder, "log", bytes);
    storage::Journal journal(folder, "log", kMaxRecord);
    std::vector<std::string> records;
    const bool opened = journal.open(records);
    std::string line =
        name + " opened=" + (opened ? "yes" : "no") + " error=" + golden::quoted(journal.error()) +
        " mended=" + number(journal.repaired_record_count()) + " bytes_after=" + number(folder.size("log"));
    for (const std::string& each : records) line += " record=" + golden::quoted(each.substr(0, 20));
    record.add(line);
    return records;
  };
  for (const std::string& each : open("whole", good)) record.add("record " + golden::quoted(each));
  for (std::size_t size = 0; size < good.size(); ++size) open("first " + number(size), good.substr(0, size));
  for (std::size_t at = 0; at < good.size(); ++at) {
    std::string bad = good;
    bad[at] = static_cast<char>(bad[at] ^ 8);
    open("changed byte " + number(at), bad);
  }
  record.check();
}

// ---- Consensus: journal and snapshot of voters, of a learner ----

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
const char* name_of_change_result(consensus::ChangeResult fate) {
  switch (fate) {
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

/// Gives libraft memory of zeros: it writes 8 bytes that it never set into each entry by which a new leader
/// learns how far the log has come, and these entries go to the disk.
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

/// Three voters on disks in memory, in virtual time; messages come in the order in which they went.
class Cluster {
 public:
  static constexpr std::size_t kSize = 3;

  Cluster(unsigned snapshot_every, GoldenRecord& record) : snapshot_every_(snapshot_every), record_(record) {}

  static std::string name(std::size_t at) { return "n" + number(at); }
  void put_on_disk(std::size_t at, const std::string& bytes) { put(nodes_[at].folder, "log", bytes); }
  [[nodiscard]] std::string on_disk(std::size_t at) { return bytes_in(nodes_[at].folder, "log"); }

  void start(std::uint64_t seed) {
    for (std::size_t at = 0; at < kSize; ++at) {
      consensus::RaftLog::Settings settings;
      settings.name = name(at);
      settings.initial_voters = {name(0), name(1), name(2)};
      settings.snapshot_threshold_entries = snapshot_every_;
      settings.trailing_entries = 2;
      settings.seed = seed + at;
      Node& node = nodes_[at];
      node.journal = std::make_unique<storage::Journal>(node.folder, "log", 1U << 20U);
      node.log = std::make_unique<consensus::RaftLog>(settings, *node.journal, now_);
      consensus::RaftLog::Output out;
      EXPECT_TRUE(node.log->open(out)) << node.log->error();
      record_.add(name(at) + " opened id=" + number(node.log->id()) + " term=" + number(node.log->term()) +
                  " entries=" + number(node.log->entry_count()) +
                  " runs=" + (node.log->is_running() ? "yes" : "no"));
      take_out(at, out);
    }
  }
  void run(Microseconds span) {
    for (const Microseconds end = now_ + span; now_ < end;) {
      now_ += Microseconds{10'000};
      for (std::size_t at = 0; at < kSize; ++at) {
        consensus::RaftLog::Output out;
        nodes_[at].log->tick(now_, out);
        take_out(at, out);
      }
      for (std::size_t left = on_way_.size(); left > 0; --left) deliver();
    }
  }
  void append(std::size_t at, const consensus::Entry& entry) {
    consensus::RaftLog::Output out;
    nodes_[at].log->append(now_, entry, out);
    take_out(at, out);
  }
  [[nodiscard]] std::size_t leader() const {
    for (std::size_t at = 0; at < kSize; ++at)
      if (nodes_[at].log->is_leader() && at != isolated) return at;
    ADD_FAILURE() << "nobody leads";
    return 0;
  }

  std::size_t isolated = kSize;  ///< nothing goes from or to this one; kSize: none

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

  void take_out(std::size_t at, consensus::RaftLog::Output& out) {
    for (const auto& [to, bytes] : out.messages) on_way_.push_back({at, std::stoul(to.substr(1)), bytes});
    for (const consensus::Input& input : out.inputs) record_.add(name(at) + " " + text_of(input));
  }
  void deliver() {
    const Packet packet = std::move(on_way_.front());
    on_way_.pop_front();
    if (packet.from == isolated || packet.to == isolated) return;
    const auto decoded = consensus::decode(packet.bytes, Microseconds{5'000'000});
    ASSERT_TRUE(decoded);
    consensus::RaftLog::Output out;
    consensus::RaftLog& log = *nodes_[packet.to].log;
    if (const auto* raft = std::get_if<consensus::RaftMessage>(&*decoded)) {
      log.on_message(now_, *raft, out);
    } else {
      log.on_message(now_, name(packet.from), std::get<consensus::BootstrapMessage>(*decoded), out);
    }
    take_out(packet.to, out);
  }

  unsigned snapshot_every_;
  GoldenRecord& record_;
  Microseconds now_{1'000'000};
  std::deque<Packet> on_way_;
  std::array<Node, kSize> nodes_;
};

void add_journal_records(GoldenRecord& record, const std::string& file) {
  FaultyFolder folder;
  put(folder, "log", stored(file));
  storage::Journal journal(folder, "log", 1U << 20U);
  std::vector<std::string> records;
  EXPECT_TRUE(journal.open(records)) << journal.error();
  for (const std::string& each : records) record.add(file + " record " + golden::quoted(each));
}

/// The stored files are opened as after a restart of all three, and go on.
void restart_from(const std::string& prefix, unsigned snapshot_every, GoldenRecord& record) {
  Cluster cluster(snapshot_every, record);
  for (std::size_t at = 0; at < Cluster::kSize; ++at) {
    const std::string file = prefix + Cluster::name(at);
    add_journal_records(record, file);
    cluster.put_on_disk(at, stored(file));
  }
  cluster.start(900);
  cluster.run(std::chrono::seconds(6));
  cluster.append(cluster.leader(), {consensus::Step::propose, 0, "after", 1, "policy after", ""});
  cluster.run(std::chrono::seconds(1));
}

TEST(GoldenStored, ConsensusJournal) {
  const ZeroedRaftMemory memory;
  {
    GoldenRecord record("stored_consensus_journal_written");
    Cluster cluster(1024, record);
    cluster.start(40);
    cluster.run(std::chrono::seconds(6));
    const std::size_t first = cluster.leader();
    cluster.append(first, {consensus::Step::propose, 0, "k1", 0, std::string("policy\0 1", 9), ""});
    cluster.run(std::chrono::seconds(1));
    // Entries that no majority has are cut off again.
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
    for (std::size_t at = 0; at < Cluster::kSize; ++at)
      expect_stored("consensus_journal_" + Cluster::name(at), cluster.on_disk(at));
    record.check();
  }
  GoldenRecord record("stored_consensus_journal_read");
  restart_from("consensus_journal_", 1024, record);
  record.check();
}

TEST(GoldenStored, ConsensusSnapshot) {
  const ZeroedRaftMemory memory;
  {
    GoldenRecord record("stored_consensus_snapshot_written");
    Cluster cluster(4, record);
    cluster.start(70);
    cluster.run(std::chrono::seconds(6));
    const std::size_t behind = (cluster.leader() + 1) % Cluster::kSize;
    for (int round = 0; round < 14; ++round) {
      // One is so far behind that it gets a snapshot.
      if (round == 4) cluster.isolated = behind;
      if (round == 12) cluster.isolated = Cluster::kSize;
      cluster.append(cluster.leader(), {consensus::Step::propose, 0, "k" + std::to_string(round), 0,
                                        "policy " + std::to_string(round), ""});
      cluster.run(std::chrono::milliseconds(500));
    }
    cluster.run(std::chrono::seconds(3));
    for (std::size_t at = 0; at < Cluster::kSize; ++at)
      expect_stored("consensus_snapshot_" + Cluster::name(at), cluster.on_disk(at));
    record.check();
  }
  GoldenRecord record("stored_consensus_snapshot_read");
  restart_from("consensus_snapshot_", 4, record);
  record.check();
}

TEST(GoldenStored, ConsensusLearner) {
  const ZeroedRaftMemory memory;
  consensus::RaftLog::Settings settings;
  settings.name = "n9";
  settings.initial_voters = {"n0", "n1", "n2"};
  settings.seed = 5;
  GoldenRecord record("stored_consensus_learner");
  FaultyFolder folder;
  const auto add = [&record](const consensus::RaftLog::Output& out) {
    for (const consensus::Input& input : out.inputs) record.add(text_of(input));
  };
  {
    storage::Journal journal(folder, "log", 1U << 20U);
    consensus::RaftLog log(settings, journal, Microseconds{1'000'000});
    consensus::RaftLog::Output out;
    ASSERT_TRUE(log.open(out));
    consensus::CatchUpResponse entries{0, 5, {}};
    entries.entries.emplace_back(2, consensus::Entry{consensus::Step::propose, 0, "k1", 0, "policy 1", ""});
    entries.entries.emplace_back(3, consensus::Entry{consensus::Step::commit, 2, "", 0, "", ""});
    entries.entries.emplace_back(4, consensus::Entry{consensus::Step::activate, 2, "", 0, "", ""});
    log.persist_learned(Microseconds{2'000'000}, {entries}, out);
    add(out);
    expect_stored("consensus_learner_entries", bytes_in(folder, "log"));
    consensus::Snapshot snapshot{40, 3, "k3", "policy 3", {}, {}};
    snapshot.change.push_back({39, 4, "k4", std::string("po\0licy", 7), true});
    snapshot.outcomes.push_back({"k2", consensus::ChangeResult::aborted, 1, "reason"});
    snapshot.outcomes.push_back({"k2b", consensus::ChangeResult::rejected, 2, "other"});
    consensus::RaftLog::Output later;
    log.persist_learned(Microseconds{3'000'000}, {snapshot}, later);
    add(later);
    expect_stored("consensus_learner_snapshot", bytes_in(folder, "log"));
  }
  for (const char* file : {"consensus_learner_entries", "consensus_learner_snapshot"}) {
    add_journal_records(record, file);
    FaultyFolder old;
    put(old, "log", stored(file));
    settings.seed = 6;
    storage::Journal journal(old, "log", 1U << 20U);
    consensus::RaftLog log(settings, journal, Microseconds{1'000'000});
    consensus::RaftLog::Output out;
    ASSERT_TRUE(log.open(out)) << log.error();
    record.add(std::string(file) + " id=" + number(log.id()) + " runs=" + (log.is_running() ? "yes" : "no"));
    add(out);
    EXPECT_EQ(bytes_in(old, "log"), stored(file)) << "reading changes nothing";
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

TEST(GoldenStored, InvalidationSnapshot) {
  invalidation::SequencerState state;
  state.applied = 41;
  state.highest_seen = 57;
  const auto hold = [&state](std::uint64_t sequence, invalidation::SelectorKind kind,
                             const std::string& text) {
    invalidation::InvalidationCommand command;
    command.number = sequence;
    command.selector = {kind, text};
    command.issued_at = std::chrono::milliseconds(1'764'576'000'480 + static_cast<std::int64_t>(sequence));
    state.out_of_order[sequence] = command;
  };
  hold(43, invalidation::SelectorKind::tag, "class-4b");
  hold(44, invalidation::SelectorKind::glob, "school/*/proof-?.jpg");
  hold(50, invalidation::SelectorKind::prefix, "");
  hold(51, invalidation::SelectorKind::prefix, "a/b");
  hold(57, invalidation::SelectorKind::key, "one/key");
  expect_stored("invalidation_snapshot", invalidation::write_snapshot(state));
  invalidation::SequencerState fresh;
  expect_stored("invalidation_snapshot_empty", invalidation::write_snapshot(fresh));

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
  const std::string good = stored("invalidation_snapshot");
  read("stored", good, 100);
  read("just fits", good, 5);
  read("too many", good, 4);
  read("empty", stored("invalidation_snapshot_empty"), 0);
  read("nothing", "", 100);
  read("text behind", good + "x", 100);
  for (std::size_t size = 0; size < good.size(); size += 7)
    read("first " + number(size), good.substr(0, size), 100);
  for (std::size_t at = 0; at < good.size(); at += 3) {
    std::string bad = good;
    bad[at] = static_cast<char>(bad[at] ^ 1);
    read("changed byte " + number(at), bad, 100);
  }
  // With a right checksum but values that can't be: as a state would be written that nobody can have.
  const auto read_impossible = [&read](const std::string& name,
                                       const invalidation::SequencerState& impossible) {
    read(name, invalidation::write_snapshot(impossible), 100);
  };
  invalidation::SequencerState changed = state;
  changed.applied = 58;
  read_impossible("applied beyond seen", changed);
  changed = state;
  changed.applied = 43;
  read_impossible("applied and pending", changed);
  changed = state;
  changed.out_of_order[44].selector.text.clear();
  read_impossible("empty glob", changed);
  changed = state;
  changed.out_of_order[57].selector.text = "a*b";
  read_impossible("wildcard in a key", changed);
  changed = state;
  changed.out_of_order[57].selector.text = "a\nb";
  read_impossible("line feed in a key", changed);
  record.check();
}

}  // namespace
}  // namespace edge_proxy::test
