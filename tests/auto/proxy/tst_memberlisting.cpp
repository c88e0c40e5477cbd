// Tests of the list of members while the store returns to an older state: what a member
// has reported isn't replaced by an older report, and missing members are retained.

#include "proxy/memberlisting.h"

#include <catch2/catch.hpp>

using namespace papayaspindle;
using namespace papayaspindle::proxy;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kStart = 1'700'000'000'000;

MemberEntry
Entry(std::uint64_t aSequence, std::uint64_t aIncarnation = 3)
{
  MemberEntry entry;
  entry.mId = "a";
  entry.mStartedAtMs = kStart;
  entry.mSequence = aSequence;
  entry.mIncarnation = aIncarnation;
  entry.mRevision = 100 * aIncarnation + aSequence;
  return entry;
}

MemberEntry
Draining(MemberEntry aEntry)
{
  aEntry.mDraining = true;
  return aEntry;
}

MemberEntry
Primary(MemberEntry aEntry)
{
  aEntry.mRole = MemberRole::Primary;
  return aEntry;
}

MemberEntry
StartedAfter(MemberEntry aEntry, std::uint64_t aMilliseconds)
{
  aEntry.mStartedAtMs += aMilliseconds;
  return aEntry;
}

MemberEntry
WithoutSequence(MemberEntry aEntry)
{
  aEntry.mSequence = 0;
  return aEntry;
}

/** A listing whose store has been in its third incarnation so far. */
struct ListingFixture
{
  void Read(const std::vector<MemberEntry>& aEntries)
  {
    mListing.OnEntries(aEntries, mNow);
  }

  [[nodiscard]] std::vector<MemberEntry> Listed() const { return mListing.Listed(mNow); }

  void Advance(Duration aTime)
  {
    mNow += aTime;
    if (mListing.NextChange() <= mNow) {
      mListing.Expire(mNow);
    }
  }

  TimePoint mNow{ 1h };
  MemberListing mListing;
};

} // namespace

// Guards against the use of a member that has announced its end, and against a role that
// is taken back, because the store shows what the member had reported before.
TEST_CASE("the first entry after a return counts unless it is an older report")
{
  struct Case
  {
    const char* mTitle;
    MemberEntry mKnown;
    MemberEntry mRead;
    bool mIsOlder;
  };
  const auto example = GENERATE(
    Case{ "ready before draining", Draining(Entry(9)), Entry(8, 4), true },
    Case{ "replica before primary", Primary(Entry(9)), Entry(8, 4), true },
    Case{ "primary before replica", Entry(9), Primary(Entry(8, 4)), true },
    Case{ "the same report", Draining(Entry(9)), Draining(Entry(9, 4)), false },
    Case{ "written again", Draining(Entry(9)), Draining(Entry(12, 4)), false },
    Case{ "draining since", Entry(9), Draining(Entry(10, 4)), false },
    Case{ "started since", Draining(Entry(9)), StartedAfter(Entry(1, 4), 5'000), false },
    Case{
      "an earlier start", StartedAfter(Entry(2), 5'000), Draining(Entry(80, 4)), true },
    Case{ "draining, no sequence",
          Draining(WithoutSequence(Entry(9))),
          WithoutSequence(Entry(8, 4)),
          true },
    Case{ "a role, no sequence",
          Primary(WithoutSequence(Entry(9))),
          WithoutSequence(Entry(10, 4)),
          false });
  INFO(example.mTitle);
  ListingFixture fixture;
  fixture.Read({ example.mKnown });
  const bool isAnnounced = GENERATE(true, false);
  if (isAnnounced) {
    fixture.mListing.OnIncarnation(4, fixture.mNow);
  }
  fixture.Read({ example.mRead });
  REQUIRE(fixture.Listed().size() == 1);
  REQUIRE(fixture.Listed()[0] == (example.mIsOlder ? example.mKnown : example.mRead));
  // What the member writes in the new incarnation counts.
  const MemberEntry next = StartedAfter(Primary(Entry(90, 4)), 5'000);
  fixture.Read({ next });
  REQUIRE(fixture.Listed()[0] == next);
}

// Guards against a draining member that is used again after it has left: nobody writes
// its entry again, and the store removes it only after some heartbeats.
TEST_CASE("a member that has left draining is not ready because of an older entry")
{
  ListingFixture fixture;
  fixture.Read({ Entry(8) });
  fixture.Read({ Draining(Entry(9)) });
  fixture.Read({});
  REQUIRE(fixture.Listed().empty());
  fixture.Advance(30s);
  fixture.Read({ Entry(8, 4) });
  REQUIRE(fixture.Listed()[0].mDraining);
  fixture.Read({});
  REQUIRE(fixture.Listed().empty());
}

TEST_CASE("a draining member stays so through two returns")
{
  ListingFixture fixture;
  fixture.Read({ Draining(Entry(9)) });
  for (const std::uint64_t incarnation : { 4, 5 }) {
    fixture.Read({ Entry(8, incarnation) });
    fixture.Advance(5s);
    fixture.Read({ Entry(8, incarnation) });
    REQUIRE(fixture.Listed()[0].mDraining);
  }
}

// Guards against a group without members, because the copy is older than their entries.
TEST_CASE("members that are missing after a return are retained until they have written")
{
  ListingFixture fixture;
  fixture.Read({ Entry(1) });
  fixture.mListing.OnIncarnation(4, fixture.mNow);
  fixture.Advance(100ms);
  fixture.Read({});
  REQUIRE(fixture.Listed().size() == 1);
  SECTION("written again")
  {
    fixture.Advance(1s);
    fixture.Read({ Entry(3, 4) });
    fixture.Advance(10s);
    REQUIRE(fixture.Listed().size() == 1);
    REQUIRE(fixture.mListing.NextChange() == TimePoint::max());
  }
  SECTION("gone")
  {
    fixture.Advance(2300ms);
    REQUIRE(fixture.Listed().empty());
  }
}

// Guards against an entry of the present start that is never used, because the clock of
// the member's machine was set back before the start.
TEST_CASE("an entry of an earlier start by the member's clock counts after some seconds")
{
  ListingFixture fixture;
  const MemberEntry entry = Entry(1, 4);
  fixture.Read({ StartedAfter(Entry(50), 60'000) });
  fixture.Read({ entry });
  REQUIRE_FALSE(fixture.Listed()[0] == entry);
  fixture.Advance(2300ms);
  REQUIRE(fixture.Listed()[0] == entry);
  fixture.Read({ entry });
  REQUIRE(fixture.Listed()[0] == entry);
}

// Guards against a role that is kept for good: the member's last report before the return
// is lost, and what it reports afterwards is what the store shows already.
TEST_CASE("an entry of an earlier report counts once members have had time to write")
{
  ListingFixture fixture;
  fixture.Read({ Primary(Entry(5)) });
  fixture.Read({ Entry(9) });
  fixture.mListing.OnIncarnation(4, fixture.mNow);
  fixture.Read({ Primary(Entry(5, 4)) });
  REQUIRE(fixture.Listed()[0] == Entry(9));
  fixture.Advance(2300ms);
  REQUIRE(fixture.Listed()[0] == Primary(Entry(5, 4)));
}

// Guards against any change where the store announces no incarnation: reports aren't
// compared, and a missing entry is removed.
TEST_CASE("without an incarnation, each entry replaces the one before")
{
  ListingFixture fixture;
  fixture.Read({ Draining(Entry(9, 0)) });
  fixture.Read({ Entry(8, 0) });
  REQUIRE(fixture.Listed()[0] == Entry(8, 0));
  fixture.Read({});
  REQUIRE(fixture.Listed().empty());
}
