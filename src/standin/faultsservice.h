#pragma once

#include "standin.grpc.pb.h"

#include <functional>

namespace papayaspindle::standin {

class FaultSwitches;

/** Lets tests set the switches of the stand-in it runs in. */
class FaultsService : public v1::Faults::Service
{
public:
  /** Fills the reply to ReadLog; empty for stand-ins without a log. */
  using LogHook = std::function<void(const v1::ReadLogRequest&, v1::ReadLogReply&)>;

  explicit FaultsService(FaultSwitches& aSwitches, LogHook aReadLog = {});

  grpc::Status SetFaults(grpc::ServerContext* aContext,
                         const v1::FaultSettings* aRequest,
                         v1::FaultReply* aReply) override;
  grpc::Status ReadFaults(grpc::ServerContext* aContext,
                          const v1::ReadFaultsRequest* aRequest,
                          v1::FaultSettings* aReply) override;
  grpc::Status ReadLog(grpc::ServerContext* aContext,
                       const v1::ReadLogRequest* aRequest,
                       v1::ReadLogReply* aReply) override;

private:
  FaultSwitches& mSwitches;
  LogHook mReadLog;
};

} // namespace papayaspindle::standin
