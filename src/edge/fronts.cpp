// SPDX-License-Identifier: MIT
#include "edge/fronts.h"

namespace dahliahall::edge {
namespace {

using namespace std::chrono_literals;

constexpr Time kIdle = 30s;  // clients close theirs after 4 s; this is for those that forget
// Guards against clients that ask and do not read: past the first bound a client's new requests are refused
// at once, past the second it is cut off, as is the worst one when all together pass the third.
constexpr std::size_t kRefuseFrom = 2 * 1024 * 1024;
constexpr std::size_t kCutOffFrom = 9 * 1024 * 1024;  // 32 answers of the largest size, and more
constexpr std::size_t kMostOpen = 128;                // four times what a client may have
constexpr std::size_t kAllTogether = 48 * 1024 * 1024;

}  // namespace

void Fronts::accepted(ConnectionId connection) {
  ++context_.sockets;
  Front front;
  front.protocol = make_thrift_front();
  front.opened = front.active = context_.now;
  fronts_.emplace(connection, std::move(front));
  // Guards the descriptors that the connections to the caches need: clients may hold half of all.
  if (2 * static_cast<int>(fronts_.size()) > context_.max_sockets)
    end(connection, CloseReason::too_many, true);
}

std::vector<FrontCall> Fronts::bytes(ConnectionId connection, std::string_view bytes) {
  Front& front = fronts_.at(connection);
  front.active = context_.now;
  return front.protocol->feed(bytes);
}

bool Fronts::broken(ConnectionId connection) const {
  const auto found = fronts_.find(connection);
  return found != fronts_.end() && found->second.protocol->broken();
}

FrontProtocol* Fronts::protocol(ConnectionId connection) {
  const auto found = fronts_.find(connection);
  return found == fronts_.end() ? nullptr : found->second.protocol.get();
}

void Fronts::answer(ConnectionId connection, std::string bytes) {
  const auto found = fronts_.find(connection);
  if (found == fronts_.end()) return;
  Front& front = found->second;
  front.active = context_.now;
  front.unsent += bytes.size();
  unsent_ += bytes.size();
  front.writing = true;
  context_.write(connection, std::move(bytes));
}

void Fronts::drained(ConnectionId connection) {
  Front& front = fronts_.at(connection);
  front.active = context_.now;
  unsent_ -= front.unsent;
  front.unsent = 0;
  front.writing = false;
}

bool Fronts::backed_up(ConnectionId connection) const {
  const auto found = fronts_.find(connection);
  if (found == fronts_.end()) return false;
  return found->second.unsent > kRefuseFrom || found->second.open.size() >= kMostOpen;
}

void Fronts::take(ConnectionId connection, CallTag tag, const std::string& request) {
  Front& front = fronts_.at(connection);
  ++front.requests;
  front.open[tag] = request;
}

std::string Fronts::release(ConnectionId connection, CallTag tag) {
  const auto found = fronts_.find(connection);
  if (found == fronts_.end()) return {};
  const auto call = found->second.open.find(tag);
  if (call == found->second.open.end()) return {};
  std::string request = std::move(call->second);
  found->second.open.erase(call);
  return request;
}

std::vector<std::string> Fronts::end(ConnectionId connection, CloseReason reason, bool close_it) {
  const auto found = fronts_.find(connection);
  if (found == fronts_.end()) return {};
  const Front& front = found->second;
  std::vector<std::string> open;
  for (const auto& [tag, request] : front.open) open.push_back(request);
  unsent_ -= front.unsent;
  context_.ended({"front", connection, front.opened, front.requests, {}}, reason, close_it);
  fronts_.erase(found);
  return open;
}

std::vector<std::pair<ConnectionId, CloseReason>> Fronts::overdue() const {
  std::vector<std::pair<ConnectionId, CloseReason>> due;
  ConnectionId worst = 0;
  std::size_t most = 0;
  for (const auto& [id, front] : fronts_) {
    if (front.unsent > most) {
      most = front.unsent;
      worst = id;
    }
    if (front.unsent > kCutOffFrom) {
      due.emplace_back(id, CloseReason::backlog);
    } else if (front.open.empty() && !front.writing && context_.now - front.active >= kIdle) {
      due.emplace_back(id, CloseReason::idle);
    }
  }
  if (due.empty() && unsent_ > kAllTogether) due.emplace_back(worst, CloseReason::backlog);
  return due;
}

std::vector<ConnectionId> Fronts::quiet() const {
  std::vector<ConnectionId> found;
  for (const auto& [id, front] : fronts_) {
    if (front.open.empty() && !front.writing) found.push_back(id);
  }
  return found;
}

}  // namespace dahliahall::edge
