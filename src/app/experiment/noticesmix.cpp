#include "experiment/noticesmix.h"

#include "experiment/registerhistory.h"

#include <fmt/core.h>

namespace papayaspindle::experiment {

namespace {

constexpr std::uint64_t kNotices = 300;
// Shares of 1,000 requests; the rest are reads of the register.
constexpr std::uint64_t kLodgements = 20;
constexpr std::uint64_t kApprovals = 10;
constexpr std::uint64_t kOwnReads = 20;

} // namespace

NoticesMix::NoticesMix(const MixOptions& aOptions, RegisterHistory& aHistory)
  : mOptions(aOptions)
  , mHistory(aHistory)
{
}

Operation
NoticesMix::Next(std::mt19937_64& aRandom,
                 const OwnWrites& aOwn,
                 const std::string& aUnique)
{
  const std::uint64_t notice = Pick(aRandom, kNotices);
  const std::uint64_t share = Pick(aRandom, 1000);
  if (share < kLodgements) {
    return Lodgement(notice).value_or(RegisterRead(notice));
  }
  if (share < kLodgements + kApprovals) {
    return Approval(notice, aUnique);
  }
  if (share < kLodgements + kApprovals + kOwnReads && aOwn.mReadLast.has_value()) {
    Operation read = *aOwn.mReadLast;
    // The session token, not the age, makes a replica show the session's own writes.
    read.mMaxStaleness = mOptions.mViewAge;
    return read;
  }
  return RegisterRead(notice);
}

std::optional<Operation>
NoticesMix::Lodgement(std::uint64_t aNotice)
{
  Operation lodgement;
  lodgement.mName = "lodgement";
  lodgement.mGroup = GroupOf(aNotice);
  lodgement.mWrite = true;
  lodgement.mRegister = fmt::format("notice/{}", aNotice);
  const auto version = mHistory.BeginVersion(lodgement.mRegister);
  if (!version.has_value()) {
    return std::nullopt;
  }
  lodgement.mVersion = *version;
  lodgement.mStatement = fmt::format(
    "PUT {} {}#{}", lodgement.mRegister, lodgement.mRegister, lodgement.mVersion);
  return lodgement;
}

Operation
NoticesMix::Approval(std::uint64_t aNotice, const std::string& aUnique)
{
  Operation approval;
  approval.mName = "approval";
  approval.mGroup = GroupOf(aNotice);
  approval.mWrite = true;
  approval.mRegister = "approval/" + aUnique;
  approval.mVersion = mHistory.BeginVersion(approval.mRegister).value_or(1);
  approval.mStatement = fmt::format(
    "ADD {} {}#{}", approval.mRegister, approval.mRegister, approval.mVersion);
  return approval;
}

Operation
NoticesMix::RegisterRead(std::uint64_t aNotice) const
{
  Operation read;
  read.mName = "register";
  read.mGroup = GroupOf(aNotice);
  read.mRegister = fmt::format("notice/{}", aNotice);
  read.mStatement = "GET " + read.mRegister;
  read.mMaxStaleness = mOptions.mViewAge;
  return read;
}

const GroupId&
NoticesMix::GroupOf(std::uint64_t aNotice) const
{
  return mOptions.mGroups[aNotice % mOptions.mGroups.size()];
}

} // namespace papayaspindle::experiment
