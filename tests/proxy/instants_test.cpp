// SPDX-License-Identifier: MIT
// Bad moments over real connections, each brought about every time: bytes, ends and signals that come between
// two lines of the program, tables that are full, clients that send or take slowly or much.
#include <gtest/gtest.h>

#include <csignal>
#include <cstdlib>
#include <iomanip>
#include <sstream>

#include "support/started_program.h"

namespace edge_proxy::test {
namespace {

using namespace std::chrono_literals;

std::string asks(int from, int to, const std::string& what) {
  std::string scenario;
  for (int i = from; i <= to; ++i) scenario += "anna send " + std::to_string(i) + " " + what + "\n";
  return scenario;
}

void answer(StartedProgram& program, const std::string& box, int number, const std::string& body) {
  std::ostringstream id;
  id << std::hex << std::setw(16) << std::setfill('0') << number;
  program.send(box, id.str() + " HIT ver=a " + std::to_string(body.size()) + "\r\n" + body + "\r\n");
}

// ---- Clients that have gone ----

TEST(Instants, AnEndBehindWhatWasSentIsHeardBeforeIt) {
  // Two requests of 20 KB and the end of the connection have come by the time the program looks; it reads 16
  // KB from a client at a time.
  for (const char* how : {"", " half", " reset"}) {
    SCOPED_TRACE(how);
    StartedProgram program;
    run_scenario(program, "anna send probe 1\nanna expect ready 1");
    program.send_signal(SIGSTOP);
    run_scenario(program, asks(2, 3, "order unique=k body=" + std::string(20'000, 'x')) + "anna close" + how);
    program.wait(50ms);
    program.send_signal(SIGCONT);
    run_scenario(program, "edge expect log closed kind=front conn=1\nwait 200\nbox-1 expect nothing");
  }
}

TEST(Instants, CancelsAndTheEndAreHeardThoughAnswersAreNotTaken) {
  // 4 MB of answers and more wait in the program; once it has taken a little, its turn to write comes again
  // and again. Guards against not reading from such a client: its cancels would wait with its answers.
  const std::vector<std::string> boxes{"box-1", "box-2", "box-3", "box-4"};
  StartedProgram program({"box-1", "box-2", "box-3", "box-4", "up-1", "up-2", "up-3", "main"});
  run_scenario(program, "anna-small set not_reading\n");
  std::map<int, std::string> asked;
  const auto collect = [&] {
    for (const std::string& box : boxes) {
      for (const std::string& id : requested_ids(program.take_received(box)))
        asked[std::stoi(id, nullptr, 16)] = box;
    }
  };
  const std::string body(240'000, 'y');
  const auto ask = [&](int from, int to) {
    for (int i = from; i <= to; ++i)
      run_scenario(program, "anna-small send " + std::to_string(i) + " video limit=5000");
    for (int i = 0; i < 400 && asked.size() < static_cast<std::size_t>(to); ++i) {
      program.wait(5ms);
      collect();
    }
    ASSERT_EQ(asked.size(), static_cast<std::size_t>(to));
  };
  // The system takes the first 3.4 MB, and some of what follows.
  ask(1, 14);
  for (int i = 1; i <= 14; ++i) answer(program, asked.at(i), i, body);
  program.wait(100ms);
  ask(15, 46);
  for (int i = 15; i <= 45; ++i) answer(program, asked.at(i), i, body);
  program.wait(200ms);
  for (const std::string& box : boxes) program.take_received(box);
  program.read_bytes("anna-small", 2'000'000);
  run_scenario(program, "anna-small send giveUp 46\n" + asked.at(46) + " expect cancel 46");
  // It was the client's word: where the module gives a request up, it counts as refused.
  run_scenario(program,
               "ops send GET /v1/metrics\nops expect 200 svc.calls.video.busy:0|c\nanna-small close half");
  run_scenario(program, "edge expect log closed kind=front conn=1");
  EXPECT_NE(program.log().find("closed kind=front conn=1 reason=peer_closed"), std::string::npos);
}

TEST(Instants, AClientThatEndsItsHalfHasGone) {
  StartedProgram program;
  run_scenario(program, R"(
    anna send 1 pages
    box-1 expect serve 1
    anna close half
    box-1 expect cancel 1
    anna expect closed
    edge expect log closed kind=front conn=1 reason=peer_closed requests=1
  )");
}

// ---- Closing over bytes that were not read ----

TEST(Instants, AnAnswerThatWaitsToBeReadOutlivesBytesThatCrossTheClose) {
  // The client takes little at once; most of the answer waits in the system when the program ends the
  // connection, and half a request arrives after that. A plain close would reset the connection, and the
  // answer with it.
  StartedProgram program;
  const std::string body(200'000, 'y');
  run_scenario(program, "anna-small send 1 video\nbox-1 expect serve 1\nanna-small set not_reading");
  answer(program, "box-1", 1, body);
  run_scenario(
      program,
      "edge expect log load\nedge send TERM\nedge expect log stopping\nwait 850\nanna-small send raw 00 00");
  run_scenario(
      program,
      "wait 50\nanna-small send raw 00\nwait 50\nanna-small set normal\nanna-small expect served 1 body=" +
          body);
  run_scenario(program, "anna-small expect closed\nedge expect stopped");
  EXPECT_EQ(program.exit_code(), 0);
}

TEST(Instants, AnAnswerThatIsUnreadWhenItsCacheIsListedAsGoneIsServed) {
  // The list and the answer have both come by the time the program looks; it reads the list first.
  StartedProgram program;
  run_scenario(program, R"(
    bulletin expect get last=1
    bulletin send head
    anna send 1 order unique=k
    box-1 expect serve 1
  )");
  program.send_signal(SIGSTOP);
  run_scenario(program, "box-1 send HIT 1 ver=a b");
  run_scenario(program, R"(bulletin send {"no":2,"roster":{"revision":2,"complete":false,"members":[)" +
                            member_json("box-1", "127.0.0.1:1", "left") + "]}}");
  program.wait(50ms);
  program.send_signal(SIGCONT);
  run_scenario(program, "anna expect served 1 body=b\nedge expect log closed kind=member");
}

// ---- Descriptors ----

TEST(Instants, ACallerThatTheSystemHasNoDescriptorForIsServedWithoutASpin) {
  if (std::getenv("EDGE_PROXY_DEPLOYED") == nullptr) GTEST_SKIP() << "run tests/run.sh, which builds it";
  StartedProgram program({"box-1", "up-1", "main"}, nullptr, 24);
  for (int i = 0; i < 40; ++i) {
    const std::string client = "idle-" + std::to_string(i);
    run_scenario(program, client + " send raw 00");
  }
  run_scenario(program, "wait 300");
  const auto before = program.cpu_time();
  run_scenario(program, "wait 1000\nanna send 1 pages limit=9000\n");
  EXPECT_LT(program.cpu_time() - before, 500ms) << "it spins";
  run_scenario(program, "box-1 expect serve 1\nbox-1 send HIT 1 ver=a b\nanna expect served 1");
  std::size_t lines = 0;
  for (std::size_t at = 0; (at = program.log().find("accept failed", at)) != std::string::npos; ++at) ++lines;
  EXPECT_LE(lines, 10U) << program.log();
}

TEST(Instants, AFullTableThatNobodyCanLeaveCostsNeitherTimeNorLog) {
  if (std::getenv("EDGE_PROXY_DEPLOYED") == nullptr) GTEST_SKIP() << "run tests/run.sh, which builds it";
  StartedProgram program({"box-1", "up-1", "main"}, nullptr, 24);
  // A connection to the cache is up, so that all who come are owed an answer: it takes 32 requests.
  run_scenario(program,
               "anna send 31 pages\nbox-1 expect serve 31\nbox-1 send HIT 31 ver=a b\nanna expect served 31");
  // They have all come, and asked, before the first is accepted. Those that have come up are not to be taken
  // for idle because nobody has read yet what they ask.
  program.send_signal(SIGSTOP);
  for (int i = 1; i <= 30; ++i) {
    const std::string n = std::to_string(i);
    run_scenario(program, "busy-" + n + " send " + n + " video limit=5000");
  }
  program.send_signal(SIGCONT);
  run_scenario(program, "edge expect log accept failed\nwait 300");
  EXPECT_EQ(program.log().find("reason=too_many requests=0"), std::string::npos) << program.log();
  const auto before = program.cpu_time();
  run_scenario(program, "wait 1000");
  EXPECT_LT(program.cpu_time() - before, 300ms) << "it spins";
  std::size_t lines = 0;
  for (std::size_t at = 0; (at = program.log().find("accept failed", at)) != std::string::npos; ++at) ++lines;
  EXPECT_GE(lines, 1U) << program.log();
  EXPECT_LE(lines, 40U);
}

TEST(Instants, NobodyMakesRoomBeforeAnotherWaits) {
  // The table fills up one by one. Guards the one that took the last descriptor, and the idlest, against
  // being ended when the listener is looked at once more and nobody waits there.
  if (std::getenv("EDGE_PROXY_DEPLOYED") == nullptr) GTEST_SKIP() << "run tests/run.sh, which builds it";
  constexpr std::size_t kTable = 24;
  StartedProgram program({"box-1", "up-1", "main"}, nullptr, kTable);
  run_scenario(program, "bulletin expect get last=1\nbulletin send head\nbulletin send comment");
  const auto somebody_left = [&] { return program.log().find("reason=too_many") != std::string::npos; };
  int came = 0;
  while (program.open_descriptor_count() < kTable && came < 40 && !somebody_left()) {
    const std::string client = "idle-" + std::to_string(++came);
    run_scenario(program, client + " send probe 1\n" + client + " expect ready 1\nbulletin send comment");
  }
  program.wait(50ms);
  EXPECT_FALSE(somebody_left()) << program.log();
  EXPECT_EQ(program.open_descriptor_count(), kTable);
  run_scenario(program, "last send probe 1\nlast expect ready 1\nidle-1 expect closed");
  EXPECT_TRUE(somebody_left()) << program.log();
}

// ---- SIGTERM at each step of a request ----

/// What has happened when SIGTERM comes, and what follows.
struct Step {
  const char *name, *before, *after;
  friend std::ostream& operator<<(std::ostream& out, const Step& step) { return out << step.name; }
};

class Term : public ::testing::TestWithParam<Step> {};

TEST_P(Term, AllThatWasTakenIsAnsweredAndTheExitIsZero) {
  StartedProgram program;
  run_scenario(program, "carl send probe 9\ncarl expect ready 9");
  const std::string before = GetParam().before;
  if (before == "stopped") {
    program.send_signal(SIGSTOP);
    run_scenario(program, "anna send 1 pages");
    program.terminate();
    program.send_signal(SIGCONT);
  } else {
    run_scenario(program, before);
    program.terminate();
  }
  program.terminate();  // twice does not hurt
  program.send_signal(SIGHUP);
  run_scenario(program, "edge expect log stopping");
  program.terminate();
  run_scenario(program, GetParam().after);
  run_scenario(program, "edge expect stopped");
  EXPECT_EQ(program.exit_code(), 0);
}

INSTANTIATE_TEST_SUITE_P(
    Steps, Term,
    ::testing::Values(
        Step{"Unread", "stopped", "box-1 expect serve 1\nbox-1 send HIT 1 ver=a b\nanna expect served 1"},
        Step{"Unreachable", "box-1 close refusing\nanna send 1 pages", "anna expect refused 1"},
        Step{"Written", "anna send 1 pages\nbox-1 expect serve 1",
             "box-1 send HIT 1 ver=a b\nanna expect served 1 body=b"},
        Step{"TheCacheHangs", "anna send 1 pages\nbox-1 expect serve 1", "anna expect refused 1"},
        Step{"HalfAnswered",
             "anna send 1 pages\nbox-1 expect serve 1\nbox-1 send raw 0000000000000001 HIT ver=a 4\\n",
             "box-1 close reset\nanna expect refused 1"},
        Step{"AnOrderHangs", "anna send 1 order unique=k\nbox-1 expect serve 1", "anna expect refused 1"},
        Step{"TheClientComesAgain",
             "anna send 1 pages\nbox-1 expect serve 1\nbox-1 send HIT 1 ver=a b\nanna expect served 1",
             "anna send 2 pages\nbox-1 expect serve 2\nbox-1 send HIT 2 ver=a b\nanna expect served 2"},
        Step{"TheClientNeverReads",
             "anna set not_reading\nanna send 1 pages\nbox-1 expect serve 1\nbox-1 send HIT 1 ver=a b",
             "wait 1"}),
    [](const auto& step) { return std::string(step.param.name); });

// ---- Floods and slow connections ----

TEST(Instants, FloodsAndSlowClientsHoldNobodyUpAndLeaveNothingBehind) {
  StartedProgram program;
  run_scenario(program,
               "anna send 1 pages\nbox-1 expect serve 1\nbox-1 send HIT 1 ver=a b\nanna expect served 1");
  const std::string much(400'000, 'x');
  auto worst = 0ms;
  for (int round = 0; round < 12; ++round) {
    for (int i = 0; i < 8; ++i) {
      const std::string n = std::to_string(round * 8 + i);
      run_scenario(program, "slow-" + n + " send raw 00\nslow-" + std::to_string(i) + " send raw 00");
      // The first four bytes announce a frame of 48,000: it is never whole, or what follows can't be read.
      program.send("flood-" + n, std::string("\0\0\xbb\x80", 4) + much);
      run_scenario(program, "flood-" + n + " close");
    }
    const std::string number = std::to_string(round + 2);
    const auto begun = std::chrono::steady_clock::now();
    run_scenario(program, "anna send " + number + " pages\nbox-1 expect serve " + number +
                              "\nbox-1 send HIT " + number + " ver=a b\nanna expect served " + number);
    worst = std::max(worst, std::chrono::duration_cast<std::chrono::milliseconds>(
                                std::chrono::steady_clock::now() - begun));
  }
  EXPECT_LT(worst, 1500ms);
  RecordProperty("worst_ms", static_cast<int>(worst.count()));
  run_scenario(program, "edge send TERM\nedge expect stopped");
  EXPECT_EQ(program.exit_code(), 0);
}

}  // namespace
}  // namespace edge_proxy::test
