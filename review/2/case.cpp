// SPDX-License-Identifier: MIT
// Bad clients send messages that never end, on 300 connections at a time.
#include "support.h"

using namespace review;

namespace {

constexpr int kMemoryMb = 32;   // the pages: 32 to 192 MB
constexpr int kSockets = 1024;  // the pages: 256 to 1,024 descriptors
// The pages: clients hold a third of the descriptors at most, 341 here.
constexpr int kUsualClients = 40;
constexpr int kBadClients = 300;
constexpr milliseconds kPause(333);          // of a usual client: 120 requests a second in all
constexpr milliseconds kServiceTime(50);     // of a pop cache
constexpr std::size_t kPartBytes = 120'000;  // the pages: an object may hold up to 240,000 bytes
constexpr std::size_t kWriteBytes = 20'000;  // the pages: a write carries up to 48,000
constexpr std::uint64_t kObjects = 200;
constexpr std::uint32_t kAnnouncedBytes = 65'536;  // by a bad client; it sends all but the last byte
constexpr milliseconds kBadStart(4000);
constexpr milliseconds kBadStagger(3);
constexpr milliseconds kBadFor(12'000);
constexpr milliseconds kSample(20);

struct Counts {
  std::atomic<int> sent = 0;
  std::atomic<int> answered = 0;
  std::atomic<int> lost = 0;
  std::atomic<int> wrong = 0;
  std::atomic<int> unreachable = 0;
  std::atomic<int> bad_connections = 0;
  std::atomic<int> bad_ended = 0;   ///< by the edge proxy
  std::atomic<int> bad_served = 0;  ///< connections on which anything was sent to the bad client
};

/// Sends one request at a time, each tenth one a write, until the test is over.
void run_usual_client(int number, int port, const std::atomic<bool>& is_over, Counts& counts,
                      Record& record) {
  sleep_for(kPause * number / kUsualClients);
  const int fd = connect_to(port);
  if (fd < 0) {
    ++counts.unreachable;
    return;
  }
  Reader reader(fd);
  for (int seqid = 1; !is_over; ++seqid) {
    const auto next = Clock::now() + kPause;
    const std::uint64_t id = static_cast<std::uint64_t>(number) * 1000 + static_cast<std::uint64_t>(seqid);
    const bool is_write = id % 10 == 0;
    Fields fields = request_fields(id, is_write ? "order" : "pages", 2500, id * 7 % kObjects);
    if (is_write) fields["unique"] = hex16(id) + hex16(id);
    const std::string name = "client " + std::to_string(number) + " request " + fields.at("txn");
    if (!send_all(fd, process_frame(seqid, fields, is_write ? std::string(kWriteBytes, 'w') : ""))) break;
    ++counts.sent;
    record.line(name + " sent");
    Answer answer;
    if (!read_answer(reader, answer) || answer.seqid != seqid) {
      ++counts.lost;
      record.line(name + " lost: its connection ended without an answer");
      break;
    }
    ++counts.answered;
    record.line(name + " " + answer.kind);
    const std::string whole = part_bytes(fields.at("item"), "0", kPartBytes);
    if (answer.kind == "served" && !is_write && answer.body != whole) ++counts.wrong;
    std::this_thread::sleep_until(next);
  }
  close(fd);
}

/// Sends a message without its last byte at full speed and reads until the edge proxy ends the connection;
/// then does the same again.
void run_bad_client(int number, int port, const std::atomic<bool>& is_over, Counts& counts, Record& record) {
  const std::string message = u32(kAnnouncedBytes) + std::string(kAnnouncedBytes - 1, 'x');
  while (!is_over) {
    const int fd = connect_to(port);
    if (fd < 0) return;
    ++counts.bad_connections;
    const auto connected_at = Clock::now();
    send_all(fd, message);
    std::size_t received = 0;
    char bytes[4096];
    for (ssize_t size = 0; (size = recv(fd, bytes, sizeof bytes, 0)) > 0;) {
      received += static_cast<std::size_t>(size);
    }
    ++counts.bad_ended;
    if (received > 0) ++counts.bad_served;
    const auto held = std::chrono::duration_cast<milliseconds>(Clock::now() - connected_at).count();
    record.line("bad client " + std::to_string(number) + " connection ended after " + std::to_string(held) +
                " ms, read " + std::to_string(received) + " bytes");
    close(fd);
  }
}

}  // namespace

int main(int argc, char** argv) {
  const Environment environment = review::environment(argc, argv);
  Record record(environment.record);
  Bulletin bulletin;
  const auto answer = [](const Attempt& attempt) {
    return PopCache::hit(attempt.id,
                         part_bytes(attempt.fields.at("thing"), attempt.fields.at("nth"), kPartBytes));
  };
  std::vector<std::unique_ptr<PopCache>> caches;
  ConfigOptions options;
  options.listen = free_port();
  options.admin = free_port();
  options.bulletin = bulletin.port();
  options.memory_mb = kMemoryMb;
  options.sockets = kSockets;
  for (const char* name : {"box-1", "box-2", "box-3", "up-1", "main"}) {
    caches.push_back(std::make_unique<PopCache>(name, record, answer, kServiceTime));
    const std::string kind = name[0] == 'b' ? "small-box" : name[0] == 'u' ? "parent" : "origin";
    options.members.push_back({name, caches.back()->port(), kind});
  }
  const std::string config = environment.folder + "/config.json";
  write_file(config, config_text(options));
  const std::string state = environment.folder + "/state";
  if (mkdir(state.c_str(), 0700) != 0) return kNotRun;
  EdgeProxy edge(environment.root, config, state, environment.folder + "/log");
  edge.start();
  if (!wait_ready(options.listen)) return kNotRun;
  record.line("ready; limits.memory_mb=" + std::to_string(kMemoryMb) +
              " limits.sockets=" + std::to_string(kSockets));

  Counts counts;
  std::atomic<bool> is_over = false;
  std::vector<std::thread> clients;
  for (int number = 1; number <= kUsualClients; ++number) {
    clients.emplace_back(run_usual_client, number, options.listen, std::cref(is_over), std::ref(counts),
                         std::ref(record));
  }
  std::vector<std::thread> bad_clients;
  std::thread bad_clients_start([&] {
    sleep_for(kBadStart);
    if (!environment.has_trouble) return;
    record.line("bad clients begin");
    for (int number = 1; number <= kBadClients; ++number, sleep_for(kBadStagger)) {
      bad_clients.emplace_back(run_bad_client, number, options.listen, std::cref(is_over), std::ref(counts),
                               std::ref(record));
    }
  });

  // The platform kills the process over its limit. What other processes may share, the pages of the program
  // and of its libraries, is left out.
  long peak_kb = 0;
  long resident_at_peak_kb = 0;
  bool was_killed = false;
  bool is_running = true;
  long long next_line_at = 0;
  for (const auto until = Clock::now() + kBadStart + kBadFor; Clock::now() < until; sleep_for(kSample)) {
    is_running = edge.is_running();
    if (!is_running) break;
    const long anonymous_kb = edge.anonymous_kb();
    const long resident_kb = edge.resident_kb();
    if (anonymous_kb > peak_kb) {
      peak_kb = anonymous_kb;
      resident_at_peak_kb = resident_kb;
    }
    if (record.ms() >= next_line_at) {
      next_line_at = record.ms() + 500;
      record.line("memory without files=" + std::to_string(anonymous_kb) +
                  " kB, resident=" + std::to_string(resident_kb) + " kB");
    }
    if (anonymous_kb <= kMemoryMb * 1024) continue;
    record.line("memory without files=" + std::to_string(anonymous_kb) + " kB, over the limit of " +
                std::to_string(kMemoryMb * 1024) + ": the platform kills the edge proxy");
    edge.kill_now();
    was_killed = true;
    break;
  }
  sleep_for(milliseconds(200));
  is_over = true;
  // Clients that wait for an answer get the rest of its time before the process ends.
  for (std::thread& client : clients) client.join();
  is_running = is_running && !was_killed && edge.is_running();
  edge.kill_now();
  bad_clients_start.join();
  for (std::thread& client : bad_clients) client.join();
  record.line("sent=" + std::to_string(counts.sent) + " answered=" + std::to_string(counts.answered) +
              " lost=" + std::to_string(counts.lost) + " wrong=" + std::to_string(counts.wrong) +
              " bad connections=" + std::to_string(counts.bad_connections) + " ended=" +
              std::to_string(counts.bad_ended) + " answered=" + std::to_string(counts.bad_served));
  record.line("highest memory without files=" + std::to_string(peak_kb) + " kB, resident then=" +
              std::to_string(resident_at_peak_kb) + " kB, of " + std::to_string(kMemoryMb * 1024));
  if (counts.unreachable > 0 || counts.answered == 0) return kNotRun;
  return is_running && counts.lost == 0 && counts.wrong == 0 ? kHeld : kBroken;
}
