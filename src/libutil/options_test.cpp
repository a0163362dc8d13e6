#include "briarwind/options.h"
#include "briarwind/testing.h"

#include <algorithm>
#include <initializer_list>
#include <map>

using namespace briarwind;

namespace {

struct gate_settings
{
  std::string mName = "north";
  bool mLocked = false;
  std::int64_t mWidth = 3;
  milliseconds mDelay{ 250 };
  endpoint mListen{ "127.0.0.1", 8080 };
  std::vector<endpoint> mPeers;
};

struct gate_options
{
  gate_settings mSettings;
  option_set mOptions{ "gate", "Opens and closes." };
  std::map<std::string, std::string> mVariables;

  gate_options()
  {
    mOptions.Add("name", mSettings.mName, "Name of the gate.");
    mOptions.Add("locked", mSettings.mLocked, "Starts locked.");
    mOptions.Add("width", mSettings.mWidth, 1, 9, "Width in metres.");
    mOptions.Add("open-delay", mSettings.mDelay, milliseconds{ 1 }, minutes{ 1 }, "Wait.");
    mOptions.Add("listen", mSettings.mListen, "Address.");
    mOptions.Add("peers", mSettings.mPeers, "Other gates.");
  }

  findings Parse(std::initializer_list<const char*> aArguments)
  {
    std::vector<std::string> names;
    std::ranges::transform(mVariables, std::back_inserter(names),
                           [](const auto& aEntry) { return aEntry.first; });
    return mOptions.Parse(
      std::span(aArguments.begin(), aArguments.size()),
      [this](const char* aName) {
        const auto found = mVariables.find(aName);
        return found != mVariables.end() ? found->second.c_str() : nullptr;
      },
      names);
  }
};

std::vector<std::string> Places(const findings& aFindings)
{
  std::vector<std::string> places;
  std::ranges::transform(aFindings, std::back_inserter(places), &finding::mPlace);
  std::ranges::sort(places);
  return places;
}

} // namespace

BW_STORY("the settings of a process")
{
  gate_options gate;
  const gate_settings& read = gate.mSettings;
  BW_SECTION("keep their defaults when nothing is given")
  {
    BW_CHECK(gate.Parse({}).empty());
    BW_EQUAL(std::string("north"), read.mName);
    BW_EQUAL(milliseconds{ 250 }, read.mDelay);
  }
  BW_SECTION("are taken from flags in both forms")
  {
    BW_CHECK(gate
               .Parse({ "--name", "-south", "--locked", "--width=5", "--open-delay", "2s",
                        "--listen", "[::1]:9", "--peers=127.0.0.1:1,127.0.0.2:2" })
               .empty());
    BW_EQUAL(std::string("-south"), read.mName);
    BW_CHECK(read.mLocked);
    BW_EQUAL(std::int64_t{ 5 }, read.mWidth);
    BW_EQUAL(milliseconds{ 2000 }, read.mDelay);
    BW_EQUAL(std::string("[::1]:9"), ToString(read.mListen));
    BW_EQUAL(std::size_t{ 2 }, read.mPeers.size());
  }
  BW_SECTION("are taken from variables")
  {
    gate.mVariables = { { "BRIARWIND_OPEN_DELAY", "1m" }, { "BRIARWIND_LOCKED", "yes" } };
    BW_CHECK(gate.Parse({}).empty());
    BW_EQUAL(milliseconds{ 60'000 }, read.mDelay);
    BW_CHECK(read.mLocked);
    BW_SECTION("but the flag wins")
    {
      BW_CHECK(gate.Parse({ "--open-delay=5ms", "--locked=no" }).empty());
      BW_EQUAL(milliseconds{ 5 }, read.mDelay);
      BW_CHECK(!read.mLocked);
    }
  }
}

BW_STORY("what is wrong with the settings of a process")
{
  gate_options gate;
  const gate_settings& read = gate.mSettings;
  BW_SECTION("is reported with its place, all together")
  {
    gate.mVariables = { { "BRIARWIND_LOCKED", "perhaps" }, { "BRIARWIND_COLOUR", "red" } };
    const findings found =
      gate.Parse({ "--colour=red", "-x", "--width", "12", "--open-delay", "2", "--listen",
                   "localhost:1", "--peers", "127.0.0.1:1,", "word", "--name" });
    const std::vector<std::string> expected{ "--colour",     "--listen",         "--name",
                                             "--open-delay", "--peers",          "--width",
                                             "-x",           "BRIARWIND_COLOUR", "BRIARWIND_LOCKED",
                                             "command line" };
    BW_EQUAL(expected, Places(found));
    BW_CHECK(HasErrors(found));
    BW_EQUAL(std::string("north"), read.mName);
    BW_EQUAL(std::int64_t{ 3 }, read.mWidth);
  }
  BW_SECTION("is only a warning for an unknown variable")
  {
    gate.mVariables = { { "BRIARWIND_COLOUR", "red" }, { "HOME", "/" } };
    const findings found = gate.Parse({});
    BW_EQUAL(std::vector<std::string>{ "BRIARWIND_COLOUR" }, Places(found));
    BW_CHECK(!HasErrors(found));
  }
  BW_SECTION("may be a flag that is given twice")
  {
    BW_EQUAL(std::vector<std::string>{ "--width" },
             Places(gate.Parse({ "--width=1", "--width=2" })));
  }
  BW_SECTION("may come from a check over several")
  {
    gate.mOptions.AddCheck([&](findings& aFindings) {
      if (read.mLocked && read.mWidth > 4) {
        aFindings.push_back({ severity::kError, "--width", "5", "a locked gate is narrow" });
      }
    });
    BW_CHECK(gate.Parse({ "--locked" }).empty());
    BW_CHECK(HasErrors(gate.Parse({ "--locked", "--width=5" })));
  }
}

BW_STORY("the command line of a process")
{
  gate_options gate;
  BW_SECTION("gives words, and after -- anything as a word")
  {
    std::vector<std::string> words;
    gate.mOptions.AddWords(words, "COMMAND…", "What to do.");
    BW_CHECK(gate.Parse({ "open", "--width=4", "now", "--", "--name" }).empty());
    const std::vector<std::string> expected{ "open", "now", "--name" };
    BW_EQUAL(expected, words);
  }
  BW_SECTION("is shown in the help with variable, default and range")
  {
    const std::string help = gate.mOptions.Help();
    for (const char* part : { "--open-delay TIME from 1ms to 1m", "BRIARWIND_OPEN_DELAY",
                              "default: 250ms", "--peers", "default: none", "--check" }) {
      BW_CHECK(help.find(part) != std::string::npos);
    }
  }
}
