/// @file
/// Exit codes of all commands (docs/operations.md).
#pragma once

namespace violetpulley::commands {

inline constexpr int kSuccess = 0;
/// A history is corrupt, a replay differs from it, or not all tasks of a case were placed.
inline constexpr int kCheckFailed = 1;
/// A setting, option or file is missing or malformed.
inline constexpr int kInvalidInput = 2;
/// The controller failed to start or ended with an error.
inline constexpr int kServiceFailed = 3;

}  // namespace violetpulley::commands
