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

	"damsonwinch/pkg/settings"
	"damsonwinch/pkg/standin"
)

const (
	eventsPerRun            = 25
	maxPauseBetweenEventsMs = 700
	// seedVariable names another seed for a run by hand.
	seedVariable = "DAMSONWINCH_SEED"
)

// TestRandomFaults plays schedules of faults under load and compares the
// endpoints' book with the callers'. The seed names the schedule.
func TestRandomFaults(t *testing.T) {
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

func testRandomFaults(t *testing.T, seed uint64) {
	user := smallUser()
	user.Fleet.Halls = []settings.Hall{newZone("north", 7, 2), newZone("south", 7, 2), newZone("west", 4, 1)}
	s := newFixture(t, user)
	s.run.observer.checkingFloors = false // Boxes that are made to fail are below every floor.
	s.cluster.Seed = seed
	random := rand.New(rand.NewPCG(seed, seed))
	load := startLoadGenerator(s.cluster, testClients)
	s.run.generator = load
	stopped := map[int]bool{}
	for range eventsPerRun {
		t.Log(s.randomEvent(random, stopped))
		s.run.wait(context.Background(), time.Duration(random.IntN(maxPauseBetweenEventsMs))*time.Millisecond)
	}
	s.cluster.Network.Heal()
	s.cluster.Platform.Log.SetFaults(standin.LogFaults{})
	s.endFaults()
	for number := range stopped {
		assert.NilError(t, s.cluster.StartNode(s.cluster.Nodes[number]))
	}
	s.waitFor("the pools are formed again", s.run.observer.poolsFilled)
	s.waitFor("every process has the newest table", s.run.newestTableInForce)
	load.stop()
	report := s.run.report()
	report.BelowFloor = 0
	assert.Equal(t, report.TotalViolations(), 0, "seed %d: %+v", seed, report)
	assert.Assert(t, report.Answered > report.Requests/2, "seed %d: %+v", seed, report)
}

// randomEvent does one thing to the fleet and says what.
func (s *fixture) randomEvent(random *rand.Rand, stopped map[int]bool) string {
	zones := []string{"north", "south", "west", platformZone}
	node := random.IntN(len(s.cluster.Nodes))
	switch random.IntN(9) {
	case 0, 1:
		from, to := zones[random.IntN(len(zones)-1)], zones[random.IntN(len(zones))]
		if from == to {
			to = platformZone
		}
		s.cluster.Network.Cut(from, to)
		return "cut " + from + " to " + to
	case 2, 3:
		s.cluster.Network.Heal()
		s.cluster.Platform.Log.SetFaults(standin.LogFaults{})
		return "healed"
	case 4:
		faults := standin.LogFaults{
			Down: random.IntN(3) == 0, LostAnswerRate: random.Float64() / 3, DropRate: random.Float64() / 5, LateRate: random.Float64() / 5,
			LateDelay: time.Duration(random.IntN(4000)) * time.Millisecond, AppendDelay: time.Duration(random.IntN(200)) * time.Millisecond,
		}
		s.cluster.Platform.Log.SetFaults(faults)
		return fmt.Sprintf("log %+v", faults)
	case 5:
		return s.killOrStart(node, stopped)
	case 6:
		faults := []standin.EndpointFault{standin.FaultFailAll, standin.FaultResetAfter, standin.FaultPartialBody, standin.FaultWrongRequestID, standin.FaultNone, standin.FaultNone}
		fault := faults[random.IntN(len(faults))]
		s.setFault(fault, 1+random.IntN(2))
		return "boxes " + string(fault)
	case 7:
		err := s.run.editTable(context.Background(), "ana", node, func(wanted *settings.Table) {
			wanted.Services[0].Row.Floor = 8 + random.IntN(3)*8
		})
		return fmt.Sprint("edit: ", err)
	default:
		now := s.cluster.clock.Now().UnixMilli()
		err := s.run.editTable(context.Background(), "rui", node, func(wanted *settings.Table) { wanted.Deployment.MaintainBefore = int(now) })
		return fmt.Sprint("wave: ", err)
	}
}

func (s *fixture) killOrStart(node int, stopped map[int]bool) string {
	if stopped[node] {
		delete(stopped, node)
		assert.NilError(s.t, s.cluster.StartNode(s.cluster.Nodes[node]))
		return fmt.Sprint("start node ", node)
	}
	if len(stopped) >= len(s.cluster.Nodes)/2 {
		return "nothing"
	}
	stopped[node] = true
	assert.NilError(s.t, s.cluster.KillEntry(s.cluster.Nodes[node]))
	assert.NilError(s.t, s.cluster.StopKeeper(s.cluster.Nodes[node]))
	return fmt.Sprint("kill node ", node)
}
