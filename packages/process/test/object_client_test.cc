#include "kumquatvalve/process/object_client.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <fstream>
#include <map>
#include <string>
#include <thread>

#include "kumquatvalve/process/object_answer.h"
#include "object_api_server.h"

namespace kumquatvalve::process {
namespace {

using request::Failure;
using request::ResultCode;
using request::TableVersion;
using standins::ObjectApiServer;
using std::chrono::milliseconds;

const std::string kPath = "/teams/tarima/services/patio";

// Large enough that no test exhausts it; tests of the budget use their own.
constexpr CallBudgetSettings kWideBudget{.calls_per_second = 1e6,
                                         .burst = 1e6,
                                         .initial_backoff = milliseconds(0),
                                         .max_backoff = milliseconds(0),
                                         .failures_to_open = 1000000};

version::ObjectApiSettings MakeSettings(uint16_t port) {
  version::ObjectApiSettings settings;
  settings.urls = {"http://127.0.0.1:" + std::to_string(port)};
  settings.timeout = milliseconds(10000);
  return settings;
}

struct Fixture {
  ObjectApiServer server;
  uint16_t port = server.Start("127.0.0.1", 0);
  ObjectClient client{MakeSettings(port), kWideBudget, 1};
  Failure failure;
};

TEST_CASE("object_client: writes are conditional on the version") {
  Fixture f;
  const auto created = f.client.Create(kPath, "one", &f.failure);
  REQUIRE(created);
  CHECK_FALSE(f.client.Create(kPath, "two", &f.failure));
  CHECK(f.failure.code == ResultCode::kAlreadyExists);
  const auto updated = f.client.Update(kPath, *created, "three", &f.failure);
  REQUIRE(updated);
  CHECK(*updated > *created);
  CHECK_FALSE(f.client.Update(kPath, *created, "four", &f.failure));
  CHECK(f.failure.code == ResultCode::kConflict);
  CHECK(f.client.Read(kPath, &f.failure) ==
        StoredObject{kPath, *updated, "three"});
  CHECK_FALSE(f.client.Delete(kPath, *created, &f.failure));
  CHECK(f.failure.code == ResultCode::kConflict);
  const auto deleted = f.client.Delete(kPath, *updated, &f.failure);
  REQUIRE(deleted);
  CHECK(*deleted > *updated);
  CHECK_FALSE(f.client.Read(kPath, &f.failure));
  CHECK(f.failure.code == ResultCode::kNotFound);
  CHECK_FALSE(f.client.Update(kPath, *updated, "five", &f.failure));
  CHECK(f.failure.code == ResultCode::kConflict);
}

// Tables are binary; guards against changed bodies, which would misroute flows.
TEST_CASE("object_client: binary bodies and special names are preserved") {
  Fixture f;
  std::string body;
  for (int i = 0; i < 512; ++i) {
    body += static_cast<char>(i);
  }
  const std::string path = "/tables/a b%2F+?&=\xc3\xa9";
  REQUIRE(f.client.Create(path, body, &f.failure));
  const auto object = f.client.Read(path, &f.failure);
  REQUIRE(object);
  CHECK(object->body == body);
  CHECK(object->path == path);
  const auto list = f.client.List("/tables/a b", &f.failure);
  REQUIRE(list);
  REQUIRE(list->items.size() == 1);
  CHECK(list->items[0] == *object);
}

TEST_CASE("object_client: a value above 1 MB is rejected, one of 1 MB is not") {
  Fixture f;
  const std::string max_body(size_t{1} << 20, 'x');
  CHECK(f.client.Create(kPath, max_body, &f.failure));
  CHECK_FALSE(f.client.Create(kPath + "2", max_body + "x", &f.failure));
  CHECK(f.failure.code == ResultCode::kValueTooLarge);
}

TEST_CASE("object_client: a watch returns changes and deletions") {
  Fixture f;
  const auto created = f.client.Create(kPath, "one", &f.failure);
  REQUIRE(created);
  REQUIRE(f.client.Create("/members/gye-sur", "x", &f.failure));
  const auto first =
      f.client.Watch("/teams/", {0}, milliseconds(5000), &f.failure);
  REQUIRE(first);
  REQUIRE(first->events.size() == 1);
  CHECK(first->events[0].object.version == *created);

  // A change ends the wait of a long poll.
  std::optional<WatchAnswer> second;
  std::thread watcher([&] {
    Failure failure;
    second = f.client.Watch("/teams/", first->version, milliseconds(60000),
                            &failure);
  });
  const auto deleted = f.client.Delete(kPath, *created, &f.failure);
  watcher.join();
  REQUIRE(deleted);
  REQUIRE(second);
  REQUIRE(second->events.size() == 1);
  CHECK(second->events[0].deleted);
  CHECK(second->events[0].object.version == *deleted);
  CHECK(second->version >= *deleted);
}

// Guards against a watcher permanently missing changes after its events were
// dropped.
TEST_CASE("object_client: a watch from a dropped revision returns a snapshot") {
  Fixture f;
  REQUIRE(f.client.Create(kPath, "one", &f.failure));
  REQUIRE(f.server.Control({{"drop_log", true}}));
  const auto response =
      f.client.Watch("/teams/", {0}, milliseconds(0), &f.failure);
  REQUIRE(response);
  CHECK(response->snapshot);
  REQUIRE(response->events.size() == 1);
  CHECK(response->events[0].object.body == "one");
}

// Guards against reporting a success as a failure, which would make an operator
// write twice.
TEST_CASE("object_client: a lost response to a write is an unknown outcome") {
  Fixture f;
  REQUIRE(f.server.Control({{"lose_answers", 1}}));
  CHECK_FALSE(f.client.Create(kPath, "one", &f.failure));
  CHECK(f.failure.code == ResultCode::kOutcomeUnknown);
  CHECK(f.client.Read(kPath, &f.failure));
  CHECK(f.server.Counts()["calls"]["put"] == 1);
}

TEST_CASE("object_client: a write to a store that is down is not executed") {
  Fixture f;
  REQUIRE(f.server.Control({{"down", true}}));
  CHECK_FALSE(f.client.Create(kPath, "one", &f.failure));
  CHECK(f.failure.code == ResultCode::kStoreUnavailable);
  CHECK_FALSE(f.client.Read(kPath, &f.failure));
  CHECK(f.failure.code == ResultCode::kStoreUnavailable);
  f.server.Stop();
  CHECK_FALSE(f.client.Create(kPath, "one", &f.failure));
  CHECK(f.failure.code == ResultCode::kStoreUnavailable);
}

TEST_CASE("object_client: tries the next address when one is down") {
  Fixture f;
  ObjectApiServer unavailable_server;
  auto settings = MakeSettings(unavailable_server.Start("127.0.0.1", 0));
  settings.urls.push_back(MakeSettings(f.port).urls[0]);
  REQUIRE(unavailable_server.Control({{"down", true}}));
  ObjectClient client(settings, kWideBudget, 1);
  CHECK(client.Create(kPath, "one", &f.failure));
  CHECK(client.Read(kPath, &f.failure));
}

TEST_CASE("object_client: a token allows writes in its own subtree only") {
  ObjectApiServer server(
      std::map<std::string, std::string>{{"secret", "/teams/tarima/"}});
  auto settings = MakeSettings(server.Start("127.0.0.1", 0));
  Failure failure;
  ObjectClient anonymous(settings, kWideBudget, 1);
  CHECK_FALSE(anonymous.List("/", &failure));
  CHECK(failure.code == ResultCode::kUnauthorized);

  settings.token_file = "object_client_test.token";
  ObjectClient client(settings, kWideBudget, 1);
  std::ofstream(settings.token_file) << "secret\n";
  CHECK(client.Create(kPath, "one", &failure));
  CHECK_FALSE(
      client.Create("/teams/kalahari/services/artwork", "one", &failure));
  CHECK(failure.code == ResultCode::kUnauthorized);
  std::remove(settings.token_file.c_str());
}

TEST_CASE("object_client: no call is made beyond the budget") {
  Fixture f;
  ObjectClient client(MakeSettings(f.port),
                      {.calls_per_second = 1e-6, .burst = 3}, 1);
  for (int i = 0; i < 3; ++i) {
    CHECK(client.List("/", &f.failure));
  }
  CHECK_FALSE(client.List("/", &f.failure));
  CHECK(f.failure.code == ResultCode::kCallBudgetSpent);
  CHECK(client.calls() == 3);
  CHECK(f.server.Counts()["calls"]["list"] == 3);
}

// Guards against a waiting watch delaying the end of the process.
TEST_CASE("object_client: Stop ends a waiting watch") {
  Fixture f;
  std::thread watcher([&] {
    Failure failure;
    CHECK_FALSE(f.client.Watch("/", {0}, milliseconds(60000), &failure));
  });
  while (f.server.Counts()["calls"].value("watch", 0) == 0) {
    std::this_thread::yield();
  }
  f.client.Stop();
  watcher.join();
}

TEST_CASE("object_client: rejects responses that violate the protocol") {
  Failure failure;
  for (const char* it :
       {"", "[]", "{}", R"({"path":"/a","version":-1,"body":""})",
        R"({"path":"/a","version":1})", R"({"path":1,"version":1,"body":""})",
        R"({"path":"/a","version":1,"body_base64":"*"})"}) {
    INFO(it);
    CHECK_FALSE(ParseObjectResponse(it, &failure));
    CHECK(failure.code == ResultCode::kBadAnswer);
  }
  CHECK_FALSE(ParseListResponse(R"({"items":[1],"version":1})", &failure));
  CHECK_FALSE(ParseWatchResponse(R"({"events":{},"version":1})", &failure));
  CHECK_FALSE(ParseWriteResponse(R"({"version":"1"})", &failure));
}

}  // namespace
}  // namespace kumquatvalve::process
