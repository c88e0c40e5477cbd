// Seeded exploration of connections that sessions of several instances share: orders of
// statements, delays, refusals, lost answers, broken connections and changes of primary.
// No statement runs with another session's values, names or transaction, none takes
// effect twice or after a refusal, and no read misses what it has to see.

#include "memberworld.h"

#include <catch2/catch.hpp>

#include <cstdlib>

using namespace papayaspindle;
using namespace papayaspindle::proxy;

namespace {

// A short run; PAPAYASPINDLE_EXPLORATION_RUNS asks for a longer one.
constexpr std::uint64_t kDefaultRuns = 60;
constexpr SessionKey kSessions = 10;

std::uint64_t
Runs()
{
  const char* runs = std::getenv("PAPAYASPINDLE_EXPLORATION_RUNS");
  return runs == nullptr ? kDefaultRuns : std::strtoull(runs, nullptr, 10);
}

bool
IsPromise(AnswerCode aCode)
{
  return aCode == AnswerCode::Busy || aCode == AnswerCode::Aborted ||
         aCode == AnswerCode::Lagging || aCode == AnswerCode::ReadOnly ||
         aCode == AnswerCode::Misrouted || aCode == AnswerCode::TooMany;
}

/** Clients of one world, each with one statement under way at a time. */
class Clients
{
public:
  explicit Clients(MemberWorld& aWorld)
    : mWorld(aWorld)
  {
    aWorld.mAnswered =
      [this](std::size_t aCore, SessionKey aKey, const ClientAnswer& aAnswer) {
        OnAnswer(aCore, aKey, aAnswer);
      };
    aWorld.mClosed = [this](std::size_t aCore, SessionKey aKey) {
      mClients.erase({ aCore, aKey });
    };
  }

  void Step()
  {
    for (std::size_t core = 0; core < mWorld.mCores.size(); core++) {
      for (SessionKey session = 1; session <= kSessions; session++) {
        if (mWorld.Chance() < 0.3) {
          Act(core, session);
        }
      }
    }
  }

  /** Statements that a promise says were not kept, and that are. */
  std::vector<std::string> BrokenPromises() const
  {
    std::vector<std::string> broken;
    for (const std::string& id : mPromised) {
      if (mWorld.mKept.contains(id)) {
        broken.push_back(id);
      }
    }
    return broken;
  }

  std::size_t mSucceeded = 0;
  /** Writes that were acknowledged and aren't kept. */
  std::vector<std::string> mLost;
  /** Statements that took longer than their timeout. */
  std::size_t mOverdue = 0;

private:
  struct Client
  {
    std::string mDatabase;
    std::map<std::string, std::string, std::less<>> mValues;
    std::map<std::string, std::pair<std::string, bool>> mPrepared;
    TransactionState mState = TransactionState::Idle;
    std::vector<std::string> mWrites;
    std::optional<Statement> mUnderWay;
    TimePoint mSaidAt;
    std::uint64_t mOwnCommit = 0;
    /** What reads of the open transaction must see. */
    std::uint64_t mNeeded = 0;
  };

  using Key = std::pair<std::size_t, SessionKey>;

  void Act(std::size_t aCore, SessionKey aSession)
  {
    const Key key{ aCore, aSession };
    if (!mClients.contains(key)) {
      const char* databases[] = { "main", "views", "ledger" };
      mClients[key].mDatabase = databases[mWorld.Below(3)];
      mWorld.mCores[aCore]->OnSessionOpened(
        aSession, mClients[key].mDatabase, mWorld.mNow);
      return;
    }
    Client& client = mClients[key];
    if (client.mUnderWay) {
      return;
    }
    if (mWorld.Chance() < 0.02) {
      mClients.erase(key);
      mWorld.mCores[aCore]->OnSessionClosed(aSession, mWorld.mNow);
      return;
    }
    Statement statement = Choose(client);
    statement.mId = "s" + std::to_string(++mNextId);
    Expect(key, client, statement);
    client.mSaidAt = mWorld.mNow;
    client.mUnderWay = statement;
    mWorld.mCores[aCore]->OnStatement(aSession, statement, mWorld.mNow);
  }

  Statement Choose(Client& aClient)
  {
    Statement statement;
    statement.mArguments = "item";
    if (aClient.mState == TransactionState::Failed) {
      statement.mKind = StatementKind::Rollback;
      return statement;
    }
    const std::uint64_t dice = mWorld.Below(20);
    const std::string name(1, static_cast<char>('a' + mWorld.Below(2)));
    if (dice < 2) {
      statement.mKind = StatementKind::Set;
      statement.mName = name;
      statement.mArguments = std::to_string(mWorld.Below(3));
    } else if (dice < 4) {
      statement.mKind = StatementKind::Prepare;
      statement.mName = name;
      statement.mArguments = "shape" + std::to_string(mWorld.Below(3));
      statement.mPreparedKind =
        mWorld.Below(2) == 0 ? PreparedKind::Read : PreparedKind::Write;
    } else if (dice < 7 && aClient.mPrepared.contains(name)) {
      statement.mKind = StatementKind::Execute;
      statement.mName = name;
    } else if (dice < 10) {
      const bool isOpen = aClient.mState == TransactionState::Open;
      statement.mKind =
        isOpen ? (mWorld.Below(4) == 0 ? StatementKind::Rollback : StatementKind::Commit)
               : StatementKind::Begin;
    } else {
      statement.mKind = dice < 14 ? StatementKind::Write : StatementKind::Read;
    }
    return statement;
  }

  void Expect(const Key& aKey, const Client& aClient, const Statement& aStatement)
  {
    MemberWorld::Expectation expected;
    // Sessions of the instances differ although their keys don't.
    expected.mSession = aKey.second + aKey.first * 1000;
    expected.mValues = aClient.mValues;
    expected.mIsWrite = aStatement.mKind == StatementKind::Write;
    if (aStatement.mKind == StatementKind::Execute) {
      const auto& [shape, isWrite] = aClient.mPrepared.at(aStatement.mName);
      expected.mShape = shape;
      expected.mIsWrite = isWrite;
    }
    expected.mInTransaction = aClient.mState == TransactionState::Open;
    expected.mNeeded = expected.mInTransaction ? aClient.mNeeded : NeededNow(aClient);
    mWorld.mExpected[aStatement.mId] = expected;
  }

  std::uint64_t NeededNow(const Client& aClient) const
  {
    if (aClient.mDatabase == "main") {
      return mWorld.AcknowledgedBefore(mWorld.mNow);
    }
    const std::uint64_t old = mWorld.AcknowledgedBefore(mWorld.mNow - 1500ms);
    return aClient.mDatabase == "views" ? old : std::max(old, aClient.mOwnCommit);
  }

  void OnAnswer(std::size_t aCore, SessionKey aKey, const ClientAnswer& aAnswer)
  {
    const auto found = mClients.find({ aCore, aKey });
    if (found == mClients.end() || !found->second.mUnderWay) {
      return;
    }
    Client& client = found->second;
    const Statement statement = *std::exchange(client.mUnderWay, std::nullopt);
    // The data path looks at its clocks each 100 ms.
    mOverdue += mWorld.mNow - client.mSaidAt > 950ms ? 1 : 0;
    const bool isWrite = mWorld.mExpected.at(statement.mId).mIsWrite;
    const bool wasOpen = client.mState == TransactionState::Open;
    if (aAnswer.mError) {
      if (IsPromise(*aAnswer.mError)) {
        mPromised.insert(statement.mId);
        mPromised.insert(client.mWrites.begin(), client.mWrites.end());
      }
      client.mWrites.clear();
    } else {
      mSucceeded++;
      Take(client, statement, aAnswer, isWrite, wasOpen);
    }
    client.mState = aAnswer.mState;
  }

  void Take(Client& aClient,
            const Statement& aStatement,
            const ClientAnswer& aAnswer,
            bool aIsWrite,
            bool aWasOpen)
  {
    switch (aStatement.mKind) {
      case StatementKind::Set:
        aClient.mValues[aStatement.mName] = aStatement.mArguments;
        return;
      case StatementKind::Prepare:
        aClient.mPrepared[aStatement.mName] = {
          aStatement.mArguments, aStatement.mPreparedKind == PreparedKind::Write
        };
        return;
      case StatementKind::Begin:
        aClient.mNeeded = NeededNow(aClient);
        return;
      case StatementKind::Rollback:
        mPromised.insert(aClient.mWrites.begin(), aClient.mWrites.end());
        aClient.mWrites.clear();
        return;
      case StatementKind::Commit:
        for (const std::string& id : aClient.mWrites) {
          NoteKept(aClient, id);
        }
        aClient.mWrites.clear();
        return;
      default:
        break;
    }
    if (aAnswer.mText != "sig-" + aStatement.mId) {
      mWorld.mViolations.push_back("another statement's answer: " + aStatement.mId);
    }
    if (aIsWrite && aWasOpen) {
      aClient.mWrites.push_back(aStatement.mId);
    } else if (aIsWrite) {
      NoteKept(aClient, aStatement.mId);
    }
  }

  void NoteKept(Client& aClient, const std::string& aId)
  {
    const auto kept = mWorld.mKept.find(aId);
    if (kept == mWorld.mKept.end()) {
      mLost.push_back(aId);
      return;
    }
    aClient.mOwnCommit = std::max(aClient.mOwnCommit, kept->second);
    mWorld.NoteAcknowledged(kept->second);
  }

  MemberWorld& mWorld;
  std::map<Key, Client> mClients;
  std::set<std::string> mPromised;
  std::uint64_t mNextId = 0;
};

void
Play(MemberWorld& aWorld, Clients& aClients, int aSteps)
{
  aWorld.Run(1s);
  for (int step = 0; step < aSteps; step++) {
    aClients.Step();
    aWorld.Run(std::chrono::milliseconds(5 + aWorld.Below(30)));
    if (aWorld.Chance() < 0.02) {
      aWorld.BreakConnections(0.2);
    }
    if (aWorld.Chance() < 0.01) {
      aWorld.ChangePrimary();
    }
  }
  aWorld.Run(2s);
}

} // namespace

TEST_CASE("no order of faults lets sessions on shared connections see each other")
{
  for (std::uint64_t seed = 1; seed <= Runs(); seed++) {
    INFO("seed " << seed);
    MemberWorld world(2, seed);
    world.mRefuseShare = 0.03;
    world.mLoseShare = 0.01;
    Clients clients(world);
    Play(world, clients, 150);
    CAPTURE(world.mViolations);
    REQUIRE(world.mViolations.empty());
    REQUIRE(clients.BrokenPromises().empty());
    REQUIRE(clients.mLost.empty());
    REQUIRE(clients.mOverdue == 0);
    REQUIRE(clients.mSucceeded > 100);
    REQUIRE(world.mMostConnections <= MemberWorld::kMaxConnections);
  }
}

// Each invariant is seen to fail when what it rests on is taken away.
TEST_CASE("the exploration finds members that break what the data path relies on")
{
  struct Case
  {
    WorldFaults mFaults;
    const char* mFound;
  };
  const auto row = GENERATE(Case{ { .mIgnoresReset = true }, "session values differ" },
                            Case{ { .mIgnoresAfter = true }, "stale" },
                            Case{ { .mRunsRefused = true }, "twice" });
  CAPTURE(row.mFound);
  bool isFound = false;
  for (std::uint64_t seed = 1; seed <= 20 && !isFound; seed++) {
    MemberWorld world(2, seed, row.mFaults);
    world.mLoseShare = 0.02;
    Clients clients(world);
    Play(world, clients, 150);
    isFound = std::any_of(world.mViolations.begin(),
                          world.mViolations.end(),
                          [&](const std::string& aViolation) {
                            return aViolation.find(row.mFound) != std::string::npos;
                          });
  }
  REQUIRE(isFound);
}
