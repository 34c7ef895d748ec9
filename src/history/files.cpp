#include "history/files.hpp"

#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <memory>

namespace violetpulley::history {

namespace {

constexpr mode_t kOwnerOnly = 0600;
constexpr const char* kLockName = "lock";

[[noreturn]] void fail(const std::string& what) {
  throw FileError(std::error_code(errno, std::generic_category()), what);
}

class Descriptor {
 public:
  Descriptor(const std::string& path, int flags) : fd_(::open(path.c_str(), flags | O_CLOEXEC)) {
    if (fd_ < 0) fail("cannot open " + path);
  }
  ~Descriptor() { ::close(fd_); }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  int get() const { return fd_; }

 private:
  int fd_;
};

}  // namespace

Directory::Directory(std::string path, bool writing) : path_(std::move(path)) {
  if (!writing) return;
  if (::mkdir(path_.c_str(), 0700) != 0 && errno != EEXIST) fail("cannot make " + path_);
  lock_ = ::open(full(kLockName).c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kOwnerOnly);
  if (lock_ < 0) fail("cannot open " + full(kLockName));
  if (::flock(lock_, LOCK_EX | LOCK_NB) != 0) {
    const int cause = errno;
    ::close(lock_);
    errno = cause;
    fail("another process writes the history in " + path_);
  }
}

Directory::~Directory() {
  close_all();
  if (lock_ >= 0) ::close(lock_);
}

void Directory::close_all() {
  for (const auto& [name, fd] : open_) ::close(fd);
  open_.clear();
}

std::vector<std::string> Directory::list() {
  const std::unique_ptr<DIR, int (*)(DIR*)> dir(::opendir(path_.c_str()), &::closedir);
  if (!dir) fail("cannot read the directory " + path_);
  std::vector<std::string> names;
  while (const auto* entry = ::readdir(dir.get())) {
    const std::string name = entry->d_name;
    if (name != "." && name != ".." && name != kLockName) names.push_back(name);
  }
  std::sort(names.begin(), names.end());
  return names;
}

std::string Directory::read(const std::string& name) {
  const Descriptor file(full(name), O_RDONLY);
  std::string out;
  char buffer[64 * 1024];
  while (true) {
    const auto got = ::read(file.get(), buffer, sizeof buffer);
    if (got < 0 && errno == EINTR) continue;
    if (got < 0) fail("cannot read " + full(name));
    if (got == 0) return out;
    out.append(buffer, static_cast<std::size_t>(got));
  }
}

std::string Directory::read(const std::string& name, std::size_t from, std::size_t max_bytes) {
  const Descriptor file(full(name), O_RDONLY);
  std::string out(max_bytes, '\0');
  std::size_t have = 0;
  while (have < max_bytes) {
    const auto got =
        ::pread(file.get(), out.data() + have, max_bytes - have, static_cast<off_t>(from + have));
    if (got < 0 && errno == EINTR) continue;
    if (got < 0) fail("cannot read " + full(name));
    if (got == 0) break;
    have += static_cast<std::size_t>(got);
  }
  out.resize(have);
  return out;
}

int Directory::handle_of(const std::string& name) {
  if (const auto known = open_.find(name); known != open_.end()) return known->second;
  const int fd = ::open(full(name).c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, kOwnerOnly);
  if (fd < 0) fail("cannot open " + full(name));
  open_[name] = fd;
  return fd;
}

void Directory::append(const std::string& name, std::string_view bytes) {
  const int fd = handle_of(name);
  while (!bytes.empty()) {
    const auto wrote = ::write(fd, bytes.data(), bytes.size());
    if (wrote < 0 && errno == EINTR) continue;
    if (wrote < 0) fail("cannot write " + full(name));
    bytes.remove_prefix(static_cast<std::size_t>(wrote));
  }
}

void Directory::sync(const std::string& name) {
  if (::fdatasync(handle_of(name)) != 0) fail("cannot sync " + full(name));
}

void Directory::rename(const std::string& from, const std::string& to) {
  if (const auto known = open_.find(from); known != open_.end()) {
    ::close(known->second);
    open_.erase(known);
  }
  if (::rename(full(from).c_str(), full(to).c_str()) != 0) fail("cannot rename " + full(from));
}

void Directory::remove(const std::string& name) {
  if (const auto known = open_.find(name); known != open_.end()) {
    ::close(known->second);
    open_.erase(known);
  }
  if (::unlink(full(name).c_str()) != 0 && errno != ENOENT) fail("cannot remove " + full(name));
}

void Directory::sync_names() {
  const Descriptor dir(path_, O_RDONLY | O_DIRECTORY);
  if (::fsync(dir.get()) != 0) fail("cannot sync the directory " + path_);
}

}  // namespace violetpulley::history
