// SPDX-License-Identifier: MIT
/// @file
/// The effects of the edge proxy's reducer. The event loop carries them out in order.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "consensus/raft_log.h"
#include "membership/reducer.h"
#include "proxy/connection_id.h"
#include "proxy/overrides/override_table.h"

namespace edge_proxy::proxy {

/// Writes bytes on a connection.
struct Write {
  ConnectionId connection = 0;
  std::string bytes;
};
/// Opens a connection; its result arrives as Connected or ConnectFailed.
struct Connect {
  ConnectionId connection = 0;
  std::string address;
  bool high_priority = false;  ///< ready bytes are read before those of all other sockets
};
/// Shuts down the write side after all bytes are written, so that the peer can still read them.
struct ShutdownWrite {
  ConnectionId connection = 0;
};
/// Reads nothing more from a client's connection; its end is still reported.
struct StopReading {
  ConnectionId connection = 0;
};
/// Closes a connection; no input about it follows. Closing the listener is answered by ListenerClosed and
/// ends the program after the last connection has closed.
struct Close {
  ConnectionId connection = 0;
};
/// Reads the bytes that have already arrived on the connection, reported as BytesArrived, then closes it,
/// reported as ConnectionClosed.
struct DrainAndClose {
  ConnectionId connection = 0;
};
/// Requests a LoopTimerExpired at this time; the newest request replaces the previous one.
struct ArmTimer {
  Time at{0};
};
/// Writes a line to the log.
struct LogLine {
  std::string line;
};
/// Stops accepting, so that another process that listens at the same address, if any, gets new connections.
struct StopAccepting {};
/// Stores the change of an operator's call for all processes of this edge proxy; its result arrives as an
/// OverrideReply within kOverrideStoreTimeout.
struct StoreOverride {
  ConnectionId call = 0;
  OverrideChange change;
};
/// Adds what the table knows to the stored overrides, in the background.
struct MergeOverrides {
  OverrideTable overrides;
};
/// Sends a message on the membership sockets.
struct MembershipEffect {
  std::variant<membership::SendDatagram, membership::SendFullSync, membership::FullSyncReply> effect;
};
/// Stores this process's identity and its known members for the successor process; the newest state replaces
/// the previous one.
struct PersistMembership {
  membership::MemberUpdate self;
  std::vector<membership::MemberUpdate> members;
};
/// Closes the membership sockets.
struct StopMembership {};
/// A bootstrap message of the cluster arrived from the member `from`.
struct BootstrapReceived {
  std::string from;
  consensus::BootstrapMessage message;
};
/// An operator's call to change the voters: `name` is `NAME=ID` for an addition and a name for a removal.
struct VoterChangeCall {
  ConnectionId call = 0;
  std::string name;
  bool add = false;
};
/// Passes an effect or a message to the replicated log of the policy.
struct ConsensusEffect {
  std::variant<consensus::AppendEntry, consensus::CheckTerm, consensus::PersistLearned,
               consensus::RaftMessage, BootstrapReceived, VoterChangeCall>
      effect;
};
using Effect = std::variant<Write, Connect, ShutdownWrite, StopReading, Close, DrainAndClose, ArmTimer,
                            LogLine, StopAccepting, StoreOverride, MergeOverrides, MembershipEffect,
                            PersistMembership, StopMembership, ConsensusEffect>;

}  // namespace edge_proxy::proxy
