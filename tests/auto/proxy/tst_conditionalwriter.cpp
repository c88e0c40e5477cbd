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
        aHook(Snapshot());
      }
    };
    hooks.mNow = [this] { return mNow; };
    return hooks;
  }

  TableSnapshot Snapshot() const
  {
    return { std::vector{ mRow }, 0, 0, {}, mRow.mIncarnation };
  }

  /** Lets the store return to a state in which the row has the given value and revision.
   * The writer learns of it only by the store's answers. */
  void Return(const std::string& aValue, std::uint64_t aRevision)
  {
    mRow.mIncarnation++;
    mRow.mValue = aValue;
    mRow.mRevision = aRevision;
  }

  /** Lets the writer learn of the store's incarnation. */
  void Announce() { mWriter.OnIncarnation(mRow.mIncarnation, mNow); }

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
    return Written{ mRow.mRevision, 0, mRow.mIncarnation };
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

/** A writer whose store has been in its third incarnation so far. */
struct ReturnFixture : WriterFixture
{
  ReturnFixture()
  {
    mRow.mIncarnation = 3;
    Announce();
  }

  [[nodiscard]] bool IsUnknown() const
  {
    const auto* failure = mResult ? std::get_if<StoreFailure>(&*mResult) : nullptr;
    return failure != nullptr && *failure == StoreFailure::NoAnswer;
  }
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

// Guards against a claim that is believed, or given up for good, although the store has
// returned to an older state: the row may be that of the claim by accident, and a late
// attempt may still be carried out.
TEST_CASE("a write that was sent before the store's return has an unknown outcome")
{
  struct Case
  {
    std::string mValue;
    std::uint64_t mRevision;
  };
  const auto example = GENERATE(Case{ "claim", 7 },
                                Case{ "claim", 5 },
                                Case{ "claim", 21 },
                                Case{ "older", 7 },
                                Case{ "older", 5 },
                                Case{ "claim of another", 21 });
  CAPTURE(example.mValue, example.mRevision);
  ReturnFixture fixture;
  fixture.Write("claim");

  SECTION("announced before the answer, which is then not used")
  {
    fixture.Return(example.mValue, example.mRevision);
    fixture.Announce();
    REQUIRE_FALSE(fixture.mResult);
    fixture.mWrites.at(0).second(StoreFailure::NoAnswer);
    REQUIRE_FALSE(fixture.mResult);
  }
  SECTION("after the store has accepted the write, whose answer is lost")
  {
    fixture.Apply(0);
    fixture.Return(example.mValue, example.mRevision);
    fixture.Announce();
  }
  SECTION("learnt by the answer to an attempt")
  {
    fixture.Return(example.mValue, example.mRevision);
    fixture.mWrites.at(0).second(Written{ 8, 0, fixture.mRow.mIncarnation });
    REQUIRE_FALSE(fixture.mResult);
  }
  SECTION("learnt by the read that follows a lost answer")
  {
    fixture.Return(example.mValue, example.mRevision);
    fixture.Advance(300ms);
  }
  SECTION("between two attempts")
  {
    fixture.Advance(300ms);
    REQUIRE(fixture.mWrites.size() == 2);
    fixture.Return(example.mValue, example.mRevision);
    fixture.Announce();
  }
  const std::size_t sent = fixture.mWrites.size();
  fixture.Advance(1ms);
  // The row was read back, and no further attempt was sent.
  REQUIRE(fixture.IsUnknown());
  REQUIRE(fixture.mReads > 0);
  fixture.Advance(5s);
  REQUIRE(fixture.mWrites.size() == sent);
  REQUIRE(fixture.mWriter.NextTimer() == TimePoint::max());
  // Late answers are ignored.
  for (auto& [write, answer] : fixture.mWrites) {
    answer(RowConflict{});
  }
}

// Guards against a conditional write that takes effect on another row's revision.
TEST_CASE("a write that expects a revision of an earlier incarnation is not sent")
{
  ReturnFixture fixture;
  StoredRow row = fixture.mRow;
  fixture.Return("older", 7);
  fixture.Announce();
  std::optional<WriteResult> result;
  fixture.mWriter.Write({ row }, [&](const WriteResult& aResult) { result = aResult; });
  // The caller isn't called back from within its call.
  REQUIRE_FALSE(result);
  fixture.Advance(1ms);
  REQUIRE(std::holds_alternative<RowConflict>(result.value()));
  REQUIRE(fixture.mWrites.empty());
  // A write in the new incarnation takes effect as ever.
  fixture.Write("claim");
  fixture.mWrites.at(0).second(fixture.Apply(0));
  REQUIRE(std::get<Written>(*fixture.mResult).mIncarnation == 4);
}

// Guards against a read of a state that the store has left again, which would end the
// write before the row was read back.
TEST_CASE("after two returns, the row is read in the newest incarnation")
{
  ReturnFixture fixture;
  fixture.mIsSilent = true;
  fixture.Write("claim");
  fixture.Return("older", 7);
  fixture.Announce();
  fixture.Advance(1ms);
  REQUIRE(fixture.mSilentReads.size() == 1);
  const TableSnapshot first = fixture.Snapshot();
  fixture.Return("oldest", 5);
  fixture.Announce();
  fixture.mSilentReads.at(0)(first);
  REQUIRE_FALSE(fixture.mResult);
  fixture.mIsSilent = false;
  fixture.Advance(1ms);
  REQUIRE(fixture.IsUnknown());
  REQUIRE(fixture.mWrites.size() == 1);
}

TEST_CASE("a write whose row can't be read back ends when its attempts have failed")
{
  ReturnFixture fixture;
  fixture.mIsSilent = true;
  fixture.Write("claim");
  fixture.Advance(300ms);
  fixture.Return("older", 7);
  fixture.Announce();
  fixture.mWrites.at(0).second(StoreFailure::NoAnswer);
  // This read was sent before the return.
  fixture.mSilentReads.at(0)(StoreFailure::NoAnswer);
  REQUIRE_FALSE(fixture.mResult);
  fixture.Advance(1ms);
  fixture.mSilentReads.at(1)(StoreFailure::NoAnswer);
  REQUIRE(fixture.IsUnknown());
}
