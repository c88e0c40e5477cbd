// Tests of the customers in the operator's configuration, also with entries that can't be
// read, and of the messages about tokens between instances.

#include "forwarding/forwardcodec.h"
#include "forwarding/tokencodec.h"
#include "platform/entrydecoder.h"
#include "proxy/customers/sessionaccess.h"

#include <catch2/catch.hpp>

using namespace papayaspindle;
using namespace papayaspindle::platform;
using namespace std::chrono_literals;

namespace {

const std::string kGood =
  R"({"name":"good","apiKeys":["good-key","second"],"ratePerS":10,"burst":4,"priority":2})";

/** @return a configuration with the given entries, separated by commas */
std::string
Row(const std::string& aTenants)
{
  return R"({"version":7,"routes":[{"name":"r","host":"db","backend":"g"},
    {"name":"s","host":"open","backend":"g","public":true}],"backends":[{"name":"g"}],
    "tenants":[)" +
         aTenants + "]}";
}

struct Skipped
{
  std::string mList;
  std::string mName;
};

/** @return the decoded configuration; fails the test if there is none */
proxy::ProxyConfiguration
Decode(const std::string& aTenants, std::vector<Skipped>* aSkipped = nullptr)
{
  const auto configuration = DecodeConfiguration(
    Row(aTenants), [&](std::string_view aList, std::string_view aName) {
      if (aSkipped != nullptr) {
        aSkipped->push_back({ std::string(aList), std::string(aName) });
      }
    });
  REQUIRE(configuration);
  return *configuration;
}

} // namespace

TEST_CASE("customers are decoded with their keys, limits and priorities")
{
  const auto configuration = Decode(kGood + R"(,{"name":"free","apiKeys":["free-key"]})");
  const proxy::CustomerTable& customers = configuration.mCustomers;
  REQUIRE(customers.size() == 2);
  const proxy::Customer* good = customers.Find(proxy::DigestOf("second"));
  REQUIRE(good != nullptr);
  REQUIRE(good->mName == "good");
  REQUIRE(good->mLimit == RateLimit{ 10, 4 });
  REQUIRE(good->mPriority == 2);
  REQUIRE_FALSE(customers.Find(proxy::DigestOf("free-key"))->mLimit);
  REQUIRE(configuration.mRoutes.at("open").mIsPublic);
  REQUIRE_FALSE(configuration.mRoutes.at("db").mIsPublic);
}

// Guards against an unlimited customer whose limit is zero.
TEST_CASE("a limit of zero is a limit")
{
  const auto configuration = Decode(R"({"name":"a","apiKeys":["k"],"ratePerS":0})");
  REQUIRE(configuration.mCustomers.FindByName("a")->mLimit == RateLimit{ 0, 0 });
}

// Guards against an error of the operator in one entry that locks out all customers.
TEST_CASE("an unreadable entry affects that customer only")
{
  const std::string bad =
    GENERATE(as<std::string>(),
             R"({"apiKeys":["bad-key"],"ratePerS":1})",
             R"({"name":"","apiKeys":["bad-key"]})",
             R"({"name":"two words","apiKeys":["bad-key"]})",
             R"({"name":"line\nbreak","apiKeys":["bad-key"]})",
             R"({"name":7,"apiKeys":["bad-key"]})",
             R"({"name":"b","apiKeys":["bad-key"],"ratePerS":-1})",
             R"({"name":"b","apiKeys":["bad-key"],"ratePerS":1e300})",
             R"({"name":"b","apiKeys":["bad-key"],"burst":-1})",
             R"("bad-key")",
             "17",
             "null",
             R"(["bad-key"])");
  const bool isFirst = GENERATE(true, false);
  INFO(bad);
  std::vector<Skipped> skipped;
  const auto configuration =
    Decode(isFirst ? bad + "," + kGood : kGood + "," + bad, &skipped);
  REQUIRE(configuration.mCustomers.size() == 1);
  REQUIRE(configuration.mCustomers.Find(proxy::DigestOf("good-key")) != nullptr);
  REQUIRE(configuration.mCustomers.Find(proxy::DigestOf("bad-key")) == nullptr);
  REQUIRE(configuration.mRoutes.size() == 2);
  REQUIRE(skipped.size() == 1);
  REQUIRE(skipped[0].mList == "tenants");
  // Guards against a key in the log line about the entry.
  REQUIRE(skipped[0].mName.find("key") == std::string::npos);
}

// Guards against a customer without a limit because its limit has a wrong type.
TEST_CASE("a customer whose limit can't be read is skipped")
{
  const std::string rate = GENERATE(as<std::string>(), R"("10")", "[10]", "{}", "true");
  INFO(rate);
  const auto configuration =
    Decode(R"({"name":"a","apiKeys":["k"],"ratePerS":)" + rate + "}," + kGood);
  const proxy::Customer* customer = configuration.mCustomers.FindByName("a");
  REQUIRE((customer == nullptr || customer->mLimit));
  REQUIRE(configuration.mCustomers.Find(proxy::DigestOf("good-key")) != nullptr);
}

// Guards against keys that are no texts: only these are skipped.
TEST_CASE("a key that is no text doesn't affect the customer's other keys")
{
  const auto configuration =
    Decode(R"({"name":"a","apiKeys":["k1",17,null,["k9"],"k2"]},)" + kGood);
  REQUIRE(configuration.mCustomers.Find(proxy::DigestOf("k1"))->mName == "a");
  REQUIRE(configuration.mCustomers.Find(proxy::DigestOf("k2"))->mName == "a");
  REQUIRE(configuration.mCustomers.Find(proxy::DigestOf("k9")) == nullptr);
  REQUIRE(configuration.mCustomers.KeyCount() == 4);
}

TEST_CASE("a key of two customers stays with the first in the list")
{
  const auto configuration =
    Decode(kGood + R"(,{"name":"thief","apiKeys":["good-key","own"],"ratePerS":1})");
  REQUIRE(configuration.mCustomers.Find(proxy::DigestOf("good-key"))->mName == "good");
  REQUIRE(configuration.mCustomers.Find(proxy::DigestOf("own"))->mName == "thief");
}

// Guards against open access when the list of customers can't be read at all.
TEST_CASE("a list of customers that is no list gives no customers")
{
  const auto configuration = DecodeConfiguration(
    R"({"version":7,"routes":[{"name":"r","host":"db","backend":"g"}],"backends":[],
      "tenants":{"name":"a"}})");
  REQUIRE(configuration);
  REQUIRE(configuration->mCustomers.empty());
  REQUIRE(proxy::CheckAccess(*configuration, "db", std::nullopt, proxy::KeyPolicy::Always)
            .mDecision == proxy::AccessDecision::NotAuthorized);
}

TEST_CASE("requests for tokens and grants are read as they were written")
{
  const auto request = DecodeTokenRequest(EncodeTokenRequest({ "acme", 17 }));
  REQUIRE(request);
  REQUIRE(request->mCustomer == "acme");
  REQUIRE(request->mCount == 17);
  const auto grant = DecodeTokenGrant(EncodeTokenGrant({ 5, 1234us }));
  REQUIRE(grant);
  REQUIRE(grant->mGranted == 5);
  REQUIRE(grant->mWait == 1234us);
}

// Guards against a wait of zero for a wait below a microsecond, and against overflows.
TEST_CASE("the wait in a grant is rounded up and bounded")
{
  REQUIRE(DecodeTokenGrant(EncodeTokenGrant({ 0, 1ns }))->mWait == 1us);
  REQUIRE(DecodeTokenGrant(EncodeTokenGrant({ 0, -5s }))->mWait == 0us);
  REQUIRE(DecodeTokenGrant(EncodeTokenGrant({ 0, 24h }))->mWait == 30s);
}

// Guards against foreign messages that would grant millions of tokens.
TEST_CASE("messages out of range are not accepted")
{
  REQUIRE_FALSE(DecodeTokenRequest(EncodeTokenRequest({ "", 1 })));
  REQUIRE_FALSE(DecodeTokenRequest(EncodeTokenRequest({ "acme", 100'001 })));
  REQUIRE_FALSE(DecodeTokenGrant(EncodeTokenGrant({ 100'001, {} })));
  REQUIRE_FALSE(DecodeTokenRequest("\xff\xff\xff"));
  REQUIRE_FALSE(DecodeTokenGrant("\xff\xff\xff"));
}

// Guards against keys in messages between instances.
TEST_CASE("a forwarded statement carries the customer, the digest and the version")
{
  proxy::ForwardedStatement statement;
  statement.mSession = 7;
  statement.mCustomer = "acme";
  statement.mKey = proxy::DigestOf("secret-key");
  statement.mKeyVersion = 12;
  statement.mRoute.mDatabase = "db";
  statement.mRoute.mGroup = "g";
  statement.mStatement.mKind = proxy::StatementKind::Read;
  statement.mStatement.mId = "id";
  const std::string bytes = EncodeForwardedStatement(statement);
  REQUIRE(bytes.find("secret-key") == std::string::npos);
  const auto decoded = DecodeForwardedStatement(bytes);
  REQUIRE(decoded);
  REQUIRE(decoded->mCustomer == "acme");
  REQUIRE(decoded->mKey == proxy::DigestOf("secret-key"));
  REQUIRE(decoded->mKeyVersion == 12);
}
