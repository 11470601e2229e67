// Package crash tells tasks that crash the endpoints they start on from those that only
// lose their places there. It is pure; who asks keeps the records.
//
// The pattern: an endpoint runs some twenty tasks, and ends. One of them may have ended it,
// mostly some milliseconds after its start, and will end the next one that starts it; the
// others did nothing and must be done elsewhere. Counting ends under a task doesn't tell
// them apart: beside two tasks that crash their endpoints, a sound one loses its place seven
// times. What does tell is a trial: a suspect is started where nothing else has begun just
// now and nothing else may begin until it is seen to have outlived the age at which it was
// under way when an endpoint ended. If that endpoint ends as well, the suspect is to blame.
package crash

import "time"

// Rules are the figures by which blame is laid.
type Rules struct {
	// Prompt is the age up to which a task is a suspect the first time that an endpoint ends
	// under it. Older ones become suspects the second time.
	Prompt time.Duration
	// LeastWatch and MostWatch bound how long a trial lasts.
	LeastWatch time.Duration
	MostWatch  time.Duration
	// Most is the number of endpoints that may end under a task, after which it may be started
	// MoreStarts times more, whatever comes of that. Then it is given up.
	Most       int
	MoreStarts int
}

// Usual returns the rules that are used.
//
// A task may be given up once two endpoints have crashed under it, and must not be started
// a third time more once three have: hence Most and MoreStarts. Tasks that crash their
// endpoints have been seen to do so 10 ms after their start. Prompt is twenty times that, and
// holds about a fifth of what runs on a busy endpoint (20 starts a second, 0.8 s each).
//
// A sound task is given up if it is a suspect and its trial meets an ordinary crash. Where
// a seventh of the endpoints crash twice in 40 s, one ends in a trial of 0.4 s (a suspect of
// 200 ms) with a chance of 0.3%; with four suspects for each endpoint that ends, and two
// that do so in a day, one sound task in 40 days is lost.
func Usual() Rules {
	return Rules{
		Prompt: 200 * time.Millisecond, LeastWatch: 150 * time.Millisecond, MostWatch: time.Second, Most: 3, MoreStarts: 2,
	}
}

// Record is what is known of a task.
type Record struct {
	// Count is the number of endpoints that have ended under it.
	Count int
	// Sure is the number of those where it certainly ran: the order to start it may have been
	// lost, or the answer that it had ended.
	Sure int
	// Age is how long at most it had been under way then.
	Age time.Duration
	// Starts counts how often it was started since Most endpoints have ended under it.
	Starts int
}

// WithStarts returns the record with so many starts more.
func (r Record) WithStarts(more int) Record {
	r.Starts += more
	return r
}

// End is the end of an endpoint under a task.
type End struct {
	// Age is how long the task had been under way there, at most.
	Age time.Duration
	// Exact says that the age is known: the connection broke. Otherwise the endpoint was
	// silent, and has ended at some time since it was last heard of.
	Exact bool
	// Sure says that the task certainly ran.
	Sure bool
	// Explained says that something else has probably ended it: others ended with it, a rack
	// or a zone, say, or another task was on trial there.
	Explained bool
	// Trial says that the task was on trial there, and not seen to have outlived it.
	Trial bool
}

// Add returns a task's record with one more end.
func (r Rules) Add(known Record, end End) Record {
	age := end.Age
	if !end.Exact || end.Explained {
		// No task is a suspect for a single end that is explained, or that may have come long
		// after its start: when a rack goes dark, hundreds would wait for their trials. It
		// counts all the same, since the explanation may be wrong.
		age = max(age, r.Prompt+time.Millisecond)
	}
	known.Count++
	if end.Sure {
		known.Sure++
	}
	known.Age = max(known.Age, age)
	return known
}

// Suspects says whether a task must be started on trial.
func (r Rules) Suspects(known Record) bool {
	return known.Count > 1 || known.Count == 1 && known.Age <= r.Prompt
}

// Watch returns how long a task on trial must be under way until it has outlived that.
func (r Rules) Watch(known Record) time.Duration {
	return min(max(2*known.Age, r.LeastWatch), r.MostWatch)
}

// Blames says whether the end of an endpoint is a task's doing, by what was known before.
func (r Rules) Blames(before Record, end End) bool {
	return end.Trial && end.Sure && before.Sure > 0 && !end.Explained && r.Suspects(before) && (!end.Exact || end.Age <= r.Watch(before))
}

// Counts says whether the starts of a task are counted.
func (r Rules) Counts(known Record) bool {
	return known.Count >= r.Most
}

// Spent says whether a task must not be started any more.
func (r Rules) Spent(known Record) bool {
	return r.Counts(known) && known.Starts >= r.MoreStarts
}
