#include "settings/settingrow.h"
#include "settings/settingsreader.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/TemporaryFile.h>

#include <catch2/catch.hpp>

#include <fstream>
#include <set>
#include <string>
#include <vector>

using namespace papayaspindle;

namespace {

const std::string kComplete = "[instance]\nname = entry-1\navailability_zone = zone-1\n"
                              "[listen]\ncallers = 127.0.0.1:7400\npeers = [::1]:7500\n"
                              "[platform]\ntables = 127.0.0.1:1\nobjects = 127.0.0.1:2\n"
                              "instances = 127.0.0.1:3\n"
                              "[session]\ntoken_keys = "
                              "000102030405060708090a0b0c0d0e0f\n";

std::variant<Settings, SettingsError>
ReadText(const std::string& aText)
{
  const Poco::TemporaryFile file;
  std::ofstream(file.path()) << aText;
  return SettingsReader(file.path()).Read();
}

std::string
FileText(const std::string& aPath)
{
  std::ifstream file(aPath);
  return { std::istreambuf_iterator<char>(file), {} };
}

} // namespace

TEST_CASE("a complete file is read and the rest takes defaults", "[app]")
{
  const auto read = ReadText(kComplete + "[monitor]\ninterval_ms = 100\n");
  REQUIRE(read.index() == 0);
  const Settings& settings = std::get<Settings>(read);
  CHECK(settings.mInstanceName == "entry-1");
  CHECK(settings.mMonitorInterval == std::chrono::milliseconds(100));
  CHECK(settings.mSuspectAfter == std::chrono::milliseconds(1000));
  REQUIRE(settings.mTokenKeys.size() == 1);
  CHECK(settings.mTokenKeys[0].size() == 16);
  CHECK(settings.mTokenKeys[0][15] == '\x0f');
  for (const std::string& line : EffectiveSettings(settings)) {
    CHECK(line.find("000102") == std::string::npos);
  }
}

// Guards against a wrong file that starts an instance, or an error that names too little.
TEST_CASE("each mistake gives one line with key, value and what is allowed", "[app]")
{
  struct Case
  {
    std::string mText;
    std::vector<std::string> mNames;
  };
  const std::vector<Case> cases{
    { kComplete + "[monitor]\ninterval = 9\n",
      { "monitor.interval", "\"9\"", "unknown key", "interval_ms" } },
    { kComplete + "[colours]\nred = 1\n",
      { "colours.red", "unknown key", "membership" } },
    { kComplete + "[monitor]\ninterval_ms = fast\n",
      { "monitor.interval_ms", "fast", "whole number", "10 to 60000" } },
    { kComplete + "[monitor]\nsuspect_after_ms = 500\n",
      { "monitor.suspect_after_ms", "500", "out of range", "600 to" } },
    { kComplete + "[listen]\ncallers = localhost:7400\n",
      { "listen.callers", "localhost:7400", "IP:PORT" } },
    { kComplete + "[listen]\ncallers = 127.0.0.1:70000\n",
      { "listen.callers", "IP:PORT" } },
    { kComplete + "[reads]\npolicy = both\n",
      { "reads.policy", "both", "immediate_fallback, bounded_wait" } },
    { kComplete + "[log]\nlevels = failover=loud\n",
      { "log.levels", "failover=loud", "warning" } },
    { kComplete + "[tls]\ncaller_certificate = /nonexistent/a.pem\n",
      { "tls.caller_certificate", "/nonexistent/a.pem", "cannot be read" } },
    { kComplete + "[session]\ntoken_keys = 0011\n",
      { "session.token_keys", "(hidden)", "16 to 64 bytes" } },
    { kComplete + "[session]\ntoken_keys =\n", { "session.token_key_file", "missing" } },
    { kComplete + "[failover]\nbackoff_min_ms = 400\n",
      { "failover.backoff_min_ms", "400", "at most 300" } },
    { kComplete + "[drain]\nannounce_ms = 31000\n",
      { "drain.announce_ms", "at most 30000" } },
    { "[instance]\nname = a\n", { "instance.availability_zone", "missing" } },
    { kComplete + "[instance]\nname =\n", { "instance.name", "empty" } },
  };
  for (const Case& c : cases) {
    const auto read = ReadText(c.mText);
    REQUIRE(read.index() == 1);
    const std::string& line = std::get<SettingsError>(read).mLine;
    CHECK(line.find('\n') == std::string::npos);
    for (const std::string& part : c.mNames) {
      CHECK_THAT(line, Catch::Contains(part));
    }
  }
}

// Guards against an instance that shows a certificate to peers but checks none of theirs.
TEST_CASE("TLS between instances needs an authority", "[app]")
{
  const Poco::TemporaryFile pem;
  std::ofstream(pem.path()) << "pem";
  const auto read = ReadText(kComplete + "[tls]\npeer_certificate = " + pem.path() +
                             "\npeer_key = " + pem.path() + "\n");
  REQUIRE(read.index() == 1);
  const std::string& line = std::get<SettingsError>(read).mLine;
  CHECK_THAT(line, Catch::Contains("tls.peer_authority"));
  CHECK_THAT(line, Catch::Contains("both or neither"));
}

TEST_CASE("an unreadable file is named", "[app]")
{
  const auto read = SettingsReader("/nonexistent/papayaspindle.ini").Read();
  REQUIRE(read.index() == 1);
  CHECK_THAT(std::get<SettingsError>(read).mLine,
             Catch::Contains("/nonexistent/papayaspindle.ini"));
}

// Guards against two instances on one address, which would share callers at random.
TEST_CASE("an address in use is refused", "[app]")
{
  const Poco::Net::ServerSocket taken(Poco::Net::SocketAddress("127.0.0.1:0"));
  Settings settings;
  settings.mListenPeers = taken.address().toString();
  const SettingsError error = SettingsReader("file.ini").CheckListeners(settings);
  CHECK_THAT(error.mLine, Catch::Contains("listen.peers"));
  CHECK_THAT(error.mLine, Catch::Contains(settings.mListenPeers));
}

// Guards against a sample that lags behind the table; `serve --print_sample` writes it.
TEST_CASE("the sample file lists every key and is accepted", "[app]")
{
  std::string sample = FileText(SOURCE_DIR "/docs/papayaspindle.ini.sample");
  CHECK(sample == SampleSettings());
  const std::string commented = "\n;token_keys =";
  const std::size_t at = sample.find(commented);
  REQUIRE(at != std::string::npos);
  sample.replace(at, commented.size(), "\ntoken_keys = 000102030405060708090a0b0c0d0e0f");
  CHECK(ReadText(sample).index() == 0);
}

TEST_CASE("keys are unique and explained", "[app]")
{
  std::set<std::string> names;
  for (const SettingRow& row : SettingRows()) {
    INFO(SettingName(row));
    CHECK(names.insert(SettingName(row)).second);
    CHECK_FALSE(row.mExplanation.empty());
    CHECK_FALSE(AllowedValues(row).empty());
  }
}
