package boxplan_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/boxplan"
	"damsonwinch/pkg/wire"
)

// TestPlannerNamesExitedEndpoints checks which endpoints of a report the planner says have exited: those on no
// box that is up in a list that was requested after the report. The box may be gone from the list, and the cell
// may not know on which box the endpoint ran.
func TestPlannerNamesExitedEndpoints(t *testing.T) {
	f := newOneBoxFleet()
	const elsewhere = "at-removed-box"
	report := wire.SyncReply{Known: true, Endpoints: []wire.EndpointReport{
		{Endpoint: "at-" + f.box.Name, Box: f.box.Name}, {Endpoint: elsewhere, Box: "removed"}, {Endpoint: "at-unknown-box"},
	}}
	f.planner.SetReport(f.now, "held", report)
	f.planner.SetBoxes(f.now.Add(-time.Millisecond), []damsonwinch.Box{f.box})
	f.planner.Plan(f.now)
	assert.Equal(t, len(f.planner.Directives("held").Exited), 0, "the list may be older than the endpoints")

	// The next report comes before the answer to the request for the list.
	f.planner.SetReport(f.now.Add(2*time.Millisecond), "held", report)
	f.planner.SetBoxes(f.now.Add(time.Millisecond), []damsonwinch.Box{f.box})
	f.planner.Plan(f.now.Add(2 * time.Millisecond))
	assert.DeepEqual(t, f.planner.Directives("held").Exited, []string{elsewhere, "at-unknown-box"})

	f.box.State = damsonwinch.BoxDown
	f.planner.SetBoxes(f.now.Add(3*time.Millisecond), []damsonwinch.Box{f.box})
	f.planner.Plan(f.now.Add(4 * time.Millisecond))
	assert.Equal(t, len(f.planner.Directives("held").Exited), 3)
}

// TestExitsComeWithTheReportBeforeTheirList guards against a task that runs twice: the owner would take an endpoint for
// exited that has answered since the list of boxes was requested.
func TestExitsComeWithTheReportBeforeTheirList(t *testing.T) {
	f := newOneBoxFleet()
	report := func(number int) {
		f.now = f.now.Add(100 * time.Millisecond)
		f.planner.SetReport(f.now, "held", wire.SyncReply{Known: true, Token: 7, ReportNumber: number, Endpoints: []wire.EndpointReport{{Endpoint: "removed", Box: "removed"}}})
		f.planner.Plan(f.now)
	}
	report(1)
	f.planner.NoteBoxListRequest()
	requestedAt := f.now.Add(time.Millisecond)
	report(2)
	f.planner.SetBoxes(requestedAt, []damsonwinch.Box{f.box})
	report(3)
	f.planner.NoteBoxListRequest()
	directives := f.planner.Directives("held")
	assert.DeepEqual(t, directives.Exited, []string{"removed"})
	assert.Equal(t, directives.BoxesAfter, boxplan.ReportID{Token: 7, Number: 1}, "the list of a later request hasn't arrived")
	f.planner.SetBoxes(f.now.Add(time.Millisecond), []damsonwinch.Box{f.box})
	assert.Equal(t, f.planner.Directives("held").BoxesAfter, boxplan.ReportID{Token: 7, Number: 3})
}

// An endpoint whose row in the list doesn't say on which box it runs is alive, and its row is no box to plan with.
func TestEndpointOnBoxWithoutNameHasNotExited(t *testing.T) {
	f := newOneBoxFleet()
	f.planner.SetReport(f.now, "held", wire.SyncReply{Known: true, Endpoints: []wire.EndpointReport{{Endpoint: "at-" + f.box.Name, Box: f.box.Name}}})
	nameless := f.box
	nameless.Name, nameless.EndpointID = "", "at-"+f.box.Name
	f.planner.SetBoxes(f.now.Add(time.Millisecond), []damsonwinch.Box{nameless})
	f.planner.Plan(f.now.Add(2 * time.Millisecond))
	assert.Equal(t, len(f.planner.Directives("held").Exited), 0)
	assert.Assert(t, !strings.Contains(strings.Join(f.planner.Summary(), ";"), "1 boxes"), "%q", f.planner.Summary())
}

// A row of the list of boxes whose state can't be read doesn't show that its endpoint has exited. The owner would give up
// its runs and start them elsewhere, and one whose endpoint is only out of reach would run twice.
func TestEndpointOnBoxOfUnknownStateHasNotExited(t *testing.T) {
	f := newOneBoxFleet()
	f.planner.SetReport(f.now, "held", wire.SyncReply{Known: true, Endpoints: []wire.EndpointReport{{Endpoint: "at-" + f.box.Name, Box: f.box.Name}}})
	f.box.State, f.box.EndpointID = "", "at-"+f.box.Name
	f.planner.SetBoxes(f.now.Add(time.Millisecond), []damsonwinch.Box{f.box})
	f.planner.Plan(f.now.Add(2 * time.Millisecond))
	assert.Equal(t, len(f.planner.Directives("held").Exited), 0)
}

// A row whose endpoint can't be read doesn't show that the box's endpoint has exited.
func TestEndpointOnBoxWithUnreadableEndpointHasNotExited(t *testing.T) {
	f := newOneBoxFleet()
	f.planner.SetReport(f.now, "held", wire.SyncReply{Known: true, Endpoints: []wire.EndpointReport{{Endpoint: "at-" + f.box.Name, Box: f.box.Name}}})
	f.box.EndpointID, f.box.Problem = "", "the id isn't a text"
	f.planner.SetBoxes(f.now.Add(time.Millisecond), []damsonwinch.Box{f.box})
	f.planner.Plan(f.now.Add(2 * time.Millisecond))
	assert.Equal(t, len(f.planner.Directives("held").Exited), 0)
}
