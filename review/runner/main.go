// Command runner plays one case of the review and checks the rule that the case is about. It exits with 1 if the
// rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"damsonwinch/platform/standin"
	"damsonwinch/review/fleet"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// play is a case: it returns what breaks the rule, in lines, or an error if the case couldn't run. trouble is
// false if the disruption is to be left out.
type play struct {
	services []fleet.Service
	run      func(f *fleet.Fleet, trouble bool) ([]string, error)
}

var plays = map[string]play{
	"many-ends":      {services: []fleet.Service{{Name: "pump-desk", Workers: 6}}, run: manyEnds},
	"redirected":     {services: []fleet.Service{{Name: "pump-desk", Workers: 2}, {Name: "valve-desk", Workers: 2}}, run: redirected},
	"late-submit":    {services: []fleet.Service{{Name: "pump-desk", Workers: 2}}, run: lateSubmit},
	"stale-cancel":   {services: []fleet.Service{{Name: "pump-desk", Workers: 2}}, run: staleCancel},
	"forgotten-wave": {services: []fleet.Service{{Name: "pump-desk", Workers: 6}, {Name: "valve-desk", Workers: 6}}, run: forgottenWave},
	"stuck-claim":    {services: fourServices(), run: stuckClaim},
	"long-schedule":  {services: []fleet.Service{{Name: "pump-desk", Workers: 2}}, run: longSchedule},
}

// serviceNames are the services of stuck-claim.
var serviceNames = []string{"flange-desk", "valve-desk", "hydrant-desk", "pump-desk"}

func fourServices() []fleet.Service {
	var services []fleet.Service
	for _, name := range serviceNames {
		services = append(services, fleet.Service{Name: name, Workers: 2})
	}
	return services
}

// clock is the real one: the cases run in real time.
var clock = clockwork.NewRealClock()

func main() {
	os.Exit(runCase(os.Args[1:]))
}

func runCase(args []string) int {
	if len(args) != 3 {
		return fail(errors.New("usage: runner CASE ROOT FOLDER"))
	}
	chosen, found := plays[args[0]]
	if !found {
		return fail(fmt.Errorf("no case %q", args[0]))
	}
	record, err := fleet.NewRecord(filepath.Join(args[2], "record.txt"), clock)
	if err != nil {
		return fail(err)
	}
	broken, err := runIn(chosen, args[1], record)
	if err != nil {
		record.Note("the case couldn't run: %v", err)
	}
	for _, line := range broken {
		record.Note("BROKEN  %s", line)
		fmt.Println("BROKEN", line)
	}
	if closeErr := record.Close(); err == nil {
		err = closeErr
	}
	switch {
	case err != nil:
		return fail(err)
	case len(broken) > 0:
		return exitBroken
	}
	fmt.Println("held")
	return exitHeld
}

// runIn plays a case in a temporary folder and ends everything that it started, also if the process is told to
// end meanwhile.
func runIn(chosen play, root string, record *fleet.Record) ([]string, error) {
	folder := os.Getenv("KEEP_IN")
	if folder == "" {
		var err error
		if folder, err = os.MkdirTemp("", "review"); err != nil {
			return nil, err
		}
		defer func() { _ = os.RemoveAll(folder) }()
	}
	f, err := fleet.New(fleet.Options{
		Services: chosen.services, Nodes: 3, Program: filepath.Join(root, "target", "dw-node"), Root: root, Folder: folder, Record: record, Clock: clock,
	})
	if err != nil {
		return nil, err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	unregister := context.AfterFunc(ctx, func() {
		_ = f.Close()
		os.Exit(exitNotRun)
	})
	broken, err := chosen.run(f, os.Getenv("TROUBLE") != "0")
	unregister()
	err = errors.Join(err, f.Close())
	return broken, err
}

func fail(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return exitNotRun
}

// queueOf returns the queue that all cases use, run by a service.
func queueOf(service string) standin.Queue {
	return standin.Queue{Name: "pump-tender", Host: "pump.example", PathPrefix: "/pump/", Pool: service, MaxAttempts: 4}
}

// settle is how long a fleet that has just become ready is left alone.
const settle = 3 * time.Second

// begin writes the first configuration and starts the nodes.
func begin(f *fleet.Fleet, queue standin.Queue) error {
	if err := f.Configure(1, queue); err != nil {
		return err
	}
	if err := f.StartNodes(); err != nil {
		return err
	}
	clock.Sleep(settle)
	return nil
}

// submitUntilAccepted sends a job to one node after the other until it is accepted.
func submitUntilAccepted(f *fleet.Fleet, queue standin.Queue, job string, taskTime time.Duration, phases ...standin.Phase) error {
	for try := range 20 {
		if f.Submit(f.Nodes[try%len(f.Nodes)], queue, job, taskTime, phases...).Status == 200 {
			return nil
		}
		clock.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("job %s isn't accepted", job)
}
