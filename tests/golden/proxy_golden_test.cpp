// SPDX-License-Identifier: MIT
// Golden records of the proxy's reducer: its inputs and the effects that come of them, in virtual time.
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
#include "support/virtual_time_harness.h"

namespace edge_proxy::test {
namespace {

using golden::GoldenRecord;
using std::chrono::milliseconds;

VirtualTimeHarness::Observer recorder(GoldenRecord& record) {
  return [&record](Time now, const proxy::Input& input, const std::vector<proxy::Effect>& effects) {
    golden::record_proxy_step(record, now, input, effects);
  };
}

const std::vector<std::string> kMembers{"box-1", "box-2", "box-3", "up-1", "up-2", "main"};

std::string roster(int no, const std::string& members, bool complete = false) {
  return R"(bulletin send {"no":)" + std::to_string(no) + R"(,"roster":{"revision":2,"complete":)" +
         (complete ? "true" : "false") + R"(,"members":[)" + members + "]}}\n";
}

/// Plays a scenario over one cache, parent and origin, and checks its record.
void check_scenario(const std::string& name, const std::string& scenario,
                    const std::vector<std::string>& members = {"box-1", "up-1", "main"}) {
  GoldenRecord record("proxy_" + name);
  VirtualTimeHarness stage(members, 192, nullptr, recorder(record));
  run_scenario(stage, scenario);
  record.check();
}

// ---- Scenarios ----

TEST(ProxyGolden, RequestsAndReplies) {
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

TEST(ProxyGolden, RetriesAndLostConnections) {
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

TEST(ProxyGolden, CancelledRequests) {
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

TEST(ProxyGolden, DiscoveryChangesAndInvalidations) {
  check_scenario("discovery",
                 "bulletin expect get last=1\nbulletin send head\nanna send 1 pages\n" +
                     roster(2, member_json("box-1", "box-1:1", "leaving")) + "box-2 set delayed_connect\n" +
                     roster(3, member_json("box-2", "box-2:1")) + R"(
    anna send 2 video
    bulletin send {"no":4,"recall":{"item":"0000000000000002","issued":1799999999500}}
    bulletin send {"no":5,"recall":{"lot":17,"issued":1799999999700}}
    box-2 set normal
    box-1 send HIT 1 ver=a b
    box-2 send HIT 2 ver=a b
    bulletin send comment
    wait 300
)" + roster(6, member_json("box-1", "box-1:1", "left") + "," + member_json("box-9", "box-1:1")) +
                     roster(7, member_json("box-2", "box-2:1", "active", 1'799'999'999'000)) +
                     "anna send 3 pages\nwait 20\n" +
                     roster(8, member_json("box-9", "box-1:1") + "," + member_json("main", "main:1"), true) +
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

TEST(ProxyGolden, ReloadAndGracefulShutdown) {
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

TEST(ProxyGolden, AdminCallsAndOverrides) {
  GoldenRecord record("proxy_admin");
  VirtualTimeHarness stage({"box-1", "box-2", "up-1", "main"}, 192, nullptr, recorder(record));
  run_scenario(stage, R"(
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
  )" + roster(2, member_json("box-2", "box-2:1", "left")) +
                          roster(3, member_json("box-2", "box-2:1", "active", 1'800'000'000'000)) +
                          "ops-13 send POST /v1/pop-caches/box-2/resume\nwait 300\n");
  stage.load_overrides("out 12\nout x box-1\nnonsense\n" + stage.stored_overrides());
  for (int i = 0; i < 36; ++i) stage.send("ops-silent-" + std::to_string(i), "GET");
  run_scenario(stage, "edge send TERM\nops-14 send GET /v1/readyz\nwait 12000\n");
  record.check();
}

TEST(ProxyGolden, LocalCopies) {
  std::string scenario = "bulletin send head\n";
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
    bulletin send {"no":2,"recall":{"item":"00000000000000aa","issued":1800000001000}}
    anna send 8 video item=00000000000000aa
    box-1 send HIT 8 ver=t2,born=5 the new bytes
    wait 6000
    anna send 9 video item=00000000000000aa
    wait 5000
  )");
}

TEST(ProxyGolden, StalledLoopAndExhaustedDescriptors) {
  GoldenRecord record("proxy_stalls");
  VirtualTimeHarness stage({"box-1", "up-1", "main"}, 192, nullptr, recorder(record));
  run_scenario(stage, "bulletin send head\nanna send 1 video limit=5000\nbox-1 expect serve 1\n");
  stage.exhaust_descriptors();
  stage.stall_event_loop(milliseconds(4000));
  run_scenario(stage, "anna send 2 video\nbox-1 send HIT 1 ver=a b\nwait 200\n");
  stage.set_write_stalled("anna", true);
  run_scenario(stage, "anna send 3 pages\nbox-1 send HIT 3 ver=a b\nwait 20000\n");
  stage.set_write_stalled("anna", false);
  run_scenario(stage, "wait 10000\nedge send TERM\nwait 6000\n");
  record.check();
}

// ---- Random requests, replies and faults ----

class RandomScenario {
 public:
  RandomScenario(VirtualTimeHarness& stage, std::uint64_t seed) : stage_(stage), engine_(seed) {}

  void run(int steps) {
    line("bulletin send head");
    for (int step = 0; step < steps; ++step) {
      random_step();
      if (below(3) != 0) line("wait " + std::to_string(below(30)));
    }
    line("edge send TERM");
    line("wait 12000");
  }

 private:
  std::uint64_t below(std::uint64_t bound) { return engine_() % bound; }
  template <std::size_t Size>
  std::string one_of(const std::array<const char*, Size>& words) {
    return words[below(Size)];
  }
  void line(const std::string& text) { run_scenario(stage_, text + "\n"); }

  std::string client() { return "client-" + std::to_string(below(6)); }
  std::string cache() { return "box-" + std::to_string(1 + below(3)); }

  void random_step() {
    const std::uint64_t draw = below(100);
    if (draw < 45) {
      ask();
    } else if (draw < 82) {
      reply();
    } else if (draw < 87) {
      line(client() + " send giveUp " + std::to_string(std::max<std::uint64_t>(1, asked_ - below(5))));
    } else if (draw < 89) {
      line(client() + (below(2) == 0 ? " close" : " close reset"));
    } else if (draw < 92) {
      const std::string who = cache();
      line(who + " " +
           one_of(std::array{"close reset", "close refusing", "set delayed_connect", "set not_reading",
                             "set normal", "set normal"}));
    } else if (draw < 95) {
      announce();
    } else if (draw < 97) {
      call_admin();
    } else if (draw < 98) {
      line(cache() + " send raw what is this");
    } else if (draw < 99) {
      line("wait " + std::to_string(500 + below(1500)));
    } else {
      line("bulletin send comment");
    }
  }

  void ask() {
    const std::string number = std::to_string(++asked_);
    const std::string who = client();
    const std::string verb = one_of(std::array{"pages", "pages", "video", "order"});
    std::string text = who + " send " + number + " " + verb;
    if (verb == "order") text += " unique=k" + number;
    if (verb != "order" && below(3) != 0) text += " item=00000000000000a" + std::to_string(below(8));
    if (below(4) == 0) text += " piece=" + std::to_string(below(6));
    if (below(5) == 0) text += " ver=t1";
    if (below(8) == 0) text += " limit=" + std::to_string(100 + below(900));
    if (below(9) == 0) text += " !ram";
    line(text);
    open_.push_back(asked_);
  }

  /// One of the caches that were asked and are still connected answers.
  void reply() {
    if (open_.empty()) return;
    const std::size_t at = below(std::min<std::uint64_t>(open_.size(), 6));
    const std::uint64_t number = open_[at];
    open_.erase(open_.begin() + static_cast<std::ptrdiff_t>(at));
    for (const char* who : {"box-1", "box-2", "box-3"}) {
      if (!stage_.is_request_connection_open(who, hex_of(number))) continue;
      const std::string word =
          one_of(std::array{"HIT", "HIT", "HIT", "HIT", "VALID", "NONE", "SHED", "FAULT", "LATE"});
      const bool has_copy = word == "HIT" || word == "VALID";
      line(std::string(who) + " send " + word + " " + std::to_string(number) +
           (has_copy ? " ver=t1,born=5" : "") +
           (word == "HIT" ? " bytes of " + std::to_string(number % 8) : ""));
    }
  }

  static std::string hex_of(std::uint64_t number) {
    std::string text(16, '0');
    for (std::size_t at = 16; at-- > 0; number /= 16) text[at] = "0123456789abcdef"[number % 16];
    return text;
  }

  void announce() {
    const std::string no = std::to_string(++number_);
    const auto ms =
        std::chrono::duration_cast<milliseconds>(stage_.now()).count() - static_cast<long long>(below(2000));
    if (below(3) == 0) {
      line(R"(bulletin send {"no":)" + no + R"(,"recall":{"item":"00000000000000a)" +
           std::to_string(below(8)) + R"(","issued":)" + std::to_string(ms) + "}}");
    } else if (below(2) == 0) {
      line(R"(bulletin send {"no":)" + no + R"(,"recall":{"lot":17,"issued":)" + std::to_string(ms) + "}}");
    } else {
      const std::string who = cache();
      const std::string phase = one_of(std::array{"active", "active", "leaving", "left"});
      const long long up_since = below(2) == 0 ? 0 : ms;
      line(roster(static_cast<int>(number_), member_json(who, who + ":1", phase, up_since)));
    }
  }

  void call_admin() {
    const std::string who = "ops-" + std::to_string(++calls_);
    const std::string path =
        one_of(std::array{"GET /v1/metrics", "GET /v1/readyz", "POST /v1/pop-caches/box-1/suspend",
                          "POST /v1/pop-caches/box-1/resume", "GET /v1/nothing"});
    line(who + " send " + path);
  }

  VirtualTimeHarness& stage_;
  std::mt19937_64 engine_;
  std::uint64_t asked_ = 0, number_ = 1, calls_ = 0;
  std::vector<std::uint64_t> open_;
};

/// The configuration with hedged requests allowed.
std::string with_hedging(std::string text) {
  const std::string off = R"("second_copies":false)";
  return text.replace(text.find(off), off.size(), R"("second_copies":true)");
}

TEST(ProxyGolden, RandomScenarios) {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    GoldenRecord record("proxy_random_" + std::to_string(seed));
    VirtualTimeHarness stage(kMembers, 192, seed % 2 == 0 ? with_hedging : nullptr, recorder(record));
    RandomScenario(stage, seed).run(250);
    record.check();
  }
}

// ---- Membership and policy ----

std::string with_policy(std::string text) {
  return text.insert(
      1, R"("peers":{"cluster":"c","listen":"127.0.0.1:9","folder":"/x","seeds":["127.0.0.1:19"]},)"
         R"("policy":{"voters":["n1","n2","n3"],"folder":"/x"},)");
}

/// Two other proxies of the cluster, played by hand.
class ClusterScenario {
 public:
  ClusterScenario(VirtualTimeHarness& stage, std::uint64_t seed) : stage_(stage), engine_(seed) {}

  void ready() {
    membership::Identity identity{7 + engine_() % 5, membership::kEpochStep, false, {}};
    identity.known_members = {member("n2"), member("n3")};
    stage_.feed(proxy::MembershipReady{identity});
  }
  void run_for(int steps) {
    for (int step = 0; step < steps; ++step) {
      hear(one());
      run_scenario(stage_, "wait " + std::to_string(10 + engine_() % 60));
    }
  }
  /// It has come to lead the log, and is granted a lease by a majority.
  void lead() {
    proxy::ConsensusOutput out;
    out.voters = {{"n1", 7}, {"n2", 8}, {"n3", 9}};
    out.own_raft_id = 7;
    out.outgoing_messages = {{"n2", "bytes of the log"}};
    out.consensus_inputs = {consensus::EntryApplied{1, std::nullopt},
                            consensus::BecameLeader{term_, {"n1", "n2", "n3"}}};
    stage_.feed(out);
  }
  void confirm(std::uint64_t rounds) {
    for (std::uint64_t round = 1; round <= rounds; ++round) {
      carry("n2", consensus::LeadershipCheckReply{term_, round});
      carry("n3", consensus::LeadershipCheckReply{term_, round});
      own(consensus::MessageReceived{"n1", consensus::LeadershipCheckReply{term_, round}});
    }
  }
  void apply(consensus::Index index, const consensus::Entry& entry) {
    own(consensus::EntryApplied{index, entry});
  }
  void carry(const std::string& from, const consensus::Message& message) {
    membership::Message envelope = peer_message(from, membership::MessageKind::user_message);
    envelope.payload = consensus::encode(message, kLease);
    stage_.feed(proxy::MembershipInput{membership::MessageReceived{envelope, 0}});
  }
  void carry_bytes(const std::string& from, const std::string& bytes) {
    membership::Message envelope = peer_message(from, membership::MessageKind::user_message);
    envelope.payload = bytes;
    stage_.feed(proxy::MembershipInput{membership::MessageReceived{envelope, 0}});
  }
  void own(const consensus::Input& input) {
    proxy::ConsensusOutput out;
    out.voters = {{"n1", 7}, {"n2", 8}, {"n3", 9}};
    out.own_raft_id = 7;
    out.consensus_inputs = {input};
    stage_.feed(out);
  }
  [[nodiscard]] consensus::Term term() const { return term_; }

 private:
  static constexpr Time kLease{5'000'000};

  std::string one() { return engine_() % 2 == 0 ? "n2" : "n3"; }
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
    message.sequence = ++number_;
    message.to = "n1";
    message.from = member(from);
    return message;
  }
  void hear(const std::string& from) {
    membership::Message message = peer_message(from, membership::MessageKind::ping);
    switch (engine_() % 6) {
      case 0:
        message.kind = membership::MessageKind::full_sync;
        message.updates = {member("n2"), member("n3")};
        stage_.feed(proxy::MembershipInput{membership::MessageReceived{message, number_}});
        return;
      case 1: {
        message.kind = membership::MessageKind::gossip;
        membership::MemberUpdate suspected = member(from == "n2" ? "n3" : "n2");
        suspected.status =
            engine_() % 2 == 0 ? membership::MemberStatus::suspect : membership::MemberStatus::alive;
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
        message.sequence = engine_() % 40;
        message.confirmed = true;
        break;
      case 4:
        stage_.feed(proxy::MembershipInput{
            membership::MessageRejected{membership::DecodeError::checksum_mismatch, "127.0.0.1:99"}});
        return;
      default:
        break;
    }
    stage_.feed(proxy::MembershipInput{membership::MessageReceived{message, 0}});
  }

  VirtualTimeHarness& stage_;
  std::mt19937_64 engine_;
  std::uint64_t number_ = 0;
  consensus::Term term_ = 3;
};

void put_policy(VirtualTimeHarness& stage, const std::string& who, const std::string& body) {
  stage.send(who, "PUT /v1/policy HTTP/1.1\r\nHost: edge\r\nContent-Length: " + std::to_string(body.size()) +
                      "\r\n\r\n" + body);
}

void play_cluster(VirtualTimeHarness& stage, std::uint64_t seed) {
  ClusterScenario cluster(stage, seed);
  run_scenario(stage, "anna send 1 pages\nops-1 send GET /v1/policy\nops-2 send GET /v1/peers\n");
  put_policy(stage, "ops-3", "{}");
  cluster.ready();
  cluster.run_for(40);
  cluster.lead();
  cluster.run_for(4);
  cluster.confirm(20);
  run_scenario(stage, "anna send 2 pages\nwait 10\nbox-1 send HIT 2 ver=a b\n");
  put_policy(stage, "ops-4", R"({"key":"first","base":0,"policy":{"attempts_cap":3}})");
  put_policy(stage, "ops-5", R"({"key":"second","base":-1,"policy":{}})");
  put_policy(stage, "ops-6", "nonsense");
  const consensus::Entry proposed{consensus::Step::propose, 0, "first", 0, R"({"attempts_cap":3})", {}};
  cluster.apply(2, proposed);
  cluster.carry("n2", consensus::LeaseRequest{5});
  cluster.carry("n2", consensus::PrepareReply{2, true, {}});
  cluster.carry("n3", consensus::PrepareReply{2, true, {}});
  cluster.carry("n3", consensus::LeadershipCheck{cluster.term(), 1});
  cluster.carry("n3", consensus::CatchUpRequest{0});
  cluster.carry_bytes("n3", "no message");
  cluster.run_for(10);
  cluster.apply(3, {consensus::Step::commit, 2, {}, 0, {}, {}});
  run_scenario(stage, "anna send 3 video\nops-7 send GET /v1/policy\nops-8 send POST /v1/policy/abort\n");
  cluster.run_for(100);
  cluster.apply(4, {consensus::Step::activate, 2, {}, 0, {}, {}});
  cluster.run_for(6);
  cluster.confirm(90);
  run_scenario(stage, "anna send 4 video\nops-9 send GET /v1/metrics\nops-10 send GET /v1/policy\n");
  run_scenario(
      stage,
      "ops-11 send POST /v1/peers/n3/forget\nops-12 send GET /v1/peers\n"
      "ops-14 send POST /v1/policy/voters/n4=11/add\nops-15 send POST /v1/policy/voters/n4/remove\n");
  // No voter from here on: a voter that is told of a log ahead of its own asks for a timer in the past
  // without end, which virtual time can't follow.
  cluster.own(consensus::BecameFollower{"n2", false});
  cluster.carry("n2", consensus::LeaseRevocation{cluster.term() + 1, 1});
  cluster.carry("n2", consensus::LogPosition{9, "n2"});
  cluster.carry("n2", consensus::CatchUpResponse{4, 9, {}});
  run_scenario(
      stage,
      "anna send 5 pages\nwait 8000\nops-13 send POST /v1/peers/n3/forget\nedge send TERM\nwait 3000\n");
}

TEST(ProxyGolden, MembershipAndPolicy) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    GoldenRecord record("proxy_cluster_" + std::to_string(seed));
    VirtualTimeHarness stage(kMembers, 192, with_policy, recorder(record));
    play_cluster(stage, seed);
    record.check();
  }
}

}  // namespace
}  // namespace edge_proxy::test
