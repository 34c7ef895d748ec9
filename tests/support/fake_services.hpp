/// @file
/// In-process fakes of all external services: the cloud with its agents, and the state service.
#pragma once

#include "support/fake_cloud.hpp"
#include "support/fake_state_service.hpp"
