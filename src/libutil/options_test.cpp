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

// Guards against options that lose their defaults, are misread, or take the variable over the flag.
BW_STORY("options are read from flags and environment variables")
{
  gate_options gate;
  const gate_settings& read = gate.mSettings;
  BW_SECTION("options that are not given keep their defaults")
  {
    BW_CHECK(gate.Parse({}).empty());
    BW_EQUAL(std::string("north"), read.mName);
    BW_EQUAL(milliseconds{ 250 }, read.mDelay);
  }
  BW_SECTION("flags are read as --flag value and as --flag=value")
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
  BW_SECTION("environment variables are read")
  {
    gate.mVariables = { { "BRIARWIND_OPEN_DELAY", "1m" }, { "BRIARWIND_LOCKED", "yes" } };
    BW_CHECK(gate.Parse({}).empty());
    BW_EQUAL(milliseconds{ 60'000 }, read.mDelay);
    BW_CHECK(read.mLocked);
    BW_SECTION("a flag takes precedence over its environment variable")
    {
      BW_CHECK(gate.Parse({ "--open-delay=5ms", "--locked=no" }).empty());
      BW_EQUAL(milliseconds{ 5 }, read.mDelay);
      BW_CHECK(!read.mLocked);
    }
  }
}

// Guards against a parser that stops at the first invalid option, which would hide the others, and
// against invalid values that are accepted or that overwrite the defaults.
BW_STORY("invalid options are reported as findings")
{
  gate_options gate;
  const gate_settings& read = gate.mSettings;
  BW_SECTION("all invalid options are reported together, each with its flag or variable")
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
  BW_SECTION("an unknown environment variable is only a warning")
  {
    gate.mVariables = { { "BRIARWIND_COLOUR", "red" }, { "HOME", "/" } };
    const findings found = gate.Parse({});
    BW_EQUAL(std::vector<std::string>{ "BRIARWIND_COLOUR" }, Places(found));
    BW_CHECK(!HasErrors(found));
  }
  BW_SECTION("a flag that is given twice is reported")
  {
    BW_EQUAL(std::vector<std::string>{ "--width" },
             Places(gate.Parse({ "--width=1", "--width=2" })));
  }
  BW_SECTION("an added check reports findings that span several options")
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

// Guards against positional arguments that are taken for flags, and against options that --help
// leaves out.
BW_STORY("positional arguments and help text")
{
  gate_options gate;
  BW_SECTION("arguments that are not flags, and all after --, are positional")
  {
    std::vector<std::string> words;
    gate.mOptions.AddPositionals(words, "COMMAND…", "What to do.");
    BW_CHECK(gate.Parse({ "open", "--width=4", "now", "--", "--name" }).empty());
    const std::vector<std::string> expected{ "open", "now", "--name" };
    BW_EQUAL(expected, words);
  }
  BW_SECTION("the help shows each option with its variable, default and range")
  {
    const std::string help = gate.mOptions.Help();
    for (const char* part : { "--open-delay TIME from 1ms to 1m", "BRIARWIND_OPEN_DELAY",
                              "default: 250ms", "--peers", "default: none", "--check" }) {
      BW_CHECK(help.find(part) != std::string::npos);
    }
  }
}
