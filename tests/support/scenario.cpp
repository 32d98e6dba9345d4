// SPDX-License-Identifier: MIT
#include "support/scenario.h"

#include <gtest/gtest.h>

#include <deque>
#include <iomanip>
#include <set>
#include <sstream>

namespace edge_proxy::test {
namespace {

std::string u32_bytes(std::uint32_t value) {
  std::string out;
  for (int shift = 24; shift >= 0; shift -= 8) out.push_back(static_cast<char>(value >> shift & 0xffU));
  return out;
}
std::string length_prefixed(const std::string& value) {
  return u32_bytes(static_cast<std::uint32_t>(value.size())) + value;
}
std::uint32_t read_u32(const std::string& bytes, std::size_t at) {
  std::uint32_t value = 0;
  for (std::size_t i = 0; i < 4 && at + i < bytes.size(); ++i)
    value = value << 8U | static_cast<unsigned char>(bytes[at + i]);
  return value;
}

std::string thrift_message(int type, const std::string& method, int seqid, const std::string& arguments) {
  const std::string payload = u32_bytes(0x80010000U | static_cast<unsigned>(type)) + length_prefixed(method) +
                              u32_bytes(static_cast<std::uint32_t>(seqid)) + arguments + std::string(1, '\0');
  return length_prefixed(payload);
}

std::string hex_id(int number) {
  std::ostringstream out;
  out << std::hex << std::setw(16) << std::setfill('0') << number;
  return out.str();
}

using Values = std::map<std::string, std::string>;

/// A message that a peer received.
struct ReceivedMessage {
  std::string kind;
  std::string id;  // seqid, request id or tag of a health check
  Values values;
};

std::ostream& operator<<(std::ostream& out, const ReceivedMessage& message) {
  out << message.kind << ' ' << message.id;
  for (const auto& [name, value] : message.values) out << ' ' << name << '=' << value.substr(0, 80);
  return out;
}

/// Reads a Thrift reply whose layout is known; it is not a general Thrift parser.
ReceivedMessage read_frame(const std::string& frame) {
  std::size_t at = 4;
  const auto read_string = [&] {
    const std::uint32_t size = read_u32(frame, at);
    std::string value = frame.substr(std::min(at + 4, frame.size()), size);
    at += 4 + size;
    return value;
  };
  const int type = frame.size() > 3 ? frame[3] : 0;
  ReceivedMessage message;
  const std::string method = read_string();
  message.id = std::to_string(read_u32(frame, at));
  at += 4;
  if (type == 3) {
    message.kind = "exception";
    if (method == "process") message.values["unreadable"] = "1";
    return message;
  }
  const int field = frame.at(at + 2);
  at += 3;
  at += 3;  // the header of the first field in the nested struct
  if (field == 0) {
    message.values["body"] = read_string();
    at += 3;
  }
  at += 2;
  for (std::uint32_t left = read_u32(frame, std::exchange(at, at + 4)); left > 0; --left) {
    const std::string name = read_string();
    message.values[name] = read_string();
  }
  const bool is_ready = field == 0 && frame.at(at + 3) == 1;
  message.kind = field == 1          ? "refused"
                 : field == 2        ? "failed"
                 : method == "probe" ? (is_ready ? "ready" : "unready")
                                     : "served";
  return message;
}

Values fields_of(const std::string& list) {
  Values values;
  std::istringstream input(list);
  for (std::string field; std::getline(input, field, ',');) {
    const std::size_t equals = field.find('=');
    if (equals != std::string::npos) values[field.substr(0, equals)] = field.substr(equals + 1);
  }
  return values;
}

class ScenarioRunner {
 public:
  explicit ScenarioRunner(ProxyHarness& harness) : harness_(harness) {}

  void run_line(const std::string& line) {
    std::istringstream input(line);
    std::string peer, verb;
    if (!(input >> peer) || peer[0] == '#') return;
    if (peer == "wait") {
      int ms = 0;
      input >> ms;
      harness_.wait(std::chrono::milliseconds(ms));
      return;
    }
    input >> verb;
    if (verb == "send") {
      send(peer, input);
    } else if (verb == "expect") {
      expect(peer, input);
    } else if (verb == "cork") {
      corked_.emplace(peer, "");
    } else if (verb == "uncork") {
      const std::string bytes = corked_.extract(peer).mapped();
      harness_.send(peer, bytes);
    } else if (verb == "close" || verb == "set") {
      std::string behavior;
      input >> behavior;
      static const std::map<std::pair<std::string, std::string>, PeerBehavior> kBehaviors{
          {{"close", ""}, PeerBehavior::closed},
          {{"close", "reset"}, PeerBehavior::reset},
          {{"close", "half"}, PeerBehavior::half_closed},
          {{"close", "refusing"}, PeerBehavior::refusing},
          {{"set", "silent"}, PeerBehavior::silent},
          {{"set", "delayed_connect"}, PeerBehavior::delayed_connect},
          {{"set", "keeps_open"}, PeerBehavior::keeps_open},
          {{"set", "not_reading"}, PeerBehavior::not_reading},
          {{"set", "normal"}, PeerBehavior::normal}};
      const auto found = kBehaviors.find({verb, behavior});
      ASSERT_NE(found, kBehaviors.end()) << "unknown behavior: " << verb << " " << behavior;
      harness_.set_behavior(peer, found->second);
    } else {
      FAIL() << "unknown verb: " << verb;
    }
  }

 private:
  static bool is_member(const std::string& peer) {
    return peer.rfind("box", 0) == 0 || peer.rfind("up", 0) == 0 || peer == "main";
  }
  static bool is_discovery(const std::string& peer) { return peer.rfind("bulletin", 0) == 0; }
  static bool is_operator(const std::string& peer) { return peer.rfind("ops", 0) == 0; }
  static std::string rest(std::istream& input) {
    std::string all;
    std::getline(input >> std::ws, all);
    return all;
  }

  void send(const std::string& peer, std::istream& input) {
    std::string word;
    input >> word;
    if (peer == "edge" && word == "HUP") {
      harness_.reload(rest(input));
    } else if (peer == "edge") {
      harness_.terminate();
    } else if (word == "raw" && is_discovery(peer)) {
      std::string bytes = rest(input);
      for (std::size_t at = 0; (at = bytes.find("\\n", at)) != std::string::npos;)
        bytes.replace(at, 2, "\r\n");
      harness_.send(peer, bytes);
    } else if (word == "raw" && is_member(peer)) {
      harness_.send(peer, rest(input) + "\r\n");
    } else if (word == "raw") {
      std::string bytes;
      for (std::string hex_byte; input >> hex_byte;)
        bytes.push_back(static_cast<char>(std::stoi(hex_byte, nullptr, 16)));
      send_or_cork(peer, bytes);
    } else if (is_operator(peer)) {
      harness_.send(peer, word + " " + rest(input) + " HTTP/1.1\r\nHost: edge\r\n\r\n");
    } else if (is_discovery(peer)) {
      send_event(peer, word, rest(input));
    } else if (is_member(peer)) {
      int id = 0;
      std::string fields = "-";
      input >> id >> fields;
      const std::string body = input.eof() ? "" : rest(input);
      harness_.send(peer, hex_id(id) + " " + word + " " + fields + " " + std::to_string(body.size()) +
                              "\r\n" + body + "\r\n");
    } else {
      send_call(peer, word, input);
    }
  }

  void send_event(const std::string& peer, const std::string& word, const std::string& more) {
    if (word == "head") {
      harness_.send(peer, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n");
    } else if (word == "comment") {
      harness_.send(peer, ":\n\n");
    } else {
      const std::string json = word + (more.empty() ? "" : " " + more);
      const std::size_t at = json.find("\"no\":") + 5;
      harness_.send(peer,
                    "id: " + json.substr(at, json.find_first_of(",}", at) - at) + "\ndata: " + json + "\n\n");
    }
  }

  void send_call(const std::string& peer, const std::string& word, std::istream& input) {
    int number = 0;
    if (word == "giveUp" || word == "probe" || word == "dance") {
      input >> number;
      send_or_cork(peer, word == "giveUp" ? cancel_message(number) : thrift_message(1, word, number, ""));
      return;
    }
    std::string verb, body;
    number = std::stoi(word);
    input >> verb;
    Values fields = request_fields(number, verb);
    for (std::string field; input >> field;) {
      const std::size_t equals = field.find('=');
      if (field[0] == '!') {
        fields.erase(field.substr(1));
      } else if (field.rfind("body=", 0) == 0) {
        body = field.substr(5) + (input.eof() ? "" : std::string(std::istreambuf_iterator<char>(input), {}));
      } else {
        fields[field.substr(0, equals)] = field.substr(equals + 1);
      }
    }
    send_or_cork(peer, request_message(number, fields, body));
  }

  /// Splits the bytes that the peer has received into messages.
  void read_messages(const std::string& peer) {
    std::string& bytes = unparsed_bytes_[peer] += harness_.take_received(peer);
    while (true) {
      ReceivedMessage message;
      if (is_discovery(peer)) {
        const std::size_t end = bytes.find("\r\n\r\n");
        if (end == std::string::npos) return;
        message.kind = bytes.rfind("GET /bulletins ", 0) == 0 ? "get" : "unknown";
        const std::size_t at = bytes.find("Last-Event-ID: ") + 15;
        message.values["last"] = bytes.substr(at, bytes.find("\r\n", at) - at);
        bytes.erase(0, end + 4);
      } else if (is_operator(peer)) {
        const std::size_t end = bytes.find("\r\n\r\n"), at = bytes.find("Content-Length: ");
        if (end == std::string::npos) return;
        const std::size_t length = std::stoul(bytes.substr(at + 16));
        if (bytes.size() < end + 4 + length) return;
        message.kind = bytes.substr(9, 3);
        message.values["body"] = "\n" + bytes.substr(end + 4, length);
        bytes.erase(0, end + 4 + length);
      } else if (is_member(peer)) {
        const std::size_t end = bytes.find("\r\n");
        if (end == std::string::npos) return;
        std::istringstream input(bytes.substr(0, end));
        std::string fields;
        std::size_t length = 0;
        input >> message.kind >> message.id >> fields >> length;
        const bool has_body = message.kind == "serve";
        if (has_body && bytes.size() < end + 4 + length) return;
        message.values = fields_of(fields);
        if (has_body) message.values["body"] = bytes.substr(end + 2, length);
        bytes.erase(0, has_body ? end + 4 + length : end + 2);
      } else {
        if (bytes.size() < 4 || bytes.size() < 4 + read_u32(bytes, 0)) return;
        const std::size_t length = read_u32(bytes, 0);
        message = read_frame(bytes.substr(4, length));
        bytes.erase(0, 4 + length);
      }
      received_messages_[peer].push_back(std::move(message));
    }
  }

  template <typename Done>
  bool within_timeout(Done&& done) {
    const auto step = std::chrono::milliseconds(5);
    for (auto left = harness_.expectation_timeout(); !done(); left -= step) {
      if (left <= std::chrono::milliseconds(0)) return false;
      harness_.wait(step);
    }
    return true;
  }

  void expect(const std::string& peer, std::istream& input) {
    std::string word, id;
    input >> word;
    if (peer == "edge") {
      const std::string wanted = word == "log" ? rest(input) : "";
      EXPECT_TRUE(within_timeout([&] {
        return word == "stopped" ? harness_.has_stopped() : harness_.log().find(wanted) != std::string::npos;
      })) << "log:\n"
          << harness_.log();
      return;
    }
    if (word == "closed") {
      EXPECT_TRUE(within_timeout([&] { return harness_.is_closed(peer); })) << "the connection is still open";
      return;
    }
    auto& messages = received_messages_[peer];
    if (word == "nothing") {
      read_messages(peer);
      EXPECT_TRUE(messages.empty()) << "received: " << messages.front();
      return;
    }
    ASSERT_TRUE(within_timeout([&] {
      read_messages(peer);
      return !messages.empty();
    })) << "no message was received";
    const ReceivedMessage message = messages.front();
    messages.pop_front();
    EXPECT_EQ(message.kind, word) << "received: " << message;
    if (is_operator(peer)) {
      for (std::string line; input >> line;)
        EXPECT_NE(message.values.at("body").find("\n" + line + "\n"), std::string::npos)
            << "no line " << line << " in" << message.values.at("body");
      return;
    }
    if (word != "get" && word != "gauges") {
      input >> id;
      EXPECT_EQ(message.id, is_member(peer) ? hex_id(std::stoi(id)) : id) << "received: " << message;
    }
    for (std::string field; input >> field;) {
      if (field.rfind("body=", 0) == 0)
        field += input.eof() ? "" : std::string(std::istreambuf_iterator<char>(input), {});
      if (field[0] == '!') {
        EXPECT_EQ(message.values.count(field.substr(1)), 0U) << "received: " << message;
        continue;
      }
      const std::size_t equals = field.find('=');
      const auto found = message.values.find(field.substr(0, equals));
      ASSERT_NE(found, message.values.end()) << "no field " << field << ", received: " << message;
      if (field.substr(equals + 1) != "*") {
        EXPECT_EQ(found->second, field.substr(equals + 1)) << "received: " << message;
      }
    }
  }

  void send_or_cork(const std::string& peer, const std::string& bytes) {
    const auto corked = corked_.find(peer);
    if (corked == corked_.end()) {
      harness_.send(peer, bytes);
    } else {
      corked->second += bytes;
    }
  }

  ProxyHarness& harness_;
  std::map<std::string, std::string> corked_;
  std::map<std::string, std::string> unparsed_bytes_;
  std::map<std::string, std::deque<ReceivedMessage>> received_messages_;
};

}  // namespace

std::vector<std::string> requested_ids(const std::string& bytes) {
  std::vector<std::string> ids;
  for (std::size_t at = 0; (at = bytes.find("serve ", at)) != std::string::npos; at += 6)
    ids.push_back(bytes.substr(at + 6, 16));
  return ids;
}

void run_scenario(ProxyHarness& harness, const std::string& scenario) {
  ScenarioRunner runner(harness);
  std::istringstream input(scenario);
  int number = 0;
  for (std::string line; std::getline(input, line);) {
    SCOPED_TRACE("scenario line " + std::to_string(++number) + ": " + line);
    runner.run_line(line);
    if (::testing::Test::HasFatalFailure()) return;
  }
}

std::string member_json(const std::string& id, const std::string& address, const std::string& phase,
                        long long up_since_ms) {
  const bool is_cache = id.rfind("box", 0) == 0;
  const std::string flavor = is_cache ? "small-box" : id == "main" ? "origin" : "parent";
  return R"({"id":")" + id + R"(","host_port":")" + address + R"(","locality":")" +
         (is_cache ? "edge-1" : "north") + R"(","flavor":")" + flavor + R"(","cell":0,"phase":")" + phase +
         R"(","size":4,"up_since_ms":)" + std::to_string(up_since_ms) + "}";
}

std::map<std::string, std::string> request_fields(int number, const std::string& request_class) {
  return {{"verb", request_class},
          {"txn", hex_id(number)},
          {"item", hex_id(number)},
          {"limit", "2500"},
          {"piece", "3"},
          {"lot", "17"},
          {"ram", "40"}};
}

std::string request_message(int number, const std::map<std::string, std::string>& fields,
                            const std::string& body) {
  std::string map = std::string("\x0d\0\1\x0b\x0b", 5) + u32_bytes(static_cast<std::uint32_t>(fields.size()));
  for (const auto& [name, value] : fields) map += length_prefixed(name) + length_prefixed(value);
  return thrift_message(1, "process", number, map + std::string("\x0b\0\2", 3) + length_prefixed(body));
}

std::string cancel_message(int number) {
  return thrift_message(4, "giveUp", number,
                        std::string("\x08\0\1", 3) + u32_bytes(static_cast<std::uint32_t>(number)));
}

std::string config_text(const std::vector<std::string>& members,
                        const std::map<std::string, std::string>& addresses, int memory_mb) {
  const auto address = [&addresses](const std::string& name) -> std::string {
    const auto found = addresses.find(name);
    return found == addresses.end() ? name + ":1" : found->second;
  };
  std::string list;
  for (const std::string& id : members) list += (list.empty() ? "" : ",") + member_json(id, address(id));
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

std::string with_fragile_orders(std::string config) {
  const std::string key = R"("effect":"dedup","group":"all","memory_span":2000000)";
  return config.replace(config.find(key), key.size(), R"("effect":"fragile")");
}

}  // namespace edge_proxy::test
