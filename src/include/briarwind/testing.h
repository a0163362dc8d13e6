#pragma once

#include <cppunit/TestAssert.h>

#include <functional>
#include <string>

/// Tests on CppUnit whose nested sections read as a story. A story is run again for each innermost
/// section, so that every path starts from the same beginning:
///
///     BW_STORY("a registry")
///     {
///       registry names;
///       BW_SECTION("that is empty") { … }
///       BW_SECTION("with one name")
///       {
///         names.Add("a");
///         BW_SECTION("refuses it a second time") { … }
///       }
///     }

#define BW_JOIN_(aLeft, aRight) aLeft##aRight
#define BW_JOIN(aLeft, aRight) BW_JOIN_(aLeft, aRight)

#define BW_STORY(aName) BW_STORY_(aName, BW_JOIN(Story, __LINE__), BW_JOIN(kStory, __LINE__))
#define BW_STORY_(aName, aFunction, aRegistrar)                                                    \
  static void aFunction();                                                                         \
  static const briarwind::testing::story_registrar aRegistrar(aName, (aFunction));                 \
  static void aFunction()

#define BW_SECTION(aName) if (const briarwind::testing::section BW_JOIN(inner, __LINE__){ aName })

#define BW_CHECK(aCondition) CPPUNIT_ASSERT(aCondition)
#define BW_EQUAL(aExpected, aActual)                                                               \
  CPPUNIT_ASSERT_MESSAGE(#aActual " should equal " #aExpected, (aExpected) == (aActual))

namespace briarwind::testing {

/// Registers a story with CppUnit's registry.
class story_registrar
{
public:
  story_registrar(std::string aName, void (*aBody)());
};

/// True for the one section at its level that this run goes through.
class section
{
public:
  explicit section(const char* aName);
  ~section();
  section(const section&) = delete;
  section& operator=(const section&) = delete;
  explicit operator bool() const { return mEntered; }

private:
  bool mEntered;
};

} // namespace briarwind::testing
