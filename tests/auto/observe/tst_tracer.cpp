#include "observe/metricregistry.h"
#include "observe/randomid.h"
#include "observe/tracecontext.h"
#include "observe/tracer.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace papayaspindle;

namespace {

constexpr std::string_view kParent =
  "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

} // namespace

// Guards against a malformed header that merges unrelated traces.
TEST_CASE("traceparent values are accepted according to W3C Trace Context", "[observe]")
{
  struct Case
  {
    std::string mValue;
    bool mValid;
  };
  const std::vector<Case> cases{
    { std::string(kParent), true },
    { "cc-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01-more", true },
    { "", false },
    { std::string(kParent) + "-more", false },
    { "ff-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01", false },
    { "00-00000000000000000000000000000000-b7ad6b7169203331-01", false },
    { "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01", false },
    { "00-0AF7651916CD43DD8448EB211C80319C-b7ad6b7169203331-01", false },
    { "00_0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01", false },
  };
  for (const Case& c : cases) {
    INFO(c.mValue);
    CHECK(ParseTraceparent(c.mValue).has_value() == c.mValid);
  }
  const auto context = ParseTraceparent(kParent);
  REQUIRE(context);
  CHECK(FormatTraceparent(*context) == kParent);
}

// Guards against spans of one call that are exported as several traces.
TEST_CASE("a child span has the trace id of its parent", "[observe]")
{
  MetricRegistry metrics;
  std::vector<std::string> lines;
  Tracer tracer(
    "entry-1", [&](std::string_view aLine) { lines.emplace_back(aLine); }, &metrics);
  std::string child;
  {
    Span span = tracer.Start("peer_forward", kParent);
    child = span.Traceparent();
    span.SetAttribute("peer", "entry \"2\"");
    span.SetError("no answer");
  }
  CHECK(child.substr(3, 32) == kParent.substr(3, 32));
  CHECK(child.substr(36, 16) != kParent.substr(36, 16));
  REQUIRE(lines.size() == 1);
  CHECK(lines[0].find(R"("parentSpanId":"b7ad6b7169203331")") != std::string::npos);
  CHECK(lines[0].find(R"("stringValue":"entry \"2\"")") != std::string::npos);
  CHECK(lines[0].find(R"("status":{"code":2,"message":"no answer"})") !=
        std::string::npos);
  CHECK(lines[0].find('\n') == std::string::npos);
  const auto values = metrics.Snapshot();
  REQUIRE(values.size() == 1);
  CHECK(values[0].mName == "span.peer_forward");
  CHECK(values[0].mCount == 1);
}

TEST_CASE("a moved span is exported once and a span without parent starts a trace",
          "[observe]")
{
  int exported = 0;
  Tracer tracer(
    "entry-1", [&](std::string_view) { ++exported; }, nullptr);
  {
    Span first = tracer.Start("fence", "not a context");
    CHECK(ParseTraceparent(first.Traceparent()));
    const Span second = std::move(first);
    CHECK(exported == 0);
  }
  CHECK(exported == 1);
}

TEST_CASE("random ids have the requested length and differ", "[observe]")
{
  CHECK(RandomHexId(16).size() == 32);
  CHECK(RandomHexId(3).size() == 6);
  CHECK(RandomHexId(8) != RandomHexId(8));
}
