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

/** Rows of the simulated table service. */
struct Store
{
  AllocationRecord mRecord;
  std::array<AuthorityRow, kInstances> mAuthority;
  bool mUnavailable = false;
};

/** An entry instance with its own clock; it is a home and may act as the keeper. */
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
  /** Offset of the instance's clock. All clocks run at the same rate. */
  Duration mOffset;
  TimePoint mPausedUntil;
  /** Until this time the instance can reach its peers but not the table service. */
  TimePoint mCutOffUntil;
  TimePoint mNextCycleAt;
  std::uint32_t mOpen = 0;
  AllocationRecord mRecord;
  AuthorityHolder mAuthority;
  std::array<AuthorityWatcher, kInstances> mWatchers;
  AllowanceLedger mLedger;
  AllowanceHolder mHolder;
};

/** A message on its way to an instance or to the store. */
struct Event
{
  TimePoint mAt;
  /** Index of the receiver, negative for the store. The message waits while the receiver
   * is paused or unavailable. */
  int mInstance = 0;
  /** Process that receives the message. The message is lost if the process has ended. */
  int mProcess = 0;
  std::function<void()> mRun;
};

/** Runs random interleavings in simulated time; each instance sees only its own clock. */
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

  /** @return whether the sum of all allowances stayed within the limit in every step */
  bool Run()
  {
    for (mStep = 0; mStep < kSteps; ++mStep) {
      mNow += std::chrono::milliseconds(1 + RandomBelow(200));
      InjectFaults();
      for (int i = 0; i < kInstances; ++i) {
        if (Runs(i) && mNow >= mInstances[i].mNextCycleAt) {
          mInstances[i].mNextCycleAt =
            mNow + std::chrono::milliseconds(300 + RandomBelow(900));
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
  [[nodiscard]] std::uint32_t TotalAllowance() const { return mTotalAllowance; }
  [[nodiscard]] std::uint32_t AllowedSum() const { return mAllowedSum; }
  [[nodiscard]] int StepsAtLimit() const { return mStepsAtLimit; }
  [[nodiscard]] std::uint64_t Claims() const { return mStore.mRecord.mClaim; }

private:
  std::uint64_t RandomBelow(std::uint64_t aEnd) { return mRandom() % aEnd; }
  bool OneIn(std::uint64_t aCount) { return RandomBelow(aCount) == 0; }
  TimePoint Local(int aIndex) const { return mNow + mInstances[aIndex].mOffset; }
  bool Runs(int aIndex) const { return mNow >= mInstances[aIndex].mPausedUntil; }

  Instance NewProcess(int aIndex)
  {
    return { aIndex,
             mNextProcess++,
             std::chrono::milliseconds(RandomBelow(1'000'000'000)) };
  }

  void InjectFaults()
  {
    if (OneIn(500)) {
      const int restarted = static_cast<int>(RandomBelow(kInstances));
      mInstances[restarted] = NewProcess(restarted);
    }
    if (OneIn(100)) {
      const std::uint64_t affected = OneIn(2) ? mKeeper : RandomBelow(kInstances);
      const TimePoint until =
        mNow + std::chrono::milliseconds(RandomBelow(OneIn(2) ? 45'000 : 5'000));
      Instance& instance = mInstances[affected];
      (OneIn(2) ? instance.mPausedUntil : instance.mCutOffUntil) = until;
      mKeeper = static_cast<int>(OneIn(2) ? RandomBelow(kInstances) : mKeeper);
    }
    if (OneIn(400)) {
      mStore.mUnavailable = !mStore.mUnavailable && OneIn(2);
    }
    if (OneIn(200)) {
      mKeeper = static_cast<int>(RandomBelow(kInstances));
    }
    if (OneIn(300)) {
      mLimit = 4 + static_cast<std::uint32_t>(RandomBelow(28));
      ++mRevision;
    }
  }

  /** Sends a message that may arrive late, twice or never. */
  void Send(int aTo, const std::function<void()>& aRun)
  {
    const int copies = OneIn(10) ? 0 : (OneIn(20) ? 2 : 1);
    const int process = aTo < 0 ? 0 : mInstances[aTo].mProcess;
    for (int i = 0; i < copies; ++i) {
      const std::uint64_t delay = OneIn(15) ? RandomBelow(40'000) : RandomBelow(300);
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
      const bool reachable =
        event.mInstance < 0 ? !mStore.mUnavailable : Runs(event.mInstance);
      if (mNow < event.mAt || !reachable) {
        mEvents.push_back(std::move(event));
        continue;
      }
      if (event.mInstance < 0 || mInstances[event.mInstance].mProcess == event.mProcess) {
        event.mRun();
      }
    }
  }

  /** Writes the record by compare-and-set, in one transaction with the authority row of
   * the instance aRevoked unless aRevoked is negative. */
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
    if (OneIn(2)) {
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
    self.mOpen -= self.mHolder.ConnectionsToClose(self.mOpen, Local(aIndex));
    const auto release = self.mHolder.Release(self.mOpen, Local(aIndex));
    if (release) {
      Write(*release, -1, {});
    }
  }

  void RequestLease(int aIndex)
  {
    Instance& self = mInstances[aIndex];
    const std::uint64_t request = self.mHolder.BeginRequest(Local(aIndex));
    const LeaseRequest leaseRequest{ self.mName,
                                     static_cast<std::uint32_t>(RandomBelow(32)),
                                     self.mHolder.Claim() };
    const int keeper = OneIn(4) ? static_cast<int>(RandomBelow(kInstances)) : mKeeper;
    Send(keeper, [this, aIndex, keeper, request, leaseRequest] {
      Instance& granter = mInstances[keeper];
      const TimePoint now = Local(keeper);
      const LeaseGrant grant =
        granter.mLedger.Grant(leaseRequest, granter.mAuthority.ValidEpoch(now), now);
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
      ActAsKeeper(aIndex, aRecord);
    } else if (self.mLedger.HasClaim() && OneIn(2)) {
      self.mLedger.StopGranting();
      Write(RecordWithoutClaim(aRecord), -1, {});
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

  void ActAsKeeper(int aIndex, const AllocationRecord& aRecord)
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
        self.mLedger.HasClaim()
          ? PlanAndWrite(aIndex, aRecord)
          : Write(RecordClaimedBy(aRecord, self.mName, *epoch), -1, {});
        break;
      case ClaimAction::Claim:
        Write(RecordClaimedBy(aRecord, self.mName, *epoch), -1, {});
        break;
      case ClaimAction::ClaimAndRevoke:
        Write(RecordClaimedBy(aRecord, self.mName, *epoch),
              previous,
              RevokedRow(*watcher.Row()));
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
    input.mHomes.resize(2 + RandomBelow(kInstances - 1));
    input.mMayReceiveFloor = [](const InstanceId&) { return true; };
    input.mHasEnded = [](const InstanceId&) { return false; };
    input.mLimit = mLimit;
    input.mLimitRevision = mRevision;
    const AllocationRecord next = PlanFloors(aRecord, input);
    if (next != aRecord &&
        mInstances[aIndex].mLedger.PrepareFloors(next, Local(aIndex))) {
      Write(next, -1, {});
    }
  }

  /** Compares the sum of all allowances with the highest limit of the last 3 s. Ledgers
   * apply a lowered limit when they receive it, earlier leases expire up to 3 s later,
   * and floors stay reserved until their homes release them. */
  bool SumIsWithinLimit()
  {
    std::uint32_t known = mLimit;
    mTotalAllowance = 0;
    for (int i = 0; i < kInstances; ++i) {
      mTotalAllowance += mInstances[i].mHolder.Allowance(Local(i));
      const bool isKeeper = mInstances[i].mLedger.HasClaim() &&
                            mInstances[i].mAuthority.ValidEpoch(Local(i)).has_value();
      known = std::max(known, isKeeper ? mInstances[i].mLedger.Limit() : 0);
    }
    known = std::max(known, SumOfFloors(mStore.mRecord));
    mLimits.push_back({ mNow, known });
    while (mLimits.front().first + 3s < mNow) {
      mLimits.pop_front();
    }
    mAllowedSum = 0;
    for (const auto& [at, limit] : mLimits) {
      mAllowedSum = std::max(mAllowedSum, limit);
    }
    mStepsAtLimit += mTotalAllowance == mAllowedSum ? 1 : 0;
    return mTotalAllowance <= mAllowedSum;
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
  std::uint32_t mTotalAllowance = 0;
  std::uint32_t mAllowedSum = 0;
  int mStepsAtLimit = 0;
};

} // namespace

// Guards against interleavings of lost and late messages, pauses, outages and keeper
// changes in which all homes together may use more connections than the limit.
TEST_CASE("the sum of all allowances never exceeds the limit", "[allowance]")
{
  int stepsAtLimit = 0;
  std::uint64_t claims = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Exploration exploration(seed);
    const bool within = exploration.Run();
    INFO("seed " << seed << ", step " << exploration.Step() << ", usable "
                 << exploration.TotalAllowance() << ", limit "
                 << exploration.AllowedSum());
    REQUIRE(within);
    stepsAtLimit += exploration.StepsAtLimit();
    claims += exploration.Claims();
  }
  // The exploration proves something only if the limit is reached and keepers change.
  CHECK(stepsAtLimit > 0);
  CHECK(claims > kSeeds);
}
