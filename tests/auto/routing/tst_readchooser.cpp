#include "decision/routing/readchooser.h"

#include <catch2/catch.hpp>

using namespace papayaspindle;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{ 1000s };
const MemberId kA("a");
const MemberId kB("b");
const MemberId kC("c");
constexpr std::uint64_t kTerm = 2;

/** A read of a group with primary a at position 2/20, replica b of the own zone at 2/20
 * and replica c at 2/18. All statuses were requested at kStart. */
struct ReadScenario
{
  ReadRequest mRequest;
  FreshnessTable mFreshness;
  ReadSettings mSettings;
  std::map<MemberId, std::uint64_t> mLoad;

  ReadScenario()
  {
    mRequest.mGroup.mMembers = { { kA, "", AvailabilityZone("za"), false },
                                 { kB, "", AvailabilityZone("zb"), false },
                                 { kC, "", AvailabilityZone("zc"), false } };
    mRequest.mView = { GroupId("g"), kTerm, kA };
    mRequest.mMaxStaleness = 1s;
    mRequest.mOwnZone = AvailabilityZone("zb");
    mRequest.mNow = kStart + 100ms;
    mRequest.mTimeLeft = 1s;
    Report(kA, kTerm, { 2, 18 }, -60ms);
    Report(kA, kTerm, { 2, 20 }, 0ms);
    Report(kB, kTerm, { 2, 20 }, 0ms);
    Report(kC, kTerm, { 2, 18 }, 0ms);
  }

  void Report(const MemberId& aMember,
              std::uint64_t aTerm,
              LogPosition aApplied,
              Duration aAt,
              bool aLeaving = false)
  {
    mFreshness.OnStatus(
      { aMember, aTerm, aMember == kA, aLeaving, aApplied, aApplied, kStart + aAt });
  }

  ReadAction Choose()
  {
    const ReadChooser chooser(mSettings,
                              [this](const MemberId& aMember) { return mLoad[aMember]; });
    return chooser.Choose(mRequest, mFreshness);
  }
};

} // namespace

// Guards against reads that are too stale, reads that miss the session's own writes, and
// needless load on the primary.
TEST_CASE("a read goes to a member that is fresh enough and has the session's writes")
{
  const ReadAction fromB = ServeFromReplica{ kB, 100ms };
  const ReadAction fromC = ServeFromReplica{ kC, 160ms };
  const ReadAction fromPrimary = ServeFromPrimary{ kA };
  const auto leaveZone = [](ReadScenario& aScenario) {
    aScenario.mRequest.mGroup.mMembers[1].mLeaving = true;
  };
  const auto sessionWrote = [](ReadScenario& aScenario) {
    aScenario.mRequest.mSessionPosition = { 2, 21 };
  };
  const auto noPrimary = [](ReadScenario& aScenario) {
    aScenario.mRequest.mView.mPrimary = MemberId();
  };
  const struct
  {
    const char* mName;
    std::function<void(ReadScenario&)> mChange;
    ReadAction mAction;
  } rows[] = {
    { "fresh replica of the own zone", [](ReadScenario&) {}, fromB },
    { "the settings mark the own zone's replica as leaving", leaveZone, fromC },
    { "the own zone's replica reports that it is leaving",
      [](ReadScenario& aScenario) {
        aScenario.Report(kB, kTerm, { 2, 20 }, 10ms, true);
      },
      fromC },
    { "least loaded when no replica is in the own zone",
      [](ReadScenario& aScenario) {
        aScenario.mRequest.mOwnZone = AvailabilityZone("za");
        aScenario.mLoad[kB] = 2;
      },
      fromC },
    { "replica that failed this read already",
      [](ReadScenario& aScenario) { aScenario.mRequest.mExcluded = { kB }; },
      fromC },
    { "read without a stated age",
      [](ReadScenario& aScenario) { aScenario.mRequest.mMaxStaleness = 0s; },
      fromPrimary },
    { "read without a stated age under a default rule",
      [](ReadScenario& aScenario) {
        aScenario.mRequest.mMaxStaleness = 0s;
        aScenario.mSettings.mDefaultMaxStaleness = 500ms;
      },
      fromB },
    { "session that moved here wrote 2/19: c is behind that position, b is not",
      [](ReadScenario& aScenario) {
        aScenario.mRequest.mSessionPosition = { 2, 19 };
        aScenario.mRequest.mOwnZone = AvailabilityZone("zc");
      },
      fromB },
    { "all replicas are behind the session",
      sessionWrote,
      WaitForReplica{ kB, { 2, 21 }, 20ms } },
    { "waited once already",
      [&](ReadScenario& aScenario) {
        sessionWrote(aScenario);
        aScenario.mRequest.mHasWaited = true;
      },
      fromPrimary },
    { "little time left bounds the wait",
      [&](ReadScenario& aScenario) {
        sessionWrote(aScenario);
        aScenario.mRequest.mTimeLeft = 5ms;
      },
      WaitForReplica{ kB, { 2, 21 }, 5ms } },
    { "own zone's replica is predicted to be too slow",
      [&](ReadScenario& aScenario) {
        sessionWrote(aScenario);
        aScenario.mFreshness.OnCatchUp(kB, 300ms, aScenario.mRequest.mNow);
      },
      WaitForReplica{ kC, { 2, 21 }, 20ms } },
    { "every replica is predicted to be too slow",
      [&](ReadScenario& aScenario) {
        sessionWrote(aScenario);
        aScenario.mFreshness.OnCatchUp(kB, 300ms, aScenario.mRequest.mNow);
        aScenario.mFreshness.OnCatchUp(kC, 300ms, aScenario.mRequest.mNow);
      },
      fromPrimary },
    { "policy of immediate fallback",
      [&](ReadScenario& aScenario) {
        sessionWrote(aScenario);
        aScenario.mSettings.mPolicy = ReadPolicy::ImmediateFallback;
      },
      fromPrimary },
    { "policy of the primary after a write",
      [](ReadScenario& aScenario) {
        aScenario.mRequest.mSessionPosition = { 2, 3 };
        aScenario.mSettings.mPolicy = ReadPolicy::PrimaryAfterWrite;
      },
      fromPrimary },
    { "policy of the primary only",
      [](ReadScenario& aScenario) {
        aScenario.mSettings.mPolicy = ReadPolicy::PrimaryOnly;
      },
      fromPrimary },
    { "replicas cut off: their proven age exceeds the maximum staleness",
      [](ReadScenario& aScenario) { aScenario.mRequest.mNow = kStart + 1100ms; },
      fromPrimary },
    { "replicas cut off and no primary",
      [&](ReadScenario& aScenario) {
        noPrimary(aScenario);
        aScenario.mRequest.mNow = kStart + 1100ms;
      },
      RefuseRead{ ErrorKind::NoFreshReplica } },
    { "no primary: a fresh replica still serves", noPrimary, fromB },
    { "no primary and no stated age",
      [&](ReadScenario& aScenario) {
        noPrimary(aScenario);
        aScenario.mRequest.mMaxStaleness = 0s;
      },
      RefuseRead{ ErrorKind::NoPrimary } },
    { "the primary failed this read already",
      [](ReadScenario& aScenario) {
        aScenario.mRequest.mMaxStaleness = 0s;
        aScenario.mRequest.mExcluded = { kA };
      },
      RefuseRead{ ErrorKind::NoPrimary } },
    { "session wrote in a later term than this instance's view",
      [](ReadScenario& aScenario) {
        aScenario.mRequest.mSessionPosition = { 3, 1 };
      },
      RefuseRead{ ErrorKind::StaleTerm } },
    { "term changed, replicas have not reported the new one",
      [](ReadScenario& aScenario) {
        aScenario.mRequest.mView = { GroupId("g"), 3, kB };
      },
      ServeFromPrimary{ kB } },
    { "one replica follows the new term, the old primary still answers",
      [](ReadScenario& aScenario) {
        aScenario.mRequest.mView = { GroupId("g"), 3, kB };
        aScenario.mFreshness.OnAnswer(
          { kB, 3, true, false, { 3, 21 }, { 3, 21 }, kStart + 50ms });
        aScenario.Report(kC, 3, { 3, 21 }, 60ms);
        aScenario.Report(kA, kTerm, { 2, 30 }, 90ms);
      },
      ServeFromReplica{ kC, 50ms } },
    { "the view has no term yet",
      [](ReadScenario& aScenario) {
        aScenario.mRequest.mView = { GroupId("g"), 0, MemberId() };
      },
      RefuseRead{ ErrorKind::NoFreshReplica } },
  };
  for (const auto& row : rows) {
    INFO(row.mName);
    ReadScenario scenario;
    row.mChange(scenario);
    CHECK((scenario.Choose() == row.mAction));
  }
}
