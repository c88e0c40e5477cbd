#include "proxy/leadership/storerecovery.h"

#include "core/stablehash.h"

#include <algorithm>
#include <utility>

namespace papayaspindle::proxy {

namespace {

using namespace std::chrono_literals;

constexpr std::string_view kRecoveryKey = "recovery";
constexpr std::string_view kOpen = "open";
constexpr std::string_view kSettled = "settled";
/** Limit of the delay before a write, which differs between instances: usually the first
 * one's row arrives before the others write theirs. */
constexpr std::uint64_t kMaxJitterMs = 300;
/** Delay before a write without effect is repeated; the row that prevented it is read in
 * the meantime. */
constexpr Duration kWriteRetryDelay = 500ms;
constexpr Duration kCheckInterval = 50ms;
/** Interval of the checks whether this instance is a home by now. */
constexpr Duration kIdleInterval = 250ms;

std::string
RecoveryValue(std::string_view aPhase, std::uint64_t aIncarnation)
{
  return std::string(aPhase) + " " + std::to_string(aIncarnation);
}

/** @return order of the states that rows with the same token pass through */
int
ProgressOf(LeadershipState aState)
{
  switch (aState) {
    case LeadershipState::Claimed:
      return 0;
    case LeadershipState::Calling:
      return 1;
    case LeadershipState::Settled:
    case LeadershipState::Reserved:
      // A reservation becomes settled when members are resumed.
      return 2;
  }
  return 0;
}

/** @return whether a row is newer than another one of the same group */
bool
IsNewer(const LeadershipRow& aRow, const LeadershipRow& aOther)
{
  return std::pair(aRow.mToken, ProgressOf(aRow.mState)) >
         std::pair(aOther.mToken, ProgressOf(aOther.mState));
}

} // namespace

StoreRecovery::StoreRecovery(std::string aInstance, StoreRecoveryHooks aHooks)
  : mInstance(std::move(aInstance))
  , mHooks(std::move(aHooks))
{
}

void
StoreRecovery::OnIncarnation(std::uint64_t aIncarnation)
{
  if (aIncarnation <= mIncarnation) {
    return;
  }
  mIncarnation = aIncarnation;
  mReturnedAt = mHooks.mNow();
  mHasWarned = false;
  mPhase = Phase::Unknown;
  mHasRows = false;
  mStored.clear();
  mPlanned.clear();
  mRestoredRows = 0;
  mNextCheck = mReturnedAt + kIdleInterval;
}

bool
StoreRecovery::AreRowsUsable() const
{
  return mIncarnation == 0 || mPhase == Phase::Settled;
}

std::vector<StoredRow>
StoreRecovery::NewestRows(std::span<const StoredRow> aRows) const
{
  std::vector<StoredRow> rows(aRows.begin(), aRows.end());
  if (mIncarnation == 0) {
    return rows;
  }
  for (StoredRow& row : rows) {
    const auto remembered = mRemembered.find(row.mKey);
    const auto stored = DecodeLeadership(row.mValue);
    if (remembered != mRemembered.end() && stored &&
        IsNewer(remembered->second, *stored)) {
      row.mValue = Encode(remembered->second);
    }
  }
  for (const auto& [key, remembered] : mRemembered) {
    if (!IsStored(key)) {
      // A write of the row expects that there is none.
      StoredRow row;
      row.mTable = kCoordinationTable;
      row.mKey = key;
      row.mValue = Encode(remembered);
      row.mIncarnation = mIncarnation;
      rows.push_back(std::move(row));
    }
  }
  return rows;
}

std::optional<TimePoint>
StoreRecovery::ReceivedAt(std::string_view aKey) const
{
  const auto found = mStored.find(aKey);
  return found == mStored.end() ? std::nullopt : std::optional(found->second.mReceivedAt);
}

Duration
StoreRecovery::UnsettledFor(TimePoint aNow) const
{
  return AreRowsUsable() || mHooks.mGroups().empty() ? Duration() : aNow - mReturnedAt;
}

bool
StoreRecovery::OnRows(std::span<const StoredRow> aRows, TimePoint aNow)
{
  for (const StoredRow& row : aRows) {
    OnIncarnation(row.mIncarnation);
  }
  if (!aRows.empty() && aRows.front().mIncarnation < mIncarnation) {
    return false;
  }
  mHasRows = true;
  for (const StoredRow& row : aRows) {
    const bool isRecovery = row.mKey == kRecoveryKey;
    if (!isRecovery && !GroupOfLeadership(row.mKey)) {
      continue;
    }
    ReceivedRow& stored = mStored[row.mKey];
    // A feed and a read can deliver the same change in either order.
    if (row.Version() <= stored.mRow.Version()) {
      continue;
    }
    stored = { row, aNow };
    if (isRecovery) {
      UpdatePhase(row, aNow);
    } else {
      Remember(row);
    }
  }
  if (mIncarnation > 0) {
    mNextCheck = aNow;
  }
  return AreRowsUsable();
}

void
StoreRecovery::UpdatePhase(const StoredRow& aRow, TimePoint aNow)
{
  const Phase previous = mPhase;
  if (aRow.mValue == RecoveryValue(kSettled, mIncarnation)) {
    mPhase = Phase::Settled;
  } else if (aRow.mValue == RecoveryValue(kOpen, mIncarnation) &&
             mPhase == Phase::Unknown) {
    mPhase = Phase::Open;
    mOpenSince = aNow;
  }
  if (mPhase != previous) {
    mPlanned.erase(std::string(kRecoveryKey));
    mHooks.mLog(LogLevel::Info,
                mPhase == Phase::Open ? "recovery_open" : "recovery_settled",
                { { "incarnation", std::to_string(mIncarnation) },
                  { "rows", std::to_string(mRestoredRows) } });
  }
}

void
StoreRecovery::Remember(const StoredRow& aRow)
{
  const auto row = DecodeLeadership(aRow.mValue);
  if (!row) {
    return;
  }
  const auto found = mRemembered.find(aRow.mKey);
  if (found == mRemembered.end() || IsNewer(*row, found->second)) {
    mRemembered.insert_or_assign(aRow.mKey, *row);
  }
}

void
StoreRecovery::OnWritten(const StoredRow& aRow, const Written& aResult)
{
  if (!GroupOfLeadership(aRow.mKey)) {
    return;
  }
  Remember(aRow);
  ReceivedRow& stored = mStored[aRow.mKey];
  const StoreRevision version{ aResult.mIncarnation, aResult.mRevision };
  if (aResult.mIncarnation == mIncarnation && version > stored.mRow.Version()) {
    stored = { aRow, mHooks.mNow() };
    stored.mRow.mRevision = version.mRevision;
    stored.mRow.mIncarnation = version.mIncarnation;
  }
}

bool
StoreRecovery::IsStored(const std::string& aKey) const
{
  const auto stored = mStored.find(aKey);
  return stored != mStored.end() && stored->second.mRow.mRevision > 0;
}

bool
StoreRecovery::IsStoredRowOlder(const std::string& aGroup) const
{
  const std::string key = LeadershipKey(aGroup);
  const auto remembered = mRemembered.find(key);
  if (remembered == mRemembered.end()) {
    return false;
  }
  if (!IsStored(key)) {
    return true;
  }
  const auto row = DecodeLeadership(mStored.at(key).mRow.mValue);
  return row && IsNewer(remembered->second, *row);
}

void
StoreRecovery::CheckProgress(TimePoint aNow)
{
  if (mHasWarned || UnsettledFor(aNow) < kRecoveryWarningTime) {
    return;
  }
  mHasWarned = true;
  const auto waited = UnsettledFor(aNow) / std::chrono::milliseconds(1);
  mHooks.mLog(LogLevel::Warning,
              "recovery_unsettled",
              { { "incarnation", std::to_string(mIncarnation) },
                { "phase", mPhase == Phase::Open ? "open" : "unknown" },
                { "since_ms", std::to_string(waited) } });
}

void
StoreRecovery::OnTimer(TimePoint aNow)
{
  if (aNow < mNextCheck) {
    return;
  }
  mNextCheck = TimePoint::max();
  if (mIncarnation == 0) {
    return;
  }
  const std::vector<std::string> groups = mHooks.mGroups();
  CheckProgress(aNow);
  if (!mHasRows || groups.empty()) {
    // Instances that are home of no group neither use nor remember the rows.
    mNextCheck = aNow + kIdleInterval;
    return;
  }
  const std::string recovery(kRecoveryKey);
  if (mPhase == Phase::Unknown) {
    WriteWhenDue(recovery, RecoveryValue(kOpen, mIncarnation), aNow, aNow);
  } else if (mPhase == Phase::Open) {
    WriteWhenDue(
      recovery, RecoveryValue(kSettled, mIncarnation), mOpenSince + kRecoveryTime, aNow);
  }
  for (const std::string& group : groups) {
    const std::string key = LeadershipKey(group);
    if (IsStoredRowOlder(group)) {
      WriteWhenDue(key, Encode(mRemembered.at(key)), aNow, aNow);
    } else {
      mPlanned.erase(key);
    }
  }
}

void
StoreRecovery::WriteWhenDue(const std::string& aKey,
                            const std::string& aValue,
                            TimePoint aDueAt,
                            TimePoint aNow)
{
  const auto [planned, isNew] = mPlanned.try_emplace(aKey);
  if (isNew) {
    planned->second.mDueAt = aDueAt + Jitter(aKey);
  }
  mNextCheck =
    std::min(mNextCheck, std::max(planned->second.mDueAt, aNow + kCheckInterval));
  if (planned->second.mIsSent || aNow < planned->second.mDueAt) {
    return;
  }
  planned->second.mIsSent = true;
  Write(aKey, aValue);
}

void
StoreRecovery::Write(const std::string& aKey, const std::string& aValue)
{
  const auto stored = mStored.find(aKey);
  StoredRow row;
  row.mTable = kCoordinationTable;
  row.mKey = aKey;
  row.mValue = aValue;
  row.mRevision = stored == mStored.end() ? 0 : stored->second.mRow.mRevision;
  row.mIncarnation = mIncarnation;
  mHooks.mWrite({ row }, [this, aKey, row](const WriteResult& aResult) {
    const auto planned = mPlanned.find(aKey);
    if (row.mIncarnation != mIncarnation || planned == mPlanned.end()) {
      return;
    }
    planned->second.mIsSent = false;
    planned->second.mDueAt = mHooks.mNow() + kWriteRetryDelay;
    mNextCheck = std::min(mNextCheck, planned->second.mDueAt);
    const auto* written = std::get_if<Written>(&aResult);
    if (written != nullptr && GroupOfLeadership(aKey)) {
      mRestoredRows++;
      OnWritten(row, *written);
      mHooks.mLog(LogLevel::Info,
                  "leadership_restored",
                  { { "key", aKey }, { "row", row.mValue } });
    }
  });
}

Duration
StoreRecovery::Jitter(const std::string& aKey) const
{
  return std::chrono::milliseconds(StableHash({ mInstance, aKey, "recovery" }) %
                                   kMaxJitterMs);
}

} // namespace papayaspindle::proxy
