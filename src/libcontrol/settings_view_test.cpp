#include "settings_view.h"
#include "testing/fake_record_store.h"

#include "briarwind/testing.h"

#include <charconv>

using namespace briarwind;
using namespace briarwind::testing;

namespace {

// Reads the version number as the whole value of a configuration. Each key under settings/out/
// withdraws the failure domain that it names.
class version_codec : public operator_settings_codec
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
    constexpr std::string_view kWithdrawnPrefix = "settings/out/";
    return aKey.starts_with(kWithdrawnPrefix)
             ? std::optional(std::string(aKey.substr(kWithdrawnPrefix.size())))
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

// Guards against a host with outdated or invalid settings: an older version or an unreadable value
// may be written, and changes may be compacted away while the host cannot reach the store.
BW_STORY("the operators' settings on one host")
{
  fiber_runtime runtime;
  metrics counters;
  auto& store = *new fake_record_store;
  static const version_codec kCodec;
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
  BW_SECTION("never return to an older version")
  {
    store.Put("settings/config", "2");
    store.Put("settings/out/d1", "");
    BW_CHECK(WaitFor([&] { return !view.ToWorkSettings().mWithdrawnDomains.empty(); }));
    BW_EQUAL(std::int64_t{ 3 }, view.Settings().mVersion);
  }
  BW_SECTION("stay at the last readable version when a value cannot be parsed")
  {
    store.Put("settings/config", "not a number");
    store.Put("settings/out/d1", "");
    BW_CHECK(WaitFor([&] { return !view.ToWorkSettings().mWithdrawnDomains.empty(); }));
    BW_EQUAL(std::int64_t{ 3 }, view.Settings().mVersion);
  }
  BW_SECTION("include changes made during an outage whose history was compacted")
  {
    store.SetDown(true);
    SleepFor(milliseconds(50));
    store.Put("settings/config", "8");
    store.Put("settings/out/d1", "");
    store.Compact();
    store.SetDown(false);
    BW_CHECK(WaitFor([&] { return view.Settings().mVersion == 8; }));
    BW_EQUAL(std::size_t{ 1 }, view.ToWorkSettings().mWithdrawnDomains.size());
  }
  BW_SECTION("include a domain again once its withdrawal is removed")
  {
    store.Put("settings/out/d1", "");
    BW_CHECK(WaitFor([&] { return !view.ToWorkSettings().mWithdrawnDomains.empty(); }));
    store.Remove("settings/out/d1");
    BW_CHECK(WaitFor([&] { return view.ToWorkSettings().mWithdrawnDomains.empty(); }));
  }
  view.OnChange({});
}
