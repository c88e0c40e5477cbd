#pragma once

#include "daemon/configuration/configurationmanager.h"
#include "daemon/connections/allowancemanager.h"
#include "daemon/connections/connectionmanager.h"
#include "daemon/failover/failovermanager.h"
#include "daemon/membership/membershipmanager.h"
#include "daemon/monitor/membermonitor.h"
#include "daemon/statements/freshnessboard.h"
#include "daemon/statements/homedirectory.h"
#include "daemon/statements/statementmanager.h"
#include "observe/metricregistry.h"
#include "observe/tracer.h"
#include "runtime/grouptable.h"
#include "runtime/periodictask.h"
#include "runtime/taskgroup.h"
#include "runtime/workerpool.h"
#include "serve/gatedpeerhandlers.h"
#include "serve/grpclistener.h"
#include "serve/reportingconnections.h"
#include "serve/tracefile.h"
#include "services/callerservice.h"
#include "services/operatorservice.h"
#include "settings/settings.h"
#include "transport/grpcinstancelisting.h"
#include "transport/grpcmembercontrol.h"
#include "transport/grpcobjectstorage.h"
#include "transport/grpctablestore.h"
#include "transport/peerclient.h"
#include "transport/peerserver.h"
#include "transport/tlscontext.h"

#include <memory>
#include <vector>

namespace papayaspindle {

/** What every part of an instance shares: settings, metrics, tables and threads. */
struct CommonParts
{
  explicit CommonParts(const Settings& aSettings);

  Settings mSettings;
  MetricRegistry mMetrics;
  std::unique_ptr<TraceFile> mTraceFile;
  Tracer mTracer;
  RequestGate mGate;
  GroupTable mGroups;
  /** Callers' statements. */
  WorkerPool mStatementPool;
  /** Operators' calls. */
  WorkerPool mOperatorPool;
  /** Statements that peers forward. */
  WorkerPool mForwardPool;
  /** Peers' other requests. */
  WorkerPool mPeerPool;
  /** The managers' own calls. */
  WorkerPool mTaskPool;
  /** Opens and closes connections to members, which takes tens of milliseconds. */
  WorkerPool mConnectionPool;
};

/** Clients and listener towards platform, members and peers. */
struct TransportParts
{
  /** @return the parts; Internal when a TLS file cannot be used */
  static Result<std::unique_ptr<TransportParts>> Make(CommonParts& aCommon);

  TransportParts(CommonParts& aCommon,
                 PeerClientSettings aPeerClient,
                 PeerServerSettings aPeerServer);

  GrpcTableStore mTables;
  GrpcObjectStorage mObjects;
  GrpcInstanceListing mListing;
  GrpcMemberControl mMembers;
  /** For connections that run statements. */
  ChannelTable mMemberChannels;
  PeerClient mPeerClient;
  PeerServer mPeerServer;
  GatedPeerHandlers mHandlers;
};

/** The managers, in the order in which they use each other. */
struct ManagerParts
{
  ManagerParts(CommonParts& aCommon, TransportParts& aTransport);

  /** Begins the managers' periodic work. */
  void Start();
  /** Ends it and waits for calls under way. */
  void Stop();

  const std::chrono::milliseconds mAllowanceInterval;
  MembershipManager mMembership;
  HomeDirectory mHomes;
  ConfigurationManager mConfiguration;
  FreshnessBoard mFreshness;
  MemberMonitor mMonitor;
  FailoverManager mFailovers;
  TaskGroup mConnectionTasks;
  ConnectionManager mConnections;
  TaskGroup mAllowanceTasks;
  AllowanceManager mAllowances;
  ReportingConnections mReporting;
  StatementManager mStatements;
  /** Last, so that they end before what they call. */
  std::vector<std::unique_ptr<PeriodicTask>> mTimers;

private:
  void Every(std::chrono::milliseconds aInterval, std::function<void()> aCall);
};

/** The gRPC services and their listeners. */
struct ServiceParts
{
  ServiceParts(CommonParts& aCommon, ManagerParts& aManagers);

  /** Starts to listen. @return Internal when that fails */
  Status Start(const Settings& aSettings);
  /** Refuses new calls and waits for running ones. */
  void Stop(std::chrono::milliseconds aGrace);

  CallerService mCallers;
  OperatorService mOperators;
  GrpcListener mCallerListener;
  GrpcListener mOperatorListener;
};

} // namespace papayaspindle
