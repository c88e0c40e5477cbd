#include "serve/groupreport.h"
#include "serve/managersettings.h"
#include "serve/serverparts.h"
#include "settings/settingsreader.h"

namespace papayaspindle {

namespace {

NowHook
SystemNow()
{
  return [] { return Clock::now(); };
}

CallerLimits
LimitsOf(const Settings& aSettings)
{
  return { static_cast<std::size_t>(aSettings.mStatementBytes),
           aSettings.mDefaultTimeout };
}

} // namespace

ServiceParts::ServiceParts(CommonParts& aCommon, ManagerParts& aManagers)
  : mCallers(aManagers.mStatements,
             { aCommon.mStatementPool, aCommon.mGate, aCommon.mTracer, "caller_call" },
             LimitsOf(aCommon.mSettings),
             SystemNow())
  , mOperators({ aManagers.mConfiguration,
                 aCommon.mGroups,
                 aManagers.mHomes,
                 aManagers.mMembership,
                 aCommon.mMetrics,
                 { ReportMembers(aCommon.mGroups, aManagers.mFreshness, SystemNow()),
                   ReportFailovers(aManagers.mFailovers),
                   ReportConnections(aManagers.mConnections, SystemNow()) },
                 EffectiveSettings(aCommon.mSettings) },
               { aCommon.mOperatorPool, aCommon.mGate, aCommon.mTracer, "operator_call" })
{
}

Status
ServiceParts::Start(const Settings& aSettings)
{
  if (aSettings.mListenOperators.empty()) {
    return mCallerListener.Start(CallerListenerSettings(aSettings),
                                 { &mCallers, &mOperators });
  }
  const Status started =
    mOperatorListener.Start(OperatorListenerSettings(aSettings), { &mOperators });
  if (!IsOk(started)) {
    return started;
  }
  return mCallerListener.Start(CallerListenerSettings(aSettings), { &mCallers });
}

void
ServiceParts::Stop(std::chrono::milliseconds aGrace)
{
  mCallerListener.Stop(aGrace);
  mOperatorListener.Stop(aGrace);
}

} // namespace papayaspindle
