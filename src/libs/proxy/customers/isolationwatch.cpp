#include "proxy/customers/isolationwatch.h"

#include "proxy/customers/limitertimes.h"

#include <algorithm>
#include <utility>

namespace papayaspindle::proxy {

namespace {

// Silence of the other instances after which this instance may be isolated. Longer than
// five pings, of which links with faults lose some.
constexpr Duration kMaxSilence = std::chrono::seconds(5);
constexpr Duration kPingInterval = std::chrono::milliseconds(800);

// Time for which this instance counts as isolated if its row was never written.
constexpr Duration kInitialTrust = std::chrono::seconds(10);

} // namespace

IsolationWatch::IsolationWatch(std::string aInstance,
                               std::string aZone,
                               TimePoint aStartedAt)
  : mInstance(std::move(aInstance))
  , mZone(std::move(aZone))
  , mRowTrustedUntil(aStartedAt + kInitialTrust)
  , mRowWrittenAt(aStartedAt)
{
}

void
IsolationWatch::SetInstances(std::span<const RegisteredInstance> aInstances,
                             TimePoint aNow)
{
  std::map<std::string, Zone, std::less<>> zones;
  mZoneOf.clear();
  for (const RegisteredInstance& instance : aInstances) {
    if (instance.mInstance == mInstance) {
      continue;
    }
    mZoneOf[instance.mInstance] = instance.mZone;
    const auto [zone, isNew] = zones.try_emplace(instance.mZone);
    if (isNew) {
      const auto known = mZones.find(instance.mZone);
      // A new list was read just now, so a zone that it adds is not silent yet.
      zone->second.mAnsweredAt = known == mZones.end() ? aNow : known->second.mAnsweredAt;
      zone->second.mPingedAt =
        known == mZones.end() ? TimePoint() : known->second.mPingedAt;
    }
    zone->second.mInstances.push_back(instance.mInstance);
  }
  mZones = std::move(zones);
}

TimePoint
IsolationWatch::LastContact(TimePoint aNow) const
{
  if (mZones.empty()) {
    return aNow;
  }
  std::vector<TimePoint> answers;
  for (const auto& [name, zone] : mZones) {
    if (name != mZone) {
      answers.push_back(zone.mAnsweredAt);
    }
  }
  if (answers.empty()) {
    return mZones.begin()->second.mAnsweredAt;
  }
  // The own zone counts as reached; with it, more than half of the zones have answered
  // since the time at this index of the others.
  const std::size_t zones = answers.size() + 1;
  const auto last = static_cast<std::ptrdiff_t>(zones / 2 - 1);
  std::nth_element(
    answers.begin(), answers.begin() + last, answers.end(), std::greater<>());
  return answers[static_cast<std::size_t>(last)];
}

void
IsolationWatch::OnPeerAnswered(std::string_view aInstance, TimePoint aNow)
{
  const auto name = mZoneOf.find(aInstance);
  if (name == mZoneOf.end()) {
    return;
  }
  const bool wasSilent = aNow - LastContact(aNow) > kMaxSilence;
  Zone& zone = mZones.find(name->second)->second;
  zone.mAnsweredAt = std::max(zone.mAnsweredAt, aNow);
  if (wasSilent && aNow - LastContact(aNow) <= kMaxSilence) {
    mContactRestoredAt = aNow;
  }
}

std::vector<std::string>
IsolationWatch::PeersToPing(TimePoint aNow)
{
  std::vector<std::string> peers;
  for (auto& [name, zone] : mZones) {
    const bool isNeeded = name != mZone || mZones.size() == 1;
    if (isNeeded && aNow - std::max(zone.mAnsweredAt, zone.mPingedAt) >= kPingInterval) {
      zone.mPingedAt = aNow;
      peers.push_back(zone.mInstances[zone.mNextPing++ % zone.mInstances.size()]);
    }
  }
  return peers;
}

void
IsolationWatch::OnOwnRow(const ConfirmedRow& aRow, TimePoint aNow)
{
  if (aRow.mWrittenAt <= mRowWrittenAt) {
    return;
  }
  if (LacksContact(aNow)) {
    mRejoinedAt = aNow;
  }
  mRowWrittenAt = aRow.mWrittenAt;
  // Until the others list a rewritten row, their next read and a slow answer of the store
  // pass.
  mListSpread = ListSpreadFor(aRow.mReadInterval);
  mRowTrustedUntil =
    aRow.mWrittenAt + aRow.mLifetime + mListSpread - aRow.mReadInterval - kSlowListAnswer;
}

bool
IsolationWatch::LacksContact(TimePoint aNow) const
{
  const bool isSilent = aNow - LastContact(aNow) > kMaxSilence;
  const bool wasSilent = mContactRestoredAt && aNow - *mContactRestoredAt < mListSpread;
  return aNow >= mRowTrustedUntil && (isSilent || wasSilent);
}

bool
IsolationWatch::MayBeReplaced(TimePoint aNow) const
{
  return LacksContact(aNow) || (mRejoinedAt && aNow - *mRejoinedAt < mListSpread);
}

} // namespace papayaspindle::proxy
