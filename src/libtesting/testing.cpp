#include "briarwind/testing.h"

#include <cppunit/TestCase.h>
#include <cppunit/extensions/TestFactory.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <algorithm>
#include <memory>
#include <utility>
#include <vector>

namespace briarwind::testing {

namespace {

// One section discovered so far. Sections are discovered while a story runs, so a section counts as
// finished only when a run leaves it and all inner sections discovered in it are finished.
struct section_node
{
  std::string mName;
  section_node* mParent = nullptr;
  bool mFinished = false;
  bool mInnerEntered = false; // an inner section was entered in this run
  std::vector<std::unique_ptr<section_node>> mInnerSections;
};

section_node* sCurrent = nullptr;

section_node& FindOrAddInner(section_node& aOuter, const char* aName)
{
  const auto found =
    std::ranges::find(aOuter.mInnerSections, aName, [](const auto& aNode) { return aNode->mName; });
  if (found != aOuter.mInnerSections.end()) {
    return **found;
  }
  aOuter.mInnerSections.push_back(std::make_unique<section_node>());
  section_node& made = *aOuter.mInnerSections.back();
  made.mName = aName;
  made.mParent = &aOuter;
  return made;
}

bool AllInnerFinished(const section_node& aNode)
{
  return std::ranges::all_of(aNode.mInnerSections,
                             [](const auto& aInner) { return aInner->mFinished; });
}

class story : public CppUnit::TestCase
{
public:
  story(const std::string& aName, void (*aBody)())
    : CppUnit::TestCase(aName)
    , mBody(aBody)
  {
  }

  void runTest() override
  {
    section_node root;
    do {
      root.mInnerEntered = false;
      sCurrent = &root;
      mBody();
    } while (!AllInnerFinished(root));
    sCurrent = nullptr;
  }

private:
  void (*mBody)();
};

class story_factory : public CppUnit::TestFactory
{
public:
  story_factory(std::string aName, void (*aBody)())
    : mName(std::move(aName))
    , mBody(aBody)
  {
  }

  CppUnit::Test* makeTest() override { return new story(mName, mBody); }

private:
  std::string mName;
  void (*mBody)();
};

} // namespace

story_registrar::story_registrar(std::string aName, void (*aBody)())
{
  CppUnit::TestFactoryRegistry::getRegistry().registerFactory(
    new story_factory(std::move(aName), aBody));
}

section::section(const char* aName)
  : mEntered(false)
{
  section_node& outer = *sCurrent;
  section_node& self = FindOrAddInner(outer, aName);
  if (self.mFinished || outer.mInnerEntered) {
    return;
  }
  outer.mInnerEntered = true;
  self.mInnerEntered = false;
  sCurrent = &self;
  mEntered = true;
}

section::~section()
{
  if (!mEntered) {
    return;
  }
  // A failed assertion unwinds through this destructor too. The story ends then, so marking the
  // section as finished has no effect.
  section_node& self = *sCurrent;
  self.mFinished = AllInnerFinished(self);
  sCurrent = self.mParent;
}

} // namespace briarwind::testing
