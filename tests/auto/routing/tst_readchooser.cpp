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

/** Primary a at 2/20; replicas b (own zone) at 2/20 and c at 2/18; all asked at kStart.
 */
struct Scene
{
  ReadQuestion mQuestion;
  FreshnessTable mFreshness;
  ReadSettings mSettings;
  std::map<MemberId, std::uint64_t> mLoad;

  Scene()
  {
    mQuestion.mGroup.mMembers = { { kA, "", AvailabilityZone("za"), false },
                                  { kB, "", AvailabilityZone("zb"), false },
                                  { kC, "", AvailabilityZone("zc"), false } };
    mQuestion.mView = { GroupId("g"), kTerm, kA };
    mQuestion.mMaxStaleness = 1s;
    mQuestion.mOwnZone = AvailabilityZone("zb");
    mQuestion.mNow = kStart + 100ms;
    mQuestion.mTimeLeft = 1s;
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
    return chooser.Choose(mQuestion, mFreshness);
  }
};

} // namespace

// Guards against stale reads, lost read-your-writes, and needless load on the primary.
TEST_CASE("a read goes to a member that can prove what it needs")
{
  const ReadAction fromB = ServeFromReplica{ kB, 100ms };
  const ReadAction fromC = ServeFromReplica{ kC, 160ms };
  const ReadAction fromPrimary = ServeFromPrimary{ kA };
  const auto leave = [](Scene& aScene) {
    aScene.mQuestion.mGroup.mMembers[1].mLeaving = true;
  };
  const auto wrote = [](Scene& aScene) { aScene.mQuestion.mSession = { 2, 21 }; };
  const auto noPrimary = [](Scene& aScene) {
    aScene.mQuestion.mView.mPrimary = MemberId();
  };
  const struct
  {
    const char* mName;
    std::function<void(Scene&)> mChange;
    ReadAction mAction;
  } rows[] = {
    { "fresh replica of the own zone", [](Scene&) {}, fromB },
    { "own zone leaves by settings", leave, fromC },
    { "own zone leaves by its status",
      [](Scene& aScene) {
        aScene.Report(kB, kTerm, { 2, 20 }, 10ms, true);
      },
      fromC },
    { "least loaded when no replica is in the own zone",
      [](Scene& aScene) {
        aScene.mQuestion.mOwnZone = AvailabilityZone("za");
        aScene.mLoad[kB] = 2;
      },
      fromC },
    { "replica that failed this read already",
      [](Scene& aScene) { aScene.mQuestion.mExcluded = { kB }; },
      fromC },
    { "read without a stated age",
      [](Scene& aScene) { aScene.mQuestion.mMaxStaleness = 0s; },
      fromPrimary },
    { "read without a stated age under a default rule",
      [](Scene& aScene) {
        aScene.mQuestion.mMaxStaleness = 0s;
        aScene.mSettings.mDefaultMaxStaleness = 500ms;
      },
      fromB },
    { "session moved here and wrote 2/19: c is behind it, b is not",
      [](Scene& aScene) {
        aScene.mQuestion.mSession = { 2, 19 };
        aScene.mQuestion.mOwnZone = AvailabilityZone("zc");
      },
      fromB },
    { "all replicas are behind the session",
      wrote,
      WaitForReplica{ kB, { 2, 21 }, 20ms } },
    { "waited once already",
      [&](Scene& aScene) {
        wrote(aScene);
        aScene.mQuestion.mHasWaited = true;
      },
      fromPrimary },
    { "little time left bounds the wait",
      [&](Scene& aScene) {
        wrote(aScene);
        aScene.mQuestion.mTimeLeft = 5ms;
      },
      WaitForReplica{ kB, { 2, 21 }, 5ms } },
    { "own zone's replica is predicted to be too slow",
      [&](Scene& aScene) {
        wrote(aScene);
        aScene.mFreshness.OnCatchUp(kB, 300ms, aScene.mQuestion.mNow);
      },
      WaitForReplica{ kC, { 2, 21 }, 20ms } },
    { "every replica is predicted to be too slow",
      [&](Scene& aScene) {
        wrote(aScene);
        aScene.mFreshness.OnCatchUp(kB, 300ms, aScene.mQuestion.mNow);
        aScene.mFreshness.OnCatchUp(kC, 300ms, aScene.mQuestion.mNow);
      },
      fromPrimary },
    { "policy of immediate fallback",
      [&](Scene& aScene) {
        wrote(aScene);
        aScene.mSettings.mPolicy = ReadPolicy::ImmediateFallback;
      },
      fromPrimary },
    { "policy of the primary after a write",
      [](Scene& aScene) {
        aScene.mQuestion.mSession = { 2, 3 };
        aScene.mSettings.mPolicy = ReadPolicy::PrimaryAfterWrite;
      },
      fromPrimary },
    { "policy of the primary only",
      [](Scene& aScene) { aScene.mSettings.mPolicy = ReadPolicy::PrimaryOnly; },
      fromPrimary },
    { "replicas cut off: their age passes the rule",
      [](Scene& aScene) { aScene.mQuestion.mNow = kStart + 1100ms; },
      fromPrimary },
    { "replicas cut off and no primary",
      [&](Scene& aScene) {
        noPrimary(aScene);
        aScene.mQuestion.mNow = kStart + 1100ms;
      },
      RefuseRead{ ErrorKind::NoFreshReplica } },
    { "no primary: a fresh replica still serves", noPrimary, fromB },
    { "no primary and no stated age",
      [&](Scene& aScene) {
        noPrimary(aScene);
        aScene.mQuestion.mMaxStaleness = 0s;
      },
      RefuseRead{ ErrorKind::NoPrimary } },
    { "the primary failed this read already",
      [](Scene& aScene) {
        aScene.mQuestion.mMaxStaleness = 0s;
        aScene.mQuestion.mExcluded = { kA };
      },
      RefuseRead{ ErrorKind::NoPrimary } },
    { "term changed between write and read, unknown here",
      [](Scene& aScene) {
        aScene.mQuestion.mSession = { 3, 1 };
      },
      RefuseRead{ ErrorKind::StaleTerm } },
    { "term changed, replicas have not reported the new one",
      [](Scene& aScene) {
        aScene.mQuestion.mView = { GroupId("g"), 3, kB };
      },
      ServeFromPrimary{ kB } },
    { "one replica follows the new term, the old primary still answers",
      [](Scene& aScene) {
        aScene.mQuestion.mView = { GroupId("g"), 3, kB };
        aScene.mFreshness.OnAnswer(
          { kB, 3, true, false, { 3, 21 }, { 3, 21 }, kStart + 50ms });
        aScene.Report(kC, 3, { 3, 21 }, 60ms);
        aScene.Report(kA, kTerm, { 2, 30 }, 90ms);
      },
      ServeFromReplica{ kC, 50ms } },
    { "no term known",
      [](Scene& aScene) {
        aScene.mQuestion.mView = { GroupId("g"), 0, MemberId() };
      },
      RefuseRead{ ErrorKind::NoFreshReplica } },
  };
  for (const auto& row : rows) {
    INFO(row.mName);
    Scene scene;
    row.mChange(scene);
    CHECK((scene.Choose() == row.mAction));
  }
}
