// SPDX-License-Identifier: MIT
/// @file
/// The requests that were taken and not answered yet: read from clients' calls, given their final answers,
/// counted. What becomes of them is decided elsewhere.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "codec/cache_lines.h"
#include "edge/context.h"
#include "edge/fronts.h"

namespace dahliahall::edge {

/// A request that was taken and not answered yet. Texts are the bytes that the client sent.
struct Taken {
  ConnectionId front = 0;
  CallTag tag = 0;
  std::string verb, item, piece, key, held_tag, body;
  Request request;
  int attempts = 0;
  std::uint64_t epoch = 0;  ///< of the policy, under which it was taken
};

class Requests {
 public:
  /// Final answers since the start, of one class.
  struct Counted {
    std::size_t served = 0, refused = 0, failed = 0;
  };

  Requests(Context& context, Fronts& fronts, const Settings& settings)
      : context_(context), fronts_(fronts), settings_(settings), counted_(settings.classes.size()) {}

  /// The request that a call asks for; none where a field is missing, malformed or out of bounds.
  /// `answer_by`: when it has to be answered at the latest, where anything but its patience sets that.
  std::optional<Taken> read(ConnectionId front, Asked& call, std::optional<Time> answer_by) const;
  /// Whether its body may be kept beside those that are.
  [[nodiscard]] bool room_for(const Taken& taken) const {
    return bodies_ + taken.body.size() <= context_.bounds.bodies;
  }
  void take(Taken taken);
  Taken* find(const std::string& request);
  /// No answer is owed any more. False: none was.
  bool forget(const std::string& request);
  [[nodiscard]] std::size_t open() const { return taken_.size(); }

  // Final answers, for a request that is still owed one; else nothing happens.
  void served(const std::string& request, const codec::CacheAnswer& answer);
  void served(const std::string& request, std::string_view body, std::optional<std::string_view> tag,
              bool unchanged);
  /// `retry_after`: when to come back; the site's bound on that stands above it. 0: not told.
  void refused(const std::string& request, Time retry_after);
  void failed(const std::string& request);

  // Answers to calls that are not taken.
  [[nodiscard]] std::size_t class_of(const Asked& call) const;
  void turn_back(ConnectionId front, const Asked& call);  ///< refused
  void turn_away(ConnectionId front, const Asked& call);  ///< failed

  /// By class, in the order of the settings.
  [[nodiscard]] const std::vector<Counted>& counted() const { return counted_; }
  [[nodiscard]] const std::string& class_name(std::size_t c) const { return settings_.classes[c].name; }

 private:
  enum class Final { served, refused, failed };

  [[nodiscard]] std::size_t class_of(std::string_view name) const;
  [[nodiscard]] double most_kb(const RequestClass& c) const;
  [[nodiscard]] FrontFields later(Time span) const;
  void count(std::size_t request_class, Final kind);
  void release(std::map<std::string, Taken>::iterator taken);
  template <typename Word>
  void answer(const std::string& request, Final kind, Word&& word);

  Context& context_;
  Fronts& fronts_;
  const Settings& settings_;
  std::map<std::string, Taken> taken_;
  std::size_t bodies_ = 0;  // bytes of their bodies
  std::vector<Counted> counted_;
};

}  // namespace dahliahall::edge
