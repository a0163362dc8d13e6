#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <cstdlib>
#include <iostream>

int main()
{
  CppUnit::TestResult controller;
  CppUnit::TestResultCollector collected;
  controller.addListener(&collected);

  CppUnit::TestRunner runner;
  runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  runner.run(controller);

  CppUnit::CompilerOutputter outputter(&collected, std::cerr);
  outputter.write();
  std::cerr.flush();
  // Skips the destructors of thread-local objects: they would wait for fibers that a test did not
  // finish.
  std::_Exit(collected.wasSuccessful() && collected.runTests() > 0 ? 0 : 1);
}
