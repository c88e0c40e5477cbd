#include "observe/randomid.h"

#include <fmt/format.h>

#include <random>

namespace papayaspindle {

namespace {

std::uint64_t
NextRandom()
{
  thread_local std::mt19937_64 sEngine = [] {
    std::random_device device;
    std::seed_seq seed{ device(), device(), device(), device(), device(), device() };
    return std::mt19937_64(seed);
  }();
  return sEngine();
}

} // namespace

RandomHook
SystemRandom()
{
  return &NextRandom;
}

std::string
RandomHexId(std::size_t aBytes)
{
  constexpr std::size_t kDigitsPerByte = 2;
  std::string text;
  while (text.size() < aBytes * kDigitsPerByte) {
    std::uint64_t number = NextRandom();
    while (number == 0) {
      number = NextRandom();
    }
    text += fmt::format("{:016x}", number);
  }
  text.resize(aBytes * kDigitsPerByte);
  if (!text.empty() && text.find_first_not_of('0') == std::string::npos) {
    text.back() = '1';
  }
  return text;
}

} // namespace papayaspindle
