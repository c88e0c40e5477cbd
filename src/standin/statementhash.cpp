#include "standin/statementhash.h"

#include <Poco/SHA2Engine.h>

namespace papayaspindle::standin {

std::string
StatementHash(const std::vector<std::string>& aStatements)
{
  Poco::SHA2Engine engine(Poco::SHA2Engine::SHA_256);
  for (const std::string& statement : aStatements) {
    engine.update(std::to_string(statement.size()) + ":");
    engine.update(statement);
  }
  const Poco::DigestEngine::Digest& digest = engine.digest();
  return { digest.begin(), digest.end() };
}

} // namespace papayaspindle::standin
