// SPDX-License-Identifier: MIT
#include "proxy/client/pending_requests.h"

#include <algorithm>
#include <charconv>

namespace edge_proxy::proxy {
namespace {

using namespace std::chrono_literals;

// The client's limit starts when it sends the request, and the answer needs time to arrive.
constexpr Time kReplyTransitTime = 10ms;
constexpr std::size_t kMaxTextBytes = 128;  // applies to idempotency keys and entity tags
constexpr std::size_t kMaxBodyBytes = 48'000;
constexpr std::uint64_t kMaxPart = 1'000'000;
constexpr std::int64_t kMaxGroup = 255;
constexpr double kMaxSizeWithoutTransferRateKb = 1e9;
constexpr std::size_t kIdDigits = 16;
constexpr char kAsciiDelete = 0x7f;  // follows the last printable character

/// Whether a client's text can be written to a cache line without escaping. Other characters would allow a
/// request to inject fields or commands.
bool is_plain_text(std::string_view text) {
  return !text.empty() && text.size() <= kMaxTextBytes &&
         std::all_of(text.begin(), text.end(), [](char character) {
           return character > ' ' && character < kAsciiDelete && character != ',' && character != '=';
         });
}

bool is_hexadecimal_id(std::string_view text) {
  return text.size() == kIdDigits && std::all_of(text.begin(), text.end(), [](char character) {
           return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f');
         });
}

template <typename Number>
std::optional<Number> parse_number(std::string_view text) {
  Number value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return value;
}

/// Looks up the fields of a call by name.
class FieldReader {
 public:
  explicit FieldReader(const ClientFields& fields) : fields_(fields) {}
  /// Returns the value of the first field of that name; empty if there is none.
  [[nodiscard]] std::string_view text(std::string_view name) const {
    for (const auto& [key, value] : fields_) {
      if (key == name) return value;
    }
    return {};
  }
  /// Returns the value of an optional numeric field; "0" if it is absent.
  [[nodiscard]] std::string_view text_or_zero(std::string_view name) const {
    const std::string_view value = text(name);
    return value.empty() ? "0" : value;
  }

 private:
  const ClientFields& fields_;
};

/// The numeric fields of a request.
struct RequestNumbers {
  std::chrono::milliseconds limit{0};  ///< how long the client waits
  std::uint64_t part = 0;
  std::int64_t group = 0;
  double size_kb = 0;
};

/// Returns none if a number is malformed or exceeds the bounds that apply to all classes.
std::optional<RequestNumbers> read_numbers(const FieldReader& fields) {
  const auto limit = parse_number<std::int64_t>(fields.text("limit"));
  const auto part = parse_number<std::uint64_t>(fields.text_or_zero("piece"));
  const auto group = parse_number<std::int64_t>(fields.text_or_zero("lot"));
  const auto size_kb = parse_number<double>(fields.text_or_zero("ram"));
  if (!limit || !part || !group || !size_kb) return std::nullopt;
  const bool is_within_bounds =
      *limit > 0 && *part <= kMaxPart && *group >= 0 && *group <= kMaxGroup && *size_kb >= 0;
  if (!is_within_bounds) return std::nullopt;
  return RequestNumbers{std::chrono::milliseconds(*limit), *part, *group, *size_kb};
}

PendingRequest read_texts(const FieldReader& fields) {
  PendingRequest pending;
  pending.verb = fields.text("verb");
  pending.item = fields.text("item");
  pending.piece = fields.text("piece");
  pending.key = fields.text("unique");
  pending.client_entity_tag = fields.text("ver");
  return pending;
}

}  // namespace

/// Returns the largest plausible size of an object; larger sizes would distort the router's estimates.
double PendingRequests::max_size_kb(const RequestClass& request_class) const {
  if (settings_.transfer_kb_per_s <= 0) return kMaxSizeWithoutTransferRateKb;
  const double max_transfer_s = kMaxDeadlines * std::chrono::duration<double>(request_class.deadline).count();
  return max_transfer_s * settings_.transfer_kb_per_s;
}

/// Whether the texts are well-formed and the size is plausible for an object of the class.
bool PendingRequests::is_valid(const PendingRequest& pending, const RequestClass& request_class) const {
  const bool has_valid_key =
      pending.key.empty() ? request_class.idempotency != Idempotency::with_key : is_plain_text(pending.key);
  const bool has_valid_tag = pending.client_entity_tag.empty() || is_plain_text(pending.client_entity_tag);
  return has_valid_key && has_valid_tag && is_hexadecimal_id(pending.request.id) &&
         is_hexadecimal_id(pending.item) && pending.request.size_kb <= max_size_kb(request_class);
}

std::optional<PendingRequest> PendingRequests::read(ConnectionId client, ObjectRequest& call,
                                                    std::optional<Time> answer_deadline) const {
  const FieldReader fields(call.fields);
  const std::size_t class_index = class_of(fields.text("verb"));
  const std::optional<RequestNumbers> numbers = read_numbers(fields);
  if (!call.readable || class_index >= settings_.classes.size() || !numbers) return std::nullopt;
  const RequestClass& request_class = settings_.classes[class_index];
  if (numbers->limit > kMaxDeadlines * request_class.deadline) return std::nullopt;

  PendingRequest pending = read_texts(fields);
  if (call.body.size() > kMaxBodyBytes) return std::nullopt;
  Request& request = pending.request;
  request.id = fields.text("txn");
  request.request_class = static_cast<int>(class_index);
  request.part = numbers->part;
  request.group = numbers->group;
  request.size_kb = numbers->size_kb;
  if (!is_valid(pending, request_class)) return std::nullopt;

  std::from_chars(pending.item.data(), pending.item.data() + pending.item.size(), request.object, 16);
  const Time limit = numbers->limit;
  request.expires = context_.now + std::max(limit - kReplyTransitTime, limit / 2);
  if (answer_deadline) request.expires = std::min(request.expires, *answer_deadline);
  request.write = request_class.uncacheable;
  request.client_retry = fields.text("second") == "1";
  pending.reply_bytes = reply_sizes_.reply_bytes(class_index, request.size_kb);
  pending.client = client;
  pending.call_id = call.id;
  pending.body = std::move(call.body);
  return pending;
}

std::size_t PendingRequests::memory_of(const PendingRequest& request) {
  return kPendingRequestBytes + kBodyCopies * request.body.size();
}

bool PendingRequests::has_room_for(const PendingRequest& request) {
  const std::size_t multiple = clients_.has_open_calls(request.client) ? 1 : kFirstRequestMemoryMultiple;
  const std::size_t bytes = memory_of(request) + kOutstandingAttemptBytes;
  if (!context_.memory.has_room_for(MemoryUse::requests, bytes, multiple)) return false;
  if (clients_.can_reserve_reply(request.client, request.reply_bytes)) return true;
  clients_.on_reply_memory_short();
  return false;
}

void PendingRequests::add(PendingRequest request) {
  memory_.set(memory_.bytes() + memory_of(request));
  clients_.add_open_call(request.client, request.call_id, request.request.id, request.reply_bytes);
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

void PendingRequests::release(std::map<std::string, PendingRequest>::iterator pending) {
  memory_.set(memory_.bytes() - memory_of(pending->second));
  pending_.erase(pending);
}

template <typename MakeReply>
void PendingRequests::finish(const std::string& request, FinalAnswer answer, MakeReply&& make_reply) {
  const auto found = pending_.find(request);
  if (found == pending_.end()) return;
  const ConnectionId client = found->second.client;
  const CallId call = found->second.call_id;
  count(static_cast<std::size_t>(found->second.request.request_class), answer);
  release(found);
  clients_.remove_open_call(client, call);
  ClientProtocol* protocol = clients_.protocol(client);
  if (protocol != nullptr) clients_.reply(client, make_reply(*protocol, call), ReplyTo::accepted_request);
}

void PendingRequests::served(const std::string& request, const codec::CacheResponse& answer) {
  served(request, ServedResponse{answer.body, codec::field_in(answer.fields, "ver"),
                                 answer.status == codec::CacheResponseStatus::not_modified});
}

void PendingRequests::served(const std::string& request, const ServedResponse& response) {
  const PendingRequest* pending = find(request);
  if (pending == nullptr) return;
  if (!clients_.has_room_for_reply(pending->client, pending->call_id, response.body.size())) {
    failed(request);
    return;
  }
  if (!response.not_modified) {
    const auto request_class = static_cast<std::size_t>(pending->request.request_class);
    reply_sizes_.record(request_class, pending->request.size_kb, response.body.size());
  }
  finish(request, FinalAnswer::served, [&response](ClientProtocol& protocol, CallId call) {
    ClientFields fields;
    if (response.not_modified) fields.emplace_back("unchanged", "1");
    if (response.entity_tag) fields.emplace_back("ver", *response.entity_tag);
    return protocol.served_reply(call, response.body, fields);
  });
}

void PendingRequests::rejected(const std::string& request, Time retry_after) {
  finish(request, FinalAnswer::rejected, [this, retry_after](ClientProtocol& protocol, CallId call) {
    return protocol.rejected_reply(call, retry_after_fields(retry_after));
  });
}

void PendingRequests::failed(const std::string& request) {
  finish(request, FinalAnswer::failed,
         [](ClientProtocol& protocol, CallId call) { return protocol.failed_reply(call); });
}

std::size_t PendingRequests::class_of(const ObjectRequest& call) const {
  return class_of(FieldReader(call.fields).text("verb"));
}

void PendingRequests::reject_unaccepted(ConnectionId client, const ObjectRequest& call) {
  count(class_of(call), FinalAnswer::rejected);
  std::string reply =
      clients_.protocol(client)->rejected_reply(call.id, retry_after_fields(settings_.max_retry_after));
  clients_.reply(client, std::move(reply), ReplyTo::other_call);
}

void PendingRequests::fail_unaccepted(ConnectionId client, const ObjectRequest& call) {
  count(class_of(call), FinalAnswer::failed);
  clients_.reply(client, clients_.protocol(client)->failed_reply(call.id), ReplyTo::other_call);
}

ClientFields PendingRequests::retry_after_fields(Time delay) const {
  const auto ms =
      std::chrono::floor<std::chrono::milliseconds>(std::min(delay, settings_.max_retry_after)).count();
  if (ms <= 0) return {};
  return {{"later", std::to_string(ms)}};
}

std::size_t PendingRequests::class_of(std::string_view name) const {
  const auto& classes = settings_.classes;
  const auto found = std::find_if(classes.begin(), classes.end(),
                                  [name](const RequestClass& candidate) { return candidate.name == name; });
  return static_cast<std::size_t>(found - classes.begin());
}

void PendingRequests::count(std::size_t request_class, FinalAnswer answer) {
  if (request_class >= answer_counts_.size()) return;
  AnswerCounts& counts = answer_counts_[request_class];
  switch (answer) {
    case FinalAnswer::served:
      ++counts.served;
      break;
    case FinalAnswer::rejected:
      ++counts.rejected;
      break;
    case FinalAnswer::failed:
      ++counts.failed;
      break;
  }
}

}  // namespace edge_proxy::proxy
