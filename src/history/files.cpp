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
constexpr const char* kLockFile = "lock";

[[noreturn]] void throw_errno(const std::string& what) {
  throw FileError(std::error_code(errno, std::generic_category()), what);
}

class Descriptor {
 public:
  Descriptor(const std::string& path, int flags) : fd_(::open(path.c_str(), flags | O_CLOEXEC)) {
    if (fd_ < 0) throw_errno("cannot open " + path);
  }
  ~Descriptor() { ::close(fd_); }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  int get() const { return fd_; }

 private:
  int fd_;
};

}  // namespace

Directory::Directory(std::string path, bool writable) : path_(std::move(path)) {
  if (!writable) return;
  if (::mkdir(path_.c_str(), 0700) != 0 && errno != EEXIST)
    throw_errno("cannot create the directory " + path_);
  lock_fd_ = ::open(path_of(kLockFile).c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kOwnerOnly);
  if (lock_fd_ < 0) throw_errno("cannot open " + path_of(kLockFile));
  if (::flock(lock_fd_, LOCK_EX | LOCK_NB) != 0) {
    const int saved_errno = errno;
    ::close(lock_fd_);
    errno = saved_errno;
    throw_errno("another process holds the lock of the history in " + path_);
  }
}

Directory::~Directory() {
  close_append_handles();
  if (lock_fd_ >= 0) ::close(lock_fd_);
}

void Directory::close_append_handles() {
  for (const auto& [name, fd] : append_handles_) ::close(fd);
  append_handles_.clear();
}

std::vector<std::string> Directory::list() {
  const std::unique_ptr<DIR, int (*)(DIR*)> dir(::opendir(path_.c_str()), &::closedir);
  if (!dir) throw_errno("cannot list the directory " + path_);
  std::vector<std::string> names;
  while (const auto* entry = ::readdir(dir.get())) {
    const std::string name = entry->d_name;
    if (name != "." && name != ".." && name != kLockFile) names.push_back(name);
  }
  std::sort(names.begin(), names.end());
  return names;
}

std::string Directory::read(const std::string& name) {
  const Descriptor file(path_of(name), O_RDONLY);
  std::string out;
  char buffer[64 * 1024];
  while (true) {
    const auto count = ::read(file.get(), buffer, sizeof buffer);
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) throw_errno("cannot read " + path_of(name));
    if (count == 0) return out;
    out.append(buffer, static_cast<std::size_t>(count));
  }
}

std::string Directory::read(const std::string& name, std::size_t from, std::size_t max_bytes) {
  const Descriptor file(path_of(name), O_RDONLY);
  std::string out(max_bytes, '\0');
  std::size_t filled = 0;
  while (filled < max_bytes) {
    const auto count = ::pread(file.get(), out.data() + filled, max_bytes - filled,
                               static_cast<off_t>(from + filled));
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) throw_errno("cannot read " + path_of(name));
    if (count == 0) break;
    filled += static_cast<std::size_t>(count);
  }
  out.resize(filled);
  return out;
}

int Directory::append_handle(const std::string& name) {
  if (const auto found = append_handles_.find(name); found != append_handles_.end())
    return found->second;
  const int fd =
      ::open(path_of(name).c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, kOwnerOnly);
  if (fd < 0) throw_errno("cannot open " + path_of(name));
  append_handles_[name] = fd;
  return fd;
}

void Directory::append(const std::string& name, std::string_view bytes) {
  const int fd = append_handle(name);
  while (!bytes.empty()) {
    const auto count = ::write(fd, bytes.data(), bytes.size());
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) throw_errno("cannot write " + path_of(name));
    bytes.remove_prefix(static_cast<std::size_t>(count));
  }
}

void Directory::sync(const std::string& name) {
  if (::fdatasync(append_handle(name)) != 0) throw_errno("cannot sync " + path_of(name));
}

void Directory::rename(const std::string& from, const std::string& to) {
  if (const auto found = append_handles_.find(from); found != append_handles_.end()) {
    ::close(found->second);
    append_handles_.erase(found);
  }
  if (::rename(path_of(from).c_str(), path_of(to).c_str()) != 0)
    throw_errno("cannot rename " + path_of(from));
}

void Directory::remove(const std::string& name) {
  if (const auto found = append_handles_.find(name); found != append_handles_.end()) {
    ::close(found->second);
    append_handles_.erase(found);
  }
  if (::unlink(path_of(name).c_str()) != 0 && errno != ENOENT)
    throw_errno("cannot remove " + path_of(name));
}

void Directory::sync_directory() {
  const Descriptor dir(path_, O_RDONLY | O_DIRECTORY);
  if (::fsync(dir.get()) != 0) throw_errno("cannot sync the directory " + path_);
}

}  // namespace violetpulley::history
