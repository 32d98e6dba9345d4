// SPDX-License-Identifier: MIT
#include "wire.h"

#include <rapidjson/document.h>
#include <rapidjson/error/en.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <array>
#include <charconv>
#include <istream>
#include <ostream>
#include <string_view>
#include <utility>
#include <vector>

namespace hillshore::wire {
namespace {

using Json = rapidjson::Value;

/// A JSON object of one line, with the way to it for messages.
class Fields {
 public:
  Fields(const Json& value, std::size_t line, std::string path = "")
      : value_(value), line_(line), path_(std::move(path)) {
    if (!value_.IsObject()) fail("", "should be an object");
  }

  [[noreturn]] void fail(std::string_view name, std::string_view what) const {
    throw WireError("line " + std::to_string(line_) + ", field '" + path_ + std::string(name) +
                    "': " + std::string(what));
  }

  /// The member, or null where it is absent or null.
  const Json* find(const char* name) const {
    const auto it = value_.FindMember(name);
    return it == value_.MemberEnd() || it->value.IsNull() ? nullptr : &it->value;
  }
  const Json& need(const char* name) const {
    const Json* found = find(name);
    if (found == nullptr) fail(name, "is missing");
    return *found;
  }

  std::int64_t integer(const char* name) const { return as_integer(name, need(name)); }
  std::int64_t integer(const char* name, std::int64_t absent) const {
    const Json* found = find(name);
    return found == nullptr ? absent : as_integer(name, *found);
  }
  int small(const char* name) const { return as_small(name, integer(name)); }
  int small(const char* name, int absent) const { return as_small(name, integer(name, absent)); }
  Time time(const char* name) const { return Time{integer(name)}; }
  Time time(const char* name, Time absent) const { return Time{integer(name, absent.count())}; }
  double number(const char* name, double absent) const {
    const Json* found = find(name);
    if (found == nullptr) return absent;
    if (!found->IsNumber()) fail(name, "should be a number");
    return found->GetDouble();
  }
  bool boolean(const char* name, bool absent) const {
    const Json* found = find(name);
    if (found == nullptr) return absent;
    if (!found->IsBool()) fail(name, "should be true or false");
    return found->GetBool();
  }
  std::string text(const char* name) const {
    const Json& found = need(name);
    if (!found.IsString()) fail(name, "should be a string");
    return {found.GetString(), found.GetStringLength()};
  }
  std::string text(const char* name, const char* absent) const {
    return find(name) == nullptr ? absent : text(name);
  }

  /// One of `words`; its place among them.
  template <std::size_t N>
  std::size_t word(const char* name, const std::array<std::string_view, N>& words) const {
    const std::string found = text(name);
    for (std::size_t i = 0; i < N; ++i) {
      if (words[i] == found) return i;
    }
    fail(name, "has the unknown value '" + found + "'");
  }

  Fields object(const char* name) const { return {need(name), line_, path_ + name + "."}; }
  /// The members of an optional object; an absent one has no members.
  Fields object_or_empty(const char* name) const {
    static const Json empty(rapidjson::kObjectType);
    const Json* found = find(name);
    return {found == nullptr ? empty : *found, line_, path_ + name + "."};
  }
  std::vector<Fields> objects(const char* name) const {
    std::vector<Fields> all;
    const Json& array = as_array(name, need(name));
    for (rapidjson::SizeType i = 0; i < array.Size(); ++i) {
      all.emplace_back(array[i], line_, path_ + name + "[" + std::to_string(i) + "].");
    }
    return all;
  }
  std::vector<double> numbers(const char* name) const {
    std::vector<double> all;
    const Json* found = find(name);
    if (found == nullptr) return all;
    for (const Json& item : as_array(name, *found).GetArray()) {
      if (item.IsBool()) {
        all.push_back(item.GetBool() ? 1 : 0);
      } else if (item.IsNumber()) {
        all.push_back(item.GetDouble());
      } else {
        fail(name, "should hold numbers");
      }
    }
    return all;
  }

 private:
  std::int64_t as_integer(const char* name, const Json& value) const {
    if (value.IsInt64()) return value.GetInt64();
    if (!value.IsUint64()) fail(name, "should be a whole number");
    return static_cast<std::int64_t>(value.GetUint64());  // seeds use all 64 bits
  }
  int as_small(const char* name, std::int64_t value) const {
    if (value < INT32_MIN || value > INT32_MAX) fail(name, "is out of range");
    return static_cast<int>(value);
  }
  const Json& as_array(const char* name, const Json& value) const {
    if (!value.IsArray()) fail(name, "should be a list");
    return value;
  }

  const Json& value_;
  std::size_t line_;
  std::string path_;
};

constexpr std::array<std::string_view, 3> kEffects{"retryable", "dedup", "fragile"};
constexpr std::array<std::string_view, 3> kGroups{"all", "zone", "cell"};
constexpr std::array<std::string_view, 3> kStates{"Running", "Stopping", "Deleted"};
constexpr std::array<std::string_view, 4> kLists{"delta", "full", "cached", "failed"};
constexpr std::array<std::string_view, 9> kEndings{
    "delivered", "app_error", "shed", "expired", "dial_failed", "dropped", "revoked", "unused", "empty"};
constexpr std::array<std::string_view, 4> kWeights{"none", "nominal", "rough", "live"};
constexpr std::array<std::string_view, 3> kReports{"none", "probe", "answers"};
constexpr std::array<std::string_view, 3> kSiblings{"none", "location", "any"};
constexpr std::array<std::string_view, 3> kNotes{"none", "hit", "all"};
constexpr std::array<std::string_view, 2> kDiscovery{"pushed", "on_request"};

template <typename Enum, std::size_t N>
Enum word_or(const Fields& fields, const char* name, const std::array<std::string_view, N>& words,
             Enum absent) {
  return fields.find(name) == nullptr ? absent : static_cast<Enum>(fields.word(name, words));
}

/// The value at `at`, or `absent` where the list is shorter.
double at_or(const std::vector<double>& values, std::size_t at, double absent) {
  return at < values.size() ? values[at] : absent;
}

std::vector<int> whole(const std::vector<double>& values) { return {values.begin(), values.end()}; }

std::uint64_t object_id(const Fields& fields, const char* name) {
  const std::string digits = fields.text(name);
  std::uint64_t id = 0;
  const auto [end, problem] = std::from_chars(digits.data(), digits.data() + digits.size(), id, 16);
  if (problem != std::errc{} || end != digits.data() + digits.size())
    fields.fail(name, "should be up to 16 hex digits");
  return id;
}

Settings read_settings(const Fields& env) {
  Settings s;
  s.me = env.small("me", 0);
  s.zone = env.small("az", 0);
  s.routers = env.small("fleet_size", 1);
  s.tick = env.time("tick", Time{0});
  s.must_subscribe = env.find("discovery") != nullptr && env.word("discovery", kDiscovery) == 1;
  s.weights = word_or(env, "weights", kWeights, Weights::none);
  const Fields own = env.object_or_empty("specifics");
  s.routers_by_zone = whole(own.numbers("seats_by_zone"));
  s.hub_by_zone = whole(own.numbers("hub_by_zone"));
  s.link_in_kb_per_s = own.numbers("inlet_kb_per_s");
  s.parent_kind = own.small("upper_kind", -1);
  s.origin_kind = own.small("origin_kind", -1);
  s.straight = own.boolean("straight", false);
  s.sibling_fills = word_or(own, "peers_fill", kSiblings, SiblingFills::none);
  s.notes = word_or(own, "says", kNotes, Notes::none);
  s.stream_kb_per_s = own.number("stream_kb_per_s", 0);
  s.parent_cold_share = own.number("parent_floor", 1);
  s.parent_warm_after = own.time("parent_warms_in", Time{0});
  s.parent_fall_multiple = own.number("upper_fall_multiple", 0);
  s.origin_fall_multiple = own.number("origin_fall_multiple", 0);
  s.origin_fall_span = own.time("origin_fall", Time{0});
  s.purge_slack = own.time("purge_slack", Time{0});
  s.purge_cleared = own.time("cleared_within", Time{0});
  const auto max_age = own.numbers("max_age"), grace = own.numbers("grace_for"),
             stale = own.numbers("stale_earns");
  const auto segmented = own.numbers("segmented"), never_kept = own.numbers("never_kept");
  for (const Fields& fields : env.objects("request_classes")) {
    const std::size_t at = s.classes.size();
    RequestClass c;
    c.name = fields.text("name", "");
    c.aim = fields.time("aim");
    c.aim_stretch = fields.number("aim_stretch", 0);
    c.deadline = fields.time("deadline");
    c.effect = word_or(fields, "effect", kEffects, Effect::safe);
    c.group = word_or(fields, "group", kGroups, DedupGroup::all);
    c.memory = fields.time("memory_span", Time{0});
    c.worth = fields.number("worth", 1);
    c.late_worth = fields.number("late_worth", 0);
    c.streamed = fields.boolean("streamed", false);
    c.max_age = Time{static_cast<std::int64_t>(at_or(max_age, at, 0))};
    c.grace = Time{static_cast<std::int64_t>(at_or(grace, at, 0))};
    c.stale_earns = at_or(stale, at, 1);
    c.segmented = at_or(segmented, at, 0) != 0;
    c.never_kept = at_or(never_kept, at, 0) != 0;
    s.classes.push_back(std::move(c));
  }
  const Fields rules = env.object_or_empty("rules");
  s.answer_slack = rules.time("answer_slack", Time{0});
  s.drain_grace = rules.time("drain_grace", Time{0});
  s.cold_share = rules.number("cold_share", 1);
  s.warm_after = rules.time("warm_after", Time{0});
  s.fall_multiple = rules.number("fall_multiple", 0);
  s.fall_span = rules.time("fall", Time{0});
  s.must_ask_within = rules.time("must_ask_in", Time{0});
  const Fields bounds = env.object_or_empty("bounds");
  s.max_attempts = bounds.small("attempts_cap", 1);
  s.cancelling = bounds.boolean("cancelling", false);
  s.probes = bounds.boolean("probes", false);
  s.second_copies = bounds.boolean("second_copies", false);
  s.retry_after = bounds.boolean("retry_after", false);
  s.max_retry_after = bounds.time("max_retry_after", Time{0});
  s.marks_retry = env.object_or_empty("clients").boolean("marks_retry", false);
  const Fields report = env.object_or_empty("report");
  s.report_via = word_or(report, "via", kReports, ReportVia::none);
  const Fields fees = env.object_or_empty("fees");
  s.fees = {fees.number("cross_zone", 0), fees.number("waste", 0),     fees.number("origin", 0),
            fees.number("probe", 0),      fees.number("late_fail", 0), own.number("byte_fee", 0)};
  return s;
}

std::vector<Member> read_members(const Fields& fields) {
  std::vector<Member> members;
  for (const Fields& entry : fields.objects("nodes_list")) {
    Member m;
    m.id = entry.text("store");
    m.state = static_cast<MemberState>(entry.word("state", kStates));
    m.weight = entry.number("power_hint", 1);
    m.zone = entry.small("locality", 0);
    m.cell = entry.small("stripe", 0);
    m.kind = entry.small("generation_hw", 0);
    m.started = entry.time("came_up", Time{0});
    members.push_back(std::move(m));
  }
  return members;
}

std::optional<LoadReport> read_report(const Fields& fields) {
  if (fields.find("report") == nullptr) return std::nullopt;
  const Fields values = fields.object("report");
  const auto value = [&values](const char* name) -> std::optional<double> {
    if (values.find(name) == nullptr) return std::nullopt;
    return values.number(name, 0);
  };
  return LoadReport{value("busy"), value("rif"), value("q"), value("x0"), value("x1")};
}

Note read_note(const Fields& fields) {
  const std::int64_t detail = fields.integer("detail", 0);
  const bool known = detail > 0 && detail <= static_cast<std::int64_t>(Note::origin_failed);
  return known ? static_cast<Note>(detail) : Note::unknown;
}

Request read_request(const Fields& fields) {
  Request r;
  r.id = fields.text("handle");
  r.request_class = fields.small("lane");
  r.object = object_id(fields, "file");
  r.part = static_cast<std::uint64_t>(fields.number("chunk", 0));
  r.group = static_cast<std::int64_t>(fields.number("batch_id", 0));
  r.kb = fields.number("kbytes", 0);
  r.expires = fields.time("expires");
  r.write = fields.boolean("update", false);
  r.client_retry = fields.boolean("again_by_client", false);
  return r;
}

Outcome read_outcome(const Fields& fields) {
  Outcome o;
  o.request = fields.text("handle");
  o.attempt = fields.small("n");
  o.member = fields.text("store");
  o.ending = static_cast<Ending>(fields.word("outcome", kEndings));
  o.took = fields.time("rtt", Time{0});
  o.settled = fields.boolean("settled", false);
  o.note = read_note(fields);
  if (fields.find("ttfb") != nullptr) o.first_byte = fields.time("ttfb");
  o.report = read_report(fields);
  return o;
}

/// Writes one action as a line.
class ActionWriter {
 public:
  ActionWriter(std::ostream& out, std::int64_t instance) : out_(out), instance_(instance) {}

  void operator()(const Attempt& a) {
    begin("answer_from");
    text("handle", a.request);
    text("store", a.member);
    text("from_where", a.source);
    number("opts", (a.held_only ? 2 : 0) + (a.parent_keeps_none ? 4 : 0) + (a.renew ? 8 : 0));
    number("how_old", a.oldest.count());
    number("tier_rank", static_cast<int>(a.rank));
    number("try_for", a.timeout.count());
    end();
  }
  void operator()(const Cancel& c) {
    begin("cancel");
    text("handle", c.request);
    number("n", c.attempt);
    end();
  }
  void operator()(const Refuse& r) {
    begin("bounce");
    text("handle", r.request);
    if (r.retry_after.count() > 0) number("not_before_for", r.retry_after.count());
    end();
  }
  void operator()(const Fail& f) {
    begin("finish_error");
    text("handle", f.request);
    end();
  }
  void operator()(const Wake& w) {
    begin("wake_at");
    number("sleep_for", w.after.count());
    number("label", w.token);
    end();
  }
  void operator()(const ProbeMember& p) {
    begin("probe");
    text("store", p.member);
    end();
  }
  void operator()(const FetchList&) {
    begin("read_list");
    end();
  }
  void operator()(const SubscribeList&) {
    begin("observe");
    json_.Key("enable");
    json_.Bool(true);
    end();
  }
  void operator()(const Remark& r) {
    begin("journal_line");
    text("reason_text", r.text);
    end();
  }

 private:
  void begin(const char* what) {
    buffer_.Clear();
    json_.Reset(buffer_);
    json_.StartObject();
    json_.Key("what");
    json_.String(what);
    number("proxy_id", instance_);
  }
  void text(const char* name, const std::string& value) {
    json_.Key(name);
    json_.String(value.c_str(), static_cast<rapidjson::SizeType>(value.size()));
  }
  void number(const char* name, std::int64_t value) {
    json_.Key(name);
    json_.Int64(value);
  }
  void end() {
    json_.EndObject();
    out_.write(buffer_.GetString(), static_cast<std::streamsize>(buffer_.GetSize()));
    out_.put('\n');
  }

  std::ostream& out_;
  std::int64_t instance_;
  rapidjson::StringBuffer buffer_;
  rapidjson::Writer<rapidjson::StringBuffer> json_;
};

class Session {
 public:
  explicit Session(std::ostream& out) : out_(out) {}

  void take(const Fields& fields) {
    const std::string what = fields.text("what");
    if (what == "clock") {
      now_ = fields.time("at_time");
    } else if (what == "eob") {
      out_ << "{\"what\":\"done\"}\n" << std::flush;
    } else if (what == "register") {
      lists_[fields.integer("buffer")] = read_members(fields);
    } else if (what == "enlist") {
      routers_.insert_or_assign(fields.integer("proxy_id"),
                                Router(read_settings(fields.object("env")),
                                       static_cast<std::uint64_t>(fields.integer("rng_seed", 0))));
    } else if (what == "destroy") {
      routers_.erase(fields.integer("proxy_id"));
    } else if (what == "registry") {
      deliver(fields, read_list(fields));
    } else if (what == "request") {
      deliver(fields, read_request(fields));
    } else if (what == "reminder") {
      deliver(fields, TimerFired{fields.integer("label")});
    } else if (what == "report_back") {
      deliver(fields, read_outcome(fields));
    } else if (what == "sampled") {
      deliver(fields, Probed{fields.text("store"), fields.word("outcome", kEndings) == 0,
                             fields.time("rtt", Time{0}), read_report(fields)});
    } else if (what == "invalidated") {
      Purge purge{std::nullopt, fields.integer("bucket", 0), fields.time("how_old", Time{0})};
      if (fields.find("file") != nullptr) purge.object = object_id(fields, "file");
      deliver(fields, purge);
    } else if (what == "withdrawn") {
      deliver(fields, Withdrawn{fields.text("handle")});
    } else if (what == "streaming") {
      deliver(fields, StreamStarted{fields.text("handle"), fields.small("n")});
    } else if (what != "message") {  // routers tell each other nothing
      fields.fail("what", "has the unknown value '" + what + "'");
    }
  }

 private:
  MemberList read_list(const Fields& fields) const {
    static constexpr std::array<ListKind, 4> kinds{ListKind::changes, ListKind::whole, ListKind::remembered,
                                                   ListKind::failed};
    MemberList list{kinds[fields.word("how", kLists)], {}};
    if (list.kind != ListKind::failed) {
      const auto found = lists_.find(fields.integer("buffer"));
      if (found == lists_.end()) fields.fail("buffer", "names no list");
      list.members = found->second;
    }
    return list;
  }

  void deliver(const Fields& fields, const Event& event) {
    const std::int64_t instance = fields.integer("proxy_id");
    const auto found = routers_.find(instance);
    if (found == routers_.end()) fields.fail("proxy_id", "names no running instance");
    ActionWriter writer(out_, instance);
    for (const Action& action : found->second.handle(now_, event)) std::visit(writer, action);
  }

  std::ostream& out_;
  Time now_{0};
  std::map<std::int64_t, std::vector<Member>> lists_;
  std::map<std::int64_t, Router> routers_;
};

}  // namespace

void serve(std::istream& in, std::ostream& out) {
  Session session(out);
  std::string line;
  for (std::size_t number = 1; std::getline(in, line); ++number) {
    if (line.find_first_not_of(" \t\r") == std::string::npos) continue;
    rapidjson::Document document;
    document.ParseInsitu(line.data());
    if (document.HasParseError()) {
      throw WireError("line " + std::to_string(number) +
                      ", field '': not JSON: " + rapidjson::GetParseError_En(document.GetParseError()));
    }
    session.take(Fields(document, number));
  }
}

}  // namespace hillshore::wire
