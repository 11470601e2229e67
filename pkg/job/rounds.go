package job

import (
	"time"

	"damsonwinch/pkg/wire"
)

// Rounds returns the number of times that a job's phases run.
func Rounds(spec wire.JobSpec) int {
	return max(1, spec.Rounds)
}

// RoundDue returns when a round of a repeated job is due. The only round of any other job is due at
// once.
func RoundDue(spec wire.JobSpec, number int) time.Time {
	if spec.Rounds == 0 {
		return time.Time{}
	}
	return time.UnixMilli(int64(spec.FirstMs + number*spec.EveryMs))
}
