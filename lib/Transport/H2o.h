// The one place that includes h2o, built for its own event loop.
#pragma once

#define H2O_USE_LIBUV 0
extern "C" {
#include <h2o.h>
#include <h2o/http1.h>
#include <h2o/http1client.h>
}
