// SPDX-License-Identifier: MIT
/// @file
/// The requests that were accepted and not answered yet: read from clients' calls, given their final answers,
/// counted. What becomes of them is decided elsewhere.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "codec/cache_lines.h"
#include "proxy/client/client_connections.h"
#include "proxy/context.h"

namespace edge_proxy::proxy {

/// A request that was accepted and not answered yet. Texts are the bytes that the client sent.
struct PendingRequest {
  ConnectionId client = 0;
  CallId call_id = 0;
  std::string verb;               ///< its class
  std::string item;               ///< its object
  std::string piece;              ///< the part of the object; empty: the first
  std::string key;                ///< idempotency key; empty: none
  std::string client_entity_tag;  ///< of the copy that the client holds; empty: none
  std::string body;
  Request request;
  int attempt_count = 0;
  std::uint64_t accepted_epoch = 0;  ///< of the policy, under which it was accepted
};

/// What a served request is answered with.
struct ServedResponse {
  std::string_view body;
  std::optional<std::string_view> entity_tag;
  bool not_modified = false;  ///< the copy that the client holds is still good
};

class PendingRequests {
 public:
  /// Final answers since the start, of one class.
  struct AnswerCounts {
    std::size_t served = 0;
    std::size_t rejected = 0;
    std::size_t failed = 0;
  };

  PendingRequests(Context& context, ClientConnections& clients, const Settings& settings)
      : context_(context), clients_(clients), settings_(settings), answer_counts_(settings.classes.size()) {}

  /// The request that a call asks for; none where a field is missing, malformed or out of bounds. Moves the
  /// call's body out on success. `answer_deadline`: when it has to be answered at the latest, where anything
  /// but the client's own limit sets that.
  std::optional<PendingRequest> read(ConnectionId client, ObjectRequest& call,
                                     std::optional<Time> answer_deadline) const;
  /// Whether the memory for bodies has room for its body.
  [[nodiscard]] bool has_room_for(const PendingRequest& request) const {
    return body_bytes_ + request.body.size() <= context_.limits.body_bytes;
  }
  void add(PendingRequest request);
  PendingRequest* find(const std::string& request);
  /// No answer is owed any more. Returns whether one was.
  bool remove(const std::string& request);
  [[nodiscard]] std::size_t open_count() const { return pending_.size(); }

  // Final answers, for a request that is still owed one; else nothing happens.
  void served(const std::string& request, const codec::CacheResponse& answer);
  void served(const std::string& request, const ServedResponse& response);
  /// `retry_after`: when to send it again, at most the settings' bound; 0: the client is not told.
  void rejected(const std::string& request, Time retry_after);
  void failed(const std::string& request);

  /// The place of a call's class in the settings; past their end where there is none of that name.
  [[nodiscard]] std::size_t class_of(const ObjectRequest& call) const;

  // Answers to calls that are not accepted.
  void reject_unaccepted(ConnectionId client, const ObjectRequest& call);
  void fail_unaccepted(ConnectionId client, const ObjectRequest& call);

  /// By class, in the order of the settings.
  [[nodiscard]] const std::vector<AnswerCounts>& answer_counts() const { return answer_counts_; }
  [[nodiscard]] const std::string& class_name(std::size_t request_class) const {
    return settings_.classes[request_class].name;
  }

 private:
  enum class FinalAnswer { served, rejected, failed };

  [[nodiscard]] std::size_t class_of(std::string_view name) const;
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
  std::size_t body_bytes_ = 0;  // of all pending requests
  std::vector<AnswerCounts> answer_counts_;
};

}  // namespace edge_proxy::proxy
