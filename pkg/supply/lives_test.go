package supply_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/supply"
	"damsonwinch/pkg/wire"
)

// livesFleet is one box, whose endpoints start again under the ID that they had.
type livesFleet struct {
	lendFleet
	box damsonwinch.Box
}

func newLivesFleet() *livesFleet {
	f := &livesFleet{lendFleet: *newLendFleet()}
	f.add("held", 1, 0)
	f.box = f.boxes[0]
	f.planner.SetBoxes(f.now.Add(-time.Minute), f.boxes)
	return f
}

// list shows the box in a state.
func (f *livesFleet) list(state damsonwinch.BoxState) {
	f.box.State = state
	f.box.EndpointID = ""
	if state == damsonwinch.BoxUp {
		f.box.EndpointID = "at-" + f.box.Name
	}
	f.planner.SetBoxes(f.now, []damsonwinch.Box{f.box})
}

// report has the owner of the box's cell tell of the life there.
func (f *livesFleet) report(born int, withdrawn bool) {
	life := damsonwinch.Life{ID: "at-" + f.box.Name, StartedUnixMs: born}
	f.planner.SetReport(f.now, "held", wire.SyncReply{Known: true, TaskMs: 1000, Endpoints: []wire.EndpointReport{{
		Endpoint: life.String(), Box: f.box.Name, Usable: !withdrawn, Withdrawn: withdrawn,
	}}})
}

func (f *livesFleet) plan(after time.Duration) []supply.Order {
	f.now = f.now.Add(after)
	return f.planner.Plan(f.now)
}

// maintain has the box maintained for a wave, and returns the order.
func (f *livesFleet) maintain(t *testing.T, wave, born int) supply.Order {
	f.planner.SetWave(f.now, damsonwinch.Wave{Number: wave, MaxDown: 1, Duration: 10 * time.Second, Boxes: []string{f.box.Name}})
	f.list(damsonwinch.BoxUp)
	f.report(born, false)
	var orders []supply.Order
	for range 30 {
		f.list(damsonwinch.BoxUp)
		f.report(born, len(f.planner.Wishes("held").Withdraw) > 0)
		if orders = f.plan(300 * time.Millisecond); len(orders) > 0 {
			break
		}
	}
	assert.Equal(t, len(orders), 1, "wave %d", wave)
	f.planner.Ordered(f.now, orders[0], nil)
	return orders[0]
}

// TestABoxIsBackUnderTheSameID after its maintenance: it is taken for done once the list of boxes
// has shown it away, or the owner of its cell tells that another life is there.
func TestABoxIsBackUnderTheSameID(t *testing.T) {
	for name, back := range map[string]func(f *livesFleet){
		"seen away": func(f *livesFleet) {
			f.list(damsonwinch.BoxMaintenance)
			f.plan(time.Second)
		},
		"not seen away": func(f *livesFleet) {
			f.list(damsonwinch.BoxUp)
			f.report(2, false)
			f.plan(100 * time.Millisecond)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newLivesFleet()
			order := f.maintain(t, 1, 1)
			assert.Equal(t, order.Endpoint, damsonwinch.Life{ID: "at-" + f.box.Name, StartedUnixMs: 1})
			f.now = f.now.Add(3 * time.Second)
			back(f)
			f.list(damsonwinch.BoxUp)
			f.plan(100 * time.Millisecond)
			assert.Equal(t, f.maintain(t, 2, 2).Wave, 2, "it can be ordered away again")
		})
	}
}

// TestAWithdrawalIsOfOneLife: a life that was withdrawn says nothing of the one that came after it.
func TestAWithdrawalIsOfOneLife(t *testing.T) {
	f := newLivesFleet()
	f.planner.SetWave(f.now, damsonwinch.Wave{Number: 1, MaxDown: 1, Duration: 10 * time.Second, Boxes: []string{f.box.Name}})
	f.report(1, false)
	f.plan(0)
	f.list(damsonwinch.BoxUp)
	f.report(1, false)
	f.plan(300 * time.Millisecond)
	f.report(2, false)
	orders := f.plan(300 * time.Millisecond)
	assert.Equal(t, len(orders), 0, "%v", orders)
	assert.DeepEqual(t, f.planner.Wishes("held").Withdraw, []string{damsonwinch.Life{ID: "at-" + f.box.Name, StartedUnixMs: 2}.String()})
}
