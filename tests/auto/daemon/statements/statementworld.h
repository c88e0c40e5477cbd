#pragma once

#include "convert/convert.h"
#include "daemon/statements/fakegroup.h"
#include "daemon/statements/freshnessboard.h"
#include "daemon/statements/statementmanager.h"
#include "interfaces/homes.h"
#include "interfaces/instances.h"
#include "interfaces/peercalls.h"
#include "interfaces/peerhandlers.h"
#include "observe/tracer.h"
#include "runtime/grouptable.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace papayaspindle::test {

inline const GroupId kGroup("g");

/** What goes wrong with one call to a peer. */
enum class PeerFault : std::uint8_t
{
  None,
  Unreachable,
  LoseAnswer,
  /** The answer to another request arrives. */
  Crossed,
};

/** Delivers calls to the handlers of the instance with that address. */
class FakePeers : public PeerCalls
{
public:
  Result<std::string> Call(const PeerCall& aCall) override
  {
    ++mCalls[aCall.mAddress];
    auto& faults = mFaults[aCall.mAddress];
    const auto fault = faults.empty() ? PeerFault::None : faults.front();
    if (!faults.empty()) {
      faults.pop_front();
    }
    if (fault == PeerFault::Unreachable || !mHandlers.contains(aCall.mAddress)) {
      return Error{ ErrorKind::PeerUnreachable, "" };
    }
    auto reply = mHandlers[aCall.mAddress]({ aCall.mMethod, aCall.mBody, "" });
    if (fault == PeerFault::LoseAnswer) {
      return Error{ ErrorKind::OutcomeUnknown, "" };
    }
    if (fault == PeerFault::Crossed) {
      v1::ForwardReply other;
      other.mutable_begin()->set_transaction_id("of another request");
      return other.SerializeAsString();
    }
    return reply;
  }

  std::map<std::string, PeerHandler> mHandlers;
  std::map<std::string, std::deque<PeerFault>> mFaults;
  std::map<std::string, int> mCalls;
};

class FakeInstances : public Instances
{
public:
  [[nodiscard]] InstanceInfo Self() const override { return mSelf; }
  [[nodiscard]] std::vector<InstanceInfo> Live() const override { return mLive; }
  [[nodiscard]] std::vector<InstanceInfo> All() const override { return mLive; }
  [[nodiscard]] std::optional<InstanceInfo> Find(
    const InstanceId& aInstance) const override
  {
    const auto found =
      std::find_if(mLive.begin(), mLive.end(), [&](const InstanceInfo& aInfo) {
        return aInfo.mInstance == aInstance;
      });
    return found == mLive.end() ? std::nullopt : std::optional(*found);
  }
  [[nodiscard]] bool MayActAsKeeper() const override { return true; }

  InstanceInfo mSelf;
  std::vector<InstanceInfo> mLive;
};

class FakeHomes : public Homes
{
public:
  [[nodiscard]] std::vector<InstanceId> HomesOf(const GroupId&) const override
  {
    return mHomes;
  }
  [[nodiscard]] int OwnRank(const GroupId&) const override
  {
    const auto own = std::find(mHomes.begin(), mHomes.end(), mSelf);
    return own == mHomes.end() ? -1 : static_cast<int>(own - mHomes.begin());
  }

  InstanceId mSelf;
  std::vector<InstanceId> mHomes;
};

/** One entry instance; its peer address is its name. */
class Node : public PeerHandlers
{
public:
  Node(const std::string& aName,
       const std::vector<std::string>& aHomes,
       FakeGroup& aGroup,
       ManualClock& aClock,
       FakePeers& aPeers)
    : mTracer(aName, {}, nullptr)
    , mPeers(aPeers)
    , mName(aName)
  {
    const std::vector<std::pair<std::string, std::string>> instances{ { "e1", "za" },
                                                                      { "e2", "zb" },
                                                                      { "e3", "za" } };
    for (const auto& [name, zone] : instances) {
      mInstances.mLive.push_back(
        { InstanceId(name), AvailabilityZone(zone), name, "", Liveness::Alive, 0 });
    }
    mInstances.mSelf = *mInstances.Find(InstanceId(aName));
    mHomes.mSelf = InstanceId(aName);
    for (const auto& home : aHomes) {
      mHomes.mHomes.emplace_back(home);
    }
    GroupSettings settings{ kGroup, {}, 2, 16, { { "public", std::chrono::seconds(1) } },
                            1 };
    for (const std::string member : { "a", "b", "c" }) {
      settings.mMembers.push_back(
        { MemberId(member), member, AvailabilityZone("z" + member), false });
    }
    mGroups.OfferSettings(settings);
    mGroups.OfferView({ kGroup, 1, MemberId("a") });
    StatementSettings statementSettings;
    statementSettings.mTokens.mKeys = { "key" };
    statementSettings.mTokens.mMaxGroups = 2;
    statementSettings.mMaxStatementBytes = 1000;
    statementSettings.mReplication.mThreads = 4;
    const StatementHooks hooks{ [&aClock] { return aClock.Now(); },
                                [&aClock](Duration aBy) { aClock.Advance(aBy); },
                                [this] { return ++mRandom; } };
    mManager = std::make_unique<StatementManager>(
      StatementReferences{
        mGroups, mHomes, mInstances, aGroup, aGroup, aPeers, *this, mFreshness, mTracer },
      statementSettings,
      hooks);
  }

  void Register(std::string_view, PeerHandler aHandler) override
  {
    mPeers.mHandlers[mName] = std::move(aHandler);
  }

  FreshnessBoard mFreshness;
  GroupTable mGroups;
  FakeInstances mInstances;
  FakeHomes mHomes;
  Tracer mTracer;
  FakePeers& mPeers;
  std::string mName;
  std::atomic<std::uint64_t> mRandom = 0;
  std::unique_ptr<StatementManager> mManager;
};

/** Three instances; e1 and e2 are homes of the group, e3 forwards. */
struct World
{
  explicit World(const std::vector<std::string>& aHomes = { "e1", "e2" })
    : mE1("e1", aHomes, mGroup, mClock, mPeers)
    , mE2("e2", aHomes, mGroup, mClock, mPeers)
    , mE3("e3", aHomes, mGroup, mClock, mPeers)
  {
  }

  Node& At(const std::string& aName)
  {
    return aName == "e1" ? mE1 : aName == "e2" ? mE2 : mE3;
  }

  v1::ExecuteReply Execute(const std::string& aAt, const v1::ExecuteRequest& aRequest)
  {
    auto reply = At(aAt).mManager->Execute(aRequest, "");
    mToken = reply.session_token();
    return reply;
  }

  /** All instances learn of a failover. */
  void FailOver(const std::string& aPrimary,
                std::uint64_t aTerm,
                const std::vector<std::string>& aFollowers)
  {
    mGroup.Promote(aPrimary, aTerm, aFollowers);
    for (Node* node : { &mE1, &mE2, &mE3 }) {
      node->mGroups.OfferView({ kGroup, aTerm, MemberId(aPrimary) });
    }
  }

  /** One round of the monitor's polls at an instance. */
  void Poll(const std::string& aAt)
  {
    for (const std::string member : { "a", "b", "c" }) {
      const auto askedAt = mClock.Now();
      const auto status = mGroup.Status(member, std::chrono::milliseconds(1));
      if (IsOk(status)) {
        At(aAt).mFreshness.OnStatus(kGroup, MemberId(member), ValueOf(status), askedAt);
      }
    }
  }

  [[nodiscard]] v1::ExecuteRequest Read(const std::string& aStatement,
                                        std::uint64_t aMaxStalenessMs = 0) const
  {
    v1::ExecuteRequest request;
    request.set_group("g");
    request.set_statement(aStatement);
    request.set_access(v1::ACCESS_MODE_READ);
    request.set_session_token(mToken);
    request.set_max_staleness_ms(aMaxStalenessMs);
    return request;
  }

  [[nodiscard]] v1::ExecuteRequest Write(const std::string& aStatement,
                                         const std::string& aId) const
  {
    auto request = Read(aStatement);
    request.set_access(v1::ACCESS_MODE_WRITE);
    request.set_request_id(aId);
    return request;
  }

  ManualClock mClock;
  FakeGroup mGroup{ mClock };
  FakePeers mPeers;
  /** Session token of the last reply. */
  std::string mToken;
  Node mE1;
  Node mE2;
  Node mE3;
};

/** @return the reply's error kind, or "" on success */
template<typename Reply>
std::string
KindOf(const Reply& aReply)
{
  return aReply.has_error() ? aReply.error().kind() : "";
}

} // namespace papayaspindle::test
