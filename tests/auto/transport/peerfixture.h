#pragma once

#include "runtime/workerpool.h"
#include "transport/peerclient.h"
#include "transport/peerserver.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <string>
#include <utility>

namespace papayaspindle::test {

constexpr std::chrono::milliseconds kLong{ 10'000 };
constexpr std::chrono::milliseconds kShort{ 200 };

/** A peer server with its pools. */
struct PeerFixture
{
  WorkerPool mForwards{ "forwards", 2, 64 };
  WorkerPool mControl{ "control", 2, 64 };
  PeerServer mServer;

  explicit PeerFixture(PeerServerSettings aSettings = {})
    : mServer(WithAddress(std::move(aSettings)), mForwards, mControl)
  {
    mServer.Register("Echo", [](const PeerRequest& aRequest) { return aRequest.mBody; });
  }

  void Start() { REQUIRE(IsOk(mServer.Start())); }

  static PeerServerSettings WithAddress(PeerServerSettings aSettings)
  {
    aSettings.mListenAddress = "127.0.0.1:0";
    return aSettings;
  }
};

inline PeerCall
CallTo(std::string aAddress,
       std::string aMethod,
       std::string aBody,
       std::chrono::milliseconds aTimeout = kLong)
{
  return PeerCall{
    std::move(aAddress), std::move(aMethod), std::move(aBody), {}, aTimeout
  };
}

/** Checks that a call failed in the expected way. */
inline void
CheckError(const Result<std::string>& aReply, ErrorKind aKind)
{
  REQUIRE_FALSE(IsOk(aReply));
  CAPTURE(ErrorOf(aReply).mMessage);
  CHECK(AnswerFor(ErrorOf(aReply).mKind).mName == AnswerFor(aKind).mName);
}

} // namespace papayaspindle::test
