// SPDX-License-Identifier: MIT
// A new configuration halves limits.sockets while 300 clients are connected. Then one more client connects.
#include "../world-2.h"

using namespace review;

int main(int argc, char** argv) {
  if (argc != 3) cannot_run("usage: case ROOT RECORD");
  constexpr int kSockets = 1024, kNewSockets = 512;
  constexpr int kClients = 300;    // under a third of kSockets
  constexpr double kInterval = 1;  // between two requests of a client, which closes after 4 s of rest
  Record record(argv[2]);
  Loop loop;
  Members members(loop, record, {"up-1", "main", "box-1", "box-2", "box-3", "box-4"},
                  [](const Served&) { return Members::hit(2000, unix_us() / 1000 - 1000); });
  members.is_recorded = false;
  Bulletin bulletin(loop, record, members.all_json());
  Bulletin next_bulletin(loop, record, members.all_json());
  Proxy proxy(record, argv[1]);
  ConfigValues values;
  values.bulletin = bulletin.port();
  values.known = bulletin.known_json();
  values.sockets = kSockets;
  proxy.start(values);
  wait_until_ready(loop, record, proxy);

  int served = 0, ended = 0;
  std::size_t lost = 0;
  unsigned number = 0;
  std::vector<std::unique_ptr<Client>> clients;
  const auto send = [&](Client& client) {
    ++number;
    client.request({{"verb", "pages"},
                    {"txn", hex_id(0x9b1f03aa00000000U + number)},
                    {"limit", "2500"},
                    {"item", hex_id(0x7f3a9c2100000000U + number)},
                    {"piece", "0"},
                    {"lot", "17"},
                    {"ram", "20"}});
  };
  const auto connect = [&] {
    const std::size_t index = clients.size();
    clients.push_back(std::make_unique<Client>(
        loop, record, "client-" + std::to_string(index), proxy.port(), 0,
        [&served](int, Answered answer, std::size_t) { served += answer == Answered::served ? 1 : 0; },
        [&, index](bool) {
          ++ended;
          lost += clients[index]->open().size();
        }));
    clients.back()->is_recorded = false;
    send(*clients.back());
  };
  const std::function<void(std::size_t)> repeat = [&](std::size_t index) {
    if (clients[index]->is_connected()) send(*clients[index]);
    loop.after(kInterval, [&repeat, index] { repeat(index); });
  };
  for (int i = 0; i < kClients; ++i) {
    connect();
    loop.after(kInterval, [&repeat, i] { repeat(static_cast<std::size_t>(i)); });
    loop.run_for(0.003);
  }
  loop.run_for(1);
  record.line("connected clients " + std::to_string(kClients) + ", served " + std::to_string(served));
  if (served < kClients) cannot_run("not all clients were served");

  values.bulletin = next_bulletin.port();
  if (has_trouble()) values.sockets = kNewSockets;
  proxy.reload(values);
  loop.run_for(0.5);
  record.line("one more client connects");
  connect();
  loop.run_until([&] { return !proxy.is_running(); }, 3);
  const bool has_ended = !proxy.is_running();
  proxy.record_log("reload");
  if (has_ended) record.line("last lines of the log: " + proxy.log().substr(proxy.log().size() - 400));
  return verdict(
      record, has_ended,
      std::string("the edge proxy ") + (has_ended ? "has ended with " + proxy.end() : "is running") + "; " +
          std::to_string(ended) + " connections ended with " + std::to_string(lost) + " open requests");
}
