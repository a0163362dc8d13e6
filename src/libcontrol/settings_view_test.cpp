#include "settings_view.h"
#include "testing/fake_record_store.h"

#include "briarwind/testing.h"

#include <charconv>

using namespace briarwind;
using namespace briarwind::testing;

namespace {

// A configuration is its version as text; a withdrawn domain is a key of its own.
class plain_codec : public operator_settings_codec
{
public:
  std::string Prefix() const override { return "settings/"; }

  io_result<std::optional<operator_settings>> ReadSettings(
    const stored_value& aValue) const override
  {
    operator_settings settings;
    const char* end = aValue.mValue.data() + aValue.mValue.size();
    if (std::from_chars(aValue.mValue.data(), end, settings.mVersion).ptr != end) {
      return IoError(error_kind::kProtocol, aValue.mKey, "no number");
    }
    return std::optional(settings);
  }

  std::optional<std::string> WithdrawnDomain(std::string_view aKey) const override
  {
    constexpr std::string_view kOut = "settings/out/";
    return aKey.starts_with(kOut) ? std::optional(std::string(aKey.substr(kOut.size())))
                                  : std::nullopt;
  }
};

bool WaitFor(const std::function<bool()>& aCondition)
{
  const instant end = monotonic_clock::now() + milliseconds(4'000);
  while (!aCondition() && monotonic_clock::now() < end) {
    SleepFor(milliseconds(5));
  }
  return aCondition();
}

} // namespace

BW_STORY("the operators' settings on one host")
{
  fiber_runtime runtime;
  metrics counters;
  auto& store = *new fake_record_store;
  static const plain_codec kCodec;
  auto& view = *new settings_view(runtime, store, counters, kCodec);
  int changes = 0;
  view.OnChange([&] { ++changes; });
  store.Put("settings/config", "3");
  view.Start();
  BW_CHECK(WaitFor([&] { return view.Settings().mVersion == 3; }));

  BW_SECTION("follow each newer version")
  {
    store.Put("settings/config", "7");
    BW_CHECK(WaitFor([&] { return view.Settings().mVersion == 7; }));
    BW_EQUAL(2, changes);
  }
  BW_SECTION("never go back to an older one")
  {
    store.Put("settings/config", "2");
    store.Put("settings/out/d1", "");
    BW_CHECK(WaitFor([&] { return !view.ForWork().mWithdrawnDomains.empty(); }));
    BW_EQUAL(std::int64_t{ 3 }, view.Settings().mVersion);
  }
  BW_SECTION("keep the last one that could be read")
  {
    store.Put("settings/config", "not a number");
    store.Put("settings/out/d1", "");
    BW_CHECK(WaitFor([&] { return !view.ForWork().mWithdrawnDomains.empty(); }));
    BW_EQUAL(std::int64_t{ 3 }, view.Settings().mVersion);
  }
  BW_SECTION("miss nothing that changed while the history was dropped")
  {
    store.SetDown(true);
    SleepFor(milliseconds(50));
    store.Put("settings/config", "8");
    store.Put("settings/out/d1", "");
    store.Compact();
    store.SetDown(false);
    BW_CHECK(WaitFor([&] { return view.Settings().mVersion == 8; }));
    BW_EQUAL(std::size_t{ 1 }, view.ForWork().mWithdrawnDomains.size());
  }
  BW_SECTION("take a domain back that is withdrawn no longer")
  {
    store.Put("settings/out/d1", "");
    BW_CHECK(WaitFor([&] { return !view.ForWork().mWithdrawnDomains.empty(); }));
    store.Remove("settings/out/d1");
    BW_CHECK(WaitFor([&] { return view.ForWork().mWithdrawnDomains.empty(); }));
  }
  view.OnChange({});
}
