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
		assert.Assert(t, !book.ShouldEject("bad"))
		book.AddFailure(request, "bad", start)
		book.AddSuccess(request, "good")
	}
	assert.Assert(t, book.ShouldEject("bad"))
	assert.Assert(t, !book.ShouldEject("good"))
}

func TestARequestThatFailsEverywhereBlamesNoBox(t *testing.T) {
	book := New()
	for number := range 20 {
		request := fmt.Sprint(number)
		for _, box := range []string{"a", "b", "c"} {
			book.AddFailure(request, box, start)
		}
		assert.Assert(t, book.FailsEverywhere(request))
		book.ForgetRequest(request)
	}
	for _, box := range []string{"a", "b", "c"} {
		assert.Assert(t, !book.ShouldEject(box), box)
	}
}

func TestFailuresInARowEjectWithoutRetries(t *testing.T) {
	book := New()
	for number := range runToEject {
		book.AddFailure(fmt.Sprint(number), "bad", start)
		book.AddSuccess(fmt.Sprint("other", number), "good")
	}
	assert.Assert(t, book.ShouldEject("bad"))
}

func TestEjectionsGrowLongerAndEnd(t *testing.T) {
	book := New()
	book.Eject("bad", start)
	assert.Assert(t, !book.MayProbe("bad", start.Add(firstEjection-1)))
	assert.Assert(t, book.MayProbe("bad", start.Add(firstEjection)))
	book.Eject("bad", start)
	assert.Assert(t, !book.MayProbe("bad", start.Add(firstEjection)))
	book.Reinstate("bad")
	assert.Assert(t, !book.IsEjected("bad"))
	for number := range strikesToEject {
		book.AddSuccess(fmt.Sprint(number), "bad")
	}
	book.Eject("bad", start)
	assert.Assert(t, book.MayProbe("bad", start.Add(firstEjection)))
}

func TestOldFailuresAreForgotten(t *testing.T) {
	book := New()
	book.AddFailure("r", "bad", start)
	book.ForgetOldFailures(start.Add(forgetAfter + 1))
	book.AddSuccess("r", "good")
	assert.Equal(t, len(book.box("bad").strikes), 0)
}
