#pragma once

#include "exploration/storeaccess.h"
#include "proxy/forwardedstatement.h"
#include "proxy/membercommand.h"
#include "proxy/memberentry.h"
#include "proxy/memberreply.h"
#include "proxy/rowstore.h"

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace papayaspindle::exploration {

class SimulatedInstance;

/** What an instance reaches outside its process. The instance passes itself, as events
 * follow later and only its own process may receive them. */
struct InstanceEnvironment
{
  using Instance = SimulatedInstance&;

  std::function<
    void(Instance, proxy::ConnectionKey, const proxy::MemberEntry&, std::string_view)>
    mOpen;
  std::function<
    void(Instance, proxy::ConnectionKey, std::span<const proxy::MemberCommand>)>
    mSend;
  std::function<void(Instance, proxy::ConnectionKey)> mCloseConnection;
  std::function<void(Instance,
                     const std::string& aHome,
                     proxy::OperationKey,
                     const proxy::ForwardedStatement&)>
    mForward;
  std::function<void(Instance, proxy::OperationKey)> mCancelForward;
  std::function<void(Instance, const std::string& aHome, proxy::SessionKey)>
    mEndTransaction;
  std::function<void(Instance, const std::string& aHome)> mPing;
  std::function<void(Instance, proxy::SessionKey, const proxy::ClientAnswer&)> mAnswer;
  std::function<void(Instance, proxy::SessionKey)> mAcceptSession;
  std::function<void(Instance, proxy::SessionKey)> mCloseSession;
  std::function<void(Instance, std::string_view aTable, StoreHook<proxy::ReadResult>)>
    mRead;
  std::function<
    void(Instance, const proxy::ConditionalWrite&, StoreHook<proxy::WriteResult>)>
    mWrite;
  std::function<void(Instance,
                     const proxy::PromotionCall&,
                     std::function<void(proxy::PromotionAnswer)>)>
    mPromote;
};

} // namespace papayaspindle::exploration
