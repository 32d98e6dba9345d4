// SPDX-License-Identifier: MIT
/// @file
/// The effects of the edge proxy's reducer: what the event loop carries out for it, in order.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "consensus/raft_log.h"
#include "membership/reducer.h"
#include "proxy/connection_id.h"

namespace edge_proxy::proxy {

/// Writes bytes on a connection.
struct Write {
  ConnectionId connection = 0;
  std::string bytes;
};
/// Opens a connection; answered by Connected or ConnectFailed.
struct Connect {
  ConnectionId connection = 0;
  std::string address;
  bool high_priority = false;  ///< its bytes are read before those of all other sockets that are ready
};
/// Ends this side's half once all is written: the other side can still read it.
struct ShutdownWrite {
  ConnectionId connection = 0;
};
/// No input about the connection follows. Closing the listener ends the program once no connection is left.
struct Close {
  ConnectionId connection = 0;
};
/// Reads what has come on the connection so far, reported as BytesArrived, then closes it, reported as
/// ConnectionClosed.
struct DrainAndClose {
  ConnectionId connection = 0;
};
/// Asks for a LoopTimerExpired at this time; the newest replaces those before.
struct ArmTimer {
  Time at{0};
};
/// A line for the log.
struct LogLine {
  std::string line;
};
/// New connections go to another process that listens at the same address, where there is one.
struct StopAccepting {};
/// Stores the admin overrides for the process that follows; the newest replaces those before.
struct PersistOverrides {
  std::string overrides;
};
/// To be sent on the membership sockets.
struct MembershipEffect {
  std::variant<membership::SendDatagram, membership::SendFullSync, membership::FullSyncReply> effect;
};
/// Stores this process's identity and the members that it knows for the process that follows; the newest
/// replaces those before.
struct PersistMembership {
  membership::MemberUpdate self;
  std::vector<membership::MemberUpdate> members;
};
/// Closes the membership sockets.
struct StopMembership {};
/// A message of the cluster's bootstrap came from that member.
struct BootstrapReceived {
  std::string from;
  consensus::BootstrapMessage message;
};
/// An operator's call to change the voters: `name=id` to be added, or a name to be removed.
struct VoterChangeCall {
  ConnectionId call = 0;
  std::string name;
  bool add = false;
};
/// For the policy's log.
struct ConsensusEffect {
  std::variant<consensus::AppendEntry, consensus::CheckTerm, consensus::PersistLearned,
               consensus::RaftMessage, BootstrapReceived, VoterChangeCall>
      effect;
};
using Effect =
    std::variant<Write, Connect, ShutdownWrite, Close, DrainAndClose, ArmTimer, LogLine, StopAccepting,
                 PersistOverrides, MembershipEffect, PersistMembership, StopMembership, ConsensusEffect>;

}  // namespace edge_proxy::proxy
