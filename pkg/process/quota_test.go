package process

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"damsonwinch/platform/standin"
)

// quotes is a queue of another pool than that of the payslips.
var quotes = standin.Queue{Name: "quotes", Host: testHost, PathPrefix: "/quotes/", Pool: "quotes", MaxAttempts: 3}

// capped puts a configuration in force in which the bakery may have so many thousandths of a core
// running, and the mill as much as it likes.
func (s *story) capped(version, cpu int) {
	s.t.Helper()
	s.platform.SetCustomers(
		standin.Customer{Name: "bakery", Keys: []string{bakeryKey}, MaxMilliCPU: cpu}, standin.Customer{Name: "mill", Keys: []string{millKey}},
	)
	assert.NilError(s.t, s.platform.PutConfiguration(version, payslips, quotes))
}

// submitTo hands a job of two tasks of a core each in to a queue until it is accepted.
func (s *story) submitTo(client *standin.Client, prefix, id, of string) {
	s.t.Helper()
	try := 0
	s.until("job "+id+" is accepted", func() bool {
		try++
		status, err := client.Submit(s.t.Context(), s.address(try), testHost, prefix+id, standin.Work{Ms: 150, Customer: of}, standin.Phase{Count: 2, MilliCPU: 1000, EstimatedMs: 150})
		return err == nil && status == 200
	})
}

func (s *story) completed(client *standin.Client, prefix, id string) bool {
	_, state, err := client.State(s.t.Context(), s.address(0), testHost, prefix+id)
	return err == nil && state == "completed"
}

// planner returns the number of the node that plans for the fleet and deals the caps.
func (s *story) planner() int {
	s.t.Helper()
	found := -1
	s.until("a node plans", func() bool {
		for number, node := range s.nodes {
			if claim := node.node.View().Claims["@fleet"]; !s.closed[number] && claim.Node == s.configs[number].Node {
				found = number
			}
		}
		return found >= 0
	})
	return found
}

// TestACustomerStaysUnderItsCap with work in two pools whose owners share no state, on whole nodes,
// while the node that deals its cap and then others are killed. What it may have running it has;
// another customer is not held back. A cap that rises is used, one that falls holds from the next
// starts on.
func TestACustomerStaysUnderItsCap(t *testing.T) {
	s := newStory(t, 3)
	bakery, mill := s.client.WithKey(bakeryKey), s.client.WithKey(millKey)
	const cap, jobs = 3, 24
	s.capped(2, cap*1000)
	hand := func(from int) {
		for number := from; number < from+jobs; number++ {
			prefix := []string{testPrefix, quotes.PathPrefix}[number%2]
			s.submitTo(bakery, prefix, id(number), "bakery")
		}
	}
	done := func(from int) {
		for number := from; number < from+jobs; number++ {
			prefix := []string{testPrefix, quotes.PathPrefix}[number%2]
			s.until(fmt.Sprintf("job %d is completed", number), func() bool { return s.completed(bakery, prefix, id(number)) })
		}
	}
	hand(0)
	s.submitTo(mill, testPrefix, id(1000), "mill")
	s.until("the mill's job is completed", func() bool { return s.completed(mill, testPrefix, id(1000)) })
	s.kill(s.planner())
	clockwork.NewRealClock().Sleep(300 * time.Millisecond)
	if owner := s.ownerOf("runs"); owner >= 0 {
		s.kill(owner)
	}
	done(0)
	assert.Equal(t, s.platform.PeakRuns("bakery"), cap)

	s.capped(3, 2*cap*1000)
	hand(100)
	done(100)
	assert.Equal(t, s.platform.PeakRuns("bakery"), 2*cap)

	s.capped(4, 1000)
	clockwork.NewRealClock().Sleep(2 * time.Second)
	s.platform.PeakRuns("bakery")
	hand(200)
	done(200)
	assert.Equal(t, s.platform.PeakRuns("bakery"), 1)
}
