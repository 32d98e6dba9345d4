// SPDX-License-Identifier: MIT
/// @file
/// All bounds of the socket side: what one connection, one client and all together may hold or take up.
#pragma once

#include <algorithm>
#include <cstddef>

#include "config/config.h"

namespace edge_proxy::proxy {

/// Of all classes of the settings.
inline Time longest_deadline(const Settings& settings) {
  Time longest{0};
  for (const RequestClass& c : settings.classes) longest = std::max(longest, c.deadline);
  return longest;
}

// ---- Time ----

/// From connecting to the first whole message, and from a message's first byte to its last.
constexpr Time kMessageTimeout = std::chrono::milliseconds(2500);
/// A client that has said nothing for this long makes room before those that have.
constexpr Time kFirstByteTimeout = std::chrono::milliseconds(500);
/// Without any input for this long, timers included, the program itself stood still.
constexpr Time kLoopStallThreshold = std::chrono::milliseconds(500);
/// Clients close idle connections after 4 s; this is for those that keep one for good.
constexpr Time kClientIdle = std::chrono::seconds(6);
/// How long a client that is turned away may take to read why; likewise an operator his answer.
constexpr Time kDrainTimeout = std::chrono::milliseconds(500);
/// From connecting at the second address to the whole call.
constexpr Time kAdminCallTimeout = std::chrono::seconds(10);
/// How often what another process of this edge proxy keeps is looked at.
constexpr Time kOverridesPollInterval = std::chrono::milliseconds(100);
/// For how long it is known that operators put a member back: longer than any takes to get warm.
constexpr Time kOverrideRetention = std::chrono::seconds(60);

// After SIGTERM new connections and requests keep coming for some time. Then each connection ends at the
// first moment at which it owes nothing: a busy one has few of those, and is served as long as an answer can
// still come in time. All is answered before the process may be killed: that is 0.7 s after the
// longest deadline, which counts as 3 s at most.
constexpr Time kCloseIdleAfterShutdown = std::chrono::milliseconds(650);
constexpr Time kListenAfterShutdown = std::chrono::seconds(1);
constexpr Time kMaxDeadlineAtShutdown = std::chrono::seconds(3);
constexpr Time kAnswerAfterDeadline = std::chrono::milliseconds(400);
constexpr Time kServeMarginAtShutdown = std::chrono::milliseconds(500);
/// A connection on which nothing has happened for this long has no request on its way; a new one may have.
constexpr Time kQuietPeriod = std::chrono::milliseconds(2);
constexpr Time kInitialQuietPeriod = std::chrono::milliseconds(100);
/// Answers that clients have not taken this long after the last one was due are cut off: nobody waits for
/// them, and the process has to be gone before it may be killed.
constexpr Time kFlushAfterShutdown = std::chrono::milliseconds(200);

// ---- One connection ----

/// Read at most from a connection that ends with the news that its cache has gone: what its buffers hold.
constexpr std::size_t kMaxDrainBytes = 8 * 1024 * 1024;

/// What it may send after it was turned away, which is thrown away.
constexpr std::size_t kMaxDiscardedBytes = 256 * 1024;
constexpr std::size_t kMaxOpenCalls = 32;
/// Connections at the second address.
constexpr int kMaxAdminConnections = 32;
/// Members that operators may take out, and members that left of which it is known that they were listed.
constexpr std::size_t kMaxOverrides = 1024;
constexpr std::size_t kMaxRemovedEndpoints = 256;
/// Read from a client, and from another peer, before the other sockets have their turn; likewise accepted.
constexpr std::size_t kClientReadBytes = 16 * 1024;
constexpr std::size_t kReadChunkBytes = 64 * 1024;
constexpr int kReadsPerTurn = 4;
constexpr int kAcceptsPerTurn = 16;
/// After the system gave no descriptor for a client, the next is asked for this much later.
constexpr Time kAcceptRetryDelay = std::chrono::milliseconds(100);
/// Ready sockets taken from the system at once.
constexpr int kMaxReadyEvents = 1024;
constexpr int kListenBacklog = 512;
/// Room for what is to be sent that a connection keeps once all is sent.
constexpr std::size_t kRetainedWriteBufferBytes = 16 * 1024;
/// Lines a second on attempts that ended wrong.
constexpr int kMaxFailedAttemptLines = 16;
/// Of log lines that standard output does not take at the moment.
constexpr std::size_t kMaxBufferedLogBytes = 64 * 1024;

// ---- Copies of its own ----

/// The part of the memory that they may take: 1 / this.
constexpr std::size_t kLocalCacheMemoryDivisor = 7;
/// Parts of objects of which it is known what came last.
constexpr std::size_t kLocalCacheSeenEntries = 4096;
/// A copy is not served any more this long before it is too old.
constexpr Time kLocalCopyAgeMargin = std::chrono::milliseconds(100);
/// Without a word from the bulletin for this long, none is: purges may have been told in vain.
constexpr Time kDiscoverySilenceLimit = std::chrono::milliseconds(1500);

// ---- All together, by the limits that the configuration tells ----

/// Descriptors that are no connections of the kinds below: standard streams, the loop's own, listeners, the
/// file that is kept, the bulletin, one client that is accepted before another one makes room for it.
constexpr int kOtherDescriptors = 16;
/// The peers' own, beside their exchanges: datagrams, a listener, the file that is kept.
constexpr int kMembershipDescriptors = 4;

/// The kinds of connections have parts of the descriptors of their own, so that none can take what another
/// needs, and all together stay within the limit.
struct ResourceLimits {
  int descriptors = 0;           ///< descriptors
  int client_connections = 0;    ///< clients' connections: half of them
  int draining_connections = 0;  ///< and so many more that end, so that what was written can still be read
  int admin_connections = 0;     ///< connections at the second address
  int upstream_connections = 0;  ///< connections to caches: a third, or what is left
  Time unread_timeout{0};        ///< nobody waits longer for an answer
  std::size_t body_bytes = 0;    ///< bytes of open requests' bodies
  std::size_t unsent_bytes = 0;  ///< answers that wait to be read, of all clients
  std::size_t reject_unsent_bytes = 0;  ///< of one client: new requests are refused at once
  std::size_t disconnect_unsent_bytes = 0;

  explicit ResourceLimits(const config::Config& config)
      : descriptors(config.max_descriptors),
        client_connections(config.max_descriptors / 2),
        draining_connections(config.max_descriptors / 16),
        admin_connections(std::min(kMaxAdminConnections, config.max_descriptors / 16)),
        upstream_connections(std::min(
            descriptors / 3,
            descriptors - client_connections - draining_connections - admin_connections - kOtherDescriptors -
                (config.membership ? config.membership->max_streams + kMembershipDescriptors : 0))),
        unread_timeout(longest_deadline(config.settings)),
        body_bytes(config.memory_bytes / 8),
        unsent_bytes(config.memory_bytes / 5),
        reject_unsent_bytes(std::min<std::size_t>(2 * 1024 * 1024, config.memory_bytes / 16)),
        disconnect_unsent_bytes(std::min<std::size_t>(9 * 1024 * 1024, config.memory_bytes / 8)) {}
};

}  // namespace edge_proxy::proxy
