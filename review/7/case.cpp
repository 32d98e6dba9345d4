// SPDX-License-Identifier: MIT
// The bulletin is down for 8 s, and a group of objects is purged meanwhile. After its return the bulletin
// writes the head of its answer at once and the missed purge a little later.
#include "../world-2.h"

using namespace review;

int main(int argc, char** argv) {
  if (argc != 3) cannot_run("usage: case ROOT RECORD");
  constexpr double kOutage = 8;
  constexpr double kPurgeAt = 0.5;  // after the start of the outage
  constexpr double kEventsAfterHead = 0.2;
  constexpr std::int64_t kTold = 7'000'000;          // after the purge, at the latest
  constexpr std::int64_t kSlack = 300'000 + 50'000;  // purge_slack, and the slack on sockets
  constexpr double kRequestInterval = 0.01;          // 100 requests a second
  constexpr unsigned kObjects = 40;                  // of the purged group
  constexpr std::size_t kOldBytes = 2000, kNewBytes = 2001;
  Record record(argv[2]);
  Loop loop;
  std::vector<std::string> ids{"up-1", "up-2", "main"};
  for (int i = 1; i <= 4; ++i) ids.push_back("box-" + std::to_string(i));
  // From the purge on no pop cache has an older copy: each answer is the new version then.
  std::int64_t purged_at = 0, old_born = unix_us() / 1000 - 1000, new_born = 0;
  Members members(loop, record, ids, [&](const Served&) {
    return purged_at == 0 ? Members::hit(kOldBytes, old_born) : Members::hit(kNewBytes, new_born);
  });
  Bulletin bulletin(loop, record, members.all_json());
  Proxy proxy(record, argv[1]);
  ConfigValues values;
  values.bulletin = bulletin.port();
  values.known = bulletin.known_json();
  proxy.start(values);
  wait_until_ready(loop, record, proxy);

  struct Sent {
    bool is_of_group = false;
    std::int64_t at_us = 0;
  };
  std::map<int, Sent> sent;
  int served = 0, old_before = 0, stale = 0;
  std::int64_t last_stale_us = 0;
  Client client(
      loop, record, "client", proxy.port(), 0,
      [&](int number, Answered answer, std::size_t bytes) {
        if (answer != Answered::served) return;
        ++served;
        const Sent& request = sent[number];
        if (!request.is_of_group || bytes != kOldBytes) return;
        if (purged_at != 0 && request.at_us > purged_at + kTold + kSlack) {
          ++stale;
          last_stale_us = request.at_us;
        } else {
          ++old_before;
        }
      },
      [](bool) {});
  unsigned number = 0;
  bool asks_for_group = true;
  const std::function<void()> send = [&] {
    ++number;
    const std::string item = hex_id((asks_for_group ? 0x7f3a9c2100000000U : 0x1100000000000000U) +
                                    number % (asks_for_group ? kObjects : 400));
    const std::int64_t now = unix_us();
    sent[client.request({{"verb", "video"},
                         {"txn", hex_id(0x9b1f03aa00000000U + number)},
                         {"limit", "5000"},
                         {"item", item},
                         {"piece", "0"},
                         {"lot", asks_for_group ? "17" : "18"},
                         {"ram", "20"}})] = {asks_for_group, now};
    loop.after(kRequestInterval, send);
  };
  send();
  loop.run_for(3);
  asks_for_group = false;  // other objects are asked for during the outage
  loop.run_for(0.1);
  if (has_trouble()) bulletin.go_down();
  loop.run_for(kPurgeAt);
  purged_at = unix_us();
  new_born = purged_at / 1000 + 1;
  bulletin.tell(R"("recall":{"lot":17,"issued":)" + std::to_string(purged_at / 1000) + "}");
  loop.run_for(kOutage - kPurgeAt);
  bulletin.events_after = kEventsAfterHead;
  if (has_trouble()) bulletin.come_back();
  asks_for_group = true;
  loop.run_for(3);
  if (old_before == 0) cannot_run("the group was not served before the purge");
  proxy.record_log("bulletin");
  return verdict(record, stale > 0,
                 std::to_string(stale) +
                     " requests sent later than 7.35 s after the purge were answered with the "
                     "old bytes, the last one " +
                     std::to_string(stale > 0 ? static_cast<double>(last_stale_us - purged_at) / 1e6 : 0) +
                     " s after; " + std::to_string(served) + " served");
}
