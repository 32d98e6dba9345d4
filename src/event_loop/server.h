// SPDX-License-Identifier: MIT
/// @file
/// Coordinates the event loop: feeds inputs to the reducer and performs its effects.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "event_loop/acceptor.h"
#include "event_loop/clock.h"
#include "event_loop/connection.h"
#include "event_loop/consensus_thread.h"
#include "event_loop/glib_ptr.h"
#include "event_loop/glib_source.h"
#include "event_loop/log_writer.h"
#include "event_loop/membership_sockets.h"
#include "event_loop/overrides_file.h"
#include "event_loop/poller.h"
#include "proxy/reducer.h"

namespace edge_proxy::event_loop {

/// Runs the reducer on the main loop. Every input goes through handle(); the effects of one input are
/// performed in order before the next input is fed.
class Server {
 public:
  /// `reload` reads the configuration again on SIGHUP; it throws if the configuration is invalid.
  /// Throws std::runtime_error if an address can't be listened on.
  Server(const config::Config& config, std::function<config::Config()> reload);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Serves until SIGTERM or SIGINT, then returns once every accepted request is answered.
  void run();

 private:
  /// How a connect effect is handled if no descriptor is available.
  enum class OnDescriptorExhaustion { retry_later, fail };

  // Inputs
  void handle(const proxy::Input& input);
  void dispatch(const proxy::Input& input);
  bool handle_next_pending();
  void quit_if_idle();
  void on_timer();
  void on_shutdown_signal();
  void reload();
  void report_reading_clients();
  void start_membership(const config::Config& config);

  // Connections
  void on_accepted(AcceptedSocket accepted);
  void add_connection(proxy::ConnectionId id, ObjectPtr<GSocket> socket, Connection::Origin origin,
                      Connection::Priority priority);
  void connect(const proxy::Connect& request, OnDescriptorExhaustion on_descriptor_exhaustion);
  void poll();
  void serve(Connection& connection, std::uint32_t ready_events);
  void finish_connecting(Connection& connection);
  void remove_client(Connection& connection);
  void read(proxy::ConnectionId id);
  [[nodiscard]] Connection::ReadStatus read_ahead(Connection& connection);
  void serve_read_ahead();
  [[nodiscard]] std::size_t read_ahead_room() const;
  void drain_and_close(proxy::ConnectionId id);
  void flush(Connection& connection);
  Connection* find_connection(proxy::ConnectionId id);

  // Effects
  void perform(proxy::Write& write);
  void perform(const proxy::Connect& request);
  void perform(const proxy::ShutdownWrite& shutdown);
  void perform(const proxy::StopReading& stop);
  void perform(const proxy::Close& close);
  void perform(const proxy::DrainAndClose& close);
  void perform(const proxy::ArmTimer& timer);
  void perform(const proxy::LogLine& log);
  void perform(const proxy::StopAccepting& stop);
  void perform(const proxy::StoreOverride& store);
  void perform(const proxy::MergeOverrides& merge);
  void perform(const proxy::MembershipEffect& effect);
  void perform(const proxy::PersistMembership& persist);
  void perform(const proxy::StopMembership& stop);
  void perform(const proxy::ConsensusEffect& effect);
  void close_client_listener();

  LogWriter log_;
  Clock clock_;
  std::function<config::Config()> reload_;
  proxy::State state_;
  MainLoopPtr loop_;
  Poller poller_;
  OverridesFile overrides_file_;
  Acceptor acceptor_;
  Source acknowledgement_poll_source_;
  Source poll_source_;
  Source read_ahead_source_;  ///< active while input that was read ahead waits
  Timer timer_;
  Source terminate_source_;
  Source interrupt_source_;
  Source hangup_source_;
  std::unique_ptr<MembershipSockets> membership_sockets_;  ///< null unless configured
  std::unique_ptr<ConsensusThread> consensus_;             ///< null unless configured
  std::map<proxy::ConnectionId, std::unique_ptr<Connection>> connections_;
  std::size_t max_read_ahead_bytes_;
  std::set<proxy::ConnectionId> with_read_ahead_;
  // Work queued by effects; the queues are processed in this order before the next external input.
  std::deque<proxy::Input> pending_inputs_;
  std::deque<proxy::ConnectionId> connections_to_drain_;
  std::deque<proxy::Connect> pending_connects_;  ///< retried after another connection was closed
};

}  // namespace edge_proxy::event_loop
