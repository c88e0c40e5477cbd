#include "serve/gatedpeerhandlers.h"
#include "serve/serve.h"

#include "commandline/commandline.h"
#include "peer.pb.h"

#include <catch2/catch.hpp>
#include <gflags/gflags.h>

#include <map>
#include <string>
#include <vector>

using namespace papayaspindle;

namespace {

int
Run(std::vector<std::string> aWords)
{
  const gflags::FlagSaver saver;
  aWords.insert(aWords.begin(), "serve");
  std::vector<char*> pointers;
  pointers.reserve(aWords.size());
  for (std::string& word : aWords) {
    pointers.push_back(word.data());
  }
  return RunServe(static_cast<int>(pointers.size()), pointers.data());
}

class MockHandlers : public PeerHandlers
{
public:
  void Register(std::string_view aMethod, PeerHandler aHandler) override
  {
    mHandlers[std::string(aMethod)] = std::move(aHandler);
  }
  std::map<std::string, PeerHandler> mHandlers;
};

v1::ForwardReply
Forward(MockHandlers& aHandlers, const v1::ForwardRequest& aRequest)
{
  const auto result =
    aHandlers.mHandlers.at("Forward")({ "Forward", aRequest.SerializeAsString(), "" });
  REQUIRE(IsOk(result));
  v1::ForwardReply reply;
  REQUIRE(reply.ParseFromString(ValueOf(result)));
  return reply;
}

} // namespace

// Guards against an instance that starts with wrong settings.
TEST_CASE("serve ends with 2 on wrong usage or settings", "[app]")
{
  CHECK(Run({}) == kExitUsage);
  CHECK(Run({ "now" }) == kExitUsage);
  CHECK(Run({ "--settings" }) == kExitUsage);
  CHECK(Run({ "--settings=/nonexistent/papayaspindle.ini" }) == kExitUsage);
  CHECK(Run({ "--address=127.0.0.1:1" }) == kExitUsage);
  CHECK(Run({ "--help" }) == kExitDone);
  CHECK(Run({ "--version" }) == kExitDone);
}

// Guards against a drain that cuts a transaction opened through another instance.
TEST_CASE("a drain refuses forwarded new work and lets transactions finish", "[app]")
{
  MockHandlers handlers;
  RequestGate gate;
  GatedPeerHandlers gated(handlers, gate);
  std::size_t inFlight = 0;
  gated.Register("Forward", [&](const PeerRequest&) -> Result<std::string> {
    inFlight = gate.InFlight();
    return std::string();
  });
  gated.Register("Probe", [](const PeerRequest&) -> Result<std::string> {
    return std::string("answered");
  });
  v1::ForwardRequest statement;
  statement.mutable_execute();
  CHECK_FALSE(Forward(handlers, statement).has_error());
  CHECK(inFlight == 1);
  CHECK(gate.InFlight() == 0);

  gate.StartDrain();
  const v1::ForwardReply refused = Forward(handlers, statement);
  CHECK(refused.error().kind() == "draining");
  CHECK(refused.error().execution() == v1::EXECUTION_NOT_RUN);
  statement.mutable_execute()->set_transaction_id("entry-1/1");
  CHECK_FALSE(Forward(handlers, statement).has_error());
  v1::ForwardRequest commit;
  commit.mutable_commit();
  CHECK_FALSE(Forward(handlers, commit).has_error());
  v1::ForwardRequest begin;
  begin.mutable_begin();
  CHECK(Forward(handlers, begin).error().kind() == "draining");
  CHECK(IsOk(handlers.mHandlers.at("Probe")({ "Probe", "", "" })));
}
