// SPDX-License-Identifier: MIT
#include "event_loop/consensus_worker.h"

#include <charconv>
#include <chrono>
#include <iterator>
#include <utility>

namespace edge_proxy::event_loop {
namespace {

constexpr int kHttpAccepted = 202;
constexpr int kHttpConflict = 409;

consensus::Time now() {
  return std::chrono::duration_cast<consensus::Time>(std::chrono::steady_clock::now().time_since_epoch());
}

template <typename Item>
void move_to_end(std::vector<Item>& items, std::vector<Item>& to) {
  to.insert(to.end(), std::make_move_iterator(items.begin()), std::make_move_iterator(items.end()));
}

}  // namespace

ConsensusWorker::ConsensusWorker(const consensus::RaftLog::Settings& settings, storage::Journal& journal)
    : name_(settings.name), lease_(settings.lease), log_(settings, journal, now()) {}

void ConsensusWorker::open() {
  log_.open(log_output_);
  log_output_.log_lines.push_back("policy log ready id=" + std::to_string(log_.id()) +
                                  " has_log=" + (log_.is_running() ? "1" : "0"));
}

void ConsensusWorker::tick() { log_.tick(now(), log_output_); }

void ConsensusWorker::perform(const proxy::ConsensusEffect& effect) {
  std::visit([this](const auto& alternative) { perform(alternative); }, effect.effect);
}

void ConsensusWorker::perform(const consensus::AppendEntry& append) {
  log_.append(now(), append.entry, log_output_);
}

void ConsensusWorker::perform(const consensus::CheckTerm& request) {
  if (!log_.can_confirm_leadership(request.check.term)) return;
  const consensus::LeadershipCheckReply reply{request.check.term, request.check.round};
  if (request.from == name_) {
    output_.consensus_inputs.emplace_back(consensus::MessageReceived{name_, reply});
  } else {
    output_.outgoing_messages.push_back({request.from, consensus::encode(reply, lease_)});
  }
}

void ConsensusWorker::perform(const consensus::PersistLearned& learned) {
  log_.persist_learned(now(), learned, log_output_);
}

void ConsensusWorker::perform(const consensus::RaftMessage& message) {
  log_.on_message(now(), message, log_output_);
}

void ConsensusWorker::perform(const proxy::BootstrapReceived& bootstrap) {
  log_.on_message(now(), bootstrap.from, bootstrap.message, log_output_);
}

void ConsensusWorker::perform(const proxy::VoterChangeCall& call) {
  const bool is_started = call.add ? add_voter(call.name) : log_.remove_voter(call.name, log_output_);
  if (is_started) {
    output_.admin_replies.push_back({call.call, kHttpAccepted, "started: see the log and GET /v1/policy\n"});
  } else {
    output_.admin_replies.push_back(
        {call.call, kHttpConflict,
         "ask the leader (to add a voter: NAME=ID) while no other voter change is in progress\n"});
  }
}

/// Parses `NAME=ID`. An id that cannot be parsed counts as 0, which the log rejects.
bool ConsensusWorker::add_voter(const std::string& name_and_id) {
  const std::size_t separator = name_and_id.find('=');
  std::uint64_t id = 0;
  if (separator != std::string::npos) {
    const char* const end = name_and_id.data() + name_and_id.size();
    std::from_chars(name_and_id.data() + separator + 1, end, id);
  }
  return log_.add_voter(name_and_id.substr(0, separator), id, log_output_);
}

std::optional<proxy::ConsensusOutput> ConsensusWorker::take_output() {
  proxy::ConsensusOutput output = std::exchange(output_, {});
  consensus::RaftLog::Output log_output = std::exchange(log_output_, {});
  move_to_end(log_output.messages, output.outgoing_messages);
  move_to_end(log_output.inputs, output.consensus_inputs);
  move_to_end(log_output.log_lines, output.log_lines);
  auto voters = log_.voters();
  const bool voters_changed = voters != reported_voters_;
  reported_voters_ = std::move(voters);
  if (output.outgoing_messages.empty() && output.consensus_inputs.empty() && output.log_lines.empty() &&
      output.admin_replies.empty() && !voters_changed)
    return std::nullopt;
  output.voters = reported_voters_;
  output.own_raft_id = log_.id();
  return output;
}

}  // namespace edge_proxy::event_loop
