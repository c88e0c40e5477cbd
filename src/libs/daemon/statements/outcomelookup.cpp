#include "daemon/statements/outcomelookup.h"

#include "convert/convert.h"
#include "daemon/statements/primaryaccess.h"
#include "daemon/statements/statementsettings.h"
#include "interfaces/membercontrol.h"
#include "runtime/workerpool.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>

namespace papayaspindle {

namespace {

constexpr std::size_t kMaxQueuedCalls = 1000;

/** Reports of one round of calls, shared with the calls that outlast it. */
struct Round
{
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::vector<FindRequestReport> mReports;
  std::size_t mOpenCalls = 0;
};

FindRequestReport
ReportOf(const MemberId& aMember, const v1::FindRequestReply& aReply)
{
  return {
    aMember,        aReply.status().term(),         FromMessage(aReply.status().last()),
    aReply.found(), FromMessage(aReply.position()), aReply.affected()
  };
}

/** @return members that answered in the term with an entry of the term */
std::size_t
CountSettled(const std::vector<FindRequestReport>& aReports, std::uint64_t aTerm)
{
  return static_cast<std::size_t>(
    std::count_if(aReports.begin(), aReports.end(), [&](const auto& aReport) {
      return aReport.mTerm == aTerm && aReport.mLastPosition.mTerm == aTerm;
    }));
}

} // namespace

struct OutcomeLookup::Private
{
  explicit Private(std::size_t aThreads)
    : mPool("lookup", aThreads, kMaxQueuedCalls)
  {
  }

  WorkerPool mPool;
};

OutcomeLookup::OutcomeLookup(const DataPath& aPath)
  : mPath(aPath)
  , mPrivate(std::make_unique<Private>(aPath.mSettings.mLookUpThreads))
{
}

OutcomeLookup::~OutcomeLookup() = default;

RequestOutcome
OutcomeLookup::Run(const HomeRequest& aRequest,
                   const std::string& aRequestId,
                   std::optional<std::uint64_t> aHighestSentTerm) const
{
  const auto memberCount = aRequest.mGroup.mMembers.size();
  for (;;) {
    const auto view = AwaitPrimary(mPath, aRequest.mGroup.mGroup, 0, aRequest.mDeadline);
    if (!view) {
      return {};
    }
    const auto reports = AskMembers(aRequest, *view, aRequestId);
    const auto outcome = DecideOutcome(aHighestSentTerm, memberCount, reports);
    if (outcome.mExecution != Execution::Unknown) {
      return outcome;
    }
    const bool isFoundSomewhere = std::any_of(
      reports.begin(), reports.end(), [](const auto& aReport) { return aReport.mFound; });
    const bool mayYetBeProven =
      isFoundSomewhere || (aHighestSentTerm && view->mTerm > *aHighestSentTerm);
    const bool isSettled = CountSettled(reports, view->mTerm) > memberCount / 2;
    // A primary that does not answer will be replaced, and a later term may prove more.
    const bool primaryAnswers =
      std::any_of(reports.begin(), reports.end(), [&](const auto& aReport) {
        return aReport.mMember == view->mPrimary;
      });
    if ((isSettled && primaryAnswers && !mayYetBeProven) ||
        mPath.mHooks.mNow() >= aRequest.mDeadline) {
      return {};
    }
    AwaitLaterView(
      mPath, *view, mPath.mHooks.mNow() + mPath.mSettings.mRetries.mBackoffMin);
  }
}

std::vector<FindRequestReport>
OutcomeLookup::AskMembers(const HomeRequest& aRequest,
                          const GroupView& aView,
                          const std::string& aRequestId) const
{
  v1::FindRequestRequest message;
  message.set_request_id(aRequestId);
  message.set_term(aView.mTerm);
  const auto round = std::make_shared<Round>();
  round->mOpenCalls = aRequest.mGroup.mMembers.size();
  const auto timeout = mPath.mSettings.mLookUpTimeout;
  const auto end = [round] {
    const std::lock_guard lock(round->mMutex);
    --round->mOpenCalls;
    round->mChanged.notify_all();
  };
  for (const auto& member : aRequest.mGroup.mMembers) {
    const bool accepted = mPrivate->mPool.Submit(
      [round, member, message, timeout, end, &control = mPath.mMembers] {
        const auto reply = control.FindRequest(member.mAddress, message, timeout);
        if (IsOk(reply)) {
          const std::lock_guard lock(round->mMutex);
          round->mReports.push_back(ReportOf(member.mMember, ValueOf(reply)));
        }
        end();
      });
    if (!accepted) {
      end();
    }
  }
  std::unique_lock lock(round->mMutex);
  // Each call ends by its own time limit.
  round->mChanged.wait(lock, [&] { return round->mOpenCalls == 0; });
  return round->mReports;
}

} // namespace papayaspindle
