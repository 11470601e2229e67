package queue

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"

	"damsonwinch/pkg/wire"
)

// scriptedWeights holds the weights that a script sets, by the name of a service
// or customer. All others are 1.
type scriptedWeights map[string]int

func (w scriptedWeights) Service(service string) int { return max(1, w[service]) }

func (w scriptedWeights) Customer(_, customer string) int { return max(1, w[customer]) }

// TestStartOrder runs the scripts in testdata/order, which push requests, set
// weights, and let time pass. The output shows the order in which the requests
// start.
func TestStartOrder(t *testing.T) {
	datadriven.RunTest(t, "testdata/order", func(t *testing.T, d *datadriven.TestData) string {
		weights := scriptedWeights{}
		waiting := New(weights)
		start := time.Unix(0, 0)
		var output strings.Builder
		blocked := ""
		for count, line := range strings.Split(d.Input, "\n") {
			words := strings.Fields(line)
			switch words[0] {
			case "weight":
				var value int
				_, err := fmt.Sscan(words[2], &value)
				assert.NilError(t, err)
				weights[words[1]] = value
			case "push":
				item := Item{ID: fmt.Sprintf("%s/%d", strings.Join(words[1:4], "."), count), Service: words[1], Customer: words[2], Class: wire.Class(words[3]), EnqueuedAt: start, Size: 1}
				left, err := time.ParseDuration(words[4])
				assert.NilError(t, err)
				item.Deadline = start.Add(left)
				waiting.Push(item)
			case "block":
				blocked = words[1]
			case "age":
				at, err := time.ParseDuration(words[1])
				assert.NilError(t, err)
				fmt.Fprintf(&output, "aged %d\n", waiting.Age(start.Add(at), func(string) time.Duration { return time.Second }))
			case "expire":
				at, err := time.ParseDuration(words[1])
				assert.NilError(t, err)
				fmt.Fprintf(&output, "expired %d\n", len(waiting.PopExpired(start.Add(at))))
			}
		}
		for {
			item, found := waiting.Pop(func(item Item) bool { return item.Service != blocked })
			if !found {
				break
			}
			name, _, _ := strings.Cut(item.ID, "/")
			output.WriteString(name + "\n")
		}
		fmt.Fprintf(&output, "left %d\n", waiting.Total())
		return output.String()
	})
}

func TestRemovedRequestLeavesTheQueue(t *testing.T) {
	waiting := New(scriptedWeights{})
	const count = 1000
	for number := range count {
		waiting.Push(Item{ID: fmt.Sprint(number), Service: "s", Customer: fmt.Sprint(number % 7), Class: wire.ClassNormal})
	}
	for number := range count {
		assert.Assert(t, waiting.Remove(fmt.Sprint(number)))
		assert.Assert(t, !waiting.Remove(fmt.Sprint(number)))
	}
	assert.Equal(t, waiting.Total()+waiting.Len("s"), 0)
}

func BenchmarkPushPop(b *testing.B) {
	waiting := New(scriptedWeights{})
	for number := range 600 {
		waiting.Push(Item{ID: fmt.Sprint("w", number), Service: "s", Customer: fmt.Sprint(number % 200), Class: wire.ClassNormal})
	}
	b.ReportAllocs()
	for number := 0; b.Loop(); number++ {
		waiting.Push(Item{ID: fmt.Sprint(number), Service: "s", Customer: fmt.Sprint(number % 200), Class: wire.ClassNormal})
		waiting.Pop(func(Item) bool { return true })
	}
}
