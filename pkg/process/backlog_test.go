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

// While the store is unavailable, an owner accumulates more records than the store accepts in one
// call. An owner that appends all of them at once retries that append forever, and its cell makes no
// progress.
func TestBacklogLargerThanOneAppendIsStoredAfterOutage(t *testing.T) {
	c := newCluster(t, 1)
	c.submit(jobID(0), standin.Work{Ms: 10}, standin.Phase{Count: 1})
	c.platform.SetStoreFault(standin.FaultSilent)
	// 700 jobs of 3.9 KB are 2.7 MB. Jobs with an estimate of 5 s can wait for the store.
	const jobs = 700
	var group errgroup.Group
	for number := range jobs {
		group.Go(func() error {
			work, phase := standin.Work{Ms: 10, Padding: textOfLength(3900)}, standin.Phase{Count: 1, EstimatedMs: 5000}
			status, err := c.client.Submit(context.Background(), c.clientAddress(0), testHost, testPrefix+jobID(1+number), work, phase)
			if err == nil {
				assert.Check(t, status == http.StatusOK || status == http.StatusServiceUnavailable, "the job is accepted or refused, not in doubt: %d", status)
			}
			return nil
		})
	}
	clockwork.NewRealClock().Sleep(1500 * time.Millisecond)
	c.platform.SetStoreFault(standin.FaultNone)
	assert.NilError(t, group.Wait())
	c.submit(jobID(jobs+1), standin.Work{Ms: 10}, standin.Phase{Count: 1})
}
