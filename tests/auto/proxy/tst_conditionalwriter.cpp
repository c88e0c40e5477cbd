// Tests of conditional writes while the store loses answers, delays effects or is silent:
// a write takes effect once, its outcome is known early, and a wrong outcome is never
// reported.

#include "proxy/leadership/conditionalwriter.h"

#include <catch2/catch.hpp>

#include <optional>
#include <utility>
#include <vector>

using namespace papayaspindle;
using namespace papayaspindle::proxy;
using namespace std::chrono_literals;

namespace {

/** A store with one row, and a writer. Answers are delivered by the test. */
struct WriterFixture
{
  WriterFixture()
    : mWriter(Hooks())
  {
    mRow.mKey = "leadership/group";
    mRow.mRevision = 7;
  }

  ConditionalWriterHooks Hooks()
  {
    ConditionalWriterHooks hooks;
    hooks.mWrite = [this](const ConditionalWrite& aWrite,
                          std::function<void(const WriteResult&)> aHook) {
      mWrites.emplace_back(aWrite, std::move(aHook));
    };
    hooks.mRead = [this](TimePoint, std::function<void(const ReadResult&)> aHook) {
      mReads++;
      if (mIsSilent) {
        mSilentReads.push_back(std::move(aHook));
      } else {
        aHook(TableSnapshot{ std::vector{ mRow }, 0, 0 });
      }
    };
    hooks.mNow = [this] { return mNow; };
    return hooks;
  }

  void Write(const std::string& aValue)
  {
    StoredRow row = mRow;
    row.mValue = aValue;
    mWriter.Write({ row }, [this](const WriteResult& aResult) {
      REQUIRE_FALSE(mResult);
      mResult = aResult;
    });
  }

  /** Lets an attempt take effect if its condition holds. @return its result */
  WriteResult Apply(std::size_t aAttempt)
  {
    const StoredRow& row = mWrites.at(aAttempt).first.mRow;
    if (row.mRevision != mRow.mRevision) {
      return RowConflict{};
    }
    mEffects++;
    mRow.mValue = row.mValue;
    mRow.mRevision = 20 + mEffects;
    return Written{ mRow.mRevision, 0 };
  }

  void Advance(Duration aTime)
  {
    mNow += aTime;
    if (mNow >= mWriter.NextTimer()) {
      mWriter.OnTimer(mNow);
    }
  }

  TimePoint mNow{ std::chrono::hours(1) };
  StoredRow mRow;
  bool mIsSilent = false;
  std::vector<std::pair<ConditionalWrite, std::function<void(const WriteResult&)>>>
    mWrites;
  std::vector<std::function<void(const ReadResult&)>> mSilentReads;
  std::size_t mReads = 0;
  std::uint64_t mEffects = 0;
  std::optional<WriteResult> mResult;
  ConditionalWriter mWriter;
};

} // namespace

TEST_CASE("a write that is answered is neither read nor repeated")
{
  WriterFixture fixture;
  fixture.Write("claim");
  fixture.mWrites.at(0).second(fixture.Apply(0));
  REQUIRE(std::get<Written>(*fixture.mResult).mRevision == 21);
  fixture.Advance(5s);
  REQUIRE(fixture.mReads == 0);
  REQUIRE(fixture.mWrites.size() == 1);
  REQUIRE(fixture.mWriter.NextTimer() == TimePoint::max());
}

// Guards against a promotion that waits 1.5 s for the lost answer of a claim.
TEST_CASE("a write whose answer is lost is confirmed by a read")
{
  WriterFixture fixture;
  fixture.Write("claim");
  fixture.Apply(0);
  fixture.Advance(300ms);
  REQUIRE(std::get<Written>(*fixture.mResult).mRevision == 21);
  REQUIRE(fixture.mWrites.size() == 1);
  // The late failure of the call is ignored.
  fixture.mWrites.at(0).second(StoreFailure::NoAnswer);
  REQUIRE(fixture.mEffects == 1);
}

TEST_CASE("a write that was lost is repeated, and takes effect once")
{
  WriterFixture fixture;
  fixture.Write("claim");
  fixture.Advance(300ms);
  REQUIRE(fixture.mWrites.size() == 2);
  SECTION("by the second attempt")
  {
    fixture.mWrites.at(1).second(fixture.Apply(1));
    REQUIRE(std::holds_alternative<Written>(*fixture.mResult));
    REQUIRE(std::holds_alternative<RowConflict>(fixture.Apply(0)));
  }
  SECTION("by the first attempt, late")
  {
    fixture.Apply(0);
    fixture.mWrites.at(1).second(fixture.Apply(1));
    REQUIRE(std::get<Written>(*fixture.mResult).mRevision == 21);
  }
  REQUIRE(fixture.mEffects == 1);
}

TEST_CASE("a row that another instance has changed meanwhile is a conflict")
{
  WriterFixture fixture;
  fixture.Write("claim");
  fixture.mRow.mValue = "claim of another";
  fixture.mRow.mRevision = 9;
  fixture.Advance(300ms);
  REQUIRE(std::holds_alternative<RowConflict>(*fixture.mResult));
}

// Guards against suspicion reports and claims that wait for the timeout of a call that
// the store never received, although it serves again.
TEST_CASE("a write into a silent store is repeated as soon as the store answers")
{
  WriterFixture fixture;
  fixture.mIsSilent = true;
  fixture.Write("report");
  fixture.Advance(300ms);
  fixture.Advance(100ms);
  REQUIRE(fixture.mWrites.size() == 1);
  fixture.mIsSilent = false;
  fixture.mWriter.OnStoreAnswered(fixture.mNow);
  fixture.Advance(1ms);
  REQUIRE(fixture.mWrites.size() == 2);
  fixture.mWrites.at(1).second(fixture.Apply(1));
  REQUIRE(std::holds_alternative<Written>(*fixture.mResult));
}

TEST_CASE("a write whose attempts all fail has an unknown outcome")
{
  WriterFixture fixture;
  fixture.mIsSilent = true;
  fixture.Write("claim");
  fixture.Advance(300ms);
  fixture.mWrites.at(0).second(StoreFailure::NoAnswer);
  REQUIRE_FALSE(fixture.mResult);
  fixture.mSilentReads.at(0)(StoreFailure::NoAnswer);
  REQUIRE(std::get<StoreFailure>(*fixture.mResult) == StoreFailure::NoAnswer);
}
