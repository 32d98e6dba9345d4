// SPDX-License-Identifier: MIT
/// @file
/// All bounds of the socket side: what one connection, one client and all together may hold or take up. Sizes
/// are in bytes.
#pragma once

#include <algorithm>
#include <cstddef>

#include "config/config.h"

namespace edge_proxy::proxy {

/// The longest deadline of all classes of the settings.
inline Time longest_deadline(const Settings& settings) {
  Time longest{0};
  for (const RequestClass& request_class : settings.classes)
    longest = std::max(longest, request_class.deadline);
  return longest;
}

// ---- Time ----

/// From connecting to the first complete message, and from a message's first byte to its last.
constexpr Time kMessageTimeout = std::chrono::milliseconds(2500);
/// A client that has sent nothing for this long makes room before those that have.
constexpr Time kFirstByteTimeout = std::chrono::milliseconds(500);
/// Without any input for this long, timers included, the event loop itself has stalled.
constexpr Time kLoopStallThreshold = std::chrono::milliseconds(500);
/// Clients close idle connections after 4 s; this is for those that keep one for good.
constexpr Time kClientIdleTimeout = std::chrono::seconds(6);
/// How long a client whose connection drains may take to read the last reply; likewise an operator.
constexpr Time kDrainTimeout = std::chrono::milliseconds(500);
/// From connecting at the admin address to the complete call.
constexpr Time kAdminCallTimeout = std::chrono::seconds(10);
/// How often the overrides that another process of this edge proxy has stored are read.
constexpr Time kOverridesPollInterval = std::chrono::milliseconds(100);
/// How long a resumed endpoint's override is remembered: longer than any slow start takes.
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
/// Replies that clients have not read this long after the last one was due are dropped: nobody waits for
/// them, and the process has to be gone before it may be killed.
constexpr Time kFlushAfterShutdown = std::chrono::milliseconds(200);

// ---- One connection ----

/// Read at most from a connection that ends since its cache was removed from the list: what its buffers hold.
constexpr std::size_t kMaxDrainBytes = 8 * 1024 * 1024;

/// What a client may send while its connection drains; it is discarded.
constexpr std::size_t kMaxDiscardedBytes = 256 * 1024;
constexpr std::size_t kMaxOpenCallsPerConnection = 32;
/// Connections at the admin address.
constexpr int kMaxAdminConnections = 32;
/// Endpoints that operators may suspend, and removed endpoints of which it is remembered that they were
/// listed.
constexpr std::size_t kMaxOverrides = 1024;
constexpr std::size_t kMaxRemovedEndpoints = 256;
/// Read from a client, and from another peer, before the other sockets have their turn; likewise accepted.
constexpr std::size_t kClientReadBytes = 16 * 1024;
constexpr std::size_t kReadChunkBytes = 64 * 1024;
constexpr int kReadsPerTurn = 4;
constexpr int kAcceptsPerTurn = 16;
/// After the system gave no descriptor for a client, the next accept is tried this much later.
constexpr Time kAcceptRetryDelay = std::chrono::milliseconds(100);
/// Ready sockets taken from the system at once.
constexpr int kMaxReadyEvents = 1024;
constexpr int kListenBacklog = 512;
/// Capacity of the write buffer that a connection keeps once all is sent.
constexpr std::size_t kRetainedWriteBufferBytes = 16 * 1024;
/// Log lines a second on attempts that failed.
constexpr int kMaxFailedAttemptLinesPerSecond = 16;
/// Of log lines that standard output does not take at the moment.
constexpr std::size_t kMaxBufferedLogBytes = 64 * 1024;

// ---- The local cache ----

/// The part of the memory that its copies may take: 1 / this.
constexpr std::size_t kLocalCacheMemoryDivisor = 7;
/// Responses that came once and are remembered until they come again.
constexpr std::size_t kLocalCacheSeenEntries = 4096;
/// A copy is not served any more this long before it is too old.
constexpr Time kLocalCopyAgeMargin = std::chrono::milliseconds(100);
/// Without a line from the discovery service for this long none is served: invalidations may have been
/// missed.
constexpr Time kDiscoverySilenceLimit = std::chrono::milliseconds(1500);

// ---- All together, by the limits of the configuration ----

/// Descriptors that are no connections of the kinds below: standard streams, the loop's own, listeners, the
/// overrides file, the discovery service, one client that is accepted before another makes room for it.
constexpr int kReservedDescriptors = 16;
/// Those of the membership, beside its full syncs: datagrams, a listener, the file that is stored.
constexpr int kMembershipDescriptors = 4;

/// The kinds of connections have parts of the descriptors of their own, so that none can take what another
/// needs, and all together stay within the limit.
struct ResourceLimits {
  int descriptors = 0;           ///< all together
  int client_connections = 0;    ///< connections of clients: half of them
  int draining_connections = 0;  ///< and so many more that end, so that what was written can still be read
  int admin_connections = 0;     ///< connections at the admin address
  int upstream_connections = 0;  ///< connections to caches: a third, or what is left
  Time unread_timeout{0};        ///< nobody waits longer for an answer
  std::size_t body_bytes = 0;    ///< bodies of pending requests
  std::size_t unsent_bytes = 0;  ///< replies that wait to be read, of all clients
  std::size_t reject_unsent_bytes = 0;      ///< of one client: new requests are rejected at once
  std::size_t disconnect_unsent_bytes = 0;  ///< of one client: it is disconnected

  explicit ResourceLimits(const config::Config& config)
      : descriptors(config.max_descriptors),
        client_connections(config.max_descriptors / 2),
        draining_connections(config.max_descriptors / 16),
        admin_connections(std::min(kMaxAdminConnections, config.max_descriptors / 16)),
        upstream_connections(
            std::min(descriptors / 3,
                     descriptors - client_connections - draining_connections - admin_connections -
                         kReservedDescriptors -
                         (config.membership ? config.membership->max_streams + kMembershipDescriptors : 0))),
        unread_timeout(longest_deadline(config.settings)),
        body_bytes(config.memory_bytes / 8),
        unsent_bytes(config.memory_bytes / 5),
        reject_unsent_bytes(std::min<std::size_t>(2 * 1024 * 1024, config.memory_bytes / 16)),
        disconnect_unsent_bytes(std::min<std::size_t>(9 * 1024 * 1024, config.memory_bytes / 8)) {}
};

}  // namespace edge_proxy::proxy
