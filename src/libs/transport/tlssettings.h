#pragma once

#include <string>

namespace papayaspindle {

/** Files of one listener's or client's TLS identity, all in PEM. */
struct TlsSettings
{
  /** Own certificate, followed by intermediate ones. */
  std::string mCertificateFile;
  std::string mKeyFile;
  /** Certificates that the other side's certificate must lead to. */
  std::string mCaFile;

  /** @return whether TLS is off */
  [[nodiscard]] bool IsEmpty() const
  {
    return mCertificateFile.empty() && mKeyFile.empty() && mCaFile.empty();
  }
};

} // namespace papayaspindle
