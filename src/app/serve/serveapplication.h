#pragma once

#include "settings/settings.h"

#include <Poco/Util/ServerApplication.h>

#include <string>
#include <vector>

namespace papayaspindle {

/** Life cycle of the daemon: start, wait for SIGTERM or SIGINT, drain, stop. */
class ServeApplication : public Poco::Util::ServerApplication
{
public:
  explicit ServeApplication(Settings aSettings);

protected:
  int main(const std::vector<std::string>& aArguments) override;

private:
  Settings mSettings;
};

} // namespace papayaspindle
