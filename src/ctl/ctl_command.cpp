#include "ctl_command.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

namespace briarwind {

namespace json = boost::json;

namespace {

constexpr std::array kCommands{
  ctl_command{ "get", "PATH", 1, 1, Get,
               "prints a subtree, one field, or a branch such as /teams" },
  ctl_command{ "set", "PATH VALUE", 2, 2, Set, "changes a subtree or one field of it" },
  ctl_command{ "delete", "PATH", 1, 1, Delete,
               "deletes a subtree, or resets a field to its default" },
  ctl_command{ "diff", "PATH VALUE", 2, 2, Diff, "prints what set would change, and all findings" },
  ctl_command{ "history", "PATH", 1, 1, History,
               "prints the last changes of a subtree: who, when, what" },
  ctl_command{ "withdraw", "DOMAIN", 1, 1, Withdraw,
               "stops new tasks from starting in a failure domain" },
  ctl_command{ "return", "DOMAIN", 1, 1, Return, "returns a failure domain to service" },
  ctl_command{ "drain", "TARGET", 1, 1, Drain, "stops new work from going to a target" },
  ctl_command{ "undrain", "TARGET", 1, 1, Undrain, "lets work go to a drained target again" },
  ctl_command{ "submit", "JOB", 1, 1, Submit,
               "submits a job; repeating an id creates no second job" },
  ctl_command{ "cancel", "JOB-ID", 1, 1, Cancel, "cancels a job" },
  ctl_command{ "status", "[JOB-ID]", 0, 1, Status,
               "prints the state of a job or of a scheduler; see --in-force" },
  ctl_command{ "explain", "JOB-ID", 1, 1, Explain,
               "prints why a job waits, or where it was placed" },
  ctl_command{ "members", "", 0, 0, Members, "prints the live members and the member record" },
};

std::string ScalarText(const json::value& aValue)
{
  return aValue.is_string() ? std::string(aValue.as_string()) : json::serialize(aValue);
}

bool IsNested(const json::value& aValue)
{
  return (aValue.is_object() && !aValue.as_object().empty()) ||
         (aValue.is_array() && !aValue.as_array().empty());
}

void AppendText(const json::value& aValue, const std::string& aIndent, std::string& aText);

void AppendObject(const json::object& aObject, const std::string& aIndent, std::string& aText)
{
  for (const auto& field : aObject) {
    aText += aIndent + std::string(field.key()) + ":";
    if (IsNested(field.value())) {
      aText += "\n";
      AppendText(field.value(), aIndent + "  ", aText);
    } else {
      aText += " " + ScalarText(field.value()) + "\n";
    }
  }
}

void AppendArray(const json::array& aArray, const std::string& aIndent, std::string& aText)
{
  for (const json::value& each : aArray) {
    if (!IsNested(each)) {
      aText += aIndent + "- " + ScalarText(each) + "\n";
      continue;
    }
    std::string inner;
    AppendText(each, aIndent + "  ", inner);
    inner.replace(aIndent.size(), 1, "-");
    aText += inner;
  }
}

void AppendText(const json::value& aValue, const std::string& aIndent, std::string& aText)
{
  if (const json::object* object = aValue.if_object()) {
    AppendObject(*object, aIndent, aText);
  } else if (const json::array* array = aValue.if_array()) {
    AppendArray(*array, aIndent, aText);
  } else {
    aText += aIndent + ScalarText(aValue) + "\n";
  }
}

ctl_result UnknownCommandResult(const std::vector<std::string>& aWords)
{
  const std::string name = aWords.empty() ? "" : aWords.front();
  return FindingsResult(
    { { severity::kError, "command", name, "expected a command; see --help" } });
}

} // namespace

ctl_context::ctl_context(fiber_runtime& aRuntime, ctl_options aOptions)
  : mRuntime(aRuntime)
  , mOptions(std::move(aOptions))
  , mStore(aRuntime, mOptions.mStores, mMetrics)
  , mLink(aRuntime, "ctl", mMetrics)
{
}

std::span<const ctl_command> Commands()
{
  return kCommands;
}

ctl_result RunCommand(ctl_context& aContext)
{
  const std::vector<std::string>& words = aContext.mOptions.mWords;
  const auto* found = words.empty()
                        ? kCommands.end()
                        : std::ranges::find(kCommands, words.front(), &ctl_command::mName);
  if (found == kCommands.end()) {
    return UnknownCommandResult(words);
  }
  const std::span<const std::string> arguments = std::span(words).subspan(1);
  if (arguments.size() < found->mMinArguments || arguments.size() > found->mMaxArguments) {
    const std::string usage = fmt::format("expected: {} {}", found->mName, found->mArguments);
    return FindingsResult({ { severity::kError, "command", words.front(), usage } });
  }
  return found->mHandler(aContext, arguments);
}

std::string ToText(const json::value& aBody)
{
  std::string text;
  AppendText(aBody, "", text);
  return text;
}

json::array ToJson(std::span<const finding> aFindings)
{
  json::array array;
  for (const finding& each : aFindings) {
    array.push_back(
      json::object{ { "severity", each.mSeverity == severity::kError ? "error" : "warning" },
                    { "place", each.mPlace },
                    { "value", each.mValue },
                    { "expected", each.mExpected } });
  }
  return array;
}

ctl_result FailureResult(ctl_status aStatus, const error& aError)
{
  return { aStatus, json::object{ { "error", json::object{ { "kind", ToString(aError.mKind) },
                                                           { "where", aError.mWhere },
                                                           { "what", aError.mWhat } } } } };
}

ctl_result FindingsResult(findings aFindings)
{
  return { ctl_status::kFindings, json::object{ { "findings", ToJson(aFindings) } } };
}

} // namespace briarwind
