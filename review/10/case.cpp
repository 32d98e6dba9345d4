// SPDX-License-Identifier: MIT
// A client sends figures out of range for the time limit. None of its requests may be served.
#include "../world-2.h"

using namespace review;

int main(int argc, char** argv) {
  if (argc != 3) cannot_run("usage: case ROOT RECORD");
  // The first two are beyond every deadline. The second one, in microseconds, exceeds 64 bits by 5 s.
  const std::vector<std::string> out_of_range{"9000000000000000000", "18446744073714552"};
  Record record(argv[2]);
  Loop loop;
  Members members(loop, record, {"up-1", "main", "box-1", "box-2", "box-3", "box-4"},
                  [](const Served&) { return Members::hit(2000, unix_us() / 1000 - 1000); });
  Bulletin bulletin(loop, record, members.all_json());
  Proxy proxy(record, argv[1]);
  ConfigValues values;
  values.bulletin = bulletin.port();
  values.known = bulletin.known_json();
  proxy.start(values);
  wait_until_ready(loop, record, proxy);

  std::map<int, Answered> answers;
  Client client(
      loop, record, "client", proxy.port(), 0,
      [&answers](int number, Answered answer, std::size_t) { answers[number] = answer; }, [](bool) {});
  unsigned number = 0;
  const auto send = [&](const std::string& limit) {
    ++number;
    return client.request({{"verb", "video"},
                           {"txn", hex_id(0x9b1f03aa5c7e0000U + number)},
                           {"limit", limit},
                           {"item", hex_id(0x7f3a9c21e0b40000U + number)},
                           {"piece", "1"},
                           {"lot", "17"},
                           {"ram", "20"}});
  };
  const int usual = send("5000");
  std::vector<int> bad;
  for (const std::string& limit : out_of_range) bad.push_back(send(has_trouble() ? limit : "5000"));
  loop.run_for(4);
  if (!answers.contains(usual) || answers[usual] != Answered::served) cannot_run("nothing is served");
  int served = 0;
  for (const int request : bad) served += answers.contains(request) && answers[request] == Answered::served;
  return verdict(record, has_trouble() && served > 0,
                 std::to_string(served) + " of " + std::to_string(bad.size()) + " requests " +
                     (has_trouble() ? "with a time limit out of range" : "in range") + " were served");
}
