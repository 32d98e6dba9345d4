// SPDX-License-Identifier: MIT
#include "peers/wire.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>

#include "peers.pb.h"

namespace dahliahall::peers {
namespace {

constexpr std::uint32_t kVersion = 1;
constexpr std::uint32_t kMostZones = 4096;
constexpr std::size_t kFixed = 72;  // bytes of an item's tags, lengths and numbers, at most

void write(const News& news, wire::Member& out) {
  out.set_name(news.name);
  out.set_address(news.address);
  out.set_disk(news.disk);
  out.set_incarnation(news.incarnation);
  out.set_zone(static_cast<std::uint32_t>(news.zone));
  out.set_state(static_cast<std::uint32_t>(news.state));
  out.set_by(news.by);
}

bool read(const wire::Member& in, News& out) {
  if (!good_name(in.name()) || !good_address(in.address()) || in.zone() >= kMostZones ||
      in.state() >= kLivenesses || !(in.by().empty() || good_name(in.by())))
    return false;
  out = {in.name(),
         in.address(),
         in.disk(),
         in.incarnation(),
         static_cast<int>(in.zone()),
         static_cast<Liveness>(in.state()),
         in.by()};
  return true;
}

}  // namespace

std::string_view name_of(Liveness state) {
  static constexpr std::array<std::string_view, kLivenesses> names{"alive", "suspect",   "dead",
                                                                   "left",  "forgotten", "disputed"};
  return names[static_cast<std::size_t>(state)];
}

std::string_view name_of(Refusal reason) {
  static constexpr std::array<std::string_view, kRefusals> names{
      "malformed", "oversized", "corrupt", "other_cluster", "other_version", "bad_field"};
  return names[static_cast<std::size_t>(reason)];
}

bool good_name(std::string_view name) {
  return !name.empty() && name.size() <= kMaxName && std::all_of(name.begin(), name.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '_' || c == '.';
  });
}

bool good_address(std::string_view address) {
  const auto number = [&address](int most, char until) {
    int value = -1;
    const auto [end, problem] = std::from_chars(address.data(), address.data() + address.size(), value);
    if (problem != std::errc{} || value < 0 || value > most) return false;
    address.remove_prefix(static_cast<std::size_t>(end - address.data()));
    if (until == '\0') return address.empty() && value > 0;
    if (address.empty() || address.front() != until) return false;
    address.remove_prefix(1);
    return true;
  };
  return number(255, '.') && number(255, '.') && number(255, '.') && number(255, ':') && number(65535, '\0');
}

std::size_t size_of(const News& news) {
  return kFixed + news.name.size() + news.address.size() + news.by.size();
}

std::size_t head_size(const Message& message, const std::string& cluster) {
  return 2 * kFixed + cluster.size() + message.to.size() + size_of(message.from) + message.target.size() +
         message.target_address.size() + message.payload.size();
}

std::string encode(const Message& message, const std::string& cluster) {
  wire::Packet packet;
  packet.set_cluster(cluster);
  packet.set_kind(static_cast<std::uint32_t>(message.kind));
  packet.set_number(message.number);
  packet.set_to(message.to);
  write(message.from, *packet.mutable_from());
  packet.set_digest(message.digest);
  packet.set_target(message.target);
  packet.set_target_address(message.target_address);
  for (const News& news : message.news) write(news, *packet.add_news());
  packet.set_counts(message.counts);
  packet.set_names(message.names);
  packet.set_sure(message.sure);
  packet.set_payload(message.payload);
  wire::Envelope envelope;
  envelope.set_version(kVersion);
  packet.SerializeToString(envelope.mutable_packet());
  envelope.set_sum(XXH3_64bits(envelope.packet().data(), envelope.packet().size()));
  return envelope.SerializeAsString();
}

std::variant<Message, Refusal> decode(std::string_view bytes, const std::string& cluster, std::size_t most) {
  if (bytes.size() > most) return Refusal::oversized;
  wire::Envelope envelope;
  if (!envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return Refusal::malformed;
  // The version first: guards against reading another one's fields by this one's meaning.
  if (envelope.version() != kVersion)
    return envelope.version() == 0 ? Refusal::malformed : Refusal::other_version;
  // Guards the list of members against names that flipped bits have made up.
  if (XXH3_64bits(envelope.packet().data(), envelope.packet().size()) != envelope.sum())
    return Refusal::corrupt;
  wire::Packet packet;
  if (!packet.ParseFromString(envelope.packet())) return Refusal::malformed;
  if (packet.cluster() != cluster) return Refusal::other_cluster;
  Message message;
  if (packet.kind() >= kKinds || !(packet.to().empty() || good_name(packet.to())) ||
      !read(packet.from(), message.from) || !(packet.target().empty() || good_name(packet.target())) ||
      !(packet.target_address().empty() || good_address(packet.target_address())))
    return Refusal::bad_field;
  message.kind = static_cast<Kind>(packet.kind());
  if (message.kind == Kind::ask && (packet.target().empty() || packet.target_address().empty()))
    return Refusal::bad_field;
  message.number = packet.number();
  message.to = packet.to();
  message.digest = packet.digest();
  message.target = packet.target();
  message.target_address = packet.target_address();
  message.counts = packet.counts();
  message.names = packet.names();
  message.sure = packet.sure();
  if ((message.kind == Kind::carry) == packet.payload().empty()) return Refusal::bad_field;
  message.payload = packet.payload();
  message.news.resize(static_cast<std::size_t>(packet.news_size()));
  for (int i = 0; i < packet.news_size(); ++i) {
    if (!read(packet.news(i), message.news[static_cast<std::size_t>(i)])) return Refusal::bad_field;
  }
  return message;
}

}  // namespace dahliahall::peers
