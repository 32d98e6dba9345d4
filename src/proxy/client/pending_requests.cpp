// SPDX-License-Identifier: MIT
#include "proxy/client/pending_requests.h"

#include <algorithm>
#include <charconv>

namespace edge_proxy::proxy {
namespace {

using namespace std::chrono_literals;

// A client counts its patience from when it sent the request, and the answer has a way to go as well.
constexpr Time kTravel = 10ms;
constexpr std::size_t kMaxText = 128;     // of an id, a key or a tag
constexpr std::size_t kMaxSent = 48'000;  // bytes of a write
constexpr std::uint64_t kMaxPiece = 1'000'000;
constexpr int kMostDeadlines = 4;  // the sending time of the largest object, in deadlines of its class

/// Whether a client's text can stand in a line to a cache as it is. Guards against a request whose fields
/// would read there as other fields, or as a command of their own.
bool plain(std::string_view text) {
  return !text.empty() && text.size() <= kMaxText && std::all_of(text.begin(), text.end(), [](char c) {
    return c > ' ' && c < 0x7f && c != ',' && c != '=';
  });
}

bool hex16(std::string_view text) {
  return text.size() == 16 && std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
         });
}

template <typename Number>
std::optional<Number> number_of(std::string_view text) {
  Number value{};
  const auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (problem != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return value;
}

class FieldReader {
 public:
  explicit FieldReader(const ClientFields& fields) : fields_(fields) {}
  std::string_view text(std::string_view name) const {
    for (const auto& [key, value] : fields_) {
      if (key == name) return value;
    }
    return {};
  }

 private:
  const ClientFields& fields_;
};

}  // namespace

/// Guards the module's means of work against sizes that no object has.
double PendingRequests::max_size_kb(const RequestClass& request_class) const {
  const double most = kMostDeadlines * std::chrono::duration<double>(request_class.deadline).count();
  return settings_.transfer_kb_per_s > 0 ? most * settings_.transfer_kb_per_s : 1e9;
}

std::optional<PendingRequest> PendingRequests::read(ConnectionId client, ObjectRequest& call,
                                                    std::optional<Time> answer_by) const {
  const FieldReader fields(call.fields);
  PendingRequest taken;
  taken.client = client;
  taken.call_id = call.id;
  taken.verb = fields.text("verb");
  taken.item = fields.text("item");
  taken.piece = fields.text("piece");
  taken.key = fields.text("unique");
  taken.client_entity_tag = fields.text("ver");
  const std::string id(fields.text("txn"));
  const auto& classes = settings_.classes;
  const auto known = classes.begin() + static_cast<std::ptrdiff_t>(class_of(taken.verb));
  const auto limit = number_of<std::int64_t>(fields.text("limit"));
  const auto piece = number_of<std::uint64_t>(taken.piece.empty() ? "0" : taken.piece);
  const auto lot = number_of<std::int64_t>(fields.text("lot").empty() ? "0" : fields.text("lot"));
  const auto kb = number_of<double>(fields.text("ram").empty() ? "0" : fields.text("ram"));
  const bool good =
      call.readable && known != classes.end() && hex16(id) && hex16(taken.item) && limit && *limit > 0 &&
      std::chrono::milliseconds(*limit) <= kMostDeadlines * known->deadline && piece && lot && *lot >= 0 &&
      *lot <= 255 && kb && *kb >= 0 && *kb <= max_size_kb(*known) && *piece <= kMaxPiece &&
      call.body.size() <= kMaxSent && (taken.client_entity_tag.empty() || plain(taken.client_entity_tag)) &&
      (taken.key.empty() ? known->idempotency != edge_proxy::Idempotency::with_key : plain(taken.key));
  if (!good) return std::nullopt;
  Request& r = taken.request;
  r.id = id;
  r.request_class = static_cast<int>(known - classes.begin());
  std::from_chars(taken.item.data(), taken.item.data() + taken.item.size(), r.object, 16);
  r.part = *piece;
  r.group = *lot;
  r.size_kb = *kb;
  const Time patience = std::chrono::milliseconds(*limit);
  r.expires = context_.now + std::max(patience - kTravel, patience / 2);
  if (answer_by) r.expires = std::min(r.expires, *answer_by);
  r.write = known->uncacheable;
  r.client_retry = fields.text("second") == "1";
  taken.body = std::move(call.body);
  return taken;
}

void PendingRequests::add(PendingRequest request) {
  body_bytes_ += request.body.size();
  clients_.add_open_call(request.client, request.call_id, request.request.id);
  std::string id = request.request.id;
  pending_.emplace(std::move(id), std::move(request));
}

PendingRequest* PendingRequests::find(const std::string& request) {
  const auto found = pending_.find(request);
  return found == pending_.end() ? nullptr : &found->second;
}

bool PendingRequests::remove(const std::string& request) {
  const auto found = pending_.find(request);
  if (found == pending_.end()) return false;
  release(found);
  return true;
}

void PendingRequests::release(std::map<std::string, PendingRequest>::iterator taken) {
  body_bytes_ -= taken->second.body.size();
  pending_.erase(taken);
}

template <typename MakeReply>
void PendingRequests::answer(const std::string& request, FinalAnswer kind, MakeReply&& make_reply) {
  const auto found = pending_.find(request);
  if (found == pending_.end()) return;
  const ConnectionId front = found->second.client;
  const CallId tag = found->second.call_id;
  count(static_cast<std::size_t>(found->second.request.request_class), kind);
  release(found);
  clients_.remove_open_call(front, tag);
  ClientProtocol* protocol = clients_.protocol(front);
  if (protocol != nullptr) clients_.reply(front, make_reply(*protocol, tag));
}

void PendingRequests::served(const std::string& request, const codec::CacheResponse& answer) {
  served(request, answer.body, codec::field_in(answer.fields, "ver"),
         answer.status == codec::CacheResponseStatus::not_modified);
}

void PendingRequests::served(const std::string& request, std::string_view body,
                             std::optional<std::string_view> tag, bool unchanged) {
  answer(request, FinalAnswer::served, [&](ClientProtocol& front, CallId call) {
    ClientFields fields;
    if (unchanged) fields.emplace_back("unchanged", "1");
    if (tag) fields.emplace_back("ver", *tag);
    return front.served(call, body, fields);
  });
}

void PendingRequests::rejected(const std::string& request, Time retry_after) {
  answer(request, FinalAnswer::rejected, [&](ClientProtocol& front, CallId tag) {
    return front.rejected(tag, retry_after_fields(retry_after));
  });
}

void PendingRequests::failed(const std::string& request) {
  answer(request, FinalAnswer::failed, [](ClientProtocol& front, CallId tag) { return front.failed(tag); });
}

std::size_t PendingRequests::class_of(const ObjectRequest& call) const {
  return class_of(FieldReader(call.fields).text("verb"));
}

void PendingRequests::reject_unaccepted(ConnectionId client, const ObjectRequest& call) {
  count(class_of(call), FinalAnswer::rejected);
  clients_.reply(client,
                 clients_.protocol(client)->rejected(call.id, retry_after_fields(settings_.max_retry_after)));
}

void PendingRequests::fail_unaccepted(ConnectionId client, const ObjectRequest& call) {
  count(class_of(call), FinalAnswer::failed);
  clients_.reply(client, clients_.protocol(client)->failed(call.id));
}

ClientFields PendingRequests::retry_after_fields(Time span) const {
  const auto ms =
      std::chrono::floor<std::chrono::milliseconds>(std::min(span, settings_.max_retry_after)).count();
  if (ms <= 0) return {};
  return {{"later", std::to_string(ms)}};
}

/// The place of a class in the settings; past their end where there is none of that name.
std::size_t PendingRequests::class_of(std::string_view name) const {
  const auto& classes = settings_.classes;
  const auto found =
      std::find_if(classes.begin(), classes.end(), [&](const RequestClass& c) { return c.name == name; });
  return static_cast<std::size_t>(found - classes.begin());
}

void PendingRequests::count(std::size_t request_class, FinalAnswer kind) {
  if (request_class >= answer_counts_.size()) return;
  AnswerCounts& counted = answer_counts_[request_class];
  ++(kind == FinalAnswer::served     ? counted.served
     : kind == FinalAnswer::rejected ? counted.rejected
                                     : counted.failed);
}

}  // namespace edge_proxy::proxy
