// SPDX-License-Identifier: MIT
/// @file
/// The loop, sockets, timer and signals: feeds inputs to the reducer and carries out its effects.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "event_loop/clock.h"
#include "event_loop/consensus_thread.h"
#include "event_loop/glib_ptr.h"
#include "event_loop/glib_source.h"
#include "event_loop/log_writer.h"
#include "event_loop/membership_sockets.h"
#include "event_loop/overrides_file.h"
#include "event_loop/poller.h"
#include "proxy/reducer.h"

namespace edge_proxy::event_loop {

/// Runs the reducer: feeds it inputs from sockets, timers and signals and performs its effects.
class Server {
 public:
  /// `reload` reads the configuration again, for SIGHUP; it throws where that is faulty.
  Server(const config::Config& config, std::function<config::Config()> reload);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Serves until SIGTERM or SIGINT and all that was taken is answered.
  /// Throws std::runtime_error where it can't listen.
  void run();

 private:
  struct Connection;

  ObjectPtr<GSocket> listen(const std::string& key, const std::string& address);
  void handle(const proxy::Input& input);
  void dispatch(const proxy::Input& input);
  void perform(const proxy::Write& write);
  void perform(const proxy::Connect& connect);
  void perform(const proxy::ShutdownWrite& finish);
  void perform(const proxy::Close& close);
  void perform(const proxy::DrainAndClose& close);
  void perform(const proxy::ArmTimer& timer);
  void perform(const proxy::LogLine& log);
  void perform(const proxy::StopAccepting& yield);
  void perform(const proxy::PersistOverrides& keep);
  void perform(const proxy::MembershipEffect& effect);
  void perform(const proxy::PersistMembership& keep);
  void perform(const proxy::StopMembership& stop);
  void perform(const proxy::ConsensusEffect& effect);

  void watch_clients();
  void watch_admin();
  void accept();
  void accept_admin();
  void schedule_accept_retry();
  SourceAction retry_accept();
  void on_timer();
  void on_shutdown_signal();
  bool accept_one(GSocket* listener, proxy::ConnectionId from);
  void adopt(proxy::ConnectionId id, ObjectPtr<GSocket> socket, bool is_connecting, bool high_priority);
  void watch(Connection& connection);
  void poll();
  void ready(proxy::ConnectionId id, std::uint32_t events);
  void remove_connection(proxy::ConnectionId id);
  void read(proxy::ConnectionId id);
  void drain_and_close(proxy::ConnectionId id);
  void connect(const proxy::Connect& wanted, bool may_wait);
  void flush(Connection& connection);
  void quit_if_idle();
  void reload();
  void load_overrides();

  LogWriter log_;
  Clock clock_;
  std::function<config::Config()> reload_;
  proxy::State state_;
  LoopPtr loop_;
  ObjectPtr<GSocket> listener_, admin_listener_;
  Poller poller_;
  Source accept_source_, admin_accept_source_, accept_retry_source_;
  Source overrides_poll_source_, poll_source_;
  Timer timer_;
  Source terminate_source_, interrupt_source_, hangup_source_;
  OverridesFile overrides_file_;
  std::unique_ptr<MembershipSockets> membership_sockets_;  // none unless configured
  std::unique_ptr<ConsensusThread> consensus_;             // likewise
  std::map<proxy::ConnectionId, std::unique_ptr<Connection>> connections_;
  std::deque<proxy::Input> pending_inputs_;               // inputs that effects themselves gave rise to
  std::deque<proxy::ConnectionId> connections_to_drain_;  // then these, then
  std::deque<proxy::Connect> pending_connects_;           // these, for which another connection has made room
  bool descriptors_exhausted_ = false;                    // since the last client that was accepted
  proxy::ConnectionId last_accepted_ = proxy::kBeforeFirstAccepted;
};

}  // namespace edge_proxy::event_loop
