// SPDX-License-Identifier: MIT
// While the process is replaced, an operator suspends six of eight pop caches, one call after the other, at
// the admin addresses of the old and of the new process in turn.
#include "../world-2.h"

using namespace review;

int main(int argc, char** argv) {
  if (argc != 3) cannot_run("usage: case ROOT RECORD");
  constexpr int kCaches = 8, kSuspended = 6, kClients = 8;
  constexpr std::int64_t kGrace = 1'000'000 + 50'000;  // drain_grace, and the slack on sockets
  constexpr double kRequestInterval = 0.005;           // 200 requests a second
  Record record(argv[2]);
  Loop loop;
  std::vector<std::string> ids{"up-1", "up-2", "main"};
  for (int i = 1; i <= kCaches; ++i) ids.push_back("box-" + std::to_string(i));
  Members members(loop, record, ids,
                  [](const Served&) { return Members::hit(2000, unix_us() / 1000 - 1000); });
  Bulletin bulletin(loop, record, members.all_json());
  Proxy old_process(record, argv[1]);
  ConfigValues values;
  values.bulletin = bulletin.port();
  values.known = bulletin.known_json();
  old_process.start(values);
  wait_until_ready(loop, record, old_process);

  int served = 0;
  unsigned number = 0;
  std::vector<std::unique_ptr<Client>> clients(kClients);
  const std::function<void()> send = [&] {
    ++number;
    std::unique_ptr<Client>& client = clients[number % kClients];
    if (!client || !client->is_connected()) {
      client = std::make_unique<Client>(
          loop, record, "client-" + std::to_string(number % kClients), old_process.port(), 0,
          [&served](int, Answered answer, std::size_t) { served += answer == Answered::served ? 1 : 0; },
          [](bool) {});
    }
    client->request({{"verb", "pages"},
                     {"txn", hex_id(0x9b1f03aa00000000U + number)},
                     {"limit", "2500"},
                     {"item", hex_id(0x7f3a9c2100000000U + number)},
                     {"piece", "0"},
                     {"lot", "17"},
                     {"ram", "20"}});
    loop.after(kRequestInterval, send);
  };
  send();
  loop.run_for(1);

  Proxy new_process(record, old_process);
  if (has_trouble()) {
    new_process.start(values);
    const std::int64_t end = unix_us() + 6'000'000;
    while (admin_call(record, new_process.admin_port(), "GET", "/v1/readyz") != 200) {
      if (unix_us() > end) cannot_run("the new process is not ready");
      loop.run_for(0.05);
    }
  }
  std::map<std::string, std::int64_t> suspended_at;
  for (int i = 1; i <= kSuspended; ++i) {
    const std::string id = "box-" + std::to_string(i);
    const bool is_old = !has_trouble() || i % 2 == 1;
    const int port = is_old ? old_process.admin_port() : new_process.admin_port();
    const int status = admin_call(record, port, "POST", "/v1/pop-caches/" + id + "/suspend");
    if (status < 200 || status > 299) cannot_run("the operator got no yes");
    suspended_at[id] = unix_us();
  }
  if (has_trouble()) {
    record.line("SIGTERM to the old process");
    old_process.send_signal(SIGTERM);
  }
  loop.run_for(5);
  std::map<std::string, int> late;
  int before = 0;
  for (const Served& request : members.served()) {
    for (const std::string& id : {request.member, request.source}) {
      const auto found = suspended_at.find(id);
      if (found == suspended_at.end()) continue;
      ++(request.at_us > found->second + kGrace ? late[id] : before);
    }
  }
  if (before == 0 || served == 0) cannot_run("the caches got no request before");
  old_process.record_log("suspended");
  if (has_trouble()) new_process.record_log("suspended");
  std::string list;
  for (const auto& [id, count] : late) list += " " + id + "=" + std::to_string(count);
  return verdict(record, !late.empty(),
                 std::to_string(late.size()) + " of " + std::to_string(kSuspended) +
                     " suspended pop caches got requests later than 1.05 s after the yes:" + list);
}
