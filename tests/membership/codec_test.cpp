// SPDX-License-Identifier: MIT
// Encoding of membership messages, and the validation of what is received.
#include "membership/codec.h"

#include <gtest/gtest.h>

namespace edge_proxy::test {
namespace {

using namespace membership;

Message example_message() {
  Message message;
  message.kind = MessageKind::ping_req;
  message.sequence = 77;
  message.to = "edge-2";
  message.from = {"edge-1", "127.0.0.1:7000", 0xfeedU, (3U << 20U) + 5, 1, MemberStatus::alive, {}};
  message.digest = 99;
  message.target = "edge-3";
  message.target_address = "10.1.2.3:80";
  message.updates = {{"edge-4", "10.1.2.4:80", 4, 9, 0, MemberStatus::suspect, "edge-1"}};
  message.counted_disk = 5;
  message.member_names_hash = 6;
  message.confirmed = true;
  return message;
}

DecodeError decode_error_of(std::string_view bytes, const std::string& cluster = "c",
                            std::size_t max_bytes = 1200) {
  const auto decoded = decode(bytes, cluster, max_bytes);
  EXPECT_TRUE(std::holds_alternative<DecodeError>(decoded));
  return std::holds_alternative<DecodeError>(decoded) ? std::get<DecodeError>(decoded)
                                                      : DecodeError::malformed;
}

TEST(MembershipCodec, DecodedMessageEqualsEncodedMessage) {
  const Message message = example_message();
  const auto decoded = decode(encode(message, "c"), "c", 1200);
  ASSERT_TRUE(std::holds_alternative<Message>(decoded));
  const auto& received = std::get<Message>(decoded);
  EXPECT_EQ(received.kind, message.kind);
  EXPECT_EQ(received.sequence, message.sequence);
  EXPECT_EQ(received.to, message.to);
  EXPECT_EQ(received.from, message.from);
  EXPECT_EQ(received.updates, message.updates);
  EXPECT_EQ(std::tie(received.digest, received.target, received.target_address, received.counted_disk,
                     received.member_names_hash, received.confirmed),
            std::tie(message.digest, message.target, message.target_address, message.counted_disk,
                     message.member_names_hash, message.confirmed));
}

TEST(MembershipCodec, RejectsFlippedBitsAndTruncatedMessages) {
  const std::string bytes = encode(example_message(), "c");
  for (std::size_t bit = 0; bit < bytes.size() * 8; ++bit) {
    std::string flipped = bytes;
    flipped[bit / 8] = static_cast<char>(flipped[bit / 8] ^ (1 << (bit % 8)));
    EXPECT_TRUE(std::holds_alternative<DecodeError>(decode(flipped, "c", 1200))) << bit;
  }
  for (std::size_t size = 0; size < bytes.size(); ++size)
    EXPECT_TRUE(
        std::holds_alternative<DecodeError>(decode(std::string_view(bytes).substr(0, size), "c", 1200)))
        << size;
}

TEST(MembershipCodec, ReportsTheReasonOfARejection) {
  const std::string bytes = encode(example_message(), "c");
  EXPECT_EQ(decode_error_of(bytes, "another"), DecodeError::wrong_cluster);
  EXPECT_EQ(decode_error_of(bytes, "c", bytes.size() - 1), DecodeError::oversized);
  EXPECT_EQ(decode_error_of("GET / HTTP/1.1"), DecodeError::malformed);
  std::string other_version = bytes;
  other_version[1] = 2;  // the version: the first field
  EXPECT_EQ(decode_error_of(other_version), DecodeError::wrong_version);
}

TEST(MembershipCodec, RejectsInvalidFields) {
  const auto is_rejected = [](auto&& edit) {
    Message message = example_message();
    edit(message);
    return decode_error_of(encode(message, "c")) == DecodeError::invalid_field;
  };
  EXPECT_TRUE(is_rejected([](Message& message) { message.from.name = "a b"; }));
  EXPECT_TRUE(is_rejected([](Message& message) { message.from.name = std::string(kMaxNameBytes + 1, 'a'); }));
  EXPECT_TRUE(is_rejected([](Message& message) { message.from.address = "localhost:80"; }));
  EXPECT_TRUE(is_rejected([](Message& message) { message.from.address = "1.2.3.400:80"; }));
  EXPECT_TRUE(is_rejected([](Message& message) { message.from.address = "1.2.3.4:0"; }));
  EXPECT_TRUE(is_rejected([](Message& message) { message.from.zone = 1 << 20; }));
  EXPECT_TRUE(is_rejected([](Message& message) { message.to = "\n"; }));
  EXPECT_TRUE(is_rejected([](Message& message) { message.target.clear(); }));
  EXPECT_TRUE(is_rejected(
      [](Message& message) { message.updates[0].status = static_cast<MemberStatus>(kMemberStatusCount); }));
  EXPECT_TRUE(is_rejected([](Message& message) { message.updates[0].reported_by = "?"; }));
  EXPECT_TRUE(
      is_rejected([](Message& message) { message.kind = static_cast<MessageKind>(kMessageKindCount); }));
}

TEST(MembershipCodec, SizeBoundsAreNotBelowTheEncodedSize) {
  Message message = example_message();
  const std::size_t encoded_bytes = encode(message, "c").size();
  EXPECT_LE(encoded_bytes, header_size(message, "c") + encoded_size(message.updates[0]));
}

}  // namespace
}  // namespace edge_proxy::test
