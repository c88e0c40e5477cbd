#pragma once

#include "interfaces/peercalls.h"
#include "interfaces/peerhandlers.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

/** Keeps the registered handlers, and answers calls with functions of the test. */
class FakePeers
  : public papayaspindle::PeerCalls
  , public papayaspindle::PeerHandlers
{
public:
  papayaspindle::Result<std::string> Call(const papayaspindle::PeerCall& aCall) override
  {
    mCalls.push_back(aCall);
    const auto found = mAnswers.find(aCall.mMethod);
    if (found == mAnswers.end()) {
      return papayaspindle::Error{ papayaspindle::ErrorKind::PeerUnreachable, "" };
    }
    return found->second(aCall);
  }

  void Register(std::string_view aMethod, papayaspindle::PeerHandler aHandler) override
  {
    mHandlers[std::string(aMethod)] = std::move(aHandler);
  }

  std::vector<papayaspindle::PeerCall> mCalls;
  std::map<std::string, std::function<std::string(const papayaspindle::PeerCall&)>>
    mAnswers;
  std::map<std::string, papayaspindle::PeerHandler> mHandlers;
};
