// SPDX-License-Identifier: MIT
/// @file
/// Cases 6 and 9: one client asks for 32 of the largest objects at once and reads its answers slowly.
#pragma once

#include "world-2.h"

namespace review {

struct SlowReader {
  int memory_mb;       ///< the limit of the edge proxy
  double bytes_per_s;  ///< the client reads no faster, unless TROUBLE=0
};

inline int play(const SlowReader& reader, int argc, char** argv) {
  if (argc != 3) cannot_run("usage: case ROOT RECORD");
  constexpr int kRequests = 32;              // as many as one connection carries
  constexpr std::size_t kObject = 240'000;   // the largest object
  constexpr int kReceiveBuffer = 64 * 1024;  // of the client's socket
  constexpr double kLimit = 30;              // seconds; all answers take under 10 s at 0.8 MB/s
  Record record(argv[2]);
  Loop loop;
  std::vector<std::string> ids{"up-1", "main"};
  for (int i = 1; i <= 8; ++i) ids.push_back("box-" + std::to_string(i));
  Members members(loop, record, ids,
                  [](const Served&) { return Members::hit(kObject, unix_us() / 1000 - 1000); });
  Bulletin bulletin(loop, record, members.all_json());
  Proxy proxy(record, argv[1]);
  ConfigValues values;
  values.bulletin = bulletin.port();
  values.known = bulletin.known_json();
  values.memory_mb = reader.memory_mb;
  proxy.start(values);
  wait_until_ready(loop, record, proxy);

  int served = 0, refused = 0, failed = 0;
  bool has_ended = false;
  Client client(
      loop, record, "client", proxy.port(), kReceiveBuffer,
      [&](int, Answered answer, std::size_t) {
        ++(answer == Answered::served ? served : answer == Answered::refused ? refused : failed);
      },
      [&](bool) { has_ended = true; });
  if (has_trouble()) client.stream().limit_reading(reader.bytes_per_s);
  for (int i = 0; i < kRequests; ++i) {
    client.request({{"verb", "video"},
                    {"txn", hex_id(0x9b1f03aa5c7e0000U + static_cast<unsigned>(i))},
                    {"limit", "5000"},
                    {"item", hex_id(0x7f3a9c21e0b4d600U + static_cast<unsigned>(i))},
                    {"piece", "1"},
                    {"lot", "17"},
                    {"ram", "900"}});
  }
  loop.run_until([&] { return has_ended || client.open().empty(); }, kLimit);
  proxy.record_log("kind=front");
  const int unanswered = static_cast<int>(client.open().size());
  // The client has begun to read one answer at most. That one may count as failed.
  const bool is_broken = has_ended && unanswered > 1;
  return verdict(record, is_broken,
                 "served " + std::to_string(served) + ", refused " + std::to_string(refused) + ", failed " +
                     std::to_string(failed) + "; " + std::to_string(unanswered) +
                     " requests without a whole answer" +
                     (has_ended ? " when the edge proxy ended the connection" : ""));
}

}  // namespace review
