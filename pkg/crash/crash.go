// Package crash distinguishes tasks that crash their endpoints from tasks that only lose their
// attempts when an endpoint exits. It does no I/O and reads no clock; the caller keeps the state.
//
// The problem: an endpoint runs some twenty tasks, and exits. One of them may have crashed it,
// mostly some milliseconds after its start, and will crash the next endpoint that starts it. The
// others did nothing wrong and must be run elsewhere. Counting the losses under a task doesn't tell
// them apart: beside two tasks that crash their endpoints, a sound task loses its attempt seven
// times. Probation does: a suspect is started on an endpoint where nothing else has started just
// before, and nothing else may start there until the suspect is seen to have outlived the age that
// it had when an endpoint was lost. If that endpoint is lost as well, the suspect is to blame,
// unless endpoints are lost so often that it may be chance.
package crash

import (
	"math"
	"time"
)

// Rules are the thresholds by which tasks are suspected and blamed. The age of a task is the time
// since its start on an endpoint.
type Rules struct {
	// SuspectAge is the age up to which a task is a suspect the first time that an endpoint is lost
	// under it. An older task becomes a suspect when it has a similar age at the loss of another
	// endpoint.
	SuspectAge time.Duration
	// MaxCrashAge is the age from which a task has nothing to do with the loss of its endpoint. A
	// task that gets that old is no longer held responsible for earlier losses.
	MaxCrashAge time.Duration
	// MinProbation and MaxProbation bound the time of probation, which is usually the highest age
	// that the task may have had at its losses.
	MinProbation time.Duration
	MaxProbation time.Duration
	// A task may have been older than measured by up to Jitter, and younger by up to DetectionLag,
	// since a busy owner learns late of a loss. In addition, ages are similar if they differ by no
	// more than the fraction AgeTolerance.
	Jitter       time.Duration
	DetectionLag time.Duration
	AgeTolerance float64
	// MinLossRate is the least rate, per second, at which an endpoint is assumed to be lost by
	// itself. It applies where the observed rate is lower.
	MinLossRate float64
	// ProofWeight is the weight of evidence from which a task is given up; see Weight.
	ProofWeight int
	// MaxLosses is the number of endpoints that may be lost under a task. After that the task may be
	// started MaxExtraStarts times more, whatever causes the losses. Then it is given up, unless nobody
	// knows for some of the losses whether the start had been sent.
	MaxLosses      int
	MaxExtraStarts int
}

// DefaultRules returns the rules that apply unless the caller chooses others.
//
// A task may be given up once two endpoints have crashed under it. Once three have, it must not be
// started more than twice again: hence MaxLosses and MaxExtraStarts. Tasks that crash their endpoints
// have been seen to do so 10 ms after their start. SuspectAge is ten times that, and covers about a
// tenth of what runs on a busy endpoint (20 starts per second, 0.8 s each). MaxCrashAge is eighty
// times those 10 ms. Tasks that crash their endpoints later aren't recognized: a long-running task
// runs while many endpoints are lost and would be suspected without a reason.
//
// Where a seventh of the endpoints crash twice in 40 s, each crashes at a rate of 0.0075 per second.
// For a sound task whose ages at two losses are 10 ms apart, that causes a loss in its probation once
// in 3,000 times; ProofWeight asks for once in 500. With two suspects for each loss and two losses a
// day, one sound task in 700 days is given up. Where endpoints are lost thirty times as often, each
// one every 4 s, a second probation must also end with a loss, and of 3,000 sound suspects one is
// given up.
func DefaultRules() Rules {
	return Rules{
		SuspectAge: 100 * time.Millisecond, MaxCrashAge: 800 * time.Millisecond, MinProbation: 60 * time.Millisecond, MaxProbation: time.Second,
		Jitter: 20 * time.Millisecond, DetectionLag: 150 * time.Millisecond, AgeTolerance: 0.25, MinLossRate: 0.0075, ProofWeight: Weight(1.0 / 500), MaxLosses: 3, MaxExtraStarts: 2,
	}
}

// weightPerTen is the weight of an event with a probability of one in ten.
const weightPerTen = 1000

// Weight returns the weight, as evidence, of an event that happens by chance with the given
// probability: 1000 for each power of ten by which it is below 1. The weights of independent events
// add up.
func Weight(probability float64) int {
	return int(math.Round(-weightPerTen * math.Log10(min(1, probability))))
}

// History sums up what is known of the endpoints that were lost under a task. The zero value is that of
// a task without losses.
type History struct {
	// Losses is the number of endpoints that were lost under the task.
	Losses int
	// UnsentLosses is the number of those losses that concern starts which nobody knows to have been sent.
	UnsentLosses int
	// CertainLosses is the number of those endpoints where the task certainly ran. On the others, the
	// request to start it may have been lost, or the report that it had ended.
	CertainLosses int
	// SimilarLosses is the number of the last losses in a row at which the task may have had the same
	// age. That age is between MinAge and MaxAge.
	SimilarLosses int
	MinAge        time.Duration
	MaxAge        time.Duration
	// Weight is the weight of the evidence of the task's probations.
	Weight int
	// ExtraStarts counts the starts of the task since MaxLosses endpoints were lost under it.
	ExtraStarts int
}

// WithExtraStarts returns the history with more extra starts, or fewer if the number is negative.
func (h History) WithExtraStarts(more int) History {
	h.ExtraStarts += more
	return h
}

// Loss describes the loss of an endpoint under a task.
type Loss struct {
	// MaxAge is the highest age that the task may have had, and MinAge the lowest: unless a
	// connection broke, the endpoint exited at some time since its last reply.
	MaxAge time.Duration
	MinAge time.Duration
	// Certain is set if the task certainly ran.
	Certain bool
	// Unsent is set if an earlier owner has recorded the start of the task, and nobody knows whether it has sent it. It is
	// set only if that owner would have recorded it; see RecordsStarts.
	Unsent bool
	// Explained is set if something else has probably caused the loss: other endpoints were lost at
	// the same time, for example those of a rack or zone.
	Explained bool
	// OtherBlamed is set if another task, which was on probation there, is to blame for the loss.
	OtherBlamed bool
	// Probation is set if the task was on probation there and was not seen to have outlived it.
	Probation bool
	// LossRate is the recent rate, per second, at which an endpoint is lost by itself.
	LossRate float64
}

// Add returns a task's history with one more loss. It returns an empty history if the task was certainly
// older than MaxCrashAge, and therefore isn't held responsible any more. A loss that another task is to
// blame for counts only if it fits the task's earlier losses: that blame may be wrong.
func (r Rules) Add(history History, loss Loss) History {
	if r.low(loss.MinAge) >= r.MaxCrashAge {
		return History{}
	}
	low, high := r.low(loss.MinAge), r.high(loss.MaxAge)
	similar := history.SimilarLosses > 0 && low <= history.MaxAge && high >= history.MinAge
	if loss.OtherBlamed && !similar {
		return history
	}
	history.Weight += r.weigh(history, loss)
	history.Losses++
	if loss.Unsent {
		history.UnsentLosses++
	}
	if loss.Certain {
		history.CertainLosses++
	}
	switch {
	case history.SimilarLosses > 0 && high < history.MinAge:
		// The endpoint was lost before the task reached the age of the earlier losses.
	case similar:
		history.SimilarLosses, history.MinAge, history.MaxAge = history.SimilarLosses+1, max(history.MinAge, low), min(history.MaxAge, high)
	case !loss.Explained:
		// No task becomes a suspect for a loss that is explained: when a rack loses power,
		// hundreds of tasks would wait for probation.
		history.SimilarLosses, history.MinAge, history.MaxAge = 1, low, high
	}
	return history
}

// low returns the lowest age that is similar to a measured age.
func (r Rules) low(age time.Duration) time.Duration {
	return max(0, age-time.Duration(r.AgeTolerance*float64(age))-r.DetectionLag)
}

// high returns the highest age that is similar to a measured age.
func (r Rules) high(age time.Duration) time.Duration {
	return age + time.Duration(r.AgeTolerance*float64(age)) + r.Jitter
}

// weigh returns the weight of a loss as evidence against a task with the given earlier history; 0 if it
// is no evidence. The weight tells how unlikely it is that the endpoint was lost by itself during the
// task's probation or, if the task had the same age as at its earlier losses, at just that age.
func (r Rules) weigh(history History, loss Loss) int {
	probation := r.ProbationTime(history)
	if !r.IsSuspect(history) || !loss.Probation || !loss.Certain || loss.Explained || loss.MaxAge > probation {
		return 0
	}
	window := min(probation, history.MaxAge) - history.MinAge
	if loss.MaxAge < history.MinAge || loss.MaxAge > history.MaxAge {
		window = probation
	}
	return Weight(max(loss.LossRate, r.MinLossRate) * window.Seconds())
}

// Blames reports whether the loss alone is evidence enough that the task has caused it, given the task's
// history before the loss.
func (r Rules) Blames(before History, loss Loss) bool {
	return r.weigh(before, loss) >= r.ProofWeight
}

// IsSuspect reports whether a task is a suspect, so that it must be started on probation. A task whose starts
// are counted is one in any case: beside other tasks, it would use up its starts for what those cause.
func (r Rules) IsSuspect(history History) bool {
	return r.CountsStarts(history) || history.SimilarLosses > 1 || history.SimilarLosses == 1 && history.MaxAge <= r.MeasuredSuspectAge()
}

// MeasuredSuspectAge returns the measured age up to which a task may be a suspect the first time:
// SuspectAge with the tolerances added.
func (r Rules) MeasuredSuspectAge() time.Duration {
	return r.high(r.SuspectAge)
}

// ProbationTime returns the age at which a task on probation has outlived its probation.
func (r Rules) ProbationTime(history History) time.Duration {
	return min(max(history.MaxAge, r.MinProbation), r.MaxProbation)
}

// CountsStarts reports whether further starts of a task count as extra starts.
func (r Rules) CountsStarts(history History) bool {
	return history.Losses >= r.MaxLosses
}

// RecordsStarts reports whether an owner records that it has sent a start of a task: the next loss may decide whether the
// task is given up by number.
func (r Rules) RecordsStarts(history History) bool {
	return history.Losses >= r.MaxLosses-1
}

// StartsExhausted reports whether a task must not be started any more, whatever caused its losses.
func (r Rules) StartsExhausted(history History) bool {
	return history.sentLosses() >= r.MaxLosses && history.ExtraStarts >= r.MaxExtraStarts
}

// sentLosses returns the number of losses but for those of starts that nobody knows to have been sent.
func (h History) sentLosses() int {
	return h.Losses - h.UnsentLosses
}

// IsCrasher reports whether the losses during a task's probations are evidence enough that the task
// crashes its endpoints.
func (r Rules) IsCrasher(history History) bool {
	return history.CertainLosses > 1 && history.Weight >= r.ProofWeight
}
