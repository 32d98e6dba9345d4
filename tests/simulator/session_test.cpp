// SPDX-License-Identifier: MIT
#include "simulator/session.h"

#include <gtest/gtest.h>

#include <sstream>
#include <string>

namespace edge_proxy::simulator {
namespace {

const std::string kEnlist =
    R"({"what":"enlist","proxy_id":3,"rng_seed":18446744073709551615,"env":{"az":1,"azs":["hub","edge"],)"
    R"("fleet_size":1,"unheard_of":[1,{"a":2}],"request_classes":[{"aim":400000,"deadline":2500000,)"
    R"("effect":"retryable","name":"pages"}],"specifics":{"origin_kind":1,"straight":true,"upper_kind":-1,)"
    R"("seats_by_zone":[0,1],"max_age":[12000000],"never_kept":[false],"stream_kb_per_s":1000},)"
    R"("bounds":{"attempts_cap":3,"cancelling":true,"second_copies":true},"tick":2000}})";
const std::string kRegister =
    R"({"what":"register","buffer":0,"nodes_list":[{"state":"Running","power_hint":1,"stripe":0,"locality":1,)"
    R"("came_up":null,"store":"cache:1","generation_hw":0},{"state":"Running","power_hint":1,"stripe":0,)"
    R"("locality":0,"came_up":null,"store":"origin:1","generation_hw":1}]})";
const std::string kRegistry = R"({"what":"registry","proxy_id":3,"buffer":0,"how":"cached","index":1})";
const std::string kRequest =
    R"({"what":"request","proxy_id":3,"handle":"h1","user_group":0,"batch_id":11,"lane":0,"kbytes":64,)"
    R"("expires":3000000,"chunk":3,"file":"91f03b7c55d20a64","update":false,"again_by_client":false})";
const std::string kClock = R"({"what":"clock","at_time":1000000})";
const std::string kEnd = R"({"what":"eob"})";

/// Returns the output of a session that reads these lines.
std::string reply(std::initializer_list<std::string> lines) {
  std::stringstream input, output;
  for (const std::string& line : lines) input << line << '\n';
  serve(input, output);
  return output.str();
}

/// Returns the text of the error that these lines cause; "none" if there is no error.
std::string problem(std::initializer_list<std::string> lines) {
  try {
    reply(lines);
  } catch (const WireError& error) {
    return error.what();
  }
  return "none";
}

TEST(SimulatorSession, EmptyBatchIsAnsweredWithDoneOnly) {
  EXPECT_EQ(reply({kClock, kEnd}), "{\"what\":\"done\"}\n");
}

TEST(SimulatorSession, RequestIsSentToTheCacheWithTheOriginAsSource) {
  const std::string output = reply({kClock, kEnlist, kRegister, kRegistry, kRequest, kEnd});
  EXPECT_NE(output.find("\"opts\":9"), std::string::npos)
      << output;  // join_fill (1) and stale_while_revalidate (8)
  EXPECT_NE(
      output.find(
          R"({"what":"answer_from","proxy_id":3,"handle":"h1","store":"cache:1","from_where":"origin:1")"),
      std::string::npos)
      << output;
  EXPECT_NE(output.find(R"("how_old":12000000)"), std::string::npos) << output;
  EXPECT_NE(output.find(R"("what":"wake_at")"), std::string::npos) << output;
}

TEST(SimulatorSession, RedefinedListNumberRefersToTheNewerList) {
  const std::string empty_list = R"({"what":"register","buffer":0,"nodes_list":[]})";
  const std::string output =
      reply({kClock, kEnlist, kRegister, kRegistry, empty_list, kRegistry, kRequest, kEnd});
  EXPECT_EQ(output.find("answer_from"), std::string::npos) << output;
  EXPECT_NE(output.find("bounce"), std::string::npos) << output;
}

TEST(SimulatorSession, DestroyAndEnlistInOneBatchCreateANewRouter) {
  const std::string output =
      reply({kClock, kEnlist, kRegister, kRegistry, kRequest, R"({"what":"destroy","proxy_id":3})", kEnlist,
             kRegistry, kRequest, kEnd});
  EXPECT_NE(output.find("answer_from"), output.rfind("answer_from"));
}

TEST(SimulatorSession, OutcomesTimersAndOtherEventsAreHandled) {
  const std::string output = reply(
      {kClock, kEnlist, kRegister, kRegistry, kRequest, kEnd, R"({"what":"clock","at_time":1100000})",
       R"({"what":"report_back","proxy_id":3,"handle":"h1","n":0,"store":"cache:1","outcome":"shed","rtt":500,)"
       R"("settled":false,"detail":null,"ttfb":null,"report":{"busy":0.5,"x0":0.7}})",
       R"({"what":"reminder","proxy_id":3,"label":1})",
       R"({"what":"invalidated","proxy_id":3,"file":null,"how_old":85000,"bucket":11})",
       R"({"what":"sampled","proxy_id":3,"store":"cache:1","outcome":"delivered","rtt":10,"report":null})",
       R"({"what":"message","proxy_id":3,"author":1,"msg":"hi"})",
       R"({"what":"withdrawn","proxy_id":3,"handle":"h1"})", kEnd});
  EXPECT_NE(output.find(R"("store":"origin:1")"), std::string::npos) << output;
}

TEST(SimulatorSession, ErrorCarriesLineAndKey) {
  try {
    reply({kClock, R"({"what":"register","buffer":0,"nodes_list":[{"store":5}]})"});
    FAIL() << "no error";
  } catch (const WireError& error) {
    EXPECT_EQ(error.line(), 2U);
    EXPECT_EQ(error.key(), "nodes_list[0].store");
    EXPECT_EQ(error.problem(), "should be a string");
  }
}

TEST(SimulatorSession, ListsAndRoutersPersistBetweenInputs) {
  std::stringstream output;
  SimulatorSession session(output);
  std::stringstream first(kClock + "\n" + kEnlist + "\n" + kRegister + "\n");
  session.run(first);
  std::stringstream second(kRegistry + "\n" + kRequest + "\n" + kEnd + "\n");
  session.run(second);
  EXPECT_EQ(output.str(), reply({kClock, kEnlist, kRegister, kRegistry, kRequest, kEnd}));
}

TEST(SimulatorSession, MalformedInputErrorNamesLineAndField) {
  EXPECT_NE(problem({kClock, "{malformed"}).find("line 2"), std::string::npos);
  EXPECT_EQ(problem({R"({"what":"clock","at_time":"soon"})"}),
            "line 1, field 'at_time': should be a whole number");
  EXPECT_EQ(problem({R"({"what":"clock"})"}), "line 1, field 'at_time': is missing");
  EXPECT_EQ(problem({R"({"what":"unsupported"})"}),
            "line 1, field 'what': has the unknown value 'unsupported'");
  EXPECT_EQ(problem({kClock, R"({"what":"reminder","proxy_id":9,"label":1})"}),
            "line 2, field 'proxy_id': names no running instance");
  EXPECT_EQ(problem({kClock, R"({"what":"register","buffer":0,"nodes_list":[{"store":"a","state":"Odd"}]})"}),
            "line 2, field 'nodes_list[0].state': has the unknown value 'Odd'");
  EXPECT_EQ(problem({kClock, kEnlist, kRegistry}), "line 3, field 'buffer': names no list");
}

}  // namespace
}  // namespace edge_proxy::simulator
