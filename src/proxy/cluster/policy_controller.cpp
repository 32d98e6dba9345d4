// SPDX-License-Identifier: MIT
#include "proxy/cluster/policy_controller.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include "config/fields.h"
#include "proxy/admin/http_status.h"
#include "proxy/cluster/policy_report.h"

namespace edge_proxy::proxy {
namespace {

/// Number of low bits that count requests within one incarnation.
constexpr unsigned kRequestNumberBits = 20;
/// One of this many undecodable messages is logged.
constexpr std::uint64_t kUndecodableLogInterval = 1000;

/// Parses the body of a proposal. Throws FieldError, which names the key.
consensus::ProposeCall read_proposal(ConnectionId connection, const std::string& body) {
  rapidjson::Document document;
  document.Parse<rapidjson::kParseIterativeFlag>(body.data(), body.size());
  if (document.HasParseError()) throw FieldError("field '': not JSON");
  const Fields root(document, 0);
  rapidjson::StringBuffer policy;
  rapidjson::Writer<rapidjson::StringBuffer> writer(policy);
  root.required("policy").Accept(writer);
  const std::int64_t base = root.integer("base");
  if (base < 0) root.fail("base", "should be 0 or more");
  return {.call = connection,
          .key = root.text("key"),
          .base_epoch = static_cast<consensus::Epoch>(base),
          .policy = policy.GetString()};
}

}  // namespace

PolicyController::PolicyController(Context& context, MembershipAdapter& membership,
                                   const config::Config& config)
    : context_(context), membership_(membership), startup_settings_(config.settings), seed_(config.seed) {
  if (!config.policy) return;
  settings_ = config.policy->settings;
  is_tracing_ = config.policy->trace;
  settings_->check_policy = [this](const std::string& policy) -> std::optional<std::string> {
    try {
      read_policy_terms(policy, startup_settings_);
    } catch (const FieldError& error) {
      return error.what();
    }
    return std::nullopt;
  };
}

void PolicyController::start(const membership::Identity& identity) {
  if (!settings_ || state_) return;
  state_.emplace(*settings_, identity.incarnation << kRequestNumberBits, seed_ ^ identity.disk_id,
                 context_.now);
  update_members();
  for (const consensus::Input& input : std::exchange(inputs_before_start_, {})) handle(input);
  handle(consensus::TimerExpired{});
}

void PolicyController::handle(const consensus::Input& input) {
  if (!state_) return;
  for (consensus::Effect& effect : state_->handle(context_.now, input)) {
    std::visit([this](auto& typed) { forward(typed); }, effect);
  }
}

void PolicyController::handle(const ConsensusOutput& output) {
  if (!settings_) return;
  for (const std::string& line : output.log_lines) context_.log(line);
  for (const auto& [to, bytes] : output.outgoing_messages) membership_.send_user_message(to, bytes);
  voters_ = output.voters;
  raft_id_ = output.own_raft_id;
  for (const auto& [connection, status, body] : output.admin_replies) reply(connection, status, body);
  if (!state_) {
    inputs_before_start_.insert(inputs_before_start_.end(), output.consensus_inputs.begin(),
                                output.consensus_inputs.end());
    return;
  }
  for (const consensus::Input& input : output.consensus_inputs) handle(input);
}

void PolicyController::on_user_message(const membership::UserMessageReceived& received) {
  if (!state_) return;
  bool lease_settings_differ = false;
  auto decoded = consensus::decode(received.payload, settings_->lease, &lease_settings_differ);
  if (!decoded) {
    log_undecodable_message(received.from, lease_settings_differ);
    return;
  }
  if (auto* message = std::get_if<consensus::Message>(&*decoded)) {
    handle(consensus::MessageReceived{received.from, std::move(*message)});
  } else if (auto* raft_message = std::get_if<consensus::RaftMessage>(&*decoded)) {
    add_effect(std::move(*raft_message));
  } else {
    add_effect(BootstrapReceived{received.from, std::get<consensus::BootstrapMessage>(*decoded)});
  }
}

/// Logs only a fraction of the messages, since a member may send undecodable ones continuously.
void PolicyController::log_undecodable_message(const std::string& from, bool lease_settings_differ) {
  if (undecodable_messages_++ % kUndecodableLogInterval != 0) return;
  context_.log("policy message rejected from=" + from +
               (lease_settings_differ ? " lease settings differ: all peers of a cluster need the same"
                                      : " malformed"));
}

/// Skips unchanged members, so that the cost per request does not grow with the number of members.
void PolicyController::update_members() {
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

void PolicyController::forward(consensus::SendMessage& effect) {
  membership_.send_user_message(effect.to, consensus::encode(effect.message, settings_->lease));
}

// ---- Epochs ----

void PolicyController::forward(consensus::EpochChanged& effect) {
  epochs_.change(effect.epoch, lease_expires_at(), context_.now);
  // After a new lease on the same epoch the router already has the terms.
  if (effect.epoch && applied_epoch_ != effect.epoch) apply_terms(effect);
}

/// Each proxy checks a policy during its preparation, but one that was down at that time parses it here for
/// the first time, and it may fail.
void PolicyController::apply_terms(const consensus::EpochChanged& change) {
  try {
    changed_terms_ = read_policy_terms(change.policy, startup_settings_);
    applied_epoch_ = change.epoch;
  } catch (const FieldError& error) {
    context_.log("policy cannot be applied, requests are rejected: " + std::string(error.what()));
    epochs_.clear_current();
  }
}

std::optional<consensus::Epoch> PolicyController::epoch() const {
  if (!state_ || !epochs_.current()) return std::nullopt;
  const auto leased = state_->decision_epoch(context_.now);
  return leased == epochs_.current() ? leased : std::nullopt;
}

bool PolicyController::can_attempt(consensus::Epoch accepted_under) const {
  if (!is_enabled() || epoch() == accepted_under) return true;
  return epochs_.can_attempt(accepted_under, lease_expires_at(), context_.now);
}

// ---- Admin calls ----

void PolicyController::propose(ConnectionId connection, const std::string& body) {
  if (!is_enabled()) {
    reply_not_configured(connection);
    return;
  }
  if (!state_) {
    reply(connection, kHttpServiceUnavailable, "not ready\n");
    return;
  }
  try {
    handle(read_proposal(connection, body));
  } catch (const FieldError& error) {
    reply(connection, kHttpBadRequest, std::string(error.what()) + "\n");
  }
}

void PolicyController::abort(ConnectionId connection) {
  if (state_) {
    handle(consensus::AbortCall{connection});
  } else {
    reply_not_configured(connection);
  }
}

void PolicyController::change_voter(ConnectionId connection, const std::string& name, bool add) {
  if (state_) {
    add_effect(VoterChangeCall{connection, name, add});
  } else {
    reply_not_configured(connection);
  }
}

void PolicyController::reply_not_configured(ConnectionId connection) {
  reply(connection, kHttpNotFound, "no policy is configured\n");
}

std::optional<std::string> PolicyController::report() const {
  if (!state_) return std::nullopt;
  return policy_report(
      *state_, {.decision_epoch = epoch(), .raft_id = raft_id_, .voters = voters_, .now = context_.now});
}

std::vector<Metric> PolicyController::metrics() const {
  if (!state_) return {};
  return policy_metrics(*state_, epoch().has_value(), rejected_);
}

}  // namespace edge_proxy::proxy
