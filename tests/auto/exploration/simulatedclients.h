#pragma once

#include "exploration/peerlinks.h"
#include "exploration/simulatedclient.h"
#include "exploration/simulatedgroup.h"
#include "exploration/statementledger.h"
#include "proxy/answerpolicy.h"
#include "proxy/proxyconfiguration.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace papayaspindle::exploration {

using namespace std::chrono_literals;

/** Clients of all instances; they pass what they observe to the ledger. */
class SimulatedClients
{
public:
  using Instances = std::map<std::string, std::shared_ptr<SimulatedInstance>>;
  using Groups = std::map<std::string, std::unique_ptr<SimulatedGroup>>;

  SimulatedClients(ExplorationContext& aContext,
                   StatementLedger& aLedger,
                   const Instances& aInstances,
                   const Groups& aGroups,
                   const proxy::ProxyConfiguration& aConfiguration,
                   const std::vector<std::string>& aCustomers)
    : mContext(aContext)
    , mLedger(aLedger)
    , mInstances(aInstances)
    , mGroups(aGroups)
    , mConfiguration(aConfiguration)
    , mCustomers(aCustomers)
  {
  }

  /** Lets some clients of each instance send a statement. */
  void Step()
  {
    for (const auto& [name, instance] : mInstances) {
      for (std::size_t slot = 0; slot < kClientsPerInstance + mGroups.size(); slot++) {
        if (instance->IsRunning() && mContext.mRandom.Chance(kSendChance)) {
          Act(*instance, { name, slot });
        }
      }
    }
  }

  void OnAccepted(SimulatedInstance& aInstance, proxy::SessionKey aKey)
  {
    if (SimulatedClient* client = Find(aInstance, aKey)) {
      client->mIsAccepted = true;
    }
  }

  void OnAnswer(SimulatedInstance& aInstance,
                proxy::SessionKey aKey,
                const proxy::ClientAnswer& aAnswer)
  {
    SimulatedClient* client = Find(aInstance, aKey);
    if (client == nullptr) {
      return;
    }
    if (!client->mIsAccepted && aAnswer.mError) {
      // The refusal of a session takes the place of its greeting.
      return;
    }
    if (client->mSent.empty()) {
      mContext.mJournal.Report(
        "PINNED", { client->mName }, client->mName + " has an answer to no statement");
      return;
    }
    const SimulatedClient::Sent sent = client->mSent.front();
    client->mSent.pop_front();
    const std::string& id = sent.mStatement.mId;
    mContext.mJournal.Note(
      id,
      fmt::format("{} answers {}",
                  aInstance.Name(),
                  aAnswer.mError ? std::string(proxy::AnswerName(*aAnswer.mError)) + " " +
                                     aAnswer.mText
                                 : aAnswer.mText));
    if (aAnswer.mError) {
      mAnswers[std::string(proxy::AnswerName(*aAnswer.mError))]++;
      OnError(*client, sent.mStatement, *aAnswer.mError);
    } else {
      mAnswers["served"]++;
      OnSuccess(*client, aInstance.Name(), sent.mStatement, aAnswer);
    }
    client->mState = aAnswer.mState;
  }

  void OnClosed(SimulatedInstance& aInstance, proxy::SessionKey aKey)
  {
    if (SimulatedClient* client = Find(aInstance, aKey)) {
      Abandon(*client);
      Forget(aInstance.Name(), aKey);
    }
  }

  void OnInstanceKilled(const std::string& aName)
  {
    for (auto& [key, client] : mClients) {
      if (key.first == aName) {
        Abandon(client);
      }
    }
    std::erase_if(mClients,
                  [&](const auto& aEach) { return aEach.first.first == aName; });
    std::erase_if(mSlots, [&](const auto& aEach) { return aEach.first.first == aName; });
  }

  void CloseAll()
  {
    for (const auto& [place, session] : std::exchange(mSlots, {})) {
      Close(*mInstances.at(place.first), session);
    }
  }

  /** Checks at a home, or where a client's instance runs a write itself, that the member
   * that has acknowledged the write leads. */
  void CheckAcceptance(const proxy::ClientAnswer& aAnswer)
  {
    if (aAnswer.mError || !aAnswer.mText.starts_with("sig-")) {
      return;
    }
    const std::string id = aAnswer.mText.substr(4, aAnswer.mText.rfind('-') - 4);
    if (mLedger.CommitOf(id) != nullptr && mAccepted.insert(id).second) {
      mGroups.at(mLedger.Find(id)->mGroup)->CheckLeader(id);
    }
  }

  /** Reports statements that have waited far longer than any timeout. */
  void CheckUnanswered()
  {
    for (const auto& [key, client] : mClients) {
      if (!client.mSent.empty() &&
          mContext.mClock.Now() - client.mSent.front().mAt > kLongestWait) {
        const std::string& id = client.mSent.front().mStatement.mId;
        mContext.mJournal.Report("UNANSWERED", { id }, id + " has no answer");
      }
    }
  }

  /** Whether clients pause inside transactions. Their connections may be all that a home
   * has for a group, so that nothing else is served meanwhile. */
  bool mMayIdle = true;

  /** @return when a write of a group was last acknowledged at an instance */
  [[nodiscard]] TimePoint LastWrite(const std::string& aGroup,
                                    const std::string& aInstance) const
  {
    const auto found = mLastWrites.find({ aGroup, aInstance });
    return found == mLastWrites.end() ? TimePoint() : found->second;
  }
  /** Number of answers by their code. */
  [[nodiscard]] const std::map<std::string, std::size_t>& Answers() const
  {
    return mAnswers;
  }

private:
  /** Instance and number of a client. */
  using Place = std::pair<std::string, std::size_t>;

  static constexpr std::size_t kClientsPerInstance = 4;
  static constexpr std::uint64_t kSendChance = 300;
  static constexpr Duration kLongestWait = 2500ms;

  SimulatedClient* Find(const SimulatedInstance& aInstance, proxy::SessionKey aKey)
  {
    const auto found = mClients.find({ aInstance.Name(), aKey });
    return found == mClients.end() || !aInstance.IsRunning() ? nullptr : &found->second;
  }

  /** One client of each group and instance only sends single writes, so that it shows
   * whether the instance serves the group. */
  static bool IsProbe(const Place& aPlace)
  {
    return aPlace.second >= kClientsPerInstance;
  }

  void Forget(const std::string& aInstance, proxy::SessionKey aKey)
  {
    mClients.erase({ aInstance, aKey });
    std::erase_if(mSlots, [&](const auto& aEach) {
      return aEach.first.first == aInstance && aEach.second == aKey;
    });
  }

  void Act(SimulatedInstance& aInstance, const Place& aPlace);
  /** @return whether the client sends a statement before the answer to the last one,
   * which must not change the session's state */
  bool MaySendAhead(const SimulatedClient& aClient);
  void Open(SimulatedInstance& aInstance, const Place& aPlace);
  void Close(SimulatedInstance& aInstance, proxy::SessionKey aKey);
  /** Records what follows from the end of a session: an open transaction whose COMMIT was
   * not sent is rolled back. */
  void Abandon(SimulatedClient& aClient);
  void RefuseAll(SimulatedClient& aClient);
  proxy::Statement ChooseStatement(const SimulatedClient& aClient, bool aIsProbe);
  [[nodiscard]] TimePoint VisibleBefore(const SimulatedClient& aClient) const;
  void Send(SimulatedInstance& aInstance,
            proxy::SessionKey aKey,
            SimulatedClient& aClient,
            const proxy::Statement& aStatement);
  /** @return whether a client may conclude that nothing is kept; not taken from
   * AnswerPolicy, which is under test */
  static bool PromisesNoEffect(proxy::AnswerCode aCode);
  void OnError(SimulatedClient& aClient,
               const proxy::Statement& aStatement,
               proxy::AnswerCode aCode);
  void OnSuccess(SimulatedClient& aClient,
                 const std::string& aInstance,
                 const proxy::Statement& aStatement,
                 const proxy::ClientAnswer& aAnswer);
  void OnWriteAcknowledged(SimulatedClient& aClient,
                           const std::string& aInstance,
                           const std::string& aId);

  ExplorationContext& mContext;
  StatementLedger& mLedger;
  const Instances& mInstances;
  const Groups& mGroups;
  const proxy::ProxyConfiguration& mConfiguration;
  std::vector<std::string> mCustomers;
  std::map<std::pair<std::string, proxy::SessionKey>, SimulatedClient> mClients;
  std::map<Place, proxy::SessionKey> mSlots;
  /** Writes whose acknowledgement was checked by CheckAcceptance. */
  std::set<std::string> mAccepted;
  std::map<std::pair<std::string, std::string>, TimePoint> mLastWrites;
  std::map<std::string, std::size_t> mAnswers;
  proxy::SessionKey mNextSession = 0;
  std::uint64_t mNextStatement = 0;
};

} // namespace papayaspindle::exploration
