// SPDX-License-Identifier: MIT
#include "support/scenario.h"

#include <gtest/gtest.h>

#include <deque>
#include <iomanip>
#include <set>
#include <sstream>

namespace edge_proxy::test {
namespace {

std::string u32(std::uint32_t value) {
  std::string out;
  for (int shift = 24; shift >= 0; shift -= 8) out.push_back(static_cast<char>(value >> shift & 0xffU));
  return out;
}
std::string text(const std::string& value) { return u32(static_cast<std::uint32_t>(value.size())) + value; }
std::uint32_t number_at(const std::string& bytes, std::size_t at) {
  std::uint32_t value = 0;
  for (std::size_t i = 0; i < 4 && at + i < bytes.size(); ++i)
    value = value << 8U | static_cast<unsigned char>(bytes[at + i]);
  return value;
}

std::string message(int type, const std::string& method, int seqid, const std::string& arguments) {
  const std::string all = u32(0x80010000U | static_cast<unsigned>(type)) + text(method) +
                          u32(static_cast<std::uint32_t>(seqid)) + arguments + std::string(1, '\0');
  return text(all);
}

std::string sixteen(int number) {
  std::ostringstream out;
  out << std::hex << std::setw(16) << std::setfill('0') << number;
  return out.str();
}

using Values = std::map<std::string, std::string>;

/// A message as a peer received it.
struct Seen {
  std::string word;
  std::string id;  // seqid, request id or tag
  Values values;
};

std::ostream& operator<<(std::ostream& out, const Seen& seen) {
  out << seen.word << ' ' << seen.id;
  for (const auto& [name, value] : seen.values) out << ' ' << name << '=' << value.substr(0, 80);
  return out;
}

/// Reads the strings of a frame in the order of Thrift's bytes: enough for answers whose form is known.
Seen read_frame(const std::string& frame) {
  std::size_t at = 4;
  const auto next = [&] {
    const std::uint32_t size = number_at(frame, at);
    std::string value = frame.substr(std::min(at + 4, frame.size()), size);
    at += 4 + size;
    return value;
  };
  const int type = frame.size() > 3 ? frame[3] : 0;
  Seen seen;
  const std::string method = next();
  seen.id = std::to_string(number_at(frame, at));
  at += 4;
  if (type == 3) {
    seen.word = "exception";
    if (method == "process") seen.values["unreadable"] = "1";
    return seen;
  }
  const int field = frame.at(at + 2);
  at += 3;
  at += 3;  // the first field of the struct in it
  if (field == 0) {
    seen.values["body"] = next();
    at += 3;
  }
  at += 2;
  for (std::uint32_t left = number_at(frame, std::exchange(at, at + 4)); left > 0; --left) {
    const std::string name = next();
    seen.values[name] = next();
  }
  const bool good = field == 0 && frame.at(at + 3) == 1;
  seen.word = field == 1          ? "refused"
              : field == 2        ? "failed"
              : method == "probe" ? (good ? "ready" : "unready")
                                  : "served";
  return seen;
}

Values fields_of(const std::string& list) {
  Values values;
  std::istringstream in(list);
  for (std::string field; std::getline(in, field, ',');) {
    const std::size_t equals = field.find('=');
    if (equals != std::string::npos) values[field.substr(0, equals)] = field.substr(equals + 1);
  }
  return values;
}

class Player {
 public:
  explicit Player(Stage& stage) : stage_(stage) {}

  void line(const std::string& line) {
    std::istringstream in(line);
    std::string peer, verb;
    if (!(in >> peer) || peer[0] == '#') return;
    if (peer == "wait") {
      int ms = 0;
      in >> ms;
      stage_.wait(std::chrono::milliseconds(ms));
      return;
    }
    in >> verb;
    if (verb == "send") {
      send(peer, in);
    } else if (verb == "expect") {
      expect(peer, in);
    } else if (verb == "cork") {
      corked_.emplace(peer, "");
    } else if (verb == "uncork") {
      const std::string bytes = corked_.extract(peer).mapped();
      stage_.send(peer, bytes);
    } else if (verb == "close") {
      std::string how;
      in >> how;
      const std::map<std::string, Ends> ways{
          {"", Ends::closed},       {"reset", Ends::reset}, {"refusing", Ends::refusing},
          {"half", Ends::half},     {"late", Ends::late},   {"deaf", Ends::deaf},
          {"silent", Ends::silent}, {"stays", Ends::stays}, {"not", Ends::not_at_all}};
      ASSERT_TRUE(ways.count(how)) << "no such way to close: " << how;
      stage_.close(peer, ways.at(how));
    } else {
      FAIL() << "no such verb: " << verb;
    }
  }

 private:
  static bool is_member(const std::string& peer) {
    return peer.rfind("box", 0) == 0 || peer.rfind("up", 0) == 0 || peer == "main";
  }
  static bool is_bulletin(const std::string& peer) { return peer.rfind("bulletin", 0) == 0; }
  static bool is_operator(const std::string& peer) { return peer.rfind("ops", 0) == 0; }
  static std::string rest(std::istream& in) {
    std::string all;
    std::getline(in >> std::ws, all);
    return all;
  }

  void send(const std::string& peer, std::istream& in) {
    std::string word;
    in >> word;
    if (peer == "edge" && word == "HUP") {
      stage_.reload(rest(in));
    } else if (peer == "edge") {
      stage_.terminate();
    } else if (word == "raw" && is_bulletin(peer)) {
      std::string bytes = rest(in);
      for (std::size_t at = 0; (at = bytes.find("\\n", at)) != std::string::npos;)
        bytes.replace(at, 2, "\r\n");
      stage_.send(peer, bytes);
    } else if (word == "raw" && is_member(peer)) {
      stage_.send(peer, rest(in) + "\r\n");
    } else if (word == "raw") {
      std::string bytes;
      for (std::string pair; in >> pair;) bytes.push_back(static_cast<char>(std::stoi(pair, nullptr, 16)));
      put(peer, bytes);
    } else if (is_operator(peer)) {
      stage_.send(peer, word + " " + rest(in) + " HTTP/1.1\r\nHost: edge\r\n\r\n");
    } else if (is_bulletin(peer)) {
      send_bulletin(peer, word, rest(in));
    } else if (is_member(peer)) {
      int id = 0;
      std::string fields = "-";
      in >> id >> fields;
      const std::string body = in.eof() ? "" : rest(in);
      stage_.send(peer, sixteen(id) + " " + word + " " + fields + " " + std::to_string(body.size()) + "\r\n" +
                            body + "\r\n");
    } else {
      call(peer, word, in);
    }
  }

  void send_bulletin(const std::string& peer, const std::string& word, const std::string& more) {
    if (word == "head") {
      stage_.send(peer, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n");
    } else if (word == "comment") {
      stage_.send(peer, ":\n\n");
    } else {
      const std::string json = word + (more.empty() ? "" : " " + more);
      const std::size_t at = json.find("\"no\":") + 5;
      stage_.send(peer,
                  "id: " + json.substr(at, json.find_first_of(",}", at) - at) + "\ndata: " + json + "\n\n");
    }
  }

  void call(const std::string& peer, const std::string& word, std::istream& in) {
    int number = 0;
    if (word == "giveUp" || word == "probe" || word == "dance") {
      in >> number;
      const std::string argument =
          word == "giveUp" ? std::string("\x08\0\1", 3) + u32(static_cast<std::uint32_t>(number)) : "";
      put(peer, message(word == "giveUp" ? 4 : 1, word, number, argument));
      return;
    }
    std::string verb, body;
    number = std::stoi(word);
    in >> verb;
    Values fields{{"verb", verb},    {"txn", sixteen(number)}, {"item", sixteen(number)},
                  {"limit", "2500"}, {"piece", "3"},           {"lot", "17"},
                  {"ram", "40"}};
    for (std::string field; in >> field;) {
      const std::size_t equals = field.find('=');
      if (field[0] == '!') {
        fields.erase(field.substr(1));
      } else if (field.rfind("body=", 0) == 0) {
        body = field.substr(5) + (in.eof() ? "" : std::string(std::istreambuf_iterator<char>(in), {}));
      } else {
        fields[field.substr(0, equals)] = field.substr(equals + 1);
      }
    }
    std::string map = std::string("\x0d\0\1\x0b\x0b", 5) + u32(static_cast<std::uint32_t>(fields.size()));
    for (const auto& [name, value] : fields) map += text(name) + text(value);
    put(peer, message(1, "process", number, map + std::string("\x0b\0\2", 3) + text(body)));
  }

  /// Cuts what came for a peer into messages.
  void collect(const std::string& peer) {
    std::string& bytes = bytes_[peer] += stage_.received(peer);
    while (true) {
      Seen seen;
      if (is_bulletin(peer)) {
        const std::size_t end = bytes.find("\r\n\r\n");
        if (end == std::string::npos) return;
        seen.word = bytes.rfind("GET /bulletins ", 0) == 0 ? "get" : "strange";
        const std::size_t at = bytes.find("Last-Event-ID: ") + 15;
        seen.values["last"] = bytes.substr(at, bytes.find("\r\n", at) - at);
        bytes.erase(0, end + 4);
      } else if (is_operator(peer)) {
        const std::size_t end = bytes.find("\r\n\r\n"), at = bytes.find("Content-Length: ");
        if (end == std::string::npos) return;
        const std::size_t length = std::stoul(bytes.substr(at + 16));
        if (bytes.size() < end + 4 + length) return;
        seen.word = bytes.substr(9, 3);
        seen.values["body"] = "\n" + bytes.substr(end + 4, length);
        bytes.erase(0, end + 4 + length);
      } else if (is_member(peer)) {
        const std::size_t end = bytes.find("\r\n");
        if (end == std::string::npos) return;
        std::istringstream in(bytes.substr(0, end));
        std::string fields;
        std::size_t length = 0;
        in >> seen.word >> seen.id >> fields >> length;
        const bool has_body = seen.word == "serve";
        if (has_body && bytes.size() < end + 4 + length) return;
        seen.values = fields_of(fields);
        if (has_body) seen.values["body"] = bytes.substr(end + 2, length);
        bytes.erase(0, has_body ? end + 4 + length : end + 2);
      } else {
        if (bytes.size() < 4 || bytes.size() < 4 + number_at(bytes, 0)) return;
        const std::size_t length = number_at(bytes, 0);
        seen = read_frame(bytes.substr(4, length));
        bytes.erase(0, 4 + length);
      }
      seen_[peer].push_back(std::move(seen));
    }
  }

  template <typename Done>
  bool within_patience(Done&& done) {
    const auto step = std::chrono::milliseconds(5);
    for (auto left = stage_.patience(); !done(); left -= step) {
      if (left <= std::chrono::milliseconds(0)) return false;
      stage_.wait(step);
    }
    return true;
  }

  void expect(const std::string& peer, std::istream& in) {
    std::string word, id;
    in >> word;
    if (peer == "edge") {
      const std::string wanted = word == "log" ? rest(in) : "";
      EXPECT_TRUE(within_patience([&] {
        return word == "stopped" ? stage_.stopped() : stage_.log().find(wanted) != std::string::npos;
      })) << "log:\n"
          << stage_.log();
      return;
    }
    if (word == "closed") {
      EXPECT_TRUE(within_patience([&] { return stage_.closed(peer); })) << "the connection is still open";
      return;
    }
    auto& waiting = seen_[peer];
    if (word == "nothing") {
      collect(peer);
      EXPECT_TRUE(waiting.empty()) << "came: " << waiting.front();
      return;
    }
    ASSERT_TRUE(within_patience([&] {
      collect(peer);
      return !waiting.empty();
    })) << "nothing came";
    const Seen seen = waiting.front();
    waiting.pop_front();
    EXPECT_EQ(seen.word, word) << "came: " << seen;
    if (is_operator(peer)) {
      for (std::string line; in >> line;)
        EXPECT_NE(seen.values.at("body").find("\n" + line + "\n"), std::string::npos)
            << "no line " << line << " in" << seen.values.at("body");
      return;
    }
    if (word != "get" && word != "gauges") {
      in >> id;
      EXPECT_EQ(seen.id, is_member(peer) ? sixteen(std::stoi(id)) : id) << "came: " << seen;
    }
    for (std::string field; in >> field;) {
      if (field.rfind("body=", 0) == 0)
        field += in.eof() ? "" : std::string(std::istreambuf_iterator<char>(in), {});
      if (field[0] == '!') {
        EXPECT_EQ(seen.values.count(field.substr(1)), 0U) << "came: " << seen;
        continue;
      }
      const std::size_t equals = field.find('=');
      const auto found = seen.values.find(field.substr(0, equals));
      ASSERT_NE(found, seen.values.end()) << "no field " << field << ", came: " << seen;
      if (field.substr(equals + 1) != "*") {
        EXPECT_EQ(found->second, field.substr(equals + 1)) << "came: " << seen;
      }
    }
  }

  void put(const std::string& peer, const std::string& bytes) {
    const auto corked = corked_.find(peer);
    if (corked == corked_.end()) {
      stage_.send(peer, bytes);
    } else {
      corked->second += bytes;
    }
  }

  Stage& stage_;
  std::map<std::string, std::string> corked_;
  std::map<std::string, std::string> bytes_;
  std::map<std::string, std::deque<Seen>> seen_;
};

}  // namespace

std::vector<std::string> ids_asked(const std::string& bytes) {
  std::vector<std::string> ids;
  for (std::size_t at = 0; (at = bytes.find("serve ", at)) != std::string::npos; at += 6)
    ids.push_back(bytes.substr(at + 6, 16));
  return ids;
}

void play(Stage& stage, const std::string& scenario) {
  Player player(stage);
  std::istringstream in(scenario);
  int number = 0;
  for (std::string line; std::getline(in, line);) {
    SCOPED_TRACE("scenario line " + std::to_string(++number) + ": " + line);
    player.line(line);
    if (::testing::Test::HasFatalFailure()) return;
  }
}

std::string listed(const std::string& id, const std::string& address, const std::string& phase,
                   long long up_since_ms) {
  const bool box = id.rfind("box", 0) == 0;
  const std::string flavor = box ? "small-box" : id == "main" ? "origin" : "parent";
  return R"({"id":")" + id + R"(","host_port":")" + address + R"(","locality":")" +
         (box ? "edge-1" : "north") + R"(","flavor":")" + flavor + R"(","cell":0,"phase":")" + phase +
         R"(","size":4,"up_since_ms":)" + std::to_string(up_since_ms) + "}";
}

std::string config_text(const std::vector<std::string>& members,
                        const std::map<std::string, std::string>& addresses, int memory_mb) {
  const auto address = [&addresses](const std::string& name) -> std::string {
    const auto found = addresses.find(name);
    return found == addresses.end() ? name + ":1" : found->second;
  };
  std::string list;
  for (const std::string& id : members) list += (list.empty() ? "" : ",") + listed(id, address(id));
  const std::string known =
      members.empty()
          ? R"({"no":0,"items":[]})"
          : R"({"no":1,"items":[{"no":1,"roster":{"revision":1,"complete":true,"members":[)" + list + "]}}]}";
  return R"({"name":"n1","flow_bytes_per_s":100000,"link_bytes_per_s":200000,"admin_addr":")" +
         address("admin") + R"(","listen":")" + address("edge") +
         R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,)" + R"("memory_mb":)" +
         std::to_string(memory_mb) + R"(,"sockets":256},"bulletin":")" + address("bulletin") +
         R"(","known":)" + known +
         R"(,"settings":{"az":1,"azs":["north","edge-1"],"kinds":["small-box","parent","origin"],)"
         R"("bounds":{"attempts_cap":8,"cancelling":true,"conn_idle":30000000,"connect_timeout":400000,)"
         R"("max_retry_after":500000,"multiplex":32,"probes":true,"retry_after":true,"second_copies":false},)"
         R"("discovery":"pushed","fleet_size":1,"me":0,"report":{"fields":["rif","x1","x0"],"via":"probe"},)"
         R"("request_classes":[{"name":"video","aim":400000,"aim_stretch":2.0,"deadline":5000000,)"
         R"("effect":"retryable","worth":2.0},{"name":"pages","aim":250000,"aim_stretch":2.0,"deadline":2500000,)"
         R"("effect":"retryable","worth":1.0},{"name":"order","aim":600000,"deadline":3000000,"effect":"dedup",)"
         R"("group":"all","memory_span":2000000,"worth":3.0}],"rules":{"answer_slack":8000,"cold_share":0.18,)"
         R"("drain_grace":1000000,"fall":2000000,"fall_multiple":4.0,"warm_after":18000000},)"
         R"("specifics":{"cleared_within":6000000,"grace_for":[0,20000000,0],"hub_by_zone":[0,0],)"
         R"("inlet_kb_per_s":[0,100000],"max_age":[0,8000000,0],"never_kept":[false,false,true],)"
         R"("origin_kind":2,"parent_floor":0.07,"parent_warms_in":22000000,"peers_fill":"location",)"
         R"("purge_slack":300000,"says":"none","seats_by_zone":[0,1],"segmented":[true,false,false],)"
         R"("stale_earns":[0.7,0.5,0.7],"straight":false,"stream_kb_per_s":9100.0,"upper_fall_multiple":2.0,)"
         R"("upper_kind":1},"tick":2000,"weights":"nominal"}})";
}

}  // namespace edge_proxy::test
