// SPDX-License-Identifier: MIT
/// @file
/// The peers' sockets: datagrams for probes and gossip, one stream for each whole exchange. Bytes in both
/// ways are messages of membership/codec.h; a stream carries one message each way, ended by the end of the
/// stream.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "config/membership_config.h"
#include "event_loop/glib_ptr.h"
#include "event_loop/glib_source.h"
#include "event_loop/membership_store.h"
#include "membership/reducer.h"

namespace edge_proxy::event_loop {

class MembershipSockets {
 public:
  struct Callbacks {
    std::function<void(membership::Identity)> ready;  ///< it is bound and its identity is on the disk
    std::function<void(membership::Input)> input;
    std::function<void(const std::string&)> log;
  };
  MembershipSockets(const config::MembershipConfig& config, Callbacks told);
  ~MembershipSockets();
  MembershipSockets(const MembershipSockets&) = delete;
  MembershipSockets& operator=(const MembershipSockets&) = delete;

  void perform(const membership::SendDatagram& send);
  void perform(const membership::SendFullSync& exchange);
  void perform(const membership::FullSyncReply& answer);
  void persist(const membership::MemberUpdate& self, std::vector<membership::MemberUpdate> members);
  /// Nothing comes or goes any more.
  void stop();

 private:
  struct Stream;

  SourceAction retry_start();
  void try_to_start();
  bool bind(std::string& why);
  void read_datagrams();
  void accept();
  Stream& add_stream(ObjectPtr<GSocket> socket, bool is_initiator);
  void watch(Stream& stream);
  bool on_stream_ready(Stream& stream);
  void close_stream(std::uint64_t stream);
  void on_bytes(std::string_view bytes, std::size_t most, const std::string& from, std::uint64_t stream);

  const config::MembershipConfig config_;
  Callbacks callbacks_;
  MembershipStore store_;
  ObjectPtr<GSocket> datagram_socket_, listener_;
  Source read_source_, accept_source_, start_retry_;
  std::string waiting_for_;  // as it was logged last
  std::map<std::uint64_t, std::unique_ptr<Stream>> streams_;
  std::uint64_t last_stream_ = 0;
  std::int64_t second_ = 0;
  int datagrams_in_second_ = 0;
};

}  // namespace edge_proxy::event_loop
