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

std::string at(int port) { return "127.0.0.1:" + std::to_string(port); }

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
  const std::string own = root_ + "/" + std::to_string(processes_.size());
  process.folder = own + "-disk";
  process.log = own + ".log";
  process.config = own + ".json";
  std::filesystem::create_directory(process.folder);
  process.port = free_port();
  process.listen = free_port();
  process.admin = free_port();
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
      routes += (routes.empty() ? "\"" : ",\"") + at(port) + "\":\"" + at(process.relays[j]) + "\"";
      port = process.relays[j];
    }
    if (j < 3) seeds += (seeds.empty() ? "\"" : ",\"") + at(port) + "\"";
  }
  // A cluster of its own: guards it against a fleet of another test run beside it that was given a port which
  // one of this fleet's had before.
  const std::string cluster = root_.substr(root_.rfind('-') + 1);
  std::string text = config_text(
      {}, {{"edge", at(process.listen)}, {"admin", at(process.admin)}, {"bulletin", at(process.listen)}});
  text.insert(1, R"("peers":{"cluster":")" + cluster + R"(","listen":")" + at(process.port) +
                     R"(","folder":")" + process.folder + R"(","seeds":[)" + seeds + R"(],"routes":{)" +
                     routes + "}" + options_.more + "},");
  if (options_.voters > 0) {
    std::string voters;
    for (std::size_t v = 0; v < options_.voters; ++v) voters += (v == 0 ? "\"" : ",\"") + name(v) + "\"";
    text.insert(1, R"("policy":{"voters":[)" + voters + R"(],"folder":")" + process.folder +
                       R"(","trace":true)" + options_.more_policy + "},");
  }
  if (options_.edit) text = options_.edit(i, text);
  std::ofstream(process.config) << text;
}

void Fleet::note(const std::string& what) {
  const auto ms = std::chrono::duration_cast<milliseconds>(Clock::now() - began_).count();
  timeline_ += std::to_string(ms) + " ms: " + what + "\n";
}

void Fleet::start(std::size_t i) {
  Process& process = processes_[i];
  note("start " + process.name);
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

void Fleet::reap(std::size_t i, bool in_order) {
  Process& process = processes_[i];
  const auto until = Clock::now() + std::chrono::seconds(20);
  int status = 0;
  while (waitpid(process.pid, &status, WNOHANG) != process.pid) {
    if (Clock::now() > until) {
      ADD_FAILURE() << process.name << " did not end\n" << story();
      return;
    }
    pass(milliseconds(5));
  }
  process.pid = -1;
  if (!in_order) return;
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0) << process.name << "\n" << story();
}

void Fleet::kill(std::size_t i) {
  note("kill " + processes_[i].name);
  ASSERT_GT(processes_[i].pid, 0);
  ::kill(processes_[i].pid, SIGKILL);
  reap(i, false);
}
void Fleet::terminate(std::size_t i) {
  note("terminate " + processes_[i].name);
  ASSERT_GT(processes_[i].pid, 0);
  ::kill(processes_[i].pid, SIGTERM);
  reap(i, true);
}
void Fleet::stop(std::size_t i) {
  note("stop " + processes_[i].name);
  ASSERT_GT(processes_[i].pid, 0);
  processes_[i].stopped = true;
  ::kill(processes_[i].pid, SIGSTOP);
}
void Fleet::resume(std::size_t i) {
  note("resume " + processes_[i].name);
  ASSERT_GT(processes_[i].pid, 0);
  processes_[i].stopped = false;
  ::kill(processes_[i].pid, SIGCONT);
}
bool Fleet::disk_knows(std::size_t i, std::size_t count) const {
  std::ifstream file(processes_[i].folder + "/peers-" + processes_[i].name, std::ios::binary);
  const std::string kept(std::istreambuf_iterator<char>(file), {});
  for (std::size_t other = 0; other < count; ++other) {
    if (other != i && kept.find(name(other)) == std::string::npos) return false;
  }
  return true;
}

void Fleet::empty_disk(std::size_t i) {
  note("empty the disk of " + processes_[i].name);
  std::filesystem::remove_all(processes_[i].folder);
  std::filesystem::create_directory(processes_[i].folder);
}

std::size_t Fleet::start_double(std::size_t of) {
  const std::size_t i = add(processes_[of].name);
  write_config(i);
  note("a double of " + processes_[of].name);
  start(i);
  return i;
}

void Fleet::set(std::size_t from, std::size_t to, const Fault& fault) {
  note("from " + std::to_string(from) + " to " + std::to_string(to) + ": cut=" + std::to_string(fault.cut) +
       " drop=" + std::to_string(fault.drop) + " corrupt=" + std::to_string(fault.corrupt));
  relays_.set(processes_[from].relays.at(to), fault);
}
void Fleet::set_all(const Fault& fault) {
  for (std::size_t i = 0; i < size(); ++i) {
    for (const auto& [to, port] : processes_[i].relays) relays_.set(port, fault);
  }
  note("between all: drop=" + std::to_string(fault.drop) + " corrupt=" + std::to_string(fault.corrupt));
}
void Fleet::split(std::size_t first, bool cut) {
  Fault fault;
  fault.cut = cut;
  for (std::size_t i = 0; i < size(); ++i) {
    for (const auto& [to, port] : processes_[i].relays) {
      if ((i < first) != (to < first)) relays_.set(port, fault);
    }
  }
  note(std::string(cut ? "cut" : "heal") + " those below " + std::to_string(first) + " and the others");
}

void Fleet::throw_at(std::size_t i, const std::string& bytes) {
  const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  const sockaddr_in to = loopback(processes_[i].port);
  sendto(fd, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&to), sizeof to);
  close(fd);
}

std::pair<int, std::string> Fleet::call(std::size_t i, const std::string& method, const std::string& path,
                                        const std::string& body, std::chrono::seconds span) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in to = loopback(processes_[i].admin);
  const timeval bound{span.count(), 0};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &bound, sizeof bound);
  std::string all;
  if (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0) {
    const std::string ask = method + " " + path +
                            " HTTP/1.1\r\nHost: edge\r\nContent-Length: " + std::to_string(body.size()) +
                            "\r\n\r\n" + body;
    send(fd, ask.data(), ask.size(), MSG_NOSIGNAL);
    std::array<char, 65536> buffer;
    for (ssize_t size = 0; (size = recv(fd, buffer.data(), buffer.size(), 0)) > 0;)
      all.append(buffer.data(), static_cast<std::size_t>(size));
  }
  close(fd);
  const std::size_t head = all.find("\r\n\r\n");
  if (head == std::string::npos || all.size() < 12) return {0, ""};
  return {std::stoi(all.substr(9, 3)), all.substr(head + 4)};
}

std::optional<ToldView> Fleet::view(std::size_t i) {
  if (!runs(i)) return std::nullopt;
  const auto [status, body] = call(i, "GET", "/v1/peers");
  rapidjson::Document json;
  if (status != 200 || json.Parse(body.c_str()).HasParseError()) return std::nullopt;
  ToldView view;
  view.stands = json["stands"].GetString();
  view.digest = json["digest"].GetString();
  view.registered = json["registered"].GetUint64();
  view.reached = json["reached"].GetUint64();
  view.differing = json["differing"].GetUint64();
  view.doubt = json["doubt"].GetUint64();
  for (const auto& member : json["members"].GetArray()) {
    Told& told = view.members[member["name"].GetString()];
    told.state = member["state"].GetString();
    told.way = member.HasMember("way") ? member["way"].GetString() : "self";
    told.disk = member["disk"].GetString();
    told.incarnation = member["incarnation"].GetUint64();
  }
  return view;
}

std::uint64_t Fleet::figure(std::size_t i, const std::string& name) {
  return metric(i, "svc.peers." + name + ":");
}
std::uint64_t Fleet::policy_figure(std::size_t i, const std::string& name) {
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

bool Fleet::tells(std::size_t by, std::size_t of, const std::string& state) {
  const auto told = view(by);
  if (!told) return false;
  const auto found = told->members.find(processes_[of].name);
  return found != told->members.end() && found->second.state == state;
}

bool Fleet::all_tell(std::size_t of, const std::string& state) {
  for (std::size_t i = 0; i < size(); ++i) {
    if (i != of && runs(i) && !tells(i, of, state)) return false;
  }
  return true;
}

bool Fleet::agree() {
  std::size_t running = 0;
  for (std::size_t i = 0; i < size(); ++i) running += runs(i) ? 1 : 0;
  std::string digest;
  for (std::size_t i = 0; i < size(); ++i) {
    if (!runs(i)) continue;
    const auto told = view(i);
    if (!told || told->stands != "whole" || told->reached != running) return false;
    if (!digest.empty() && told->digest != digest) return false;
    digest = told->digest;
  }
  return true;
}

std::optional<milliseconds> Fleet::expect(const std::string& what, milliseconds bound,
                                          const std::function<bool()>& done) {
  const auto began = Clock::now();
  while (true) {
    const bool good = done();
    const auto took = std::chrono::duration_cast<milliseconds>(Clock::now() - began);
    if (good) {
      note(what + " after " + std::to_string(took.count()) + " ms");
      return took;
    }
    if (took > bound) break;
    pass(milliseconds(10));
  }
  ADD_FAILURE() << "not within " << bound.count() << " ms: " << what << "\n" << story();
  return std::nullopt;
}

void Fleet::pass(milliseconds span) { poll(nullptr, 0, static_cast<int>(span.count())); }

std::string Fleet::story() {
  std::ostringstream out;
  out << timeline_;
  for (std::size_t i = 0; i < size(); ++i) {
    out << "-- " << i << " " << processes_[i].name << (runs(i) ? "" : " (does not run)") << "\n";
    if (const auto told = view(i)) {
      out << "   stands " << told->stands << ", reaches " << told->reached << " of " << told->registered
          << ":";
      for (const auto& [name, member] : told->members)
        out << " " << name << "=" << member.state << "/" << member.way;
      out << "\n";
    }
    std::istringstream lines(log(i));
    for (std::string line; std::getline(lines, line);) {
      if (line.find(" peer") != std::string::npos || line.find(" policy ") != std::string::npos ||
          line.find("error") != std::string::npos || line.find("stood still") != std::string::npos ||
          line.find("event loop stalled") != std::string::npos || line.find("field '") != std::string::npos)
        out << "   " << line << "\n";
    }
  }
  return out.str();
}

}  // namespace edge_proxy::test
