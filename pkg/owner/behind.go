package owner

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"damsonwinch/pkg/wire"
)

const (
	// mostBehind is how long a submission may have waited for the owner's task. An owner
	// that keeps up takes it within 20 ms. One that doesn't makes all of its jobs late, and
	// each one more that it takes makes records and starts for which it has no time: with
	// every submission taken an owner fell 1.5 to 2.1 s behind and needed 20 s to catch up.
	mostBehind = 700 * time.Millisecond
	// leastComeBack and comeBackSpread tell refused clients when to try again: what piled up
	// is done in about a second, and they must not all come at once.
	leastComeBack  = 700 * time.Millisecond
	comeBackSpread = 1300 * time.Millisecond
)

// behind says whether a submission is to be refused because the owner can't keep up. Of a
// job that is known that would not be true.
func (o *Owner) behind(now time.Time, m clientCall) bool {
	return now.Sub(m.at) > mostBehind && !o.cell.HasJob(m.args.Id)
}

func (o *Owner) refuseBehind(now time.Time, m clientCall) wire.JobReply {
	waited := now.Sub(m.at)
	o.deps.Metrics.Add("submissions_refused_behind", 1)
	o.deps.Logger.WithFields(logrus.Fields{"job": m.args.Id, "waited_ms": waited.Milliseconds()}).Info("job refused: the owner can't keep up")
	spread := time.Duration(xxhash.Sum64String(m.args.Id) % uint64(comeBackSpread))
	return wire.JobReply{
		Outcome: wire.JobOutcomeRefused, Reason: "the owner of the cell can't keep up", RetryAfterMs: int((leastComeBack + spread).Milliseconds()),
	}
}
