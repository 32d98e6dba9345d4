// SPDX-License-Identifier: MIT
/// @file
/// Stand-ins for the cases of this review: pop caches, the bulletin, clients and the platform. They use
/// loopback addresses, ordinary sockets and the real clock only.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iomanip>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

inline void sleep_for(milliseconds duration) { std::this_thread::sleep_for(duration); }

inline long long unix_ms() {
  return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// Writes `record.txt`: one line an event, with the milliseconds since the start of the test.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path, std::ios::trunc), started_at_(Clock::now()) {}
  void line(const std::string& text) {
    const std::lock_guard lock(mutex_);
    file_ << std::setw(7) << ms() << " " << text << std::endl;
  }
  [[nodiscard]] long long ms() const {
    return std::chrono::duration_cast<milliseconds>(Clock::now() - started_at_).count();
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
  Clock::time_point started_at_;
};

// ---- Sockets ----

inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

inline std::string address_of(int port) { return "127.0.0.1:" + std::to_string(port); }

/// Returns a listening socket; port 0 means a free one.
inline int listen_on(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = loopback(port);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 || listen(fd, 512) != 0) {
    std::perror("listen");
    std::exit(kNotRun);
  }
  return fd;
}
inline int port_of(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

/// Returns a port that is free now, for a program that binds it itself.
inline int free_port() {
  const int fd = listen_on(0);
  const int port = port_of(fd);
  close(fd);
  return port;
}

inline int connect_to(int port, int receive_buffer = 0) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receive_buffer > 0) setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
  const sockaddr_in address = loopback(port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    close(fd);
    return -1;
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

inline bool send_all(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t size = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) return false;
    sent += static_cast<std::size_t>(size);
  }
  return true;
}

/// Reads from a blocking socket by lines and by length.
class Reader {
 public:
  explicit Reader(int fd) : fd_(fd) {}
  /// Reads up to and without `end`; false at the end of the stream.
  bool until(const std::string& end, std::string& text) {
    std::size_t at = 0;
    while ((at = buffer_.find(end)) == std::string::npos) {
      if (!fill()) return false;
    }
    text = buffer_.substr(0, at);
    buffer_.erase(0, at + end.size());
    return true;
  }
  bool take(std::size_t size, std::string& bytes) {
    while (buffer_.size() < size) {
      if (!fill()) return false;
    }
    bytes = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return true;
  }

 private:
  bool fill() {
    char bytes[65536];
    const ssize_t size = recv(fd_, bytes, sizeof bytes, 0);
    if (size <= 0) return false;
    buffer_.append(bytes, static_cast<std::size_t>(size));
    return true;
  }

  int fd_;
  std::string buffer_;
};

// ---- The clients' protocol ----

inline std::string u32(std::uint32_t value) {
  std::string bytes;
  for (int shift = 24; shift >= 0; shift -= 8) bytes.push_back(static_cast<char>(value >> shift & 0xffU));
  return bytes;
}
inline std::uint32_t read_u32(const std::string& bytes, std::size_t at) {
  std::uint32_t value = 0;
  for (std::size_t i = at; i < at + 4; ++i) value = value << 8U | static_cast<unsigned char>(bytes.at(i));
  return value;
}
inline std::string text(const std::string& value) {
  return u32(static_cast<std::uint32_t>(value.size())) + value;
}
inline std::string hex16(std::uint64_t number) {
  std::ostringstream out;
  out << std::hex << std::setw(16) << std::setfill('0') << number;
  return out.str();
}

inline std::string call_frame(int type, const std::string& method, int seqid, const std::string& arguments) {
  return text(u32(0x80010000U | static_cast<unsigned>(type)) + text(method) +
              u32(static_cast<std::uint32_t>(seqid)) + arguments + std::string(1, '\0'));
}

using Fields = std::map<std::string, std::string>;

inline std::string process_frame(int seqid, const Fields& fields, const std::string& body = {}) {
  std::string arguments = std::string("\x0d\0\1\x0b\x0b", 5) + u32(static_cast<std::uint32_t>(fields.size()));
  for (const auto& [name, value] : fields) arguments += text(name) + text(value);
  return call_frame(1, "process", seqid, arguments + std::string("\x0b\0\2", 3) + text(body));
}
inline std::string probe_frame(int seqid) { return call_frame(1, "probe", seqid, ""); }

/// An answer of the edge proxy to `process` or `probe`.
struct Answer {
  std::string kind;  ///< served, refused, failed, exception; ready or unready for `probe`
  int seqid = 0;
  std::string body;
  Fields fields;
};

/// Parses one frame without its length; throws if it can't be read.
inline Answer parse_answer(const std::string& frame) {
  std::size_t at = 4;
  const auto string_at = [&] {
    const std::uint32_t size = read_u32(frame, at);
    if (at + 4 + size > frame.size()) throw std::out_of_range("string");
    std::string value = frame.substr(at + 4, size);
    at += 4 + size;
    return value;
  };
  Answer answer;
  const int type = frame.at(3);
  const std::string method = string_at();
  answer.seqid = static_cast<int>(read_u32(frame, at));
  at += 4;
  if (type == 3) {
    answer.kind = "exception";
    return answer;
  }
  const int field = frame.at(at + 2);
  at += 6;
  if (field == 0) {
    answer.body = string_at();
    at += 3;
  }
  at += 2;
  const std::uint32_t count = read_u32(frame, at);
  at += 4;
  for (std::uint32_t i = 0; i < count; ++i) {
    const std::string name = string_at();
    answer.fields[name] = string_at();
  }
  const bool is_good = field == 0 && frame.at(at + 3) == 1;
  if (field == 1) {
    answer.kind = "refused";
  } else if (field == 2) {
    answer.kind = "failed";
  } else if (method == "probe") {
    answer.kind = is_good ? "ready" : "unready";
  } else {
    answer.kind = "served";
  }
  return answer;
}

/// Reads one answer from a blocking socket; false at the end of the stream.
inline bool read_answer(Reader& reader, Answer& answer) {
  std::string head;
  std::string frame;
  if (!reader.take(4, head) || !reader.take(read_u32(head, 0), frame)) return false;
  answer = parse_answer(frame);
  return true;
}

/// The bytes of one part of an object, as every sound pop cache holds them.
inline std::string part_bytes(const std::string& object, const std::string& part, std::size_t size) {
  const std::string unit = object + "." + part + "|";
  std::string bytes;
  bytes.reserve(size + unit.size());
  while (bytes.size() < size) bytes += unit;
  bytes.resize(size);
  return bytes;
}

// ---- A pop cache, a parent or the origin ----

/// One attempt as the pop cache received it.
struct Attempt {
  std::string id;
  Fields fields;
  std::string body;
};

class PopCache {
 public:
  /// Returns the whole answer to an attempt; it is written after `delay`.
  using Answerer = std::function<std::string(const Attempt&)>;

  PopCache(std::string name, Record& record, Answerer answerer, milliseconds delay = milliseconds(0))
      : name_(std::move(name)), record_(record), answerer_(std::move(answerer)), delay_(delay) {
    listener_ = listen_on(0);
    port_ = port_of(listener_);
    std::thread([this] { accept_all(); }).detach();
  }
  [[nodiscard]] const std::string& name() const { return name_; }
  [[nodiscard]] int port() const { return port_; }
  [[nodiscard]] int attempts() const { return attempts_; }

  static std::string hit(const std::string& id, const std::string& bytes) {
    return id + " HIT ver=" + hex16(std::hash<std::string>()(bytes)) + ",born=" + std::to_string(unix_ms()) +
           " " + std::to_string(bytes.size()) + "\r\n" + bytes + "\r\n";
  }

 private:
  struct Connection {
    int fd = -1;
    std::mutex writing;
    ~Connection() { close(fd); }
  };

  void accept_all() {
    while (true) {
      const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) return;
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      auto connection = std::make_shared<Connection>();
      connection->fd = fd;
      std::thread([this, connection] { serve(connection); }).detach();
    }
  }

  void serve(const std::shared_ptr<Connection>& connection) {
    Reader reader(connection->fd);
    std::string line;
    while (reader.until("\r\n", line)) {
      std::istringstream words(line);
      std::string verb;
      Attempt attempt;
      std::string fields;
      std::size_t length = 0;
      words >> verb >> attempt.id;
      if (verb == "health" || verb == "gauges") {
        write(connection, attempt.id + " PONG - 0\r\n\r\n");
        continue;
      }
      if (verb != "serve") continue;
      words >> fields >> length;
      std::string end;
      if (!reader.take(length, attempt.body) || !reader.take(2, end)) return;
      std::istringstream list(fields);
      for (std::string field; std::getline(list, field, ',');) {
        const std::size_t equals = field.find('=');
        if (equals != std::string::npos) attempt.fields[field.substr(0, equals)] = field.substr(equals + 1);
      }
      ++attempts_;
      record_.line(name_ + " got " + attempt.id + " " + fields);
      std::thread([this, connection, attempt] {
        sleep_for(delay_);
        write(connection, answerer_(attempt));
      }).detach();
    }
  }

  static void write(const std::shared_ptr<Connection>& connection, const std::string& bytes) {
    const std::lock_guard lock(connection->writing);
    send_all(connection->fd, bytes);
  }

  std::string name_;
  Record& record_;
  Answerer answerer_;
  milliseconds delay_;
  int listener_ = -1;
  int port_ = 0;
  std::atomic<int> attempts_ = 0;
};

// ---- The bulletin ----

/// Tells each connection the events after its `Last-Event-ID`, and a comment each second.
class Bulletin {
 public:
  /// `last`: the last event that the configuration holds.
  explicit Bulletin(int last = 1) : last_(last) {
    listener_ = listen_on(0);
    port_ = port_of(listener_);
    std::thread([this] { accept_all(); }).detach();
  }
  [[nodiscard]] int port() const { return port_; }

  /// Adds an event, given without its number: `"recall":{...}` or `"roster":{...}`.
  void add(const std::string& event) {
    const std::lock_guard lock(mutex_);
    const std::string number = std::to_string(++last_);
    events_[last_] = "id: " + number + "\ndata: {\"no\":" + number + "," + event + "}\n\n";
  }

 private:
  void accept_all() {
    while (true) {
      const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) return;
      std::thread([this, fd] {
        serve(fd);
        close(fd);
      }).detach();
    }
  }
  void serve(int fd) {
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    Reader reader(fd);
    std::string call;
    if (!reader.until("\r\n\r\n", call)) return;
    const std::string name = "Last-Event-ID: ";
    int told = std::atoi(call.c_str() + call.find(name) + name.size());
    if (!send_all(fd, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")) return;
    for (auto comment_at = Clock::now();; sleep_for(milliseconds(1))) {
      std::string news;
      {
        const std::lock_guard lock(mutex_);
        for (; told < last_; ++told) news += events_[told + 1];
      }
      if (Clock::now() >= comment_at) {
        news += ":\n\n";
        comment_at += milliseconds(1000);
      }
      if (!send_all(fd, news)) return;
    }
  }

  std::mutex mutex_;
  int last_;
  std::map<int, std::string> events_;
  int listener_ = -1;
  int port_ = 0;
};

// ---- The platform ----

/// The value of a key of the deploy file.
inline std::string deploy_command(const std::string& root, const std::string& key) {
  std::ifstream file(root + "/deploy/balancer.toml");
  for (std::string line; std::getline(file, line);) {
    if (line.rfind(key + " = \"", 0) != 0) continue;
    const std::size_t from = key.size() + 4;
    return line.substr(from, line.find('"', from) - from);
  }
  return {};
}

/// One process of the deploy file's `run`.
class EdgeProxy {
 public:
  EdgeProxy(std::string root, std::string config_path, std::string folder, std::string log_path)
      : root_(std::move(root)),
        config_path_(std::move(config_path)),
        folder_(std::move(folder)),
        log_path_(std::move(log_path)) {}
  ~EdgeProxy() { kill_now(); }
  EdgeProxy(const EdgeProxy&) = delete;
  EdgeProxy& operator=(const EdgeProxy&) = delete;

  void start() {
    const std::string command = deploy_command(root_, "run");
    pid_ = fork();
    if (pid_ != 0) return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);  // no process outlives the test
    if (chdir(root_.c_str()) != 0) _exit(127);
    if (std::freopen(log_path_.c_str(), "a", stdout) == nullptr || dup2(1, 2) < 0) _exit(127);
    setenv("GW_CONFIG", config_path_.c_str(), 1);
    setenv("TMPDIR", folder_.c_str(), 1);
    execl("/bin/sh", "sh", "-c", command.c_str(), static_cast<char*>(nullptr));
    _exit(127);
  }
  void signal(int number) const { ::kill(pid_, number); }
  /// Whether the process has not ended; `status` describes its end otherwise.
  bool is_running() {
    if (pid_ <= 0) return false;
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) != pid_) return true;
    ended_ = WIFSIGNALED(status) ? "killed by signal " + std::to_string(WTERMSIG(status))
                                 : "exited with " + std::to_string(WEXITSTATUS(status));
    pid_ = -1;
    return false;
  }
  void kill_now() {
    if (pid_ <= 0) return;
    ::kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }
  [[nodiscard]] const std::string& ended() const { return ended_; }
  [[nodiscard]] std::string log() const {
    std::ifstream file(log_path_, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), {}};
  }
  /// Resident memory in kB, as the system reports it.
  [[nodiscard]] long resident_kb() const { return status_kb("VmRSS:"); }
  /// Resident memory without pages of files, so without the program and its libraries.
  [[nodiscard]] long anonymous_kb() const { return status_kb("RssAnon:"); }

 private:
  [[nodiscard]] long status_kb(const std::string& key) const {
    std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(file, line);) {
      if (line.rfind(key, 0) == 0) return std::atol(line.c_str() + key.size());
    }
    return 0;
  }

  std::string root_, config_path_, folder_, log_path_, ended_;
  pid_t pid_ = -1;
};

struct Member {
  std::string id;
  int port = 0;
  std::string kind;               ///< small-box, parent or origin
  std::string school = "edge-1";  ///< of a box; parents and the origin are at the hub
  int size = 5;
  std::string phase = "active";
  long long up_since_ms = 0;
};

struct ConfigOptions {
  std::string name = "n1";
  int listen = 0;
  int admin = 0;
  int bulletin = 0;
  int memory_mb = 192;
  int sockets = 1024;
  std::vector<Member> members;
  int school = 1;        ///< place of the edge proxy's school
  int schools = 1;       ///< `edge-1` to `edge-N`, with one edge proxy each
  std::string sections;  ///< further sections, each followed by a comma
};

/// The entries of the list of pop caches.
inline std::string member_list(const std::vector<Member>& members) {
  std::string list;
  for (const Member& member : members) {
    list += std::string(list.empty() ? "" : ",") + R"({"id":")" + member.id + R"(","host_port":")" +
            address_of(member.port) + R"(","locality":")" +
            (member.kind == "small-box" ? member.school : "north") + R"(","flavor":")" + member.kind +
            R"(","cell":0,"phase":")" + member.phase + R"(","size":)" + std::to_string(member.size) +
            R"(,"up_since_ms":)" + std::to_string(member.up_since_ms) + "}";
  }
  return list;
}

/// A configuration with the settings of the example in the operators' pages, for a school at the hub north.
inline std::string config_text(const ConfigOptions& options) {
  std::string zones = R"("north")";
  std::string hubs = "0";
  std::string links = "0";
  std::string seats = "0";
  for (int school = 1; school <= options.schools; ++school) {
    zones += R"(,"edge-)" + std::to_string(school) + "\"";
    hubs += ",0";
    links += ",119279";
    seats += ",1";
  }
  std::ostringstream out;
  out << "{" << options.sections << R"("name":")" << options.name << R"(","listen":")"
      << address_of(options.listen) << R"(","admin_addr":")" << address_of(options.admin)
      << R"(","bulletin":")" << address_of(options.bulletin)
      << R"(","seed":"8c1f30d27a5be964","flow_bytes_per_s":310000,"link_bytes_per_s":1240000,)"
      << R"("limits":{"cores":1.0,"memory_mb":)" << options.memory_mb << R"(,"sockets":)" << options.sockets
      << R"(},"known":{"no":1,"items":[{"no":1,"roster":{"revision":1,"complete":true,"members":[)"
      << member_list(options.members) << R"(]}}]},"settings":{"az":)" << options.school << R"(,"azs":[)"
      << zones << R"(],"kinds":["small-box","parent","origin"],)"
      << R"("bounds":{"attempts_cap":8,"cancelling":true,"conn_idle":30000000,"connect_timeout":400000,)"
      << R"("max_open":20000,"max_retry_after":500000,"multiplex":32,"peers":false,"probes":true,)"
      << R"("retry_after":true,"second_copies":false},"clients":{"marks_retry":true},"discovery":"pushed",)"
      << R"("fleet_size":)" << options.schools << R"(,"me":)" << options.school - 1
      << R"(,"report":{"fields":["rif","x1","x0"],"via":"probe"},"request_classes":[)"
      << R"({"name":"video","aim":400000,"aim_stretch":2.0,"deadline":5000000,"effect":"retryable",)"
      << R"("group":"all","late_worth":0.15,"memory_span":5000000,"worth":2.0},)"
      << R"({"name":"pages","aim":250000,"aim_stretch":2.0,"deadline":2500000,"effect":"retryable",)"
      << R"("group":"all","late_worth":0.2,"memory_span":5000000,"worth":1.0},)"
      << R"({"name":"order","aim":600000,"deadline":3000000,"effect":"dedup","group":"all",)"
      << R"("late_worth":0.0,"memory_span":2000000,"worth":3.0}],"rules":{"answer_slack":8000,)"
      << R"("cold_share":0.18,"drain_grace":1000000,"fall":2000000,"fall_multiple":4.0,)"
      << R"("must_ask_in":10000000,"warm_after":18000000},"specifics":{"byte_fee":0.02,"can_join":true,)"
      << R"("cleared_within":6000000,"grace_for":[0,20000000,0],"hub_by_zone":[)" << hubs << R"(],)"
      << R"("inlet_kb_per_s":[)" << links << R"(],"max_age":[0,8000000,0],"never_kept":[false,false,true],)"
      << R"("origin_kind":2,"parent_floor":0.07,"parent_warms_in":22000000,"peers_fill":"location",)"
      << R"("purge_slack":300000,"says":"none","seats_by_zone":[)" << seats
      << R"(],"segmented":[true,false,false],)"
      << R"("stale_earns":[0.7,0.5,0.7],"straight":false,"stream_kb_per_s":9100.0,)"
      << R"("upper_fall_multiple":2.0,"upper_kind":1},"tick":2000,"weights":"nominal"}})";
  return out.str();
}

/// Replaces the file in one step.
inline void write_file(const std::string& path, const std::string& content) {
  std::ofstream(path + ".new", std::ios::trunc) << content;
  std::rename((path + ".new").c_str(), path.c_str());
}

/// Waits until the edge proxy answers `probe` with `good` true.
inline bool wait_ready(int port, milliseconds bound = milliseconds(10000)) {
  for (const auto until = Clock::now() + bound; Clock::now() < until; sleep_for(milliseconds(20))) {
    const int fd = connect_to(port);
    if (fd < 0) continue;
    Reader reader(fd);
    Answer answer;
    const bool is_ready =
        send_all(fd, probe_frame(1)) && read_answer(reader, answer) && answer.kind == "ready";
    close(fd);
    if (is_ready) return true;
  }
  return false;
}

/// The fields of a request that a sound client sends; `number` makes its ids.
inline Fields request_fields(std::uint64_t number, const std::string& request_class, int limit_ms,
                             std::uint64_t object, const std::string& part = "0") {
  return {{"verb", request_class},
          {"txn", hex16(0x5eed000000000000ULL + number)},
          {"limit", std::to_string(limit_ms)},
          {"item", hex16(0xab00000000000000ULL + object)},
          {"piece", part},
          {"lot", "17"},
          {"ram", "400"}};
}

struct Environment {
  std::string root;    ///< of the repository
  std::string folder;  ///< temporary, empty
  std::string record;  ///< path of record.txt
  bool has_trouble = true;
};

inline Environment environment(int argc, char** argv) {
  if (argc != 4) {
    std::fprintf(stderr, "usage: %s ROOT FOLDER RECORD\n", argv[0]);
    std::exit(kNotRun);
  }
  std::signal(SIGPIPE, SIG_IGN);
  const char* trouble = std::getenv("TROUBLE");
  return {argv[1], argv[2], argv[3], trouble == nullptr || std::strcmp(trouble, "0") != 0};
}

}  // namespace review
