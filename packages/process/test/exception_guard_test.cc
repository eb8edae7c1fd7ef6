#include "kumquatvalve/process/exception_guard.h"

#include <catch2/catch.hpp>
#include <stdexcept>

namespace kumquatvalve::process {
namespace {

// An exception that left a thread ended the process.
TEST_CASE("exception_guard: exceptions are counted and the task is repeated") {
  const Logger logger("test", LogFormat::kJson, LogLevel::kError);
  ExceptionGuard guard("test", &logger);
  int calls = 0;
  guard.RunUntilDone([&] {
    ++calls;
    if (calls == 1) {
      throw std::runtime_error("scripted");
    }
    if (calls == 2) {
      throw 7;  // NOLINT: not derived from std::exception
    }
  });
  CHECK(calls == 3);
  CHECK(guard.errors() == 2);
  CHECK(guard.Run([] {}));
  CHECK_FALSE(guard.Run([] { throw std::bad_alloc(); }));
  CHECK(guard.errors() == 3);
}

}  // namespace
}  // namespace kumquatvalve::process
