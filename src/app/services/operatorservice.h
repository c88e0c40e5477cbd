#pragma once

#include "interfaces/configuration.h"
#include "interfaces/groups.h"
#include "interfaces/homes.h"
#include "interfaces/instances.h"
#include "observe/metricregistry.h"
#include "operator.grpc.pb.h"
#include "services/calldispatcher.h"

#include <functional>
#include <string>
#include <vector>

namespace papayaspindle {

/** Adds what one manager knows of a group: member states, allowance, queue, last
 * failover.
 */
using GroupReportHook = std::function<void(const GroupId&, v1::ShowGroupReply&)>;

/** What the operators' service reports from. */
struct OperatorSources
{
  Configuration& mConfiguration;
  const Groups& mGroups;
  const Homes& mHomes;
  const Instances& mInstances;
  const MetricRegistry& mMetrics;
  std::vector<GroupReportHook> mReports;
  std::vector<std::string> mEffectiveSettings;
};

/** The gRPC service for operators; runs on control workers. */
class OperatorService : public v1::Operator::CallbackService
{
public:
  OperatorService(OperatorSources aSources, CallDispatcher aDispatcher);

  grpc::ServerUnaryReactor* CreateGroup(grpc::CallbackServerContext* aContext,
                                        const v1::ChangeGroupRequest* aRequest,
                                        v1::ChangeGroupReply* aReply) override;
  grpc::ServerUnaryReactor* ChangeGroup(grpc::CallbackServerContext* aContext,
                                        const v1::ChangeGroupRequest* aRequest,
                                        v1::ChangeGroupReply* aReply) override;
  grpc::ServerUnaryReactor* PlanChange(grpc::CallbackServerContext* aContext,
                                       const v1::ChangeGroupRequest* aRequest,
                                       v1::PlanChangeReply* aReply) override;
  grpc::ServerUnaryReactor* ListGroups(grpc::CallbackServerContext* aContext,
                                       const v1::ListGroupsRequest* aRequest,
                                       v1::ListGroupsReply* aReply) override;
  grpc::ServerUnaryReactor* ShowGroup(grpc::CallbackServerContext* aContext,
                                      const v1::ShowGroupRequest* aRequest,
                                      v1::ShowGroupReply* aReply) override;
  grpc::ServerUnaryReactor* ShowInstance(grpc::CallbackServerContext* aContext,
                                         const v1::ShowInstanceRequest* aRequest,
                                         v1::ShowInstanceReply* aReply) override;
  grpc::ServerUnaryReactor* Metrics(grpc::CallbackServerContext* aContext,
                                    const v1::MetricsRequest* aRequest,
                                    v1::MetricsReply* aReply) override;

private:
  void FillGroup(const GroupId& aGroup, v1::ShowGroupReply& aReply) const;
  void FillInstance(v1::ShowInstanceReply& aReply) const;
  void FillMetrics(v1::MetricsReply& aReply) const;

  const OperatorSources mSources;
  CallDispatcher mDispatcher;
};

} // namespace papayaspindle
