#pragma once

#include "convert/convert.h"
#include "observe/span.h"
#include "observe/tracer.h"
#include "runtime/workerpool.h"
#include "services/requestgate.h"

#include <grpcpp/grpcpp.h>

#include <string>
#include <string_view>
#include <utility>

namespace papayaspindle {

/** What all services need to hand a call to a worker. */
struct CallDispatcher
{
  WorkerPool& mPool;
  RequestGate& mGate;
  Tracer& mTracer;
  /** Name of the span of each call. */
  std::string_view mSpanName;

  /**
   * Runs a call on the worker pool and finishes it with gRPC status OK; refusals are
   * typed errors inside the reply.
   *
   * @param aContinues see RequestGate::Enter()
   * @param aCall void(const std::string& traceparent), fills the reply; may block
   */
  template<typename Reply, typename Call>
  grpc::ServerUnaryReactor* Dispatch(grpc::CallbackServerContext* aContext,
                                     Reply* aReply,
                                     bool aContinues,
                                     Call aCall)
  {
    grpc::ServerUnaryReactor* reactor = aContext->DefaultReactor();
    if (!mGate.Enter(aContinues)) {
      return Refuse(reactor, aReply, ErrorKind::Draining);
    }
    const std::string traceparent = TraceparentOf(*aContext);
    const bool accepted =
      mPool.Submit([this, reactor, aReply, traceparent, call = std::move(aCall)] {
        {
          Span span = mTracer.Start(mSpanName, traceparent);
          call(span.Traceparent());
          MarkError(span, *aReply);
        }
        reactor->Finish(grpc::Status::OK);
        mGate.Leave();
      });
    if (!accepted) {
      mGate.Leave();
      return Refuse(reactor, aReply, ErrorKind::Overloaded);
    }
    return reactor;
  }

  /** Sets an error of the kind's own text. */
  template<typename Reply>
  static void SetError(Reply* aReply, ErrorKind aKind)
  {
    *aReply->mutable_error() =
      ToMessage(Error{ aKind, std::string(AnswerFor(aKind).mText) });
  }

private:
  template<typename Reply>
  static grpc::ServerUnaryReactor* Refuse(grpc::ServerUnaryReactor* aReactor,
                                          Reply* aReply,
                                          ErrorKind aKind)
  {
    if constexpr (requires { aReply->mutable_error(); }) {
      SetError(aReply, aKind);
      aReactor->Finish(grpc::Status::OK);
    } else {
      const ErrorAnswer& answer = AnswerFor(aKind);
      aReactor->Finish(
        { static_cast<grpc::StatusCode>(answer.mGrpcStatus), std::string(answer.mText) });
    }
    return aReactor;
  }

  template<typename Reply>
  static void MarkError(Span& aSpan, const Reply& aReply)
  {
    if constexpr (requires { aReply.has_error(); }) {
      if (aReply.has_error()) {
        aSpan.SetError(aReply.error().kind());
      }
    }
  }

  static std::string TraceparentOf(const grpc::CallbackServerContext& aContext)
  {
    const auto found = aContext.client_metadata().find("traceparent");
    if (found == aContext.client_metadata().end()) {
      return {};
    }
    return { found->second.data(), found->second.size() };
  }
};

} // namespace papayaspindle
