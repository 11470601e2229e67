package process

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch/platform/standin"
)

// weakNodes starts so many nodes that none of them can carry a pool alone.
func weakNodes(t *testing.T, nodes int) *story {
	s := newStory(t, 0)
	s.coreShare = 0.004
	for number := range nodes {
		s.start(number)
	}
	return s
}

// TestAPoolIsCutIntoCells where its owner would have too much to do: jobs run through all
// of them, are found from any node, and the lasting one goes on when its owner is killed.
func TestAPoolIsCutIntoCells(t *testing.T) {
	s := weakNodes(t, 4)
	s.submit(id(0), standin.Work{}, standin.Phase{Count: 2, MilliCPU: 500, LongRunning: true, MayMiss: 1, MaxPerBox: 1})
	for number := 1; number <= 12; number++ {
		s.submit(id(number), standin.Work{Ms: 100}, standin.Phase{Count: 2, MilliCPU: 500, EstimatedMs: 100}, standin.Phase{Count: 1, DependsOn: []int{0}})
	}
	first, second := s.ownerOf("runs"), s.ownerOf("runs@1")
	assert.Assert(t, first >= 0 && second >= 0 && first != second, "owners %d and %d", first, second)
	for number := 1; number <= 12; number++ {
		s.until("job is completed", func() bool { return s.state(id(number)) == "completed" })
	}
	s.until("the lasting job runs", func() bool { return len(s.platform.CountRuns(id(0))) == 2 })

	s.kill(first)
	s.until("another node has the cell", func() bool { owner := s.ownerOf("runs"); return owner >= 0 && owner != first })
	s.until("the lasting job is known", func() bool { return s.state(id(0)) == "running" })
	s.submit(id(50), standin.Work{Ms: 20}, standin.Phase{Count: 1})
	s.until("job is completed", func() bool { return s.state(id(50)) == "completed" })
	ctx, cancel := context.WithTimeout(t.Context(), storyTime)
	defer cancel()
	s.until("the lasting job is cancelled", func() bool {
		status, _, err := s.client.Do(ctx, http.MethodDelete, s.address(1), testHost, testPrefix+id(0), nil)
		return err == nil && status == http.StatusOK
	})
	s.until("nothing of it runs", func() bool { return len(s.platform.CountRuns(id(0))) == 0 })
}

// TestAFleetThatIsKilledFindsItsCellsAgain by the layout that was decided at first, also
// where one would be decided otherwise by then.
func TestAFleetThatIsKilledFindsItsCellsAgain(t *testing.T) {
	s := weakNodes(t, 4)
	for number := range 6 {
		s.submit(id(number), standin.Work{Ms: int((2 * time.Second).Milliseconds())}, standin.Phase{Count: 1, MilliCPU: 500, EstimatedMs: 2000})
	}
	for number := range s.nodes {
		s.kill(number)
	}
	s.coreShare = 1
	for number := range s.nodes {
		s.start(number)
	}
	for number := range 6 {
		s.until("job is completed", func() bool { return s.state(id(number)) == "completed" })
	}
	assert.Assert(t, s.ownerOf("runs@1") >= 0, "the second cell has an owner")
}
