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

// One section seen so far. Sections are found while a story runs, so a section counts as done only
// once a run has left it without passing over an unfinished inner one.
struct section_node
{
  std::string mName;
  section_node* mParent = nullptr;
  bool mDone = false;
  bool mChosen = false; // an inner section was entered in this run
  std::vector<std::unique_ptr<section_node>> mInner;
};

section_node* sCurrent = nullptr;

section_node& FindInner(section_node& aOuter, const char* aName)
{
  const auto found =
    std::ranges::find(aOuter.mInner, aName, [](const auto& aNode) { return aNode->mName; });
  if (found != aOuter.mInner.end()) {
    return **found;
  }
  aOuter.mInner.push_back(std::make_unique<section_node>());
  section_node& made = *aOuter.mInner.back();
  made.mName = aName;
  made.mParent = &aOuter;
  return made;
}

bool AllInnerDone(const section_node& aNode)
{
  return std::ranges::all_of(aNode.mInner, [](const auto& aInner) { return aInner->mDone; });
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
      root.mChosen = false;
      sCurrent = &root;
      mBody();
    } while (!AllInnerDone(root));
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
  section_node& self = FindInner(outer, aName);
  if (self.mDone || outer.mChosen) {
    return;
  }
  outer.mChosen = true;
  self.mChosen = false;
  sCurrent = &self;
  mEntered = true;
}

section::~section()
{
  if (!mEntered) {
    return;
  }
  // A failed assertion unwinds through here too; the story ends then, so the mark does no harm.
  section_node& self = *sCurrent;
  self.mDone = AllInnerDone(self);
  sCurrent = self.mParent;
}

} // namespace briarwind::testing
