// SPDX-License-Identifier: MIT
#include "membership/messenger.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "membership/codec.h"

namespace edge_proxy::membership {
namespace {

constexpr std::size_t kMinTransmits = 2;

}  // namespace

Message Messenger::make_message(MessageKind kind, const std::string& to, std::uint64_t sequence) const {
  Message message;
  message.kind = kind;
  message.sequence = sequence;
  message.to = to;
  message.from = context_.self();
  message.digest = context_.view.digest();
  return message;
}

/// If the receiver is not known as alive, every message to it carries its status first: only the receiver can
/// refute the status, and a later notice leaves it less time to do so.
void Messenger::send_to(const std::string& address, const std::string& to, Message message) {
  std::size_t remaining = remaining_bytes(message);
  const Member* receiver = context_.view.find(to);
  if (receiver != nullptr && context_.settings.lifeguard && receiver->update.status != MemberStatus::alive &&
      encoded_size(receiver->update) <= remaining) {
    message.updates.push_back(receiver->update);
    remaining -= encoded_size(receiver->update);
  }
  if (!broadcasts_.empty()) {
    for (MemberUpdate& update : broadcasts_.take(remaining, max_transmits(), encoded_size)) {
      message.updates.push_back(std::move(update));
    }
  }
  send_plain(address, std::move(message));
}

/// Number of bytes that are left for further updates.
std::size_t Messenger::remaining_bytes(const Message& message) const {
  const std::size_t max_bytes = context_.settings.max_datagram_bytes;
  std::size_t remaining = max_bytes - std::min(max_bytes, header_size(message, context_.settings.cluster));
  for (const MemberUpdate& update : message.updates) remaining -= std::min(remaining, encoded_size(update));
  return remaining;
}

std::size_t Messenger::max_transmits() const {
  const auto member_count = static_cast<double>(context_.view.registered());
  const double transmits = std::ceil(context_.settings.retransmit_factor * std::log10(member_count + 1));
  return std::max(static_cast<std::size_t>(transmits), kMinTransmits);
}

void Messenger::send_plain(const std::string& address, Message message) {
  context_.effects.emplace_back(SendDatagram{address, std::move(message)});
}

void Messenger::send_over_stream(const std::string& address, Message message) {
  context_.effects.emplace_back(SendFullSync{address, std::move(message)});
}

const std::string& Messenger::resolved_address(const std::string& address) const {
  const auto found = context_.settings.address_overrides.find(address);
  return found == context_.settings.address_overrides.end() ? address : found->second;
}

std::string Messenger::address_of(const std::string& name) const {
  const Member* member = context_.view.find(name);
  return member == nullptr ? std::string() : resolved_address(member->update.address);
}

}  // namespace edge_proxy::membership
