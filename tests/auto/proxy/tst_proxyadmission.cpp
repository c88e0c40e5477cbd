// Tests that the proxy core dispatches and refuses waiting operations by customer.

#include "customerfixture.h"

#include <catch2/catch.hpp>

using namespace papayaspindle;
using namespace papayaspindle::proxy;

namespace {

/** The customer acme has sent 30 writes, all other customers none. */
struct FloodFixture : CustomerFixture
{
  FloodFixture()
  {
    for (SessionKey session = 1; session <= 30; session++) {
      Open(session, "k1", "main");
      RunWrite(session);
    }
  }

  /** @return whether the write of the customer other was sent within aReplies answers */
  bool IsSentWithin(int aReplies)
  {
    for (int reply = 0; reply < aReplies; reply++) {
      const auto writes = std::exchange(mSent, {});
      for (const auto& sent : writes) {
        if (sent.mCommand.mKind == CommandKind::Write) {
          if (sent.mCommand.mArguments == "other data") {
            return true;
          }
          ReplySuccess(sent.mConnection, "sig");
        }
      }
      ReadyAll();
    }
    return false;
  }
};

} // namespace

// Guards against a customer whose many statements all go before those of the others.
TEST_CASE("a statement goes before those beyond another customer's share")
{
  FloodFixture fixture;
  fixture.Open(100, "k3", "main");
  fixture.SendStatement(100, StatementKind::Write, "other data");
  REQUIRE(fixture.IsSentWithin(6));
}

// Guards against a customer without a running statement that is refused for others' load.
TEST_CASE("a customer without a running statement keeps a place in an overloaded queue")
{
  FloodFixture fixture;
  fixture.Open(100, "k3", "main");
  fixture.SendStatement(100, StatementKind::Write, "other data");
  fixture.Advance(190ms);
  for (const auto& [session, answer] : fixture.mAnswers) {
    REQUIRE(session != 100);
  }
}
