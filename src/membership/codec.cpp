// SPDX-License-Identifier: MIT
#include "membership/codec.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

#include "membership.pb.h"

namespace edge_proxy::membership {
namespace {

constexpr std::uint32_t kProtocolVersion = 1;
constexpr std::uint32_t kMaxZones = 4096;
/// Upper bound on the tags, lengths and numeric fields of one encoded update.
constexpr std::size_t kUpdateOverheadBytes = 72;
constexpr int kMaxOctet = 255;
constexpr int kMaxPort = 65535;

std::uint64_t checksum_of(const std::string& payload) { return XXH3_64bits(payload.data(), payload.size()); }

bool is_empty_or_valid_name(std::string_view name) { return name.empty() || is_valid_name(name); }
bool is_empty_or_valid_address(std::string_view address) {
  return address.empty() || is_valid_address(address);
}

void write(const MemberUpdate& update, pb::MemberUpdate& encoded) {
  encoded.set_name(update.name);
  encoded.set_address(update.address);
  encoded.set_disk_id(update.disk_id);
  encoded.set_incarnation(update.incarnation);
  encoded.set_zone(static_cast<std::uint32_t>(update.zone));
  encoded.set_status(static_cast<std::uint32_t>(update.status));
  encoded.set_reported_by(update.reported_by);
}

bool is_valid(const pb::MemberUpdate& update) {
  return is_valid_name(update.name()) && is_valid_address(update.address()) && update.zone() < kMaxZones &&
         update.status() < kMemberStatusCount && is_empty_or_valid_name(update.reported_by());
}

MemberUpdate read(const pb::MemberUpdate& encoded) {
  return {.name = encoded.name(),
          .address = encoded.address(),
          .disk_id = encoded.disk_id(),
          .incarnation = encoded.incarnation(),
          .zone = static_cast<int>(encoded.zone()),
          .status = static_cast<MemberStatus>(encoded.status()),
          .reported_by = encoded.reported_by()};
}

bool is_valid(const pb::Message& message) {
  if (message.kind() >= kMessageKindCount || !is_empty_or_valid_name(message.to()) ||
      !is_valid(message.from()) || !is_empty_or_valid_name(message.target()) ||
      !is_empty_or_valid_address(message.target_address())) {
    return false;
  }
  const auto kind = static_cast<MessageKind>(message.kind());
  const bool has_target = !message.target().empty() && !message.target_address().empty();
  if (kind == MessageKind::ping_req && !has_target) return false;
  if ((kind == MessageKind::user_message) == message.user_payload().empty()) return false;
  return std::all_of(message.updates().begin(), message.updates().end(),
                     [](const pb::MemberUpdate& update) { return is_valid(update); });
}

Message read(const pb::Message& encoded) {
  Message message;
  message.kind = static_cast<MessageKind>(encoded.kind());
  message.sequence = encoded.sequence();
  message.to = encoded.to();
  message.from = read(encoded.from());
  message.digest = encoded.digest();
  message.target = encoded.target();
  message.target_address = encoded.target_address();
  message.counted_disk = encoded.counted_disk();
  message.member_names_hash = encoded.member_names_hash();
  message.confirmed = encoded.confirmed();
  message.payload = encoded.user_payload();
  message.updates.reserve(static_cast<std::size_t>(encoded.updates_size()));
  for (const pb::MemberUpdate& update : encoded.updates()) message.updates.push_back(read(update));
  return message;
}

/// Removes a number from 0 to `max` from the front of `text` and returns it.
std::optional<int> take_number(std::string_view& text, int max) {
  int value = -1;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || value < 0 || value > max) return std::nullopt;
  text.remove_prefix(static_cast<std::size_t>(end - text.data()));
  return value;
}

bool take_char(std::string_view& text, char expected) {
  if (text.empty() || text.front() != expected) return false;
  text.remove_prefix(1);
  return true;
}

}  // namespace

std::string_view name_of(MemberStatus status) {
  static constexpr std::array<std::string_view, kMemberStatusCount> kNames{"alive", "suspect",   "dead",
                                                                           "left",  "forgotten", "disputed"};
  return kNames[static_cast<std::size_t>(status)];
}

std::string_view name_of(DecodeError error) {
  static constexpr std::array<std::string_view, kDecodeErrorCount> kNames{
      "malformed", "oversized", "corrupt", "other_cluster", "other_version", "bad_field"};
  return kNames[static_cast<std::size_t>(error)];
}

bool is_valid_name(std::string_view name) {
  return !name.empty() && name.size() <= kMaxNameBytes && std::all_of(name.begin(), name.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '_' || c == '.';
  });
}

bool is_valid_address(std::string_view address) {
  for (const char separator : {'.', '.', '.', ':'}) {
    if (!take_number(address, kMaxOctet) || !take_char(address, separator)) return false;
  }
  const std::optional<int> port = take_number(address, kMaxPort);
  return port && *port > 0 && address.empty();
}

std::size_t encoded_size(const MemberUpdate& update) {
  return kUpdateOverheadBytes + update.name.size() + update.address.size() + update.reported_by.size();
}

std::size_t header_size(const Message& message, const std::string& cluster) {
  return 2 * kUpdateOverheadBytes + cluster.size() + message.to.size() + encoded_size(message.from) +
         message.target.size() + message.target_address.size() + message.payload.size();
}

std::string encode(const Message& message, const std::string& cluster) {
  pb::Message encoded;
  encoded.set_cluster(cluster);
  encoded.set_kind(static_cast<std::uint32_t>(message.kind));
  encoded.set_sequence(message.sequence);
  encoded.set_to(message.to);
  write(message.from, *encoded.mutable_from());
  encoded.set_digest(message.digest);
  encoded.set_target(message.target);
  encoded.set_target_address(message.target_address);
  for (const MemberUpdate& update : message.updates) write(update, *encoded.add_updates());
  encoded.set_counted_disk(message.counted_disk);
  encoded.set_member_names_hash(message.member_names_hash);
  encoded.set_confirmed(message.confirmed);
  encoded.set_user_payload(message.payload);
  pb::Envelope envelope;
  envelope.set_version(kProtocolVersion);
  encoded.SerializeToString(envelope.mutable_payload());
  envelope.set_checksum(checksum_of(envelope.payload()));
  return envelope.SerializeAsString();
}

std::variant<Message, DecodeError> decode(std::string_view bytes, const std::string& cluster,
                                          std::size_t max_bytes) {
  if (bytes.size() > max_bytes) return DecodeError::oversized;
  pb::Envelope envelope;
  if (!envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return DecodeError::malformed;
  // The version is checked first, since other versions may define the fields differently.
  if (envelope.version() == 0) return DecodeError::malformed;
  if (envelope.version() != kProtocolVersion) return DecodeError::wrong_version;
  // Without the checksum, flipped bits could add members that do not exist.
  if (checksum_of(envelope.payload()) != envelope.checksum()) return DecodeError::checksum_mismatch;
  pb::Message message;
  if (!message.ParseFromString(envelope.payload())) return DecodeError::malformed;
  if (message.cluster() != cluster) return DecodeError::wrong_cluster;
  if (!is_valid(message)) return DecodeError::invalid_field;
  return read(message);
}

}  // namespace edge_proxy::membership
