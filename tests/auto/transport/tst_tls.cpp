#include "transport/backendfixture.h"
#include "transport/certificates.h"
#include "transport/grpccredentials.h"
#include "transport/peerfixture.h"
#include "transport/tlscontext.h"

#include "transport/grpctablestore.h"

using namespace papayaspindle;
using namespace papayaspindle::test;

namespace {

const Certificates&
Files()
{
  static const Certificates kFiles;
  return kFiles;
}

PeerServerSettings
ServerSettings(const TlsSettings& aTls)
{
  PeerServerSettings settings;
  const auto context = MakePeerServerContext(aTls);
  REQUIRE(IsOk(context));
  settings.mTls = ValueOf(context);
  return settings;
}

PeerClientSettings
ClientSettings(const TlsSettings& aTls)
{
  PeerClientSettings settings;
  const auto context = MakePeerClientContext(aTls);
  REQUIRE(IsOk(context));
  settings.mTls = ValueOf(context);
  return settings;
}

TlsSettings
WithoutCertificate()
{
  TlsSettings settings = Files().Settings("ours", "ours");
  settings.mCertificateFile.clear();
  settings.mKeyFile.clear();
  return settings;
}

} // namespace

TEST_CASE("peers with certificates of one authority talk over TLS", "[transport]")
{
  PeerFixture peer(ServerSettings(Files().Settings("ours", "ours")));
  peer.Start();
  PeerClient client(ClientSettings(Files().Settings("ours", "ours")));
  const std::string body(3'000'000, 'x');
  for (int i = 0; i < 3; ++i) {
    const auto reply = client.Call(CallTo(peer.mServer.Address(), "Echo", body));
    REQUIRE(IsOk(reply));
    CHECK(ValueOf(reply) == body);
  }
  CHECK(client.Traffic().mConnectionsOpened == 1);
  CHECK(peer.mServer.Stop(kLong));
}

// Guards against peers that are let in, or trusted, without a valid certificate.
TEST_CASE("a peer without a valid certificate is turned away", "[transport]")
{
  struct Case
  {
    const char* mName;
    TlsSettings mServer;
    TlsSettings mClient;
    ErrorKind mKind;
  };
  const TlsSettings ours = Files().Settings("ours", "ours");
  const auto fault = GENERATE_COPY(
    Case{ "no certificate", ours, WithoutCertificate(), ErrorKind::PeerNotTrusted },
    Case{ "client of another authority",
          ours,
          Files().Settings("other", "ours"),
          ErrorKind::PeerNotTrusted },
    Case{ "server of another authority",
          Files().Settings("other", "ours"),
          ours,
          ErrorKind::PeerNotTrusted },
    Case{ "client without TLS", ours, {}, ErrorKind::PeerUnreachable },
    Case{ "server without TLS", {}, ours, ErrorKind::PeerUnreachable });
  CAPTURE(fault.mName);
  PeerFixture peer(ServerSettings(fault.mServer));
  peer.Start();
  PeerClient client(ClientSettings(fault.mClient));
  for (int i = 0; i < 5; ++i) {
    CheckError(client.Call(CallTo(peer.mServer.Address(), "Echo", "x")), fault.mKind);
  }
  CHECK(peer.mServer.Traffic().mRequests == 0);
}

TEST_CASE("a gRPC listener turns clients without a valid certificate away", "[transport]")
{
  struct Case
  {
    ClientCertificate mAsked;
    TlsSettings mClient;
    bool mAccepted;
  };
  const TlsSettings ours = Files().Settings("ours", "ours");
  const auto fault = GENERATE_COPY(
    Case{ ClientCertificate::Required, ours, true },
    Case{ ClientCertificate::Required, WithoutCertificate(), false },
    Case{ ClientCertificate::Required, Files().Settings("other", "ours"), false },
    Case{ ClientCertificate::Optional, WithoutCertificate(), true },
    Case{ ClientCertificate::Optional, Files().Settings("ours", "other"), false });
  const auto server = MakeServerCredentials(ours, fault.mAsked);
  REQUIRE(IsOk(server));
  GrpcFixture fixture(ValueOf(server));
  fixture.mTable.mAnswer = [](grpc::ServerContext&) { return grpc::Status::OK; };
  const auto client = MakeChannelCredentials(fault.mClient);
  REQUIRE(IsOk(client));
  ChannelSettings settings;
  settings.mCredentials = ValueOf(client);
  GrpcTableStore store(fixture.Address(), settings);
  const auto reply = store.Read(v1::TableReadRequest(), kLong);
  CHECK(IsOk(reply) == fault.mAccepted);
}

TEST_CASE("unusable TLS files are errors", "[transport]")
{
  TlsSettings settings = Files().Settings("ours", "ours");
  settings.mKeyFile = "/nonexistent.key";
  CHECK_FALSE(IsOk(MakePeerClientContext(settings)));
  CHECK_FALSE(IsOk(MakePeerServerContext(settings)));
  CHECK_FALSE(IsOk(MakeServerCredentials(settings, ClientCertificate::Required)));
  CHECK_FALSE(IsOk(MakeChannelCredentials(settings)));
}
