package damsonwinch

import (
	"cmp"
	"strconv"
	"strings"
)

// Life identifies one life of the program that runs tasks on a box: one run from its start to its
// exit. The program may restart under the same ID. It then has lost all runs and all state.
type Life struct {
	ID string
	// StartedUnixMs is when the program started, in Unix milliseconds as the program reports
	// it. It is 0 if the program doesn't report it; the ID alone identifies the life then.
	StartedUnixMs int
}

// startSeparator separates the ID from the start time in the text form of a Life.
const startSeparator = "@"

// String returns the text form of the life for records and logs, which ParseLife parses.
func (l Life) String() string {
	if l.StartedUnixMs == 0 && !strings.Contains(l.ID, startSeparator) {
		return l.ID
	}
	return l.ID + startSeparator + strconv.Itoa(l.StartedUnixMs)
}

// ParseLife parses the result of String. It takes a text of any other form for an ID.
func ParseLife(text string) Life {
	separator := strings.LastIndex(text, startSeparator)
	if separator < 0 {
		return Life{ID: text}
	}
	startedUnixMs, err := strconv.Atoi(text[separator+len(startSeparator):])
	if err != nil {
		return Life{ID: text}
	}
	return Life{ID: text[:separator], StartedUnixMs: startedUnixMs}
}

// WithStarted returns the life of the same ID that started at the given time.
func (l Life) WithStarted(startedUnixMs int) Life {
	l.StartedUnixMs = startedUnixMs
	return l
}

// MayBeSame reports whether l and other may identify the same life. They do not if their IDs
// differ, or if both have a start time and the times differ.
func (l Life) MayBeSame(other Life) bool {
	return l.ID == other.ID && (l.StartedUnixMs == other.StartedUnixMs || l.StartedUnixMs == 0 || other.StartedUnixMs == 0)
}

// Compare orders lives by ID and then by start time. It returns a negative number, 0 or a positive
// number if l sorts before, equals or sorts after other.
func (l Life) Compare(other Life) int {
	return cmp.Or(cmp.Compare(l.ID, other.ID), cmp.Compare(l.StartedUnixMs, other.StartedUnixMs))
}
