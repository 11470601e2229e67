package eject

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

func TestBoxIsEjectedWhenItsFailuresSucceedElsewhere(t *testing.T) {
	tracker := New()
	for number := range failedRequestsToEject {
		request := fmt.Sprint(number)
		assert.Assert(t, !tracker.ShouldEject("bad"))
		tracker.AddFailure(request, "bad", start)
		tracker.AddSuccess(request, "good")
	}
	assert.Assert(t, tracker.ShouldEject("bad"))
	assert.Assert(t, !tracker.ShouldEject("good"))
}

func TestNoBoxIsEjectedForRequestThatFailsEverywhere(t *testing.T) {
	tracker := New()
	for number := range 20 {
		request := fmt.Sprint(number)
		for _, box := range []string{"a", "b", "c"} {
			tracker.AddFailure(request, box, start)
		}
		assert.Assert(t, tracker.FailsEverywhere(request))
		tracker.ForgetRequest(request)
	}
	for _, box := range []string{"a", "b", "c"} {
		assert.Assert(t, !tracker.ShouldEject(box), box)
	}
}

func TestConsecutiveFailuresEjectWithoutRetries(t *testing.T) {
	tracker := New()
	for number := range consecutiveFailuresToEject {
		tracker.AddFailure(fmt.Sprint(number), "bad", start)
		tracker.AddSuccess(fmt.Sprint("other", number), "good")
	}
	assert.Assert(t, tracker.ShouldEject("bad"))
}

func TestEjectionTimeDoublesUntilBoxSucceeds(t *testing.T) {
	tracker := New()
	tracker.Eject("bad", start)
	assert.Assert(t, !tracker.MayProbe("bad", start.Add(firstEjection-1)))
	assert.Assert(t, tracker.MayProbe("bad", start.Add(firstEjection)))
	tracker.Eject("bad", start)
	assert.Assert(t, !tracker.MayProbe("bad", start.Add(firstEjection)))
	tracker.Reinstate("bad")
	assert.Assert(t, !tracker.IsEjected("bad"))
	for number := range failedRequestsToEject {
		tracker.AddSuccess(fmt.Sprint(number), "bad")
	}
	tracker.Eject("bad", start)
	assert.Assert(t, tracker.MayProbe("bad", start.Add(firstEjection)))
}

func TestOldFailuresAreForgotten(t *testing.T) {
	tracker := New()
	tracker.AddFailure("r", "bad", start)
	tracker.ForgetOldFailures(start.Add(failureRetention + 1))
	tracker.AddSuccess("r", "good")
	assert.Equal(t, len(tracker.box("bad").failedRequests), 0)
}
