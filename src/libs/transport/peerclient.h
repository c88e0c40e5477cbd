#pragma once

#include "interfaces/peercalls.h"
#include "transport/peersettings.h"
#include "transport/peertraffic.h"

#include <memory>

namespace papayaspindle {

/**
 * Requests to other entry instances over nghttp2 streams: one long-lived connection for
 * each address, one stream for each request. Thread-safe.
 *
 * Errors of Call, besides what the peer's handler answers:
 * - PeerUnreachable, PeerNotTrusted and StatementTooLarge: nothing was written;
 * - Draining: the peer refused the request before it ran;
 * - AnswerTooLarge: the handler ran and its answer is over the limit;
 * - OutcomeUnknown: the request was written and no whole, matching answer arrived.
 */
class PeerClient : public PeerCalls
{
public:
  explicit PeerClient(PeerClientSettings aSettings);
  /** Closes all connections; calls under way end with an error. */
  ~PeerClient() override;

  Result<std::string> Call(const PeerCall& aCall) override;
  /** @return what was carried so far */
  [[nodiscard]] PeerTraffic Traffic() const;

private:
  struct Private;
  std::shared_ptr<Private> mPrivate;
};

} // namespace papayaspindle
