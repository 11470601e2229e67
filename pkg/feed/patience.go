package feed

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/idle"
)

// patience is how long a feed waits for an answer to begin, and between two tries. A store that
// has more to read out than it can is made to read it out again by each reading that is given
// up and sent anew: 147 readers of 1.15 MB at 80 MB/s were never served again.
type patience struct {
	silence time.Duration
	pause   time.Duration
}

const (
	// crowdedSilence is how long an answer may be silent of a store that answers other calls:
	// it refuses what would have to wait for more than two seconds.
	crowdedSilence = 2400 * time.Millisecond
	// mostPause bounds the time between two tries at a store that refuses them.
	mostPause = 1600 * time.Millisecond
)

func newPatience() patience {
	return patience{silence: answerMargin, pause: retryPause}
}

// answered notes an answer.
func (p *patience) answered() {
	*p = newPatience()
}

// failed notes a failed reading. Alive says that the store has answered another call since it
// was sent: then it isn't the way there, and unless the connection is dead, which the next
// reading doesn't use, others are before this one.
func (p *patience) failed(reading context.Context, err error, alive bool) {
	switch {
	case errors.Is(err, damsonwinch.ErrRefused):
		p.silence, p.pause = crowdedSilence, min(mostPause, 2*p.pause)
	case alive && errors.Is(context.Cause(reading), idle.ErrTimeout) && !idle.AnswerStarted(reading):
		p.silence, p.pause = crowdedSilence, retryPause
	default:
		*p = newPatience()
	}
}

// rest returns the time until the next try. It is spread where many try at once.
func (p *patience) rest() time.Duration {
	if p.pause == retryPause {
		return retryPause
	}
	return p.pause/2 + rand.N(p.pause)
}
