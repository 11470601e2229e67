package process

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"damsonwinch/pkg/cellclaim"
	"damsonwinch/platform/standin"
)

// setCellPartitionsBusy makes the store refuse the calls to the partitions that hold the cells'
// records, or ends that.
func (c *testCluster) setCellPartitionsBusy(busy bool) {
	for number := range 2 {
		stream := cellclaim.PartitionStream(number, defaultPartitions)
		c.platform.SetPartitionBusy(stream.Topic, stream.Partition, busy)
	}
}

// A third of a site's partitions was unavailable for 7 s while the other partitions worked, and half
// of the jobs of their cells were late. A cell has to move its records to another partition. No job
// may be lost and no task run twice, neither then nor when the partition is available again.
func TestCellMovesFromUnavailablePartition(t *testing.T) {
	c := newCluster(t, 2)
	c.submit(jobID(0), standin.Work{}, standin.Phase{Count: 2, MilliCPU: 500, LongRunning: true, MaxMissing: 1, MaxPerBox: 1})
	c.submit(jobID(1), standin.Work{Ms: 1500}, standin.Phase{Count: 2, MilliCPU: 500, EstimatedMs: 1500}, standin.Phase{Count: 1, DependsOn: []int{0}})
	c.waitUntil("both jobs run", func() bool {
		return len(c.platform.CountRuns(jobID(0))) == 2 && len(c.platform.CountRuns(jobID(1))) == 2
	})
	longRunning := c.platform.CountRuns(jobID(0))

	c.setCellPartitionsBusy(true)
	c.submit(jobID(2), standin.Work{Ms: 20}, standin.Phase{Count: 1})
	for number := 1; number <= 2; number++ {
		c.waitUntil("the job is completed", func() bool { return c.jobState(jobID(number)) == "completed" })
	}
	c.setCellPartitionsBusy(false)
	clockwork.NewRealClock().Sleep(time.Second)

	c.submit(jobID(3), standin.Work{Ms: 20}, standin.Phase{Count: 1})
	c.waitUntil("the job is completed", func() bool { return c.jobState(jobID(3)) == "completed" })
	assert.DeepEqual(t, c.platform.CountRuns(jobID(0)), longRunning)
}
