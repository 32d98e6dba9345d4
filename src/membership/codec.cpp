// SPDX-License-Identifier: MIT
#include "membership/codec.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>

#include "membership.pb.h"

namespace edge_proxy::membership {
namespace {

constexpr std::uint32_t kVersion = 1;
constexpr std::uint32_t kMostZones = 4096;
constexpr std::size_t kFixed = 72;  // bytes of an item's tags, lengths and numbers, at most

void write(const MemberUpdate& news, pb::Member& out) {
  out.set_name(news.name);
  out.set_address(news.address);
  out.set_disk(news.disk_id);
  out.set_incarnation(news.incarnation);
  out.set_zone(static_cast<std::uint32_t>(news.zone));
  out.set_state(static_cast<std::uint32_t>(news.status));
  out.set_by(news.reported_by);
}

bool read(const pb::Member& in, MemberUpdate& out) {
  if (!is_valid_name(in.name()) || !is_valid_address(in.address()) || in.zone() >= kMostZones ||
      in.state() >= kMemberStatusCount || !(in.by().empty() || is_valid_name(in.by())))
    return false;
  out = {in.name(),
         in.address(),
         in.disk(),
         in.incarnation(),
         static_cast<int>(in.zone()),
         static_cast<MemberStatus>(in.state()),
         in.by()};
  return true;
}

}  // namespace

std::string_view name_of(MemberStatus state) {
  static constexpr std::array<std::string_view, kMemberStatusCount> names{"alive", "suspect",   "dead",
                                                                          "left",  "forgotten", "disputed"};
  return names[static_cast<std::size_t>(state)];
}

std::string_view name_of(DecodeError reason) {
  static constexpr std::array<std::string_view, kDecodeErrorCount> names{
      "malformed", "oversized", "corrupt", "other_cluster", "other_version", "bad_field"};
  return names[static_cast<std::size_t>(reason)];
}

bool is_valid_name(std::string_view name) {
  return !name.empty() && name.size() <= kMaxNameBytes && std::all_of(name.begin(), name.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '_' || c == '.';
  });
}

bool is_valid_address(std::string_view address) {
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

std::size_t encoded_size(const MemberUpdate& news) {
  return kFixed + news.name.size() + news.address.size() + news.reported_by.size();
}

std::size_t header_size(const Message& message, const std::string& cluster) {
  return 2 * kFixed + cluster.size() + message.to.size() + encoded_size(message.from) +
         message.target.size() + message.target_address.size() + message.payload.size();
}

std::string encode(const Message& message, const std::string& cluster) {
  pb::Packet packet;
  packet.set_cluster(cluster);
  packet.set_kind(static_cast<std::uint32_t>(message.kind));
  packet.set_number(message.sequence);
  packet.set_to(message.to);
  write(message.from, *packet.mutable_from());
  packet.set_digest(message.digest);
  packet.set_target(message.target);
  packet.set_target_address(message.target_address);
  for (const MemberUpdate& news : message.updates) write(news, *packet.add_news());
  packet.set_counts(message.counted_disk);
  packet.set_names(message.member_names_hash);
  packet.set_sure(message.confirmed);
  packet.set_payload(message.payload);
  pb::Envelope envelope;
  envelope.set_version(kVersion);
  packet.SerializeToString(envelope.mutable_packet());
  envelope.set_sum(XXH3_64bits(envelope.packet().data(), envelope.packet().size()));
  return envelope.SerializeAsString();
}

std::variant<Message, DecodeError> decode(std::string_view bytes, const std::string& cluster,
                                          std::size_t most) {
  if (bytes.size() > most) return DecodeError::oversized;
  pb::Envelope envelope;
  if (!envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return DecodeError::malformed;
  // The version first: guards against reading another one's fields by this one's meaning.
  if (envelope.version() != kVersion)
    return envelope.version() == 0 ? DecodeError::malformed : DecodeError::wrong_version;
  // Guards the list of members against names that flipped bits have made up.
  if (XXH3_64bits(envelope.packet().data(), envelope.packet().size()) != envelope.sum())
    return DecodeError::checksum_mismatch;
  pb::Packet packet;
  if (!packet.ParseFromString(envelope.packet())) return DecodeError::malformed;
  if (packet.cluster() != cluster) return DecodeError::wrong_cluster;
  Message message;
  if (packet.kind() >= kMessageKindCount || !(packet.to().empty() || is_valid_name(packet.to())) ||
      !read(packet.from(), message.from) || !(packet.target().empty() || is_valid_name(packet.target())) ||
      !(packet.target_address().empty() || is_valid_address(packet.target_address())))
    return DecodeError::invalid_field;
  message.kind = static_cast<MessageKind>(packet.kind());
  if (message.kind == MessageKind::ping_req && (packet.target().empty() || packet.target_address().empty()))
    return DecodeError::invalid_field;
  message.sequence = packet.number();
  message.to = packet.to();
  message.digest = packet.digest();
  message.target = packet.target();
  message.target_address = packet.target_address();
  message.counted_disk = packet.counts();
  message.member_names_hash = packet.names();
  message.confirmed = packet.sure();
  if ((message.kind == MessageKind::user_message) == packet.payload().empty())
    return DecodeError::invalid_field;
  message.payload = packet.payload();
  message.updates.resize(static_cast<std::size_t>(packet.news_size()));
  for (int i = 0; i < packet.news_size(); ++i) {
    if (!read(packet.news(i), message.updates[static_cast<std::size_t>(i)]))
      return DecodeError::invalid_field;
  }
  return message;
}

}  // namespace edge_proxy::membership
