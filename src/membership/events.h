// SPDX-License-Identifier: MIT
/// @file
/// Inputs and effects of the membership reducer (membership/reducer.h), and the identity with which a process
/// starts.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "membership/codec.h"
#include "membership/types.h"

namespace edge_proxy::membership {

// ---- Inputs ----

/// A decoded and validated message. `stream` identifies the stream on which a full sync is answered; 0 for
/// datagrams.
struct MessageReceived {
  Message message;
  std::uint64_t stream = 0;
};
/// Received bytes were not a message for this proxy; `address` sent them.
struct MessageRejected {
  DecodeError reason = DecodeError::malformed;
  std::string address;
};
/// The time that State::next_due() returned has passed.
struct TimerExpired {};
struct ShutdownRequested {};
/// An operator states that a dead member will never return.
struct ForgetMember {
  std::string name;
};
/// Sends bytes of another subsystem to a registered member, in a datagram if they fit, otherwise over a
/// stream. Delivery is not guaranteed.
struct SendUserMessage {
  std::string to, payload;
};
using Input = std::variant<MessageReceived, MessageRejected, TimerExpired, ShutdownRequested, ForgetMember,
                           SendUserMessage>;

// ---- Effects ----

struct SendDatagram {
  std::string address;
  Message message;
};
/// Sends a message over a new stream; the reply on the stream arrives as MessageReceived.
struct SendFullSync {
  std::string address;
  Message message;
};
/// Replies on the stream of a received full sync.
struct FullSyncReply {
  std::uint64_t stream = 0;
  Message message;
};
struct LogLine {
  std::string line;
};
/// State::persistent_state() has changed and must be stored.
struct PersistState {};
/// A registered member sent bytes to another subsystem of this proxy.
struct UserMessageReceived {
  std::string from, payload;
};
using Effect =
    std::variant<SendDatagram, SendFullSync, FullSyncReply, LogLine, PersistState, UserMessageReceived>;

// ---- Start ----

/// The stored identity of this process.
struct Identity {
  std::uint64_t disk_id = 0;
  std::uint64_t incarnation = 1;            ///< greater than all incarnations used with this disk before
  bool is_new_disk = true;                  ///< nothing was stored; another member may have used the name
  std::vector<MemberUpdate> known_members;  ///< the stored State::persistent_state()
};

}  // namespace edge_proxy::membership
