// SPDX-License-Identifier: MIT
// Golden records of the proxy reducer: its inputs and the effects that it returns, in virtual time.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "consensus/codec.h"
#include "golden/golden_record.h"
#include "golden/proxy_trace.h"
#include "support/reducer_scenarios.h"

namespace edge_proxy::test {
namespace {

using golden::GoldenRecord;
using std::chrono::milliseconds;

VirtualTimeHarness::Observer step_recorder(GoldenRecord& record) {
  return [&record](Time now, const proxy::Input& input, const std::vector<proxy::Effect>& effects) {
    golden::record_proxy_step(record, now, input, effects);
  };
}

const std::vector<std::string> kMembers{"box-1", "box-2", "box-3", "up-1", "up-2", "main"};

/// Runs a scenario, by default with one cache, one parent and one origin, and checks its record.
void check_scenario(const std::string& name, const std::string& scenario,
                    const std::vector<std::string>& members = {"box-1", "up-1", "main"}) {
  GoldenRecord record("proxy_" + name);
  VirtualTimeHarness harness(members, 192, nullptr, step_recorder(record));
  run_scenario(harness, scenario);
  record.check();
}

// ---- Scenarios ----

TEST(ProxyGolden, RequestsAndRepliesMatchRecord) {
  check_scenario("requests", R"(
    anna send 1 pages piece=5 ver=tag9 unique=k1
    box-1 expect serve 1
    box-1 send HIT 1 ver=t1,born=5 all the bytes
    anna expect served 1
    anna send 2 pages ver=t1
    box-1 send VALID 2 ver=t1,born=5
    anna send 3 pages
    box-1 send VALID 3 ver=t1,born=5
    box-1 send HIT 3 ver=t1,born=5 b
    anna send 4 order unique=5c0f6e1a body=two books
    box-1 send HIT 4 ver=t1,born=5 done
    anna send 5 pages
    anna send 6 pages
    box-1 send HIT 6 ver=b two
    box-1 send HIT 5 ver=a one
    anna send 7 pages
    box-1 send SHED 7
    anna send 8 pages piece=-1
    anna send dance 9
    anna send probe 10
    bert send raw 00 00 00 02 61 62
    wait 30000
  )");
}

TEST(ProxyGolden, RetriesAndLostConnectionsMatchRecord) {
  check_scenario("retries", R"(
    anna send 1 pages
    wait 1
    box-1 send NONE 1
    box-2 send NONE 1
    box-3 send FAULT 1
    anna send 2 video
    wait 1
    box-1 close reset
    box-2 close reset
    box-3 close reset
    wait 100
    anna send 3 order unique=k limit=3000
    wait 2100
    box-1 close reset
    box-2 close reset
    box-3 close reset
    box-1 close refusing
    anna send 4 pages
    box-2 set silent
    anna send 5 pages
    anna send 6 video
    wait 500
    box-1 set normal
    anna send 7 pages
    wait 1
    box-1 send raw what is this
    box-2 send raw what is this
    box-3 send raw what is this
    wait 300
    box-1 send LATE 7
    box-3 send SICK 7
    wait 3000
  )",
                 kMembers);
}

TEST(ProxyGolden, CancelledRequestsMatchRecord) {
  check_scenario("cancelled", R"(
    anna send 1 pages
    box-1 expect serve 1
    anna send giveUp 1
    box-1 expect cancel 1
    box-1 send HIT 1 ver=a late
    anna send giveUp 99
    anna send 2 order unique=k limit=1000
    wait 995
    box-1 send HIT 2 ver=a late
    bert send 3 pages
    box-1 set not_reading
    bert send 4 video
    bert close
    box-1 set normal
    carl send 5 pages
    carl close half
    box-1 send HIT 5 ver=a b
    dora send 6 pages
    dora close reset
    wait 3000
  )");
}

TEST(ProxyGolden, DiscoveryChangesAndInvalidationsMatchRecord) {
  check_scenario("discovery",
                 "bulletin expect get last=1\nbulletin send head\nanna send 1 pages\n" +
                     endpoint_list_event(2, member_json("box-1", "box-1:1", "leaving")) +
                     "box-2 set delayed_connect\n" + endpoint_list_event(3, member_json("box-2", "box-2:1")) +
                     R"(
    anna send 2 video
    bulletin send {"no":4,"recall":{"item":"0000000000000002","issued":1799999999500}}
    bulletin send {"no":5,"recall":{"lot":17,"issued":1799999999700}}
    box-2 set normal
    box-1 send HIT 1 ver=a b
    box-2 send HIT 2 ver=a b
    bulletin send comment
    wait 300
)" + endpoint_list_event(6, member_json("box-1", "box-1:1", "left") + "," + member_json("box-9", "box-1:1")) +
                     endpoint_list_event(7, member_json("box-2", "box-2:1", "active", 1'799'999'999'000)) +
                     "anna send 3 pages\nwait 20\n" +
                     endpoint_list_event(
                         8, member_json("box-9", "box-1:1") + "," + member_json("main", "main:1"), true) +
                     R"(
    bulletin send {"no":9,"nonsense":1}
    bulletin send raw id: x\ndata: {\n\n
    wait 600
    bulletin send head
    bulletin send raw HTTP/1.1 500 no\n\n
    bulletin close reset
    bulletin close refusing
    wait 3000
    bulletin set normal
    anna send probe 4
    wait 3000
  )");
}

TEST(ProxyGolden, ReloadAndGracefulShutdownMatchRecord) {
  check_scenario("reload_shutdown", R"(
    bulletin expect get last=1
    bulletin send head
    anna send 1 pages
    edge send HUP bulletin-2
    bulletin-2 send head
    edge send HUP bulletin-2
    edge send HUP nowhere
    anna send 2 video
    box-1 send HIT 1 ver=a b
    edge send TERM
    anna send probe 3
    bert send 4 pages
    anna send 5 pages
    box-1 send HIT 2 ver=a b
    edge send HUP bulletin-3
    wait 1100
    box-1 send HIT 5 ver=a b
    wait 6000
  )");
}

TEST(ProxyGolden, AdminCallsAndOverridesMatchRecord) {
  GoldenRecord record("proxy_admin");
  VirtualTimeHarness harness({"box-1", "box-2", "up-1", "main"}, 192, nullptr, step_recorder(record));
  run_scenario(harness,
               R"(
    ops-1 send GET /v1/readyz
    ops-2 send POST /v1/pop-caches/box-2/suspend
    ops-3 send POST /v1/pop-caches/box-2/suspend
    ops-4 send POST /v1/pop-caches/box-9/suspend
    anna send 1 pages
    anna send 2 video
    wait 10
    ops-5 send GET /v1/metrics
    ops-6 send POST /v1/metrics
    ops-7 send GET /v2
    ops-8 send nonsense
    ops-9 send GET /v1/peers
    ops-10 send GET /v1/policy
    ops-11 send POST /v1/policy/abort
    ops-12 send POST /v1/peers/n2/forget
    bulletin send head
  )" + endpoint_list_event(2, member_json("box-2", "box-2:1", "left")) +
                   endpoint_list_event(3, member_json("box-2", "box-2:1", "active", 1'800'000'000'000)) +
                   "ops-13 send POST /v1/pop-caches/box-2/resume\nwait 300\n");
  harness.load_overrides("out 12\nout x box-1\nnonsense\n" + harness.stored_overrides());
  for (int i = 0; i < 36; ++i) harness.send("ops-silent-" + std::to_string(i), "GET");
  run_scenario(harness, "edge send TERM\nops-14 send GET /v1/readyz\nwait 12000\n");
  record.check();
}

TEST(ProxyGolden, LocalCacheCopiesMatchRecord) {
  std::string scenario =
      "bulletin send head\n"
      R"(bulletin send {"no":2,"recall":{"item":"00000000000000ff","issued":1800000001000}})"
      "\n";
  for (int n = 1; n <= 3; ++n) {
    const std::string id = std::to_string(n);
    scenario += "anna send " + id + " video item=00000000000000aa\nbox-1 send HIT " + id +
                " ver=t1,born=" + id + " the bytes\n";
  }
  check_scenario("local_copies", scenario + R"(
    anna send 4 video item=00000000000000aa ver=t1
    anna send 5 video item=00000000000000aa piece=4
    box-1 send HIT 5 ver=t1,born=5 the other bytes
    anna send 6 pages item=00000000000000aa
    wait 1100
    anna send 7 video item=00000000000000aa
    bulletin send {"no":3,"recall":{"item":"00000000000000aa","issued":1800000001000}}
    anna send 8 video item=00000000000000aa
    box-1 send HIT 8 ver=t2,born=5 the new bytes
    wait 6000
    anna send 9 video item=00000000000000aa
    wait 5000
  )");
}

TEST(ProxyGolden, StalledEventLoopAndExhaustedDescriptorsMatchRecord) {
  GoldenRecord record("proxy_stalls");
  VirtualTimeHarness harness({"box-1", "up-1", "main"}, 192, nullptr, step_recorder(record));
  run_scenario(harness, "bulletin send head\nanna send 1 video limit=5000\nbox-1 expect serve 1\n");
  harness.exhaust_descriptors();
  harness.stall_event_loop(milliseconds(4000));
  run_scenario(harness, "anna send 2 video\nbox-1 send HIT 1 ver=a b\nwait 200\n");
  harness.set_write_stalled("anna", true);
  run_scenario(harness, "anna send 3 pages\nbox-1 send HIT 3 ver=a b\nwait 20000\n");
  harness.set_write_stalled("anna", false);
  run_scenario(harness, "wait 10000\nedge send TERM\nwait 6000\n");
  record.check();
}

// ---- Random requests, replies and faults ----

class RandomScenario {
 public:
  RandomScenario(VirtualTimeHarness& harness, std::uint64_t seed) : harness_(harness), random_(seed) {}

  void run(int steps) {
    run_line("bulletin send head");
    for (int step = 0; step < steps; ++step) {
      run_random_step();
      if (random_below(3) != 0) run_line("wait " + std::to_string(random_below(30)));
    }
    run_line("edge send TERM");
    run_line("wait 12000");
  }

 private:
  std::uint64_t random_below(std::uint64_t bound) { return random_() % bound; }
  template <std::size_t Size>
  std::string random_word(const std::array<const char*, Size>& words) {
    return words[random_below(Size)];
  }
  void run_line(const std::string& text) { run_scenario(harness_, text + "\n"); }

  std::string random_client() { return "client-" + std::to_string(random_below(6)); }
  std::string random_cache() { return "box-" + std::to_string(1 + random_below(3)); }

  void run_random_step() {
    const std::uint64_t draw = random_below(100);
    if (draw < 45) {
      send_request();
    } else if (draw < 82) {
      send_reply();
    } else if (draw < 87) {
      const std::uint64_t number = std::max<std::uint64_t>(1, last_request_ - random_below(5));
      run_line(random_client() + " send giveUp " + std::to_string(number));
    } else if (draw < 89) {
      const std::string ending = random_below(2) == 0 ? " close" : " close reset";
      run_line(random_client() + ending);
    } else if (draw < 92) {
      const std::string connection = random_cache();
      run_line(connection + " " +
               random_word(std::array{"close reset", "close refusing", "set delayed_connect",
                                      "set not_reading", "set normal", "set normal"}));
    } else if (draw < 95) {
      send_discovery_event();
    } else if (draw < 97) {
      call_admin_api();
    } else if (draw < 98) {
      run_line(random_cache() + " send raw what is this");
    } else if (draw < 99) {
      run_line("wait " + std::to_string(500 + random_below(1500)));
    } else {
      run_line("bulletin send comment");
    }
  }

  void send_request() {
    const std::string number = std::to_string(++last_request_);
    const std::string connection = random_client();
    const std::string verb = random_word(std::array{"pages", "pages", "video", "order"});
    std::string text = connection + " send " + number + " " + verb;
    if (verb == "order") text += " unique=k" + number;
    if (verb != "order" && random_below(3) != 0)
      text += " item=00000000000000a" + std::to_string(random_below(8));
    if (random_below(4) == 0) text += " piece=" + std::to_string(random_below(6));
    if (random_below(5) == 0) text += " ver=t1";
    if (random_below(8) == 0) text += " limit=" + std::to_string(100 + random_below(900));
    if (random_below(9) == 0) text += " !ram";
    run_line(text);
    open_requests_.push_back(last_request_);
  }

  /// Every cache that has an open connection for the chosen request replies to it.
  void send_reply() {
    if (open_requests_.empty()) return;
    const std::size_t index = random_below(std::min<std::uint64_t>(open_requests_.size(), 6));
    const std::uint64_t number = open_requests_[index];
    open_requests_.erase(open_requests_.begin() + static_cast<std::ptrdiff_t>(index));
    for (const char* connection : {"box-1", "box-2", "box-3"}) {
      if (!harness_.is_request_connection_open(connection, hex_request_id(number))) continue;
      const std::string word =
          random_word(std::array{"HIT", "HIT", "HIT", "HIT", "VALID", "NONE", "SHED", "FAULT", "LATE"});
      const bool has_copy = word == "HIT" || word == "VALID";
      run_line(std::string(connection) + " send " + word + " " + std::to_string(number) +
               (has_copy ? " ver=t1,born=5" : "") +
               (word == "HIT" ? " bytes of " + std::to_string(number % 8) : ""));
    }
  }

  static std::string hex_request_id(std::uint64_t number) {
    std::string text(16, '0');
    for (std::size_t digit = 16; digit-- > 0; number /= 16) text[digit] = "0123456789abcdef"[number % 16];
    return text;
  }

  void send_discovery_event() {
    const std::string number = std::to_string(++last_event_);
    const auto issued_ms = std::chrono::duration_cast<milliseconds>(harness_.now()).count() -
                           static_cast<long long>(random_below(2000));
    if (random_below(3) == 0) {
      run_line(R"(bulletin send {"no":)" + number + R"(,"recall":{"item":"00000000000000a)" +
               std::to_string(random_below(8)) + R"(","issued":)" + std::to_string(issued_ms) + "}}");
    } else if (random_below(2) == 0) {
      run_line(R"(bulletin send {"no":)" + number + R"(,"recall":{"lot":17,"issued":)" +
               std::to_string(issued_ms) + "}}");
    } else {
      const std::string connection = random_cache();
      const std::string phase = random_word(std::array{"active", "active", "leaving", "left"});
      const long long up_since = random_below(2) == 0 ? 0 : issued_ms;
      run_line(endpoint_list_event(static_cast<int>(last_event_),
                                   member_json(connection, connection + ":1", phase, up_since)));
    }
  }

  void call_admin_api() {
    const std::string connection = "ops-" + std::to_string(++admin_calls_);
    const std::string path =
        random_word(std::array{"GET /v1/metrics", "GET /v1/readyz", "POST /v1/pop-caches/box-1/suspend",
                               "POST /v1/pop-caches/box-1/resume", "GET /v1/nothing"});
    run_line(connection + " send " + path);
  }

  VirtualTimeHarness& harness_;
  std::mt19937_64 random_;
  std::uint64_t last_request_ = 0, last_event_ = 1, admin_calls_ = 0;
  std::vector<std::uint64_t> open_requests_;
};

/// Returns the configuration with hedged requests enabled.
std::string with_hedging(std::string text) {
  const std::string disabled = R"("second_copies":false)";
  return text.replace(text.find(disabled), disabled.size(), R"("second_copies":true)");
}

TEST(ProxyGolden, RandomScenariosMatchRecords) {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    GoldenRecord record("proxy_random_" + std::to_string(seed));
    VirtualTimeHarness harness(kMembers, 192, seed % 2 == 0 ? with_hedging : nullptr, step_recorder(record));
    RandomScenario(harness, seed).run(250);
    record.check();
  }
}

// ---- Membership and policy ----

std::string with_policy(std::string text) {
  return text.insert(
      1, R"("peers":{"cluster":"c","listen":"127.0.0.1:9","folder":"/x","seeds":["127.0.0.1:19"]},)"
         R"("policy":{"voters":["n1","n2","n3"],"folder":"/x"},)");
}

/// Sends the messages of two other proxies of the cluster.
class ClusterScenario {
 public:
  ClusterScenario(VirtualTimeHarness& harness, std::uint64_t seed) : harness_(harness), random_(seed) {}

  void start_membership() {
    membership::Identity identity{7 + random_() % 5, membership::kEpochStep, false, {}};
    identity.known_members = {member("n2"), member("n3")};
    harness_.feed(proxy::MembershipReady{identity});
  }
  void run_steps(int steps) {
    for (int step = 0; step < steps; ++step) {
      receive_random_message(random_peer());
      run_scenario(harness_, "wait " + std::to_string(10 + random_() % 60));
    }
  }
  /// Makes this proxy the leader of the log with three voters.
  void become_leader() {
    proxy::ConsensusOutput output;
    output.voters = {{"n1", 7}, {"n2", 8}, {"n3", 9}};
    output.own_raft_id = 7;
    output.outgoing_messages = {{"n2", "bytes of the log"}};
    output.consensus_inputs = {consensus::EntryApplied{1, std::nullopt},
                               consensus::BecameLeader{term_, {"n1", "n2", "n3"}}};
    harness_.feed(output);
  }
  void confirm_leadership(std::uint64_t rounds) {
    for (std::uint64_t round = 1; round <= rounds; ++round) {
      receive("n2", consensus::LeadershipCheckReply{term_, round});
      receive("n3", consensus::LeadershipCheckReply{term_, round});
      feed_consensus_input(consensus::MessageReceived{"n1", consensus::LeadershipCheckReply{term_, round}});
    }
  }
  void apply(consensus::Index index, const consensus::Entry& entry) {
    feed_consensus_input(consensus::EntryApplied{index, entry});
  }
  void receive(const std::string& from, const consensus::Message& message) {
    membership::Message envelope = peer_message(from, membership::MessageKind::user_message);
    envelope.payload = consensus::encode(message, kLease);
    harness_.feed(proxy::MembershipInput{membership::MessageReceived{envelope, 0}});
  }
  void receive_bytes(const std::string& from, const std::string& bytes) {
    membership::Message envelope = peer_message(from, membership::MessageKind::user_message);
    envelope.payload = bytes;
    harness_.feed(proxy::MembershipInput{membership::MessageReceived{envelope, 0}});
  }
  void feed_consensus_input(const consensus::Input& input) {
    proxy::ConsensusOutput output;
    output.voters = {{"n1", 7}, {"n2", 8}, {"n3", 9}};
    output.own_raft_id = 7;
    output.consensus_inputs = {input};
    harness_.feed(output);
  }
  [[nodiscard]] consensus::Term term() const { return term_; }

 private:
  static constexpr Time kLease{5'000'000};

  std::string random_peer() { return random_() % 2 == 0 ? "n2" : "n3"; }
  static membership::MemberUpdate member(const std::string& name) {
    return {name,
            name == "n2" ? "127.0.0.1:19" : "127.0.0.1:29",
            name == "n2" ? 12U : 13U,
            membership::kEpochStep,
            1,
            membership::MemberStatus::alive,
            {}};
  }
  membership::Message peer_message(const std::string& from, membership::MessageKind kind) {
    membership::Message message;
    message.kind = kind;
    message.sequence = ++last_sequence_;
    message.to = "n1";
    message.from = member(from);
    return message;
  }
  void receive_random_message(const std::string& from) {
    membership::Message message = peer_message(from, membership::MessageKind::ping);
    switch (random_() % 6) {
      case 0:
        message.kind = membership::MessageKind::full_sync;
        message.updates = {member("n2"), member("n3")};
        harness_.feed(proxy::MembershipInput{membership::MessageReceived{message, last_sequence_}});
        return;
      case 1: {
        message.kind = membership::MessageKind::gossip;
        membership::MemberUpdate suspected = member(from == "n2" ? "n3" : "n2");
        suspected.status =
            random_() % 2 == 0 ? membership::MemberStatus::suspect : membership::MemberStatus::alive;
        suspected.reported_by = from;
        message.updates = {suspected};
        break;
      }
      case 2:
        message.kind = membership::MessageKind::ping_req;
        message.target = from == "n2" ? "n3" : "n2";
        message.target_address = member(message.target).address;
        break;
      case 3:
        message.kind = membership::MessageKind::ack;
        message.sequence = random_() % 40;
        message.confirmed = true;
        break;
      case 4:
        harness_.feed(proxy::MembershipInput{
            membership::MessageRejected{membership::DecodeError::checksum_mismatch, "127.0.0.1:99"}});
        return;
      default:
        break;
    }
    harness_.feed(proxy::MembershipInput{membership::MessageReceived{message, 0}});
  }

  VirtualTimeHarness& harness_;
  std::mt19937_64 random_;
  std::uint64_t last_sequence_ = 0;
  consensus::Term term_ = 3;
};

void put_policy(VirtualTimeHarness& harness, const std::string& connection, const std::string& body) {
  harness.send(connection, "PUT /v1/policy HTTP/1.1\r\nHost: edge\r\nContent-Length: " +
                               std::to_string(body.size()) + "\r\n\r\n" + body);
}

void run_cluster_scenario(VirtualTimeHarness& harness, std::uint64_t seed) {
  ClusterScenario cluster(harness, seed);
  run_scenario(harness, "anna send 1 pages\nops-1 send GET /v1/policy\nops-2 send GET /v1/peers\n");
  put_policy(harness, "ops-3", "{}");
  cluster.start_membership();
  cluster.run_steps(40);
  cluster.become_leader();
  cluster.run_steps(4);
  cluster.confirm_leadership(20);
  run_scenario(harness, "anna send 2 pages\nwait 10\nbox-1 send HIT 2 ver=a b\n");
  put_policy(harness, "ops-4", R"({"key":"first","base":0,"policy":{"attempts_cap":3}})");
  put_policy(harness, "ops-5", R"({"key":"second","base":-1,"policy":{}})");
  put_policy(harness, "ops-6", "nonsense");
  const consensus::Entry proposed{consensus::Step::propose, 0, "first", 0, R"({"attempts_cap":3})", {}};
  cluster.apply(2, proposed);
  cluster.receive("n2", consensus::LeaseRequest{5});
  cluster.receive("n2", consensus::PrepareReply{2, true, {}});
  cluster.receive("n3", consensus::PrepareReply{2, true, {}});
  cluster.receive("n3", consensus::LeadershipCheck{cluster.term(), 1});
  cluster.receive("n3", consensus::CatchUpRequest{0});
  cluster.receive_bytes("n3", "no message");
  cluster.run_steps(10);
  cluster.apply(3, {consensus::Step::commit, 2, {}, 0, {}, {}});
  run_scenario(harness, "anna send 3 video\nops-7 send GET /v1/policy\nops-8 send POST /v1/policy/abort\n");
  cluster.run_steps(100);
  cluster.apply(4, {consensus::Step::activate, 2, {}, 0, {}, {}});
  cluster.run_steps(6);
  cluster.confirm_leadership(90);
  run_scenario(harness, "anna send 4 video\nops-9 send GET /v1/metrics\nops-10 send GET /v1/policy\n");
  run_scenario(
      harness,
      "ops-11 send POST /v1/peers/n3/forget\nops-12 send GET /v1/peers\n"
      "ops-14 send POST /v1/policy/voters/n4=11/add\nops-15 send POST /v1/policy/voters/n4/remove\n");
  // This proxy is not a voter from here on. A voter that learns of a log ahead of its own log requests timers
  // in the past without end, so virtual time would not advance.
  cluster.feed_consensus_input(consensus::BecameFollower{"n2", false});
  cluster.receive("n2", consensus::LeaseRevocation{cluster.term() + 1, 1});
  cluster.receive("n2", consensus::LogPosition{9, "n2"});
  cluster.receive("n2", consensus::CatchUpResponse{4, 9, {}});
  run_scenario(
      harness,
      "anna send 5 pages\nwait 8000\nops-13 send POST /v1/peers/n3/forget\nedge send TERM\nwait 3000\n");
}

TEST(ProxyGolden, MembershipAndPolicyMatchRecords) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    GoldenRecord record("proxy_cluster_" + std::to_string(seed));
    VirtualTimeHarness harness(kMembers, 192, with_policy, step_recorder(record));
    run_cluster_scenario(harness, seed);
    record.check();
  }
}

}  // namespace
}  // namespace edge_proxy::test
