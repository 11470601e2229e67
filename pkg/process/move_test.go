package process

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"damsonwinch/pkg/ownership"
	"damsonwinch/platform/standin"
)

// turnAwayCells makes the log turn away the calls of the partitions in which cells stand.
func (s *story) turnAwayCells(away bool) {
	for number := range 2 {
		stream := ownership.PartitionStream(number, usualPartitions)
		s.platform.SetPartitionBusy(stream.Topic, stream.Partition, away)
	}
}

// TestACellGoesOnWhenItsPartitionIsOut and others aren't: a third of a site's partitions was
// out for 7 s, and half of the jobs of their cells came too late. Nothing is lost or run
// twice, now or when the partition is back.
func TestACellGoesOnWhenItsPartitionIsOut(t *testing.T) {
	s := newStory(t, 2)
	s.submit(id(0), standin.Work{}, standin.Phase{Count: 2, MilliCPU: 500, LongRunning: true, MayMiss: 1, MaxPerBox: 1})
	s.submit(id(1), standin.Work{Ms: 1500}, standin.Phase{Count: 2, MilliCPU: 500, EstimatedMs: 1500}, standin.Phase{Count: 1, DependsOn: []int{0}})
	s.until("they run", func() bool { return len(s.platform.CountRuns(id(0))) == 2 && len(s.platform.CountRuns(id(1))) == 2 })
	lasting := s.platform.CountRuns(id(0))

	s.turnAwayCells(true)
	s.submit(id(2), standin.Work{Ms: 20}, standin.Phase{Count: 1})
	for number := 1; number <= 2; number++ {
		s.until("job is completed", func() bool { return s.state(id(number)) == "completed" })
	}
	s.turnAwayCells(false)
	clockwork.NewRealClock().Sleep(time.Second)

	s.submit(id(3), standin.Work{Ms: 20}, standin.Phase{Count: 1})
	s.until("job is completed", func() bool { return s.state(id(3)) == "completed" })
	assert.DeepEqual(t, s.platform.CountRuns(id(0)), lasting)
}
