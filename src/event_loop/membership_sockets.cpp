// SPDX-License-Identifier: MIT
#include "event_loop/membership_sockets.h"

#include <array>
#include <chrono>

#include "event_loop/address.h"
#include "membership/codec.h"

namespace edge_proxy::event_loop {
namespace {

constexpr int kDatagramsAtOnce = 32;  // before the other sockets have their turn
/// Of the start, while another process still has the folder or the address.
constexpr std::chrono::milliseconds kStartRetryInterval{100};
/// From the begin of a stream to its end.
constexpr std::chrono::milliseconds kStreamTimeout{3000};
constexpr std::size_t kBytesOfMember = 320;  // in a whole exchange, at most
constexpr std::size_t kReadAtOnce = 64 * 1024;

std::string text_of(GSocketAddress* address) {
  if (address == nullptr || !G_IS_INET_SOCKET_ADDRESS(address)) return "unknown";
  auto* inet = G_INET_SOCKET_ADDRESS(address);
  gchar* host = g_inet_address_to_string(g_inet_socket_address_get_address(inet));
  std::string text = std::string(host) + ":" + std::to_string(g_inet_socket_address_get_port(inet));
  g_free(host);
  return text;
}

}  // namespace

struct MembershipSockets::Stream {
  std::uint64_t id = 0;
  MembershipSockets* sockets = nullptr;
  ObjectPtr<GSocket> socket;
  std::string from;
  Source source, timeout;
  bool asked_here = false;
  bool connecting = false;
  bool writing = false;
  std::string in, out;
  std::size_t sent = 0;
};

MembershipSockets::MembershipSockets(const config::MembershipConfig& config, Callbacks told)
    : config_(config),
      callbacks_(std::move(told)),
      store_(config.folder, config.settings.name, config.settings.cluster, callbacks_.log) {
  start_retry_ = call_every<&MembershipSockets::retry_start>(kStartRetryInterval, this);
}

MembershipSockets::~MembershipSockets() = default;

SourceAction MembershipSockets::retry_start() {
  try_to_start();
  return datagram_socket_ ? SourceAction::remove : SourceAction::keep;
}

void MembershipSockets::try_to_start() {
  std::string why;
  std::optional<membership::Identity> identity;
  if (store_.lock(why) && bind(why)) {
    const membership::Settings& s = config_.settings;
    identity = store_.open({s.name, s.address, 0, 0, s.zone, membership::MemberStatus::alive, {}}, why);
  }
  if (!identity) {
    datagram_socket_.reset();
    listener_.reset();
    if (why != waiting_for_) callbacks_.log("peers wait: " + why);
    waiting_for_ = why;
    return;
  }
  read_source_ = watch_socket<&MembershipSockets::read_datagrams>(datagram_socket_.get(), G_IO_IN, this);
  accept_source_ = watch_socket<&MembershipSockets::accept>(listener_.get(), G_IO_IN, this);
  callbacks_.ready(std::move(*identity));
}

bool MembershipSockets::bind(std::string& why) {
  const auto where = address_of(config_.listen_address);
  Error error;
  const auto open = [&](GSocketType type, GSocketProtocol protocol) {
    ObjectPtr<GSocket> socket(
        where ? g_socket_new(g_socket_address_get_family(where.get()), type, protocol, error.out_ptr())
              : nullptr);
    if (!socket) return socket;
    g_socket_set_blocking(socket.get(), FALSE);
    // Streams may follow at an address at which old ones fade; two that bind at once are refused all the
    // same.
    if (!g_socket_bind(socket.get(), where.get(), type == G_SOCKET_TYPE_STREAM, error.out_ptr()))
      socket.reset();
    return socket;
  };
  datagram_socket_ = open(G_SOCKET_TYPE_DATAGRAM, G_SOCKET_PROTOCOL_UDP);
  if (datagram_socket_) listener_ = open(G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP);
  if (datagram_socket_ && listener_ && g_socket_listen(listener_.get(), error.out_ptr())) return true;
  why = "can't listen on " + config_.listen_address + ": " + error.text();
  return false;
}

// ---- Datagrams ----

void MembershipSockets::read_datagrams() {
  std::array<char, 16 * 1024> buffer;
  for (int i = 0; i < kDatagramsAtOnce && datagram_socket_; ++i) {
    GSocketAddress* sender = nullptr;
    // One byte more than is allowed tells one that is too large.
    const std::size_t room = std::min(buffer.size(), config_.settings.max_datagram_bytes + 1);
    const gssize size =
        g_socket_receive_from(datagram_socket_.get(), &sender, buffer.data(), room, nullptr, nullptr);
    const ObjectPtr<GSocketAddress> from(sender);
    if (size < 0) return;
    const std::int64_t second = g_get_monotonic_time() / 1'000'000;
    if (second != std::exchange(second_, second)) datagrams_in_second_ = 0;
    // Guards the clients against a flood: what comes beyond the bound costs no more than its reading.
    if (++datagrams_in_second_ > config_.max_datagrams_per_s) {
      if (datagrams_in_second_ == config_.max_datagrams_per_s + 1)
        callbacks_.log("peers flooded from=" + text_of(from.get()) + " more than " +
                       std::to_string(config_.max_datagrams_per_s) + " a second");
      continue;
    }
    on_bytes({buffer.data(), static_cast<std::size_t>(size)}, config_.settings.max_datagram_bytes,
             text_of(from.get()), 0);
  }
}

void MembershipSockets::on_bytes(std::string_view bytes, std::size_t most, const std::string& from,
                                 std::uint64_t stream) {
  auto decoded = membership::decode(bytes, config_.settings.cluster, most);
  if (const auto* reason = std::get_if<membership::DecodeError>(&decoded)) {
    callbacks_.input(membership::MessageRejected{*reason, from});
    return;
  }
  callbacks_.input(membership::MessageReceived{std::move(std::get<membership::Message>(decoded)), stream});
}

void MembershipSockets::perform(const membership::SendDatagram& send) {
  const auto where = address_of(send.address);
  if (!datagram_socket_ || !where) return;
  const std::string bytes = membership::encode(send.message, config_.settings.cluster);
  // One that the system does not take is as good as lost on the way.
  g_socket_send_to(datagram_socket_.get(), where.get(), bytes.data(), bytes.size(), nullptr, nullptr);
}

// ---- Streams ----

void MembershipSockets::accept() {
  while (listener_) {
    ObjectPtr<GSocket> socket(g_socket_accept(listener_.get(), nullptr, nullptr));
    if (!socket) return;
    // Guards the descriptors that clients and caches need: who comes beyond the bound asks again later.
    if (streams_.size() >= static_cast<std::size_t>(config_.max_streams)) continue;
    const ObjectPtr<GSocketAddress> from(g_socket_get_remote_address(socket.get(), nullptr));
    add_stream(std::move(socket), false).from = text_of(from.get());
  }
}

void MembershipSockets::perform(const membership::SendFullSync& exchange) {
  const auto where = address_of(exchange.address);
  if (!datagram_socket_ || !where || streams_.size() >= static_cast<std::size_t>(config_.max_streams)) return;
  ObjectPtr<GSocket> socket(
      g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, nullptr));
  if (!socket) return;
  g_socket_set_blocking(socket.get(), FALSE);
  Error error;
  if (!g_socket_connect(socket.get(), where.get(), nullptr, error.out_ptr()) &&
      !error.matches(G_IO_ERROR_PENDING))
    return;
  Stream& stream = add_stream(std::move(socket), true);
  stream.from = exchange.address;
  stream.out = membership::encode(exchange.message, config_.settings.cluster);
  watch(stream);
}

void MembershipSockets::perform(const membership::FullSyncReply& answer) {
  const auto found = streams_.find(answer.stream);
  if (found == streams_.end()) return;
  Stream& stream = *found->second;
  stream.out = membership::encode(answer.message, config_.settings.cluster);
  stream.writing = true;
  watch(stream);
}

MembershipSockets::Stream& MembershipSockets::add_stream(ObjectPtr<GSocket> socket, bool is_initiator) {
  g_socket_set_blocking(socket.get(), FALSE);
  auto stream = std::make_unique<Stream>();
  stream->id = ++last_stream_;
  stream->sockets = this;
  stream->socket = std::move(socket);
  stream->asked_here = stream->connecting = stream->writing = is_initiator;
  // Guards the bound on streams against those that say nothing.
  stream->timeout = call_every<[](Stream* late) {
    late->sockets->close_stream(late->id);
    return SourceAction::remove;
  }>(kStreamTimeout, stream.get());
  Stream& adopted = *stream;
  streams_[adopted.id] = std::move(stream);
  if (!is_initiator) watch(adopted);
  return adopted;
}

void MembershipSockets::watch(Stream& stream) {
  stream.source = watch_socket<[](Stream* ready) {
    MembershipSockets* sockets = ready->sockets;
    const std::uint64_t id = ready->id;
    if (!sockets->on_stream_ready(*ready)) sockets->close_stream(id);
  }>(stream.socket.get(), stream.writing ? G_IO_OUT : G_IO_IN, &stream);
}

/// False: the stream is over.
bool MembershipSockets::on_stream_ready(Stream& stream) {
  Error error;
  if (std::exchange(stream.connecting, false) &&
      !g_socket_check_connect_result(stream.socket.get(), error.out_ptr()))
    return false;
  if (stream.writing) {
    while (stream.sent < stream.out.size()) {
      const gssize size = g_socket_send(stream.socket.get(), stream.out.data() + stream.sent,
                                        stream.out.size() - stream.sent, nullptr, error.out_ptr());
      if (size < 0) return error.matches(G_IO_ERROR_WOULD_BLOCK);
      stream.sent += static_cast<std::size_t>(size);
    }
    g_socket_shutdown(stream.socket.get(), FALSE, TRUE, nullptr);
    if (!stream.asked_here) return false;
    stream.writing = false;
    watch(stream);
    return true;
  }
  const std::size_t most =
      std::max((2 * config_.settings.max_members + 2) * kBytesOfMember, config_.max_user_message_bytes);
  std::array<char, kReadAtOnce> buffer;
  while (true) {
    const gssize size =
        g_socket_receive(stream.socket.get(), buffer.data(), buffer.size(), nullptr, error.out_ptr());
    if (size < 0) return error.matches(G_IO_ERROR_WOULD_BLOCK);
    if (size == 0) break;
    stream.in.append(buffer.data(), static_cast<std::size_t>(size));
    if (stream.in.size() > most) break;
  }
  const std::uint64_t id = stream.id;
  const bool asked_here = stream.asked_here;
  // To what was carried there is no answer.
  if (asked_here && stream.in.empty()) return false;
  stream.source.reset();
  const std::string bytes = std::move(stream.in);
  on_bytes(bytes, most, stream.from, asked_here ? 0 : id);
  // An answer that is owed is being written now.
  const auto found = streams_.find(id);
  return found != streams_.end() && !asked_here && found->second->writing;
}

void MembershipSockets::close_stream(std::uint64_t stream) { streams_.erase(stream); }

void MembershipSockets::persist(const membership::MemberUpdate& self,
                                std::vector<membership::MemberUpdate> members) {
  store_.persist(self, std::move(members));
}

void MembershipSockets::stop() {
  start_retry_.reset();
  read_source_.reset();
  accept_source_.reset();
  streams_.clear();
  datagram_socket_.reset();
  listener_.reset();
}

}  // namespace edge_proxy::event_loop
