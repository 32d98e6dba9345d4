// SPDX-License-Identifier: MIT
#include "proxy/cluster/policy_controller.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include "config/fields.h"

namespace edge_proxy::proxy {
namespace {

constexpr unsigned kNumbersOfALife = 20;  // bits: numbers of questions within one incarnation

}  // namespace

PolicyController::PolicyController(Context& context, MembershipAdapter& peering, const config::Config& config)
    : context_(context), membership_(peering), startup_settings_(config.settings), seed_(config.seed) {
  if (!config.policy) return;
  settings_ = config.policy->settings;
  tracing_ = config.policy->trace;
  settings_->check_policy = [this](const std::string& policy) -> std::optional<std::string> {
    try {
      read_policy_terms(policy, startup_settings_);
    } catch (const FieldError& problem) {
      return problem.what();
    }
    return std::nullopt;
  };
}

void PolicyController::start(const membership::Identity& identity) {
  if (!settings_ || state_) return;
  state_.emplace(*settings_, identity.incarnation << kNumbersOfALife, seed_ ^ identity.disk_id, context_.now);
  update_members();
  for (const consensus::Input& input : std::exchange(inputs_before_start_, {})) handle(input);
  handle(consensus::TimerExpired{});
}

void PolicyController::handle(const consensus::Input& input) {
  if (!state_) return;
  for (consensus::Effect& effect : state_->handle(context_.now, input))
    std::visit([this](auto& e) { forward(e); }, effect);
}

void PolicyController::handle(const ConsensusOutput& out) {
  if (!settings_) return;
  for (const std::string& line : out.log_lines) context_.log(line);
  for (const auto& [to, bytes] : out.messages) membership_.send_user_message(to, bytes);
  voters_ = out.voters;
  raft_id_ = out.raft_id;
  for (const auto& [connection, status, text] : out.replies) replies_.emplace_back(connection, status, text);
  if (!state_) {
    inputs_before_start_.insert(inputs_before_start_.end(), out.inputs.begin(), out.inputs.end());
    return;
  }
  for (const consensus::Input& input : out.inputs) handle(input);
}

void PolicyController::on_user_message(const membership::UserMessageReceived& carried) {
  if (!state_) return;
  bool unlike = false;
  auto decoded = consensus::decode(carried.payload, settings_->lease, &unlike);
  if (!decoded) {
    // Guards the log against one that says so again and again.
    if (lease_mismatches_++ % 1000 == 0)
      context_.log(
          "policy refused from=" + carried.from +
          (unlike ? " its leases are other than here: peers of a cluster need the same" : " malformed"));
    return;
  }
  if (auto* message = std::get_if<consensus::Message>(&*decoded)) {
    handle(consensus::MessageReceived{carried.from, std::move(*message)});
  } else if (auto* log = std::get_if<consensus::RaftMessage>(&*decoded)) {
    context_.effects.emplace_back(ConsensusEffect{std::move(*log)});
  } else {
    context_.effects.emplace_back(
        ConsensusEffect{BootstrapReceived{carried.from, std::get<consensus::BootstrapMessage>(*decoded)}});
  }
}

void PolicyController::update_members() {
  // Guards the request path against work that grows with the members.
  if (!state_ || members_revision_ == membership_.revision()) return;
  members_revision_ = membership_.revision();
  handle(consensus::MembersChanged{membership_.members()});
}

void PolicyController::run_timers() {
  if (state_ && state_->next_due() <= context_.now) handle(consensus::TimerExpired{});
}

std::optional<Time> PolicyController::next_due() const {
  if (!state_) return std::nullopt;
  return state_->next_due();
}

void PolicyController::forward(consensus::SendMessage& e) {
  membership_.send_user_message(e.to, consensus::encode(e.message, settings_->lease));
}

void PolicyController::forward(consensus::EpochChanged& e) {
  if (current_epoch_ && current_epoch_ != e.epoch) {
    previous_epoch_ = current_epoch_;
    // Guards the next epoch against a standstill: the one before ended when its lease did, not when that was
    // seen.
    const Time until = state_->lease().expires_at();
    previous_epoch_ended_at_ = until > Time{0} ? std::min(context_.now, until) : context_.now;
  }
  current_epoch_ = e.epoch;
  // The module has the terms already where a lease on the same epoch comes back.
  if (!e.epoch || applied_epoch_ == e.epoch) return;
  // It was checked before it was prepared, here as well; one that was down then learns it as it is.
  try {
    changed_terms_ = read_policy_terms(e.policy, startup_settings_);
    applied_epoch_ = e.epoch;
  } catch (const FieldError& problem) {
    context_.log("policy unusable here, nothing is decided: " + std::string(problem.what()));
    current_epoch_.reset();
  }
}

std::optional<consensus::Epoch> PolicyController::epoch() const {
  if (!state_ || !current_epoch_) return std::nullopt;
  const auto now = state_->decision_epoch(context_.now);
  return now == current_epoch_ ? now : std::nullopt;
}

bool PolicyController::can_attempt(consensus::Epoch accepted_under) const {
  if (!is_enabled() || epoch() == accepted_under) return true;
  // Its lease may have run out since anything was told.
  const bool untold = current_epoch_ == accepted_under;
  if (!untold && previous_epoch_ != accepted_under) return false;
  return context_.now - (untold ? state_->lease().expires_at() : previous_epoch_ended_at_) <
         kAttemptsAfterEpoch;
}

std::optional<PolicyTerms> PolicyController::take_changed_terms() {
  return std::exchange(changed_terms_, std::nullopt);
}

// ---- Operators ----

void PolicyController::propose(ConnectionId connection, const std::string& body) {
  if (!state_) {
    replies_.emplace_back(connection, is_enabled() ? 503 : 404,
                          is_enabled() ? "not ready\n" : "no policy is configured\n");
    return;
  }
  rapidjson::Document document;
  document.Parse<rapidjson::kParseIterativeFlag>(body.data(), body.size());
  try {
    if (document.HasParseError()) throw FieldError("field '': not JSON");
    const Fields root(document, 0);
    rapidjson::StringBuffer text;
    rapidjson::Writer<rapidjson::StringBuffer> writer(text);
    root.need("policy").Accept(writer);
    const std::int64_t base = root.integer("base");
    if (base < 0) root.fail("base", "should be 0 or more");
    handle(consensus::ProposeCall{connection, root.text("key"), static_cast<consensus::Epoch>(base),
                                  text.GetString()});
  } catch (const FieldError& problem) {
    replies_.emplace_back(connection, 400, std::string(problem.what()) + "\n");
  }
}

void PolicyController::abort(ConnectionId connection) {
  if (state_) {
    handle(consensus::AbortCall{connection});
  } else {
    replies_.emplace_back(connection, 404, "no policy is configured\n");
  }
}

void PolicyController::change_voter(ConnectionId connection, const std::string& name, bool add) {
  if (state_) {
    context_.effects.emplace_back(ConsensusEffect{VoterChangeCall{connection, name, add}});
  } else {
    replies_.emplace_back(connection, 404, "no policy is configured\n");
  }
}

std::optional<std::string> PolicyController::report() const {
  if (!state_) return std::nullopt;
  const consensus::PolicyStateMachine& at = state_->policy_state();
  rapidjson::StringBuffer text;
  rapidjson::Writer<rapidjson::StringBuffer> json(text);
  const auto put_text = [&json](const char* key, const std::string& value) {
    json.Key(key);
    json.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
  };
  json.StartObject();
  json.Key("epoch"), json.Uint64(at.epoch());
  put_text("key", at.key());
  put_text("policy", at.policy());
  json.Key("decides"), json.Bool(epoch().has_value());
  put_text("leader", state_->leader());
  json.Key("log_index"), json.Uint64(at.index());
  put_text("log_id", std::to_string(raft_id_));
  json.Key("voters"), json.StartObject();
  for (const auto& [name, id] : voters_) put_text(name.c_str(), std::to_string(id));
  json.EndObject();
  if (at.change()) {
    json.Key("change"), json.StartObject();
    put_text("key", at.change()->key);
    put_text("state", at.change()->committed ? "committed" : "proposed");
    json.Key("epoch"), json.Uint64(at.change()->epoch);
    json.EndObject();
  }
  if (state_->lease_manager()) {
    json.Key("prepared"), json.StartArray();
    for (const std::string& name : state_->lease_manager()->ready_members())
      json.String(name.data(), static_cast<rapidjson::SizeType>(name.size()));
    json.EndArray();
    json.Key("waits_for"), json.StartArray();
    for (const std::string& who :
         state_->lease_manager()->blocking_members(at, state_->members(), context_.now))
      json.String(who.data(), static_cast<rapidjson::SizeType>(who.size()));
    json.EndArray();
  }
  json.EndObject();
  return std::string(text.GetString(), text.GetSize()) + "\n";
}

std::string PolicyController::metrics() const {
  std::string text;
  if (!state_) return text;
  const auto tell = [&text](const char* name, std::uint64_t value, const char* kind) {
    text.append("svc.policy.")
        .append(name)
        .append(":")
        .append(std::to_string(value))
        .append(kind)
        .append("\n");
  };
  const consensus::Counters& c = state_->counters();
  tell("epoch", state_->policy_state().epoch(), "|g");
  tell("decides", epoch() ? 1 : 0, "|g");
  tell("leads", state_->lease_manager() ? 1 : 0, "|g");
  tell("log_index", state_->policy_state().index(), "|g");
  tell("asks", c.lease_requests, "|c");
  tell("grants", c.lease_grants, "|c");
  tell("lapses", c.lease_expiries, "|c");
  tell("refused", rejected_, "|c");
  tell("broken_promises", c.lost_leases, "|c");
  tell("changes", c.epoch_changes, "|c");
  tell("aborts", c.aborts, "|c");
  return text;
}

}  // namespace edge_proxy::proxy
