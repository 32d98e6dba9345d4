// SPDX-License-Identifier: MIT
// Clients with 32 open requests on a connection read their answers at 1 MB a second.
#include "support.h"

using namespace review;

namespace {

constexpr int kMemoryMb = 64;               // the pages: 32 to 192 MB
constexpr int kClients = 4;                 // 128 requests in a second; the pages: up to 170
constexpr milliseconds kStagger(250);       // between the clients
constexpr int kRequests = 32;               // the pages: one connection carries up to 32 open requests
constexpr std::size_t kBytes = 240'000;     // the pages: an object may hold up to 240,000 bytes
constexpr std::size_t kStepBytes = 25'000;  // the pages: some clients read at most 1 MB a second
constexpr std::size_t kFastStepBytes = 4'000'000;
constexpr milliseconds kStep(25);
constexpr int kReceiveBuffer = 64 * 1024;
constexpr int kLimitMs = 5000;  // of the class video
constexpr milliseconds kBound(60'000);

struct Result {
  int answered = 0;
  int lost = 0;
  bool is_wrong = false;
};

/// Sends all requests at once, then reads at a fixed rate until all is answered or the connection ends.
Result run_client(int number, int port, bool is_slow, Record& record) {
  const std::string name = "client " + std::to_string(number);
  Result result;
  const int fd = connect_to(port, kReceiveBuffer);
  std::string requests;
  for (int seqid = 1; seqid <= kRequests; ++seqid) {
    const auto id = static_cast<std::uint64_t>(number * 100 + seqid);
    requests += process_frame(seqid, request_fields(id, "video", kLimitMs, static_cast<std::uint64_t>(number),
                                                    std::to_string(seqid)));
  }
  if (fd < 0 || !send_all(fd, requests)) {
    record.line(name + " could not connect");
    return result;
  }
  record.line(name + " has sent 32 requests, limit=" + std::to_string(kLimitMs));

  const std::string object = request_fields(0, "video", 0, static_cast<std::uint64_t>(number)).at("item");
  std::string received;
  std::set<int> answered;
  std::size_t total = 0;
  bool is_open = true;
  const auto until = Clock::now() + kBound;
  for (auto next = Clock::now(); is_open && answered.size() < kRequests && next < until;) {
    std::size_t budget = is_slow ? kStepBytes : kFastStepBytes;
    while (budget > 0) {
      char bytes[65536];
      const ssize_t size = recv(fd, bytes, std::min(budget, sizeof bytes), MSG_DONTWAIT);
      if (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) break;
      if (size <= 0) {
        record.line(name + (size == 0 ? ": the edge proxy closed the connection" : ": connection reset"));
        is_open = false;
        break;
      }
      received.append(bytes, static_cast<std::size_t>(size));
      total += static_cast<std::size_t>(size);
      budget -= static_cast<std::size_t>(size);
    }
    while (received.size() >= 4 && received.size() >= 4 + read_u32(received, 0)) {
      const std::size_t length = read_u32(received, 0);
      const Answer answer = parse_answer(received.substr(4, length));
      received.erase(0, 4 + length);
      record.line(name + " request " + std::to_string(answer.seqid) + ": " + answer.kind +
                  " bytes=" + std::to_string(answer.body.size()));
      const std::string whole = part_bytes(object, std::to_string(answer.seqid), kBytes);
      const bool is_first = answered.insert(answer.seqid).second;
      if (!is_first || (answer.kind == "served" && answer.body != whole)) result.is_wrong = true;
    }
    next += kStep;
    std::this_thread::sleep_until(next);
  }
  close(fd);
  for (int seqid = 1; seqid <= kRequests; ++seqid) {
    if (!answered.contains(seqid)) record.line(name + " request " + std::to_string(seqid) + ": lost");
  }
  result.answered = static_cast<int>(answered.size());
  result.lost = kRequests - result.answered;
  record.line(name + " read " + std::to_string(total) +
              " bytes, answered=" + std::to_string(result.answered) + " lost=" + std::to_string(result.lost));
  return result;
}

}  // namespace

int main(int argc, char** argv) {
  const Environment environment = review::environment(argc, argv);
  Record record(environment.record);
  Bulletin bulletin;
  const auto answer = [](const Attempt& attempt) {
    return PopCache::hit(attempt.id,
                         part_bytes(attempt.fields.at("thing"), attempt.fields.at("nth"), kBytes));
  };
  std::vector<std::unique_ptr<PopCache>> caches;
  ConfigOptions options;
  options.listen = free_port();
  options.admin = free_port();
  options.bulletin = bulletin.port();
  options.memory_mb = kMemoryMb;
  for (const char* name : {"box-1", "box-2", "box-3", "up-1", "main"}) {
    caches.push_back(std::make_unique<PopCache>(name, record, answer, milliseconds(50)));
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
  record.line("ready; limits.memory_mb=" + std::to_string(kMemoryMb));

  std::vector<Result> results(kClients);
  std::vector<std::thread> clients;
  for (int number = 0; number < kClients; ++number) {
    clients.emplace_back([&, number] {
      results[static_cast<std::size_t>(number)] =
          run_client(number + 1, options.listen, environment.has_trouble, record);
    });
    sleep_for(kStagger);
  }
  std::atomic<bool> is_over = false;
  long peak_kb = 0;
  std::thread platform([&] {
    for (; !is_over; sleep_for(milliseconds(20))) peak_kb = std::max(peak_kb, edge.resident_kb());
  });
  for (std::thread& client : clients) client.join();
  is_over = true;
  platform.join();

  Result sum;
  for (const Result& result : results) {
    sum.answered += result.answered;
    sum.lost += result.lost;
    sum.is_wrong = sum.is_wrong || result.is_wrong;
  }
  const bool is_running = edge.is_running();
  record.line("answered=" + std::to_string(sum.answered) + " lost=" + std::to_string(sum.lost) +
              " highest resident memory=" + std::to_string(peak_kb) + " kB of " +
              std::to_string(kMemoryMb * 1024));
  std::istringstream log(edge.log());
  for (std::string line; std::getline(log, line);) {
    if (line.find("kind=front") != std::string::npos) record.line("log: " + line);
  }
  edge.kill_now();
  if (sum.answered + sum.lost != kClients * kRequests) return kNotRun;
  return is_running && sum.lost == 0 && !sum.is_wrong ? kHeld : kBroken;
}
