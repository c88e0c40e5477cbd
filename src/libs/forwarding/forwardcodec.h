#pragma once

#include "proxy/forwardedstatement.h"
#include "proxy/memberreply.h"

#include <optional>
#include <string>

namespace papayaspindle {

/** Peer method that carries a statement to a home. */
inline constexpr const char* kStatementMethod = "Statement";
/** Peer method that ends a session's transaction at a home. */
inline constexpr const char* kSessionEndMethod = "SessionEnd";

std::string EncodeForwarded(const proxy::ForwardedStatement& aStatement);
/** @return the statement, or nothing for bytes of another kind */
std::optional<proxy::ForwardedStatement> DecodeForwarded(const std::string& aBytes);

/** @param aIsLeaving the home takes no new transactions soon */
std::string EncodeAnswer(const proxy::ClientAnswer& aAnswer, bool aIsLeaving);

/** An answer of a home. */
struct HomeAnswer
{
  proxy::ClientAnswer mAnswer;
  bool mIsLeaving = false;
};

/** @return the answer, or nothing for bytes of another kind */
std::optional<HomeAnswer> DecodeAnswer(const std::string& aBytes);

} // namespace papayaspindle
