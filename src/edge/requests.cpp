// SPDX-License-Identifier: MIT
#include "edge/requests.h"

#include <algorithm>
#include <charconv>

namespace dahliahall::edge {
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
  explicit FieldReader(const FrontFields& fields) : fields_(fields) {}
  std::string_view text(std::string_view name) const {
    for (const auto& [key, value] : fields_) {
      if (key == name) return value;
    }
    return {};
  }

 private:
  const FrontFields& fields_;
};

}  // namespace

/// Guards the module's means of work against sizes that no object has.
double Requests::most_kb(const RequestClass& c) const {
  const double most = kMostDeadlines * std::chrono::duration<double>(c.deadline).count();
  return settings_.transfer_kb_per_s > 0 ? most * settings_.transfer_kb_per_s : 1e9;
}

std::optional<Taken> Requests::read(ConnectionId front, Asked& call, std::optional<Time> answer_by) const {
  const FieldReader fields(call.fields);
  Taken taken;
  taken.front = front;
  taken.tag = call.tag;
  taken.verb = fields.text("verb");
  taken.item = fields.text("item");
  taken.piece = fields.text("piece");
  taken.key = fields.text("unique");
  taken.held_tag = fields.text("ver");
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
      *lot <= 255 && kb && *kb >= 0 && *kb <= most_kb(*known) && *piece <= kMaxPiece &&
      call.body.size() <= kMaxSent && (taken.held_tag.empty() || plain(taken.held_tag)) &&
      (taken.key.empty() ? known->idempotency != dahliahall::Idempotency::with_key : plain(taken.key));
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

void Requests::take(Taken taken) {
  bodies_ += taken.body.size();
  fronts_.take(taken.front, taken.tag, taken.request.id);
  std::string id = taken.request.id;
  taken_.emplace(std::move(id), std::move(taken));
}

Taken* Requests::find(const std::string& request) {
  const auto found = taken_.find(request);
  return found == taken_.end() ? nullptr : &found->second;
}

bool Requests::forget(const std::string& request) {
  const auto found = taken_.find(request);
  if (found == taken_.end()) return false;
  release(found);
  return true;
}

void Requests::release(std::map<std::string, Taken>::iterator taken) {
  bodies_ -= taken->second.body.size();
  taken_.erase(taken);
}

template <typename Word>
void Requests::answer(const std::string& request, Final kind, Word&& word) {
  const auto found = taken_.find(request);
  if (found == taken_.end()) return;
  const ConnectionId front = found->second.front;
  const CallTag tag = found->second.tag;
  count(static_cast<std::size_t>(found->second.request.request_class), kind);
  release(found);
  fronts_.release(front, tag);
  FrontProtocol* protocol = fronts_.protocol(front);
  if (protocol != nullptr) fronts_.answer(front, word(*protocol, tag));
}

void Requests::served(const std::string& request, const codec::CacheAnswer& answer) {
  served(request, answer.body, codec::field_in(answer.fields, "ver"),
         answer.word == codec::AnswerWord::valid);
}

void Requests::served(const std::string& request, std::string_view body, std::optional<std::string_view> tag,
                      bool unchanged) {
  answer(request, Final::served, [&](FrontProtocol& front, CallTag call) {
    FrontFields fields;
    if (unchanged) fields.emplace_back("unchanged", "1");
    if (tag) fields.emplace_back("ver", *tag);
    return front.served(call, body, fields);
  });
}

void Requests::refused(const std::string& request, Time retry_after) {
  answer(request, Final::refused,
         [&](FrontProtocol& front, CallTag tag) { return front.refused(tag, later(retry_after)); });
}

void Requests::failed(const std::string& request) {
  answer(request, Final::failed, [](FrontProtocol& front, CallTag tag) { return front.failed(tag); });
}

std::size_t Requests::class_of(const Asked& call) const {
  return class_of(FieldReader(call.fields).text("verb"));
}

void Requests::turn_back(ConnectionId front, const Asked& call) {
  count(class_of(call), Final::refused);
  fronts_.answer(front, fronts_.protocol(front)->refused(call.tag, later(settings_.max_retry_after)));
}

void Requests::turn_away(ConnectionId front, const Asked& call) {
  count(class_of(call), Final::failed);
  fronts_.answer(front, fronts_.protocol(front)->failed(call.tag));
}

FrontFields Requests::later(Time span) const {
  const auto ms =
      std::chrono::floor<std::chrono::milliseconds>(std::min(span, settings_.max_retry_after)).count();
  if (ms <= 0) return {};
  return {{"later", std::to_string(ms)}};
}

/// The place of a class in the settings; past their end where there is none of that name.
std::size_t Requests::class_of(std::string_view name) const {
  const auto& classes = settings_.classes;
  const auto found =
      std::find_if(classes.begin(), classes.end(), [&](const RequestClass& c) { return c.name == name; });
  return static_cast<std::size_t>(found - classes.begin());
}

void Requests::count(std::size_t request_class, Final kind) {
  if (request_class >= counted_.size()) return;
  Counted& counted = counted_[request_class];
  ++(kind == Final::served ? counted.served : kind == Final::refused ? counted.refused : counted.failed);
}

}  // namespace dahliahall::edge
