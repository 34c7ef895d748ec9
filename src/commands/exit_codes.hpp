/// @file
/// Exit codes of all commands (docs/operations.md).
#pragma once

namespace violetpulley::commands {

inline constexpr int kFine = 0;
/// A history is damaged or a replay differs.
inline constexpr int kCheckFailed = 1;
/// Settings, options or files are missing or malformed.
inline constexpr int kBadSettings = 2;
/// The controller could not start or ended by an error.
inline constexpr int kCannotServe = 3;

}  // namespace violetpulley::commands
