// Single include point for h2o, configured for its own event loop instead of libuv.
#pragma once

#define H2O_USE_LIBUV 0
extern "C" {
#include <h2o.h>
#include <h2o/http1.h>
#include <h2o/http1client.h>
}
