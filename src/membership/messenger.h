// SPDX-License-Identifier: MIT
/// @file
/// Builds and sends this member's messages. Pending updates are piggybacked on its datagrams.
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

  /// Sends a datagram with as many pending updates as fit to a member.
  void send(const std::string& to, Message message) { send_to(address_of(to), to, std::move(message)); }
  /// Replies to the address in the sender's message, which may differ from the address in the table.
  void reply(const MemberUpdate& sender, Message message) {
    send_to(resolved_address(sender.address), sender.name, std::move(message));
  }
  /// Sends a datagram without pending updates.
  void send_plain(const std::string& address, Message message);
  /// Sends a message over a stream of its own.
  void send_over_stream(const std::string& address, Message message);

  /// The address to send to for an announced address: see Settings::address_overrides.
  [[nodiscard]] const std::string& resolved_address(const std::string& address) const;
  /// The address to send to for that member; empty if the member is unknown.
  [[nodiscard]] std::string address_of(const std::string& name) const;

  /// The updates that wait to be sent.
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
