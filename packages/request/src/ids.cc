#include "kumquatvalve/request/ids.h"

#include <xxhash.h>

namespace kumquatvalve::request {

InstanceId InstanceIdOf(const InstanceName& name) {
  return {XXH64(name.text().data(), name.text().size(), 0)};
}

}  // namespace kumquatvalve::request
