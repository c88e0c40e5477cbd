#include "ctl/ctl.h"
#include "ctl/groupchange.h"
#include "ctl/sessiontokentext.h"

#include "commandline/commandline.h"
#include "convert/convert.h"
#include "operator.grpc.pb.h"

#include <catch2/catch.hpp>
#include <gflags/gflags.h>
#include <grpcpp/grpcpp.h>

#include <memory>
#include <string>
#include <vector>

using namespace papayaspindle;

namespace {

class MockOperator : public v1::Operator::Service
{
public:
  grpc::Status ShowGroup(grpc::ServerContext*,
                         const v1::ShowGroupRequest* aRequest,
                         v1::ShowGroupReply* aReply) override
  {
    if (aRequest->group() != "crier-db-1") {
      *aReply->mutable_error() = ToMessage(Error{ ErrorKind::UnknownGroup, "none" });
      return grpc::Status::OK;
    }
    aReply->mutable_settings()->set_group(aRequest->group());
    aReply->mutable_settings()->set_revision(7);
    aReply->mutable_settings()->set_slots(3);
    aReply->mutable_settings()->add_members()->set_member("m1");
    return grpc::Status::OK;
  }
  grpc::Status ChangeGroup(grpc::ServerContext*,
                           const v1::ChangeGroupRequest* aRequest,
                           v1::ChangeGroupReply* aReply) override
  {
    mLast = *aRequest;
    if (aRequest->expected_revision() != 7) {
      *aReply->mutable_error() =
        ToMessage(Error{ ErrorKind::RevisionConflict, "revision 7" });
    }
    return grpc::Status::OK;
  }

  v1::ChangeGroupRequest mLast;
};

class Fixture
{
public:
  Fixture()
  {
    grpc::ServerBuilder builder;
    builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(), &mPort);
    builder.RegisterService(&mOperator);
    mServer = builder.BuildAndStart();
  }

  int Run(std::vector<std::string> aWords) const
  {
    const gflags::FlagSaver saver;
    aWords.insert(aWords.begin(), "ctl");
    aWords.push_back("--address=127.0.0.1:" + std::to_string(mPort));
    std::vector<char*> pointers;
    pointers.reserve(aWords.size());
    for (std::string& word : aWords) {
      pointers.push_back(word.data());
    }
    return RunCtl(static_cast<int>(pointers.size()), pointers.data());
  }

  MockOperator mOperator;
  int mPort = 0;
  std::unique_ptr<grpc::Server> mServer;
};

} // namespace

// Guards against scripts that take a refusal for success, or a mistyped call for a
// refusal.
TEST_CASE("exit statuses tell done, refused and wrong usage apart", "[app]")
{
  const Fixture fixture;
  CHECK(fixture.Run({ "groups", "show", "crier-db-1" }) == kExitDone);
  CHECK(fixture.Run({ "groups", "show", "crier-db-1", "--json" }) == kExitDone);
  CHECK(fixture.Run({ "--help" }) == kExitDone);
  CHECK(fixture.Run({ "--version" }) == kExitDone);
  CHECK(fixture.Run({ "groups", "show", "other" }) == kExitRefused);
  CHECK(fixture.Run({ "groups", "list" }) == kExitRefused);
  CHECK(fixture.Run({ "groups", "show" }) == kExitUsage);
  CHECK(fixture.Run({ "groups", "remove", "crier-db-1" }) == kExitUsage);
  CHECK(fixture.Run({}) == kExitUsage);
  CHECK(fixture.Run({ "metrics", "--loud" }) == kExitUsage);
  CHECK(fixture.Run({ "execute", "g", "s", "--access=both" }) == kExitUsage);
  CHECK(fixture.Run({ "execute", "g", "s", "--session_token=*" }) == kExitUsage);
}

// Guards against a change that resets what the operator did not name.
TEST_CASE("a change starts from the settings in force", "[app]")
{
  Fixture fixture;
  CHECK(fixture.Run({ "groups", "change", "crier-db-1", "--connection_limit=20" }) ==
        kExitDone);
  CHECK(fixture.mOperator.mLast.settings().slots() == 3);
  CHECK(fixture.mOperator.mLast.settings().connection_limit() == 20);
  CHECK(fixture.mOperator.mLast.expected_revision() == 7);
  CHECK_FALSE(fixture.mOperator.mLast.request_id().empty());
  CHECK(fixture.Run({ "groups", "change", "crier-db-1", "--expected_revision=6" }) ==
        kExitRefused);
  CHECK(fixture.Run({ "groups", "change", "crier-db-1", "--leaving=m9" }) == kExitUsage);
}

TEST_CASE("group edits are checked", "[app]")
{
  v1::GroupSettings settings;
  GroupEdit edit;
  edit.mMembers = "m1=127.0.0.1:1@zone-1, m2=127.0.0.1:2@zone-2";
  edit.mLeaving = "m2";
  edit.mStaleness = "fresh=0,lagging=5000";
  CHECK_FALSE(ApplyEdit(edit, settings));
  REQUIRE(settings.members_size() == 2);
  CHECK(settings.members(1).address() == "127.0.0.1:2");
  CHECK(settings.members(1).availability_zone() == "zone-2");
  CHECK(settings.members(1).leaving());
  REQUIRE(settings.staleness_rules_size() == 2);
  CHECK(settings.staleness_rules(1).max_staleness_ms() == 5000);
  for (const char* members : { "m1", "m1=127.0.0.1:1", "m1@zone" }) {
    INFO(members);
    GroupEdit wrong;
    wrong.mMembers = members;
    CHECK(ApplyEdit(wrong, settings));
  }
  GroupEdit wrongRule;
  wrongRule.mStaleness = "fresh=now";
  CHECK(ApplyEdit(wrongRule, settings));
}

TEST_CASE("session tokens are read in both printed forms", "[app]")
{
  const std::string token("\x00\x01\xfe\xff", 4);
  CHECK(ToHex(token) == "0001feff");
  CHECK(ParseSessionToken("0001feff") == token);
  CHECK(ParseSessionToken("AAH+/w==") == token);
  CHECK(ParseSessionToken("") == std::string());
}
