// SPDX-License-Identifier: MIT
// The bulletin is down for 8 s; objects are purged meanwhile; after its return it writes in pieces.
#include "support.h"

using namespace review;

namespace {

constexpr milliseconds kDown(8000);       // the pages: discovery is down for 8 s
constexpr milliseconds kToldAfter(7000);  // the pages: counts as told 7 s later at the latest
constexpr milliseconds kPurgeSlack(300);  // settings.specifics.purge_slack
constexpr milliseconds kSocketSlack(50);  // the pages: each time limit is 50 ms longer
constexpr std::size_t kPiece = 200;
constexpr milliseconds kPieceGap(10);
constexpr int kObjects = 200;
constexpr std::size_t kBytes = 4000;
constexpr int kLimitMs = 5000;
constexpr milliseconds kEvery(8);  // between the requests

}  // namespace

int main(int argc, char** argv) {
  const Environment environment = review::environment(argc, argv);
  Record record(environment.record);
  Bulletin bulletin;
  // The pop caches hold the first version of every object until the purge, and drop it at that moment.
  const long long first_born = unix_ms();
  std::atomic<long long> purged_at = 0;
  const auto answer = [&](const Attempt& attempt) {
    const long long purged = purged_at;
    const std::string version = purged == 0 ? "old" : "new";
    const std::string bytes = part_bytes(attempt.fields.at("thing"), version, kBytes);
    return attempt.id + " HIT ver=" + hex16(std::hash<std::string>()(bytes)) +
           ",born=" + std::to_string(purged == 0 ? first_born : purged) + " " + std::to_string(bytes.size()) +
           "\r\n" + bytes + "\r\n";
  };
  std::vector<std::unique_ptr<PopCache>> caches;
  ConfigOptions options;
  options.listen = free_port();
  options.admin = free_port();
  options.bulletin = bulletin.port();
  std::vector<Member> boxes;
  for (const char* name :
       {"box-1", "box-2", "box-3", "box-4", "box-5", "box-6", "box-7", "box-8", "up-1", "up-2", "main"}) {
    caches.push_back(std::make_unique<PopCache>(name, record, answer, milliseconds(5)));
    const std::string kind = name[0] == 'b' ? "small-box" : name[0] == 'u' ? "parent" : "origin";
    options.members.push_back({name, caches.back()->port(), kind});
    if (name[0] == 'b') boxes.push_back(options.members.back());
  }
  const std::string config = environment.folder + "/config.json";
  write_file(config, config_text(options));
  const std::string state = environment.folder + "/state";
  if (mkdir(state.c_str(), 0700) != 0) return kNotRun;
  EdgeProxy edge(environment.root, config, state, environment.folder + "/log");
  edge.start();
  if (!wait_ready(options.listen)) return kNotRun;
  record.line("ready");

  int fd = connect_to(options.listen);
  if (fd < 0) return kNotRun;
  auto reader = std::make_unique<Reader>(fd);
  int seqid = 0;
  std::uint64_t number = 0;
  int stale = 0;
  int answered = 0;
  int local_before = 0;
  // Sends one request, waits for its answer and checks it.
  const auto request = [&](int object) {
    const Fields fields = request_fields(++number, "video", kLimitMs, static_cast<std::uint64_t>(object));
    const long long sent_at = unix_ms();
    Answer answer;
    if (!send_all(fd, process_frame(++seqid, fields)) || !read_answer(*reader, answer)) return false;
    ++answered;
    if (answer.kind != "served") {
      record.line(fields.at("txn") + " " + answer.kind);
      return true;
    }
    const bool is_old = answer.body == part_bytes(fields.at("item"), "old", kBytes);
    const long long purged = purged_at;
    const long long told_by = purged + (kToldAfter + kPurgeSlack + kSocketSlack).count();
    const bool is_stale = is_old && purged != 0 && sent_at > told_by;
    stale += is_stale ? 1 : 0;
    record.line(fields.at("txn") + " item=" + fields.at("item") + " served " + (is_old ? "old" : "new") +
                (is_stale ? " STALE: sent " + std::to_string(sent_at - purged) + " ms after the purge" : ""));
    return true;
  };

  // Each object is asked for three times; from then on the edge proxy has a copy of its own.
  for (int round = 0; round < 3; ++round) {
    for (int object = 1; object <= kObjects; ++object) {
      if (!request(object)) return kNotRun;
      sleep_for(milliseconds(4));
    }
  }
  const auto attempts = [&] {
    int sum = 0;
    for (const auto& cache : caches) sum += cache->attempts();
    return sum;
  };
  const int before = attempts();
  for (int object = 1; object <= 10; ++object) {
    if (!request(object)) return kNotRun;
  }
  local_before = 10 - (attempts() - before);
  record.line("of 10 requests the edge proxy serves " + std::to_string(local_before) +
              " from its own copies");

  close(fd);
  if (environment.has_trouble) {
    bulletin.go_down();
    bulletin.write_in_pieces(kPiece, kPieceGap);
    record.line("the bulletin is down");
  }
  const auto down_at = Clock::now();
  sleep_for(milliseconds(200));
  bulletin.add(R"("roster":{"revision":2,"complete":false,"members":[)" + member_list(boxes, 6) + "]}");
  sleep_for(milliseconds(300));
  purged_at = unix_ms();
  bulletin.add(R"("recall":{"lot":17,"issued":)" + std::to_string(purged_at) + "}");
  record.line("purge of lot 17");
  std::this_thread::sleep_until(down_at + kDown);
  if (environment.has_trouble) {
    bulletin.come_back();
    record.line("the bulletin is back, in pieces of " + std::to_string(kPiece) + " bytes, one each " +
                std::to_string(kPieceGap.count()) + " ms");
  }
  // A new client asks for the objects; the first one has closed its idle connection.
  fd = connect_to(options.listen);
  if (fd < 0) return kNotRun;
  reader = std::make_unique<Reader>(fd);
  seqid = 0;
  for (int object = 1; record.ms() < 60'000 && Clock::now() < down_at + kDown + milliseconds(2500);
       ++object) {
    if (!request((object - 1) % kObjects + 1)) return kNotRun;
    sleep_for(kEvery);
  }
  close(fd);
  const bool is_running = edge.is_running();
  record.line("answered=" + std::to_string(answered) + " stale=" + std::to_string(stale));
  std::istringstream log(edge.log());
  for (std::string line; std::getline(log, line);) {
    if (line.find("kind=bulletin") != std::string::npos || line.find(" list ") != std::string::npos)
      record.line("log: " + line);
  }
  edge.kill_now();
  if (local_before == 0) return kNotRun;
  return is_running && stale == 0 ? kHeld : kBroken;
}
