// SPDX-License-Identifier: MIT
// Tests the edge proxy process over loopback with scenarios (scenario.h).
#include <gtest/gtest.h>

#include <csignal>

#include "support/started_program.h"

namespace edge_proxy::test {
namespace {

TEST(EdgeProxyProcess, ServesOverSocketsAndLogsWhyConnectionsEnd) {
  StartedProgram program;
  run_scenario(program, R"(
    anna send probe 1
    anna expect ready 1
    anna send 2 pages
    box-1 expect serve 2 profile=pages from=up-1
    box-1 send HIT 2 ver=t1,born=5 all the bytes
    anna expect served 2 !unchanged body=all the bytes
    anna send 3 video
    box-1 expect serve 3
    anna send giveUp 3
    box-1 expect cancel 3
    anna close
    edge expect log kind=front conn=1 reason=peer_closed requests=2
    bert send raw 7f ff ff ff
    bert expect closed
    edge expect log reason=bad_frame
  )");
}

TEST(EdgeProxyProcess, ServesAfterCacheFailuresAndAnInvalidation) {
  StartedProgram program;
  run_scenario(program, R"(
    bulletin expect get last=1
    bulletin send head
    anna send 1 pages
    box-1 expect serve 1
    box-1 close reset
    anna expect refused 1
    edge expect log kind=member conn=4 reason=peer_reset
    box-1 close refusing
    anna send 2 order unique=k
    anna expect refused 2
    edge expect log reason=connect_refused
    box-1 set normal
    bulletin send {"no":2,"recall":{"lot":17,"issued":1}}
    anna send 3 pages
    box-1 expect serve 3
    box-1 send HIT 3 ver=a b
    anna expect served 3
  )");
}

// Guards against a parent that the list reports as gone and that the router still chooses as a source, since
// its entry in the endpoint table was lost when it returned in another one.
TEST(EdgeProxyProcess, AParentThatLeavesForTheSecondTimeIsNoSourceAnyMore) {
  StartedProgram program({"box-1", "up-1", "up-2", "main"});
  const auto list = [&program](int number, const std::string& id, const std::string& phase) {
    const std::string address = "127.0.0.1:" + std::to_string(program.port(id));
    run_scenario(program, R"(bulletin send {"no":)" + std::to_string(number) +
                              R"(,"roster":{"revision":2,"complete":false,"members":[)" +
                              member_json(id, address, phase) +
                              "]}}\nedge expect log list no=" + std::to_string(number));
  };
  run_scenario(program, "bulletin expect get last=1\nbulletin send head");
  list(2, "up-1", "left");
  list(3, "up-2", "left");
  list(4, "up-1", "active");
  list(5, "up-2", "active");
  list(6, "up-1", "left");
  for (int request = 1; request <= 20; ++request) {
    const std::string number = std::to_string(request);
    run_scenario(program, "anna send " + number + " pages\nbox-1 expect serve " + number +
                              " from=up-2\nbox-1 send HIT " + number + " ver=a b\nanna expect served " +
                              number);
  }
}

TEST(EdgeProxyProcess, LargeAnswerIsDeliveredWhole) {
  StartedProgram program;
  run_scenario(program, "anna send 1 video\nbox-1 expect serve 1");
  const std::string body(240'000, 'y');
  program.send("box-1", "0000000000000001 HIT ver=a 240000\r\n" + body + "\r\n");
  run_scenario(program, "anna expect served 1 body=" + body);
}

TEST(EdgeProxyProcess, ShutsDownAfterAClientResetsDuringAWrite) {
  // Guards against a socket that is kept open after a failed write: the process would never exit.
  StartedProgram program;
  const std::string body(240'000, 'y');
  for (char id = '1'; id <= '9'; ++id)
    run_scenario(program, std::string("anna send ") + id + " video\nbox-1 expect serve " + id);
  for (char id = '1'; id <= '9'; ++id)
    program.send("box-1", std::string("000000000000000") + id + " HIT ver=a 240000\r\n" + body + "\r\n");
  run_scenario(program, "anna close reset\nedge expect log kind=front\nedge send TERM\nedge expect stopped");
  EXPECT_EQ(program.exit_code(), 0);
}

TEST(EdgeProxyProcess, SigtermFinishesAcceptedRequestsAndExitsWithZero) {
  StartedProgram program;
  run_scenario(program, R"(
    anna send 1 pages
    box-1 expect serve 1
    edge send TERM
    edge expect log stopping open=1
    wait 300
    bert send 2 pages
    box-1 expect serve 2
    box-1 send HIT 2 ver=a b
    bert expect served 2
    box-1 send HIT 1 ver=a b
    anna expect served 1
    edge expect stopped
  )");
  EXPECT_EQ(program.exit_code(), 0);
}

TEST(EdgeProxyProcess, StalledLogReaderDoesNotBlockRequests) {
  // Guards against requests that block because nothing reads standard output.
  StartedProgram program;
  program.stall_log();
  for (int i = 0; i < 100; ++i) {
    const std::string client = "bad-" + std::to_string(i);
    run_scenario(program, client + " send raw ff ff ff ff\n" + client + " expect closed");
  }
  run_scenario(
      program,
      "anna send 1 pages\nbox-1 expect serve 1\nbox-1 send HIT 1 ver=a b\nanna expect served 1 body=b\n");
}

TEST(EdgeProxyProcess, AppliesInvalidationsBeforeRequestsThatArrivedWhileStopped) {
  StartedProgram program;
  run_scenario(program, R"(
    bulletin expect get last=1
    bulletin send head
    anna send 1 video
    box-1 expect serve 1 !oldest
    box-1 send HIT 1 ver=a b
    anna expect served 1
  )");
  program.send_signal(SIGSTOP);
  run_scenario(program, R"(
    wait 50
    anna send 2 video
    wait 50
    bulletin send {"no":2,"recall":{"lot":17,"issued":1}}
    wait 50
  )");
  const auto now_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                          std::chrono::system_clock::now().time_since_epoch())
                          .count();
  program.send("bulletin",
               R"(data: {"no":3,"recall":{"lot":17,"issued":)" + std::to_string(now_ms) + "}}\n\n");
  program.wait(std::chrono::milliseconds(50));
  program.send_signal(SIGCONT);
  run_scenario(program, "box-1 expect serve 2 oldest=*\nbox-1 send HIT 2 ver=a b\nanna expect served 2\n");
}

TEST(EdgeProxyProcess, SighupReloadsTheConfigurationAndKeepsRequestsAndConnections) {
  // Guards against SIGHUP terminating the process, which loses all accepted requests.
  StartedProgram program;
  run_scenario(program, R"(
    bulletin expect get last=1
    anna send 1 pages
    box-1 expect serve 1
    edge send HUP nowhere
    edge expect log reload failed, nothing changed: field 'bulletin'
    edge send HUP bulletin-2
    bulletin-2 expect get last=1
    bulletin expect closed
    edge send HUP bulletin-2
    box-1 send HIT 1 ver=a b
    anna expect served 1
    edge send TERM
    edge expect log stopping
    edge send HUP bulletin-3
    bulletin-3 expect get last=1
    edge expect stopped
  )");
  EXPECT_EQ(program.exit_code(), 0);
}

/// Waits until the old process of an upgrade has logged the line; returns whether it has.
bool old_process_logs(StartedProgram& program, const char* line) {
  const auto deadline = std::chrono::steady_clock::now() + program.expectation_timeout();
  while (program.old_process_log().find(line) == std::string::npos &&
         std::chrono::steady_clock::now() < deadline)
    program.wait(std::chrono::milliseconds(5));
  return program.old_process_log().find(line) != std::string::npos;
}

TEST(EdgeProxyProcess, UpgradeRejectsNoClientAndKeepsAdminOverrides) {
  StartedProgram program({"box-1", "box-2", "up-1", "main"});
  // Client anna connects before the second process listens, so the old process gets its request.
  run_scenario(program, R"(
    ops send POST /v1/pop-caches/box-2/suspend
    ops expect 200
    anna send probe 0
    anna expect ready 0
  )");
  program.upgrade();
  run_scenario(program, R"(
    ops-2 send GET /v1/readyz
    ops-2 expect 200
    ops-3 send GET /v1/metrics
    ops-3 expect 200 svc.hosts_down:1|g
  )");
  // The deadline of request 1 (9 s) exceeds the rest of the test on a busy machine. If it expired first,
  // box-1 would receive the cancel of request 1 instead of a request of a new client.
  run_scenario(program, "anna send 1 pages limit=9000\nbox-1 expect serve 1\n");
  program.terminate_old_process();
  ASSERT_TRUE(old_process_logs(program, "stopping open=1")) << program.old_process_log();
  // If new connections were distributed over both processes, some would be reset when the old process closes
  // its listening socket after 1 s.
  const auto listener_closed_at = std::chrono::steady_clock::now() + std::chrono::milliseconds(1300);
  int request_count = 0;
  while (std::chrono::steady_clock::now() < listener_closed_at) {
    const std::string number = std::to_string(2 + request_count++), client = "new-" + number;
    run_scenario(program, client + " send " + number + " pages\nbox-1 expect serve " + number +
                              "\nbox-1 send HIT " + number + " ver=a b\n" + client + " expect served " +
                              number + "\nwait 50\n");
    ASSERT_FALSE(HasFailure()) << program.old_process_log() << "-- log of the new process:\n"
                               << program.log();
  }
  run_scenario(program, "ops-4 send GET /v1/metrics\nops-4 expect 200 svc.calls.pages.success:" +
                            std::to_string(request_count) + "|c");
  run_scenario(program, "box-1 send HIT 1 ver=a b\nanna expect served 1\nanna expect closed");
  const auto deadline = std::chrono::steady_clock::now() + program.expectation_timeout();
  while (!program.old_process_stopped() && std::chrono::steady_clock::now() < deadline)
    program.wait(std::chrono::milliseconds(10));
  EXPECT_EQ(program.exit_code(), 0);
  run_scenario(program, "edge send TERM\nedge expect stopped");
  EXPECT_EQ(program.exit_code(), 0);
}

// Guards against a request that the old process has sent to a cache and that the new one sends again, when
// its client leaves and comes to the new process with the same id.
TEST(EdgeProxyProcess, AFragileRequestIsNotSentAgainByTheOtherProcessOfAnUpgrade) {
  StartedProgram program({"box-1", "up-1", "main"}, with_fragile_orders);
  run_scenario(program, "anna send 1 order limit=9000\nbox-1 expect serve 1");
  program.upgrade();
  program.terminate_old_process();
  ASSERT_TRUE(old_process_logs(program, "stopping open=1")) << program.old_process_log();
  run_scenario(program, R"(
    anna close
    box-1 expect cancel 1
    bert send 1 order
    bert expect failed 1
    box-1 expect nothing
  )");
}

TEST(EdgeProxyProcess, InvalidConfigurationIsReportedAndExitsWithOne) {
  StartedProgram program({"box-1"}, [](std::string config) {
    const std::string key = R"("max_retry_after":500000)";
    return config.replace(config.find(key), key.size(), R"("max_retry_after":"soon")");
  });
  EXPECT_TRUE(program.has_stopped());
  EXPECT_EQ(program.exit_code(), 1);
  EXPECT_NE(program.log().find("field 'settings.bounds.max_retry_after': should be a whole number"),
            std::string::npos)
      << program.log();
}

TEST(EdgeProxyProcess, AddressInUseIsReportedAndExitsWithOne) {
  StartedProgram program({"box-1"}, [](std::string config) {
    const std::size_t at = config.find("\"host_port\":\"") + 13;
    const std::string address_in_use = config.substr(at, config.find('"', at) - at);
    const std::size_t listen = config.find("\"listen\":\"") + 10;
    return config.replace(listen, config.find('"', listen) - listen, address_in_use);
  });
  EXPECT_TRUE(program.has_stopped());
  EXPECT_EQ(program.exit_code(), 1);
  EXPECT_NE(program.log().find("field 'listen'"), std::string::npos) << program.log();
}

}  // namespace
}  // namespace edge_proxy::test
