#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <map>
#include <string>
#include <vector>

#include "kumquatvalve/version/service_spec.h"
#include "kumquatvalve/version/settings_reader.h"

// The first byte selects the parser, so each parser gets a corpus of its own
// within one program.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  namespace request = kumquatvalve::request;
  namespace version = kumquatvalve::version;
  if (size == 0) {
    return 0;
  }
  const std::string text(reinterpret_cast<const char*>(data) + 1, size - 1);
  std::vector<version::SettingsError> errors;
  switch (data[0] % 3) {
    case 0:
      if (!version::ParseProcessSettings(text, "f", &errors) &&
          errors.empty()) {
        std::abort();
      }
      break;
    case 1: {
      const auto services = version::ParseServices(text, "f", &errors);
      if (services.has_value() != errors.empty()) {
        std::abort();
      }
      // Round trip: an accepted service must be read back unchanged from its
      // stored form.
      for (const auto& [path, spec] : services.value_or(
               std::map<version::ServicePath, version::ServiceSpec>{})) {
        request::Failure failure;
        const version::StoredService stored{path, spec, {}, {}, {}};
        const auto read = version::ReadStoredService(
            ToString(path), version::WriteStoredService(stored), &failure);
        if (!read || !(*read == stored)) {
          std::abort();
        }
      }
      break;
    }
    default: {
      request::Failure failure;
      version::ReadStoredService("/teams/a/services/b", text, &failure);
      break;
    }
  }
  return 0;
}
