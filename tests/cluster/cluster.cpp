// SPDX-License-Identifier: MIT
#include "cluster/cluster.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <rapidjson/document.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "support/loopback.h"
#include "support/scenario.h"

namespace edge_proxy::test {
namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

std::string local_address(int port) { return "127.0.0.1:" + std::to_string(port); }

}  // namespace

Fleet::Fleet(std::size_t count, Options options) : options_(std::move(options)), relays_(options_.seed) {
  root_ = "/tmp/edge_proxy-fleet-XXXXXX";
  EXPECT_NE(mkdtemp(root_.data()), nullptr);
  for (std::size_t i = 0; i < count; ++i) add(name(i));
  for (std::size_t i = 0; i < count; ++i) write_config(i);
  for (std::size_t i = 0; i < count; ++i) start(i);
}

Fleet::~Fleet() {
  for (Process& process : processes_) {
    if (process.pid <= 0) continue;
    ::kill(process.pid, SIGKILL);
    waitpid(process.pid, nullptr, 0);
  }
  std::filesystem::remove_all(root_);
}

std::size_t Fleet::add(const std::string& name) {
  Process process;
  process.name = name;
  const std::string path_prefix = root_ + "/" + std::to_string(processes_.size());
  process.folder = path_prefix + "-disk";
  process.log = path_prefix + ".log";
  process.config = path_prefix + ".json";
  std::filesystem::create_directory(process.folder);
  process.port = reserve_port();
  process.listen = reserve_port();
  process.admin = reserve_port();
  processes_.push_back(std::move(process));
  return processes_.size() - 1;
}

void Fleet::write_config(std::size_t i) {
  Process& process = processes_[i];
  std::string seeds, routes;
  for (std::size_t j = 0; j < processes_.size(); ++j) {
    if (j == i) continue;
    int port = processes_[j].port;
    if (options_.relays) {
      if (process.relays.count(j) == 0) process.relays[j] = relays_.add(port);
      routes += (routes.empty() ? "\"" : ",\"") + local_address(port) + "\":\"" +
                local_address(process.relays[j]) + "\"";
      port = process.relays[j];
    }
    if (j < 3) seeds += (seeds.empty() ? "\"" : ",\"") + local_address(port) + "\"";
  }
  // The cluster name is unique, so that a fleet of a concurrent test run that reuses a port of this fleet
  // can't join it.
  const std::string cluster = root_.substr(root_.rfind('-') + 1);
  std::string text = config_text({}, {{"edge", local_address(process.listen)},
                                      {"admin", local_address(process.admin)},
                                      {"bulletin", local_address(process.listen)}});
  text.insert(1, R"("peers":{"cluster":")" + cluster + R"(","listen":")" + local_address(process.port) +
                     R"(","folder":")" + process.folder + R"(","seeds":[)" + seeds + R"(],"routes":{)" +
                     routes + "}" + options_.extra_peers_config + "},");
  if (options_.voters > 0) {
    std::string voters;
    for (std::size_t v = 0; v < options_.voters; ++v) voters += (v == 0 ? "\"" : ",\"") + name(v) + "\"";
    text.insert(1, R"("policy":{"voters":[)" + voters + R"(],"folder":")" + process.folder +
                       R"(","trace":true)" + options_.extra_policy_config + "},");
  }
  if (options_.edit_config) text = options_.edit_config(i, text);
  std::ofstream(process.config) << text;
}

void Fleet::record_event(const std::string& what) {
  const auto ms = std::chrono::duration_cast<milliseconds>(Clock::now() - started_at_).count();
  event_timeline_ += std::to_string(ms) + " ms: " + what + "\n";
}

void Fleet::start(std::size_t i) {
  Process& process = processes_[i];
  record_event("start " + process.name);
  process.pid = fork();
  process.stopped = false;
  if (process.pid != 0) return;
  const int log = open(process.log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(log, 1);
  dup2(log, 2);
  setenv("GW_CONFIG", process.config.c_str(), 1);
  setenv("GW_NAME", process.name.c_str(), 1);
  setenv("TMPDIR", process.folder.c_str(), 1);
  execl(EDGE_PROXY_PROGRAM, EDGE_PROXY_PROGRAM, static_cast<char*>(nullptr));
  _exit(127);
}

void Fleet::reap(std::size_t i, bool expect_clean_exit) {
  Process& process = processes_[i];
  const auto deadline = Clock::now() + std::chrono::seconds(20);
  int status = 0;
  while (waitpid(process.pid, &status, WNOHANG) != process.pid) {
    if (Clock::now() > deadline) {
      ADD_FAILURE() << process.name << " did not end\n" << diagnostics();
      return;
    }
    sleep_for(milliseconds(5));
  }
  process.pid = -1;
  if (!expect_clean_exit) return;
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0) << process.name << "\n" << diagnostics();
}

void Fleet::kill(std::size_t i) {
  record_event("kill " + processes_[i].name);
  ASSERT_GT(processes_[i].pid, 0);
  ::kill(processes_[i].pid, SIGKILL);
  reap(i, false);
}
void Fleet::terminate(std::size_t i) {
  record_event("terminate " + processes_[i].name);
  ASSERT_GT(processes_[i].pid, 0);
  ::kill(processes_[i].pid, SIGTERM);
  reap(i, true);
}
void Fleet::stop(std::size_t i) {
  record_event("stop " + processes_[i].name);
  ASSERT_GT(processes_[i].pid, 0);
  processes_[i].stopped = true;
  ::kill(processes_[i].pid, SIGSTOP);
}
void Fleet::resume(std::size_t i) {
  record_event("resume " + processes_[i].name);
  ASSERT_GT(processes_[i].pid, 0);
  processes_[i].stopped = false;
  ::kill(processes_[i].pid, SIGCONT);
}
bool Fleet::disk_lists_members(std::size_t i, std::size_t count) const {
  std::ifstream file(processes_[i].folder + "/peers-" + processes_[i].name, std::ios::binary);
  const std::string stored(std::istreambuf_iterator<char>(file), {});
  for (std::size_t other = 0; other < count; ++other) {
    if (other != i && stored.find(name(other)) == std::string::npos) return false;
  }
  return true;
}

void Fleet::empty_disk(std::size_t i) {
  record_event("empty the disk of " + processes_[i].name);
  std::filesystem::remove_all(processes_[i].folder);
  std::filesystem::create_directory(processes_[i].folder);
}

std::size_t Fleet::start_duplicate(std::size_t original) {
  const std::size_t i = add(processes_[original].name);
  write_config(i);
  record_event("start a duplicate of " + processes_[original].name);
  start(i);
  return i;
}

void Fleet::set_fault(std::size_t from, std::size_t to, const Fault& fault) {
  record_event("from " + std::to_string(from) + " to " + std::to_string(to) +
               ": cut=" + std::to_string(fault.cut) + " drop=" + std::to_string(fault.drop) +
               " corrupt=" + std::to_string(fault.corrupt));
  relays_.set(processes_[from].relays.at(to), fault);
}
void Fleet::set_fault_on_all(const Fault& fault) {
  for (std::size_t i = 0; i < size(); ++i) {
    for (const auto& [to, port] : processes_[i].relays) relays_.set(port, fault);
  }
  record_event("between all: drop=" + std::to_string(fault.drop) +
               " corrupt=" + std::to_string(fault.corrupt));
}
void Fleet::split(std::size_t first, bool cut) {
  Fault fault;
  fault.cut = cut;
  for (std::size_t i = 0; i < size(); ++i) {
    for (const auto& [to, port] : processes_[i].relays) {
      if ((i < first) != (to < first)) relays_.set(port, fault);
    }
  }
  record_event(std::string(cut ? "cut" : "heal") + " the processes below " + std::to_string(first) +
               " and the others");
}

void Fleet::send_datagram(std::size_t i, const std::string& bytes) {
  const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = loopback_address(processes_[i].port);
  sendto(fd, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&address), sizeof address);
  close(fd);
}

std::pair<int, std::string> Fleet::call(std::size_t i, const std::string& method, const std::string& path,
                                        const std::string& body, std::chrono::seconds timeout_seconds) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = loopback_address(processes_[i].admin);
  const timeval timeout{timeout_seconds.count(), 0};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  std::string response;
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) {
    const std::string request = method + " " + path +
                                " HTTP/1.1\r\nHost: edge\r\nContent-Length: " + std::to_string(body.size()) +
                                "\r\n\r\n" + body;
    send(fd, request.data(), request.size(), MSG_NOSIGNAL);
    std::array<char, 65536> buffer;
    for (ssize_t size = 0; (size = recv(fd, buffer.data(), buffer.size(), 0)) > 0;)
      response.append(buffer.data(), static_cast<std::size_t>(size));
  }
  close(fd);
  const std::size_t header_end = response.find("\r\n\r\n");
  if (header_end == std::string::npos || response.size() < 12) return {0, ""};
  return {std::stoi(response.substr(9, 3)), response.substr(header_end + 4)};
}

std::optional<PeersView> Fleet::view(std::size_t i) {
  if (!is_running(i)) return std::nullopt;
  const auto [status, body] = call(i, "GET", "/v1/peers");
  rapidjson::Document json;
  if (status != 200 || json.Parse(body.c_str()).HasParseError()) return std::nullopt;
  PeersView view;
  view.stands = json["stands"].GetString();
  view.digest = json["digest"].GetString();
  view.registered = json["registered"].GetUint64();
  view.reached = json["reached"].GetUint64();
  view.differing = json["differing"].GetUint64();
  view.doubt = json["doubt"].GetUint64();
  for (const auto& member : json["members"].GetArray()) {
    MemberView& member_view = view.members[member["name"].GetString()];
    member_view.state = member["state"].GetString();
    member_view.way = member.HasMember("way") ? member["way"].GetString() : "self";
    member_view.disk = member["disk"].GetString();
    member_view.incarnation = member["incarnation"].GetUint64();
  }
  return view;
}

std::uint64_t Fleet::peers_metric(std::size_t i, const std::string& name) {
  return metric(i, "svc.peers." + name + ":");
}
std::uint64_t Fleet::policy_metric(std::size_t i, const std::string& name) {
  return metric(i, "svc.policy." + name + ":");
}

std::uint64_t Fleet::metric(std::size_t i, const std::string& key) {
  const std::string body = call(i, "GET", "/v1/metrics").second;
  const std::size_t found = body.find(key);
  return found == std::string::npos ? 0 : std::stoull(body.substr(found + key.size()));
}

std::string Fleet::log(std::size_t i) const {
  std::ifstream file(processes_[i].log, std::ios::binary);
  return std::string(std::istreambuf_iterator<char>(file), {});
}

bool Fleet::sees_state(std::size_t observer, std::size_t member, const std::string& state) {
  const auto peers = view(observer);
  if (!peers) return false;
  const auto found = peers->members.find(processes_[member].name);
  return found != peers->members.end() && found->second.state == state;
}

bool Fleet::all_see_state(std::size_t member, const std::string& state) {
  for (std::size_t i = 0; i < size(); ++i) {
    if (i != member && is_running(i) && !sees_state(i, member, state)) return false;
  }
  return true;
}

bool Fleet::all_agree() {
  std::size_t running = 0;
  for (std::size_t i = 0; i < size(); ++i) running += is_running(i) ? 1 : 0;
  std::string digest;
  for (std::size_t i = 0; i < size(); ++i) {
    if (!is_running(i)) continue;
    const auto peers = view(i);
    if (!peers || peers->stands != "whole" || peers->reached != running) return false;
    if (!digest.empty() && peers->digest != digest) return false;
    digest = peers->digest;
  }
  return true;
}

std::optional<milliseconds> Fleet::expect(const std::string& what, milliseconds bound,
                                          const std::function<bool()>& done) {
  const auto start_time = Clock::now();
  while (true) {
    const bool is_done = done();
    const auto elapsed = std::chrono::duration_cast<milliseconds>(Clock::now() - start_time);
    if (is_done) {
      record_event(what + " after " + std::to_string(elapsed.count()) + " ms");
      return elapsed;
    }
    if (elapsed > bound) break;
    sleep_for(milliseconds(10));
  }
  ADD_FAILURE() << "not within " << bound.count() << " ms: " << what << "\n" << diagnostics();
  return std::nullopt;
}

void Fleet::sleep_for(milliseconds duration) { poll(nullptr, 0, static_cast<int>(duration.count())); }

std::string Fleet::diagnostics() {
  std::ostringstream out;
  out << event_timeline_;
  for (std::size_t i = 0; i < size(); ++i) {
    out << "-- " << i << " " << processes_[i].name << (is_running(i) ? "" : " (not running)") << "\n";
    if (const auto peers = view(i)) {
      out << "   stands=" << peers->stands << ", reached " << peers->reached << " of " << peers->registered
          << ":";
      for (const auto& [name, member] : peers->members)
        out << " " << name << "=" << member.state << "/" << member.way;
      out << "\n";
    }
    std::istringstream lines(log(i));
    for (std::string line; std::getline(lines, line);) {
      if (line.find(" peer") != std::string::npos || line.find(" policy ") != std::string::npos ||
          line.find("error") != std::string::npos || line.find("event loop stalled") != std::string::npos ||
          line.find("field '") != std::string::npos)
        out << "   " << line << "\n";
    }
  }
  return out.str();
}

}  // namespace edge_proxy::test
