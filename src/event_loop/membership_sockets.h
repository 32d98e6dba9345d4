// SPDX-License-Identifier: MIT
/// @file
/// The sockets of SWIM membership: datagrams for pings and gossip, one TCP stream for each full sync.
/// Messages are encoded by membership/codec.h; a stream carries one message in each direction, terminated by
/// closing that direction.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/membership_config.h"
#include "event_loop/glib_ptr.h"
#include "event_loop/glib_source.h"
#include "event_loop/membership_store.h"
#include "membership/reducer.h"

namespace edge_proxy::event_loop {

/// Binds its sockets once the folder and the address are free, then converts received messages into inputs
/// and performs the effects of membership. The rate of datagrams, the number of streams and the size of
/// messages are bounded.
class MembershipSockets {
 public:
  struct Callbacks {
    /// Called once the sockets are bound and the new identity is stored.
    std::function<void(membership::Identity)> ready;
    std::function<void(membership::Input)> input;
    std::function<void(const std::string&)> log;
  };
  /// `max_stream_bytes`: memory for the buffers of all streams; one full sync always fits.
  MembershipSockets(const config::MembershipConfig& config, std::size_t max_stream_bytes,
                    Callbacks callbacks);
  ~MembershipSockets();
  MembershipSockets(const MembershipSockets&) = delete;
  MembershipSockets& operator=(const MembershipSockets&) = delete;

  void perform(const membership::SendDatagram& send);
  void perform(const membership::SendFullSync& sync);
  void perform(const membership::FullSyncReply& reply);
  /// Stores the identity and the known members in the background.
  void persist(const membership::MemberUpdate& self, std::vector<membership::MemberUpdate> members);
  /// Closes all sockets.
  void stop();

 private:
  struct Stream;
  enum class StreamRole { initiator, responder };
  /// Whether a stream is still needed after a callback.
  enum class StreamState { open, finished };

  SourceAction retry_start();
  void try_to_start();
  [[nodiscard]] bool bind(std::string& error_message);
  [[nodiscard]] ObjectPtr<GSocket> open_socket(GSocketType type, GSocketProtocol protocol,
                                               Error& error) const;
  void read_datagrams();
  [[nodiscard]] bool exceeds_datagram_rate(GSocketAddress* sender);
  void accept();
  [[nodiscard]] bool has_stream_capacity() const;
  [[nodiscard]] bool exceeds_stream_memory() const;
  [[nodiscard]] std::size_t max_sync_bytes() const;
  Stream& add_stream(ObjectPtr<GSocket> socket, std::string peer, StreamRole role);
  void watch(Stream& stream);
  void on_stream_event(std::uint64_t id);
  StreamState on_stream_ready(Stream& stream);
  StreamState write_stream(Stream& stream);
  StreamState read_stream(Stream& stream);
  StreamState on_stream_read(Stream& stream);
  void close_stream(std::uint64_t stream);
  void on_bytes(std::string_view bytes, std::size_t max_bytes, const std::string& from, std::uint64_t stream);

  const config::MembershipConfig config_;
  std::size_t max_stream_bytes_;
  Callbacks callbacks_;
  MembershipStore store_;
  ObjectPtr<GSocket> datagram_socket_;
  ObjectPtr<GSocket> listener_;
  Source read_source_;
  Source accept_source_;
  Source start_retry_source_;
  std::string logged_start_error_;  ///< the last logged reason why the start is delayed
  std::map<std::uint64_t, std::unique_ptr<Stream>> streams_;
  std::uint64_t last_stream_id_ = 0;
  std::int64_t rate_second_ = 0;  ///< second of the monotonic clock in which datagrams are counted
  int datagrams_in_second_ = 0;
};

}  // namespace edge_proxy::event_loop
