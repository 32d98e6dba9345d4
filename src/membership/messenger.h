// SPDX-License-Identifier: MIT
/// @file
/// Builds and sends this member's messages, and piggybacks pending updates on its datagrams.
#pragma once

#include <cstdint>
#include <string>

#include "membership/broadcast_queue.h"
#include "membership/context.h"

namespace edge_proxy::membership {

class Messenger {
 public:
  explicit Messenger(Context& context) : context_(context) {}

  /// A sequence number that this process has not used before.
  std::uint64_t next_sequence() { return ++last_sequence_; }
  [[nodiscard]] Message make_message(MessageKind kind, const std::string& to, std::uint64_t sequence) const;

  /// Sends a datagram to a member, with as many pending updates as fit.
  void send(const std::string& to, Message message) { send_to(address_of(to), to, std::move(message)); }
  /// Answers a message at the sender's own address: it may differ from the one in the table.
  void reply(const MemberUpdate& sender, Message message) {
    send_to(resolved_address(sender.address), sender.name, std::move(message));
  }
  /// Sends a datagram as it is, without pending updates.
  void send_plain(const std::string& address, Message message);
  /// Sends a message over a stream of its own.
  void send_over_stream(const std::string& address, Message message);

  /// Where to send what is meant for `address`: see Settings::address_overrides.
  [[nodiscard]] const std::string& resolved_address(const std::string& address) const;
  /// Where to send what is meant for that member; empty if it is unknown.
  [[nodiscard]] std::string address_of(const std::string& name) const;

  /// The updates that are still to be sent.
  [[nodiscard]] BroadcastQueue& broadcasts() { return broadcasts_; }
  [[nodiscard]] const BroadcastQueue& broadcasts() const { return broadcasts_; }

 private:
  void send_to(const std::string& address, const std::string& to, Message message);
  [[nodiscard]] std::size_t remaining_bytes(const Message& message) const;
  [[nodiscard]] std::size_t max_transmits() const;

  Context& context_;
  BroadcastQueue broadcasts_;
  std::uint64_t last_sequence_ = 0;
};

}  // namespace edge_proxy::membership
