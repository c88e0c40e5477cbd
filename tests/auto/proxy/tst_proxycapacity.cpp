// Tests that reads follow what was learned about the members of a group.

#include "corefixture.h"

#include <catch2/catch.hpp>

using namespace papayaspindle;
using namespace papayaspindle::proxy;

namespace {

/** Runs 40 reads one after another; r1 fails or answers as given, r2 takes 20 ms on
 * average.
 *
 * @return number of reads that were sent to r1 */
std::size_t
ReadsAtFirstReplica(std::optional<AnswerCode> aError,
                    Duration aTook,
                    const std::string& aReporter = "",
                    std::size_t* aReports = nullptr)
{
  CoreFixture fixture;
  fixture.OpenSession(1, "views");
  std::size_t count = 0;
  for (std::size_t i = 0; i < 40; i++) {
    if (!aReporter.empty()) {
      fixture.mCore.OnCapacityReport(
        { aReporter, "group", { { "r1", { 1, true, true } } } }, fixture.mNow);
    }
    fixture.OpenRequestedConnections();
    fixture.SampleByWrite({ 1, 10 });
    fixture.SendStatement(1, StatementKind::Read, "item");
    while (fixture.AnswerCount(1) == i) {
      const auto read = fixture.LastSent(CommandKind::Read);
      const bool isFirst = fixture.MemberOf(read) == "r1";
      count += isFirst ? 1 : 0;
      fixture.Advance(isFirst ? aTook : i % 2 == 0 ? Duration(10ms) : Duration(30ms));
      if (isFirst && aError) {
        fixture.ReplyError(read.mConnection, *aError);
      } else {
        fixture.ReplySuccess(read.mConnection, "sig");
      }
    }
  }
  if (aReports != nullptr) {
    *aReports = fixture.mReports.size();
  }
  return count;
}

} // namespace

// Guards against sending reads to a member because its failures look like speed. Without
// the cost of failures, the first replica gets one read in four here.
TEST_CASE("reads leave a member whose statements fail fast")
{
  REQUIRE(ReadsAtFirstReplica(AnswerCode::Failed, 1ms) <= 3);
}

// Guards against a rule that moves reads away from even members.
TEST_CASE("reads stay at a member that answers as fast as the other")
{
  REQUIRE(ReadsAtFirstReplica(std::nullopt, 20ms) >= 10);
}

// Guards against homes that all send reads to a member which runs few statements well.
TEST_CASE("reads leave a member that an earlier home has reported as uneven")
{
  std::size_t reports = 0;
  CHECK(ReadsAtFirstReplica(std::nullopt, 20ms, "a", &reports) == 0);
  CHECK(reports > 0);
  CHECK(ReadsAtFirstReplica(std::nullopt, 20ms, "z") >= 10);
}

// Guards against messages between the homes of groups whose members are even.
TEST_CASE("nothing is reported about members that answer equally fast")
{
  std::size_t reports = 0;
  ReadsAtFirstReplica(std::nullopt, 20ms, "", &reports);
  CHECK(reports == 0);
}

// Guards against a slow member that the other homes don't hear about.
TEST_CASE("a slow member is reported")
{
  std::size_t reports = 0;
  ReadsAtFirstReplica(std::nullopt, 200ms, "", &reports);
  CHECK(reports > 0);
}
