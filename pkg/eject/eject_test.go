package eject

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

func TestABoxIsSuspectWhenItsFailuresPassElsewhere(t *testing.T) {
	book := New()
	for number := range strikesToEject {
		request := fmt.Sprint(number)
		assert.Assert(t, !book.Suspect("bad"))
		book.Failed(request, "bad", start)
		book.Answered(request, "good")
	}
	assert.Assert(t, book.Suspect("bad"))
	assert.Assert(t, !book.Suspect("good"))
}

func TestARequestThatFailsEverywhereBlamesNoBox(t *testing.T) {
	book := New()
	for number := range 20 {
		request := fmt.Sprint(number)
		for _, box := range []string{"a", "b", "c"} {
			book.Failed(request, box, start)
		}
		assert.Assert(t, book.BadRequest(request))
		book.Done(request)
	}
	for _, box := range []string{"a", "b", "c"} {
		assert.Assert(t, !book.Suspect(box), box)
	}
}

func TestFailuresInARowEjectWithoutRetries(t *testing.T) {
	book := New()
	for number := range runToEject {
		book.Failed(fmt.Sprint(number), "bad", start)
		book.Answered(fmt.Sprint("other", number), "good")
	}
	assert.Assert(t, book.Suspect("bad"))
}

func TestEjectionsGrowLongerAndEnd(t *testing.T) {
	book := New()
	book.Eject("bad", start)
	assert.Assert(t, !book.OnTrial("bad", start.Add(firstEjection-1)))
	assert.Assert(t, book.OnTrial("bad", start.Add(firstEjection)))
	book.Eject("bad", start)
	assert.Assert(t, !book.OnTrial("bad", start.Add(firstEjection)))
	book.Return("bad")
	assert.Assert(t, !book.Ejected("bad"))
	for number := range strikesToEject {
		book.Answered(fmt.Sprint(number), "bad")
	}
	book.Eject("bad", start)
	assert.Assert(t, book.OnTrial("bad", start.Add(firstEjection)))
}

func TestOldFailuresAreForgotten(t *testing.T) {
	book := New()
	book.Failed("r", "bad", start)
	book.Forget(start.Add(forgetAfter + 1))
	book.Answered("r", "good")
	assert.Equal(t, len(book.box("bad").strikes), 0)
}
