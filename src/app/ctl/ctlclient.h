#pragma once

#include "caller.grpc.pb.h"
#include "commandline/commandline.h"
#include "ctl/output.h"
#include "operator.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace papayaspindle {

/** One connection to an entry instance. */
class CtlClient
{
public:
  /** Opens the connection that the flags describe, once it is used. */
  CtlClient();

  [[nodiscard]] v1::Operator::Stub& Operator() const { return *mOperator; }
  [[nodiscard]] v1::Caller::Stub& Caller() const { return *mCaller; }

  /**
   * Calls the instance and prints the answer.
   *
   * @param aCall grpc::Status(grpc::ClientContext&, Reply&)
   * @param aPrint prints a successful reply for people; not used with --json
   * @return exit status
   */
  template<typename Reply, typename Call, typename Print>
  int CallAndPrint(Call aCall, Print aPrint) const
  {
    Reply reply;
    grpc::ClientContext context;
    Prepare(context);
    const grpc::Status status = aCall(context, reply);
    if (!status.ok()) {
      return Fail(status);
    }
    if (Json()) {
      PrintJson(reply);
    }
    if constexpr (requires { reply.has_error(); }) {
      if (reply.has_error()) {
        PrintError(reply.error());
        return kExitRefused;
      }
    }
    if (!Json()) {
      aPrint(reply);
    }
    return kExitDone;
  }

  /** Sets the deadline and the trace of a call. */
  static void Prepare(grpc::ClientContext& aContext);
  /** Prints why a call has no answer. @return exit status */
  static int Fail(const grpc::Status& aStatus);

private:
  static bool Json();

  std::unique_ptr<v1::Operator::Stub> mOperator;
  std::unique_ptr<v1::Caller::Stub> mCaller;
};

/** The words after the command, and the client. */
struct CtlCall
{
  std::vector<std::string> mWords;
  const CtlClient& mClient;
};

using CtlFunction = int (*)(const CtlCall& aCall);

} // namespace papayaspindle
