// SPDX-License-Identifier: MIT
// Two clients send requests with a time limit out of range, 32 at once, withdraw them and start again.
#include "../world-2.h"

using namespace review;

namespace {

constexpr int kMemoryMb = 32;
constexpr int kBadClients = 2;
constexpr int kAtOnce = 32;
constexpr int kSeconds = 35;
constexpr int kUsualClients = 6, kUsualAtOnce = 14;
constexpr double kUsualBytesPerS = 1e6;
constexpr int kReceiveBuffer = 64 * 1024;    // of the sockets of the usual clients
constexpr std::uint64_t kUsualObjects = 30;  // of the usual clients, in turn
constexpr std::size_t kUsualBytes = 240'000, kBadBytes = 100;
constexpr std::uint64_t kFirstBadObject = 0x7f00000000000000U;
constexpr std::int64_t kBorn = 1'764'576'000'123;  // Unix ms; a copy of this class is good until it is purged
constexpr const char* kLimit = "20000";            // four times the deadline of the class

/// Memory that no file backs, in kB, as the system counts it for the process.
long anonymous_kb(pid_t process) {
  std::ifstream status("/proc/" + std::to_string(process) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("RssAnon:")) return std::atol(line.c_str() + 8);
  }
  return 0;
}

Fields request(std::uint64_t number, std::uint64_t object, const char* limit) {
  return {{"verb", "video"}, {"txn", hex_id(0x9b00000000000000U + number)},
          {"limit", limit},  {"item", hex_id(object)},
          {"piece", "1"},    {"lot", "17"},
          {"ram", "20"}};
}

/// A usual client: asks for objects, reads the answers at 1 MB a second and asks again.
class SlowClient {
 public:
  SlowClient(Loop& loop, Record& record, int port, int client_number, int& answered)
      : answered_(answered),
        number_(static_cast<std::uint64_t>(client_number) << 24U),
        client_(
            loop, record, "usual-" + std::to_string(client_number), port, kReceiveBuffer,
            [this](int, Answered, std::size_t) { on_answer(); }, [](bool) {}) {
    client_.stream().limit_reading(kUsualBytesPerS);
    send();
  }

 private:
  void send() {
    for (int i = 0; i < kUsualAtOnce; ++i) {
      ++number_;
      client_.request(request(number_, number_ % kUsualObjects, "5000"));
    }
  }
  void on_answer() {
    ++answered_;
    if (client_.open().empty()) send();
  }

  int& answered_;
  std::uint64_t number_;
  Client client_;
};

/// Sends and withdraws requests at full speed; runs in a process of its own and never returns.
[[noreturn]] void be_bad(int client_number, int port) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  Record unrecorded("/dev/null");
  Loop loop;
  std::uint64_t number = static_cast<std::uint64_t>(client_number + 1) << 32U;
  const auto connect = [&] {
    auto client = std::make_unique<Client>(
        loop, unrecorded, "bad", port, 0, [](int, Answered, std::size_t) {}, [](bool) {});
    client->is_recorded = false;
    return client;
  };
  std::unique_ptr<Client> client = connect();
  while (true) {
    if (!client->is_connected()) client = connect();
    std::string withdrawals;
    for (int i = 0; i < kAtOnce; ++i) {
      ++number;
      const int call = client->request(request(number, kFirstBadObject + number, kLimit));
      withdrawals += give_up_message(call, call);
    }
    loop.run_for(0.0005);
    client->stream().send(withdrawals);
    client->forget_open();
    loop.run_for(0.0001);
  }
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) cannot_run("usage: case ROOT RECORD");
  Record record(argv[2]);
  Loop loop;
  std::vector<std::string> ids{"up-1", "up-2", "main"};
  for (int i = 1; i <= 12; ++i) ids.push_back("box-" + std::to_string(i));
  Members members(loop, record, ids, [&record](const Served& request) {
    const bool is_bad = std::strtoull(request.item.c_str(), nullptr, 16) >= kFirstBadObject;
    if (!is_bad) record.line(request.member + " got serve " + request.id);
    return Members::hit(is_bad ? kBadBytes : kUsualBytes, kBorn);
  });
  members.delay = 0;
  members.is_recorded = false;
  Bulletin bulletin(loop, record, members.all_json());
  Proxy proxy(record, argv[1]);
  ConfigValues values;
  values.bulletin = bulletin.port();
  values.known = bulletin.known_json();
  values.memory_mb = kMemoryMb;
  proxy.start(values);
  wait_until_ready(loop, record, proxy);

  std::vector<pid_t> bad_clients;
  for (int i = 0; has_trouble() && i < kBadClients; ++i) {
    const pid_t child = fork();
    if (child < 0) cannot_run("no process");
    if (child == 0) be_bad(i, proxy.port());
    bad_clients.push_back(child);
    record.line("bad client " + std::to_string(i) + " begins: " + std::to_string(kAtOnce) +
                " requests at a time with limit " + kLimit + ", each withdrawn, not recorded one by one");
  }
  // The usual clients read 1 MB a second.
  int answered = 0;
  std::vector<std::unique_ptr<SlowClient>> usual;
  for (int i = 0; i < kUsualClients; ++i) {
    usual.push_back(std::make_unique<SlowClient>(loop, record, proxy.port(), i, answered));
  }
  long peak_kb = 0;
  for (int second = 0; second < kSeconds && proxy.is_running(); ++second) {
    loop.run_for(1);
    const long now_kb = anonymous_kb(proxy.pid());
    peak_kb = std::max(peak_kb, now_kb);
    record.line("anonymous memory " + std::to_string(now_kb) + " kB, attempts so far " +
                std::to_string(members.served().size()) + ", usual answers " + std::to_string(answered));
  }
  const bool has_ended = !proxy.is_running();
  for (const pid_t child : bad_clients) {
    kill(child, SIGKILL);
    waitpid(child, nullptr, 0);
  }
  if (answered == 0) cannot_run("the usual client got no answer");
  proxy.record_log(" memory ");
  return verdict(record, has_ended || peak_kb > kMemoryMb * 1024L,
                 "anonymous memory at most " + std::to_string(peak_kb) + " kB, the limit is " +
                     std::to_string(kMemoryMb * 1024) + " kB" + (has_ended ? "; the edge proxy ended" : ""));
}
