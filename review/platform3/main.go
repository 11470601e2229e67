// Command platform3 plays one case of the review: it starts a stand-in of the users' platform, the project's nodes as
// separate processes, and clients, and says whether a rule was broken.
package main

import (
	"fmt"
	"os"

	"github.com/jonboulle/clockwork"
)

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// verdict is the outcome of a case.
type verdict int

// scenario plays a case with or without its disruption.
type scenario struct {
	nodes int
	// pools holds the number of machines of each service.
	pools map[string]int
	play  func(d *deployment, trouble bool) verdict
}

var scenarios = map[string]scenario{
	"new-route":     {nodes: 2, pools: map[string]int{"svc-a": 4}, play: playNewRoute},
	"many-advised":  {nodes: 2, pools: map[string]int{"svc-a": 9}, play: playManyAdvised},
	"renamed-route": {nodes: 2, pools: map[string]int{"svc-a": 4}, play: playRenamedRoute},
	"short-fillers": {nodes: 2, pools: map[string]int{"svc-a": 2}, play: playShortFillers},
	"paused-filler": {nodes: 2, pools: map[string]int{"svc-a": 4}, play: playPausedFiller},
	"never-begun":   {nodes: 3, pools: map[string]int{"svc-a": 8}, play: playNeverBegun},
	"pending":       {nodes: 2, pools: map[string]int{"svc-a": 4, "svc-b": 4}, play: playPending},
}

func main() {
	os.Exit(int(run()))
}

// run plays the case that the arguments name: its name and the path of its record.
func run() verdict {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: platform3 CASE RECORD")
		return exitNotRun
	}
	chosen, found := scenarios[os.Args[1]]
	if !found {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		return exitNotRun
	}
	out, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	folder, err := os.MkdirTemp("", "platform3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(folder) }()
	} else {
		fmt.Fprintln(os.Stderr, "logs are in", folder)
	}
	p := newPlatform(clockwork.NewRealClock(), out)
	for _, pool := range []string{"svc-a", "svc-b"} {
		if err := p.addMachines(pool, chosen.pools[pool]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitNotRun
		}
	}
	trouble := os.Getenv("TROUBLE") != "0"
	p.record("case %s, disruption %t", os.Args[1], trouble)
	d, err := newDeployment(p, folder, chosen.nodes)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	outcome := chosen.play(d, trouble)
	words := map[verdict]string{exitHeld: "the rule held", exitBroken: "the rule was broken", exitNotRun: "the case could not run"}
	p.record("%s", words[outcome])
	fmt.Println(words[outcome])
	return outcome
}

// jobID returns the ID of a numbered job of a numbered series.
func jobID(series, number int) string {
	return fmt.Sprintf("5c0e%04x%08x", series, number)
}
