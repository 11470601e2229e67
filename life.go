package damsonwinch

import (
	"cmp"
	"strconv"
	"strings"
)

// Life names one life of the program that runs tasks on a box. The program may start again
// under the ID that it had: it then holds and knows nothing of what it did before.
type Life struct {
	ID string
	// StartedUnixMs is the Unix millisecond of its start, by its own word; 0 where it doesn't tell: its
	// ID alone names the life then.
	StartedUnixMs int
}

// bornMark stands between an ID and the moment of the start in the text of a life.
const bornMark = "@"

// String returns the life as records and logs hold it, which ParseLife reads.
func (l Life) String() string {
	if l.StartedUnixMs == 0 && !strings.Contains(l.ID, bornMark) {
		return l.ID
	}
	return l.ID + bornMark + strconv.Itoa(l.StartedUnixMs)
}

// ParseLife reads what String has written. A text of another form is an ID.
func ParseLife(text string) Life {
	at := strings.LastIndex(text, bornMark)
	if at < 0 {
		return Life{ID: text}
	}
	born, err := strconv.Atoi(text[at+len(bornMark):])
	if err != nil {
		return Life{ID: text}
	}
	return Life{ID: text[:at], StartedUnixMs: born}
}

// WithStarted returns the life under the same ID that was born at another moment.
func (l Life) WithStarted(born int) Life {
	l.StartedUnixMs = born
	return l
}

// MayBeSame says whether two names may be one life's: so they are unless their IDs differ, or both
// tell when they were born and differ in it.
func (l Life) MayBeSame(other Life) bool {
	return l.ID == other.ID && (l.StartedUnixMs == other.StartedUnixMs || l.StartedUnixMs == 0 || other.StartedUnixMs == 0)
}

// Compare orders lives by their IDs, those under one ID next to each other.
func (l Life) Compare(other Life) int {
	return cmp.Or(cmp.Compare(l.ID, other.ID), cmp.Compare(l.StartedUnixMs, other.StartedUnixMs))
}
