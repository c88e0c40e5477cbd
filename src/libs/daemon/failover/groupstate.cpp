#include "daemon/failover/groupstate.h"

#include "observe/log.h"
#include "observe/tracer.h"

#include <variant>

namespace papayaspindle {

namespace {

void
LogEnd(const GroupId& aGroup, const GroupKeeper& aKeeper)
{
  const FailoverSummary summary = aKeeper.Summary();
  const std::optional<FailoverOutcome> end = aKeeper.LastOutcome();
  Log(LogLevel::Warning,
      "failover",
      "failover_ended",
      { { "group", aGroup.Text() },
        { "end", std::string(end ? OutcomeText(*end) : "superseded") },
        { "term", std::to_string(summary.mTerm) },
        { "primary", summary.mNewPrimary.Text() } });
}

} // namespace

void
GroupState::Observe(const KeeperActions& aActions, Tracer& aTracer)
{
  for (const KeeperAction& action : aActions) {
    const auto* raise = std::get_if<SendRaiseTerm>(&action);
    if (raise != nullptr && raise->mTerm > mSpanTerm) {
      mSpanTerm = raise->mTerm;
      mPromote.reset();
      mFence.emplace(aTracer.Start("fence", {}));
      mFence->SetAttribute("group", mGroup.Text());
      mFence->SetAttribute("term", std::to_string(raise->mTerm));
    }
    if (std::holds_alternative<SendPromote>(action) && mFence) {
      mPromote.emplace(aTracer.Start("promote", mFence->Traceparent()));
      mPromote->SetAttribute("group", mGroup.Text());
      mFence.reset();
    }
    if (const auto* announce = std::get_if<AnnounceView>(&action)) {
      Log(LogLevel::Info,
          "failover",
          "view_announced",
          { { "group", mGroup.Text() },
            { "term", std::to_string(announce->mView.mTerm) },
            { "primary", announce->mView.mPrimary.Text() } });
    }
  }
  const bool running = mKeeper.IsRunning();
  if (running && !mWasRunning) {
    Log(
      LogLevel::Warning, "failover", "failover_started", { { "group", mGroup.Text() } });
  }
  if (!running && mWasRunning) {
    mFence.reset();
    mPromote.reset();
    LogEnd(mGroup, mKeeper);
  }
  mWasRunning = running;
}

} // namespace papayaspindle
