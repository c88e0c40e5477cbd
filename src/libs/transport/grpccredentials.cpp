#include "transport/grpccredentials.h"

#include <grpcpp/grpcpp.h>

#include <fstream>
#include <iterator>
#include <string>

namespace papayaspindle {

namespace {

/** Texts of the files of TLS settings. */
struct TlsTexts
{
  std::string mCertificate;
  std::string mKey;
  std::string mCa;
};

/** @return whether the file was read; true for no file */
bool
ReadFile(const std::string& aName, std::string& aText)
{
  if (aName.empty()) {
    return true;
  }
  std::ifstream file(aName, std::ios::binary);
  aText.assign(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
  return file.good() && !aText.empty();
}

Result<TlsTexts>
ReadTexts(const TlsSettings& aSettings)
{
  TlsTexts texts;
  const auto unreadable = [](const std::string& aName) {
    return Error{ ErrorKind::Internal, "cannot read the TLS file " + aName };
  };
  if (!ReadFile(aSettings.mCertificateFile, texts.mCertificate)) {
    return unreadable(aSettings.mCertificateFile);
  }
  if (!ReadFile(aSettings.mKeyFile, texts.mKey)) {
    return unreadable(aSettings.mKeyFile);
  }
  if (!ReadFile(aSettings.mCaFile, texts.mCa)) {
    return unreadable(aSettings.mCaFile);
  }
  return texts;
}

grpc_ssl_client_certificate_request_type
RequestType(const TlsSettings& aSettings, ClientCertificate aClients)
{
  if (aClients == ClientCertificate::Required) {
    return GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY;
  }
  return aSettings.mCaFile.empty() ? GRPC_SSL_DONT_REQUEST_CLIENT_CERTIFICATE
                                   : GRPC_SSL_REQUEST_CLIENT_CERTIFICATE_AND_VERIFY;
}

} // namespace

Result<std::shared_ptr<grpc::ServerCredentials>>
MakeServerCredentials(const TlsSettings& aSettings, ClientCertificate aClients)
{
  if (aSettings.IsEmpty()) {
    return grpc::InsecureServerCredentials();
  }
  const Result<TlsTexts> texts = ReadTexts(aSettings);
  if (!IsOk(texts)) {
    return ErrorOf(texts);
  }
  grpc::SslServerCredentialsOptions options(RequestType(aSettings, aClients));
  options.pem_root_certs = ValueOf(texts).mCa;
  options.pem_key_cert_pairs.push_back(
    { ValueOf(texts).mKey, ValueOf(texts).mCertificate });
  return grpc::SslServerCredentials(options);
}

Result<std::shared_ptr<grpc::ChannelCredentials>>
MakeChannelCredentials(const TlsSettings& aSettings)
{
  if (aSettings.IsEmpty()) {
    return grpc::InsecureChannelCredentials();
  }
  const Result<TlsTexts> texts = ReadTexts(aSettings);
  if (!IsOk(texts)) {
    return ErrorOf(texts);
  }
  grpc::SslCredentialsOptions options;
  options.pem_root_certs = ValueOf(texts).mCa;
  options.pem_private_key = ValueOf(texts).mKey;
  options.pem_cert_chain = ValueOf(texts).mCertificate;
  return grpc::SslCredentials(options);
}

} // namespace papayaspindle
