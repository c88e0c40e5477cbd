#pragma once

#include <string>
#include <vector>

namespace papayaspindle::standin {

/** @return SHA-256 over the statements, each with its length in front */
std::string StatementHash(const std::vector<std::string>& aStatements);

} // namespace papayaspindle::standin
