// SPDX-License-Identifier: MIT
#include "event_loop/server.h"

#include <linux/filter.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <stdexcept>

#include "event_loop/address.h"
#include "proxy/resource_limits.h"

namespace edge_proxy::event_loop {
namespace {

ObjectPtr<GSocket> new_socket(GSocketAddress* address, Error& error) {
  ObjectPtr<GSocket> socket(g_socket_new(g_socket_address_get_family(address), G_SOCKET_TYPE_STREAM,
                                         G_SOCKET_PROTOCOL_TCP, error.out_ptr()));
  if (socket) g_socket_set_blocking(socket.get(), FALSE);
  return socket;
}

/// Binds so that the next process of this edge proxy can listen at the same address while this one still
/// serves. g_socket_bind would take that option back.
bool bind_shared(GSocket* socket, GSocketAddress* address) {
  sockaddr_storage where{};
  const gssize size = g_socket_address_get_native_size(address);
  if (size < 0 || !g_socket_address_to_native(address, &where, sizeof where, nullptr)) return false;
  g_socket_set_option(socket, SOL_SOCKET, SO_REUSEADDR, 1, nullptr);
  g_socket_set_option(socket, SOL_SOCKET, SO_REUSEPORT, 1, nullptr);
  return bind(g_socket_get_fd(socket), reinterpret_cast<const sockaddr*>(&where),
              static_cast<socklen_t>(size)) == 0;
}

}  // namespace

struct Server::Connection {
  proxy::ConnectionId id = 0;
  Server* server = nullptr;
  ObjectPtr<GSocket> socket;
  std::optional<std::uint32_t> events;  ///< watched for
  bool connecting = false;
  bool client = false;
  bool first = false;
  bool finishing = false;  ///< this side's half ends once all is written
  std::string out;
  std::size_t sent = 0;
  bool deaf = false;  ///< the other side takes no more bytes; what it sent before is still read
};

Server::Server(const config::Config& config, std::function<config::Config()> reload)
    : reload_(std::move(reload)),
      state_(config, clock_.now()),
      loop_(g_main_loop_new(nullptr, FALSE)),
      overrides_file_(config.overrides_path, [this](const char* why) {
        perform(proxy::LogLine{std::string("keep failed: ") + why});
      }) {
  listener_ = listen("listen", config.listen_address);
  watch_clients();
  if (!config.admin_address.empty()) {
    admin_listener_ = listen("admin_addr", config.admin_address);
    watch_admin();
  }
  if (overrides_file_.temporary_path())
    overrides_poll_source_ = call_every<&Server::load_overrides>(
        std::chrono::duration_cast<std::chrono::milliseconds>(proxy::kOverridesPollInterval), this);
  poll_source_ = watch_readable<&Server::poll>(poller_.descriptor(), this);
  timer_ = Timer::create<&Server::on_timer>(this);
  terminate_source_ = watch_signal<&Server::on_shutdown_signal>(SIGTERM, this);
  interrupt_source_ = watch_signal<&Server::on_shutdown_signal>(SIGINT, this);
  if (config.membership) {
    membership_sockets_ = std::make_unique<MembershipSockets>(
        *config.membership,
        MembershipSockets::Callbacks{
            [this](membership::Identity identity) { handle(proxy::MembershipReady{std::move(identity)}); },
            [this](membership::Input input) { handle(proxy::MembershipInput{std::move(input)}); },
            [this](const std::string& line) { perform(proxy::LogLine{line}); }});
  }
  if (config.policy) {
    consensus_ = std::make_unique<ConsensusThread>(
        *config.policy, config.seed, [this](proxy::ConsensusOutput out) { handle(std::move(out)); });
  }
  hangup_source_ = watch_signal<&Server::reload>(SIGHUP, this);
}

Server::~Server() = default;

ObjectPtr<GSocket> Server::listen(const std::string& key, const std::string& address) {
  const auto where = address_of(address);
  const std::string field = "field '" + key + "': ";
  if (!where) throw std::runtime_error(field + "'" + address + "' is no address and port");
  Error error;
  auto listener = new_socket(where.get(), error);
  if (!listener || !bind_shared(listener.get(), where.get()))
    throw std::runtime_error(field + "can't bind " + address + ": " + g_strerror(errno));
  g_socket_set_listen_backlog(listener.get(), proxy::kListenBacklog);
  if (!g_socket_listen(listener.get(), error.out_ptr()))
    throw std::runtime_error(field + "can't listen on " + address + ": " + error.text());
  return listener;
}

/// Guards operators against waiting behind clients: their calls come first at each turn.
void Server::watch_admin() {
  admin_accept_source_ =
      watch_socket<&Server::accept_admin>(admin_listener_.get(), G_IO_IN, this, G_PRIORITY_HIGH);
}

void Server::watch_clients() {
  accept_source_ = watch_socket<&Server::accept>(listener_.get(), G_IO_IN, this);
}

void Server::run() {
  load_overrides();
  handle(proxy::TimerExpired{});  // what the start itself asks for
  perform(proxy::LogLine{"listening"});
  g_main_loop_run(loop_.get());
}

// ---- Inputs ----

void Server::handle(const proxy::Input& input) {
  dispatch(input);
  while (true) {
    if (!pending_inputs_.empty()) {
      const proxy::Input next = std::move(pending_inputs_.front());
      pending_inputs_.pop_front();
      dispatch(next);
    } else if (!connections_to_drain_.empty()) {
      const proxy::ConnectionId id = connections_to_drain_.front();
      connections_to_drain_.pop_front();
      drain_and_close(id);
    } else if (!pending_connects_.empty()) {
      const proxy::Connect again = std::move(pending_connects_.front());
      pending_connects_.pop_front();
      connect(again, false);
    } else {
      break;
    }
  }
  quit_if_idle();
}

/// What has come on the connection so far is told, then its end.
void Server::drain_and_close(proxy::ConnectionId id) {
  std::array<char, proxy::kReadChunkBytes> buffer;
  gssize size = 1;
  for (std::size_t read = 0; size > 0 && read < proxy::kMaxDrainBytes; read += buffer.size()) {
    const auto found = connections_.find(id);
    if (found == connections_.end()) return;
    size = g_socket_receive(found->second->socket.get(), buffer.data(), buffer.size(), nullptr, nullptr);
    if (size > 0)
      dispatch(proxy::BytesArrived{id, std::string_view(buffer.data(), static_cast<std::size_t>(size))});
  }
  if (connections_.erase(id) > 0) dispatch(proxy::Closed{id});
}

void Server::dispatch(const proxy::Input& input) {
  for (const proxy::Effect& effect : proxy::reduce(state_, clock_.now(), input)) {
    std::visit([this](const auto& e) { perform(e); }, effect);
  }
}

void Server::on_timer() {
  poll();  // input that has arrived goes before timers that are due
  handle(proxy::TimerExpired{});
}

void Server::on_shutdown_signal() { handle(proxy::ShutdownRequested{}); }

void Server::quit_if_idle() {
  if (!listener_ && connections_.empty()) g_main_loop_quit(loop_.get());
}

void Server::reload() {
  proxy::Input input;
  try {
    input = proxy::Reloaded{reload_()};
  } catch (const std::exception& problem) {
    input = proxy::ReloadFailed{problem.what()};
  }
  handle(input);
}

/// What another process of this edge proxy has said of members taken out by hand holds here too.
void Server::load_overrides() {
  if (const auto text = overrides_file_.read_if_new()) handle(proxy::OverridesLoaded{*text});
}

void Server::accept() {
  poll();                                                          // likewise before new clients
  for (int i = 0; i < proxy::kAcceptsPerTurn && listener_; ++i) {  // guards all others against a flood
    if (!accept_one(listener_.get(), proxy::kListener)) return;
  }
}

void Server::accept_admin() {
  for (int i = 0; i < proxy::kAcceptsPerTurn && admin_listener_; ++i) {
    if (!accept_one(admin_listener_.get(), proxy::kAdminListener)) return;
  }
}

bool Server::accept_one(GSocket* listener, proxy::ConnectionId from) {
  Error error;
  ObjectPtr<GSocket> socket(g_socket_accept(listener, nullptr, error.out_ptr()));
  if (!socket) {
    if (error.matches(G_IO_ERROR_WOULD_BLOCK)) return false;
    // Guards the clients against making room for nobody: the system looks for a descriptor first, and says
    // that there is none also where nobody waits.
    if (g_socket_condition_check(listener, G_IO_IN) == 0) return false;
    // The first time another client makes room, and the one that waits is tried again. Guards those that have
    // only just come up: what they ask is read first, so that they are not taken for idle.
    if (error.matches(G_IO_ERROR_TOO_MANY_OPEN_FILES) && !std::exchange(descriptors_exhausted_, true)) {
      poll();
      handle(proxy::DescriptorsExhausted{});
      return true;
    }
    descriptors_exhausted_ = false;
    perform(proxy::LogLine{std::string("accept failed: ") + error.text()});
    schedule_accept_retry();
    return false;
  }
  descriptors_exhausted_ = false;
  const proxy::ConnectionId id = last_accepted_ += proxy::kConnectionIdStep;
  adopt(id, std::move(socket), false, from == proxy::kAdminListener);
  handle(proxy::Accepted{id, from});
  return true;
}

/// Guards the loop and the log against a client that can't be accepted: its connection stays ready for ever.
void Server::schedule_accept_retry() {
  accept_source_.reset();
  admin_accept_source_.reset();
  accept_retry_source_ = call_every<&Server::retry_accept>(
      std::chrono::duration_cast<std::chrono::milliseconds>(proxy::kAcceptRetryDelay), this);
}

SourceAction Server::retry_accept() {
  if (listener_) watch_clients();
  if (admin_listener_) watch_admin();
  return SourceAction::remove;
}

void Server::adopt(proxy::ConnectionId id, ObjectPtr<GSocket> socket, bool is_connecting,
                   bool high_priority) {
  g_socket_set_blocking(socket.get(), FALSE);
  g_socket_set_option(socket.get(), IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
  auto connection = std::make_unique<Connection>();
  connection->id = id;
  connection->server = this;
  connection->socket = std::move(socket);
  connection->connecting = is_connecting;
  connection->client = !is_connecting;
  connection->first = high_priority;
  watch(*connection);
  connections_[id] = std::move(connection);
}

/// Brings what is watched in line with what the connection waits for.
void Server::watch(Connection& connection) {
  // What a client says is heard though it takes no answers: it may be a cancel. The bounds on what waits for
  // it are the reducer's.
  std::uint32_t events = 0;
  if (!connection.connecting) events |= EPOLLIN;
  if (connection.connecting || connection.sent < connection.out.size()) events |= EPOLLOUT;
  // Guards caches against work for a client that has gone: its end is heard at once, whatever it sent before.
  if (connection.client && !connection.first) events |= EPOLLRDHUP;
  if (connection.events == events) return;
  poller_.watch(g_socket_get_fd(connection.socket.get()), events,
                connection.events ? Poller::Registration::modify : Poller::Registration::add, connection.id);
  connection.events = events;
}

void Server::poll() {
  Poller::EventBuffer buffer;
  const std::span<const epoll_event> events = poller_.ready_events(buffer);
  // The bulletin first, then the clients that have gone: guards the rules on purges and drains, when much has
  // come at once, against sending before reading what they bind, and caches against work that nobody waits
  // for.
  const auto turn = [](const Connection& connection, std::uint32_t ready) {
    if (connection.first) return 0;
    return connection.client && (ready & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0 ? 1 : 2;
  };
  for (const int now : {0, 1, 2}) {
    for (const epoll_event& event : events) {
      const auto connection = connections_.find(event.data.u64);  // an earlier event may have ended it
      if (connection == connections_.end() || turn(*connection->second, event.events) != now) continue;
      now == 1 ? remove_connection(event.data.u64) : ready(event.data.u64, event.events);
    }
  }
}

/// A client that has ended its half, or all of its connection, has gone: what it sent before is not served.
/// Guards what was written to it, which it may still read, against a reset over bytes that were not read.
void Server::remove_connection(proxy::ConnectionId id) {
  const auto found = connections_.find(id);
  std::array<char, proxy::kReadChunkBytes> buffer;
  gssize size = 1;
  Error error;
  for (std::size_t read = 0; size > 0 && read < proxy::kMaxDiscardedBytes; read += buffer.size()) {
    size =
        g_socket_receive(found->second->socket.get(), buffer.data(), buffer.size(), nullptr, error.out_ptr());
  }
  connections_.erase(found);
  handle(proxy::Closed{id, size < 0 && !error.matches(G_IO_ERROR_WOULD_BLOCK)});
}

void Server::ready(proxy::ConnectionId id, std::uint32_t events) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  Connection& connection = *found->second;
  if (connection.connecting) {
    connection.connecting = false;
    if (g_socket_check_connect_result(connection.socket.get(), nullptr)) {
      watch(connection);
      handle(proxy::Connected{id});
    } else {
      connections_.erase(found);
      handle(proxy::ConnectFailed{id});
    }
    return;
  }
  if ((events & EPOLLOUT) != 0) {
    flush(connection);
    watch(connection);
    if (!pending_inputs_.empty()) handle(proxy::TimerExpired{});
  }
  if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0) read(id);
}

void Server::read(proxy::ConnectionId id) {
  std::array<char, proxy::kReadChunkBytes> buffer;
  for (int i = 0; i < proxy::kReadsPerTurn; ++i) {
    const auto found = connections_.find(id);
    if (found == connections_.end()) return;
    // Guards all others against a client that sends at full speed: it has little of a turn.
    const bool client = found->second->client;
    const std::size_t room = client ? proxy::kClientReadBytes : buffer.size();
    Error error;
    const gssize size =
        g_socket_receive(found->second->socket.get(), buffer.data(), room, nullptr, error.out_ptr());
    if (size > 0) {
      if (client && found->second->first)
        load_overrides();  // an operator: the other process may have been told more
      handle(proxy::BytesArrived{id, std::string_view(buffer.data(), static_cast<std::size_t>(size))});
      if (client || static_cast<std::size_t>(size) < room) return;
      continue;
    }
    if (size < 0 && error.matches(G_IO_ERROR_WOULD_BLOCK)) return;
    connections_.erase(found);
    handle(proxy::Closed{id, size < 0});
    return;
  }
}

void Server::flush(Connection& connection) {
  while (connection.sent < connection.out.size()) {
    Error error;
    const gssize size = g_socket_send(connection.socket.get(), connection.out.data() + connection.sent,
                                      connection.out.size() - connection.sent, nullptr, error.out_ptr());
    if (size >= 0) {
      connection.sent += static_cast<std::size_t>(size);
      continue;
    }
    if (error.matches(G_IO_ERROR_WOULD_BLOCK)) {
      // What is sent need not be kept; a large rest is moved only now and then.
      if (connection.sent > connection.out.size() / 2) {
        connection.out.erase(0, std::exchange(connection.sent, 0));
      }
      return;
    }
    // The other side has gone. Guards its last answers, which may still wait to be read, against being lost
    // with what could not be written: the end is told when they have been read.
    connection.deaf = true;
    connection.out.clear();
    connection.sent = 0;
    return;
  }
  connection.out.clear();
  if (connection.out.capacity() > proxy::kRetainedWriteBufferBytes)
    std::string().swap(connection.out);  // guards the memory, over many clients
  connection.sent = 0;
  if (connection.finishing) g_socket_shutdown(connection.socket.get(), FALSE, TRUE, nullptr);
  pending_inputs_.push_back(proxy::WriteDrained{connection.id});
}

// ---- Effects ----

void Server::perform(const proxy::Write& write) {
  const auto found = connections_.find(write.connection);
  if (found == connections_.end() || found->second->deaf) return;
  Connection& connection = *found->second;
  const bool idle = connection.out.empty();
  connection.out += write.bytes;
  if (!idle) return;  // its turn comes when the socket takes more
  flush(connection);
  watch(connection);
}

void Server::perform(const proxy::Connect& wanted) { connect(wanted, true); }

void Server::connect(const proxy::Connect& wanted, bool may_wait) {
  const auto where = address_of(wanted.address);
  Error error;
  ObjectPtr<GSocket> socket = where ? new_socket(where.get(), error) : nullptr;
  // Guards the caches and the bulletin against clients that have taken the last descriptors: one of them
  // makes room, and it is tried once more.
  if (!socket && may_wait && error.matches(G_IO_ERROR_TOO_MANY_OPEN_FILES)) {
    pending_inputs_.push_back(proxy::DescriptorsExhausted{});
    pending_connects_.push_back(wanted);
    return;
  }
  if (!socket || (!g_socket_connect(socket.get(), where.get(), nullptr, error.out_ptr()) &&
                  !error.matches(G_IO_ERROR_PENDING))) {
    pending_inputs_.push_back(proxy::ConnectFailed{wanted.connection});
    return;
  }
  adopt(wanted.connection, std::move(socket), true, wanted.high_priority);
}

void Server::perform(const proxy::ShutdownWrite& finish) {
  const auto found = connections_.find(finish.connection);
  if (found == connections_.end() || std::exchange(found->second->finishing, true)) return;
  if (found->second->out.empty()) g_socket_shutdown(found->second->socket.get(), FALSE, TRUE, nullptr);
}

void Server::perform(const proxy::Close& close) {
  if (close.connection == proxy::kListener) {
    accept_source_.reset();
    accept_retry_source_.reset();
    // Guards those that have connected and were not accepted yet against a reset.
    while (ObjectPtr<GSocket> socket{g_socket_accept(listener_.get(), nullptr, nullptr)}) {
      adopt(last_accepted_ += proxy::kConnectionIdStep, std::move(socket), false, false);
      pending_inputs_.push_back(proxy::Accepted{last_accepted_, proxy::kListener});
    }
    listener_.reset();
    return;
  }
  if (close.connection == proxy::kAdminListener) {
    admin_accept_source_.reset();
    admin_listener_.reset();
    return;
  }
  connections_.erase(close.connection);
  std::erase_if(pending_connects_,
                [&close](const proxy::Connect& c) { return c.connection == close.connection; });
}

void Server::perform(const proxy::DrainAndClose& close) { connections_to_drain_.push_back(close.connection); }

void Server::perform(const proxy::ArmTimer& timer) {
  const auto wait = std::max<Time>(Time{0}, timer.at - clock_.now());
  timer_.arm(wait);
}

void Server::perform(const proxy::LogLine& log) {
  const Time now = clock_.now();
  std::array<char, 48> stamp{};
  std::snprintf(stamp.data(), stamp.size(), "%lld.%03lld ", static_cast<long long>(now.count() / 1'000'000),
                static_cast<long long>(now.count() / 1000 % 1000));
  log_.write_line(stamp.data() + log.line);
}

/// The system hands the connections at one address to its listening sockets by turns; a filter on them all
/// has it take the second one. This process was there first, so that is the one started after it; where there
/// is none, the filter names nobody and nothing changes. Guards clients against a connection that waits here
/// unseen when this listening socket closes: it would be reset.
void Server::perform(const proxy::StopAccepting&) {
  if (!listener_) return;
  sock_filter second{BPF_RET | BPF_K, 0, 0, 1};
  const sock_fprog filter{1, &second};
  if (setsockopt(g_socket_get_fd(listener_.get()), SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, &filter,
                 sizeof filter) != 0)
    perform(proxy::LogLine{"yield failed: the system takes no filter"});
}

void Server::perform(const proxy::PersistOverrides& keep) {
  if (overrides_file_.temporary_path()) overrides_file_.write(keep.overrides);
}

void Server::perform(const proxy::MembershipEffect& effect) {
  if (membership_sockets_)
    std::visit([this](const auto& e) { membership_sockets_->perform(e); }, effect.effect);
}

void Server::perform(const proxy::PersistMembership& keep) {
  if (membership_sockets_) membership_sockets_->persist(keep.self, keep.members);
}

void Server::perform(const proxy::ConsensusEffect& effect) {
  if (consensus_) consensus_->perform(effect);
}

void Server::perform(const proxy::StopMembership&) {
  if (membership_sockets_) membership_sockets_->stop();
}

}  // namespace edge_proxy::event_loop
