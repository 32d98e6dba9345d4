// SPDX-License-Identifier: MIT
// Requests of clients that have left, on real connections: nothing is sent on for them, however much of what
// they sent is still unread.
#include <gtest/gtest.h>

#include <csignal>
#include <string>

#include "support/blocking_client.h"
#include "support/started_program.h"

namespace edge_proxy::test {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kBodyBytes = 40'000;

// Guards against requests that are sent on although their client has closed its connection behind them.
TEST(DepartedClients, RequestsBehindMuchUnreadInputAreNotSentOn) {
  for (const int requests : {2, 8, 24}) {
    StartedProgram program;
    run_scenario(program,
                 "anna send 1 pages\nbox-1 expect serve 1\nbox-1 send HIT 1 ver=a b\nanna expect served 1");
    program.send_signal(SIGSTOP);
    {
      BlockingClient client(program.port("edge"));
      for (int number = 2; number < 2 + requests; ++number) {
        auto fields = request_fields(number, "order");
        fields["unique"] = "key-" + std::to_string(number);
        ASSERT_TRUE(client.send(request_message(number, fields, std::string(kBodyBytes, 'w'))));
      }
    }
    program.wait(50ms);
    program.send_signal(SIGCONT);
    run_scenario(program, "wait 300\nbox-1 expect nothing");
  }
}

}  // namespace
}  // namespace edge_proxy::test
