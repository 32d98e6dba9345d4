// SPDX-License-Identifier: MIT
/// @file
/// All limits for sockets: the time, memory and descriptors that one connection, one client and all
/// connections together may use. Sizes are in bytes.
#pragma once

#include <algorithm>
#include <cstddef>

#include "config/config.h"

namespace edge_proxy::proxy {

/// Returns the longest deadline of all request classes.
inline Time longest_deadline(const Settings& settings) {
  Time longest{0};
  for (const RequestClass& request_class : settings.classes)
    longest = std::max(longest, request_class.deadline);
  return longest;
}

// ---- Time ----

/// Upper bound of a client's limit and of the transfer time of an object, in multiples of the class's
/// deadline.
constexpr int kMaxDeadlines = 4;
/// Maximum time from connecting to the first complete message, and from a message's first byte to its last.
constexpr Time kMessageTimeout = std::chrono::milliseconds(2500);
/// A client that has sent nothing for this long after connecting is disconnected before other clients if
/// connections run short.
constexpr Time kFirstByteTimeout = std::chrono::milliseconds(500);
/// The event loop has stalled if it receives no input, timers included, for this long.
constexpr Time kLoopStallThreshold = std::chrono::milliseconds(500);
/// Well-behaved clients close idle connections after 4 s; this limit is for clients that never close them.
constexpr Time kClientIdleTimeout = std::chrono::seconds(6);
/// A client that has read nothing for this long although answers wait for it is disconnected if memory for
/// answers runs short.
constexpr Time kStalledReaderTimeout = std::chrono::seconds(1);
/// Maximum time for a client or an operator to read the last reply on a draining connection.
constexpr Time kDrainTimeout = std::chrono::milliseconds(500);
/// Maximum time from connecting to the admin address to the complete call.
constexpr Time kAdminCallTimeout = std::chrono::seconds(10);
/// Interval between reads of the overrides that another process of this edge proxy has stored.
constexpr Time kOverridesPollInterval = std::chrono::milliseconds(100);
/// Interval between checks whether clients with unread answers have read on.
constexpr Time kAcknowledgementPollInterval = std::chrono::milliseconds(100);
/// How long an operator's change of an override may take to be stored. Callers wait for 1 s.
constexpr Time kOverrideStoreTimeout = std::chrono::milliseconds(800);
/// How long it is remembered that the policy has resumed an endpoint; longer than any slow start.
constexpr Time kPolicyResumeRetention = std::chrono::seconds(60);

// Graceful shutdown. New connections and requests arrive for some time after SIGTERM. Then each connection is
// closed at the first moment without a pending request. Such moments are rare on a busy connection, which is
// served as long as an answer can still arrive in time. All requests are answered before the process may be
// killed, which is 0.7 s after the longest deadline; a longest deadline above 3 s counts as 3 s.
constexpr Time kCloseIdleAfterShutdown = std::chrono::milliseconds(650);
constexpr Time kListenAfterShutdown = std::chrono::seconds(1);
constexpr Time kMaxDeadlineAtShutdown = std::chrono::seconds(3);
constexpr Time kAnswerAfterDeadline = std::chrono::milliseconds(400);
constexpr Time kServeMarginAtShutdown = std::chrono::milliseconds(500);
/// A connection without activity for this long has no request in transit. A new connection may have one, so
/// that the longer limit applies until its first message.
constexpr Time kQuietPeriod = std::chrono::milliseconds(2);
constexpr Time kInitialQuietPeriod = std::chrono::milliseconds(100);
/// Replies that clients have not read this long after the last one was due are dropped: no client waits for
/// them, and the process must exit before it may be killed.
constexpr Time kFlushAfterShutdown = std::chrono::milliseconds(200);

// ---- One connection ----

/// Maximum read from a connection that closes because its cache was removed from the endpoint list; the
/// socket's buffers hold no more.
constexpr std::size_t kMaxDrainBytes = 8 * 1024 * 1024;

/// Maximum that a client may send while its connection drains; the bytes are discarded.
constexpr std::size_t kMaxDiscardedBytes = 256 * 1024;
/// Requests that one client connection may have pending; further ones are rejected at once.
constexpr std::size_t kMaxOpenCallsPerConnection = 32;
/// Unread replies of one client to calls that were not accepted, in bytes; a usual client has 32 of them at
/// most.
constexpr std::size_t kMaxUnreservedReplyBytes = 64 * 1024;
/// Maximum number of connections at the admin address.
constexpr int kMaxAdminConnections = 32;
/// Maximum number of endpoints with an admin override, and of removed endpoints that are remembered as
/// previously listed.
constexpr std::size_t kMaxOverrides = 1024;
/// Longest id of an endpoint with an admin override, in bytes.
constexpr std::size_t kMaxOverrideIdBytes = 1024;
/// Largest file of admin overrides that is read, in bytes; it holds two full tables with the longest ids.
constexpr std::size_t kMaxOverridesFileBytes = std::size_t{4} * 1024 * 1024;
constexpr std::size_t kMaxRemovedEndpoints = 256;
/// Limits per turn of the event loop, for fairness between sockets: bytes read from a client, bytes of one
/// read from another peer, reads from that peer, and accepted connections.
constexpr std::size_t kClientReadBytes = 16 * 1024;
constexpr std::size_t kReadChunkBytes = 64 * 1024;
constexpr int kReadsPerTurn = 4;
constexpr int kAcceptsPerTurn = 16;
/// Delay before the next accept after the system had no free descriptor for a client.
constexpr Time kAcceptRetryDelay = std::chrono::milliseconds(100);
/// Maximum number of ready sockets fetched from the system at once.
constexpr int kMaxReadyEvents = 1024;
constexpr int kListenBacklog = 512;
/// Small writes to a connection that is not writable are joined up to this size.
constexpr std::size_t kCoalescedWriteBytes = 16 * 1024;
/// Maximum number of log lines per second about failed attempts.
constexpr int kMaxFailedAttemptLinesPerSecond = 16;
/// Maximum size of the log lines that are buffered while standard output is blocked.
constexpr std::size_t kMaxBufferedLogBytes = 64 * 1024;

// ---- The local cache ----

/// The copies may use 1 / `kLocalCacheMemoryDivisor` of the memory limit.
constexpr std::size_t kLocalCacheMemoryDivisor = 7;
/// Number of responses seen once that are remembered until they are seen again.
constexpr std::size_t kLocalCacheSeenEntries = 4096;
/// A copy is no longer served from this long before it reaches its maximum age.
constexpr Time kLocalCopyAgeMargin = std::chrono::milliseconds(100);
/// No copy is served if no line from the discovery service has arrived for this long, since invalidations may
/// have been missed.
constexpr Time kDiscoverySilenceLimit = std::chrono::milliseconds(1500);

// ---- Memory, from the limits of the configuration ----

// The memory limit is divided as follows, so that the parts add up to it at every limit:
//   the process itself, its tables and the objects of its connections   kProcessBytes, kDescriptorBytes each
//   a discovery event that is received and parsed                       kDiscoveryEventCopies events
//   input of clients that is read ahead           kReadAheadCopies / kReadAheadMemoryDivisor
//   streams of members (only with `peers`)                              1 / kMemberStreamMemoryDivisor
//   copies in the local cache                                           1 / kLocalCacheMemoryDivisor
//   memory held on behalf of all other peers (proxy/memory_account.h)   the remainder
// The allocator takes 1 / kAllocatorOverheadDivisor of the local cache and of the remainder on top.

/// Memory of the program, GLib, the log, the invalidations and the learnt values, most of it for the counts
/// of popular objects, in bytes.
constexpr std::size_t kProcessBytes = std::size_t{7} * 1024 * 1024;
/// Memory of the objects of one connection without buffers, in bytes.
constexpr std::size_t kDescriptorBytes = 1536;
/// A discovery event may take 1 / this of the memory limit.
constexpr std::size_t kDiscoveryEventMemoryDivisor = 32;
/// Largest size of a discovery event at any memory limit, in bytes; a list of 3,200 endpoints takes half.
constexpr std::size_t kMaxDiscoveryEventBytes = 1024 * 1024;
/// An event's size is taken this many times while it is parsed: the text, the JSON values and the parser.
constexpr std::size_t kDiscoveryEventCopies = 5;
/// The buffers of all full-sync streams may take 1 / this of the memory limit.
constexpr std::size_t kMemberStreamMemoryDivisor = 16;
constexpr std::size_t kAllocatorOverheadDivisor = 8;
/// Memory of an accepted request without its body and attempts, in bytes: its fields and timers.
constexpr std::size_t kPendingRequestBytes = 1536;
/// Memory of an attempt without an end, in bytes, in all tables. It may outlive its request.
constexpr std::size_t kOutstandingAttemptBytes = 1536;
/// Memory of the record of an attempt that was written on a connection, in bytes.
constexpr std::size_t kAttemptUseBytes = 192;
/// Memory of the record of a request that may have run and must not run twice, in bytes.
constexpr std::size_t kExecutedRequestBytes = 128;
/// Those records may take 1 / this of the memory limit.
constexpr std::size_t kExecutedRequestMemoryDivisor = 64;
/// Bodies are held twice: for a retry, and by the attempt that waits for a connection.
constexpr std::size_t kBodyCopies = 2;
/// The first request of a client may use this many times the memory that further ones may.
constexpr std::size_t kFirstRequestMemoryMultiple = 2;
/// The replies of one client, unread or reserved, may take this many times the memory that nothing uses, so
/// that a single client with all its requests open never takes the others' memory.
constexpr std::size_t kMaxClientRepliesToFreeMemory = 2;

/// Memory of one endpoint in all tables, in bytes.
constexpr std::size_t kEndpointBytes = 1280;
/// The endpoint list may take 1 / this of the memory limit.
constexpr std::size_t kEndpointMemoryDivisor = 4;

/// Returns the largest discovery event that is accepted at this memory limit, in bytes.
constexpr std::size_t max_discovery_event_bytes(std::size_t memory_bytes) {
  return std::min(kMaxDiscoveryEventBytes, memory_bytes / kDiscoveryEventMemoryDivisor);
}

/// Input of clients that is read ahead may take 1 / this of the memory limit.
constexpr std::size_t kReadAheadMemoryDivisor = 128;
/// A buffer that grows takes up to this many times its content.
constexpr std::size_t kReadAheadCopies = 2;

/// Returns how much input of all clients may be read ahead at this memory limit, in bytes.
constexpr std::size_t max_read_ahead_bytes(std::size_t memory_bytes) {
  return memory_bytes / kReadAheadMemoryDivisor;
}

/// Returns how much the buffers of all full-sync streams may take at this memory limit, in bytes.
constexpr std::size_t max_member_stream_bytes(std::size_t memory_bytes) {
  return memory_bytes / kMemberStreamMemoryDivisor;
}

/// Peers get 1 / this of the memory limit at least, also where thousands of descriptors leave less.
constexpr std::size_t kMinPeerMemoryDivisor = 16;

/// Returns the memory that may be held on behalf of peers; see above.
constexpr std::size_t peer_memory_bytes(std::size_t memory_bytes, std::size_t descriptors,
                                        bool has_membership) {
  const std::size_t own = kProcessBytes + descriptors * kDescriptorBytes +
                          kDiscoveryEventCopies * max_discovery_event_bytes(memory_bytes) +
                          kReadAheadCopies * max_read_ahead_bytes(memory_bytes) +
                          (has_membership ? max_member_stream_bytes(memory_bytes) : 0);
  const std::size_t shared = memory_bytes > own ? memory_bytes - own : 0;
  const std::size_t usable = shared - shared / kAllocatorOverheadDivisor;
  const std::size_t local_cache = memory_bytes / kLocalCacheMemoryDivisor;
  const std::size_t remainder = usable > local_cache ? usable - local_cache : 0;
  return std::max(remainder, memory_bytes / kMinPeerMemoryDivisor);
}

// ---- All connections together, from the limits of the configuration ----

/// Descriptors for other purposes than the connections of ResourceLimits: standard streams, the event loop,
/// listeners, the overrides file, the discovery service, and one client that is accepted before another is
/// disconnected for it.
constexpr int kReservedDescriptors = 16;
/// Descriptors of the membership in addition to its full syncs: datagram socket, listener and state file.
constexpr int kMembershipDescriptors = 4;

/// Each kind of connection has its own share of the descriptors, so that no kind can exhaust those of another
/// and the total stays within the limit.
struct ResourceLimits {
  int descriptors = 0;           ///< limit for the whole process
  int client_connections = 0;    ///< connections of clients: half of the descriptors
  int draining_connections = 0;  ///< further client connections, open until the replies are read
  int admin_connections = 0;     ///< connections at the admin address
  int upstream_connections = 0;  ///< connections to caches: a third of the descriptors, or the remainder
  Time unread_timeout{0};        ///< no client waits longer for an answer
  std::size_t max_executed_requests = 0;  ///< remembered requests that must not run twice
  std::size_t max_endpoints = 0;          ///< listed endpoints; further ones are ignored
  std::size_t discovery_event_bytes = 0;  ///< largest event of the discovery service
  std::size_t peer_memory_bytes = 0;      ///< memory held on behalf of peers, all together
  /// Unread replies of one client above which its new requests are rejected at once.
  std::size_t reject_unsent_bytes = 0;

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
        max_executed_requests(config.memory_bytes / kExecutedRequestMemoryDivisor / kExecutedRequestBytes),
        max_endpoints(config.memory_bytes / kEndpointMemoryDivisor / kEndpointBytes),
        discovery_event_bytes(max_discovery_event_bytes(config.memory_bytes)),
        peer_memory_bytes(proxy::peer_memory_bytes(config.memory_bytes,
                                                   static_cast<std::size_t>(config.max_descriptors),
                                                   config.membership.has_value())),
        reject_unsent_bytes(std::min<std::size_t>(2 * 1024 * 1024, config.memory_bytes / 16)) {}
};

}  // namespace edge_proxy::proxy
