#pragma once

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>
#include <boost/outcome/result.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

namespace briarwind {

/// What kind of thing went wrong; decides whether a caller may try again.
enum class error_kind : std::uint8_t
{
  kInvalid,        ///< the input is wrong; trying again gives the same answer
  kNotFound,       ///< there is no such thing
  kConflict,       ///< somebody else changed it first
  kUnavailable,    ///< nothing took effect; may be tried again
  kTimeout,        ///< the deadline passed and nothing took effect
  kUnknownOutcome, ///< it may or may not have taken effect
  kTooLarge,       ///< a limit on size was passed
  kProtocol,       ///< the other side answered outside its protocol
};

/// The name of a kind as logs, metrics and JSON show it, such as `unknown-outcome`.
std::string_view ToString(error_kind aKind);

/// One failure: its kind, where it came up, and a sentence for people.
struct error
{
  error_kind mKind = error_kind::kInvalid;
  std::string mWhere;
  std::string mWhat;
};

/// Result of calls that never suspend a fiber. The error object is a `briarwind::error`.
template<class T>
using result = boost::leaf::result<T>;

/// Reports a failure through LEAF; converts to any `result<T>`.
inline boost::leaf::error_id MakeError(error_kind aKind, std::string aWhere, std::string aWhat)
{
  return boost::leaf::new_error(error{ aKind, std::move(aWhere), std::move(aWhat) });
}

/// Result of calls that may suspend the fiber: LEAF keeps its handling frames a thread, so they
/// must not be open across a switch between fibers. See docs/STYLE.md.
template<class T>
using io_result = boost::outcome_v2::basic_result<T, error, boost::outcome_v2::policy::all_narrow>;

/// Shorthand for the failure side of an `io_result`.
inline auto IoError(error_kind aKind, std::string aWhere, std::string aWhat)
{
  return boost::outcome_v2::failure(error{ aKind, std::move(aWhere), std::move(aWhat) });
}

namespace detail {

template<class Result>
struct value_of;

template<class Value>
struct value_of<result<Value>>
{
  using type = Value;
};

} // namespace detail

/// Runs a call that returns `result<T>` and hands its value or its error over as an `io_result<T>`.
/// The call must not suspend the fiber.
template<class Call>
auto Settle(Call&& aCall)
{
  using value = typename detail::value_of<std::decay_t<decltype(aCall())>>::type;
  using settled = io_result<value>;
  return boost::leaf::try_handle_all(
    [&]() -> result<settled> {
      if constexpr (std::is_void_v<value>) {
        BOOST_LEAF_CHECK(aCall());
        return settled(boost::outcome_v2::in_place_type<void>);
      } else {
        BOOST_LEAF_AUTO(made, aCall());
        return settled(std::move(made));
      }
    },
    [](const error& aError) -> settled { return boost::outcome_v2::failure(aError); },
    []() -> settled { return IoError(error_kind::kInvalid, "", "failure without a description"); });
}

} // namespace briarwind
