package trial

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"damsonwinch/pkg/fakes"
	"damsonwinch/pkg/fleetstate"
	"damsonwinch/pkg/operator"
	"damsonwinch/pkg/process"
	"damsonwinch/pkg/settings"
	"damsonwinch/pkg/table"
)

// Options are the options of Run.
type Options struct {
	// User is the name of the user whose fleet is started; see UserNames.
	User string
	// Seed determines the random choices of the clients, the stand-in log and the
	// processes.
	Seed uint64
	// Seconds is the approximate length of the run. Waits in the scenario are
	// percentages of it.
	Seconds int
	// Progress gets a line for each step of the scenario.
	Progress io.Writer
	Logger   logrus.FieldLogger
}

const (
	// clientCount is the number of clients that send requests at the same time.
	clientCount = 60
	// stepTimeout bounds an operator's call, and separately the wait for its effect.
	stepTimeout = 10 * time.Second
)

// run holds the cluster of one run, with its observer and its load.
type run struct {
	options  Options
	cluster  *Cluster
	observer *observer
	// generator is nil until the load starts.
	generator *loadGenerator
	startedAt time.Time
}

// Run starts a user's fleet, takes it through the scenario under load and returns the
// report. playScenario lists the steps. If a step fails, Run returns its error and a
// report on the run up to that step.
func Run(ctx context.Context, options Options) (Report, error) {
	user, err := NewUser(options.User)
	if err != nil {
		return Report{}, err
	}
	cluster, err := NewCluster(user, options.Seed, options.Logger)
	if err != nil {
		return Report{}, err
	}
	obs, err := startObserver(cluster)
	if err != nil {
		return Report{}, err
	}
	r := &run{options: options, cluster: cluster, observer: obs, startedAt: cluster.clock.Now()}
	err = r.playScenario(ctx)
	if r.generator != nil {
		r.generator.stop()
	}
	obs.stop()
	report := r.report()
	if closeErr := cluster.Close(); err == nil {
		err = closeErr
	}
	return report, err
}

// logStep writes a line to the run's progress output, with the time since its start.
func (r *run) logStep(format string, values ...any) {
	elapsed := r.cluster.clock.Since(r.startedAt).Seconds()
	_, _ = fmt.Fprintf(r.options.Progress, "%5.1fs  %s\n", elapsed, fmt.Sprintf(format, values...))
}

// waitPercent waits for a percentage of the run's length.
func (r *run) waitPercent(ctx context.Context, percent int) {
	duration := time.Duration(r.options.Seconds) * time.Second
	r.wait(ctx, duration*time.Duration(percent)/100)
}

// wait returns after a duration, or when the context ends.
func (r *run) wait(ctx context.Context, duration time.Duration) {
	select {
	case <-r.cluster.clock.After(duration):
	case <-ctx.Done():
	}
}

// waitUntil polls a condition until it holds, the timeout is over or the context ends.
// It reports whether the condition holds in the end.
func (r *run) waitUntil(ctx context.Context, timeout time.Duration, condition func() bool) bool {
	const pollInterval = 20 * time.Millisecond
	deadline := r.cluster.clock.Now().Add(timeout)
	for r.cluster.clock.Now().Before(deadline) && ctx.Err() == nil {
		if condition() {
			return true
		}
		r.wait(ctx, pollInterval)
	}
	return condition()
}

// playScenario runs the steps of the scenario in order: normal operation first, then
// one fault after another. It stops at the first step that fails.
func (r *run) playScenario(ctx context.Context) error {
	steps := []func(context.Context) error{
		r.publishFirstTable, r.startLoad, r.editConcurrently, r.raiseFloor, r.maintainAllBoxes, r.cutOffZone, r.restartEntry, r.killAndRestartEntry, r.takeLogDown, r.breakBoxes,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	r.waitPercent(ctx, 5)
	return nil
}

// operatorClient returns an operator's client of a node's keeper. The log records the
// author with each edit.
func (r *run) operatorClient(author string, nodeIndex int) (*operator.Client, error) {
	initialState, err := process.InitialState()
	if err != nil {
		return nil, err
	}
	address := r.cluster.Nodes[nodeIndex].keeper.Address
	return operator.New(address, r.cluster.Network.Dialer(clientZone), r.cluster.clock, initialState, author), nil
}

// StartReady starts a user's fleet and returns once its table is in force and its
// pools have the boxes that their services need. The seed is that of Options. The
// caller has to close the cluster.
func StartReady(ctx context.Context, user User, seed uint64, logger logrus.FieldLogger) (*Cluster, error) {
	cluster, err := NewCluster(user, seed, logger)
	if err != nil {
		return nil, err
	}
	obs, err := startObserver(cluster)
	if err != nil {
		return nil, err
	}
	defer obs.stop()
	r := &run{options: Options{Progress: io.Discard}, cluster: cluster, observer: obs, startedAt: cluster.clock.Now()}
	return cluster, r.publishFirstTable(ctx)
}

// editTable publishes a changed table in an operator's name, through the keeper of a
// node. It returns nil once the edit is accepted, and an error if it is refused or not
// decided within stepTimeout.
func (r *run) editTable(ctx context.Context, author string, nodeIndex int, change func(*settings.Table)) error {
	client, err := r.operatorClient(author, nodeIndex)
	if err != nil {
		return err
	}
	defer client.Close()
	limited, cancel := context.WithTimeout(ctx, stepTimeout)
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

// publishFirstTable publishes the user's table once all boxes are enrolled. It
// returns once the pools have their boxes and all entries have the table. Floors are
// checked only from then on, since the pools have too few slots before.
func (r *run) publishFirstTable(ctx context.Context) error {
	r.waitUntil(ctx, stepTimeout, func() bool { return len(r.observer.currentState().Boxes()) == len(r.cluster.Endpoints) })
	err := r.editTable(ctx, "ana", 0, func(wanted *settings.Table) { *wanted = r.cluster.User.Table })
	if err != nil {
		return fmt.Errorf("publish the first table: %w", err)
	}
	if !r.waitUntil(ctx, stepTimeout, r.observer.poolsFilled) {
		return errors.New("the pools did not get the boxes that their services need in time")
	}
	r.waitUntil(ctx, stepTimeout, r.newestTableInForce)
	r.logStep("table published: %d services in %d pools, %d boxes in %d zones", len(r.cluster.User.Table.Services),
		len(r.cluster.User.Table.Deployment.Pools), len(r.cluster.Endpoints), len(r.cluster.User.Fleet.Halls))
	r.observer.startFloorChecks()
	return nil
}

// newestTableInForce reports whether every entry has the newest table of the log.
func (r *run) newestTableInForce() bool {
	for _, node := range r.cluster.Nodes {
		if node.entryProcess.Metrics.Count("table_version") < r.observer.currentState().Table().Version() {
			return false
		}
	}
	return true
}

// startLoad starts the clients, which send requests until the end of the run.
func (r *run) startLoad(ctx context.Context) error {
	r.generator = startLoadGenerator(r.cluster, clientCount)
	r.logStep("%d clients send requests", clientCount)
	r.waitPercent(ctx, 8)
	return nil
}

// editConcurrently has two operators edit the table on the basis of the same
// version. Edits of different cells must both be accepted. The second edit of the
// same cell must be refused.
func (r *run) editConcurrently(ctx context.Context) error {
	base := r.observer.currentState().Table()
	service := base.Services()[0]
	edits := []struct {
		author    string
		nodeIndex int
		column    string
		value     int
	}{
		{"ana", 0, "weight", 5}, {"rui", 1, "queue", 700}, {"rui", 1, "weight", 6},
	}
	for _, edit := range edits {
		client, err := r.operatorClient(edit.author, edit.nodeIndex)
		if err != nil {
			return err
		}
		limited, cancel := context.WithTimeout(ctx, stepTimeout)
		_, err = client.Edit(limited, table.CellEdit(base.Version(), service, edit.column, edit.value), "trial: two operators")
		cancel()
		client.Close()
		r.logStep("%s sets %s.%s, based on table version %d: %s", edit.author, service, edit.column, base.Version(), editOutcome(err))
		var refused *operator.RefusedError
		if err != nil && !errors.As(err, &refused) {
			return err
		}
	}
	r.waitPercent(ctx, 4)
	return nil
}

// editOutcome describes the result of an edit for the progress output.
func editOutcome(err error) string {
	if err == nil {
		return "accepted"
	}
	return err.Error()
}

// raiseFloor raises the floor of the table's first service, so that boxes move to
// its pool, and waits until the pools have their boxes.
func (r *run) raiseFloor(ctx context.Context) error {
	const addedSlots = 48
	service := r.cluster.User.Table.Services[0].Service
	err := r.editTable(ctx, "ana", 0, func(wanted *settings.Table) {
		for i := range wanted.Services {
			if wanted.Services[i].Service == service {
				wanted.Services[i].Row.Floor += addedSlots
			}
		}
	})
	r.logStep("floor of %s raised by %d slots: %s", service, addedSlots, editOutcome(err))
	r.waitUntil(ctx, stepTimeout, r.observer.poolsFilled)
	r.waitPercent(ctx, 5)
	return err
}

// maintainAllBoxes starts a maintenance wave over all boxes. It waits until the wave is
// complete, but for no more than 35 % of the run's length.
func (r *run) maintainAllBoxes(ctx context.Context) error {
	startedAt := r.cluster.clock.Now()
	err := r.editTable(ctx, "ana", 0, func(wanted *settings.Table) {
		wanted.Deployment.MaintainBefore = int(startedAt.UnixMilli())
	})
	if err != nil {
		return err
	}
	timeout := time.Duration(r.options.Seconds) * time.Second * 35 / 100
	r.waitUntil(ctx, timeout, func() bool {
		return r.observer.currentState().Table().Deployment().MaintainBefore == int(startedAt.UnixMilli())
	})
	done := r.waitUntil(ctx, timeout, func() bool { return r.observer.dueBoxes() == 0 })
	r.logStep("maintenance wave: %d boxes maintained in %.1f s, complete: %v", r.observer.maintained, r.cluster.clock.Since(startedAt).Seconds(), done)
	return nil
}

// cutOffZone cuts the first zone off from the platform and from the other zones for
// 15 % of the run's length.
func (r *run) cutOffZone(ctx context.Context) error {
	zones := r.cluster.zoneNames()
	cutOff := zones[0]
	for _, other := range append([]string{platformZone}, zones[1:]...) {
		r.cluster.Network.CutBoth(cutOff, other)
	}
	r.logStep("zone %s is cut off from the platform and the other zones", cutOff)
	r.waitPercent(ctx, 15)
	r.cluster.Network.Heal()
	r.logStep("zone %s is connected again", cutOff)
	r.waitPercent(ctx, 4)
	return nil
}

// restartEntry makes a planned stop of an entry and starts it again.
func (r *run) restartEntry(ctx context.Context) error {
	node := r.cluster.Nodes[1]
	if err := r.cluster.StopEntry(ctx, node); err != nil {
		return fmt.Errorf("planned stop of %s: %w", node.Name, err)
	}
	r.logStep("%s stopped as planned", node.Name)
	return r.cluster.StartEntry(node)
}

// killAndRestartEntry ends another entry without a planned stop and starts it again.
func (r *run) killAndRestartEntry(ctx context.Context) error {
	node := r.cluster.Nodes[len(r.cluster.Nodes)-1]
	r.logStep("%s is killed", node.Name)
	if err := r.cluster.KillEntry(node); err != nil {
		return err
	}
	r.waitPercent(ctx, 3)
	return r.cluster.StartEntry(node)
}

// takeLogDown makes the log unavailable for a time. From then to the end of the run,
// the log loses the answers to some appends, which take effect nevertheless.
func (r *run) takeLogDown(ctx context.Context) error {
	r.cluster.Platform.Log.SetFaults(fakes.LogFaults{Down: true})
	r.logStep("the log is down")
	r.waitPercent(ctx, 8)
	r.cluster.Platform.Log.SetFaults(fakes.LogFaults{LostAnswerRate: 0.05})
	r.logStep("the log is back and loses one answer in twenty")
	r.waitPercent(ctx, 4)
	return nil
}

// breakBoxes makes one box fail every request, and makes the platform's list show a box
// of another zone as leaving.
func (r *run) breakBoxes(ctx context.Context) error {
	failing, failingZone, leaving := "", "", ""
	for _, box := range r.observer.currentState().Boxes() {
		if !box.Usable() || box.Pool == fleetstate.FreePool {
			continue
		}
		if failing == "" {
			failing, failingZone = box.Info.Name, box.Info.Hall
		} else if leaving == "" && box.Info.Hall != failingZone {
			leaving = box.Info.Name
		}
	}
	r.cluster.Endpoints[failing].SetFault(fakes.FaultFailAll)
	r.cluster.Endpoints[leaving].MarkLeaving()
	r.cluster.Platform.SetLeaving(leaving, true)
	r.logStep("%s fails everything, %s is leaving", failing, leaving)
	r.waitPercent(ctx, 12)
	return nil
}
