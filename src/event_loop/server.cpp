// SPDX-License-Identifier: MIT
#include "event_loop/server.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <utility>
#include <vector>

#include "event_loop/address.h"
#include "proxy/resource_limits.h"

namespace edge_proxy::event_loop {

Server::Server(const config::Config& config, std::function<config::Config()> reload)
    : reload_(std::move(reload)),
      state_(config, clock_.now()),
      loop_(g_main_loop_new(nullptr, FALSE)),
      overrides_file_(config.overrides_path,
                      {.now = [this] { return clock_.now(); },
                       .on_stored = [this](proxy::OverridesStored stored) { handle(std::move(stored)); },
                       .log = [this](const std::string& line) { perform(proxy::LogLine{line}); }}),
      acceptor_(config, {.poll_connections = [this] { poll(); },
                         .on_accepted = [this](AcceptedSocket accepted) { on_accepted(std::move(accepted)); },
                         .on_descriptors_exhausted = [this] { handle(proxy::DescriptorsExhausted{}); },
                         .log = [this](const std::string& line) { perform(proxy::LogLine{line}); }}),
      max_read_ahead_bytes_(proxy::max_read_ahead_bytes(config.memory_bytes)) {
  acknowledgement_poll_source_ = call_every<&Server::report_reading_clients>(
      std::chrono::duration_cast<std::chrono::milliseconds>(proxy::kAcknowledgementPollInterval), this);
  poll_source_ = watch_readable<&Server::poll>(poller_.descriptor(), this);
  timer_ = Timer::create<&Server::on_timer>(this);
  terminate_source_ = watch_signal<&Server::on_shutdown_signal>(SIGTERM, this);
  interrupt_source_ = watch_signal<&Server::on_shutdown_signal>(SIGINT, this);
  if (config.membership) start_membership(config);
  if (config.policy) {
    consensus_ = std::make_unique<ConsensusThread>(
        *config.policy, config.seed, [this](proxy::ConsensusOutput output) { handle(std::move(output)); });
  }
  hangup_source_ = watch_signal<&Server::reload>(SIGHUP, this);
}

Server::~Server() = default;

void Server::start_membership(const config::Config& config) {
  membership_sockets_ = std::make_unique<MembershipSockets>(
      *config.membership, proxy::max_member_stream_bytes(config.memory_bytes),
      MembershipSockets::Callbacks{
          .ready =
              [this](membership::Identity identity) { handle(proxy::MembershipReady{std::move(identity)}); },
          .input = [this](membership::Input input) { handle(proxy::MembershipInput{std::move(input)}); },
          .log = [this](const std::string& line) { perform(proxy::LogLine{line}); }});
}

void Server::run() {
  overrides_file_.load();
  handle(proxy::LoopTimerExpired{});  // performs the effects of the startup
  perform(proxy::LogLine{"listening"});
  g_main_loop_run(loop_.get());
}

// ---- Inputs ----

void Server::handle(const proxy::Input& input) {
  dispatch(input);
  while (handle_next_pending()) {
  }
  quit_if_idle();
}

/// Returns false if nothing is pending.
bool Server::handle_next_pending() {
  if (!pending_inputs_.empty()) {
    const proxy::Input pending = std::move(pending_inputs_.front());
    pending_inputs_.pop_front();
    dispatch(pending);
    return true;
  }
  if (!connections_to_drain_.empty()) {
    const proxy::ConnectionId id = connections_to_drain_.front();
    connections_to_drain_.pop_front();
    drain_and_close(id);
    return true;
  }
  if (!pending_connects_.empty()) {
    const proxy::Connect pending = std::move(pending_connects_.front());
    pending_connects_.pop_front();
    connect(pending, OnDescriptorExhaustion::fail);
    return true;
  }
  return false;
}

void Server::dispatch(const proxy::Input& input) {
  std::vector<proxy::Effect> effects = proxy::reduce(state_, clock_.now(), input);
  for (proxy::Effect& effect : effects) {
    std::visit([this](auto& alternative) { perform(alternative); }, effect);
  }
}

void Server::quit_if_idle() {
  if (!acceptor_.is_listening_for_clients() && connections_.empty()) g_main_loop_quit(loop_.get());
}

void Server::on_timer() {
  poll();  // input that has arrived is handled before due timers
  handle(proxy::LoopTimerExpired{});
}

void Server::on_shutdown_signal() { handle(proxy::ShutdownRequested{}); }

void Server::reload() {
  proxy::Input input;
  try {
    proxy::Reloaded reloaded{reload_()};
    max_read_ahead_bytes_ = proxy::max_read_ahead_bytes(reloaded.config.memory_bytes);
    input = std::move(reloaded);
  } catch (const std::exception& error) {
    input = proxy::ReloadFailed{error.what()};
  }
  handle(input);
}

/// A client that reads slowly frees room in the socket in large steps only, some of them seconds apart. Its
/// acknowledgements show earlier that it goes on reading.
void Server::report_reading_clients() {
  std::vector<proxy::ConnectionId> reading;
  for (const auto& [id, connection] : connections_) {
    if (connection->is_accepted() && connection->has_output() && connection->take_acknowledgement()) {
      reading.push_back(id);
    }
  }
  for (const proxy::ConnectionId id : reading) handle(proxy::WriteProgressed{id, 0});
}

// ---- Connections ----

Connection* Server::find_connection(proxy::ConnectionId id) {
  const auto found = connections_.find(id);
  return found == connections_.end() ? nullptr : found->second.get();
}

void Server::on_accepted(AcceptedSocket accepted) {
  const bool is_operator = accepted.listener == proxy::kAdminListener;
  add_connection(accepted.id, std::move(accepted.socket), Connection::Origin::accepted,
                 is_operator ? Connection::Priority::high : Connection::Priority::normal);
  handle(proxy::Accepted{accepted.id, accepted.listener});
}

void Server::add_connection(proxy::ConnectionId id, ObjectPtr<GSocket> socket, Connection::Origin origin,
                            Connection::Priority priority) {
  auto connection = std::make_unique<Connection>(id, std::move(socket), origin, priority);
  connection->update_watch(poller_);
  connections_[id] = std::move(connection);
}

void Server::connect(const proxy::Connect& request, OnDescriptorExhaustion on_descriptor_exhaustion) {
  const auto address = parse_address(request.address);
  Error error;
  ObjectPtr<GSocket> socket = address ? new_tcp_socket(address.get(), error) : nullptr;
  // Clients may hold all descriptors. One of their connections is closed and the connect is retried once, so
  // that connections to caches and discovery can still be opened.
  if (!socket && on_descriptor_exhaustion == OnDescriptorExhaustion::retry_later &&
      error.matches(G_IO_ERROR_TOO_MANY_OPEN_FILES)) {
    pending_inputs_.emplace_back(proxy::DescriptorsExhausted{});
    pending_connects_.push_back(request);
    return;
  }
  const bool has_begun = socket && (g_socket_connect(socket.get(), address.get(), nullptr, error.out_ptr()) ||
                                    error.matches(G_IO_ERROR_PENDING));
  if (!has_begun) {
    pending_inputs_.emplace_back(proxy::ConnectFailed{request.connection});
    return;
  }
  add_connection(request.connection, std::move(socket), Connection::Origin::connecting,
                 request.high_priority ? Connection::Priority::high : Connection::Priority::normal);
}

void Server::poll() {
  using ServiceOrder = Connection::ServiceOrder;
  Poller::EventBuffer buffer;
  const std::span<const epoll_event> events = poller_.ready_events(buffer);
  // Discovery and operators are served first, so that invalidations and drains that have arrived are applied
  // before requests are sent. Disconnected clients follow, so that caches do no work for them.
  for (const auto order :
       {ServiceOrder::high_priority, ServiceOrder::client_disconnected, ServiceOrder::normal}) {
    for (const epoll_event& event : events) {
      Connection* connection = find_connection(event.data.u64);  // an earlier event may have closed it
      if (connection == nullptr || connection->service_order(event.events) != order) continue;
      if (order == ServiceOrder::client_disconnected) {
        remove_client(*connection);
      } else {
        serve(*connection, event.events);
      }
    }
  }
}

/// A client that has shut down its sending direction or closed its connection counts as disconnected: its
/// unread input is not served. The input is discarded before the close, because closing a socket with unread
/// input sends a reset, and the client would lose answers that it has not read yet.
void Server::remove_client(Connection& connection) {
  const proxy::ConnectionId id = connection.id();
  const bool was_reset = connection.discard_input() == Connection::ReadStatus::failed;
  connections_.erase(id);
  handle(proxy::ConnectionClosed{id, was_reset});
}

void Server::serve(Connection& connection, std::uint32_t ready_events) {
  if (connection.is_connecting()) {
    finish_connecting(connection);
    return;
  }
  const proxy::ConnectionId id = connection.id();  // the reducer may close the connection below
  if ((ready_events & EPOLLOUT) != 0) {
    flush(connection);
    if (!pending_inputs_.empty()) handle(proxy::LoopTimerExpired{});
  }
  if ((ready_events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0) read(id);
}

void Server::finish_connecting(Connection& connection) {
  const proxy::ConnectionId id = connection.id();
  if (connection.finish_connecting()) {
    connection.update_watch(poller_);
    handle(proxy::Connected{id});
  } else {
    connections_.erase(id);
    handle(proxy::ConnectFailed{id});
  }
}

void Server::read(proxy::ConnectionId id) {
  using ReadStatus = Connection::ReadStatus;
  std::array<char, proxy::kReadChunkBytes> buffer;
  for (int i = 0; i < proxy::kReadsPerTurn; ++i) {
    Connection* connection = find_connection(id);
    if (connection == nullptr) return;
    // Accepted connections are read in small amounts per iteration, so that a fast sender doesn't starve
    // others.
    const bool is_accepted = connection->is_accepted();
    const std::size_t limit = is_accepted ? proxy::kClientReadBytes : buffer.size();
    const auto result = connection->read(std::span(buffer).first(limit));
    if (result.status == ReadStatus::would_block) return;
    if (result.status != ReadStatus::data) {
      connections_.erase(id);
      handle(proxy::ConnectionClosed{id, result.status == ReadStatus::failed});
      return;
    }
    if (is_accepted && !connection->is_operator() && result.bytes.size() == limit) {
      const ReadStatus ahead = read_ahead(*connection);
      if (ahead == ReadStatus::end_of_stream || ahead == ReadStatus::failed) {
        remove_client(*connection);
        return;
      }
    }
    handle(proxy::BytesArrived{id, result.bytes});
    if (is_accepted || result.bytes.size() < limit) return;
  }
}

/// A client may have closed behind more input than the system holds, whose requests must not be sent on. Its
/// end is seen only once the input before it has been read. What is read ahead is fed in later turns.
Connection::ReadStatus Server::read_ahead(Connection& connection) {
  const Connection::ReadStatus status =
      connection.read_ahead(connection.read_ahead_bytes() + read_ahead_room());
  if (connection.read_ahead_bytes() > 0) {
    with_read_ahead_.insert(connection.id());
    if (!read_ahead_source_) {
      read_ahead_source_ = call_every<&Server::serve_read_ahead>(std::chrono::milliseconds(0), this);
    }
  }
  return status;
}

std::size_t Server::read_ahead_room() const {
  std::size_t used = 0;
  for (const proxy::ConnectionId id : with_read_ahead_) {
    const auto found = connections_.find(id);
    if (found != connections_.end()) used += found->second->read_ahead_bytes();
  }
  return max_read_ahead_bytes_ - std::min(used, max_read_ahead_bytes_);
}

void Server::serve_read_ahead() {
  poll();  // disconnected clients and discovery come first
  for (const proxy::ConnectionId id : std::set(with_read_ahead_)) {
    const Connection* connection = find_connection(id);
    if (connection != nullptr && connection->read_ahead_bytes() > 0) read(id);
    connection = find_connection(id);
    if (connection == nullptr || connection->read_ahead_bytes() == 0) with_read_ahead_.erase(id);
  }
  if (with_read_ahead_.empty()) read_ahead_source_.reset();
}

/// Feeds the input that has arrived on the connection, then its close.
void Server::drain_and_close(proxy::ConnectionId id) {
  std::array<char, proxy::kReadChunkBytes> buffer;
  for (std::size_t bytes = 0; bytes < proxy::kMaxDrainBytes; bytes += buffer.size()) {
    Connection* connection = find_connection(id);
    if (connection == nullptr) return;
    const auto result = connection->read(buffer);
    if (result.status != Connection::ReadStatus::data) break;
    dispatch(proxy::BytesArrived{id, result.bytes});
  }
  if (connections_.erase(id) > 0) dispatch(proxy::ConnectionClosed{id});
}

void Server::flush(Connection& connection) {
  const Connection::FlushResult result = connection.flush();
  const std::size_t written_bytes = connection.take_written_bytes();
  if (result == Connection::FlushResult::drained) {
    pending_inputs_.emplace_back(proxy::WriteDrained{connection.id()});
  } else if (written_bytes > 0 && connection.is_accepted()) {
    pending_inputs_.emplace_back(proxy::WriteProgressed{connection.id(), written_bytes});
  }
  connection.update_watch(poller_);
}

// ---- Effects ----

void Server::perform(proxy::Write& write) {
  Connection* connection = find_connection(write.connection);
  if (connection == nullptr || !connection->is_writable()) return;
  // If the buffer was not empty, the bytes are written when the socket becomes writable.
  if (connection->append(std::move(write.bytes))) flush(*connection);
}

void Server::perform(const proxy::Connect& request) { connect(request, OnDescriptorExhaustion::retry_later); }

void Server::perform(const proxy::ShutdownWrite& shutdown) {
  if (Connection* connection = find_connection(shutdown.connection)) connection->shutdown_write();
}

void Server::perform(const proxy::StopReading& stop) {
  Connection* connection = find_connection(stop.connection);
  if (connection == nullptr) return;
  connection->stop_reading();
  connection->update_watch(poller_);
}

void Server::perform(const proxy::Close& close) {
  if (close.connection == proxy::kListener) {
    close_client_listener();
    return;
  }
  if (close.connection == proxy::kAdminListener) {
    acceptor_.close_admin_listener();
    return;
  }
  connections_.erase(close.connection);
  std::erase_if(pending_connects_,
                [&close](const proxy::Connect& pending) { return pending.connection == close.connection; });
}

void Server::close_client_listener() {
  acceptor_.close_client_listener([this](AcceptedSocket accepted) {
    add_connection(accepted.id, std::move(accepted.socket), Connection::Origin::accepted,
                   Connection::Priority::normal);
    pending_inputs_.emplace_back(proxy::Accepted{accepted.id, accepted.listener});
  });
  pending_inputs_.emplace_back(proxy::ListenerClosed{});
}

void Server::perform(const proxy::DrainAndClose& close) { connections_to_drain_.push_back(close.connection); }

void Server::perform(const proxy::ArmTimer& timer) {
  timer_.arm(std::max<Time>(Time{0}, timer.at - clock_.now()));
}

void Server::perform(const proxy::LogLine& log) {
  constexpr int kMicrosecondsPerSecond = 1'000'000;
  constexpr int kMicrosecondsPerMillisecond = 1000;
  constexpr std::size_t kMaxTimestampBytes = 48;
  const auto now = static_cast<long long>(clock_.now().count());
  std::array<char, kMaxTimestampBytes> timestamp{};
  std::snprintf(timestamp.data(), timestamp.size(), "%lld.%03lld ", now / kMicrosecondsPerSecond,
                now / kMicrosecondsPerMillisecond % 1000);
  log_.write_line(timestamp.data() + log.line);
}

void Server::perform(const proxy::StopAccepting&) { acceptor_.prefer_next_process(); }

void Server::perform(const proxy::StoreOverride& store) { overrides_file_.store(store.call, store.change); }

void Server::perform(const proxy::MergeOverrides& merge) { overrides_file_.merge(merge.overrides); }

void Server::perform(const proxy::MembershipEffect& effect) {
  if (!membership_sockets_) return;
  std::visit([this](const auto& alternative) { membership_sockets_->perform(alternative); }, effect.effect);
}

void Server::perform(const proxy::PersistMembership& persist) {
  if (membership_sockets_) membership_sockets_->persist(persist.self, persist.members);
}

void Server::perform(const proxy::StopMembership&) {
  if (membership_sockets_) membership_sockets_->stop();
}

void Server::perform(const proxy::ConsensusEffect& effect) {
  if (consensus_) consensus_->perform(effect);
}

}  // namespace edge_proxy::event_loop
