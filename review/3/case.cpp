// SPDX-License-Identifier: MIT
// All upper caches of a hub are lost and come back cold; later one of them dies and comes back cold again.
#include <cmath>
#include <random>

#include "support.h"

using namespace review;

namespace {

// A deployment as in the pages: 4 schools with an edge proxy each, 8 cache boxes, 2 upper caches.
constexpr int kSchools = 4;
constexpr int kBoxesPerSchool = 2;
constexpr int kBoxSize = 6;
constexpr int kParentSize = 14;  // 1.1 times the fills of 3.5 schools at full load
constexpr double kRate = 33;     // requests a second at each edge proxy: 0.67 of what its boxes can do
constexpr double kMissShare = 0.3;
constexpr double kVideoShare = 0.57;
constexpr double kVideoWork = 0.38;  // mean sending time in seconds
constexpr double kPagesWork = 0.065;
constexpr double kKbPerS = 9100;  // settings.specifics.stream_kb_per_s
constexpr double kSizeSigma = 0.8;
constexpr int kPopularObjects = 200;

// settings.specifics of parents, and settings.rules.fall.
constexpr double kFloor = 0.07;
constexpr double kWarmsIn = 22;
constexpr double kFallMultiple = 2;
constexpr double kWindow = 2;

struct Fill {
  double at = 0;
  std::string source;
  double work = 0;  // the mean sending time of its class
};

/// What an upper cache was asked within one window, in requests of mean work, and what makes it fall.
struct Load {
  double age = 0;  // of the upper cache at the end of the window
  double asked = 0;
  double allowed = 0;      // N of the pages
  double falls_above = 0;  // with the pages' slack
};

/// The load of the window that ends with the fill at `last`. `started`: when the upper cache started. The
/// capacity is that at the end of the window, which is the highest within it.
Load load_at(const std::vector<Fill>& fills, std::size_t last, double started) {
  const double mean_work = kVideoShare * kVideoWork + (1 - kVideoShare) * kPagesWork;
  const double end = fills[last].at;
  Load load;
  load.age = end - started;
  for (std::size_t i = last + 1; i-- > 0 && fills[i].at > end - kWindow && fills[i].at >= started;) {
    if (fills[i].source == fills[last].source) load.asked += fills[i].work / mean_work;
  }
  const double capacity = kParentSize * (kFloor + (1 - kFloor) * std::min(1.0, load.age / kWarmsIn));
  load.allowed = kFallMultiple * capacity * kWindow / mean_work;
  const double root = std::sqrt(load.allowed);
  load.falls_above = load.allowed + (load.allowed < 30 ? 3 * root + 3 : 2 * root + 2);
  return load;
}

/// The upper caches: what was asked of them, and which of them run. One that is asked for too much while it
/// is cold falls over and stays down.
class World {
 public:
  explicit World(Record& record) : record_(record) {}
  void start(const std::string& parent) {
    const std::lock_guard lock(mutex_);
    running_.insert(parent);
    kept_[parent].clear();  // it comes back empty
    started_[parent] = now();
    record_.line(parent + " starts, cold and empty");
  }
  void stop(const std::string& parent) {
    const std::lock_guard lock(mutex_);
    running_.erase(parent);
    record_.line(parent + " dies");
  }
  /// Returns the answer of a cache box that lacks the object of the attempt.
  std::string fill(const Attempt& attempt, const std::string& source) {
    const std::string& object = attempt.fields.at("thing");
    const auto mode = attempt.fields.find("mode");
    const bool cached_only =
        mode != attempt.fields.end() && mode->second.find("only-if-cached") != std::string::npos;
    const std::lock_guard lock(mutex_);
    if (source == "main") return PopCache::hit(attempt.id, object);
    if (!cached_only && (running_.contains(source) || fallen_.contains(source))) count(attempt, source);
    if (!running_.contains(source)) return attempt.id + " SHED - 0\r\n\r\n";
    if (cached_only && !kept_[source].contains(object)) return attempt.id + " NONE - 0\r\n\r\n";
    kept_[source].insert(object);
    return PopCache::hit(attempt.id, object);
  }
  std::vector<Fill> fills() {
    const std::lock_guard lock(mutex_);
    return fills_;
  }
  bool has_fallen() {
    const std::lock_guard lock(mutex_);
    return !fallen_.empty();
  }

 private:
  [[nodiscard]] double now() const { return static_cast<double>(record_.ms()) / 1000; }
  void count(const Attempt& attempt, const std::string& source) {
    fills_.push_back({now(), source, attempt.fields.at("profile") == "video" ? kVideoWork : kPagesWork});
    const auto started = started_.find(source);
    if (started == started_.end() || now() - started->second > kWarmsIn || fallen_.contains(source)) return;
    const Load load = load_at(fills_, fills_.size() - 1, started->second);
    if (load.asked <= load.falls_above) return;
    fallen_.insert(source);
    running_.erase(source);
    record_.line(source + " FALLS OVER and stays down: asked for " + std::to_string(load.asked) +
                 " requests of mean work within 2 s, N=" + std::to_string(load.allowed) + ", falls above " +
                 std::to_string(load.falls_above));
  }

  Record& record_;
  std::mutex mutex_;
  std::set<std::string> running_{"up-1", "up-2"};
  std::set<std::string> fallen_;
  std::map<std::string, double> started_;
  std::map<std::string, std::set<std::string>> kept_;
  std::vector<Fill> fills_;
};

/// Sends requests at a steady rate and counts the answers by kind.
void run_clients(int school, int port, const std::atomic<bool>& is_over, std::map<std::string, int>& answers,
                 Record& record) {
  const int fd = connect_to(port);
  if (fd < 0) return;
  const std::string name = "client of n" + std::to_string(school) + " seqid ";
  std::thread reading([fd, &answers, &record, &name] {
    Reader reader(fd);
    Answer answer;
    while (read_answer(reader, answer)) {
      ++answers[answer.kind];
      record.line(name + std::to_string(answer.seqid) + " " + answer.kind);
    }
  });
  std::mt19937_64 random(static_cast<std::uint64_t>(school));
  std::uniform_real_distribution<double> share(0, 1);
  std::lognormal_distribution<double> size(-kSizeSigma * kSizeSigma / 2, kSizeSigma);
  std::uint64_t number = static_cast<std::uint64_t>(school) << 32U;
  auto next = Clock::now();
  for (int seqid = 1; !is_over; ++seqid) {
    ++number;
    const bool is_video = share(random) < kVideoShare;
    const std::uint64_t object = share(random) < kMissShare ? number : random() % kPopularObjects;
    Fields fields = request_fields(number, is_video ? "video" : "pages", is_video ? 5000 : 2500, object);
    fields["ram"] = std::to_string((is_video ? kVideoWork : kPagesWork) * kKbPerS * size(random));
    record.line(name + std::to_string(seqid) + " sent " + fields["txn"] + " " + fields["verb"] +
                " item=" + fields["item"]);
    if (!send_all(fd, process_frame(seqid, fields))) break;
    next += std::chrono::microseconds(static_cast<long>(1e6 / kRate));
    std::this_thread::sleep_until(next);
  }
  sleep_for(milliseconds(500));
  shutdown(fd, SHUT_RDWR);
  reading.join();
  close(fd);
}

/// Records the highest load of the upper cache after its start, as a part of what makes it fall.
void record_highest_load(const std::vector<Fill>& fills, const std::string& parent, double started,
                         Record& record) {
  Load highest;
  double part = 0;
  for (std::size_t i = 0; i < fills.size(); ++i) {
    if (fills[i].source != parent || fills[i].at < started || fills[i].at > started + kWarmsIn) continue;
    const Load load = load_at(fills, i, started);
    if (load.asked / load.falls_above <= part) continue;
    part = load.asked / load.falls_above;
    highest = load;
  }
  record.line("highest load of " + parent + " after its start at " + std::to_string(started) +
              " s: " + std::to_string(highest.asked) + " requests of mean work within 2 s, at an age of " +
              std::to_string(highest.age) + " s; N=" + std::to_string(highest.allowed) + ", falls above " +
              std::to_string(highest.falls_above));
}

}  // namespace

int main(int argc, char** argv) {
  const Environment environment = review::environment(argc, argv);
  Record record(environment.record);
  Bulletin bulletin;
  World world(record);
  std::set<std::string> popular;
  for (std::uint64_t object = 0; object < kPopularObjects; ++object)
    popular.insert(request_fields(0, "", 0, object).at("item"));
  const auto answer = [&](const Attempt& attempt) {
    if (popular.contains(attempt.fields.at("thing")))
      return PopCache::hit(attempt.id, attempt.fields.at("thing"));
    const auto source = attempt.fields.find("from");
    if (source == attempt.fields.end()) return attempt.id + " NONE - 0\r\n\r\n";
    return world.fill(attempt, source->second);
  };
  std::vector<std::unique_ptr<PopCache>> caches;
  std::vector<Member> members;
  for (int box = 0; box < kSchools * kBoxesPerSchool; ++box) {
    const std::string name = "box-" + std::to_string(box + 1);
    caches.push_back(std::make_unique<PopCache>(name, record, answer, milliseconds(60)));
    members.push_back({name, caches.back()->port(), "small-box",
                       "edge-" + std::to_string(box / kBoxesPerSchool + 1), kBoxSize});
  }
  for (const std::string name : {"up-1", "up-2", "main"}) {
    caches.push_back(std::make_unique<PopCache>(name, record, answer));
    members.push_back({name, caches.back()->port(), name == "main" ? "origin" : "parent", "", kParentSize});
  }
  const auto tell = [&](const std::string& id, const std::string& phase, long long up_since_ms) {
    for (Member member : members) {
      if (member.id != id) continue;
      member.phase = phase;
      member.up_since_ms = up_since_ms;
      bulletin.add(R"("roster":{"revision":2,"complete":false,"members":[)" + member_list({member}) + "]}");
      record.line("the bulletin tells: " + id + " " + phase);
    }
  };

  std::vector<std::unique_ptr<EdgeProxy>> edges;
  std::vector<ConfigOptions> options(kSchools);
  for (int school = 1; school <= kSchools; ++school) {
    ConfigOptions& own = options[static_cast<std::size_t>(school - 1)];
    own.name = "n" + std::to_string(school);
    own.listen = free_port();
    own.admin = free_port();
    own.bulletin = bulletin.port();
    own.members = members;
    own.school = school;
    own.schools = kSchools;
    const std::string folder = environment.folder + "/" + own.name;
    if (mkdir(folder.c_str(), 0700) != 0) return kNotRun;
    write_file(folder + ".json", config_text(own));
    edges.push_back(std::make_unique<EdgeProxy>(environment.root, folder + ".json", folder, folder + ".log"));
    edges.back()->start();
  }
  for (const ConfigOptions& own : options) {
    if (!wait_ready(own.listen)) return kNotRun;
  }
  record.line("four edge proxies are ready");

  std::atomic<bool> is_over = false;
  std::vector<std::map<std::string, int>> answers(kSchools);
  std::vector<std::thread> clients;
  for (int school = 1; school <= kSchools; ++school) {
    const auto i = static_cast<std::size_t>(school - 1);
    clients.emplace_back(run_clients, school, options[i].listen, std::cref(is_over), std::ref(answers[i]),
                         std::ref(record));
  }
  const auto began = Clock::now();
  const auto at = [&](int ms) { std::this_thread::sleep_until(began + milliseconds(ms)); };
  std::map<std::string, std::vector<double>> starts;
  const auto start = [&](const std::string& parent) {
    starts[parent].push_back(static_cast<double>(record.ms()) / 1000);
    world.start(parent);
    tell(parent, "active", unix_ms());
  };
  if (environment.has_trouble) {
    // All upper caches of the hub are lost for 12 s; they come back cold, one 1.5 s after the other.
    at(3000);
    world.stop("up-1");
    world.stop("up-2");
    at(4000);
    tell("up-1", "left", 0);
    at(4500);
    tell("up-2", "left", 0);
    at(15000);
    start("up-1");
    at(16500);
    start("up-2");
    // Both are warm when one of them dies; it comes back cold after 7 s.
    at(41000);
    world.stop("up-1");
    at(42000);
    tell("up-1", "left", 0);
    at(48000);
    start("up-1");
  }
  at(54000);
  is_over = true;
  for (std::thread& client : clients) client.join();

  const std::vector<Fill> fills = world.fills();
  for (const char* parent : {"up-1", "up-2"}) {
    std::string line;
    for (int second = 0; second < 54; second += 2) {
      const double from = static_cast<double>(second) + (fills.empty() ? 0 : fills.front().at);
      int count = 0;
      for (const Fill& fill : fills)
        count += fill.source == parent && fill.at >= from && fill.at < from + 2 ? 1 : 0;
      line += " " + std::to_string(count);
    }
    record.line(std::string(parent) + " fills in each 2 s:" + line);
  }
  int served = 0;
  for (std::size_t i = 0; i < answers.size(); ++i) {
    std::string line;
    for (const auto& [kind, count] : answers[i]) line += " " + kind + "=" + std::to_string(count);
    served += answers[i]["served"];
    record.line(options[i].name + line);
  }
  for (const auto& [parent, times] : starts) {
    for (const double started : times) record_highest_load(fills, parent, started, record);
  }
  bool are_running = true;
  for (const auto& edge : edges) are_running = are_running && edge->is_running();
  for (const auto& edge : edges) edge->kill_now();
  if (!are_running || served == 0) return kNotRun;
  return world.has_fallen() ? kBroken : kHeld;
}
