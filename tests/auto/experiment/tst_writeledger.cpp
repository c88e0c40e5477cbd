#include "experiment/writeledger.h"

#include <catch2/catch.hpp>

using namespace papayaspindle;
using namespace papayaspindle::experiment;

namespace {

const GroupId kGroup("g");
const std::string kStatement = "ADD k v";

v1::LogEntry
Entry(std::uint64_t aIndex, const std::string& aId, const std::string& aStatement)
{
  v1::LogEntry entry;
  entry.mutable_position()->set_term(1);
  entry.mutable_position()->set_index(aIndex);
  entry.set_request_id(aId);
  entry.add_statements(aStatement);
  return entry;
}

} // namespace

// Guards against a checker that overlooks a lost, doubled or denied write.
TEST_CASE("each write is compared with the log", "[experiment]")
{
  struct Case
  {
    const char* mName;
    WriteOutcome mOutcome;
    std::vector<v1::LogEntry> mLog;
    std::uint64_t mLost;
    std::uint64_t mDoubled;
    std::uint64_t mRanAfterRefusal;
    std::uint64_t mAltered;
  };
  const v1::LogEntry entry = Entry(5, "id", kStatement);
  const v1::LogEntry again = Entry(6, "id", kStatement);
  const v1::LogEntry other = Entry(5, "id", "ADD k w");
  const v1::LogEntry stranger = Entry(5, "stranger", kStatement);
  constexpr auto kAcknowledged = WriteOutcome::Acknowledged;
  constexpr auto kWithoutEffect = WriteOutcome::WithoutEffect;
  constexpr auto kUnknown = WriteOutcome::Unknown;
  const std::vector<Case> cases = {
    { "once", kAcknowledged, { entry }, 0, 0, 0, 0 },
    { "lost", kAcknowledged, {}, 1, 0, 0, 0 },
    { "another's entry", kAcknowledged, { stranger }, 1, 0, 0, 0 },
    { "doubled", kAcknowledged, { entry, again }, 0, 1, 0, 0 },
    { "other statement", kAcknowledged, { other }, 0, 0, 0, 1 },
    { "other position", kAcknowledged, { again }, 0, 0, 0, 1 },
    { "refused", kWithoutEffect, {}, 0, 0, 0, 0 },
    { "refused but ran", kWithoutEffect, { entry }, 0, 0, 1, 0 },
    { "unknown, ran", kUnknown, { again }, 0, 0, 0, 0 },
    { "unknown, did not run", kUnknown, {}, 0, 0, 0, 0 },
    { "unknown, doubled", kUnknown, { entry, again }, 0, 1, 0, 0 },
  };
  for (const Case& one : cases) {
    CAPTURE(one.mName);
    WriteLedger ledger;
    ledger.Intend(RequestId("id"), kGroup, kStatement);
    if (one.mOutcome == kAcknowledged) {
      ledger.Acknowledge(RequestId("id"), { 1, 5 });
    } else if (one.mOutcome == kWithoutEffect) {
      ledger.SettleWithoutEffect(RequestId("id"));
    }
    const WriteVerdict verdict = ledger.Verify({ { kGroup, one.mLog } });
    CHECK(verdict.mLost == one.mLost);
    CHECK(verdict.mDoubled == one.mDoubled);
    CHECK(verdict.mRanAfterRefusal == one.mRanAfterRefusal);
    CHECK(verdict.mAltered == one.mAltered);
    CHECK(verdict.IsGood() == verdict.mExamples.empty());
    CHECK(verdict.mUnknown == (one.mOutcome == kUnknown ? 1 : 0));
  }
}
