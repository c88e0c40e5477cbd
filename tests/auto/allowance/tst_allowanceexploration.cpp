#include "decision/allowance/allowanceholder.h"
#include "decision/allowance/allowanceledger.h"
#include "decision/allowance/authorityholder.h"
#include "decision/allowance/floorplan.h"
#include "decision/allowance/keeperclaim.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <random>

using namespace papayaspindle;
using namespace std::chrono_literals;

namespace {

constexpr int kInstances = 4;
constexpr int kSteps = 4000;
constexpr int kSeeds = 100;

/** Rows of the fake table service. */
struct Store
{
  AllocationRecord mRecord;
  std::array<AuthorityRow, kInstances> mAuthority;
  bool mDown = false;
};

/** An entry instance: keeper, home, and its own clock. */
struct Instance
{
  Instance(int aIndex, int aProcess, Duration aOffset)
    : mName(std::string(1, static_cast<char>('a' + aIndex)))
    , mProcess(aProcess)
    , mOffset(aOffset)
    , mAuthority(std::to_string(aProcess))
    , mLedger(mName)
    , mHolder(mName)
  {
  }

  InstanceId mName;
  int mProcess;
  /** The clocks of two instances have nothing in common but their rate. */
  Duration mOffset;
  TimePoint mPausedUntil;
  /** Until then it reaches its peers but not the table service. */
  TimePoint mCutOffUntil;
  TimePoint mNextCycle;
  std::uint32_t mOpen = 0;
  AllocationRecord mRecord;
  AuthorityHolder mAuthority;
  std::array<AuthorityWatcher, kInstances> mWatchers;
  AllowanceLedger mLedger;
  AllowanceHolder mHolder;
};

/** Something that happens later at an instance or in the store. */
struct Event
{
  TimePoint mAt;
  /** Waits until this instance runs; negative for the store. */
  int mInstance = 0;
  /** What is sent to a process is lost when it has ended. */
  int mProcess = 0;
  std::function<void()> mRun;
};

/** Random interleavings over true time; instances see only their own clocks. */
class Exploration
{
public:
  explicit Exploration(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
    for (int i = 0; i < kInstances; ++i) {
      mInstances.push_back(NewProcess(i));
    }
  }

  /** @return whether the sum stayed within the limit in every step */
  bool Run()
  {
    for (mStep = 0; mStep < kSteps; ++mStep) {
      mNow += std::chrono::milliseconds(1 + Below(200));
      Disturb();
      for (int i = 0; i < kInstances; ++i) {
        if (Runs(i) && mNow >= mInstances[i].mNextCycle) {
          mInstances[i].mNextCycle = mNow + std::chrono::milliseconds(300 + Below(900));
          Cycle(i);
        }
      }
      Deliver();
      if (!SumIsWithinLimit()) {
        return false;
      }
    }
    return true;
  }

  [[nodiscard]] int Step() const { return mStep; }
  [[nodiscard]] std::uint32_t Used() const { return mUsed; }
  [[nodiscard]] std::uint32_t Bound() const { return mBound; }
  [[nodiscard]] int FullSteps() const { return mFullSteps; }
  [[nodiscard]] std::uint64_t Claims() const { return mStore.mRecord.mClaim; }

private:
  std::uint64_t Below(std::uint64_t aEnd) { return mRandom() % aEnd; }
  bool Chance(std::uint64_t aOneIn) { return Below(aOneIn) == 0; }
  TimePoint Local(int aIndex) const { return mNow + mInstances[aIndex].mOffset; }
  bool Runs(int aIndex) const { return mNow >= mInstances[aIndex].mPausedUntil; }

  Instance NewProcess(int aIndex)
  {
    return { aIndex, mNextProcess++, std::chrono::milliseconds(Below(1'000'000'000)) };
  }

  void Disturb()
  {
    if (Chance(500)) {
      const int restarted = static_cast<int>(Below(kInstances));
      mInstances[restarted] = NewProcess(restarted);
    }
    if (Chance(100)) {
      const std::uint64_t disturbed = Chance(2) ? mKeeper : Below(kInstances);
      const TimePoint until =
        mNow + std::chrono::milliseconds(Below(Chance(2) ? 45'000 : 5'000));
      Instance& instance = mInstances[disturbed];
      (Chance(2) ? instance.mPausedUntil : instance.mCutOffUntil) = until;
      mKeeper = static_cast<int>(Chance(2) ? Below(kInstances) : mKeeper);
    }
    if (Chance(400)) {
      mStore.mDown = !mStore.mDown && Chance(2);
    }
    if (Chance(200)) {
      mKeeper = static_cast<int>(Below(kInstances));
    }
    if (Chance(300)) {
      mLimit = 4 + static_cast<std::uint32_t>(Below(28));
      ++mRevision;
    }
  }

  /** Sends something that arrives late, twice or never. */
  void Send(int aTo, const std::function<void()>& aRun)
  {
    const int copies = Chance(10) ? 0 : (Chance(20) ? 2 : 1);
    const int process = aTo < 0 ? 0 : mInstances[aTo].mProcess;
    for (int i = 0; i < copies; ++i) {
      const std::uint64_t delay = Chance(15) ? Below(40'000) : Below(300);
      mEvents.push_back({ mNow + std::chrono::milliseconds(delay), aTo, process, aRun });
    }
  }

  void Deliver()
  {
    std::shuffle(mEvents.begin(), mEvents.end(), mRandom);
    const std::size_t count = mEvents.size();
    for (std::size_t i = 0; i < count; ++i) {
      Event event = std::move(mEvents.front());
      mEvents.pop_front();
      const bool ready = event.mInstance < 0 ? !mStore.mDown : Runs(event.mInstance);
      if (mNow < event.mAt || !ready) {
        mEvents.push_back(std::move(event));
        continue;
      }
      if (event.mInstance < 0 || mInstances[event.mInstance].mProcess == event.mProcess) {
        event.mRun();
      }
    }
  }

  /** Writes the record, and an authority row if there is one, by compare-and-set. */
  void Write(const AllocationRecord& aRecord, int aRevoked, const AuthorityRow& aRow)
  {
    Send(-1, [this, aRecord, aRevoked, aRow] {
      const bool rowFits =
        aRevoked < 0 || mStore.mAuthority[aRevoked].mVersion == aRow.mVersion;
      if (mStore.mRecord.mVersion != aRecord.mVersion || !rowFits) {
        return;
      }
      mStore.mRecord = aRecord;
      ++mStore.mRecord.mVersion;
      if (aRevoked >= 0) {
        mStore.mAuthority[aRevoked] = aRow;
        ++mStore.mAuthority[aRevoked].mVersion;
      }
    });
  }

  void Cycle(int aIndex)
  {
    Instance& self = mInstances[aIndex];
    if (Chance(2)) {
      self.mLedger.SetLimit(mLimit, mRevision);
    }
    RequestLease(aIndex);
    if (mNow < self.mCutOffUntil) {
      return;
    }
    Send(-1, [this, aIndex] {
      Send(aIndex, [this, aIndex, record = mStore.mRecord] { OnRecord(aIndex, record); });
    });
    for (int row = 0; row < kInstances; ++row) {
      Send(-1, [this, aIndex, row] {
        Send(aIndex, [this, aIndex, row, seen = mStore.mAuthority[row]] {
          OnAuthority(aIndex, row, seen);
        });
      });
    }
    self.mOpen -= self.mHolder.MustClose(self.mOpen, Local(aIndex));
    const auto release = self.mHolder.Release(self.mOpen, Local(aIndex));
    if (release) {
      Write(*release, -1, {});
    }
  }

  void RequestLease(int aIndex)
  {
    Instance& self = mInstances[aIndex];
    const std::uint64_t request = self.mHolder.BeginRequest(Local(aIndex));
    const LeaseRequest wanted{ self.mName,
                               static_cast<std::uint32_t>(Below(32)),
                               self.mHolder.Claim() };
    const int keeper = Chance(4) ? static_cast<int>(Below(kInstances)) : mKeeper;
    Send(keeper, [this, aIndex, keeper, request, wanted] {
      Instance& granter = mInstances[keeper];
      const TimePoint now = Local(keeper);
      const LeaseGrant grant =
        granter.mLedger.Grant(wanted, granter.mAuthority.ValidEpoch(now), now);
      if (grant.mRefusal != LeaseRefusal::None) {
        return;
      }
      Send(aIndex, [this, aIndex, request, grant] {
        Instance& holder = mInstances[aIndex];
        holder.mHolder.OnGrant(request, grant.mGranted, grant.mDuration, grant.mClaim);
        holder.mOpen = holder.mHolder.Allowance(Local(aIndex));
      });
    });
  }

  void OnRecord(int aIndex, const AllocationRecord& aRecord)
  {
    Instance& self = mInstances[aIndex];
    self.mHolder.OnRecord(aRecord);
    self.mLedger.SetRecord(aRecord, Local(aIndex));
    if (mKeeper == aIndex) {
      Keep(aIndex, aRecord);
    } else if (self.mLedger.HasClaim() && Chance(2)) {
      self.mLedger.StopGranting();
      Write(Unclaimed(aRecord), -1, {});
    }
  }

  void OnAuthority(int aIndex, int aRow, const AuthorityRow& aSeen)
  {
    Instance& self = mInstances[aIndex];
    self.mWatchers[aRow].OnRow(aSeen, Local(aIndex));
    if (aRow == aIndex && self.mAuthority.IsDue(Local(aIndex))) {
      RenewAuthority(aIndex, aSeen);
    }
  }

  void RenewAuthority(int aIndex, const AuthorityRow& aRow)
  {
    const auto write = mInstances[aIndex].mAuthority.OnRow(aRow, Local(aIndex));
    if (!write) {
      return;
    }
    Send(-1, [this, aIndex, row = *write] {
      if (mStore.mAuthority[aIndex].mVersion != row.mVersion) {
        return;
      }
      mStore.mAuthority[aIndex] = row;
      ++mStore.mAuthority[aIndex].mVersion;
      Send(aIndex, [this, aIndex, row] {
        mInstances[aIndex].mAuthority.OnCommitted(row.mSerial);
      });
    });
  }

  void Keep(int aIndex, const AllocationRecord& aRecord)
  {
    Instance& self = mInstances[aIndex];
    const TimePoint now = Local(aIndex);
    const auto epoch = self.mAuthority.ValidEpoch(now);
    if (!epoch) {
      return;
    }
    const int previous = aRecord.mKeeper.IsEmpty() ? 0 : aRecord.mKeeper.Text()[0] - 'a';
    const AuthorityWatcher& watcher = self.mWatchers[previous];
    switch (DecideClaim(aRecord, self.mName, *epoch, watcher, now)) {
      case ClaimAction::Held:
        self.mLedger.HasClaim() ? PlanAndWrite(aIndex, aRecord)
                                : Write(ClaimedBy(aRecord, self.mName, *epoch), -1, {});
        break;
      case ClaimAction::Claim:
        Write(ClaimedBy(aRecord, self.mName, *epoch), -1, {});
        break;
      case ClaimAction::ClaimAndRevoke:
        Write(ClaimedBy(aRecord, self.mName, *epoch), previous, Revoked(*watcher.Row()));
        break;
      case ClaimAction::Wait:
        break;
    }
  }

  void PlanAndWrite(int aIndex, const AllocationRecord& aRecord)
  {
    FloorPlanInput input;
    for (const Instance& instance : mInstances) {
      input.mHomes.push_back(instance.mName);
    }
    std::rotate(input.mHomes.begin(), input.mHomes.begin() + mKeeper, input.mHomes.end());
    input.mHomes.resize(2 + Below(kInstances - 1));
    input.mMayReceive = [](const InstanceId&) { return true; };
    input.mHasEnded = [](const InstanceId&) { return false; };
    input.mLimit = mLimit;
    input.mLimitRevision = mRevision;
    const AllocationRecord next = PlanFloors(aRecord, input);
    if (next != aRecord &&
        mInstances[aIndex].mLedger.PrepareFloors(next, Local(aIndex))) {
      Write(next, -1, {});
    }
  }

  /** A lowered limit binds a ledger once it knows it, and its leases lapse 3 s later. */
  bool SumIsWithinLimit()
  {
    std::uint32_t known = mLimit;
    mUsed = 0;
    for (int i = 0; i < kInstances; ++i) {
      mUsed += mInstances[i].mHolder.Allowance(Local(i));
      const bool keeps = mInstances[i].mLedger.HasClaim() &&
                         mInstances[i].mAuthority.ValidEpoch(Local(i)).has_value();
      known = std::max(known, keeps ? mInstances[i].mLedger.Limit() : 0);
    }
    known = std::max(known, SumOfFloors(mStore.mRecord));
    mLimits.push_back({ mNow, known });
    while (mLimits.front().first + 3s < mNow) {
      mLimits.pop_front();
    }
    mBound = 0;
    for (const auto& [at, limit] : mLimits) {
      mBound = std::max(mBound, limit);
    }
    mFullSteps += mUsed == mBound ? 1 : 0;
    return mUsed <= mBound;
  }

  std::mt19937_64 mRandom;
  TimePoint mNow;
  int mStep = 0;
  Store mStore;
  std::vector<Instance> mInstances;
  std::deque<Event> mEvents;
  int mNextProcess = 1;
  int mKeeper = 0;
  std::uint32_t mLimit = 16;
  std::uint64_t mRevision = 1;
  std::deque<std::pair<TimePoint, std::uint32_t>> mLimits;
  std::uint32_t mUsed = 0;
  std::uint32_t mBound = 0;
  int mFullSteps = 0;
};

} // namespace

// Guards against any interleaving of losses, delays, pauses, outages and keeper changes
// in which the homes together may hold more connections than the limit.
TEST_CASE("the homes' shares never exceed the limit", "[allowance]")
{
  int fullSteps = 0;
  std::uint64_t claims = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Exploration exploration(seed);
    const bool within = exploration.Run();
    INFO("seed " << seed << ", step " << exploration.Step() << ", usable "
                 << exploration.Used() << ", limit " << exploration.Bound());
    REQUIRE(within);
    fullSteps += exploration.FullSteps();
    claims += exploration.Claims();
  }
  // The search is of use only when the limit is reached and keepers do change.
  CHECK(fullSteps > 0);
  CHECK(claims > kSeeds);
}
