#pragma once

#include "transport/tlssettings.h"

#include <Poco/TemporaryFile.h>
#include <catch2/catch.hpp>

#include <cstdlib>
#include <string>

namespace papayaspindle::test {

/** Two certificate authorities with one certificate each, in a temporary folder. */
class Certificates
{
public:
  Certificates()
  {
    mFolder.createDirectories();
    for (const char* ca : { "ours", "other" }) {
      const std::string name = File(ca);
      Run("-x509 -subj /CN=" + std::string(ca) + "-ca", name + "-ca");
      Run("-x509 -subj /CN=" + std::string(ca) + " -CA " + name + "-ca.pem -CAkey " +
            name + "-ca.key -addext subjectAltName=IP:127.0.0.1",
          name);
    }
  }

  /** @return a certificate of one authority, which trusts another's */
  [[nodiscard]] TlsSettings Settings(const std::string& aIssuer,
                                     const std::string& aTrusted) const
  {
    return { File(aIssuer + ".pem"), File(aIssuer + ".key"), File(aTrusted + "-ca.pem") };
  }

private:
  [[nodiscard]] std::string File(const std::string& aName) const
  {
    return mFolder.path() + "/" + aName;
  }

  static void Run(const std::string& aOptions, const std::string& aName)
  {
    const std::string command =
      "openssl req -newkey ec -pkeyopt ec_paramgen_curve:P-256 -nodes -days 2 " +
      aOptions + " -keyout " + aName + ".key -out " + aName + ".pem 2>/dev/null";
    REQUIRE(std::system(command.c_str()) == 0);
  }

  Poco::TemporaryFile mFolder;
};

} // namespace papayaspindle::test
