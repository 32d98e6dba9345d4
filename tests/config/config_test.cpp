// SPDX-License-Identifier: MIT
#include "config/config.h"

#include <gtest/gtest.h>

#include "support/scenario.h"

namespace edge_proxy::config {
namespace {

using test::config_text;

const std::map<std::string, std::string> kAddresses{{"edge", "10.0.0.4:9090"}, {"bulletin", "10.2.0.1:9092"}};

/// Returns the text of a valid configuration file in which the first `from` is replaced by `to`.
std::string changed(const std::string& from, const std::string& to) {
  std::string text = config_text({"box-1", "main"}, kAddresses);
  const std::size_t position = text.find(from);
  EXPECT_NE(position, std::string::npos) << from;
  return text.replace(position, from.size(), to);
}

/// Returns the text of the error that parsing `text` causes; "none" if there is no error.
std::string problem(const std::string& text, const std::map<std::string, std::string>& environment = {}) {
  try {
    static_cast<void>(parse(text, environment));
  } catch (const FieldError& error) {
    return error.what();
  }
  return "none";
}

TEST(Config, AllKeysAreRead) {
  const Config config = parse(config_text({"box-1", "main"}, kAddresses), {});
  EXPECT_EQ(config.name, "n1");
  EXPECT_EQ(config.listen_address, "10.0.0.4:9090");
  EXPECT_EQ(config.discovery_address, "10.2.0.1:9092");
  EXPECT_EQ(config.seed, 0x8c1f30d27a5be964U);
  EXPECT_EQ(config.max_descriptors, 256);
  EXPECT_EQ(config.requests_per_connection, 32);
  EXPECT_EQ(config.connect_timeout, std::chrono::milliseconds(400));
  EXPECT_EQ(config.settings.classes.size(), 3U);
  EXPECT_EQ(config.settings.classes[2].idempotency, Idempotency::with_key);
  EXPECT_EQ(config.last_known_event, 1);
  ASSERT_EQ(config.known_events.size(), 1U);
  EXPECT_EQ(config.known_events[0].endpoints->endpoints[1].endpoint.kind, config.settings.origin_kind);
}

TEST(Config, EnvironmentOverridesTheFile) {
  const Config config =
      parse(config_text({"main"}, kAddresses), {{"GW_NAME", "n9"}, {"GW_LISTEN", "10.0.0.5:1"}});
  EXPECT_EQ(config.name, "n9");
  EXPECT_EQ(config.listen_address, "10.0.0.5:1");
}

TEST(Config, AdminAddressAndOverridesPathAreOptional) {
  const std::string text = changed(R"("admin_addr":"admin:1",)", "");
  EXPECT_EQ(parse(text, {}).admin_address, "");
  EXPECT_EQ(parse(text, {}).overrides_path, "");
  const Config config =
      parse(text, {{"GW_ADMIN_ADDR", "10.0.0.4:9091"}, {"TMPDIR", "/t"}, {"GW_NAME", "../n3"}});
  EXPECT_EQ(config.admin_address, "10.0.0.4:9091");
  EXPECT_EQ(config.overrides_path, "/t/by-hand-___n3");
  EXPECT_EQ(problem(text, {{"GW_ADMIN_ADDR", "here"}}),
            "field 'GW_ADMIN_ADDR': should be host:port, not 'here'");
}

TEST(Config, LocalCacheRatesAreOptional) {
  EXPECT_EQ(parse(config_text({"main"}, kAddresses), {}).link_bytes_per_s, 200'000);
  const std::string text = changed(R"("flow_bytes_per_s":100000,)", "");
  EXPECT_EQ(parse(text, {}).flow_bytes_per_s, 0);
  EXPECT_EQ(problem(changed(R"("flow_bytes_per_s":100000)", R"("flow_bytes_per_s":-1)")),
            "field 'flow_bytes_per_s': should be 0 or more");
}

TEST(Config, AbsentKeysGetTheirDefaults) {
  const Config config = parse(changed(R"("conn_idle":30000000,"connect_timeout":400000,)", ""), {});
  EXPECT_EQ(config.connection_idle, std::chrono::seconds(30));
  EXPECT_EQ(config.connect_timeout, std::chrono::milliseconds(400));
}

TEST(Config, ErrorsNameTheKey) {
  EXPECT_EQ(problem(changed(R"("bulletin":"10.2.0.1:9092")", R"("bulletin":"10.2.0.1")")),
            "field 'bulletin': should be host:port, not '10.2.0.1'");
  EXPECT_EQ(problem(config_text({"main"}, kAddresses), {{"GW_LISTEN", "here:0"}}),
            "field 'GW_LISTEN': should be host:port, not 'here:0'");
  EXPECT_EQ(problem(changed(R"("sockets":256)", R"("sockets":5)")),
            "field 'limits.sockets': should be 64 or more");
  EXPECT_EQ(problem(changed(R"("multiplex":32)", R"("multiplex":0)")),
            "field 'settings.bounds.multiplex': should be 1 or more");
  EXPECT_EQ(problem(changed(R"("conn_idle":30000000)", R"("conn_idle":-1)")),
            "field 'settings.bounds.conn_idle': should be more than 0");
  EXPECT_EQ(problem(changed(R"("azs":["north","edge-1"])", R"("azs":["north",5])")),
            "field 'settings.azs': should hold strings");
  EXPECT_EQ(problem(changed(R"("phase":"active")", R"("phase":"asleep")")),
            "field 'known.items[0].roster.members[0].phase': has the unknown value 'asleep'");
  EXPECT_EQ(problem(changed(R"("seed":"8c1f30d27a5be964")", R"("seed":"x")")),
            "field 'seed': should be up to 16 hex digits");
  EXPECT_EQ(problem(changed(R"("weights":"nominal")", R"("weights":"heavy")")),
            "field 'settings.weights': has the unknown value 'heavy'");
  EXPECT_EQ(problem("{}"), "field 'name': is missing");
  EXPECT_NE(problem("{\"name\":").find("not JSON at byte 8"), std::string::npos);
}

TEST(Config, InvalidSettingsNameTheKey) {
  const std::vector<std::tuple<const char*, const char*, const char*>> cases{
      {R"("deadline":2500000)", R"("deadline":0)", "request_classes[1].deadline': should be more than 0"},
      {R"("aim":250000)", R"("aim":-1)", "request_classes[1].aim': should be 0 or more"},
      {R"("name":"pages")", R"("name":"video")", "request_classes[1].name': stands twice: 'video'"},
      {R"("name":"pages")", R"("title":"pages")", "request_classes[1].name': is missing"},
      {R"("effect":"dedup")", R"("effect":"dedupe")",
       "request_classes[2].effect': has the unknown value 'dedupe'"},
      {R"("az":1)", R"("az":2)", "az': is no place in azs"},
      {R"("fleet_size":1)", R"("fleet_size":0)", "fleet_size': should be 1 or more"},
      {R"("drain_grace":1000000)", R"("drain_grace":-1)", "rules.drain_grace': should be 0 or more"},
      {R"("drain_grace":1000000)", R"("drain_grace":"soon")", "rules.drain_grace': should be a whole number"},
      {R"("cold_share":0.18)", R"("cold_share":18)", "rules.cold_share': should be from 0 to 1"},
      {R"("attempts_cap":8)", R"("attempts_cap":0)", "bounds.attempts_cap': should be 1 or more"},
      {R"("upper_kind":1)", R"("upper_kind":2)", "specifics.upper_kind': is the same as origin_kind"},
      {R"("origin_kind":2)", R"("origin_kind":3)", "specifics.origin_kind': is no place in kinds"},
      {R"("purge_slack":300000)", R"("purge_slack":-5)", "specifics.purge_slack': should be 0 or more"},
  };
  for (const auto& [from, to, expected_error] : cases)
    EXPECT_EQ(problem(changed(from, to)), std::string("field 'settings.") + expected_error) << to;
}

TEST(Config, ErrorCarriesKeyAndProblem) {
  try {
    static_cast<void>(parse(changed(R"("multiplex":32)", R"("multiplex":0)"), {}));
    FAIL() << "no error";
  } catch (const FieldError& error) {
    EXPECT_EQ(error.line(), 0U);
    EXPECT_EQ(error.key(), "settings.bounds.multiplex");
    EXPECT_EQ(error.problem(), "should be 1 or more");
  }
}

TEST(Config, MissingFileIsNamedInTheError) {
  try {
    static_cast<void>(load({{"GW_CONFIG", "/nowhere/at/all.json"}}));
    FAIL() << "no error";
  } catch (const FieldError& error) {
    EXPECT_STREQ(error.what(), "field 'GW_CONFIG': can't read '/nowhere/at/all.json'");
  }
  EXPECT_THROW(static_cast<void>(load({})), FieldError);
}

}  // namespace
}  // namespace edge_proxy::config
