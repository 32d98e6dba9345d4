// SPDX-License-Identifier: MIT
#include "support/cache_stand_in.h"

#include <poll.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <sstream>

#include "support/loopback.h"
#include "support/scenario.h"

namespace edge_proxy::test {
namespace {

constexpr int kListenBacklog = 256;
constexpr int kPollMs = 5;
constexpr std::size_t kLineEndBytes = 2;

}  // namespace

CacheStandIn::CacheStandIn(const std::vector<std::string>& members, std::size_t body_bytes)
    : body_bytes_(body_bytes) {
  for (const std::string& member : members) {
    int port = 0;
    listeners_[member] = bind_shared_socket(port);
    listen(listeners_[member], kListenBacklog);
    ports_[member] = port;
  }
  thread_ = std::thread([this] { run(); });
}

CacheStandIn::~CacheStandIn() {
  is_stopping_ = true;
  thread_.join();
  for (const auto& [member, socket] : listeners_) close(socket);
  for (const auto& [socket, connection] : connections_) close(socket);
}

std::string CacheStandIn::members_json() const {
  std::string list;
  for (const auto& [member, port] : ports_) {
    if (!list.empty()) list += ",";
    list += member_json(member, "127.0.0.1:" + std::to_string(port));
  }
  return list;
}

void CacheStandIn::run() {
  while (!is_stopping_) poll_once();
}

void CacheStandIn::poll_once() {
  std::vector<pollfd> polled;
  for (const auto& [member, socket] : listeners_) polled.push_back({socket, POLLIN, 0});
  const std::size_t listener_count = polled.size();
  for (const auto& [socket, connection] : connections_) {
    const short readable = behavior_ == Behavior::stops_reading ? short{0} : short{POLLIN};
    const short writable = connection.output.empty() ? short{0} : short{POLLOUT};
    polled.push_back({socket, static_cast<short>(readable | writable), 0});
  }
  poll(polled.data(), polled.size(), kPollMs);
  for (std::size_t i = 0; i < polled.size(); ++i) {
    const pollfd& ready = polled[i];
    if (ready.revents == 0) continue;
    if (i < listener_count) {
      accept_from(ready.fd);
      continue;
    }
    CacheConnection& connection = connections_.at(ready.fd);
    const bool is_open = ((ready.revents & (POLLERR | POLLHUP)) == 0) &&
                         ((ready.revents & POLLIN) == 0 || read(ready.fd, connection)) &&
                         write(ready.fd, connection);
    if (is_open) continue;
    connections_.erase(ready.fd);
    close(ready.fd);
  }
}

void CacheStandIn::accept_from(int listener) {
  const int socket = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
  if (socket >= 0) connections_[socket];
}

bool CacheStandIn::read(int socket, CacheConnection& connection) {
  std::array<char, 65536> buffer;
  const ssize_t size = recv(socket, buffer.data(), buffer.size(), 0);
  if (size <= 0) return size < 0 && errno == EAGAIN;
  connection.input.append(buffer.data(), static_cast<std::size_t>(size));
  answer_requests(connection);
  return true;
}

bool CacheStandIn::write(int socket, CacheConnection& connection) {
  if (connection.output.empty()) return true;
  const ssize_t size = send(socket, connection.output.data(), connection.output.size(), MSG_NOSIGNAL);
  if (size < 0) return errno == EAGAIN;
  connection.output.erase(0, static_cast<std::size_t>(size));
  return true;
}

void CacheStandIn::answer_requests(CacheConnection& connection) {
  std::string& input = connection.input;
  while (true) {
    const std::size_t line_end = input.find("\r\n");
    if (line_end == std::string::npos) return;
    std::istringstream line(input.substr(0, line_end));
    std::string command, id, fields;
    std::size_t length = 0;
    line >> command >> id >> fields >> length;
    const bool has_body = command == "serve";
    const std::size_t message_end =
        line_end + kLineEndBytes + (has_body ? length + kLineEndBytes : std::size_t{0});
    if (input.size() < message_end) return;
    input.erase(0, message_end);
    if (command == "gauges") connection.output += id + " PONG - 0\r\n\r\n";
    if (!has_body) continue;
    std::string response =
        id + " HIT ver=a,born=1 " + std::to_string(body_bytes_) + "\r\n" + std::string(body_bytes_, 'y');
    if (behavior_ == Behavior::never_completes) {
      response.pop_back();
    } else {
      response += "\r\n";
    }
    connection.output += response;
  }
}

}  // namespace edge_proxy::test
