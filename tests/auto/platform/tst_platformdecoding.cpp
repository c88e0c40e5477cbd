// Tests of the decoders for settings, configuration and member entries, also with rows
// that other programs have written.

#include "platform/base64.h"
#include "platform/entrydecoder.h"
#include "platform/jsonfields.h"
#include "platform/settingsfile.h"
#include "platform/streamlimits.h"

#include <catch2/catch.hpp>

using namespace papayaspindle;
using namespace papayaspindle::platform;
using namespace std::chrono_literals;

namespace {

const std::string kSettings = R"({
  "node": "n1", "zone": "z1", "ip": "10.1.0.8", "something": {"new": 1},
  "listen": {"frontend": "10.1.0.8:1", "readiness": "10.1.0.8:2"},
  "internalPorts": [7440, 7455], "heartbeatMs": 1200,
  "limits": {"cpuShare": 0.25, "memoryMb": 260, "maxFds": 4300},
  "bounds": {"graceS": 6, "stabilityWindowMs": 5000},
  "platform": {"address": "10.200.1.7:8783"},
  "cloudApi": {"address": "10.200.0.160:8783"}
})";

const std::string kMember = R"({"backend":"g","address":"10.128.0.9:8080","zone":"z",
  "version":"v1","capacity":2,"state":"ready","warmupLeftMs":0,"dbRole":"primary",
  "seq":4,"born":1700000000000})";

std::string
Replaced(const std::string& aText, const std::string& aFrom, const std::string& aTo)
{
  std::string text = aText;
  text.replace(text.find(aFrom), aFrom.size(), aTo);
  return text;
}

} // namespace

TEST_CASE("settings are read and unknown fields are ignored")
{
  const auto settings = ParseSettings(kSettings);
  REQUIRE(IsOk(settings));
  REQUIRE(ValueOf(settings).mInstance == "n1");
  REQUIRE(ValueOf(settings).mMetricsAddress == "10.1.0.8:7440");
  REQUIRE(ValueOf(settings).mPeerAddress == "10.1.0.8:7441");
  REQUIRE(ValueOf(settings).mGrace == 6s);
  REQUIRE(ValueOf(settings).mStabilityWindow == 5s);
}

TEST_CASE("errors in the settings name the missing field or the file")
{
  REQUIRE_FALSE(IsOk(ParseSettings("not json")));
  const auto noZone = ParseSettings(Replaced(kSettings, "\"zone\"", "\"zome\""));
  REQUIRE_FALSE(IsOk(noZone));
  REQUIRE(ErrorOf(noZone).mMessage.find("zone") != std::string::npos);
  REQUIRE_FALSE(
    IsOk(ParseSettings(Replaced(kSettings, "\"graceS\": 6", "\"graceS\": -6"))));
  REQUIRE_FALSE(IsOk(ParseSettings(Replaced(kSettings, "\"n1\"", "17"))));
  const auto noFile = ReadSettings("/nonexistent/settings.json");
  REQUIRE_FALSE(IsOk(noFile));
  REQUIRE(ErrorOf(noFile).mMessage.find("/nonexistent/settings.json") !=
          std::string::npos);
}

// Guards against limits that take effect on platforms whose settings have none, and
// against an instance that starts with a limit which closes every client.
TEST_CASE("limits of clients have defaults and are checked")
{
  const auto absent = ParseSettings(kSettings);
  REQUIRE(IsOk(absent));
  REQUIRE(ValueOf(absent).mMemoryMb == 260);
  REQUIRE(AccountLimit(ValueOf(absent)) == 130U << 20U);
  REQUIRE(LimitsOf(ValueOf(absent)).mConnections == 3900);
  REQUIRE(ValueOf(absent).mClientLimits.mMessageTimeout == 60s);
  REQUIRE(ValueOf(absent).mClientLimits.mPeerMessageTimeout == 10s);
  REQUIRE(ValueOf(absent).mClientLimits.mUnreadAnswersBytes == 4194304);
  REQUIRE(ValueOf(absent).mClientLimits.mAnswer.mBytes == 4194304);
  REQUIRE(ValueOf(absent).mClientLimits.mAnswer.mRows == 131072);
  REQUIRE(ValueOf(absent).mClientLimits.mOperatorConnections == 50);
  REQUIRE(ValueOf(absent).mClientLimits.mStoreAnswerBytes == 8388608);
  const auto with = [](const std::string& aLimits) {
    return ParseSettings(
      Replaced(kSettings, "\"node\"", "\"clientLimits\": {" + aLimits + "}, \"node\""));
  };
  const auto changed = with(
    R"("memoryShare": 0.25, "connections": 50, "queuedStatements": 3, "queuedBytes": 10,
       "unreadBytes": 20, "sessionBytes": 30, "startTimeoutMs": 40, "messageTimeoutMs": 50,
       "answerTimeoutMs": 60, "linkTimeoutMs": 70, "peerMessageTimeoutMs": 80,
       "unreadAnswersBytes": 2097152, "answerBytes": 1048576, "answerRows": 90,
       "operatorConnections": 3, "storeAnswerBytes": 2000000)");
  REQUIRE(IsOk(changed));
  const ClientLimits limits = LimitsOf(ValueOf(changed));
  REQUIRE(AccountLimit(ValueOf(changed)) == 65U << 20U);
  REQUIRE(limits.mConnections == 50);
  REQUIRE(limits.mQueuedStatements == 3);
  REQUIRE(limits.mQueuedBytes == 10);
  REQUIRE(limits.mUnreadBytes == 20);
  REQUIRE(limits.mSessionBytes == 30);
  REQUIRE(limits.mStartTimeout == 40ms);
  REQUIRE(limits.mMessageTimeout == 50ms);
  REQUIRE(limits.mAnswerTimeout == 60ms);
  REQUIRE(limits.mLinkTimeout == 70ms);
  REQUIRE(limits.mPeerMessageTimeout == 80ms);
  REQUIRE(limits.mUnreadAnswersBytes == 2097152);
  REQUIRE(limits.mAnswer.mBytes == 1048576);
  REQUIRE(limits.mAnswer.mRows == 90);
  REQUIRE(limits.mOperatorConnections == 3);
  REQUIRE(limits.mStoreAnswerBytes == 2000000);
  // More connections than the descriptors allow are not accepted.
  REQUIRE(LimitsOf(ValueOf(with(R"("connections": 100000)"))).mConnections == 3900);
  for (const char* invalid : { R"("memoryShare": 0)",
                               R"("memoryShare": 1)",
                               R"("queuedStatements": 0)",
                               R"("sessionBytes": -1)",
                               R"("messageTimeoutMs": 0)",
                               R"("peerMessageTimeoutMs": 0)",
                               R"("unreadAnswersBytes": 2097151)",
                               R"("answerBytes": 1048575)",
                               R"("answerRows": 0)",
                               R"("operatorConnections": 1)",
                               R"("storeAnswerBytes": 1048575)",
                               R"("answerTimeoutMs": 1e15)" }) {
    INFO(invalid);
    const auto refused = with(invalid);
    REQUIRE_FALSE(IsOk(refused));
    REQUIRE(ErrorOf(refused).mMessage.find("clientLimits.") != std::string::npos);
  }
  REQUIRE_FALSE(
    IsOk(ParseSettings(Replaced(kSettings, "\"memoryMb\": 260", "\"memoryMb\": 0"))));
}

TEST_CASE("a configuration row is decoded into routes and groups")
{
  const auto configuration = DecodeConfiguration(R"({"version":7,"routes":[
    {"name":"r","host":"db","prefix":"/","routeType":"read_your_writes","timeoutMs":800,
     "targetLatencyMs":200,"priority":2,"backend":"g","attempts":2,"maxStalenessMs":2500}],
    "backends":[{"name":"g","maxConns":16,"syncReplicas":1}],"limits":{"txIdleMs":3500}})");
  REQUIRE(configuration);
  REQUIRE(configuration->mVersion == 7);
  const proxy::Route& route = configuration->mRoutes.at("db");
  REQUIRE(route.mConsistency == proxy::Consistency::ReadYourWrites);
  REQUIRE(route.mMaxStaleness == 2500ms);
  REQUIRE(route.mStatementTimeout == 800ms);
  REQUIRE(configuration->mGroups.at("g").mSynchronousReplicas == 1);
  REQUIRE(configuration->mTransactionIdleLimit == 3500ms);
  REQUIRE_FALSE(DecodeConfiguration("[]"));
  REQUIRE_FALSE(DecodeConfiguration(R"({"routes":[]})"));
}

TEST_CASE("a member row is decoded")
{
  const auto member = DecodeMember("i-1", kMember, 42);
  REQUIRE(member);
  REQUIRE(member->mRole == proxy::MemberRole::Primary);
  REQUIRE(member->mSlots == 2);
  REQUIRE(member->mStartedAtMs == 1700000000000U);
  REQUIRE(member->mSequence == 4);
  REQUIRE(member->mRevision == 42);
  REQUIRE_FALSE(member->mDraining);
}

// Guards against rows of other programs that are used as members.
TEST_CASE("member rows with missing, invalid or unknown fields are refused")
{
  const auto [from, to] = GENERATE(
    std::pair<const char*, const char*>{ "\"backend\":\"g\",", "" },
    std::pair<const char*, const char*>{ "\"capacity\":2", "\"capacity\":\"2\"" },
    std::pair<const char*, const char*>{ "\"capacity\":2", "\"capacity\":0" },
    std::pair<const char*, const char*>{ "\"state\":\"ready\"", "\"state\":\"resting\"" },
    std::pair<const char*, const char*>{ "\"dbRole\":\"primary\"",
                                         "\"dbRole\":\"king\"" },
    std::pair<const char*, const char*>{ "10.128.0.9:8080", "somewhere" },
    std::pair<const char*, const char*>{ "10.128.0.9:8080", "10.128.0.9:70000" },
    std::pair<const char*, const char*>{ "10.128.0.9:8080", "10.128.0.9:0" },
    std::pair<const char*, const char*>{ "10.128.0.9:8080", "10.128.0.9:-1" },
    std::pair<const char*, const char*>{ "10.128.0.9:8080", "10.128.0.9:http" },
    // The lookup of a host name would block the event loop.
    std::pair<const char*, const char*>{ "10.128.0.9:8080", "localhost:8080" },
    std::pair<const char*, const char*>{ "\"capacity\":2", "\"capacity\":4294967296" },
    std::pair<const char*, const char*>{ "\"capacity\":2", "\"capacity\":1e400" },
    std::pair<const char*, const char*>{ "\"capacity\":2",
                                         "\"capacity\":99999999999999999999999" },
    std::pair<const char*, const char*>{ "\"seq\":4", "\"seq\":1e999" },
    // A blank or a line end would become part of the line that is sent to a member.
    std::pair<const char*, const char*>{ "\"backend\":\"g\"",
                                         "\"backend\":\"g\\r\\nTERMINATE\"" },
    std::pair<const char*, const char*>{ "{", "\xff\xfe" });
  INFO(from << " -> " << to);
  REQUIRE_FALSE(DecodeMember("i-1", Replaced(kMember, from, to), 1));
}

// Guards against damaged rows that are accepted, and against padding errors.
TEST_CASE("encoded base64 is decoded to the same bytes and invalid text is refused")
{
  for (std::size_t length = 0; length < 8; length++) {
    std::string bytes(length, '\xfb');
    bytes += std::string(1, '\0');
    REQUIRE(DecodeBase64(EncodeBase64(bytes)) == bytes);
  }
  REQUIRE(EncodeBase64("node-1") == "bm9kZS0x");
  for (const auto& text : { "bm9kZS0", "bm9kZS0x!", "bm9*", "====", "b===" }) {
    CAPTURE(text);
    REQUIRE_FALSE(DecodeBase64(text));
  }
}

// Guards against truncated or mixed-up routes in a large configuration.
TEST_CASE("all 3000 routes of a large configuration are decoded")
{
  constexpr std::size_t kRoutes = 3000;
  std::string text = R"({"version":9,"routes":[)";
  for (std::size_t index = 0; index < kRoutes; index++) {
    text += index == 0 ? "" : ",";
    text += R"({"host":"db)" + std::to_string(index) +
            R"(","routeType":"bounded","timeoutMs":)" + std::to_string(100 + index) +
            R"(,"targetLatencyMs":400,"priority":2,"backend":"g)" +
            std::to_string(index % 8) + R"(","maxStalenessMs":1500})";
  }
  text += R"(],"backends":[{"name":"g0","maxConns":32}],"limits":{"txIdleMs":3000}})";
  const auto configuration = DecodeConfiguration(text);
  REQUIRE(configuration);
  REQUIRE(configuration->mRoutes.size() == kRoutes);
  REQUIRE(configuration->mRoutes.at("db2999").mStatementTimeout == 3099ms);
  REQUIRE(configuration->mRoutes.at("db2999").mGroup == "g7");
  REQUIRE(configuration->mTransactionIdleLimit == 3s);
}

TEST_CASE("a JSON field of another type is treated as missing")
{
  const JsonObject object = ParseObject(
    R"({"a":-1,"b":1.5,"c":true,"d":"7","e":{"f":1},"g":[1,-2,3],"h":[{"i":1},2]})");
  REQUIRE_FALSE(object.Count("a"));
  REQUIRE(object.Number("a") == -1.0);
  REQUIRE_FALSE(object.Count("b"));
  REQUIRE_FALSE(object.Count("c"));
  REQUIRE_FALSE(object.Number("c"));
  REQUIRE(object.Flag("c") == true);
  REQUIRE_FALSE(object.Count("d"));
  REQUIRE(object.Object("e").Count("f") == 1);
  REQUIRE(object.Object("a").IsNull());
  REQUIRE(object.Counts("g") == std::vector<std::uint64_t>{ 1, 3 });
  REQUIRE(object.Objects("h").size() == 1);
  REQUIRE(ParseObject("[1]").IsNull());
  REQUIRE(ParseObject("{\"a\":1").IsNull());
  REQUIRE(ParseObject("").IsNull());
  REQUIRE_FALSE(ParseObject("x").Text("a"));
}

// Guards against an entry that ends the process or hides all others.
TEST_CASE("a member row that is nested deeply is refused")
{
  constexpr std::size_t kDepth = 200'000;
  const std::string nested = std::string(kDepth, '[') + std::string(kDepth, ']');
  const std::string row = Replaced(kMember, "\"seq\":4", "\"seq\":" + nested);
  REQUIRE_FALSE(DecodeMember("i-1", row, 1));
  REQUIRE_FALSE(DecodeMember("i-1", std::string(kDepth, '{'), 1));
  REQUIRE_FALSE(DecodeMember("i-1\r\nTERMINATE", kMember, 1));
  REQUIRE(DecodeMember("i-1", kMember, 1));
}

TEST_CASE("a route or group that can't be read costs no other")
{
  const std::string good = R"({"host":"db1","backend":"g","timeoutMs":800})";
  const std::string odd = GENERATE(as<std::string>(),
                                   std::string(3000, '[') + std::string(3000, ']'),
                                   R"({"host":"x","backend":"g","timeoutMs":1e400})",
                                   R"({"host":"x","backend":"g","timeoutMs":1e300})",
                                   R"({"host":"x","backend":"g","timeoutMs":-5})",
                                   R"({"host":"x","backend":"g","maxStalenessMs":1e18})",
                                   R"({"host":"x","backend":"g","priority":4294967296})",
                                   R"({"host":"x","backend":"a b"})",
                                   "{\"host\":\"\xff\",\"backend\":\"g\"}",
                                   R"({"host":7,"backend":"g"})",
                                   "17");
  INFO(odd.substr(0, 80));
  std::size_t unreadable = 0;
  const auto configuration = DecodeConfiguration(
    R"({"version":7,"routes":[)" + odd + "," + good + "," + odd +
      R"(],"backends":[{"name":"g","maxConns":16},{"name":"h","maxConns":1e999},)" +
      R"({"name":"i","maxConns":18446744073709551615}],"limits":{"txIdleMs":3500}})",
    [&](std::string_view, std::string_view) { unreadable++; });
  REQUIRE(configuration);
  REQUIRE(configuration->mVersion == 7);
  REQUIRE(configuration->mRoutes.size() == 1);
  REQUIRE(configuration->mRoutes.at("db1").mStatementTimeout == 800ms);
  REQUIRE(configuration->mGroups.size() == 1);
  REQUIRE(configuration->mTransactionIdleLimit == 3500ms);
  REQUIRE(unreadable == 4);
}

TEST_CASE("an element that can't be read costs no other element of a response")
{
  const std::string deep = std::string(2000, '[') + std::string(2000, ']');
  const JsonObject body =
    ParseObjectByField(R"({"ver":12,"rows":[{"key":"a"},{"key":"b","x":)" + deep +
                       R"(},{"key":"c","ver":1e999},7,{"key":"d \" ] }"}],)" +
                       R"("nowMs":123456789012345678901234567890,"hasMore":true})");
  REQUIRE_FALSE(body.IsNull());
  REQUIRE(body.Count("ver") == 12);
  REQUIRE_FALSE(body.Count("nowMs"));
  REQUIRE(body.Flag("hasMore") == true);
  REQUIRE(body.Objects("rows").size() == 2);
  REQUIRE(body.Objects("rows")[1].Text("key") == "d \" ] }");
  REQUIRE(body.UnreadableObjects("rows") == 3);
  REQUIRE(ParseObjectByField(R"({"a":1e999)").IsNull());
  REQUIRE(ParseObjectByField(R"([1e999])").IsNull());
  REQUIRE(ParseObjectByField("{\"a\":\"\\").IsNull());
}
