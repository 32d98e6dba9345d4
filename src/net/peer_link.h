// SPDX-License-Identifier: MIT
/// @file
/// The peers' sockets: datagrams for probes and gossip, one stream for each whole exchange. Bytes in both
/// ways are messages of peers/wire.h; a stream carries one message each way, ended by the end of the stream.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "config/peers_config.h"
#include "net/glib_ptr.h"
#include "net/peer_store.h"
#include "peers/reducer.h"

namespace dahliahall::net {

class MembershipSockets {
 public:
  struct Callbacks {
    std::function<void(peers::Identity)> ready;  ///< it is bound and its identity is on the disk
    std::function<void(peers::Input)> input;
    std::function<void(const std::string&)> log;
  };
  MembershipSockets(const config::MembershipConfig& config, Callbacks told);
  ~MembershipSockets();
  MembershipSockets(const MembershipSockets&) = delete;
  MembershipSockets& operator=(const MembershipSockets&) = delete;

  void perform(const peers::SendDatagram& send);
  void perform(const peers::SendFullSync& exchange);
  void perform(const peers::FullSyncReply& answer);
  void persist(const peers::MemberUpdate& self, std::vector<peers::MemberUpdate> members);
  /// Nothing comes or goes any more.
  void stop();

 private:
  struct Stream;

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

}  // namespace dahliahall::net
