#pragma once

#include "exploration/peerlink.h"
#include "forwarding/forwardcodec.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace papayaspindle::exploration {

using namespace std::chrono_literals;

/** Forwarding between instances: the behaviour of ForwardClient and ForwardServer with
 * the codec of both, over channels with delays, cuts and breaks. */
class PeerLinks
{
public:
  using Instances = std::map<std::string, std::shared_ptr<SimulatedInstance>>;

  PeerLinks(ExplorationContext& aContext, const Instances& aInstances)
    : mContext(aContext)
    , mInstances(aInstances)
  {
  }

  static bool IsForwardedSession(proxy::SessionKey aSession)
  {
    return aSession >= kFirstForwardedSession;
  }

  void Forward(SimulatedInstance& aEntry,
               const std::string& aHome,
               proxy::OperationKey aOperation,
               const proxy::ForwardedStatement& aStatement)
  {
    const auto link = Connect(aEntry, aHome);
    if (!link) {
      const UnsentStatement unsent(aEntry.Name(), aOperation);
      mUnsent.insert(unsent);
      mContext.mClock.After(Latency(),
                            [this, entry = aEntry.shared_from_this(), unsent, aHome] {
                              entry->Post([this, entry, unsent, aHome] {
                                if (mUnsent.erase(unsent) > 0) {
                                  entry->OnForwardFailed(unsent.second, false, aHome);
                                }
                              });
                            });
      return;
    }
    const RequestNumber request = ++mNewestRequest;
    link->mPending[request] = aOperation;
    mContext.mJournal.Note(aStatement.mStatement.mId,
                           fmt::format("{} forwards to {}", aEntry.Name(), aHome));
    link->mToHome->Send(
      Latency(), [this, link, request, bytes = EncodeForwardedStatement(aStatement)] {
        link->mIsConnected = true;
        link->mHome->Post([this, link, request, bytes] {
          OnStatement(link, request, *DecodeForwardedStatement(bytes));
        });
      });
  }

  void Cancel(SimulatedInstance& aEntry, proxy::OperationKey aOperation)
  {
    mUnsent.erase({ aEntry.Name(), aOperation });
    for (const auto& link : mLinks) {
      if (link->mEntry.get() != &aEntry) {
        continue;
      }
      const auto pending =
        std::find_if(link->mPending.begin(),
                     link->mPending.end(),
                     [&](const auto& aEach) { return aEach.second == aOperation; });
      if (pending != link->mPending.end()) {
        const RequestNumber request = pending->first;
        link->mPending.erase(pending);
        link->mToHome->Send(Latency(), [this, link, request] {
          link->mCancelled.insert(request);
          link->mHome->Post([this, link, request] { OnCancelled(link, request); });
        });
        return;
      }
    }
  }

  void EndTransaction(SimulatedInstance& aEntry,
                      const std::string& aHome,
                      proxy::SessionKey aSession)
  {
    if (const auto link = Connect(aEntry, aHome)) {
      link->mToHome->Send(Latency(), [this, link, aSession] {
        link->mHome->Post([this, link, aSession] {
          const auto found = link->mSessions.find(aSession);
          if (found != link->mSessions.end()) {
            EndSession(link, found->second);
          }
        });
      });
    }
  }

  void Ping(SimulatedInstance& aEntry, const std::string& aHome)
  {
    if (const auto link = Connect(aEntry, aHome)) {
      link->mToHome->Send(Latency(), [this, link, aHome] {
        link->mIsConnected = true;
        link->mHome->Post([this, link, aHome] {
          link->mToEntry->Send(Latency(), [link, aHome] {
            link->mEntry->Post([link, aHome] { link->mEntry->OnPeerResponded(aHome); });
          });
        });
      });
    }
  }

  /** Sends a home's answer to the entry instance of a forwarded session. */
  void Answer(SimulatedInstance& aHome,
              proxy::SessionKey aSession,
              const proxy::ClientAnswer& aAnswer)
  {
    for (const auto& link : mLinks) {
      if (link->mHome.get() != &aHome || link->mIsBroken) {
        continue;
      }
      const auto unanswered =
        std::find_if(link->mUnanswered.begin(),
                     link->mUnanswered.end(),
                     [&](const auto& aEach) { return aEach.second == aSession; });
      if (unanswered == link->mUnanswered.end()) {
        continue;
      }
      const RequestNumber request = unanswered->first;
      link->mUnanswered.erase(unanswered);
      if (aAnswer.mState != proxy::TransactionState::Open) {
        std::erase_if(link->mSessions,
                      [&](const auto& aEach) { return aEach.second == aSession; });
      }
      SendAnswer(link, request, EncodeHomeAnswer(aAnswer, aHome.Core().IsDraining()));
      return;
    }
  }

  /** Ends the links of a process; the others notice a loss of power after 3 s. */
  void OnInstanceKilled(const SimulatedInstance& aInstance, bool aIsPowerLoss)
  {
    for (const auto& link : mLinks) {
      if (link->mEntry.get() == &aInstance || link->mHome.get() == &aInstance) {
        mContext.mClock.After(aIsPowerLoss ? kBrokenAfter : Latency(),
                              [this, link] { Break(*link); });
      }
    }
  }

  /** Breaks links over which nothing has passed for 3 s, and others at random. */
  void BreakSome(std::uint64_t aPerMille)
  {
    // A broken link may lead to statements on new links.
    const std::vector<std::shared_ptr<PeerLink>> links = mLinks;
    for (const auto& link : links) {
      if (mContext.mNetwork.CanReach(link->mEntry->Name(), link->mHome->Name())) {
        link->mCutSince.reset();
        if (mContext.mRandom.Chance(aPerMille)) {
          Break(*link);
        }
      } else if (!link->mCutSince) {
        link->mCutSince = mContext.mClock.Now();
      } else if (mContext.mClock.Now() - *link->mCutSince > kBrokenAfter) {
        Break(*link);
      }
    }
    std::erase_if(mLinks, [](const auto& aLink) {
      return aLink->mIsBroken && aLink->mPending.empty();
    });
  }

private:
  static constexpr proxy::SessionKey kFirstForwardedSession = 1ULL << 62U;
  static constexpr Duration kBrokenAfter = 3s;

  Duration Latency()
  {
    return mContext.mRandom.Chance(mContext.mLateAnswers)
             ? mContext.mRandom.Between(50ms, 700ms)
             : mContext.mRandom.Between(300us, 4ms);
  }

  /** @return the link from an instance to a home; null if no process of the home runs */
  std::shared_ptr<PeerLink> Connect(SimulatedInstance& aEntry, const std::string& aHome)
  {
    for (const auto& link : mLinks) {
      if (link->mEntry.get() == &aEntry && link->mHome->Name() == aHome &&
          !link->mIsBroken) {
        return link;
      }
    }
    const auto home = mInstances.find(aHome);
    if (home == mInstances.end() || !home->second->IsRunning()) {
      return nullptr;
    }
    const auto isPassable = [this, entry = aEntry.Name(), aHome] {
      return mContext.mNetwork.CanReach(entry, aHome);
    };
    const auto link = std::make_shared<PeerLink>();
    link->mEntry = aEntry.shared_from_this();
    link->mHome = home->second;
    link->mToHome = std::make_shared<OrderedChannel>(mContext.mClock, isPassable);
    link->mToEntry = std::make_shared<OrderedChannel>(mContext.mClock, isPassable);
    mLinks.push_back(link);
    return link;
  }

  void OnStatement(const std::shared_ptr<PeerLink>& aLink,
                   RequestNumber aRequest,
                   proxy::ForwardedStatement aStatement)
  {
    // A process that was suspended receives a statement together with its cancellation.
    if (aLink->mIsBroken || aLink->mCancelled.contains(aRequest)) {
      return;
    }
    const auto [session, isNew] =
      aLink->mSessions.try_emplace(aStatement.mSession, mNextSession);
    mNextSession += isNew ? 1 : 0;
    const proxy::SessionKey key = session->second;
    aLink->mUnanswered[aRequest] = key;
    aLink->mHome->Core().OnForwardedStatement(
      key, std::move(aStatement), mContext.mClock.Now());
  }

  void OnCancelled(const std::shared_ptr<PeerLink>& aLink, RequestNumber aRequest)
  {
    const auto found = aLink->mUnanswered.find(aRequest);
    if (found != aLink->mUnanswered.end()) {
      EndSession(aLink, found->second);
    }
  }

  void EndSession(const std::shared_ptr<PeerLink>& aLink, proxy::SessionKey aSession)
  {
    const auto isSession = [&](const auto& aEach) { return aEach.second == aSession; };
    std::erase_if(aLink->mSessions, isSession);
    std::erase_if(aLink->mUnanswered, isSession);
    aLink->mHome->Core().OnSessionClosed(aSession, mContext.mClock.Now());
  }

  void SendAnswer(const std::shared_ptr<PeerLink>& aLink,
                  RequestNumber aRequest,
                  const std::string& aBytes)
  {
    if (mContext.mRandom.Chance(mContext.mLostAnswers)) {
      mContext.mClock.After(Latency(), [this, aLink] { Break(*aLink); });
      return;
    }
    aLink->mToEntry->Send(Latency(), [aLink, aRequest, aBytes] {
      aLink->mEntry->Post([aLink, aRequest, aBytes] {
        const std::string& home = aLink->mHome->Name();
        aLink->mEntry->OnPeerResponded(home);
        const auto pending = aLink->mPending.find(aRequest);
        if (pending == aLink->mPending.end()) {
          return;
        }
        const proxy::OperationKey operation = pending->second;
        aLink->mPending.erase(pending);
        aLink->mEntry->OnForwardAnswer(
          operation, DecodeHomeAnswer(aBytes)->mAnswer, home);
      });
    });
  }

  void Break(PeerLink& aLink)
  {
    if (std::exchange(aLink.mIsBroken, true)) {
      return;
    }
    aLink.mToHome->Close();
    aLink.mToEntry->Close();
    const auto link = *std::find_if(mLinks.begin(), mLinks.end(), [&](const auto& aEach) {
      return aEach.get() == &aLink;
    });
    const bool wasSent = link->mIsConnected;
    link->mEntry->Post([link, wasSent] {
      const std::string& home = link->mHome->Name();
      // As in ForwardClient, a statement that was cancelled meanwhile doesn't fail, and
      // the others fail before the loss of the connection is reported.
      for (const auto& [request, operation] : std::exchange(link->mPending, {})) {
        link->mEntry->OnForwardFailed(operation, wasSent, home);
      }
      link->mEntry->OnPeerDisconnected(home);
    });
    const auto home = aLink.mHome;
    home->Post([this, home, sessions = std::exchange(aLink.mSessions, {})] {
      for (const auto& [entryKey, session] : sessions) {
        home->Core().OnSessionClosed(session, mContext.mClock.Now());
      }
    });
  }

  /** Name of the entry instance, and the operation of a statement that couldn't be sent.
   */
  using UnsentStatement = std::pair<std::string, proxy::OperationKey>;

  ExplorationContext& mContext;
  const Instances& mInstances;
  std::set<UnsentStatement> mUnsent;
  std::vector<std::shared_ptr<PeerLink>> mLinks;
  RequestNumber mNewestRequest = 0;
  proxy::SessionKey mNextSession = kFirstForwardedSession;
};

} // namespace papayaspindle::exploration
