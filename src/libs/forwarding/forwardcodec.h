#pragma once

#include "proxy/forwardedstatement.h"
#include "proxy/memberreply.h"

#include <optional>
#include <string>

namespace papayaspindle {

/** Peer method that carries a statement to a home instance. */
inline constexpr const char* kStatementMethod = "Statement";
/** Peer method that ends a session's transaction at a home instance. */
inline constexpr const char* kSessionEndMethod = "SessionEnd";

/** @return the statement as a serialized ForwardedStatement message */
std::string EncodeForwardedStatement(const proxy::ForwardedStatement& aStatement);
/** @return the statement, or nothing when the bytes are not a valid message */
std::optional<proxy::ForwardedStatement> DecodeForwardedStatement(
  const std::string& aBytes);

/**
 * @param aIsLeaving whether the home instance will soon accept no new transactions
 * @return the answer as a serialized ForwardedAnswer message
 */
std::string EncodeHomeAnswer(const proxy::ClientAnswer& aAnswer, bool aIsLeaving);

/** A home instance's answer to a statement. */
struct HomeAnswer
{
  proxy::ClientAnswer mAnswer;
  /** The home instance will soon accept no new transactions. */
  bool mIsLeaving = false;
};

/** @return the answer, or nothing when the bytes are not a valid message */
std::optional<HomeAnswer> DecodeHomeAnswer(const std::string& aBytes);

} // namespace papayaspindle
