/// @file
/// In-process fakes of all outside systems.
#pragma once

#include "support/fake_cloud.hpp"
#include "support/fake_state_service.hpp"
