package process

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"damsonwinch/platform/standin"
)

// TestWhatPilesUpWhileTheLogIsAwayIsKept also where it is more than the log takes in a
// call: the owner tried to append all of it at once, for good, and its cell stood still.
func TestWhatPilesUpWhileTheLogIsAwayIsKept(t *testing.T) {
	s := newStory(t, 1)
	s.submit(id(0), standin.Work{Ms: 10}, standin.Phase{Count: 1})
	s.platform.SetStoreFault(standin.FaultSilent)
	// 700 texts of 3.9 KB are 2.7 MB. Jobs that expect 5 s of work can wait for the log.
	const jobs = 700
	var group errgroup.Group
	for number := range jobs {
		group.Go(func() error {
			work, phase := standin.Work{Ms: 10, Padding: text(3900)}, standin.Phase{Count: 1, EstimatedMs: 5000}
			status, err := s.client.Submit(context.Background(), s.address(0), testHost, testPrefix+id(1+number), work, phase)
			if err == nil {
				assert.Check(t, status == http.StatusOK || status == http.StatusServiceUnavailable, "kept or refused, and not in doubt: %d", status)
			}
			return nil
		})
	}
	clockwork.NewRealClock().Sleep(1500 * time.Millisecond)
	s.platform.SetStoreFault(standin.FaultNone)
	assert.NilError(t, group.Wait())
	s.submit(id(jobs+1), standin.Work{Ms: 10}, standin.Phase{Count: 1})
}
