#include "kumquatvalve/connection/peer_message.h"
