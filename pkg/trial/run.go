package trial

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"damsonwinch/pkg/fold"
	"damsonwinch/pkg/operator"
	"damsonwinch/pkg/process"
	"damsonwinch/pkg/settings"
	"damsonwinch/pkg/standin"
	"damsonwinch/pkg/table"
)

// Options of a run.
type Options struct {
	User    string
	Seed    uint64
	Seconds int
	// Progress takes a line for each step of the script.
	Progress io.Writer
	Logger   logrus.FieldLogger
}

const (
	callerCount = 60
	formTimeout = 10 * time.Second
)

// run is one run's standing.
type run struct {
	options  Options
	cluster  *Cluster
	observer *observer
	callers  *callers
	began    time.Time
}

// Run plays the whole story and returns its report.
func Run(ctx context.Context, options Options) (Report, error) {
	user, err := NewUser(options.User)
	if err != nil {
		return Report{}, err
	}
	cluster, err := NewCluster(user, options.Seed, options.Logger)
	if err != nil {
		return Report{}, err
	}
	watching, err := startObserver(cluster)
	if err != nil {
		return Report{}, err
	}
	r := &run{options: options, cluster: cluster, observer: watching, began: cluster.clock.Now()}
	err = r.script(ctx)
	if r.callers != nil {
		r.callers.stop()
	}
	watching.stop()
	report := r.report()
	if closed := cluster.Close(); err == nil {
		err = closed
	}
	return report, err
}

func (r *run) say(format string, values ...any) {
	at := r.cluster.clock.Since(r.began).Seconds()
	_, _ = fmt.Fprintf(r.options.Progress, "%5.1fs  %s\n", at, fmt.Sprintf(format, values...))
}

// part waits for a part of the run's length.
func (r *run) part(ctx context.Context, percent int) {
	length := time.Duration(r.options.Seconds) * time.Second
	r.wait(ctx, length*time.Duration(percent)/100)
}

func (r *run) wait(ctx context.Context, length time.Duration) {
	select {
	case <-r.cluster.clock.After(length):
	case <-ctx.Done():
	}
}

// until polls a condition; it returns false when the time is over first.
func (r *run) until(ctx context.Context, limit time.Duration, holds func() bool) bool {
	const poll = 20 * time.Millisecond
	deadline := r.cluster.clock.Now().Add(limit)
	for r.cluster.clock.Now().Before(deadline) && ctx.Err() == nil {
		if holds() {
			return true
		}
		r.wait(ctx, poll)
	}
	return holds()
}

// script is the story, in order.
func (r *run) script(ctx context.Context) error {
	steps := []func(context.Context) error{
		r.publish, r.load, r.raceOperators, r.shiftDemand, r.wave, r.cutHall, r.replaceEntry, r.killEntry, r.takeLogDown, r.breakBoxes,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	r.part(ctx, 5)
	return nil
}

func (r *run) operator(author string, node int) (*operator.Client, error) {
	empty, err := process.InitialState()
	if err != nil {
		return nil, err
	}
	address := r.cluster.Nodes[node].keeper.Address
	return operator.New(address, r.cluster.Network.Dialer(callerHall), r.cluster.clock, empty, author), nil
}

// StartReady starts a fleet and returns once its table is in force and its
// pools are formed.
func StartReady(ctx context.Context, user User, seed uint64, logger logrus.FieldLogger) (*Cluster, error) {
	cluster, err := NewCluster(user, seed, logger)
	if err != nil {
		return nil, err
	}
	watching, err := startObserver(cluster)
	if err != nil {
		return nil, err
	}
	defer watching.stop()
	forming := &run{options: Options{Progress: io.Discard}, cluster: cluster, observer: watching, began: cluster.clock.Now()}
	return cluster, forming.publish(ctx)
}

// edit publishes a changed table in an operator's name. While no keeper has
// read the log yet it is tried again.
func (r *run) edit(ctx context.Context, author string, node int, change func(*settings.Table)) error {
	client, err := r.operator(author, node)
	if err != nil {
		return err
	}
	defer client.Close()
	limited, cancel := context.WithTimeout(ctx, formTimeout)
	defer cancel()
	state, err := client.State(limited)
	if err != nil {
		return err
	}
	wanted := state.Table().File()
	change(&wanted)
	_, err = client.Publish(limited, wanted, "trial")
	return err
}

func (r *run) publish(ctx context.Context) error {
	r.until(ctx, formTimeout, func() bool { return len(r.observer.present().Boxes()) == len(r.cluster.Endpoints) })
	err := r.edit(ctx, "ana", 0, func(wanted *settings.Table) { *wanted = r.cluster.User.Table })
	if err != nil {
		return fmt.Errorf("publish the first table: %w", err)
	}
	if !r.until(ctx, formTimeout, r.observer.formed) {
		return errors.New("the pools were not formed in time")
	}
	r.until(ctx, formTimeout, r.inForceEverywhere)
	r.say("table published: %d services in %d pools, %d boxes in %d halls", len(r.cluster.User.Table.Services),
		len(r.cluster.User.Table.Deployment.Pools), len(r.cluster.Endpoints), len(r.cluster.User.Fleet.Halls))
	r.observer.watch()
	return nil
}

func (r *run) inForceEverywhere() bool {
	for _, node := range r.cluster.Nodes {
		if node.entryProcess.Metrics.Count("table_version") < r.observer.present().Table().Version() {
			return false
		}
	}
	return true
}

func (r *run) load(ctx context.Context) error {
	r.callers = startCallers(r.cluster, callerCount)
	r.say("%d callers call", callerCount)
	r.part(ctx, 8)
	return nil
}

// raceOperators lets two operators edit from the same version: other cells
// merge, the same cell is refused to the second.
func (r *run) raceOperators(ctx context.Context) error {
	base := r.observer.present().Table()
	service := base.Services()[0]
	edits := []struct {
		author string
		node   int
		column string
		value  int
	}{
		{"ana", 0, "weight", 5}, {"rui", 1, "queue", 700}, {"rui", 1, "weight", 6},
	}
	for _, edit := range edits {
		client, err := r.operator(edit.author, edit.node)
		if err != nil {
			return err
		}
		limited, cancel := context.WithTimeout(ctx, formTimeout)
		_, err = client.Edit(limited, table.CellEdit(base.Version(), service, edit.column, edit.value), "trial: two operators")
		cancel()
		client.Close()
		r.say("%s sets %s.%s from version %d: %s", edit.author, service, edit.column, base.Version(), accepted(err))
		var refused *operator.RefusedError
		if err != nil && !errors.As(err, &refused) {
			return err
		}
	}
	r.part(ctx, 4)
	return nil
}

func accepted(err error) string {
	if err == nil {
		return "accepted"
	}
	return err.Error()
}

// shiftDemand raises one pool's floor, so that boxes move to it.
func (r *run) shiftDemand(ctx context.Context) error {
	const more = 48
	first := r.cluster.User.Table.Services[0].Service
	err := r.edit(ctx, "ana", 0, func(wanted *settings.Table) {
		for i := range wanted.Services {
			if wanted.Services[i].Service == first {
				wanted.Services[i].Row.Floor += more
			}
		}
	})
	r.say("floor of %s up by %d slots: %s", first, more, accepted(err))
	r.until(ctx, formTimeout, r.observer.formed)
	r.part(ctx, 5)
	return err
}

// wave asks for the maintenance of every box.
func (r *run) wave(ctx context.Context) error {
	begun := r.cluster.clock.Now()
	err := r.edit(ctx, "ana", 0, func(wanted *settings.Table) {
		wanted.Deployment.MaintainBefore = int(begun.UnixMilli())
	})
	if err != nil {
		return err
	}
	limit := time.Duration(r.options.Seconds) * time.Second * 35 / 100
	r.until(ctx, limit, func() bool {
		return r.observer.present().Table().Deployment().MaintainBefore == int(begun.UnixMilli())
	})
	done := r.until(ctx, limit, func() bool { return r.observer.due() == 0 })
	r.say("wave: %d boxes maintained in %.1f s, done %v", r.observer.maintained, r.cluster.clock.Since(begun).Seconds(), done)
	return nil
}

// cutHall cuts one hall off from the platform and from the other halls.
func (r *run) cutHall(ctx context.Context) error {
	halls := r.cluster.hallNames()
	lost := halls[0]
	for _, other := range append([]string{platformHall}, halls[1:]...) {
		r.cluster.Network.CutBoth(lost, other)
	}
	r.say("hall %s is cut off", lost)
	r.part(ctx, 15)
	r.cluster.Network.Heal()
	r.say("hall %s is joined again", lost)
	r.part(ctx, 4)
	return nil
}

// replaceEntry stops an entry as planned and starts it anew.
func (r *run) replaceEntry(ctx context.Context) error {
	node := r.cluster.Nodes[1]
	if err := r.cluster.StopEntry(ctx, node); err != nil {
		return fmt.Errorf("planned stop of %s: %w", node.Name, err)
	}
	r.say("%s stopped as planned", node.Name)
	return r.cluster.StartEntry(node)
}

// killEntry ends another entry without warning and starts it anew.
func (r *run) killEntry(ctx context.Context) error {
	node := r.cluster.Nodes[len(r.cluster.Nodes)-1]
	r.say("%s is killed", node.Name)
	if err := r.cluster.KillEntry(node); err != nil {
		return err
	}
	r.part(ctx, 3)
	return r.cluster.StartEntry(node)
}

func (r *run) takeLogDown(ctx context.Context) error {
	r.cluster.Platform.Log.SetFaults(standin.LogFaults{Down: true})
	r.say("the log is down")
	r.part(ctx, 8)
	r.cluster.Platform.Log.SetFaults(standin.LogFaults{LostAnswerRate: 0.05})
	r.say("the log is back and loses one answer in twenty")
	r.part(ctx, 4)
	return nil
}

// breakBoxes makes one box fail everything and takes another off the list.
func (r *run) breakBoxes(ctx context.Context) error {
	bad, hallOfBad, leaving := "", "", ""
	for _, box := range r.observer.present().Boxes() {
		if !box.Usable() || box.Pool == fold.FreePool {
			continue
		}
		if bad == "" {
			bad, hallOfBad = box.Info.Name, box.Info.Hall
		} else if leaving == "" && box.Info.Hall != hallOfBad {
			leaving = box.Info.Name
		}
	}
	r.cluster.Endpoints[bad].SetFault(standin.FaultFailAll)
	r.cluster.Endpoints[leaving].MarkLeaving()
	r.cluster.Platform.SetLeaving(leaving, true)
	r.say("%s fails everything, %s is leaving", bad, leaving)
	r.part(ctx, 12)
	return nil
}
