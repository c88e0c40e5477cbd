#include "daemon/failover/actionrunner.h"

#include "convert/convert.h"
#include "daemon/failover/statusmessage.h"
#include "interfaces/groups.h"
#include "interfaces/homes.h"
#include "interfaces/instances.h"
#include "interfaces/membercontrol.h"
#include "interfaces/peercalls.h"
#include "interfaces/tablestore.h"
#include "observe/log.h"
#include "observe/tracer.h"

#include <algorithm>
#include <utility>

namespace papayaspindle {

namespace {

constexpr std::size_t kMostWaiting = 10000;
constexpr std::string_view kTable = "groups";

/** Where an action goes, for the check that its like is not in flight. */
template<typename Action>
std::string
DestinationOf(const Action& aAction)
{
  if constexpr (requires { aAction.mMember; }) {
    return aAction.mMember.Text();
  } else if constexpr (requires { aAction.mHome; }) {
    return aAction.mHome.Text();
  } else {
    return {};
  }
}

RecordedView
RecordedViewFrom(const v1::TableRow& aRow)
{
  v1::GroupView view;
  if (aRow.version() == 0 || !view.ParseFromString(aRow.value())) {
    return { {}, aRow.version() };
  }
  return { FromMessage(view), aRow.version() };
}

} // namespace

ActionRunner::ActionRunner(const FailoverManager::References& aReferences,
                           const FailoverManagerSettings& aSettings,
                           FailoverHooks aHooks)
  : mReferences(aReferences)
  , mSettings(aSettings)
  , mHooks(std::move(aHooks))
{
  if (mHooks.mRun) {
    return;
  }
  mMemberPool = std::make_unique<WorkerPool>(
    "failover-members", aSettings.mMemberThreads, kMostWaiting);
  mPeerPool =
    std::make_unique<WorkerPool>("failover-peers", aSettings.mPeerThreads, kMostWaiting);
  mStorePool =
    std::make_unique<WorkerPool>("failover-store", aSettings.mStoreThreads, kMostWaiting);
}

void
ActionRunner::Feed(const State& aState, const Event& aEvent)
{
  KeeperActions actions;
  {
    const std::lock_guard lock(aState->mMutex);
    actions = aEvent(aState->mKeeper, mHooks.mNow());
    aState->Observe(actions, mReferences.mTracer);
  }
  // Dropped requests are made again by a later tick, and a dropped view is learned again.
  if (!mReferences.mInstances.MayActAsKeeper()) {
    Drop(aState, actions);
    return;
  }
  for (const KeeperAction& action : actions) {
    CarryOut(aState, action);
  }
}

void
ActionRunner::Drop(const State& aState, const KeeperActions& aActions)
{
  const bool waitsForStore =
    std::any_of(aActions.begin(), aActions.end(), [](const KeeperAction& aAction) {
      return std::holds_alternative<ReadRecord>(aAction) ||
             std::holds_alternative<WriteRecord>(aAction);
    });
  if (waitsForStore) {
    const std::lock_guard lock(aState->mMutex);
    aState->mKeeper.OnRecordFailure(mHooks.mNow());
  }
}

void
ActionRunner::Stop()
{
  mStopping = true;
}

void
ActionRunner::CarryOut(const State& aState, const KeeperAction& aAction)
{
  if (const auto* announce = std::get_if<AnnounceView>(&aAction)) {
    Do(aState, *announce);
    return;
  }
  const std::pair key(
    std::visit([](const auto& aKnown) { return DestinationOf(aKnown); }, aAction),
    aAction.index());
  const auto done = [aState, key] {
    const std::lock_guard lock(aState->mMutex);
    aState->mInFlight.erase(key);
  };
  {
    const std::lock_guard lock(aState->mMutex);
    if (!aState->mInFlight.insert(key).second) {
      return;
    }
  }
  const bool toStore = std::holds_alternative<ReadRecord>(aAction) ||
                       std::holds_alternative<WriteRecord>(aAction);
  const bool toPeer = std::holds_alternative<RequestConfirmation>(aAction);
  const auto& pool = toStore ? mStorePool : toPeer ? mPeerPool : mMemberPool;
  const bool accepted = Submit(pool, [this, aState, aAction, done] {
    std::visit([&](const auto& aKnown) { Do(aState, aKnown); }, aAction);
    done();
  });
  if (!accepted) {
    done();
    Drop(aState, { aAction });
  }
}

void
ActionRunner::Do(const State& aState, const SendRaiseTerm& aAction)
{
  v1::RaiseTermRequest request;
  request.set_term(aAction.mTerm);
  request.set_keeper(aAction.mKeeper);
  const TimePoint askedAt = mHooks.mNow();
  const auto result = mReferences.mMembers.RaiseTerm(
    AddressOf(aState->mGroup, aAction.mMember), request, mSettings.mMemberTimeout);
  if (!IsOk(result)) {
    NoAnswer(aState, aAction.mMember, ErrorOf(result));
    return;
  }
  const v1::RaiseTermReply& reply = ValueOf(result);
  const ControlReply known =
    ControlReplyFrom(aAction.mTerm, reply.granted(), aAction.mMember, reply, askedAt);
  Feed(aState, [&](GroupKeeper& aKeeper, TimePoint aNow) {
    return aKeeper.OnRaiseTermReply(known, aNow);
  });
}

void
ActionRunner::Do(const State& aState, const SendPromote& aAction)
{
  v1::PromoteRequest request;
  request.set_term(aAction.mTerm);
  request.set_keeper(aAction.mKeeper);
  if (const auto settings = mReferences.mGroups.Settings(aState->mGroup)) {
    for (const MemberSettings& member : settings->mMembers) {
      v1::MemberAddress& added = *request.add_members();
      added.set_member(member.mMember.Text());
      added.set_address(member.mAddress);
    }
  }
  const TimePoint askedAt = mHooks.mNow();
  const auto result = mReferences.mMembers.Promote(
    AddressOf(aState->mGroup, aAction.mMember), request, mSettings.mMemberTimeout);
  if (!IsOk(result)) {
    NoAnswer(aState, aAction.mMember, ErrorOf(result));
    return;
  }
  const v1::PromoteReply& reply = ValueOf(result);
  const ControlReply known =
    ControlReplyFrom(aAction.mTerm, reply.promoted(), aAction.mMember, reply, askedAt);
  Feed(aState, [&](GroupKeeper& aKeeper, TimePoint aNow) {
    return aKeeper.OnPromoteReply(known, aNow);
  });
}

void
ActionRunner::Do(const State& aState, const SendFollow& aAction)
{
  v1::FollowRequest request;
  request.set_term(aAction.mTerm);
  request.mutable_primary()->set_member(aAction.mPrimary.Text());
  request.mutable_primary()->set_address(AddressOf(aState->mGroup, aAction.mPrimary));
  const TimePoint askedAt = mHooks.mNow();
  const auto result = mReferences.mMembers.Follow(
    AddressOf(aState->mGroup, aAction.mMember), request, mSettings.mMemberTimeout);
  if (!IsOk(result)) {
    NoAnswer(aState, aAction.mMember, ErrorOf(result));
    return;
  }
  const v1::FollowReply& reply = ValueOf(result);
  const ControlReply known =
    ControlReplyFrom(aAction.mTerm, reply.following(), aAction.mMember, reply, askedAt);
  Feed(aState, [&](GroupKeeper& aKeeper, TimePoint aNow) {
    return aKeeper.OnFollowReply(known, aNow);
  });
}

void
ActionRunner::Do(const State& aState, const SendStatus& aAction)
{
  const TimePoint askedAt = mHooks.mNow();
  const auto result = mReferences.mMembers.Status(
    AddressOf(aState->mGroup, aAction.mMember), mSettings.mMemberTimeout);
  if (!IsOk(result)) {
    NoAnswer(aState, aAction.mMember, ErrorOf(result));
    return;
  }
  const MemberStatus status =
    StatusFromMessage(aAction.mMember, ValueOf(result), askedAt);
  Feed(aState, [&](GroupKeeper& aKeeper, TimePoint aNow) {
    return aKeeper.OnStatus(status, aNow);
  });
}

void
ActionRunner::Do(const State& aState, const RequestConfirmation& aAction)
{
  const std::optional<InstanceInfo> home = mReferences.mInstances.Find(aAction.mHome);
  if (!home) {
    return;
  }
  const GroupView view = mReferences.mGroups.View(aState->mGroup);
  v1::ConfirmSuspicionRequest request;
  request.set_group(aState->mGroup.Text());
  request.set_member(view.mPrimary.Text());
  request.set_term(view.mTerm);
  const auto result = mReferences.mPeers.Call({ home->mPeerAddress,
                                                "ConfirmSuspicion",
                                                request.SerializeAsString(),
                                                {},
                                                mSettings.mPeerTimeout });
  v1::ConfirmSuspicionReply reply;
  if (!IsOk(result) || !reply.ParseFromString(ValueOf(result))) {
    return;
  }
  const ConfirmationReply known{ aAction.mHome,
                                 reply.reachable(),
                                 std::chrono::milliseconds(reply.silence_ms()),
                                 reply.term() };
  Feed(aState, [&](GroupKeeper& aKeeper, TimePoint aNow) {
    return aKeeper.OnConfirmation(known, aNow);
  });
  if (reply.term() > view.mTerm) {
    ExchangeViews(aState->mGroup, home->mPeerAddress);
  }
}

void
ActionRunner::Do(const State& aState, const AnnounceView& aAction)
{
  mReferences.mGroups.OfferView(aAction.mView);
  const InstanceId self = mReferences.mInstances.Self().mInstance;
  for (const InstanceId& home : mReferences.mHomes.HomesOf(aState->mGroup)) {
    const std::optional<InstanceInfo> info = mReferences.mInstances.Find(home);
    if (home != self && info) {
      Submit(mPeerPool, [this, aState, address = info->mPeerAddress] {
        ExchangeViews(aState->mGroup, address);
      });
    }
  }
}

void
ActionRunner::Do(const State& aState, const ReadRecord& /*aAction*/)
{
  v1::TableReadRequest request;
  request.set_table(std::string(kTable));
  request.set_key(aState->mGroup.Text());
  const auto result = mReferences.mStore.Read(request, mSettings.mStoreTimeout);
  Feed(aState, [&](GroupKeeper& aKeeper, TimePoint aNow) {
    if (!IsOk(result)) {
      aKeeper.OnRecordFailure(aNow);
      return KeeperActions{};
    }
    return aKeeper.OnRecordRow(RecordedViewFrom(ValueOf(result).row()), aNow);
  });
}

void
ActionRunner::Do(const State& aState, const WriteRecord& aAction)
{
  v1::TransactRequest request;
  v1::RowCondition& condition = *request.add_conditions();
  condition.set_table(std::string(kTable));
  condition.set_key(aState->mGroup.Text());
  condition.set_version(aAction.mVersion);
  v1::RowChange& change = *request.add_changes();
  change.set_table(std::string(kTable));
  change.set_key(aState->mGroup.Text());
  change.set_value(ToMessage(aAction.mView).SerializeAsString());
  const auto result = mReferences.mStore.Transact(request, mSettings.mStoreTimeout);
  Feed(aState, [&](GroupKeeper& aKeeper, TimePoint aNow) {
    if (IsOk(result) && ValueOf(result).committed()) {
      aKeeper.OnRecordCommitted(aNow);
      return KeeperActions{};
    }
    if (!IsOk(result) || ValueOf(result).conflicts().empty()) {
      aKeeper.OnRecordFailure(aNow);
      return KeeperActions{};
    }
    return aKeeper.OnRecordRow(RecordedViewFrom(ValueOf(result).conflicts(0)), aNow);
  });
}

void
ActionRunner::ExchangeViews(const GroupId& aGroup, const std::string& aAddress)
{
  v1::GroupViewUpdate update;
  *update.add_views() = ToMessage(mReferences.mGroups.View(aGroup));
  const auto result = mReferences.mPeers.Call({ aAddress,
                                                "GroupViewUpdate",
                                                update.SerializeAsString(),
                                                {},
                                                mSettings.mPeerTimeout });
  v1::GroupViewUpdateReply reply;
  if (!IsOk(result) || !reply.ParseFromString(ValueOf(result))) {
    return;
  }
  for (const v1::GroupView& newer : reply.newer()) {
    mReferences.mGroups.OfferView(FromMessage(newer));
  }
}

void
ActionRunner::NoAnswer(const State& aState, const MemberId& aMember, const Error& aError)
{
  const bool refused = aError.mMessage.starts_with("refused");
  Feed(aState, [&](GroupKeeper& aKeeper, TimePoint aNow) {
    return aKeeper.OnNoAnswer(
      aMember, refused ? PollFailure::Refused : PollFailure::Unresponsive, aNow);
  });
}

std::string
ActionRunner::AddressOf(const GroupId& aGroup, const MemberId& aMember) const
{
  const std::optional<GroupSettings> settings = mReferences.mGroups.Settings(aGroup);
  if (!settings) {
    return {};
  }
  const auto& members = settings->mMembers;
  const auto found = std::find_if(members.begin(), members.end(), [&](const auto& aOne) {
    return aOne.mMember == aMember;
  });
  return found == members.end() ? std::string() : found->mAddress;
}

bool
ActionRunner::Submit(const std::unique_ptr<WorkerPool>& aPool,
                     std::function<void()> aTask)
{
  if (mStopping) {
    return false;
  }
  return mHooks.mRun ? mHooks.mRun(std::move(aTask))
                     : aPool && aPool->Submit(std::move(aTask));
}

} // namespace papayaspindle
