/// @file
/// Exit codes of all commands (docs/operations.md).
#pragma once

namespace violetpulley::commands {

inline constexpr int kSuccess = 0;
/// A history is damaged or a replay differs.
inline constexpr int kCheckFailed = 1;
/// Settings, options or files are missing or malformed.
inline constexpr int kInvalidInput = 2;
/// The controller could not start or ended by an error.
inline constexpr int kServiceFailed = 3;

}  // namespace violetpulley::commands
