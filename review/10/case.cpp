// SPDX-License-Identifier: MIT
// The bulletin is down for 8 s. A pop cache begins to drain just after the start of the outage.
#include "../world-2.h"

using namespace review;

int main(int argc, char** argv) {
  if (argc != 3) cannot_run("usage: case ROOT RECORD");
  constexpr double kOutage = 8;
  constexpr double kDrainAt = 0.02;                    // after the start of the outage
  constexpr std::int64_t kTold = 7'000'000;            // after the event, at the latest
  constexpr std::int64_t kGrace = 1'000'000 + 50'000;  // drain_grace, and the slack on sockets
  constexpr double kRequestInterval = 0.01;            // 100 requests a second
  Record record(argv[2]);
  Loop loop;
  std::vector<std::string> ids{"up-1", "up-2", "main"};
  for (int i = 1; i <= 4; ++i) ids.push_back("box-" + std::to_string(i));
  Members members(loop, record, ids,
                  [](const Served&) { return Members::hit(2000, unix_us() / 1000 - 1000); });
  Bulletin bulletin(loop, record, members.all_json());
  Proxy proxy(record, argv[1]);
  ConfigValues values;
  values.bulletin = bulletin.port();
  values.known = bulletin.known_json();
  proxy.start(values);
  wait_until_ready(loop, record, proxy);

  int served = 0;
  Client client(
      loop, record, "client", proxy.port(), 0,
      [&served](int, Answered answer, std::size_t) { served += answer == Answered::served ? 1 : 0; },
      [](bool) {});
  unsigned number = 0;
  const std::function<void()> send = [&] {
    ++number;
    client.request({{"verb", "pages"},
                    {"txn", hex_id(0x9b1f03aa00000000U + number)},
                    {"limit", "2500"},
                    {"item", hex_id(0x7f3a9c2100000000U + number)},
                    {"piece", "0"},
                    {"lot", "17"},
                    {"ram", "20"}});
    loop.after(kRequestInterval, send);
  };
  send();
  loop.run_for(3);
  if (has_trouble()) bulletin.go_down();
  loop.run_for(kDrainAt);
  const std::int64_t event_at = unix_us();
  bulletin.tell(R"("roster":{"revision":2,"complete":false,"members":[)" + members.json("box-1", "leaving") +
                "]}");
  loop.run_for(kOutage - kDrainAt);
  if (has_trouble()) bulletin.come_back();
  loop.run_for(3);
  int before = 0, late = 0;
  double last = 0;
  for (const Served& request : members.served()) {
    if (request.member != "box-1") continue;
    last = static_cast<double>(request.at_us - event_at) / 1e6;
    ++(request.at_us > event_at + kTold + kGrace ? late : before);
  }
  if (before == 0 || served == 0) cannot_run("box-1 got no request before its drain");
  proxy.record_log("list no=");
  return verdict(record, late > 0,
                 std::to_string(late) +
                     " requests reached box-1 later than 8.05 s after its drain was in the "
                     "bulletin; the last one " +
                     std::to_string(last) + " s after");
}
