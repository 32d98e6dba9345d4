// SPDX-License-Identifier: MIT
#include "event_loop/membership_sockets.h"

#include <algorithm>
#include <array>
#include <chrono>

#include "event_loop/address.h"
#include "membership/codec.h"

namespace edge_proxy::event_loop {
namespace {

/// Datagrams that are read before other sockets are served.
constexpr int kDatagramsPerTurn = 32;
/// Time between attempts to start while another process still uses the folder or the address.
constexpr std::chrono::milliseconds kStartRetryInterval{100};
/// Maximum lifetime of a stream.
constexpr std::chrono::milliseconds kStreamTimeout{3000};
/// Upper bound on the size of one member update in a full sync.
constexpr std::size_t kMaxMemberBytes = 320;
constexpr std::size_t kReadChunkBytes = 64 * 1024;
constexpr std::size_t kDatagramBufferBytes = 16 * 1024;
constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;
/// Marks messages that arrived in a datagram, or as the reply on a stream, and get no reply on a stream.
constexpr std::uint64_t kNoReplyStream = 0;

/// Formats the address as `host:port`.
std::string format_address(GSocketAddress* address) {
  if (address == nullptr || !G_IS_INET_SOCKET_ADDRESS(address)) return "unknown";
  auto* inet = G_INET_SOCKET_ADDRESS(address);
  gchar* host = g_inet_address_to_string(g_inet_socket_address_get_address(inet));
  std::string text = std::string(host) + ":" + std::to_string(g_inet_socket_address_get_port(inet));
  g_free(host);
  return text;
}

}  // namespace

/// One full sync: the initiator writes, then reads; the responder reads, then writes.
struct MembershipSockets::Stream {
  std::uint64_t id = 0;
  MembershipSockets* sockets = nullptr;
  ObjectPtr<GSocket> socket;
  std::string peer;  ///< address of the peer, for error messages
  Source source;
  Source timeout;
  StreamRole role = StreamRole::responder;
  bool connecting = false;
  bool writing = false;
  std::string input;
  std::string output;
  std::size_t written = 0;  ///< number of bytes of `output` that were sent
};

MembershipSockets::MembershipSockets(const config::MembershipConfig& config, std::size_t max_stream_bytes,
                                     Callbacks callbacks)
    : config_(config),
      max_stream_bytes_(std::max(max_stream_bytes, max_sync_bytes())),
      callbacks_(std::move(callbacks)),
      store_(config.folder, config.settings.name, config.settings.cluster, callbacks_.log) {
  start_retry_source_ = call_every<&MembershipSockets::retry_start>(kStartRetryInterval, this);
}

MembershipSockets::~MembershipSockets() = default;

SourceAction MembershipSockets::retry_start() {
  try_to_start();
  return datagram_socket_ ? SourceAction::remove : SourceAction::keep;
}

void MembershipSockets::try_to_start() {
  std::string error_message;
  std::optional<membership::Identity> identity;
  if (store_.lock(error_message) && bind(error_message)) {
    const membership::Settings& settings = config_.settings;
    identity = store_.open(
        {settings.name, settings.address, 0, 0, settings.zone, membership::MemberStatus::alive, {}},
        error_message);
  }
  if (!identity) {
    datagram_socket_.reset();
    listener_.reset();
    if (error_message != logged_start_error_) callbacks_.log("peers start delayed: " + error_message);
    logged_start_error_ = error_message;
    return;
  }
  read_source_ = watch_socket<&MembershipSockets::read_datagrams>(datagram_socket_.get(), G_IO_IN, this);
  accept_source_ = watch_socket<&MembershipSockets::accept>(listener_.get(), G_IO_IN, this);
  callbacks_.ready(std::move(*identity));
}

bool MembershipSockets::bind(std::string& error_message) {
  Error error;
  datagram_socket_ = open_socket(G_SOCKET_TYPE_DATAGRAM, G_SOCKET_PROTOCOL_UDP, error);
  if (datagram_socket_) listener_ = open_socket(G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, error);
  if (datagram_socket_ && listener_ && g_socket_listen(listener_.get(), error.out_ptr())) return true;
  error_message = "cannot listen on " + config_.listen_address + ": " + error.text();
  return false;
}

/// A non-blocking socket bound to the configured address; on failure nullptr, with the reason in `error`.
ObjectPtr<GSocket> MembershipSockets::open_socket(GSocketType type, GSocketProtocol protocol,
                                                  Error& error) const {
  const auto address = parse_address(config_.listen_address);
  if (!address) return nullptr;
  ObjectPtr<GSocket> socket(
      g_socket_new(g_socket_address_get_family(address.get()), type, protocol, error.out_ptr()));
  if (!socket) return nullptr;
  g_socket_set_blocking(socket.get(), FALSE);
  // Stream sockets may reuse an address with connections in TIME_WAIT. Two processes that bind the same
  // address are still rejected.
  const bool reuse_address = type == G_SOCKET_TYPE_STREAM;
  if (!g_socket_bind(socket.get(), address.get(), reuse_address, error.out_ptr())) return nullptr;
  return socket;
}

// ---- Datagrams ----

void MembershipSockets::read_datagrams() {
  std::array<char, kDatagramBufferBytes> buffer;
  for (int i = 0; i < kDatagramsPerTurn && datagram_socket_; ++i) {
    GSocketAddress* sender = nullptr;
    // One byte more than allowed is read to detect datagrams that are too large.
    const std::size_t limit = std::min(buffer.size(), config_.settings.max_datagram_bytes + 1);
    const gssize size =
        g_socket_receive_from(datagram_socket_.get(), &sender, buffer.data(), limit, nullptr, nullptr);
    const ObjectPtr<GSocketAddress> from(sender);
    if (size < 0) return;
    // Datagrams beyond the rate limit are read and dropped, so that a flood does not delay clients.
    if (exceeds_datagram_rate(from.get())) continue;
    on_bytes({buffer.data(), static_cast<std::size_t>(size)}, config_.settings.max_datagram_bytes,
             format_address(from.get()), kNoReplyStream);
  }
}

/// Counts one datagram. The first one beyond the limit in each second is logged.
bool MembershipSockets::exceeds_datagram_rate(GSocketAddress* sender) {
  const std::int64_t second = g_get_monotonic_time() / kMicrosecondsPerSecond;
  if (second != std::exchange(rate_second_, second)) datagrams_in_second_ = 0;
  if (++datagrams_in_second_ <= config_.max_datagrams_per_s) return false;
  if (datagrams_in_second_ == config_.max_datagrams_per_s + 1)
    callbacks_.log("peers datagram rate limit exceeded from=" + format_address(sender) + " limit is " +
                   std::to_string(config_.max_datagrams_per_s) + " per second");
  return true;
}

void MembershipSockets::on_bytes(std::string_view bytes, std::size_t max_bytes, const std::string& from,
                                 std::uint64_t stream) {
  auto decoded = membership::decode(bytes, config_.settings.cluster, max_bytes);
  if (const auto* reason = std::get_if<membership::DecodeError>(&decoded)) {
    callbacks_.input(membership::MessageRejected{*reason, from});
    return;
  }
  callbacks_.input(membership::MessageReceived{std::move(std::get<membership::Message>(decoded)), stream});
}

void MembershipSockets::perform(const membership::SendDatagram& send) {
  const auto address = parse_address(send.address);
  if (!datagram_socket_ || !address) return;
  const std::string bytes = membership::encode(send.message, config_.settings.cluster);
  // A datagram that the system rejects counts as lost on the network.
  g_socket_send_to(datagram_socket_.get(), address.get(), bytes.data(), bytes.size(), nullptr, nullptr);
}

// ---- Streams ----

bool MembershipSockets::has_stream_capacity() const {
  return streams_.size() < static_cast<std::size_t>(config_.max_streams);
}

bool MembershipSockets::exceeds_stream_memory() const {
  std::size_t bytes = 0;
  for (const auto& [id, stream] : streams_) bytes += stream->input.capacity() + stream->output.capacity();
  return bytes > max_stream_bytes_;
}

std::size_t MembershipSockets::max_sync_bytes() const {
  const std::size_t max_entries = 2 * config_.settings.max_members + 2;
  return std::max(max_entries * kMaxMemberBytes, config_.max_user_message_bytes);
}

void MembershipSockets::accept() {
  while (listener_) {
    ObjectPtr<GSocket> socket(g_socket_accept(listener_.get(), nullptr, nullptr));
    if (!socket) return;
    // Streams beyond the limit are closed, since clients and caches need the descriptors. The member tries
    // again later.
    if (!has_stream_capacity()) continue;
    const ObjectPtr<GSocketAddress> peer(g_socket_get_remote_address(socket.get(), nullptr));
    Stream& stream = add_stream(std::move(socket), format_address(peer.get()), StreamRole::responder);
    watch(stream);
  }
}

void MembershipSockets::perform(const membership::SendFullSync& sync) {
  const auto address = parse_address(sync.address);
  if (!datagram_socket_ || !address || !has_stream_capacity()) return;
  ObjectPtr<GSocket> socket(
      g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, nullptr));
  if (!socket) return;
  g_socket_set_blocking(socket.get(), FALSE);
  Error error;
  if (!g_socket_connect(socket.get(), address.get(), nullptr, error.out_ptr()) &&
      !error.matches(G_IO_ERROR_PENDING))
    return;
  Stream& stream = add_stream(std::move(socket), sync.address, StreamRole::initiator);
  stream.connecting = true;
  stream.writing = true;
  stream.output = membership::encode(sync.message, config_.settings.cluster);
  if (exceeds_stream_memory()) {
    close_stream(stream.id);
  } else {
    watch(stream);
  }
}

void MembershipSockets::perform(const membership::FullSyncReply& reply) {
  const auto found = streams_.find(reply.stream);
  if (found == streams_.end()) return;
  Stream& stream = *found->second;
  stream.output = membership::encode(reply.message, config_.settings.cluster);
  if (exceeds_stream_memory()) return;  // on_stream_read() closes the stream
  stream.writing = true;
  watch(stream);
}

MembershipSockets::Stream& MembershipSockets::add_stream(ObjectPtr<GSocket> socket, std::string peer,
                                                         StreamRole role) {
  g_socket_set_blocking(socket.get(), FALSE);
  auto stream = std::make_unique<Stream>();
  stream->id = ++last_stream_id_;
  stream->sockets = this;
  stream->socket = std::move(socket);
  stream->peer = std::move(peer);
  stream->role = role;
  // The timeout closes streams on which nothing arrives, so that they do not use up the limit on streams.
  stream->timeout = call_every<[](Stream* expired) {
    expired->sockets->close_stream(expired->id);
    return SourceAction::remove;
  }>(kStreamTimeout, stream.get());
  Stream& added = *stream;
  streams_[added.id] = std::move(stream);
  return added;
}

void MembershipSockets::watch(Stream& stream) {
  stream.source = watch_socket<[](Stream* ready) { ready->sockets->on_stream_event(ready->id); }>(
      stream.socket.get(), stream.writing ? G_IO_OUT : G_IO_IN, &stream);
}

void MembershipSockets::on_stream_event(std::uint64_t id) {
  const auto found = streams_.find(id);
  if (found == streams_.end()) return;
  if (on_stream_ready(*found->second) == StreamState::finished) close_stream(id);
}

MembershipSockets::StreamState MembershipSockets::on_stream_ready(Stream& stream) {
  if (std::exchange(stream.connecting, false)) {
    Error error;
    if (!g_socket_check_connect_result(stream.socket.get(), error.out_ptr())) return StreamState::finished;
  }
  return stream.writing ? write_stream(stream) : read_stream(stream);
}

MembershipSockets::StreamState MembershipSockets::write_stream(Stream& stream) {
  Error error;
  while (stream.written < stream.output.size()) {
    const gssize size = g_socket_send(stream.socket.get(), stream.output.data() + stream.written,
                                      stream.output.size() - stream.written, nullptr, error.out_ptr());
    if (size < 0) return error.matches(G_IO_ERROR_WOULD_BLOCK) ? StreamState::open : StreamState::finished;
    stream.written += static_cast<std::size_t>(size);
  }
  g_socket_shutdown(stream.socket.get(), FALSE, TRUE, nullptr);
  if (stream.role == StreamRole::responder) return StreamState::finished;
  stream.writing = false;
  watch(stream);
  return StreamState::open;
}

MembershipSockets::StreamState MembershipSockets::read_stream(Stream& stream) {
  Error error;
  std::array<char, kReadChunkBytes> buffer;
  while (true) {
    const gssize size =
        g_socket_receive(stream.socket.get(), buffer.data(), buffer.size(), nullptr, error.out_ptr());
    if (size < 0) return error.matches(G_IO_ERROR_WOULD_BLOCK) ? StreamState::open : StreamState::finished;
    if (size == 0) break;
    stream.input.append(buffer.data(), static_cast<std::size_t>(size));
    if (stream.input.size() > max_sync_bytes()) break;  // the codec rejects it
    // The member tries again later.
    if (exceeds_stream_memory()) return StreamState::finished;
  }
  return on_stream_read(stream);
}

MembershipSockets::StreamState MembershipSockets::on_stream_read(Stream& stream) {
  const std::uint64_t id = stream.id;
  const bool is_initiator = stream.role == StreamRole::initiator;
  // User messages get no reply.
  if (is_initiator && stream.input.empty()) return StreamState::finished;
  stream.source.reset();
  const std::string bytes = std::move(stream.input);
  const std::string peer = stream.peer;  // the reducer may close the stream
  on_bytes(bytes, max_sync_bytes(), peer, is_initiator ? kNoReplyStream : id);
  if (is_initiator) return StreamState::finished;
  const auto found = streams_.find(id);
  const bool writes_reply = found != streams_.end() && found->second->writing;
  return writes_reply ? StreamState::open : StreamState::finished;
}

void MembershipSockets::close_stream(std::uint64_t stream) { streams_.erase(stream); }

void MembershipSockets::persist(const membership::MemberUpdate& self,
                                std::vector<membership::MemberUpdate> members) {
  store_.persist(self, std::move(members));
}

void MembershipSockets::stop() {
  start_retry_source_.reset();
  read_source_.reset();
  accept_source_.reset();
  streams_.clear();
  datagram_socket_.reset();
  listener_.reset();
}

}  // namespace edge_proxy::event_loop
