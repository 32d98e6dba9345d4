// SPDX-License-Identifier: MIT
#include "consensus/raft_log.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

#include "base/hash.h"
#include "consensus/log_bootstrap.h"
#include "consensus/raft_context.h"
#include "consensus/raft_node.h"
#include "consensus/voter_changes.h"

namespace edge_proxy::consensus {
namespace {

/// Derives the server id from the member's name and its disk: the same name with a different disk is a
/// different server.
std::uint64_t server_id_of(const std::string& name, std::uint64_t disk_id) {
  constexpr std::uint64_t kGoldenRatio = 0x9e3779b97f4a7c15U;
  std::uint64_t hash = fnv1a(name) ^ disk_id * kGoldenRatio;
  hash ^= hash >> 29U;
  return (hash >> 1U) | 1U;  // never 0
}

/// The result of applying a learned snapshot or learned entries.
struct LearnedUpdate {
  PolicyStateMachine state_machine;
  std::vector<Input> inputs;  // for the reducer; empty if nothing is new
};

LearnedUpdate apply_learned(PolicyStateMachine state_machine, const Snapshot& snapshot) {
  LearnedUpdate update{std::move(state_machine), {}};
  if (snapshot.index <= update.state_machine.index()) return update;
  update.state_machine = PolicyStateMachine(snapshot);
  update.inputs.emplace_back(SnapshotRestored{snapshot});
  return update;
}

LearnedUpdate apply_learned(PolicyStateMachine state_machine, const CatchUpResponse& response) {
  LearnedUpdate update{std::move(state_machine), {}};
  if (response.after_index != update.state_machine.index()) return update;
  for (const auto& [index, entry] : response.entries) {
    update.state_machine.apply(index, entry);
    update.inputs.emplace_back(EntryApplied{index, entry});
  }
  update.state_machine.advance_to(response.up_to_index);
  update.inputs.emplace_back(EntryApplied{response.up_to_index, std::nullopt});
  return update;
}

}  // namespace

struct RaftLog::Components {
  Components(const Settings& settings, storage::Journal& journal, Time now)
      : context(settings.name, settings.lease, journal, now, settings.seed),
        bootstrap(context, settings.initial_voters),
        voter_changes(context) {}

  RaftContext context;
  LogBootstrap bootstrap;
  VoterChanges voter_changes;
  std::unique_ptr<RaftNode> node;  // null: this proxy has no log
};

/// The scope of a public call: results go to `output`, and the destructor adds what is still to be reported.
class RaftLog::Call {
 public:
  Call(RaftLog& log, Output& output) : log_(log) { log_.components_->context.output = &output; }
  ~Call() {
    log_.report_progress();
    log_.components_->context.output = nullptr;
  }
  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;

 private:
  RaftLog& log_;
};

// ---- Start and end ----

RaftLog::RaftLog(Settings settings, storage::Journal& journal, Time now)
    : settings_(std::move(settings)), components_(std::make_unique<Components>(settings_, journal, now)) {}

RaftLog::~RaftLog() { close(); }

void RaftLog::close() {
  if (!components_->node) return;
  components_->node->close();
  components_->node.reset();
}

bool RaftLog::open(Output& output) {
  const Call call(*this, output);
  RaftContext& context = components_->context;
  if (!context.storage.open(context.random)) return false;
  if (const std::size_t repaired = context.storage.repaired_records(); repaired > 0)
    context.log("policy storage repaired records=" + std::to_string(repaired) +
                ": one of two copies was damaged");
  context.server_id = server_id_of(settings_.name, context.storage.disk_id());
  if (const auto& learned = context.storage.learned()) {
    context.state_machine = PolicyStateMachine(*learned);
    context.reported_index = learned->index;
    output.inputs.emplace_back(SnapshotRestored{*learned});
  }
  return !context.storage.has_log() || start();
}

int RaftLog::initialize_node() {
  components_->node = std::make_unique<RaftNode>(components_->context);
  return components_->node->initialize();
}

bool RaftLog::start() {
  int status = initialize_node();
  if (status == 0)
    status = components_->node->start({.heartbeat_ms = settings_.heartbeat_ms,
                                       .election_ms = settings_.election_ms,
                                       .snapshot_threshold_entries = settings_.snapshot_threshold_entries,
                                       .trailing_entries = settings_.trailing_entries});
  if (status == 0) return true;
  RaftContext& context = components_->context;
  if (context.error.empty()) context.error = components_->node->describe_error(status);
  context.log("policy log failed to start: " + context.error);
  return false;
}

// ---- Creation of the log ----

void RaftLog::poll_bootstrap() {
  if (components_->node || !error().empty()) return;
  pb::BootstrapMessage initial;
  *initial.mutable_initial_servers() = components_->bootstrap.poll();
  if (initial.initial_servers_size() > 0) bootstrap_log(initial);
}

/// Returns false if this proxy is not one of the servers that the log starts with, or if the start failed.
bool RaftLog::bootstrap_log(const pb::BootstrapMessage& message) {
  const auto& servers = message.initial_servers();
  const auto is_own = [this](const pb::Server& server) { return server.id() == id(); };
  if (std::none_of(servers.begin(), servers.end(), is_own)) return false;
  const auto configuration = RaftConfiguration::from_servers(servers);
  if (!configuration) return false;
  int status = initialize_node();
  if (status == 0) status = components_->node->bootstrap(*configuration);
  close();
  if (status != 0) return false;
  components_->context.log("policy log created voters=" + std::to_string(servers.size()));
  return start();
}

pb::BootstrapMessage RaftLog::bootstrap_reply() const {
  pb::BootstrapMessage reply;
  reply.set_id(id());
  reply.set_has_log(components_->node != nullptr || !error().empty());
  const RaftStorage& storage = components_->context.storage;
  if (!components_->node || storage.first_index() != 1 || storage.entries().empty()) return reply;
  // While the servers that the log started with are still its first entry, they are sent to the other initial
  // voters: one that has not started yet, and still has its disk, starts with the same servers.
  if (components_->node->configuration_index() <= 1)
    RaftConfiguration::write_servers(components_->node->configuration(), *reply.mutable_initial_servers());
  return reply;
}

void RaftLog::on_message(Time now, const std::string& from, const BootstrapMessage& message, Output& output) {
  advance_clock(now);
  pb::BootstrapMessage received;
  if (!received.ParseFromString(message.bytes)) return;
  const Call call(*this, output);
  if (received.is_request()) {
    output.messages.push_back({from, encode(bootstrap_reply(), settings_.lease)});
    return;
  }
  if (components_->node || !components_->bootstrap.is_initial_voter(from)) return;
  if (!received.has_log()) {
    components_->bootstrap.set_without_log(from, received.id());
  } else if (!bootstrap_log(received)) {
    components_->bootstrap.forget(from);
  }
}

// ---- State ----

void RaftLog::advance_clock(Time now) { components_->context.now = std::max(components_->context.now, now); }

std::uint64_t RaftLog::id() const { return components_->context.server_id; }
const std::string& RaftLog::error() const { return components_->context.error; }
std::size_t RaftLog::entry_count() const { return components_->context.storage.entries().size(); }
bool RaftLog::is_running() const { return components_->node != nullptr && error().empty(); }
bool RaftLog::is_leader() const { return is_running() && components_->node->is_leader(); }
Term RaftLog::term() const {
  return components_->node ? components_->node->term() : components_->context.storage.term();
}

std::map<std::string, std::uint64_t> RaftLog::voters() const {
  if (!components_->node) return {};
  return voters_of(components_->node->configuration());
}

std::set<std::string> RaftLog::voter_names() const {
  std::set<std::string> names;
  for (const auto& [name, id] : voters()) names.insert(name);
  return names;
}

bool RaftLog::can_confirm_leadership(Term term) const {
  if (!is_running()) return false;
  const auto current_voters = voters();
  const auto found = current_voters.find(settings_.name);
  return found != current_voters.end() && found->second == id() && components_->node->term() <= term;
}

// ---- Calls ----

void RaftLog::tick(Time now, Output& output) {
  advance_clock(now);
  const Call call(*this, output);
  poll_bootstrap();
  const Time interval = std::chrono::milliseconds(settings_.heartbeat_ms) / 2;
  if (!is_running() || components_->context.now - last_tick_ < interval) return;
  last_tick_ = components_->context.now;
  components_->node->tick();
}

void RaftLog::on_message(Time now, const RaftMessage& message, Output& output) {
  advance_clock(now);
  pb::RaftMessage received;
  if (!error().empty() || !received.ParseFromString(message.bytes)) return;
  // A message may be meant for a server that had this name with a different disk. Its votes are not valid for
  // this server.
  if (received.to() != id()) return;
  const Call call(*this, output);
  // A leader has added this proxy as a server, so it receives the log from there.
  if (!components_->node && received.has_append_entries()) start();
  if (is_running()) components_->node->receive(received);
}

void RaftLog::append(Time now, const Entry& entry, Output& output) {
  advance_clock(now);
  if (!is_leader()) return;
  const Call call(*this, output);
  components_->node->propose(encode(entry));
}

void RaftLog::persist_learned(Time now, const PersistLearned& learned, Output& output) {
  advance_clock(now);
  if (components_->node || !error().empty()) return;
  const Call call(*this, output);
  RaftContext& context = components_->context;
  LearnedUpdate update = std::visit(
      [&context](const auto& state_or_entries) {
        return apply_learned(context.state_machine, state_or_entries);
      },
      learned.learned);
  if (update.inputs.empty()) return;
  // The state is one small record that replaces the previous one, so the journal does not grow.
  if (!context.storage.store_learned(update.state_machine.snapshot())) return;
  context.state_machine = std::move(update.state_machine);
  context.reported_index = context.state_machine.index();
  for (Input& input : update.inputs) output.inputs.push_back(std::move(input));
}

bool RaftLog::add_voter(const std::string& name, std::uint64_t id, Output& output) {
  if (!is_leader() || id == 0 || !components_->voter_changes.is_empty()) return false;
  const auto current_voters = voters();
  if (const auto found = current_voters.find(name); found != current_voters.end()) {
    if (found->second == id) return true;
    // The previous server of that name has lost its disk and its votes, so it is removed first.
    components_->voter_changes.queue_removal(name, found->second);
  }
  components_->voter_changes.queue_addition(name, id);
  const Call call(*this, output);
  return true;
}

bool RaftLog::remove_voter(const std::string& name, Output& output) {
  const auto current_voters = voters();
  const auto found = current_voters.find(name);
  if (!is_leader() || !components_->voter_changes.is_empty() || found == current_voters.end() ||
      current_voters.size() < 2)
    return false;
  components_->voter_changes.queue_removal(name, found->second);
  const Call call(*this, output);
  return true;
}

// ---- The results of a call ----

/// Runs deferred callbacks, reports the role, advances voter changes, and runs the callbacks deferred by
/// these.
void RaftLog::report_progress() {
  components_->context.run_deferred_callbacks();
  report_role();
  if (is_leader()) components_->voter_changes.advance(*components_->node);
  components_->context.run_deferred_callbacks();
  if (components_->node && components_->node->last_applied() > components_->context.reported_index)
    report_applied();
}

/// Reports the last applied index, which may hold no policy entry.
void RaftLog::report_applied() {
  RaftContext& context = components_->context;
  context.reported_index = components_->node->last_applied();
  context.state_machine.advance_to(context.reported_index);
  context.output->inputs.emplace_back(EntryApplied{context.reported_index, std::nullopt});
}

void RaftLog::report_role() {
  if (!components_->node) return;
  if (!is_leader()) {
    report_follower();
  } else if (!is_leader_reported_ || reported_leader_term_ != term()) {
    request_leader_barrier();
  }
}

/// A request to libraft, which owns it until the callback runs.
struct RaftLog::Barrier {
  struct raft_barrier request {};
  RaftLog* log = nullptr;
  Term term = 0;
};

/// When the barrier of this term has been applied, all entries committed earlier have been applied as well.
void RaftLog::request_leader_barrier() {
  is_leader_reported_ = true;
  reported_leader_term_ = term();
  auto barrier = std::make_unique<Barrier>();
  barrier->request.data = barrier.get();
  barrier->log = this;
  barrier->term = reported_leader_term_;
  const auto on_finished = [](struct raft_barrier* request, int status) {
    const std::unique_ptr<Barrier> finished(static_cast<Barrier*>(request->data));
    if (status == 0) finished->log->on_leader_barrier(finished->term);
  };
  if (raft_barrier(components_->node->handle(), &barrier->request, on_finished) == 0) {
    static_cast<void>(barrier.release());  // on_finished deletes it
  } else {
    is_leader_reported_ = false;
  }
}

void RaftLog::on_leader_barrier(Term barrier_term) {
  RaftContext& context = components_->context;
  if (!is_leader() || term() != barrier_term || context.output == nullptr) return;
  report_applied();
  context.output->inputs.emplace_back(BecameLeader{barrier_term, voter_names()});
  reported_leader_ = settings_.name;
  role_reported_ = true;
}

void RaftLog::report_follower() {
  const std::string leader = error().empty() ? components_->node->leader_name() : std::string();
  if (role_reported_ && !is_leader_reported_ && leader == reported_leader_) return;
  is_leader_reported_ = false;
  role_reported_ = true;
  reported_leader_ = leader;
  components_->voter_changes.clear();
  components_->context.output->inputs.emplace_back(BecameFollower{leader, error().empty()});
}

}  // namespace edge_proxy::consensus
