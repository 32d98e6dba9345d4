// SPDX-License-Identifier: MIT
#include "simulator/session.h"

#include <rapidjson/error/en.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <array>
#include <istream>
#include <map>
#include <ostream>
#include <string_view>
#include <utility>
#include <vector>

#include "config/settings_reader.h"

namespace edge_proxy::simulator {
namespace {

constexpr std::array<std::string_view, 3> kStates{"Running", "Stopping", "Deleted"};
constexpr std::array<std::string_view, 4> kLists{"delta", "full", "cached", "failed"};
constexpr std::array<std::string_view, 9> kEndings{
    "delivered", "app_error", "shed", "expired", "dial_failed", "dropped", "revoked", "unused", "empty"};

std::vector<Endpoint> read_members(const Fields& fields) {
  std::vector<Endpoint> members;
  for (const Fields& entry : fields.objects("nodes_list")) {
    Endpoint m;
    m.id = entry.text("store");
    m.state = static_cast<EndpointState>(entry.word("state", kStates));
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

CacheStatus read_note(const Fields& fields) {
  const std::int64_t detail = fields.integer("detail", 0);
  const bool known = detail > 0 && detail <= static_cast<std::int64_t>(CacheStatus::origin_failed);
  return known ? static_cast<CacheStatus>(detail) : CacheStatus::unknown;
}

Request read_request(const Fields& fields) {
  Request r;
  r.id = fields.text("handle");
  r.request_class = fields.small("lane");
  r.object = object_id(fields, "file");
  r.part = static_cast<std::uint64_t>(fields.number("chunk", 0));
  r.group = static_cast<std::int64_t>(fields.number("batch_id", 0));
  r.size_kb = fields.number("kbytes", 0);
  r.expires = fields.time("expires");
  r.write = fields.boolean("update", false);
  r.client_retry = fields.boolean("again_by_client", false);
  return r;
}

Outcome read_outcome(const Fields& fields) {
  Outcome o;
  o.request = fields.text("handle");
  o.attempt = fields.small("n");
  o.endpoint = fields.text("store");
  o.result = static_cast<AttemptResult>(fields.word("outcome", kEndings));
  o.duration = fields.time("rtt", Time{0});
  o.request_finished = fields.boolean("settled", false);
  o.cache_status = read_note(fields);
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
    text("store", a.endpoint);
    text("from_where", a.source);
    number("opts", (a.join_fill ? 1 : 0) + (a.cached_only ? 2 : 0) + (a.parent_uncached ? 4 : 0) +
                       (a.stale_while_revalidate ? 8 : 0));
    number("how_old", a.max_copy_age.count());
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
  void operator()(const Reject& r) {
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
  void operator()(const SetTimer& w) {
    begin("wake_at");
    number("sleep_for", w.after.count());
    number("label", w.token);
    end();
  }
  void operator()(const CheckHealth& p) {
    begin("probe");
    text("store", p.endpoint);
    end();
  }
  void operator()(const ServeFromLocalCache&) {}  // the simulator's routers hold no copies
  void operator()(const FetchEndpointList&) {
    begin("read_list");
    end();
  }
  void operator()(const SubscribeEndpointList&) {
    begin("observe");
    json_.Key("enable");
    json_.Bool(true);
    end();
  }
  void operator()(const LogMessage& r) {
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
      deliver(fields, HealthChecked{fields.text("store"), fields.word("outcome", kEndings) == 0,
                                    fields.time("rtt", Time{0}), read_report(fields)});
    } else if (what == "invalidated") {
      Invalidation purge{std::nullopt, fields.integer("bucket", 0), fields.time("how_old", Time{0})};
      if (fields.find("file") != nullptr) purge.object = object_id(fields, "file");
      deliver(fields, purge);
    } else if (what == "withdrawn") {
      deliver(fields, RequestCancelled{fields.text("handle")});
    } else if (what == "streaming") {
      deliver(fields, StreamStarted{fields.text("handle"), fields.small("n")});
    } else if (what != "message") {  // routers tell each other nothing
      fields.fail("what", "has the unknown value '" + what + "'");
    }
  }

 private:
  EndpointList read_list(const Fields& fields) const {
    static constexpr std::array<ListKind, 4> kinds{ListKind::changes, ListKind::complete,
                                                   ListKind::from_configuration, ListKind::failed};
    EndpointList list{kinds[fields.word("how", kLists)], {}};
    if (list.kind != ListKind::failed) {
      const auto found = lists_.find(fields.integer("buffer"));
      if (found == lists_.end()) fields.fail("buffer", "names no list");
      list.endpoints = found->second;
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
  std::map<std::int64_t, std::vector<Endpoint>> lists_;
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

}  // namespace edge_proxy::simulator
