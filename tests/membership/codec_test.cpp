// SPDX-License-Identifier: MIT
// Encoding of membership messages, and the validation of what is received.
#include "membership/codec.h"

#include <gtest/gtest.h>

namespace edge_proxy::test {
namespace {

using namespace membership;

Message example_message() {
  Message m;
  m.kind = MessageKind::ping_req;
  m.sequence = 77;
  m.to = "edge-2";
  m.from = {"edge-1", "127.0.0.1:7000", 0xfeedU, (3U << 20U) + 5, 1, MemberStatus::alive, {}};
  m.digest = 99;
  m.target = "edge-3";
  m.target_address = "10.1.2.3:80";
  m.updates = {{"edge-4", "10.1.2.4:80", 4, 9, 0, MemberStatus::suspect, "edge-1"}};
  m.counted_disk = 5;
  m.member_names_hash = 6;
  m.confirmed = true;
  return m;
}

DecodeError decode_error_of(std::string_view bytes, const std::string& cluster = "c",
                            std::size_t most = 1200) {
  const auto decoded = decode(bytes, cluster, most);
  EXPECT_TRUE(std::holds_alternative<DecodeError>(decoded));
  return std::holds_alternative<DecodeError>(decoded) ? std::get<DecodeError>(decoded)
                                                      : DecodeError::malformed;
}

TEST(MembershipCodec, AMessageComesBackAsItWas) {
  const Message m = example_message();
  const auto decoded = decode(encode(m, "c"), "c", 1200);
  ASSERT_TRUE(std::holds_alternative<Message>(decoded));
  const auto& back = std::get<Message>(decoded);
  EXPECT_EQ(back.kind, m.kind);
  EXPECT_EQ(back.sequence, m.sequence);
  EXPECT_EQ(back.to, m.to);
  EXPECT_EQ(back.from, m.from);
  EXPECT_EQ(back.updates, m.updates);
  EXPECT_EQ(std::tie(back.digest, back.target, back.target_address, back.counted_disk, back.member_names_hash,
                     back.confirmed),
            std::tie(m.digest, m.target, m.target_address, m.counted_disk, m.member_names_hash, m.confirmed));
}

TEST(MembershipCodec, NoFlippedBitAndNoTornMessageIsTakenForOne) {
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

TEST(MembershipCodec, StrangersAreRefusedByReason) {
  const std::string bytes = encode(example_message(), "c");
  EXPECT_EQ(decode_error_of(bytes, "another"), DecodeError::wrong_cluster);
  EXPECT_EQ(decode_error_of(bytes, "c", bytes.size() - 1), DecodeError::oversized);
  EXPECT_EQ(decode_error_of("GET / HTTP/1.1"), DecodeError::malformed);
  std::string next = bytes;
  next[1] = 2;  // the version: the first field
  EXPECT_EQ(decode_error_of(next), DecodeError::wrong_version);
}

TEST(MembershipCodec, EveryFieldIsChecked) {
  const auto refused = [](auto&& edit) {
    Message m = example_message();
    edit(m);
    return decode_error_of(encode(m, "c")) == DecodeError::invalid_field;
  };
  EXPECT_TRUE(refused([](Message& m) { m.from.name = "a b"; }));
  EXPECT_TRUE(refused([](Message& m) { m.from.name = std::string(kMaxNameBytes + 1, 'a'); }));
  EXPECT_TRUE(refused([](Message& m) { m.from.address = "localhost:80"; }));
  EXPECT_TRUE(refused([](Message& m) { m.from.address = "1.2.3.400:80"; }));
  EXPECT_TRUE(refused([](Message& m) { m.from.address = "1.2.3.4:0"; }));
  EXPECT_TRUE(refused([](Message& m) { m.from.zone = 1 << 20; }));
  EXPECT_TRUE(refused([](Message& m) { m.to = "\n"; }));
  EXPECT_TRUE(refused([](Message& m) { m.target.clear(); }));
  EXPECT_TRUE(
      refused([](Message& m) { m.updates[0].status = static_cast<MemberStatus>(kMemberStatusCount); }));
  EXPECT_TRUE(refused([](Message& m) { m.updates[0].reported_by = "?"; }));
  EXPECT_TRUE(refused([](Message& m) { m.kind = static_cast<MessageKind>(kMessageKindCount); }));
}

TEST(MembershipCodec, SizesAreReckonedNoSmallerThanTheyAre) {
  Message m = example_message();
  const std::size_t with = encode(m, "c").size();
  EXPECT_LE(with, header_size(m, "c") + encoded_size(m.updates[0]));
}

}  // namespace
}  // namespace edge_proxy::test
