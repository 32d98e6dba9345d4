// SPDX-License-Identifier: MIT
/// @file
/// Stand-ins for the cases 6 to 10 of the review: clients, pop caches and a bulletin in one event loop, the
/// started edge proxies, and the record of a run. Everything is on loopback addresses and the real clock.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace review {

using Fields = std::map<std::string, std::string>;

inline std::int64_t unix_us() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// The case could not run, which is neither a pass nor a failure.
[[noreturn]] inline void cannot_run(const std::string& why) {
  std::fprintf(stderr, "the case could not run: %s\n", why.c_str());
  std::exit(2);
}

// ---- The record ----

class Record {
 public:
  explicit Record(const std::string& path) : file_(path), start_us_(unix_us()) {
    if (!file_) cannot_run("cannot write " + path);
  }
  [[nodiscard]] double seconds() const { return static_cast<double>(unix_us() - start_us_) / 1e6; }
  void line(const std::string& text) {
    std::array<char, 32> time{};
    std::snprintf(time.data(), time.size(), "%9.4f ", seconds());
    file_ << time.data() << text << '\n';
  }
  /// Writes a line to the record and to standard output.
  void result(const std::string& text) {
    line(text);
    file_.flush();
    std::printf("%s\n", text.c_str());
    std::fflush(stdout);
  }

 private:
  std::ofstream file_;
  std::int64_t start_us_;
};

// ---- The event loop ----

class Loop {
 public:
  using Task = std::function<void()>;

  void at(std::int64_t time_us, Task task) { tasks_.emplace(time_us, std::move(task)); }
  void after(double seconds, Task task) {
    at(unix_us() + static_cast<std::int64_t>(seconds * 1e6), std::move(task));
  }
  /// Calls `ready` with the events of the descriptor; `wanted` names those that it waits for.
  void watch(int descriptor, std::function<short()> wanted, std::function<void(short)> ready) {
    watches_[descriptor] = {std::move(wanted), std::move(ready)};
  }
  void forget(int descriptor) { watches_.erase(descriptor); }
  void run_until(const std::function<bool()>& is_over, double limit_seconds) {
    const std::int64_t end = unix_us() + static_cast<std::int64_t>(limit_seconds * 1e6);
    while (!is_over() && unix_us() < end) turn();
  }
  void run_for(double seconds) {
    run_until([] { return false; }, seconds);
  }

 private:
  struct Watch {
    std::function<short()> wanted;
    std::function<void(short)> ready;
  };

  void turn() {
    std::vector<pollfd> polled;
    for (const auto& [descriptor, watch] : watches_) polled.push_back({descriptor, watch.wanted(), 0});
    int wait_ms = 5;
    if (!tasks_.empty()) {
      const std::int64_t due = (tasks_.begin()->first - unix_us() + 999) / 1000;
      wait_ms = static_cast<int>(std::clamp<std::int64_t>(due, 0, 5));
    }
    poll(polled.data(), polled.size(), wait_ms);
    for (const pollfd& ready : polled) {
      if (ready.revents == 0) continue;
      const auto found = watches_.find(ready.fd);
      if (found == watches_.end()) continue;
      const auto call = found->second.ready;
      call(ready.revents);
    }
    while (!tasks_.empty() && tasks_.begin()->first <= unix_us()) {
      const Task task = std::move(tasks_.begin()->second);
      tasks_.erase(tasks_.begin());
      task();
    }
  }

  std::map<int, Watch> watches_;
  std::multimap<std::int64_t, Task> tasks_;
};

// ---- Sockets ----

inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

inline int port_of(int socket) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

inline std::string address_of(int port) { return "127.0.0.1:" + std::to_string(port); }

/// Payload of a TCP segment on Ethernet. Segments on the loopback interface are 45 times as large, and the
/// system's buffers for a connection grow with them.
constexpr int kEthernetSegment = 1448;

/// Binds a TCP socket; `shared` lets the edge proxy bind the same port, which this socket only reserves.
inline int bind_socket(int port, bool shared) {
  const int bound = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const int on = 1;
  setsockopt(bound, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (shared) setsockopt(bound, SOL_SOCKET, SO_REUSEPORT, &on, sizeof on);
  const sockaddr_in address = loopback(port);
  if (bind(bound, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
    cannot_run("no free port");
  return bound;
}

/// A TCP connection with an output buffer. The callbacks may close it.
class Stream {
 public:
  Stream(Loop& loop, int socket, std::function<void(std::string_view)> on_bytes,
         std::function<void(bool is_reset)> on_end)
      : loop_(loop), socket_(socket), on_bytes_(std::move(on_bytes)), on_end_(std::move(on_end)) {
    const int on = 1;
    setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    loop_.watch(
        socket_,
        [this] { return static_cast<short>((may_read() ? POLLIN : 0) | (output_.empty() ? 0 : POLLOUT)); },
        [this](short events) { on_ready(events); });
  }
  ~Stream() { close(); }
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  [[nodiscard]] bool is_open() const { return socket_ >= 0; }
  void send(std::string_view bytes) {
    if (!is_open()) return;
    output_ += bytes;
    flush();
  }
  /// Reads no faster than this from now on.
  void limit_reading(double bytes_per_s) {
    read_rate_ = bytes_per_s;
    read_since_us_ = unix_us();
    read_bytes_ = 0;
  }
  void close() {
    if (!is_open()) return;
    loop_.forget(socket_);
    ::close(std::exchange(socket_, -1));
  }
  void reset() {
    if (!is_open()) return;
    const linger now{1, 0};
    setsockopt(socket_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close();
  }

 private:
  [[nodiscard]] double allowance() const {
    return read_rate_ * static_cast<double>(unix_us() - read_since_us_) / 1e6 - read_bytes_;
  }
  [[nodiscard]] bool may_read() const { return read_rate_ <= 0 || allowance() >= 1; }

  void flush() {
    while (!output_.empty()) {
      const ssize_t size = ::send(socket_, output_.data(), output_.size(), MSG_NOSIGNAL);
      if (size <= 0) return;
      output_.erase(0, static_cast<std::size_t>(size));
    }
  }

  void on_ready(short events) {
    if ((events & POLLOUT) != 0) flush();
    if ((events & (POLLIN | POLLERR | POLLHUP)) == 0) return;
    std::size_t wanted = buffer_.size();
    if (read_rate_ > 0) {
      if (!may_read()) return;
      wanted = std::min(wanted, static_cast<std::size_t>(allowance()));
    }
    const ssize_t size = recv(socket_, buffer_.data(), wanted, 0);
    if (size > 0) {
      read_bytes_ += static_cast<double>(size);
      on_bytes_(std::string_view(buffer_.data(), static_cast<std::size_t>(size)));
    } else if (size == 0 || (errno != EAGAIN && errno != EINTR)) {
      const bool is_reset = size < 0;
      close();
      on_end_(is_reset);
    }
  }

  Loop& loop_;
  int socket_;
  std::function<void(std::string_view)> on_bytes_;
  std::function<void(bool)> on_end_;
  std::string output_;
  std::array<char, 65536> buffer_{};
  double read_rate_ = 0;
  std::int64_t read_since_us_ = 0;
  double read_bytes_ = 0;
};

class Listener {
 public:
  Listener(Loop& loop, std::function<void(int)> on_accept) : loop_(loop), on_accept_(std::move(on_accept)) {
    open(0);
  }
  ~Listener() { close(); }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;
  [[nodiscard]] int port() const { return port_; }
  /// Refuses connections until open_again().
  void close() {
    if (socket_ < 0) return;
    loop_.forget(socket_);
    ::close(std::exchange(socket_, -1));
  }
  void open_again() {
    if (socket_ < 0) open(port_);
  }

 private:
  void open(int port) {
    socket_ = bind_socket(port, false);
    listen(socket_, 512);
    port_ = port_of(socket_);
    loop_.watch(
        socket_, [] { return static_cast<short>(POLLIN); },
        [this](short) {
          const int accepted = accept4(socket_, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
          if (accepted >= 0) on_accept_(accepted);
        });
  }

  Loop& loop_;
  std::function<void(int)> on_accept_;
  int socket_ = -1;
  int port_ = 0;
};

// ---- Pop caches, parents and the origin ----

/// What reached a pop cache.
struct Served {
  std::string member, id, profile, item, source, key;
  std::int64_t at_us = 0;
};

class Members {
 public:
  /// Returns the answer without the id, or none if there is none yet. Called for each request.
  using Answer = std::function<std::optional<std::string>(const Served&)>;

  Members(Loop& loop, Record& record, const std::vector<std::string>& ids, Answer answer)
      : loop_(loop), record_(record), answer_(std::move(answer)) {
    for (const std::string& id : ids) {
      listeners_[id] = std::make_unique<Listener>(loop_, [this, id](int socket) { accept(id, socket); });
    }
  }

  [[nodiscard]] std::string json(const std::string& id, const std::string& phase = "active") const {
    const bool is_cache = id.starts_with("box");
    const std::string flavor = is_cache ? "small-box" : id.starts_with("up") ? "parent" : "origin";
    return R"({"id":")" + id + R"(","host_port":")" + address_of(listeners_.at(id)->port()) +
           R"(","locality":")" + (is_cache ? "school-1" : "north") + R"(","flavor":")" + flavor +
           R"(","cell":0,"phase":")" + phase + R"(","size":40,"up_since_ms":0})";
  }
  [[nodiscard]] std::string all_json() const {
    std::string list;
    for (const auto& [id, listener] : listeners_) list += (list.empty() ? "" : ",") + json(id);
    return list;
  }
  [[nodiscard]] const std::vector<Served>& served() const { return served_; }
  /// Seconds between a request and its answer.
  double delay = 0.005;
  bool is_recorded = true;

  /// Returns an answer `served` with so many bytes.
  static std::string hit(std::size_t bytes, std::int64_t born_ms) {
    return "HIT ver=4be0c1927d55a6f3,born=" + std::to_string(born_ms) + " " + std::to_string(bytes) + "\r\n" +
           std::string(bytes, 'y') + "\r\n";
  }

 private:
  struct Connection {
    std::unique_ptr<Stream> stream;
    std::string input;
  };

  void accept(const std::string& member, int socket) {
    const int number = ++last_connection_;
    Connection& connection = connections_[number];
    connection.stream = std::make_unique<Stream>(
        loop_, socket, [this, member, number](std::string_view bytes) { on_bytes(member, number, bytes); },
        [](bool) {});
  }

  void on_bytes(const std::string& member, int number, std::string_view bytes) {
    std::string& input = connections_[number].input;
    input += bytes;
    while (true) {
      const std::size_t end = input.find("\r\n");
      if (end == std::string::npos) return;
      std::istringstream line(input.substr(0, end));
      std::string command, id, fields;
      std::size_t length = 0;
      line >> command >> id >> fields >> length;
      const std::size_t size = end + 2 + (command == "serve" ? length + 2 : 0);
      if (input.size() < size) return;
      input.erase(0, size);
      if (command == "gauges" || command == "health") reply(number, id, "PONG - 0\r\n\r\n");
      if (command == "cancel") withdrawn_.insert({number, id});
      if (command == "serve") on_request(member, number, id, fields);
    }
  }

  static std::string field(const std::string& fields, const std::string& name) {
    std::istringstream list(fields);
    for (std::string entry; std::getline(list, entry, ',');) {
      if (entry.starts_with(name + "=")) return entry.substr(name.size() + 1);
    }
    return {};
  }

  void on_request(const std::string& member, int number, const std::string& id, const std::string& fields) {
    const Served served{member,
                        id,
                        field(fields, "profile"),
                        field(fields, "thing"),
                        field(fields, "from"),
                        field(fields, "replay"),
                        unix_us()};
    served_.push_back(served);
    if (is_recorded) record_.line(member + " got serve " + id + " " + fields);
    loop_.after(delay, [this, number, served] {
      if (const auto answer = answer_(served)) reply(number, served.id, *answer);
    });
  }

  void reply(int number, const std::string& id, const std::string& answer) {
    const auto found = connections_.find(number);
    if (found == connections_.end() || withdrawn_.contains({number, id})) return;
    if (is_recorded) record_.line("answer " + id + " " + answer.substr(0, answer.find("\r\n")));
    found->second.stream->send(id + " " + answer);
  }

  Loop& loop_;
  Record& record_;
  Answer answer_;
  std::map<std::string, std::unique_ptr<Listener>> listeners_;
  std::map<int, Connection> connections_;
  std::set<std::pair<int, std::string>> withdrawn_;
  std::vector<Served> served_;
  int last_connection_ = 0;
};

// ---- The bulletin ----

class Bulletin {
 public:
  Bulletin(Loop& loop, Record& record, const std::string& members_json)
      : loop_(loop),
        record_(record),
        listener_(std::make_unique<Listener>(loop, [this](int socket) { accept(socket); })) {
    known_ = R"({"no":1,"roster":{"revision":1,"complete":true,"members":[)" + members_json + "]}}";
    events_[1] = known_;
    comment();
  }

  /// Seconds between the head of a response and the first event.
  double events_after = 0;
  [[nodiscard]] int port() const { return listener_->port(); }
  [[nodiscard]] std::string known_json() const { return R"({"no":1,"items":[)" + known_ + "]}"; }
  /// Adds an event with this content after `"no":N,`.
  void tell(const std::string& content) {
    const int number = events_.rbegin()->first + 1;
    events_[number] = R"({"no":)" + std::to_string(number) + "," + content + "}";
    record_.line("bulletin event " + events_[number]);
    for (auto& [id, reader] : readers_) send_events(reader);
  }
  /// Ends all connections and refuses new ones.
  void go_down() {
    record_.line("bulletin down");
    listener_->close();
    for (auto& [id, reader] : readers_) reader.stream->close();
    readers_.clear();
  }
  void come_back() {
    record_.line("bulletin back");
    listener_->open_again();
  }

 private:
  struct Reader {
    std::unique_ptr<Stream> stream;
    std::string input;
    int last = -1;
    bool is_reading = false;
  };

  void accept(int socket) {
    const int number = ++last_reader_;
    readers_[number].stream = std::make_unique<Stream>(
        loop_, socket, [this, number](std::string_view bytes) { on_bytes(number, bytes); }, [](bool) {});
  }

  void on_bytes(int number, std::string_view bytes) {
    Reader& reader = readers_.at(number);
    reader.input += bytes;
    const std::size_t field = reader.input.find("Last-Event-ID: ");
    if (reader.last >= 0 || reader.input.find("\r\n\r\n") == std::string::npos) return;
    reader.last = field == std::string::npos ? 0 : std::atoi(reader.input.c_str() + field + 15);
    record_.line("bulletin asked, last=" + std::to_string(reader.last));
    reader.stream->send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: hello\n\n");
    loop_.after(events_after, [this, number] {
      const auto found = readers_.find(number);
      if (found == readers_.end()) return;
      found->second.is_reading = true;
      send_events(found->second);
    });
  }

  void send_events(Reader& reader) {
    if (!reader.is_reading) return;
    for (const auto& [number, event] : events_) {
      if (number <= reader.last) continue;
      reader.stream->send("id: " + std::to_string(number) + "\ndata: " + event + "\n\n");
      reader.last = number;
    }
  }

  void comment() {
    for (auto& [id, reader] : readers_) {
      if (reader.is_reading) reader.stream->send(": still here\n\n");
    }
    loop_.after(1, [this] { comment(); });
  }

  Loop& loop_;
  Record& record_;
  std::unique_ptr<Listener> listener_;
  std::string known_;
  std::map<int, std::string> events_;
  std::map<int, Reader> readers_;
  int last_reader_ = 0;
};

// ---- Clients ----

inline std::string u32(std::uint32_t value) {
  std::string bytes;
  for (int shift = 24; shift >= 0; shift -= 8) bytes += static_cast<char>(value >> shift);
  return bytes;
}
inline std::string text(std::string_view value) {
  return u32(static_cast<std::uint32_t>(value.size())) + std::string(value);
}
inline std::string message(int type, const std::string& method, int number, const std::string& arguments) {
  const std::string content = u32(0x80010000U | static_cast<std::uint32_t>(type)) + text(method) +
                              u32(static_cast<std::uint32_t>(number)) + arguments + std::string(1, '\0');
  return u32(static_cast<std::uint32_t>(content.size())) + content;
}
inline std::string request_message(int number, const Fields& fields, const std::string& body) {
  std::string map = std::string("\x0d\0\1\x0b\x0b", 5) + u32(static_cast<std::uint32_t>(fields.size()));
  for (const auto& [name, value] : fields) map += text(name) + text(value);
  return message(1, "process", number, map + std::string("\x0b\0\2", 3) + text(body));
}
inline std::string give_up_message(int call, int number) {
  return message(4, "giveUp", number, std::string("\x08\0\1", 3) + u32(static_cast<std::uint32_t>(call)));
}
inline std::string hex_id(std::uint64_t number) {
  std::array<char, 17> digits{};
  std::snprintf(digits.data(), digits.size(), "%016llx", static_cast<unsigned long long>(number));
  return digits.data();
}

enum class Answered { served, refused, failed, probe };

inline const char* name_of(Answered answer) {
  switch (answer) {
    case Answered::served:
      return "served";
    case Answered::refused:
      return "refused";
    case Answered::failed:
      return "failed";
    case Answered::probe:
      return "probe";
  }
  return "?";
}

/// One connection of a client.
class Client {
 public:
  using OnAnswer = std::function<void(int number, Answered answer, std::size_t body_bytes)>;
  using OnEnd = std::function<void(bool is_reset)>;

  /// `receive_buffer`: bytes of the socket's receive buffer; 0 keeps the system's choice.
  Client(Loop& loop, Record& record, std::string name, int port, int receive_buffer, OnAnswer on_answer,
         OnEnd on_end)
      : record_(record),
        name_(std::move(name)),
        on_answer_(std::move(on_answer)),
        on_end_(std::move(on_end)) {
    const int connecting = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receive_buffer > 0) {
      setsockopt(connecting, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
      setsockopt(connecting, IPPROTO_TCP, TCP_MAXSEG, &kEthernetSegment, sizeof kEthernetSegment);
    }
    const sockaddr_in address = loopback(port);
    is_connected_ = connect(connecting, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
    fcntl(connecting, F_SETFL, O_NONBLOCK);
    stream_ = std::make_unique<Stream>(
        loop, connecting, [this](std::string_view bytes) { on_bytes(bytes); },
        [this](bool is_reset) {
          record_.line(name_ + " connection " + (is_reset ? "reset" : "closed") +
                       " by the edge proxy, open=" + std::to_string(open_.size()));
          on_end_(is_reset);
        });
  }

  [[nodiscard]] bool is_connected() const { return is_connected_ && stream_->is_open(); }
  [[nodiscard]] const std::map<int, std::string>& open() const { return open_; }
  Stream& stream() { return *stream_; }
  bool is_recorded = true;

  /// Sends a request and returns its number.
  int request(const Fields& fields, const std::string& body = {}) {
    const int number = ++last_number_;
    open_[number] = fields.at("txn");
    if (is_recorded) {
      std::string list;
      for (const auto& [name, value] : fields) list += " " + name + "=" + value;
      record_.line(name_ + " request " + std::to_string(number) + list +
                   " body=" + std::to_string(body.size()));
    }
    stream_->send(request_message(number, fields, body));
    return number;
  }
  void probe() {
    const int number = ++last_number_;
    stream_->send(message(1, "probe", number, std::string("\x02\0\1\1", 4)));
  }
  void close() { stream_->close(); }
  /// Waits for no answer any longer.
  void forget_open() { open_.clear(); }

 private:
  static std::uint32_t u32_at(std::string_view bytes, std::size_t position) {
    std::uint32_t value = 0;
    for (std::size_t i = 0; i < 4; ++i)
      value = value << 8U | static_cast<unsigned char>(bytes.at(position + i));
    return value;
  }

  void on_bytes(std::string_view bytes) {
    input_ += bytes;
    while (input_.size() >= 4) {
      const std::size_t size = u32_at(input_, 0);
      if (input_.size() < 4 + size) return;
      const std::string frame = input_.substr(4, size);
      input_.erase(0, 4 + size);
      on_frame(frame);
    }
  }

  void on_frame(const std::string& frame) {
    const bool is_reply = (u32_at(frame, 0) & 0xffU) == 2;
    const std::size_t method_size = u32_at(frame, 4);
    const std::string method = frame.substr(8, method_size);
    const std::size_t result = 8 + method_size + 4;
    const int number = static_cast<int>(u32_at(frame, 8 + method_size));
    Answered answer = Answered::failed;
    std::size_t body_bytes = 0;
    if (is_reply) {
      const int field = static_cast<unsigned char>(frame.at(result + 1)) << 8 |
                        static_cast<unsigned char>(frame.at(result + 2));
      if (field == 0) {
        answer = Answered::served;
        body_bytes = u32_at(frame, result + 6);
      }
      if (field == 1) answer = Answered::refused;
    }
    if (method == "probe") {
      answer = frame.at(frame.size() - 3) == 1 ? Answered::probe : Answered::failed;
      on_answer_(0, answer, 0);
      return;
    }
    open_.erase(number);
    if (is_recorded) {
      record_.line(name_ + " answer " + std::to_string(number) + " " + name_of(answer) +
                   " bytes=" + std::to_string(body_bytes));
    }
    on_answer_(number, answer, body_bytes);
  }

  Record& record_;
  std::string name_;
  OnAnswer on_answer_;
  OnEnd on_end_;
  bool is_connected_ = false;
  std::unique_ptr<Stream> stream_;
  std::string input_;
  std::map<int, std::string> open_;
  int last_number_ = 0;
};

// ---- The edge proxy ----

/// Returns the command of a key of the deploy file.
inline std::string deploy_command(const std::string& root, const std::string& key) {
  std::ifstream file(root + "/deploy/balancer.toml");
  for (std::string line; std::getline(file, line);) {
    if (!line.starts_with(key + " = \"")) continue;
    const std::size_t start = line.find('"') + 1;
    return line.substr(start, line.rfind('"') - start);
  }
  cannot_run("the deploy file has no " + key);
}

struct ConfigValues {
  std::string name = "n1";
  int listen = 0, admin = 0, bulletin = 0;
  std::string known;
  int memory_mb = 192, sockets = 1024;
  int flow_bytes_per_s = 310000, link_bytes_per_s = 1240000;
};

/// A configuration in the form of the deployment page, for one school with caches `box-N`.
inline std::string config_json(const ConfigValues& values) {
  return R"({"name":")" + values.name + R"(","listen":")" + address_of(values.listen) +
         R"(","admin_addr":")" + address_of(values.admin) +
         R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":)" +
         std::to_string(values.memory_mb) + R"(,"sockets":)" + std::to_string(values.sockets) +
         R"(},"bulletin":")" + address_of(values.bulletin) + R"(","flow_bytes_per_s":)" +
         std::to_string(values.flow_bytes_per_s) + R"(,"link_bytes_per_s":)" +
         std::to_string(values.link_bytes_per_s) + R"(,"known":)" + values.known +
         R"(,"settings":{"az":1,"azs":["north","school-1"],"kinds":["small-box","parent","origin"],)"
         R"("bounds":{"attempts_cap":8,"cancelling":true,"conn_idle":30000000,"connect_timeout":400000,)"
         R"("max_retry_after":500000,"multiplex":32,"probes":true,"retry_after":true,"second_copies":false},)"
         R"("clients":{"marks_retry":true},"discovery":"pushed","fleet_size":1,"me":0,)"
         R"("report":{"fields":["rif","x1","x0"],"via":"probe"},"request_classes":[)"
         R"({"name":"video","aim":400000,"aim_stretch":2.0,"deadline":5000000,"effect":"retryable","worth":2.0},)"
         R"({"name":"pages","aim":250000,"aim_stretch":2.0,"deadline":2500000,"effect":"retryable","worth":1.0},)"
         R"({"name":"order","aim":600000,"deadline":3000000,"effect":"dedup","group":"all",)"
         R"("memory_span":2000000,"worth":3.0}],"rules":{"answer_slack":8000,"cold_share":0.18,)"
         R"("drain_grace":1000000,"fall":2000000,"fall_multiple":4.0,"warm_after":18000000},"specifics":{)"
         R"("can_join":true,"cleared_within":6000000,"grace_for":[0,20000000,0],"hub_by_zone":[0,0],)"
         R"("inlet_kb_per_s":[0,119279],"max_age":[0,8000000,0],"never_kept":[false,false,true],)"
         R"("origin_kind":2,"parent_floor":0.07,"parent_warms_in":22000000,"peers_fill":"location",)"
         R"("purge_slack":300000,"says":"none","seats_by_zone":[0,1],"segmented":[true,false,false],)"
         R"("stale_earns":[0.7,0.5,0.7],"straight":false,"stream_kb_per_s":9100.0,"upper_fall_multiple":2.0,)"
         R"("upper_kind":1},"tick":2000,"weights":"nominal"}})";
}

/// A started edge proxy. Its folder, which is its TMPDIR too, is removed at the end.
class Proxy {
 public:
  Proxy(Record& record, std::string root) : record_(record), root_(std::move(root)) {
    std::string pattern = (std::filesystem::temp_directory_path() / "edge-review-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) cannot_run("no temporary folder");
    folder_ = pattern;
    std::filesystem::create_directory(folder_ + "/tmp");
    listen_socket_ = bind_socket(0, true);
    admin_socket_ = bind_socket(0, true);
  }
  /// The process that replaces `old`: the same addresses and TMPDIR, but an admin address of its own. `old`
  /// must live longer.
  Proxy(Record& record, const Proxy& old)
      : record_(record),
        root_(old.root_),
        folder_(old.folder_),
        listen_socket_(dup(old.listen_socket_)),
        admin_socket_(bind_socket(0, true)),
        owns_folder_(false) {}
  ~Proxy() {
    kill_now();
    ::close(listen_socket_);
    ::close(admin_socket_);
    std::error_code error;
    if (owns_folder_) std::filesystem::remove_all(folder_, error);
  }
  Proxy(const Proxy&) = delete;
  Proxy& operator=(const Proxy&) = delete;

  [[nodiscard]] int port() const { return port_of(listen_socket_); }
  [[nodiscard]] int admin_port() const { return port_of(admin_socket_); }
  [[nodiscard]] pid_t pid() const { return pid_; }

  void start(ConfigValues values) {
    values.listen = port();
    values.admin = admin_port();
    const std::string config = folder_ + (owns_folder_ ? "/config.json" : "/config-next.json");
    const std::string log = log_path();
    std::ofstream(config) << config_json(values);
    const std::string command = deploy_command(root_, "run");
    const std::string config_variable = "GW_CONFIG=" + config, tmp_variable = "TMPDIR=" + folder_ + "/tmp";
    pid_ = fork();
    if (pid_ < 0) cannot_run("no process");
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);  // nothing outlives the case, however it ends
      const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(output, STDOUT_FILENO);
      dup2(output, STDERR_FILENO);
      if (chdir(root_.c_str()) != 0) _exit(127);
      putenv(const_cast<char*>(config_variable.c_str()));
      putenv(const_cast<char*>(tmp_variable.c_str()));
      execl("/bin/sh", "sh", "-c", command.c_str(), static_cast<char*>(nullptr));
      _exit(127);
    }
    record_.line("edge proxy started: " + command);
  }
  /// Replaces the configuration file and sends SIGHUP.
  void reload(ConfigValues values) const {
    values.listen = port();
    values.admin = admin_port();
    std::ofstream(folder_ + "/config.json.new") << config_json(values);
    std::filesystem::rename(folder_ + "/config.json.new", folder_ + "/config.json");
    record_.line("SIGHUP with sockets=" + std::to_string(values.sockets) +
                 " memory_mb=" + std::to_string(values.memory_mb));
    send_signal(SIGHUP);
  }
  [[nodiscard]] bool is_running() {
    if (pid_ > 0 && waitpid(pid_, &status_, WNOHANG) == pid_) pid_ = -1;
    return pid_ > 0;
  }
  /// How the process ended, in words.
  [[nodiscard]] std::string end() const {
    if (WIFSIGNALED(status_)) return "signal " + std::to_string(WTERMSIG(status_));
    return "exit code " + std::to_string(WEXITSTATUS(status_));
  }
  void send_signal(int number) const {
    if (pid_ > 0) kill(pid_, number);
  }
  void kill_now() {
    if (pid_ <= 0) return;
    kill(pid_, SIGKILL);
    waitpid(pid_, &status_, 0);
    pid_ = -1;
  }
  [[nodiscard]] std::string log() const {
    std::ifstream file(log_path());
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
  }
  /// Copies the lines of the log that contain the word to the record.
  void record_log(const std::string& word) const {
    std::istringstream lines(log());
    for (std::string line; std::getline(lines, line);) {
      if (line.find(word) != std::string::npos) record_.line("edge proxy log: " + line);
    }
  }

 private:
  [[nodiscard]] std::string log_path() const {
    return folder_ + (owns_folder_ ? "/log.txt" : "/log-next.txt");
  }

  Record& record_;
  std::string root_, folder_;
  int listen_socket_ = -1, admin_socket_ = -1;
  bool owns_folder_ = true;
  pid_t pid_ = -1;
  int status_ = 0;
};

/// An operator's call; returns the status, 0 if there was no answer within a second.
inline int admin_call(Record& record, int port, const std::string& method, const std::string& path) {
  const int called = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval limit{1, 0};
  setsockopt(called, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  const sockaddr_in address = loopback(port);
  const std::string call = method + " " + path + " HTTP/1.1\r\nHost: " + address_of(port) + "\r\n\r\n";
  int status = 0;
  if (connect(called, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 &&
      send(called, call.data(), call.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(call.size())) {
    std::array<char, 64> head{};
    if (recv(called, head.data(), head.size() - 1, 0) > 12) status = std::atoi(head.data() + 9);
  }
  close(called);
  record.line("operator " + method + " " + path + " at port " + std::to_string(port) + ": " +
              std::to_string(status));
  return status;
}

/// Waits until the edge proxy answers a probe with `good`.
inline void wait_until_ready(Loop& loop, Record& record, Proxy& proxy) {
  bool is_ready = false;
  const std::int64_t end = unix_us() + 15'000'000;
  while (!is_ready && unix_us() < end) {
    loop.run_for(0.1);
    if (!proxy.is_running()) cannot_run("the edge proxy has ended: " + proxy.log());
    Client client(
        loop, record, "front", proxy.port(), 0,
        [&](int, Answered answer, std::size_t) { is_ready = answer == Answered::probe; }, [](bool) {});
    if (!client.is_connected()) continue;
    client.probe();
    loop.run_until([&] { return is_ready; }, 0.5);
  }
  if (!is_ready) cannot_run("the edge proxy is not ready");
  record.line("edge proxy ready");
}

/// Ends the case: exit code 1 if the rule was broken, 0 if it held.
inline int verdict(Record& record, bool is_broken, const std::string& what) {
  record.result(std::string(is_broken ? "BROKEN: " : "held: ") + what);
  return is_broken ? 1 : 0;
}

/// Whether the run has its disruption; TROUBLE=0 leaves it out.
inline bool has_trouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

}  // namespace review
