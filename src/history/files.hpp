/// @file
/// File access of a history, as an interface of few calls: tests replace the directory by one that
/// fails at the n-th call or loses bytes that were not synced.
#pragma once

#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace violetpulley::history {

/// An error of the operating system: the disk is full or read-only, or a file does not exist. A log
/// that meets this error cannot continue.
struct FileError : std::system_error {
  using std::system_error::system_error;
};

/// The files of one history. Names are without a directory.
class Files {
 public:
  Files() = default;
  virtual ~Files() = default;
  Files(const Files&) = delete;
  Files& operator=(const Files&) = delete;

  /// Names of all files, sorted. Every call throws FileError when the operation fails; an append
  /// may then have written some of the bytes.
  virtual std::vector<std::string> list() = 0;
  /// The whole file.
  virtual std::string read(const std::string& name) = 0;
  /// At most `max_bytes` bytes from the offset `from`; fewer at the end of the file.
  virtual std::string read(const std::string& name, std::size_t from, std::size_t max_bytes) = 0;
  /// Creates the file if it does not exist.
  virtual void append(const std::string& name, std::string_view bytes) = 0;
  /// The bytes appended so far outlive a power cut once this call returns.
  virtual void sync(const std::string& name) = 0;
  /// Atomic: after a crash the file has one name or the other.
  virtual void rename(const std::string& from, const std::string& to) = 0;
  /// A file that does not exist is no error.
  virtual void remove(const std::string& name) = 0;
  /// Created, changed and removed names outlive a power cut once this call returns.
  virtual void sync_directory() = 0;
};

/// A directory of this machine, locked against a second writer.
class Directory : public Files {
 public:
  /// `writing`: creates the directory if it does not exist and takes the lock; readers take none.
  /// Throws FileError, also when another process holds the lock.
  Directory(std::string path, bool writable);
  ~Directory() override;

  std::vector<std::string> list() override;
  std::string read(const std::string& name) override;
  std::string read(const std::string& name, std::size_t from, std::size_t max_bytes) override;
  void append(const std::string& name, std::string_view bytes) override;
  void sync(const std::string& name) override;
  void rename(const std::string& from, const std::string& to) override;
  void remove(const std::string& name) override;
  void sync_directory() override;

 private:
  int append_handle(const std::string& name);
  std::string path_of(const std::string& name) const { return path_ + "/" + name; }
  void close_append_handles();

  std::string path_;
  int lock_fd_ = -1;
  std::map<std::string, int> append_handles_;  // files being appended to: a segment and a snapshot
};

}  // namespace violetpulley::history
