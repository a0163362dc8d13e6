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

/// The class of a failure. It determines whether a caller may retry.
enum class error_kind : std::uint8_t
{
  kInvalid,        ///< the input is wrong; a retry gives the same result
  kNotFound,       ///< the requested item does not exist
  kConflict,       ///< a concurrent change by another writer came first
  kUnavailable,    ///< the operation had no effect and may be retried
  kTimeout,        ///< the deadline passed; the operation had no effect
  kUnknownOutcome, ///< the operation may or may not have taken effect
  kTooLarge,       ///< a size limit was exceeded
  kProtocol,       ///< the peer's message or the input violates its protocol
};

/// Returns the name of a kind as used in logs, metrics and JSON, such as `unknown-outcome`.
std::string_view ToString(error_kind aKind);

/// One failure: its kind, where it occurred (such as the component or the input at fault), and a
/// human-readable description.
struct error
{
  error_kind mKind = error_kind::kInvalid;
  std::string mWhere;
  std::string mWhat;
};

/// Result of a call that never suspends the fiber. The error object is a `briarwind::error`.
template<class T>
using result = boost::leaf::result<T>;

/// Creates a LEAF error with a `briarwind::error`; the returned id converts to any `result<T>`.
inline boost::leaf::error_id MakeError(error_kind aKind, std::string aWhere, std::string aWhat)
{
  return boost::leaf::new_error(error{ aKind, std::move(aWhere), std::move(aWhat) });
}

/// Result of a call that may suspend the fiber. LEAF cannot carry its errors: LEAF keeps its
/// error-handling contexts per thread, and none may be active across a fiber switch. See
/// docs/STYLE.md.
template<class T>
using io_result = boost::outcome_v2::basic_result<T, error, boost::outcome_v2::policy::all_narrow>;

/// Creates a failure that converts to any `io_result<T>`.
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

/// Runs a call that returns `result<T>` and converts its value or error to an `io_result<T>`. The
/// call must not suspend the fiber.
template<class Call>
auto ToIoResult(Call&& aCall)
{
  using value = typename detail::value_of<std::decay_t<decltype(aCall())>>::type;
  using converted = io_result<value>;
  return boost::leaf::try_handle_all(
    [&]() -> result<converted> {
      if constexpr (std::is_void_v<value>) {
        BOOST_LEAF_CHECK(aCall());
        return converted(boost::outcome_v2::in_place_type<void>);
      } else {
        BOOST_LEAF_AUTO(made, aCall());
        return converted(std::move(made));
      }
    },
    [](const error& aError) -> converted { return boost::outcome_v2::failure(aError); },
    []() -> converted {
      return IoError(error_kind::kInvalid, "", "failure without a description");
    });
}

} // namespace briarwind
