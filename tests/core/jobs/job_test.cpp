/// @file
/// Tests of the progress records of a job.
#include "core/jobs/job.hpp"

#include <gtest/gtest.h>

#include "support/sample_jobs.hpp"

namespace violetpulley::core {
namespace {

TEST(JobProgress, ChunkRecordsListDoneTasksAsRanges) {
  JobRecord record;
  record.spec = make_spec(1, 1, Seconds(1));
  record.spec.tasks = 2500;
  Job job(record);
  for (const TaskIndex i : {0U, 1U, 2U, 7U, 1000U}) job.set_done(i);
  const auto first = job.progress(0);
  EXPECT_EQ(first.done, (std::vector<IndexRange>{{0, 2}, {7, 7}}));
  EXPECT_EQ(job.progress(1).done, (std::vector<IndexRange>{{1000, 1000}}));
  EXPECT_TRUE(job.progress(2).done.empty());
  EXPECT_EQ(job.waiting.size(), 2495U);
}

}  // namespace
}  // namespace violetpulley::core
