// SPDX-License-Identifier: MIT
#include "edge/fronts.h"

#include <algorithm>

namespace dahliahall::edge {
namespace {

constexpr int kBusyRank = 4;

}  // namespace

void Fronts::accepted(ConnectionId connection) {
  ++context_.sockets;
  Front front;
  front.protocol = make_thrift_front();
  front.opened = front.active = context_.now;
  front.begun = context_.now;
  // Guards the descriptors that the connections to the caches need.
  const bool full = fronts_.size() - leaving_.size() >= static_cast<std::size_t>(context_.bounds.clients);
  const std::optional<ConnectionId> other = full ? idlest() : std::nullopt;
  fronts_.emplace(connection, std::move(front));
  if (full) leave(other.value_or(connection), CloseReason::too_many);
  while (fronts_.size() > static_cast<std::size_t>(context_.bounds.clients + context_.bounds.leaving))
    end_oldest_leaving();
}

/// Guards the clients that ask against those that open connections by the hundred and say nothing: who has
/// said nothing for a while goes first, then the longest idle, which can ask again on a new one. A connection
/// that has only just come up goes late: its first request may be on the way.
std::optional<ConnectionId> Fronts::idlest() const {
  const auto rank = [this](const Front& f) {
    if (f.leaving || !idle(f)) return kBusyRank;
    if (f.greeted) return 2;
    return context_.now - f.opened >= kFirstWordWithin ? 1 : 3;
  };
  const auto worst = std::min_element(fronts_.begin(), fronts_.end(), [&](const auto& a, const auto& b) {
    return std::pair(rank(a.second), a.second.active) < std::pair(rank(b.second), b.second.active);
  });
  if (worst == fronts_.end() || rank(worst->second) == kBusyRank) return std::nullopt;
  return worst->first;
}

void Fronts::end_oldest_leaving() {
  const ConnectionId oldest = leaving_.front();
  end(oldest, *fronts_.at(oldest).leaving, true);
}

void Fronts::make_room() {
  if (!leaving_.empty()) {
    end_oldest_leaving();
  } else if (const auto other = idlest()) {
    end(*other, CloseReason::too_many, true);
  }
}

std::vector<FrontCall> Fronts::bytes(ConnectionId connection, std::string_view bytes) {
  Front& front = fronts_.at(connection);
  if (front.leaving) {
    // Guards the memory and the time of all against one that goes on sending after it was turned away.
    front.discarded += bytes.size();
    if (front.discarded > kMostDiscarded) end(connection, *front.leaving, true);
    return {};
  }
  front.active = context_.now;
  std::vector<FrontCall> calls = front.protocol->feed(bytes);
  front.greeted = front.greeted || !calls.empty();
  if (!calls.empty() || front.begun.count() == 0) front.begun = context_.now;
  if (front.greeted && !front.protocol->halfway()) front.begun = Time{0};
  return calls;
}

bool Fronts::broken(ConnectionId connection) const {
  const auto found = fronts_.find(connection);
  return found != fronts_.end() && !found->second.leaving && found->second.protocol->broken();
}

FrontProtocol* Fronts::protocol(ConnectionId connection) {
  const auto found = fronts_.find(connection);
  return found == fronts_.end() || found->second.leaving ? nullptr : found->second.protocol.get();
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
  return found->second.unsent > context_.bounds.refuse_from || found->second.open.size() >= kMostOpenCalls;
}

bool Fronts::has_open(ConnectionId connection, CallTag tag) const {
  const auto found = fronts_.find(connection);
  return found != fronts_.end() && found->second.open.count(tag) != 0;
}

std::vector<std::string> Fronts::leave(ConnectionId connection, CloseReason reason, std::string last) {
  const auto found = fronts_.find(connection);
  if (found == fronts_.end() || found->second.leaving) return {};
  if (!last.empty()) answer(connection, std::move(last));
  context_.finish(connection);
  Front& front = found->second;
  front.leaving = reason;
  leaving_.push_back(connection);
  front.active = context_.now;
  std::vector<std::string> open;
  for (const auto& [tag, request] : std::exchange(front.open, {})) open.push_back(request);
  return open;
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
  if (front.leaving) std::erase(leaving_, connection);
  context_.ended({"front", connection, front.opened, front.requests, {}}, front.leaving.value_or(reason),
                 close_it);
  fronts_.erase(found);
  return open;
}

std::vector<std::string> Fronts::sweep() {
  std::vector<std::pair<ConnectionId, CloseReason>> leave_them, cut_them_off;
  ConnectionId worst = 0;
  std::size_t most = 0;
  for (const auto& [id, front] : fronts_) {
    if (front.unsent > most) {
      most = front.unsent;
      worst = id;
    }
    const Time unheard = context_.now - front.active;
    if (front.leaving) {
      if (unheard >= kLeaveWithin) cut_them_off.emplace_back(id, *front.leaving);
    } else if (front.unsent > context_.bounds.cut_off_from ||
               // Guards the descriptors against clients that ask and never read.
               (front.writing && front.open.empty() && unheard >= context_.bounds.unread_within)) {
      cut_them_off.emplace_back(id, CloseReason::backlog);
    } else if (front.begun.count() != 0 && front.open.empty() &&
               context_.now - front.begun >= kMessageWithin) {
      // Guards the descriptors against clients that say nothing, or half a message, and stay.
      leave_them.emplace_back(id, CloseReason::no_message);
    } else if (idle(front) && unheard >= kClientIdle) {
      leave_them.emplace_back(id, CloseReason::idle);
    }
  }
  if (cut_them_off.empty() && unsent_ > context_.bounds.unsent)
    cut_them_off.emplace_back(worst, CloseReason::backlog);
  std::vector<std::string> open;
  for (const auto& [id, reason] : leave_them) leave(id, reason);
  for (const auto& [id, reason] : cut_them_off) {
    for (std::string& request : end(id, reason, true)) open.push_back(std::move(request));
  }
  return open;
}

void Fronts::leave_quiet() {
  for (const auto& [id, front] : fronts_) {
    if (!front.leaving && idle(front) &&
        context_.now - front.active >= (front.greeted ? kQuiet : kQuietAtFirst))
      leave(id, CloseReason::stopping);
  }
}

void Fronts::cut_off_unowed() {
  std::vector<ConnectionId> due;
  for (const auto& [id, front] : fronts_) {
    if (front.open.empty()) due.push_back(id);
  }
  for (const ConnectionId id : due) end(id, CloseReason::stopping, true);
}

}  // namespace dahliahall::edge
