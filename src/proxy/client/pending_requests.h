// SPDX-License-Identifier: MIT
/// @file
/// The requests that were accepted and not answered yet. They are parsed from the calls of clients, receive
/// exactly one final answer and are counted here; the router decides on their answers.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "codec/cache_lines.h"
#include "proxy/client/client_connections.h"
#include "proxy/client/reply_size_estimate.h"
#include "proxy/context.h"

namespace edge_proxy::proxy {

/// A request that was accepted and not answered yet. Its strings are the bytes that the client sent.
struct PendingRequest {
  ConnectionId client = 0;
  CallId call_id = 0;
  std::string verb;               ///< name of the request class
  std::string item;               ///< id of the object
  std::string piece;              ///< part of the object; empty: the first
  std::string key;                ///< idempotency key; empty: none
  std::string client_entity_tag;  ///< entity tag of the client's copy; empty: none
  std::string body;
  Request request;
  std::size_t reply_bytes = 0;  ///< reserved for the answer
  int attempt_count = 0;
  std::optional<Time> send_before;   ///< a request that comes again must not be sent later
  std::uint64_t accepted_epoch = 0;  ///< policy epoch under which the request was accepted
};

/// The content of the answer to a served request.
struct ServedResponse {
  std::string_view body;
  std::optional<std::string_view> entity_tag;
  bool not_modified = false;  ///< whether the client's copy is still valid
};

class PendingRequests {
 public:
  /// Numbers of final answers to requests of one class since the process started.
  struct AnswerCounts {
    std::size_t served = 0;
    std::size_t rejected = 0;
    std::size_t failed = 0;
  };

  PendingRequests(Context& context, ClientConnections& clients, const Settings& settings)
      : context_(context),
        clients_(clients),
        settings_(settings),
        memory_(context.memory, MemoryUse::requests),
        reply_sizes_(settings.classes.size()),
        answer_counts_(settings.classes.size()) {}

  /// Parses the request of a call; returns none if a field is missing, malformed or out of bounds. On
  /// success, the body is moved out of the call. `answer_deadline`: the latest time of the answer, if the
  /// shutdown sets one in addition to the client's limit.
  std::optional<PendingRequest> read(ConnectionId client, ObjectRequest& call,
                                     std::optional<Time> answer_deadline) const;
  /// Whether the request fits into the memory for requests, and its answer into that for replies. A client
  /// without an open request may use more of it, so that clients with many requests are rejected before
  /// others.
  [[nodiscard]] bool has_room_for(const PendingRequest& request);
  void add(PendingRequest request);
  PendingRequest* find(const std::string& request);
  /// Removes a request without an answer. Returns whether it was pending.
  bool remove(const std::string& request);
  [[nodiscard]] std::size_t open_count() const { return pending_.size(); }

  // The following functions give a pending request its final answer; other ids are ignored.
  void served(const std::string& request, const codec::CacheResponse& answer);
  void served(const std::string& request, const ServedResponse& response);
  /// `retry_after`: the delay after which the client may retry, capped by the settings; 0: none is sent.
  void rejected(const std::string& request, Time retry_after);
  void failed(const std::string& request);

  /// Returns the index of the call's request class in the settings, or the number of classes if there is no
  /// class of that name.
  [[nodiscard]] std::size_t class_of(const ObjectRequest& call) const;

  // The following functions answer calls that were not accepted.
  void reject_unaccepted(ConnectionId client, const ObjectRequest& call);
  void fail_unaccepted(ConnectionId client, const ObjectRequest& call);

  /// Returns the counts by class in the order of the settings.
  [[nodiscard]] const std::vector<AnswerCounts>& answer_counts() const { return answer_counts_; }
  [[nodiscard]] const std::string& class_name(std::size_t request_class) const {
    return settings_.classes[request_class].name;
  }

 private:
  enum class FinalAnswer { served, rejected, failed };

  [[nodiscard]] std::size_t class_of(std::string_view name) const;
  [[nodiscard]] static std::size_t memory_of(const PendingRequest& request);
  [[nodiscard]] double max_size_kb(const RequestClass& request_class) const;
  [[nodiscard]] bool is_valid(const PendingRequest& pending, const RequestClass& request_class) const;
  [[nodiscard]] ClientFields retry_after_fields(Time delay) const;
  void count(std::size_t request_class, FinalAnswer answer);
  void release(std::map<std::string, PendingRequest>::iterator pending);
  template <typename MakeReply>
  void finish(const std::string& request, FinalAnswer answer, MakeReply&& make_reply);

  Context& context_;
  ClientConnections& clients_;
  const Settings& settings_;
  std::map<std::string, PendingRequest> pending_;
  MemoryCharge memory_;  // of all pending requests
  ReplySizeEstimate reply_sizes_;
  std::vector<AnswerCounts> answer_counts_;
};

}  // namespace edge_proxy::proxy
