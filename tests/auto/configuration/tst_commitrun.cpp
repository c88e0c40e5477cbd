#include "decision/configuration/commitrun.h"

#include <catch2/catch.hpp>

#include <map>
#include <random>
#include <string>
#include <vector>

using namespace papayaspindle;

namespace {

/** Simulates the rows that commits use and the conditions of the table service. */
struct FakeTable
{
  struct Group
  {
    std::uint64_t mRevision = 0;
    std::uint64_t mVersion = 0;
  };

  std::uint64_t mHeadRevision = 0;
  std::uint64_t mHeadVersion = 0;
  std::map<GroupId, Group> mGroups;
  std::map<RequestId, ConfigurationChange> mRequests;
  std::vector<ConfigurationChange> mLog;

  bool Transact(const TransactChange& aTransact)
  {
    const ConfigurationChange& change = aTransact.mChange;
    Group& group = mGroups[change.mSettings.mGroup];
    if (mHeadVersion != aTransact.mHeadVersion ||
        group.mVersion != aTransact.mGroupVersion ||
        mRequests.contains(change.mRequest)) {
      return false;
    }
    mHeadRevision = change.mRevision;
    ++mHeadVersion;
    group = { change.mRevision, group.mVersion + 1 };
    mRequests[change.mRequest] = change;
    mLog.push_back(change);
    return true;
  }

  CommitRows Rows(const ChangeRequest& aRequest)
  {
    CommitRows rows{ mHeadRevision, mHeadVersion };
    rows.mGroupRevision = mGroups[aRequest.mSettings.mGroup].mRevision;
    rows.mGroupVersion = mGroups[aRequest.mSettings.mGroup].mVersion;
    if (mRequests.contains(aRequest.mRequest)) {
      rows.mRequestRow = mRequests[aRequest.mRequest];
    }
    return rows;
  }
};

ChangeRequest
Request(const std::string& aId,
        std::uint64_t aExpected,
        std::uint32_t aSlots,
        const char* aGroup)
{
  ChangeRequest request;
  request.mSettings.mGroup = GroupId(aGroup);
  request.mSettings.mSlots = aSlots;
  request.mExpectedRevision = aExpected;
  request.mRequest = RequestId(aId);
  return request;
}

CommitFinished
Finished(const CommitAction& aAction)
{
  REQUIRE(std::holds_alternative<CommitFinished>(aAction));
  return std::get<CommitFinished>(aAction);
}

CommitFinished
RunAlone(FakeTable& aTable, const ChangeRequest& aRequest)
{
  CommitRun run(aRequest, 0);
  CommitAction action = run.Start();
  while (!std::holds_alternative<CommitFinished>(action)) {
    if (std::holds_alternative<ReadCommitRows>(action)) {
      action = run.HandleRows(aTable.Rows(aRequest));
      continue;
    }
    action = aTable.Transact(std::get<TransactChange>(action)) ? run.HandleCommitted()
                                                               : run.HandleConflict();
  }
  return std::get<CommitFinished>(action);
}

} // namespace

TEST_CASE("a repeated request gets the first answer, another change with its id an error",
          "[configuration]")
{
  FakeTable table;
  const ChangeRequest request = Request("r1", 0, 2, "a");
  CHECK(RunAlone(table, request).mChange.mRevision == 1);
  CHECK(RunAlone(table, Request("r2", 1, 3, "a")).mChange.mRevision == 2);
  CHECK(RunAlone(table, request).mChange.mRevision == 1);
  CHECK(RunAlone(table, Request("r1", 0, 9, "a")).mError->mKind ==
        ErrorKind::RequestIdConflict);
  CHECK(table.mLog.size() == 2);
}

TEST_CASE("of two concurrent changes one is refused with the current revision",
          "[configuration]")
{
  FakeTable table;
  const ChangeRequest request = Request("r1", 0, 2, "a");
  CommitRun run(request, 0);
  const CommitAction action = run.HandleRows(table.Rows(request));
  RunAlone(table, Request("r2", 0, 3, "a"));
  CHECK_FALSE(table.Transact(std::get<TransactChange>(action)));
  CHECK(std::holds_alternative<ReadCommitRows>(run.HandleConflict()));
  const CommitFinished finished = Finished(run.HandleRows(table.Rows(request)));
  CHECK(finished.mError->mKind == ErrorKind::RevisionConflict);
  CHECK(finished.mCurrentRevision == 1);
}

TEST_CASE("a commit is retried after a conflict with a change to another group",
          "[configuration]")
{
  FakeTable table;
  const ChangeRequest request = Request("r1", 0, 2, "a");
  CommitRun run(request, 0);
  run.HandleRows(table.Rows(request));
  RunAlone(table, Request("r2", 0, 3, "b"));
  run.HandleConflict();
  const CommitAction action = run.HandleRows(table.Rows(request));
  CHECK(std::get<TransactChange>(action).mChange.mRevision == 2);
}

// Guards against an answer "not run" for a change that takes effect.
TEST_CASE("a change is refused as unavailable only if it cannot have been committed",
          "[configuration]")
{
  const ChangeRequest request = Request("r1", 0, 2, "a");
  FakeTable table;
  CommitRun down(request, 0);
  CHECK(Finished(down.HandleReadFailure()).mError->mKind == ErrorKind::StoreUnavailable);
  CommitRun notSent(request, 0);
  notSent.HandleRows(table.Rows(request));
  CHECK(Finished(notSent.HandleTransactFailure(false)).mError->mKind ==
        ErrorKind::StoreUnavailable);
  CommitRun lost(request, 0);
  const CommitAction action = lost.HandleRows(table.Rows(request));
  CHECK(std::holds_alternative<ReadCommitRows>(lost.HandleTransactFailure(true)));
  CHECK(Finished(lost.HandleDeadline()).mError->mKind == ErrorKind::OutcomeUnknown);
  table.Transact(std::get<TransactChange>(action));
  CHECK(Finished(lost.HandleRows(table.Rows(request))).mChange.mRevision == 1);
}

namespace {

/** Runs concurrent commits; the seed determines their steps and lost answers. */
class Exploration
{
public:
  explicit Exploration(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
    const std::size_t count = 2 + mRandom() % 2;
    for (std::size_t i = 0; i < count; ++i) {
      const std::string id = mRandom() % 4 == 0 ? "same" : "r" + std::to_string(i);
      const char* group = mRandom() % 2 == 0 ? "a" : "b";
      const ChangeRequest request =
        Request(id, 0, id == "same" ? 7 : 1 + i, id == "same" ? "a" : group);
      mCommitters.push_back({ request, CommitRun(request, 0), ReadCommitRows{}, {}, 0 });
    }
  }

  void Run()
  {
    for (int step = 0; step < 400; ++step) {
      RunStep(mCommitters[mRandom() % mCommitters.size()]);
      DeliverDelayed(mRandom() % 10 == 0);
    }
    for (Committer& committer : mCommitters) {
      if (!std::holds_alternative<CommitFinished>(committer.mAction)) {
        committer.mAction = committer.mRun.HandleDeadline();
      }
    }
    DeliverDelayed(true);
  }

  void Check()
  {
    for (std::size_t i = 0; i < mTable.mLog.size(); ++i) {
      CHECK(mTable.mLog[i].mRevision == i + 1);
    }
    for (const Committer& committer : mCommitters) {
      const auto finished = std::get<CommitFinished>(committer.mAction);
      std::vector<ConfigurationChange> logged;
      for (const ConfigurationChange& change : mTable.mLog) {
        if (change.mRequest == committer.mRequest.mRequest) {
          logged.push_back(change);
        }
      }
      CHECK(logged.size() <= 1);
      if (!finished.mError) {
        REQUIRE(logged.size() == 1);
        CHECK(logged[0] == finished.mChange);
      } else if (MustBeAbsent(committer, finished.mError->mKind)) {
        CHECK(logged.empty());
      }
    }
  }

private:
  struct Committer
  {
    ChangeRequest mRequest;
    CommitRun mRun;
    CommitAction mAction;
    CommitRows mRows;
    int mRowsRead = 0;
  };

  // A repeated request may be refused as unavailable although another call with the same
  // id was accepted.
  static bool MustBeAbsent(const Committer& aCommitter, ErrorKind aKind)
  {
    const bool repeated = aCommitter.mRequest.mRequest.Text() == "same";
    return AnswerFor(aKind).mExecution == Execution::NotRun &&
           (!repeated || aKind == ErrorKind::RevisionConflict);
  }

  void RunStep(Committer& aCommitter)
  {
    if (std::holds_alternative<CommitFinished>(aCommitter.mAction)) {
      return;
    }
    if (mRandom() % 50 == 0) {
      aCommitter.mAction = aCommitter.mRun.HandleDeadline();
    } else if (std::holds_alternative<ReadCommitRows>(aCommitter.mAction)) {
      ReadOneRow(aCommitter);
    } else {
      Transact(aCommitter, std::get<TransactChange>(aCommitter.mAction));
    }
  }

  void ReadOneRow(Committer& aCommitter)
  {
    const CommitRows now = mTable.Rows(aCommitter.mRequest);
    if (mRandom() % 20 == 0) {
      aCommitter.mRowsRead = 0;
      aCommitter.mAction = aCommitter.mRun.HandleReadFailure();
      return;
    }
    switch (aCommitter.mRowsRead++) {
      case 0:
        aCommitter.mRows.mHeadRevision = now.mHeadRevision;
        aCommitter.mRows.mHeadVersion = now.mHeadVersion;
        return;
      case 1:
        aCommitter.mRows.mGroupRevision = now.mGroupRevision;
        aCommitter.mRows.mGroupVersion = now.mGroupVersion;
        return;
      default:
        aCommitter.mRows.mRequestRow = now.mRequestRow;
        aCommitter.mRowsRead = 0;
        aCommitter.mAction = aCommitter.mRun.HandleRows(aCommitter.mRows);
    }
  }

  void Transact(Committer& aCommitter, const TransactChange& aTransact)
  {
    CommitRun& run = aCommitter.mRun;
    switch (mRandom() % 8) {
      case 0:
        aCommitter.mAction = run.HandleTransactFailure(false);
        return;
      case 1:
        mTable.Transact(aTransact);
        aCommitter.mAction = run.HandleTransactFailure(true);
        return;
      case 2:
        mDelayed.push_back(aTransact);
        aCommitter.mAction = run.HandleTransactFailure(true);
        return;
      default:
        aCommitter.mAction =
          mTable.Transact(aTransact) ? run.HandleCommitted() : run.HandleConflict();
    }
  }

  void DeliverDelayed(bool aNow)
  {
    if (aNow) {
      for (const TransactChange& transact : mDelayed) {
        mTable.Transact(transact);
      }
      mDelayed.clear();
    }
  }

  std::mt19937_64 mRandom;
  FakeTable mTable;
  std::vector<Committer> mCommitters;
  std::vector<TransactChange> mDelayed;
};

} // namespace

// Guards against gaps in the log, changes that are committed twice, and answers "not run"
// for committed changes.
TEST_CASE("concurrent commits with lost answers agree with the log", "[configuration]")
{
  for (std::uint64_t seed = 1; seed <= 20000; ++seed) {
    CAPTURE(seed);
    Exploration exploration(seed);
    exploration.Run();
    exploration.Check();
  }
}
