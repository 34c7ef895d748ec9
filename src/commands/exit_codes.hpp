// Exit codes of every command, as in docs/operations.md.
#pragma once

namespace violetpulley::commands {

inline constexpr int kFine = 0;
inline constexpr int kCheckFailed = 1;
inline constexpr int kBadSettings = 2;
inline constexpr int kCannotServe = 3;

}  // namespace violetpulley::commands
