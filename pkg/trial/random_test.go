package trial

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch/pkg/fakes"
	"damsonwinch/pkg/settings"
)

const (
	eventsPerRun            = 25
	maxPauseBetweenEventsMs = 700
	// seedVariable is the environment variable with a seed that replaces those of the
	// test.
	seedVariable = "DAMSONWINCH_SEED"
)

// TestRandomFaultsCauseNoViolation applies random faults and edits under load, and
// compares the observations of the endpoints with the results of the clients. The seed
// determines the faults and their order.
func TestRandomFaultsCauseNoViolation(t *testing.T) {
	seeds := []uint64{1, 2, 3}
	if named := os.Getenv(seedVariable); named != "" {
		seed, err := strconv.ParseUint(named, 10, 64)
		assert.NilError(t, err)
		seeds = []uint64{seed}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { testRandomFaults(t, seed) })
	}
}

// testRandomFaults applies the random events of one seed.
func testRandomFaults(t *testing.T, seed uint64) {
	user := smallUser()
	user.Fleet.Halls = []settings.Hall{newZone("north", 7, 2), newZone("south", 7, 2), newZone("west", 4, 1)}
	f := newFixture(t, user)
	f.run.observer.checkingFloors = false // Boxes with a fault don't count for the floors.
	f.cluster.Seed = seed
	random := rand.New(rand.NewPCG(seed, seed))
	load := startLoadGenerator(f.cluster, testClients)
	f.run.generator = load
	stopped := map[int]bool{}
	for range eventsPerRun {
		t.Log(f.randomEvent(random, stopped))
		f.run.wait(context.Background(), time.Duration(random.IntN(maxPauseBetweenEventsMs))*time.Millisecond)
	}
	f.cluster.Network.Heal()
	f.cluster.Platform.Log.SetFaults(fakes.LogFaults{})
	f.endFaults()
	for number := range stopped {
		assert.NilError(t, f.cluster.StartNode(f.cluster.Nodes[number]))
	}
	f.waitFor("the pools have the slots that they need again", f.run.observer.poolsFilled)
	f.waitFor("every entry has the newest table", f.run.newestTableInForce)
	load.stop()
	report := f.run.report()
	report.BelowFloor = 0
	assert.Equal(t, report.TotalViolations(), 0, "seed %d: %+v", seed, report)
	assert.Assert(t, report.Answered > report.Requests/2, "seed %d: %+v", seed, report)
}

// randomEvent causes a random fault, ends faults or edits the table, and returns a
// description of what it did. stopped holds the indexes of the nodes that are stopped.
func (f *fixture) randomEvent(random *rand.Rand, stopped map[int]bool) string {
	zones := []string{"north", "south", "west", platformZone}
	node := random.IntN(len(f.cluster.Nodes))
	switch random.IntN(9) {
	case 0, 1:
		from, to := zones[random.IntN(len(zones)-1)], zones[random.IntN(len(zones))]
		if from == to {
			to = platformZone
		}
		f.cluster.Network.Cut(from, to)
		return "cut connections from " + from + " to " + to
	case 2, 3:
		f.cluster.Network.Heal()
		f.cluster.Platform.Log.SetFaults(fakes.LogFaults{})
		return "healed"
	case 4:
		faults := fakes.LogFaults{
			Down: random.IntN(3) == 0, LostAnswerRate: random.Float64() / 3, DropRate: random.Float64() / 5, LateRate: random.Float64() / 5,
			LateDelay: time.Duration(random.IntN(4000)) * time.Millisecond, AppendDelay: time.Duration(random.IntN(200)) * time.Millisecond,
		}
		f.cluster.Platform.Log.SetFaults(faults)
		return fmt.Sprintf("faults of the log: %+v", faults)
	case 5:
		return f.killOrStart(node, stopped)
	case 6:
		faults := []fakes.EndpointFault{fakes.FaultFailAll, fakes.FaultResetAfter, fakes.FaultPartialBody, fakes.FaultWrongRequestID, fakes.FaultNone, fakes.FaultNone}
		fault := faults[random.IntN(len(faults))]
		f.setFault(fault, 1+random.IntN(2))
		return "fault of boxes: " + string(fault)
	case 7:
		err := f.run.editTable(context.Background(), "ana", node, func(wanted *settings.Table) {
			wanted.Services[0].Row.Floor = 8 + random.IntN(3)*8
		})
		return fmt.Sprint("edit: ", err)
	default:
		now := f.cluster.clock.Now().UnixMilli()
		err := f.run.editTable(context.Background(), "rui", node, func(wanted *settings.Table) { wanted.Deployment.MaintainBefore = int(now) })
		return fmt.Sprint("wave: ", err)
	}
}

// killOrStart starts the node with the given index if it is stopped. Otherwise it kills
// the node, unless half of the nodes are stopped already. It returns a description of
// what it did.
func (f *fixture) killOrStart(node int, stopped map[int]bool) string {
	if stopped[node] {
		delete(stopped, node)
		assert.NilError(f.t, f.cluster.StartNode(f.cluster.Nodes[node]))
		return fmt.Sprint("start node ", node)
	}
	if len(stopped) >= len(f.cluster.Nodes)/2 {
		return "nothing"
	}
	stopped[node] = true
	assert.NilError(f.t, f.cluster.KillEntry(f.cluster.Nodes[node]))
	assert.NilError(f.t, f.cluster.StopKeeper(f.cluster.Nodes[node]))
	return fmt.Sprint("kill node ", node)
}
