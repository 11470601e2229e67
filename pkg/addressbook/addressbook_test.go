package addressbook_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"

	"damsonwinch/pkg/addressbook"
)

// TestBook plays the events of each block of the data file on a new book.
func TestBook(t *testing.T) {
	datadriven.RunTest(t, "testdata/book", func(t *testing.T, d *datadriven.TestData) string {
		book, now := addressbook.New(), time.Unix(1000, 0)
		var out strings.Builder
		for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
			fmt.Fprintf(&out, "%s: %s\n", line, play(t, book, &now, strings.Fields(line)))
		}
		return out.String()
	})
}

// play plays one event and returns its result and the entry of the address "a".
func play(t *testing.T, book *addressbook.Book, now *time.Time, words []string) string {
	version := 0
	if len(words) > 1 {
		_, err := fmt.Sscan(words[1], &version)
		assert.NilError(t, err)
	}
	result := ""
	switch words[0] {
	case "submit": // submit VERSION [all | POOL ...] [/ POOL ...]: the pools that were asked, and those that hold jobs
		asked, holding, _ := strings.Cut(strings.Join(words[2:], " "), "/")
		s := addressbook.Submission{Address: "a", Version: version, Asked: strings.Fields(asked), Holding: strings.Fields(holding)}
		s.AskedAll = len(s.Asked) > 0 && s.Asked[0] == "all"
		result = []string{"accept", "refuse", "ask all", "ask former"}[book.Submit(*now, s)]
	case "close": // close VERSION
		result = fmt.Sprintf("closed %t", book.Close(*now, "a", version))
	case "forget": // forget SECONDS: entries that were not used for so long
		*now = now.Add(time.Duration(version) * time.Second)
		book.Forget(*now, func(string) bool { return len(words) > 2 })
	}
	entry := book.Entry("a")
	return fmt.Sprintf("%s; opened by %d, closed below %d, former %v, settled %t, changed %v", result, entry.OpenedBy, entry.ClosedBelow, entry.Former, book.IsSettled("a"), book.TakeChanged())
}
