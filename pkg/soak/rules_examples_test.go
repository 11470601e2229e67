package soak

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch/platform/standin"
)

// at returns the time of a second of an example.
func at(seconds int) time.Time {
	return time.UnixMilli(1_700_000_000_000).Add(time.Duration(seconds) * time.Second)
}

func exampleCall(method string, second, status int) call {
	return call{method: method, sentAt: at(second), answeredAt: at(second), status: status}
}

// exampleRun returns a run of the example's task from one second to another, which was done and acknowledged.
func exampleRun(from, until int) standin.Start {
	return standin.Start{
		At: at(from), Task: "a.0.0.0", Spec: `{"ms":0,"fail":false}`, CheckpointListed: true,
		Began: true, EndedAt: at(until), Ending: "done", AckedAt: at(until),
	}
}

// TestChecksFindViolations guards against checks that never fail. The cases that break no rule are those
// that come nearest to the others.
func TestChecksFindViolations(t *testing.T) {
	post, cancel := exampleCall(http.MethodPost, 1, 200), exampleCall(http.MethodDelete, 2, 410)
	unanswered, refused := exampleCall(http.MethodPost, 1, 0), exampleCall(http.MethodPost, 1, 503)
	otherSpec, otherCheckpoint, unacked := exampleRun(1, 2), exampleRun(1, 2), exampleRun(2, 3)
	otherSpec.Spec, otherCheckpoint.CheckpointListed, unacked.AckedAt = "{}", false, time.Time{}
	frozen := fault{from: at(4), until: at(6)}
	for _, test := range []struct {
		name   string
		calls  []call
		starts []standin.Start
		faults []fault
		rule   string
	}{
		{name: "a job that runs", calls: []call{post}, starts: []standin.Start{exampleRun(2, 3)}},
		{name: "never submitted", starts: []standin.Start{exampleRun(2, 3)}, rule: "UNASKED"},
		{name: "submitted later", calls: []call{post}, starts: []standin.Start{exampleRun(0, 3)}, rule: "UNASKED"},
		{name: "another spec", calls: []call{unanswered}, starts: []standin.Start{otherSpec}, rule: "UNASKED"},
		{name: "another checkpoint", calls: []call{unanswered}, starts: []standin.Start{otherCheckpoint}, rule: "UNASKED"},
		{name: "started soon after the cancel", calls: []call{post, cancel}, starts: []standin.Start{exampleRun(5, 5)}},
		{name: "started late after the cancel", calls: []call{unanswered, cancel}, starts: []standin.Start{exampleRun(6, 7)}, rule: "UNASKED"},
		{name: "runs on after the cancel", calls: []call{post, cancel}, starts: []standin.Start{exampleRun(2, 6)}, rule: "UNASKED"},
		{name: "runs on beside a fault", calls: []call{post, cancel}, starts: []standin.Start{exampleRun(2, 12)}, faults: []fault{frozen}},
		{name: "runs on after a fault", calls: []call{post, cancel}, starts: []standin.Start{exampleRun(2, 13)}, faults: []fault{frozen}, rule: "UNASKED"},
		{name: "refused", calls: []call{refused}, starts: []standin.Start{exampleRun(2, 3)}, rule: "REFUSED"},
		{name: "refused and unanswered", calls: []call{refused, unanswered}, starts: []standin.Start{exampleRun(2, 3)}},
		{name: "two runs at once", calls: []call{post}, starts: []standin.Start{exampleRun(2, 5), exampleRun(4, 6)}, rule: "TWICE"},
		{name: "done twice", calls: []call{post}, starts: []standin.Start{exampleRun(2, 3), exampleRun(4, 6)}, rule: "TWICE"},
		{name: "done without an acknowledgement", calls: []call{post}, starts: []standin.Start{unacked, exampleRun(4, 6)}},
		{name: "unknown", calls: []call{post, exampleCall(http.MethodGet, 5, 410)}, rule: "LOST"},
		{name: "not yet known", calls: []call{post, exampleCall(http.MethodGet, 4, 410)}},
		{name: "unknown after its cancel", calls: []call{post, cancel, exampleCall(http.MethodGet, 9, 410)}},
	} {
		e := &evidence{jobs: map[string]*job{"a": {id: "a", calls: test.calls}}, starts: test.starts, faults: test.faults, endedAt: at(20)}
		broken := ""
		for _, v := range e.violations() {
			broken = v.rule
		}
		assert.Equal(t, broken, test.rule, test.name)
	}
}
