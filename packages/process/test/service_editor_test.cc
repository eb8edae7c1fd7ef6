#include "kumquatvalve/process/service_editor.h"

#include <catch2/catch.hpp>
#include <string>

#include "kumquatvalve/process/object_client.h"
#include "object_api_server.h"

namespace kumquatvalve::process {
namespace {

using request::Failure;
using request::ResultCode;
using Editor = ServiceEditor<ObjectClient>;
using Mode = Editor::Mode;

const std::string kPath = "/teams/tarima/services/patio";

version::ServiceSpec MakeSpec(uint32_t slots,
                              const std::string& address = "10.0.0.1:80/tcp") {
  version::ServiceSpec spec;
  Failure failure;
  spec.addresses = {*version::ParseServiceAddress(address, &failure)};
  spec.slots = slots;
  return spec;
}

version::Operation MakeOperation(const std::string& id) {
  return {id, "2026-01-0" + id.substr(id.size() - 1) + "T00:00:00Z", "tests"};
}

struct Fixture {
  standins::ObjectApiServer server;
  ObjectClient client{
      version::ObjectApiSettings{
          .urls = {"http://127.0.0.1:" +
                   std::to_string(server.Start("127.0.0.1", 0))},
          .timeout = std::chrono::milliseconds(10000)},
      CallBudgetSettings{.calls_per_second = 1e6,
                         .burst = 1e6,
                         .initial_backoff = std::chrono::milliseconds(0),
                         .failures_to_open = 1000000},
      1};
  // Calls of the editor's wait callback, which gives up at the 20th.
  int wait_count = 0;
  Editor editor{&client, request::TeamName("tarima"),
                [this](const Failure&) { return ++wait_count < 20; }};
  Failure failure;

  std::optional<AcceptedChange> Write(const std::string& id, uint32_t slots,
                                      Mode mode = Mode::kCreateOrChange) {
    return editor.Write(kPath, MakeSpec(slots), MakeOperation(id), mode,
                        std::nullopt, &failure);
  }

  uint64_t revision() { return server.Counts()["version"]; }
};

TEST_CASE("service_editor: a service is created, changed and removed") {
  Fixture f;
  CHECK_FALSE(f.Write("op-1", 1, Mode::kChange));
  CHECK(f.failure.code == ResultCode::kNotFound);
  const auto created = f.Write("op-1", 1, Mode::kCreate);
  REQUIRE(created);
  CHECK_FALSE(f.Write("op-2", 2, Mode::kCreate));
  CHECK(f.failure.code == ResultCode::kAlreadyExists);
  const auto changed = f.Write("op-3", 3, Mode::kChange);
  REQUIRE(changed);
  const auto repeated = f.Write("op-4", 3);
  REQUIRE(repeated);
  CHECK(repeated->unchanged);
  CHECK(repeated->version == changed->version);
  const auto services = f.editor.List(&f.failure);
  REQUIRE(services);
  CHECK(services->begin()->second.second.Id(changed->version).value ==
        created->version.value);
  CHECK(f.editor.Remove(kPath, std::nullopt, &f.failure));
  CHECK_FALSE(f.editor.Remove(kPath, std::nullopt, &f.failure));
  CHECK(f.failure.code == ResultCode::kNotFound);
}

// Guards against reporting a success as a failure, which would make an operator
// apply a change twice.
TEST_CASE(
    "service_editor: a write whose response was lost counts as accepted") {
  Fixture f;
  REQUIRE(f.server.Control({{"lose_answers", 1}}));
  const auto created = f.Write("op-1", 1);
  REQUIRE(created);
  CHECK(f.revision() == created->version.value);
  REQUIRE(f.server.Control({{"lose_answers", 1}}));
  const auto changed = f.Write("op-2", 2);
  REQUIRE(changed);
  CHECK(changed->version.value == 2);
  REQUIRE(f.server.Control({{"lose_answers", 1}}));
  CHECK(f.editor.Remove(kPath, std::nullopt, &f.failure));
  CHECK(f.revision() == 3);
}

// Covers a write with an unknown outcome that did not take effect.
TEST_CASE("service_editor: a lost request is retried") {
  Fixture f;
  REQUIRE(f.server.Control({{"lose_request_share", 0.7}}));
  uint64_t last_version = 0;
  for (uint32_t i = 1; i <= 5; ++i) {
    f.wait_count = 0;
    const auto accepted = f.Write("op-" + std::to_string(i), i);
    REQUIRE(accepted);
    CHECK(accepted->version.value == last_version + 1);
    last_version = accepted->version.value;
  }
  CHECK(f.revision() == 5);
}

// Guards against a conflict that does not say which version is in force
// instead.
TEST_CASE("service_editor: a conflict names the stored version and its time") {
  Fixture f;
  const auto first = f.Write("op-1", 1);
  REQUIRE(first);
  REQUIRE(f.Write("op-2", 2));
  CHECK_FALSE(f.editor.Write(kPath, MakeSpec(3), MakeOperation("op-3"),
                             Mode::kChange, first->version, &f.failure));
  CHECK(f.failure.code == ResultCode::kConflict);
  CHECK(f.failure.detail == kPath +
                                " has version 2, accepted at "
                                "2026-01-02T00:00:00Z for tests");
  CHECK_FALSE(f.editor.Remove(kPath, first->version, &f.failure));
  CHECK(f.failure.code == ResultCode::kConflict);
}

// Forwards calls to `api`. Runs a callback, which acts as another operator,
// once after the chosen call took effect and before its result is returned.
struct RacingApi {
  ObjectClient* api;
  std::function<void()> after_update = nullptr;
  std::function<void()> after_delete = nullptr;
  std::function<void()> after_create = nullptr;

  auto Read(const std::string& path, Failure* f) { return api->Read(path, f); }
  auto List(const std::string& path, Failure* f) { return api->List(path, f); }
  auto Create(const std::string& path, const std::string& body, Failure* f) {
    const auto version = api->Create(path, body, f);
    if (auto call = std::exchange(after_create, nullptr)) {
      call();
    }
    return version;
  }
  auto Update(const std::string& path, request::TableVersion expected,
              const std::string& body, Failure* f) {
    const auto version = api->Update(path, expected, body, f);
    if (auto call = std::exchange(after_update, nullptr)) {
      call();
    }
    return version;
  }
  auto Delete(const std::string& path, request::TableVersion expected,
              Failure* f) {
    const auto version = api->Delete(path, expected, f);
    if (auto call = std::exchange(after_delete, nullptr)) {
      call();
    }
    return version;
  }
  auto Watch(const std::string& path, request::TableVersion since,
             std::chrono::milliseconds timeout, Failure* f) {
    return api->Watch(path, since, timeout, f);
  }
};

// The change took effect, its response was lost, and another operator's change
// came before the object was read back: it must count as accepted and not be
// written again.
TEST_CASE("service_editor: a change is accepted even if another one follows") {
  Fixture f;
  REQUIRE(f.Write("op-1", 1));
  RacingApi racing{
      &f.client, [&] {
        Failure other;
        REQUIRE(f.editor.Write(kPath, MakeSpec(3), MakeOperation("op-3"),
                               Mode::kChange, std::nullopt, &other));
      }};
  ServiceEditor<RacingApi> editor(&racing, request::TeamName("tarima"),
                                  [](const Failure&) { return true; });
  REQUIRE(f.server.Control({{"lose_answers", 1}}));
  const auto accepted = editor.Write(kPath, MakeSpec(2), MakeOperation("op-2"),
                                     ServiceEditor<RacingApi>::Mode::kChange,
                                     std::nullopt, &f.failure);
  REQUIRE(accepted);
  CHECK(accepted->version.value == 2);
  CHECK(f.revision() == 3);
}

// The change took effect, its response was lost, and another operator removed
// the service: the store no longer shows whether the change was accepted.
TEST_CASE("service_editor: an outcome that cannot be resolved stays unknown") {
  Fixture f;
  REQUIRE(f.Write("op-1", 1));
  RacingApi racing{&f.client, [&] {
                     Failure other;
                     REQUIRE(f.editor.Remove(kPath, std::nullopt, &other));
                   }};
  ServiceEditor<RacingApi> editor(&racing, request::TeamName("tarima"),
                                  [](const Failure&) { return true; });
  REQUIRE(f.server.Control({{"lose_answers", 1}}));
  CHECK_FALSE(editor.Write(kPath, MakeSpec(2), MakeOperation("op-2"),
                           ServiceEditor<RacingApi>::Mode::kChange,
                           std::nullopt, &f.failure));
  CHECK(f.failure.code == ResultCode::kOutcomeUnknown);
}

// The creation took effect, its response was lost, and others removed the
// service and created it again: reporting a conflict would mean that it never
// existed.
TEST_CASE("service_editor: a creation with a lost response is no conflict") {
  Fixture f;
  RacingApi racing{
      .api = &f.client, .after_create = [&] {
        Failure other;
        REQUIRE(f.editor.Remove(kPath, std::nullopt, &other));
        REQUIRE(f.editor.Write(kPath, MakeSpec(3), MakeOperation("op-3"),
                               Mode::kCreate, std::nullopt, &other));
      }};
  ServiceEditor<RacingApi> editor(&racing, request::TeamName("tarima"),
                                  [](const Failure&) { return true; });
  REQUIRE(f.server.Control({{"lose_answers", 1}}));
  CHECK_FALSE(editor.Write(kPath, MakeSpec(1), MakeOperation("op-1"),
                           ServiceEditor<RacingApi>::Mode::kCreate,
                           std::nullopt, &f.failure));
  CHECK(f.failure.code == ResultCode::kOutcomeUnknown);
}

// The creation took effect, its response was lost, and another operator removed
// the service: creating it again would apply one command twice and undo the
// removal.
TEST_CASE(
    "service_editor: a creation with a lost response is not repeated after a "
    "removal") {
  Fixture f;
  RacingApi racing{.api = &f.client, .after_create = [&] {
                     Failure other;
                     REQUIRE(f.editor.Remove(kPath, std::nullopt, &other));
                   }};
  ServiceEditor<RacingApi> editor(&racing, request::TeamName("tarima"),
                                  [](const Failure&) { return true; });
  REQUIRE(f.server.Control({{"lose_answers", 1}}));
  CHECK_FALSE(editor.Write(kPath, MakeSpec(1), MakeOperation("op-1"),
                           ServiceEditor<RacingApi>::Mode::kCreate,
                           std::nullopt, &f.failure));
  CHECK(f.failure.code == ResultCode::kOutcomeUnknown);
  CHECK(f.revision() == 2);
}

// Guards against creations that are given up although the request was lost and
// only other services changed meanwhile.
TEST_CASE(
    "service_editor: a creation whose request was lost is repeated while other "
    "services change") {
  Fixture f;
  RacingApi racing{
      .api = &f.client, .after_create = [&] {
        REQUIRE(f.server.Control({{"lose_request_share", 0.0}}));
        Failure other;
        REQUIRE(f.editor.Write(
            "/teams/tarima/services/evidencia", MakeSpec(3, "10.0.0.2:80/tcp"),
            MakeOperation("op-3"), Mode::kCreate, std::nullopt, &other));
      }};
  ServiceEditor<RacingApi> editor(&racing, request::TeamName("tarima"),
                                  [&](const Failure&) { return true; });
  // Reads and lists are not lost.
  REQUIRE(f.server.Control({{"lose_request_share", 1.0}}));
  const auto accepted = editor.Write(kPath, MakeSpec(1), MakeOperation("op-1"),
                                     ServiceEditor<RacingApi>::Mode::kCreate,
                                     std::nullopt, &f.failure);
  REQUIRE(accepted);
  CHECK(accepted->version.value == 2);
}

// The deletion took effect, its response was lost, and the service was created
// again: reporting a conflict would mean that nothing was removed.
TEST_CASE("service_editor: a deletion with a lost response is no conflict") {
  Fixture f;
  REQUIRE(f.Write("op-1", 1));
  RacingApi racing{
      .api = &f.client, .after_delete = [&] {
        Failure other;
        REQUIRE(f.editor.Write(kPath, MakeSpec(3), MakeOperation("op-3"),
                               Mode::kCreate, std::nullopt, &other));
      }};
  ServiceEditor<RacingApi> editor(&racing, request::TeamName("tarima"),
                                  [](const Failure&) { return true; });
  REQUIRE(f.server.Control({{"lose_answers", 1}}));
  CHECK_FALSE(editor.Remove(kPath, std::nullopt, &f.failure));
  CHECK(f.failure.code == ResultCode::kOutcomeUnknown);
}

TEST_CASE("service_editor: rejects paths and addresses of other teams") {
  Fixture f;
  REQUIRE(f.Write("op-1", 1));
  CHECK_FALSE(f.editor.Write("/teams/kalahari/services/artwork", MakeSpec(1),
                             MakeOperation("op-2"), Mode::kCreate, std::nullopt,
                             &f.failure));
  CHECK(f.failure.code == ResultCode::kOutsideSubtree);
  CHECK_FALSE(f.editor.Write("/teams/tarima/services/evidencia", MakeSpec(1),
                             MakeOperation("op-3"), Mode::kCreate, std::nullopt,
                             &f.failure));
  CHECK(f.failure.code == ResultCode::kOverlappingAddress);
  CHECK(f.revision() == 1);
}

TEST_CASE("service_editor: reports the reason when the store stays down") {
  Fixture f;
  REQUIRE(f.server.Control({{"down", true}}));
  CHECK_FALSE(f.Write("op-1", 1));
  CHECK(f.failure.code == ResultCode::kStoreUnavailable);
  CHECK(f.wait_count == 20);
}

}  // namespace
}  // namespace kumquatvalve::process
