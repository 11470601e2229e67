// Package crash tells tasks that crash the endpoints they start on from those that only
// lose their places there. It is pure; who asks keeps the records.
//
// The pattern: an endpoint runs some twenty tasks, and ends. One of them may have ended it,
// mostly some milliseconds after its start, and will end the next one that starts it; the
// others did nothing and must be done elsewhere. Counting ends under a task doesn't tell
// them apart: beside two tasks that crash their endpoints, a sound one loses its place seven
// times. What does tell is a trial: a suspect is started where nothing else has begun just
// now and nothing else may begin until it is seen to have outlived the age at which it was
// under way when an endpoint ended. If that endpoint ends as well, the suspect is to blame,
// unless endpoints end so often that it may be chance.
package crash

import (
	"math"
	"time"
)

// Rules are the figures by which blame is laid.
type Rules struct {
	// SuspectAge is the age up to which a task is a suspect the first time that an endpoint ends
	// under it. Older ones become suspects when another does at a like age.
	SuspectAge time.Duration
	// MaxCrashAge is the age from which a task has nothing to do with the end of its endpoint, and
	// has outlived what was held against it.
	MaxCrashAge time.Duration
	// MinProbation and MostWatch bound how long a trial lasts, usually for as long as the task had
	// been under way at most.
	MinProbation time.Duration
	MaxProbation time.Duration
	// Jitter is by how much longer than measured a task may have been under way, and Lag by how
	// much shorter: a busy owner hears of ends late. Beside that two ages may differ by LikePart
	// of them to be alike.
	Jitter       time.Duration
	DetectionLag time.Duration
	AgeTolerance float64
	// MinLossRate is how often an endpoint ends by itself, a second, where fewer do.
	MinLossRate float64
	// ProofWeight is the weight of evidence with which a task is given up.
	ProofWeight int
	// MaxLosses is the number of endpoints that may end under a task, after which it may be started
	// MoreStarts times more, whatever comes of that. Then it is given up.
	MaxLosses      int
	MaxExtraStarts int
}

// DefaultRules returns the rules that are used.
//
// A task may be given up once two endpoints have crashed under it, and must not be started
// a third time more once three have: hence Most and MoreStarts. Tasks that crash their
// endpoints have been seen to do so 10 ms after their start. Prompt is ten times that, and
// holds about a tenth of what runs on a busy endpoint (20 starts a second, 0.8 s each).
// Settled is eighty times that: what runs longer isn't told from what is sound, while a
// lasting task would be there for the end of many an endpoint.
//
// Where a seventh of the endpoints crash twice in 40 s, each does at a rate of 0.0075 a
// second. A task whose ages at two ends are 10 ms apart is met by that in a trial once in
// 3,000 times; Enough asks for once in 500. With two suspects for each end and two ends in
// a day, one sound task in 700 days is lost. Where endpoints end thirty times as often, each
// 4 s, a second trial must end badly, and one sound task in 3,000 suspects is lost.
func DefaultRules() Rules {
	return Rules{
		SuspectAge: 100 * time.Millisecond, MaxCrashAge: 800 * time.Millisecond, MinProbation: 60 * time.Millisecond, MaxProbation: time.Second,
		Jitter: 20 * time.Millisecond, DetectionLag: 150 * time.Millisecond, AgeTolerance: 0.25, MinLossRate: 0.0075, ProofWeight: Weight(1.0 / 500), MaxLosses: 3, MaxExtraStarts: 2,
	}
}

// weightPerTen is the weight of what has a chance of one in ten.
const weightPerTen = 1000

// Weight returns the weight of what has such a chance to happen by itself.
func Weight(chance float64) int {
	return int(math.Round(-weightPerTen * math.Log10(min(1, chance))))
}

// History is what is known of a task.
type History struct {
	// Losses is the number of endpoints that have ended under it.
	Losses int
	// CertainLosses is the number of those where it certainly ran: the order to start it may have been
	// lost, or the answer that it had ended.
	CertainLosses int
	// SimilarLosses is the number of the last ones in a row at which it may have been under way for
	// the same time, which is between Low and High then.
	SimilarLosses int
	MinAge        time.Duration
	MaxAge        time.Duration
	// Weight is that of the evidence of its trials.
	Weight int
	// ExtraStarts counts how often it was started since Most endpoints have ended under it.
	ExtraStarts int
}

// WithExtraStarts returns the record with so many starts more.
func (r History) WithExtraStarts(more int) History {
	r.ExtraStarts += more
	return r
}

// Loss is the end of an endpoint under a task.
type Loss struct {
	// MaxAge is how long the task had been under way there, at most, and Least at least: where no
	// connection broke, the endpoint has ended at some time since it was last heard of.
	MaxAge time.Duration
	MinAge time.Duration
	// Certain says that the task certainly ran.
	Certain bool
	// Explained says that something else has probably ended it: others ended with it, a rack
	// or a zone, say, or another task was on trial there.
	Explained bool
	// Probation says that the task was on trial there, and not seen to have outlived it.
	Probation bool
	// LossRate is how often an endpoint ends by itself, a second, as seen of late.
	LossRate float64
}

// Add returns a task's record with one more end.
func (r Rules) Add(known History, end Loss) History {
	if r.low(end.MinAge) >= r.MaxCrashAge {
		return History{}
	}
	known.Weight += r.weigh(known, end)
	known.Losses++
	if end.Certain {
		known.CertainLosses++
	}
	low, high := r.low(end.MinAge), r.high(end.MaxAge)
	switch {
	case known.SimilarLosses > 0 && high < known.MinAge:
		// It has ended before it could tell.
	case known.SimilarLosses > 0 && low <= known.MaxAge:
		known.SimilarLosses, known.MinAge, known.MaxAge = known.SimilarLosses+1, max(known.MinAge, low), min(known.MaxAge, high)
	case !end.Explained:
		// No task becomes a suspect for an end that is explained: when a rack goes dark,
		// hundreds would wait for their trials.
		known.SimilarLosses, known.MinAge, known.MaxAge = 1, low, high
	}
	return known
}

// low and high return between what the ages are that are like one as measured.
func (r Rules) low(age time.Duration) time.Duration {
	return max(0, age-time.Duration(r.AgeTolerance*float64(age))-r.DetectionLag)
}

func (r Rules) high(age time.Duration) time.Duration {
	return age + time.Duration(r.AgeTolerance*float64(age)) + r.Jitter
}

// weigh returns the weight of an end as evidence against a task: how unlikely it is that an
// endpoint ends by itself in the task's trial, and there at the same age as before.
func (r Rules) weigh(known History, end Loss) int {
	watch := r.ProbationTime(known)
	if !r.IsSuspect(known) || !end.Probation || !end.Certain || end.Explained || end.MaxAge > watch {
		return 0
	}
	like := min(watch, known.MaxAge) - known.MinAge
	if end.MaxAge < known.MinAge || end.MaxAge > known.MaxAge {
		like = watch
	}
	return Weight(max(end.LossRate, r.MinLossRate) * like.Seconds())
}

// Blames says whether the end of an endpoint is a task's doing, by what was known before.
func (r Rules) Blames(before History, end Loss) bool {
	return r.weigh(before, end) >= r.ProofWeight
}

// IsSuspect says whether a task must be started on trial.
func (r Rules) IsSuspect(known History) bool {
	return known.SimilarLosses > 1 || known.SimilarLosses == 1 && known.MaxAge <= r.MeasuredSuspectAge()
}

// MeasuredSuspectAge returns the age up to which a task may be a suspect the first time, as measured.
func (r Rules) MeasuredSuspectAge() time.Duration {
	return r.high(r.SuspectAge)
}

// ProbationTime returns how long a task on trial must be under way until it has outlived that.
func (r Rules) ProbationTime(known History) time.Duration {
	return min(max(known.MaxAge, r.MinProbation), r.MaxProbation)
}

// CountsStarts says whether the starts of a task are counted.
func (r Rules) CountsStarts(known History) bool {
	return known.Losses >= r.MaxLosses
}

// StartsExhausted says whether a task must not be started any more, whatever ended its endpoints.
func (r Rules) StartsExhausted(known History) bool {
	return r.CountsStarts(known) && known.ExtraStarts >= r.MaxExtraStarts
}

// IsCrasher says whether its trials are evidence enough against a task.
func (r Rules) IsCrasher(known History) bool {
	return known.CertainLosses > 1 && known.Weight >= r.ProofWeight
}
