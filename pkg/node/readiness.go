package node

import (
	"fmt"

	"damsonwinch/pkg/ownership"
	"damsonwinch/pkg/readiness"
)

// updateReadiness determines what this node waits for before it serves clients, sets the gauges and logs what is due.
func (n *Node) updateReadiness() {
	view, now := n.View(), n.deps.Clock.Now()
	tracker := &n.state.readiness
	due := tracker.Update(n.missing(view), now)
	reason := tracker.Reason()
	n.waitReason.Store(&reason)
	for _, condition := range readiness.Conditions() {
		waits := 0
		if tracker.WaitsFor(condition) {
			waits = 1
		}
		n.deps.Metrics.SetGauge("waits_for_"+string(condition), waits)
	}
	n.deps.Metrics.SetGauge("members_listed", len(view.Members))
	n.deps.Metrics.SetGauge("members_announced", len(view.Announced))
	if !due {
		return
	}
	logger := n.deps.Logger.WithField("waited_ms", now.Sub(tracker.Since()).Milliseconds())
	if !tracker.Waiting() {
		logger.Info("node can serve clients")
		return
	}
	logger.WithField("why", reason).Warn("node waits before it can serve clients")
}

// missing returns what this node waits for, as of a view.
func (n *Node) missing(view ownership.View) []readiness.Missing {
	var missing []readiness.Missing
	add := func(condition readiness.Condition, format string, args ...any) {
		missing = append(missing, readiness.Missing{Condition: condition, Reason: fmt.Sprintf(format, args...)})
	}
	if n.accessRules.Load() == nil {
		add(readiness.Configuration, "none has been read from the operator's stream")
	}
	if view.ConfirmedAt.IsZero() {
		add(readiness.Claims, "the stream of claims has not been read")
	}
	if !view.Layout.Decided() {
		n.addUndecided(view, add)
		return missing
	}
	cells := requiredCells(n.state.configuration, view.Layout)
	unowned, first := 0, ""
	for _, cell := range cells {
		if _, owned := view.Owner(cell); !owned {
			if unowned == 0 {
				first = cell
			}
			unowned++
		}
	}
	if unowned > 0 {
		add(readiness.Claims, "%d of %d cells have no owner, the first is %s", unowned, len(cells), first)
	}
	return missing
}

// addUndecided adds what this node waits for while no layout is in force. The node that runs the planner knows what the
// decision needs; the others only know which node decides.
func (n *Node) addUndecided(view ownership.View, add func(condition readiness.Condition, format string, args ...any)) {
	if view.MembersReadAt.IsZero() {
		add(readiness.Members, "the group's members have not been read")
	}
	claim, owned := view.Owner(fleetCell)
	switch {
	case !owned:
		add(readiness.Layout, "not decided, no node plans for the fleet")
		return
	case !claim.HeldBy(n.options.Self):
		add(readiness.Layout, "not decided by %s, which plans for the fleet", claim.Node)
		return
	}
	if !view.MembersReadAt.IsZero() && !view.MembersComplete {
		add(readiness.Members, "%d are listed by the group, %d have announced themselves, up to %d may be missing", len(view.Members), len(view.Announced), view.MaxMissing)
	}
	if n.state.boxCount == 0 {
		add(readiness.BoxCount, "the list of boxes has not been read to its end")
	}
	if decision := n.decideLayout(view); decision.Layout.Decided() {
		add(readiness.Layout, "decided, its record has not been appended to the stream of claims")
	} else {
		add(readiness.Layout, "not decided: %s", decision.WaitsFor)
	}
}

// WaitReason implements intake.Cells.
func (n *Node) WaitReason() string {
	return *n.waitReason.Load()
}
