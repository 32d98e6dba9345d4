// SPDX-License-Identifier: MIT
/// @file
/// The peers' reducer inside the edge's: its effects among the edge's, its timers among the edge's, what
/// operators ask of it. Without the section `peers` it holds nothing and does nothing.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "edge/context.h"
#include "peers/reducer.h"

namespace dahliahall::edge {

class Peering {
 public:
  Peering(Context& context, const config::Config& config);

  void ready(const peers::Identity& identity);
  void take(const peers::Input& input);
  void run_due();
  [[nodiscard]] std::optional<Time> next_due() const;
  /// The part of its even share that this proxy may use from now on, where that has changed: to be asked for
  /// before anything is decided, since a lease may have run out meanwhile. `here`: proxies of this location,
  /// by the settings.
  std::optional<QuotaChanged> changed_portion(int fleet, int here);
  void stop();
  /// Bytes of another part, for that member.
  void carry(const std::string& to, std::string bytes) { take(peers::SendUserMessage{to, std::move(bytes)}); }
  /// What members had carried here since.
  std::vector<peers::UserMessageReceived> carried() { return std::exchange(carried_, {}); }
  /// Another one where members() may have changed.
  [[nodiscard]] std::uint64_t revision() const { return state_ ? state_->view().revision() : 0; }
  /// The registered members, and whether each is reached.
  [[nodiscard]] std::map<std::string, bool> members() const;

  /// JSON for operators; none where there are no peers, or not yet.
  [[nodiscard]] std::optional<std::string> report() const;
  /// As the edge's own figures are written; empty where there are no peers.
  [[nodiscard]] std::string figures() const;
  enum class Forgot { done, unknown, reached };
  Forgot forget(const std::string& name);

 private:
  void pass_on(peers::SendDatagram& e) { context_.effects.emplace_back(PeersEffect{std::move(e)}); }
  void pass_on(peers::SendFullSync& e) { context_.effects.emplace_back(PeersEffect{std::move(e)}); }
  void pass_on(peers::FullSyncReply& e) { context_.effects.emplace_back(PeersEffect{std::move(e)}); }
  void pass_on(peers::LogLine& e) { context_.log(std::move(e.line)); }
  void pass_on(peers::PersistState&) { keep_ = true; }
  void pass_on(peers::UserMessageReceived& e) { carried_.push_back(std::move(e)); }

  Context& context_;
  std::optional<peers::Settings> settings_;
  std::uint64_t seed_;
  std::optional<peers::State> state_;
  std::vector<peers::UserMessageReceived> carried_;
  bool keep_ = false;
  bool told_ = false;
  bool asked_anew_ = true;  // the shares may have changed
  limits::QuotaLeases::QuotaShare part_;
};

}  // namespace dahliahall::edge
