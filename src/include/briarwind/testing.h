#pragma once

#include <cppunit/TestAssert.h>

#include <functional>
#include <string>

/// Test cases on top of CppUnit with nested sections. A test case, called a story, runs once for
/// each innermost section, so that every path through the sections starts from the same state:
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

/// Defines and registers a story; the body follows the macro.
#define BW_STORY(aName) BW_STORY_(aName, BW_JOIN(Story, __LINE__), BW_JOIN(kStory, __LINE__))
#define BW_STORY_(aName, aFunction, aRegistrar)                                                    \
  static void aFunction();                                                                         \
  static const briarwind::testing::story_registrar aRegistrar(aName, (aFunction));                 \
  static void aFunction()

/// Opens a section; the body follows the macro. Names must be unique within the enclosing section.
#define BW_SECTION(aName) if (const briarwind::testing::section BW_JOIN(inner, __LINE__){ aName })

/// Fails the story unless the condition holds.
#define BW_CHECK(aCondition) CPPUNIT_ASSERT(aCondition)
/// Fails the story unless both values compare equal.
#define BW_EQUAL(aExpected, aActual)                                                               \
  CPPUNIT_ASSERT_MESSAGE(#aActual " should equal " #aExpected, (aExpected) == (aActual))

namespace briarwind::testing {

/// Registers a story with CppUnit's test factory registry. Used by BW_STORY.
class story_registrar
{
public:
  story_registrar(std::string aName, void (*aBody)());
};

/// Scope of a section, used by BW_SECTION. Converts to true when the current run enters the
/// section; a run enters at most one section of each nesting level.
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
