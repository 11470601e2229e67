package cell_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"damsonwinch"
	"damsonwinch/pkg/cell"
	"damsonwinch/pkg/cellrecord"
	"damsonwinch/pkg/wire"
)

// script runs a scenario from a data file on a cell. Start requests, polls and the other calls are
// answered only when the file says so.
//
// The data files have their own words: a look is a poll, an end is a run's result, a pace is a
// speed change, lasting tasks are long-running, an owner that is deposed has lost its ownership, a
// note is a log line, and born is when a life started.
type script struct {
	t          *testing.T
	now        time.Time
	cell       *cell.Cell
	lastCallID int
	// listed holds the endpoints that the registry lists.
	listed []damsonwinch.Endpoint
	// polls holds, by life, the last poll that has not been answered. commit is the append in
	// flight, or nil, and permitRequest the last call for permits. With turnsHeld the node gets its turn at the advice
	// service only by the command turn.
	polls         map[string]cell.Poll
	commit        *cell.Commit
	permitRequest cell.PermitRequest
	turnsHeld     bool
	// stream holds the newest record of each key in the cell's stream.
	stream  map[string]damsonwinch.Record
	token   int
	options cell.Options
	// queue is the only queue of the configuration, whose version is version, unless it was removed.
	queue   damsonwinch.Queue
	version int
	// inForce holds the queues of the configuration that the owner's node has, whose version is inForceVersion.
	inForce        []damsonwinch.Queue
	inForceVersion int
	// evacuated holds the zones that the operator has evacuated. If there is a bound on how old this
	// knowledge may be, a new owner learns them with the next command evacuate.
	evacuated []string
	// lastAllowance is the number of the last allowance that the planner has sent.
	lastAllowance int
	// removalsChecked is set if the scenario checks the log lines about removed runs.
	removalsChecked bool
}

// TestScripts runs all scenarios in testdata/script.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/script", func(t *testing.T, path string) {
		s := &script{
			t: t, now: time.UnixMilli(1_700_000_000_000), polls: map[string]cell.Poll{}, stream: map[string]damsonwinch.Record{},
			version: 1,
			queue:   damsonwinch.Queue{Name: "queue", Pool: "pool", MaxAttempts: 3, DeadlineFactor: 2, TargetLatency: time.Second},
			options: cell.Options{
				MaxLease: 10 * time.Second, RenewalGrace: 5 * time.Second, MaxStopTime: 400 * time.Millisecond, MaxStartDelay: 2 * time.Second,
				MinCommitInterval: 10 * time.Millisecond, PollWait: 500 * time.Millisecond, IdlePollInterval: 2 * time.Second, PollRetryInterval: 300 * time.Millisecond,
				EndedJobRetention: time.Minute,
			},
		}
		s.inForce, s.inForceVersion = []damsonwinch.Queue{s.queue}, s.version
		s.newOwner()
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string { return s.run(d) })
	})
}

// newOwner replaces the owner by one that loads the records in the stream.
func (s *script) newOwner() {
	s.token++
	s.cell = cell.New(s.options, s.token)
	s.polls, s.commit = map[string]cell.Poll{}, nil
	var records []damsonwinch.Record
	for _, record := range s.stream {
		records = append(records, record)
	}
	if err := s.cell.Load(s.now, records); err != nil {
		s.t.Fatal(err)
	}
	s.cell.SetQueues(s.now, cell.NewQueueTable(s.inForceVersion, s.inForce))
	s.cell.SetEndpoints(s.now, s.listed)
	if s.options.MaxEvacuationAge == 0 {
		s.cell.SetEvacuations(s.now, s.evacuated, s.now)
	}
}

// run runs a command of the data file and returns its output.
func (s *script) run(d *datadriven.TestData) string {
	switch d.Cmd {
	case "endpoint":
		s.listEndpoint(d)
	case "unlist":
		s.unlistEndpoint(d)
	case "queue":
		s.changeQueue(d)
	case "submit":
		s.submit(d)
	case "cancel":
		s.lastCallID++
		s.cell.Cancel(s.now, s.jobArgs(d), s.lastCallID)
	case "query":
		s.lastCallID++
		s.cell.Query(s.now, s.jobArgs(d), s.lastCallID)
	case "commit":
		return s.commitNow()
	case "lose-owner":
		s.newOwner()
	case "lose-owner-appending":
		// The store has taken the append in flight, and the owner doesn't learn of it.
		stored := "nothing"
		if s.commit != nil {
			stored = strings.Join(s.storeAppend(), " ")
		}
		s.newOwner()
		return "stream: " + stored + "\n" + s.effectLines()
	case "forget-terms":
		s.forgetTerms()
	case "look":
		return s.answerPoll(d)
	case "started":
		s.cell.Started(s.now, lifeArg(s.t, d), parseRun(arg(s.t, d, "run")), errorArg(d, s.t))
	case "stopped":
		s.cell.Stopped(s.now, lifeArg(s.t, d), parseRun(arg(s.t, d, "run")), errorArg(d, s.t))
	case "acknowledged":
		return fmt.Sprintf("the look on its way acknowledges %d ends\n", s.polls[arg(s.t, d, "at")].Request.AckedSequence)
	case "renews":
		return s.describeRenewal(arg(s.t, d, "at"))
	case "hold-turns":
		s.turnsHeld = true
	case "turn":
		return strings.Join(append(s.takePermitTurn(), s.effectLines()), "\n")
	case "advised":
		s.answerPermitRequest(d)
	case "paced":
		s.cell.SpeedSet(s.now, lifeArg(s.t, d), parseRun(arg(s.t, d, "run")), errorArg(d, s.t))
	case "sync":
		s.cell.ApplySync(s.now, wire.SyncArgs{Withdraw: listArg(s.t, d, "withdraw"), Hurry: listArg(s.t, d, "hurry"), Restore: listArg(s.t, d, "restore"), Gone: listArg(s.t, d, "gone"), Due: listArg(s.t, d, "due")})
	case "boxes":
		s.setBoxes(d)
	case "allow":
		s.setAllowance(d)
	case "weights":
		s.setWeights(d)
	case "elsewhere":
		s.cell.ApplySync(s.now, wire.SyncArgs{Cells: intArg(s.t, d, "cells", 1), Arrivals: []wire.CustomerArrivals{{Customer: arg(s.t, d, "customer"), Count: intArg(s.t, d, "count", 0)}}})
	case "evacuate":
		s.evacuated = listArg(s.t, d, "zones")
		s.cell.SetEvacuations(s.now, s.evacuated, s.now)
	case "evacuation-bound":
		s.options.MaxEvacuationAge = time.Duration(intArg(s.t, d, "ms", 0)) * time.Millisecond
		s.newOwner()
	case "pass":
		// Time passes while the owner is busy with something else, so there is no tick.
		s.now = s.now.Add(time.Duration(intArg(s.t, d, "ms", 0)) * time.Millisecond)
	case "wait":
		s.now = s.now.Add(time.Duration(intArg(s.t, d, "ms", 0)) * time.Millisecond)
		s.cell.ConfirmOwnership(s.now)
		s.cell.Tick(s.now)
	case "explain":
		return strings.Join(s.cell.Explain(arg(s.t, d, "id")), "\n") + "\n"
	case "report":
		report := s.cell.Report(s.now)
		return fmt.Sprintf("lasting %d, running %d, waiting %d, late %d, memory %d\n", report.LastingCpu, report.RunningCpu, report.WaitingCpu, report.LateCpu, report.MemoryShare)
	case "report-whole":
		report := s.cell.Report(s.now)
		return fmt.Sprintf("lasting on %d boxes, whole boxes %d, late %d, stalled %d\n", report.LastingBoxes, report.WholeBoxes, report.WholeLateBoxes, report.StalledCpu)
	case "report-missing":
		return fmt.Sprintf("%d boxes missing\n", s.cell.Report(s.now).MissingBoxes)
	case "reported":
		var lives []string
		for _, reported := range s.cell.Report(s.now).Endpoints {
			lives = append(lives, reported.Endpoint)
		}
		return strings.Join(lives, " ") + "\n"
	case "withdrawn":
		var lives []string
		for _, reported := range s.cell.Report(s.now).Endpoints {
			if reported.Withdrawn {
				lives = append(lives, reported.Endpoint)
			}
		}
		return "reported as withdrawn: " + strings.Join(lives, " ") + "\n"
	case "report-zones":
		report := s.cell.Report(s.now)
		lines := ""
		for _, row := range report.EvacuatedZones {
			lines += fmt.Sprintf("%s: %d endpoints, %d unknown, runs %d short %d checkpoint %d lasting %d stray; confirmed %d ms ago\n",
				row.Zone, row.Endpoints, row.UnknownEndpoints, row.ShortRuns, row.CheckpointRuns, row.LastingRuns, row.StrayRuns, report.EvacuationsAgeMs)
		}
		return lines
	case "wake":
		return fmt.Sprintf("in %d ms\n", s.cell.NextTick().Sub(s.now).Milliseconds())
	case "pending":
		return fmt.Sprintf("%d\n", s.cell.Pending(wire.JobArgs{Queue: "queue"}))
	case "check-removals":
		s.removalsChecked = true
	case "removals":
		stats := s.cell.Stats()
		return fmt.Sprintf("lapsed %d, refused %d, others %+v\n", stats.RunsLapsed, stats.StartsRefused, stats.Removals)
	case "show":
		state, visible := s.cell.Show(s.jobArgs(d))
		return fmt.Sprintf("%q %v\n", state, visible)
	default:
		d.Fatalf(s.t, "unknown command")
	}
	return s.effectLines()
}

// changeQueue puts a new version of the configuration in force, in which the queue is as the arguments say: with another
// name, address, limit of attempts, with advice or without, or removed. A version that the arguments name may be older. With
// the argument elsewhere only the nodes that take clients' calls have the version yet.
func (s *script) changeQueue(d *datadriven.TestData) {
	s.version = intArg(s.t, d, "version", s.version+1)
	s.queue.MaxAttempts = intArg(s.t, d, "attempts", s.queue.MaxAttempts)
	if name := optionalArg(s.t, d, "name"); name != "" {
		s.queue.Name = name
	}
	if path := optionalArg(s.t, d, "path"); path != "" {
		s.queue.Host, s.queue.PathPrefix = "host", path
	}
	switch {
	case d.HasArg("advice"):
		s.queue.Advice = &damsonwinch.AdviceTimes{PermitTTL: 2 * time.Second}
	case d.HasArg("no-advice"):
		s.queue.Advice = nil
	}
	if d.HasArg("elsewhere") {
		return
	}
	s.inForce, s.inForceVersion = nil, s.version
	if !d.HasArg("removed") {
		s.inForce = []damsonwinch.Queue{s.queue}
	}
	s.cell.SetQueues(s.now, cell.NewQueueTable(s.inForceVersion, s.inForce))
}

// forgetTerms makes the records of all jobs those of a version of this program that recorded no terms.
func (s *script) forgetTerms() {
	for key, record := range s.stream {
		var fields map[string]any
		if err := cellrecord.Decode(record, &fields); err != nil {
			s.t.Fatal(err)
		}
		delete(fields, "terms")
		value, err := json.Marshal(fields)
		if err != nil {
			s.t.Fatal(err)
		}
		s.stream[key] = damsonwinch.Record{Key: key, Value: value}
	}
}

// listEndpoint adds an endpoint to the registry, in place of any other with the same ID.
func (s *script) listEndpoint(d *datadriven.TestData) {
	id := arg(s.t, d, "id")
	info := damsonwinch.Endpoint{
		Life: damsonwinch.Life{ID: id, StartedUnixMs: intArg(s.t, d, "born", 0)}, Box: "box-" + id, Address: id + ":1", Pool: "pool", Capacity: damsonwinch.Resources{
			MilliCPU: intArg(s.t, d, "cpu", 8000), MemoryMB: intArg(s.t, d, "memory", 8000), GPUs: intArg(s.t, d, "gpu", 0),
		},
		Draining: d.HasArg("draining"), Cold: d.HasArg("cold"), Zone: optionalArg(s.t, d, "zone"), Labels: listArg(s.t, d, "labels"), Rack: optionalArg(s.t, d, "rack"),
	}
	if info.Rack != "" {
		info.Labels = append(info.Labels, info.Rack)
	}
	kept := s.listed[:0:0]
	for _, other := range s.listed {
		if other.Life.ID != id {
			kept = append(kept, other)
		}
	}
	s.listed = append(kept, info)
	s.cell.SetEndpoints(s.now, s.listed)
}

// unlistEndpoint removes an endpoint from the registry.
func (s *script) unlistEndpoint(d *datadriven.TestData) {
	kept := s.listed[:0:0]
	for _, other := range s.listed {
		if other.Life.ID != arg(s.t, d, "id") {
			kept = append(kept, other)
		}
	}
	s.listed = kept
	s.cell.SetEndpoints(s.now, s.listed)
}

// jobArgs returns the arguments of a call about a job, as the customer that the command names would
// make it, or as any client would if the queue is public.
func (s *script) jobArgs(d *datadriven.TestData) wire.JobArgs {
	args := wire.JobArgs{Queue: s.queue.Name, Id: arg(s.t, d, "id"), Public: !d.HasArg("customer"), Tentative: d.HasArg("tentative")}
	if s.queue.Host != "" {
		args.Address, args.ConfigVersion, args.AskedAll = s.queue.Address(), s.version, true
	}
	if !args.Public {
		args.Customer = arg(s.t, d, "customer")
	}
	return args
}

// submit submits a job. Each line of the input describes a phase.
func (s *script) submit(d *datadriven.TestData) {
	spec := wire.JobSpec{Text: "text", FirstMs: intArg(s.t, d, "first", 0), EveryMs: intArg(s.t, d, "every", 0), Rounds: intArg(s.t, d, "rounds", 0)}
	if spec.Rounds > 0 {
		spec.FirstMs += int(s.now.UnixMilli())
	}
	for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
		phase := wire.Phase{Count: 1, Cpu: 1000, MemoryMb: 500, EstimateMs: 500}
		for _, field := range strings.Fields(line) {
			name, value, _ := strings.Cut(field, "=")
			count, _ := strconv.Atoi(value)
			switch name {
			case "count":
				phase.Count = count
			case "cpu":
				phase.Cpu = count
			case "memory":
				phase.MemoryMb = count
			case "estimate":
				phase.EstimateMs = count
			case "after":
				phase.After = append(phase.After, count)
			case "per-box":
				phase.MostPerBox = count
			case "away":
				phase.AwayAtMost = count
			case "label":
				phase.Label = value
			case "rack":
				phase.Rack = value
			case "target":
				phase.TargetMs = count
			case "fills":
				phase.Fills = true
			case "gang":
				phase.Gang = true
			case "same-rack":
				phase.SameRack = true
			case "copies":
				phase.Copies = true
			case "lasting":
				phase.Lasting = true
			case "checkpoints":
				phase.Checkpoints = true
			default:
				d.Fatalf(s.t, "unknown word %s", field)
			}
		}
		spec.Phases = append(spec.Phases, phase)
	}
	s.lastCallID++
	args := s.jobArgs(d)
	args.Spec, args.ReceivedMs, args.WaitMs = &spec, int(s.now.UnixMilli()), intArg(s.t, d, "waits", 0)
	if args.Address != "" {
		terms := s.queue.Terms()
		args.Terms = &terms
	}
	s.cell.Submit(s.now, args, s.lastCallID)
}

// commitNow lets MinCommitInterval pass and puts the records of the append in flight into the
// stream. If no append is in flight, it ticks first, so that the cell can begin one.
func (s *script) commitNow() string {
	s.now = s.now.Add(s.options.MinCommitInterval)
	if s.commit == nil {
		s.cell.Tick(s.now)
		s.collectEffects()
	}
	if s.commit == nil {
		return "nothing to commit\n"
	}
	keys := s.storeAppend()
	number := s.commit.Number
	s.commit = nil
	s.cell.Committed(s.now, number)
	return "stream: " + strings.Join(keys, " ") + "\n" + s.effectLines()
}

// storeAppend puts the records of the append in flight into the stream and returns their keys, with a minus for those that
// it deletes.
func (s *script) storeAppend() []string {
	keys := make([]string, 0, len(s.commit.Records))
	for _, record := range s.commit.Records {
		if len(record.Value) == 0 {
			delete(s.stream, record.Key)
			keys = append(keys, "-"+record.Key)
			continue
		}
		s.stream[record.Key] = record
		keys = append(keys, record.Key)
	}
	return keys
}

// lifeArg returns the life in the argument at, which may have the form ID@start.
func lifeArg(t *testing.T, d *datadriven.TestData) damsonwinch.Life {
	return damsonwinch.ParseLife(arg(t, d, "at"))
}

// clockMs returns the time on the clock of all endpoints.
func (s *script) clockMs() int {
	return int(s.now.UnixMilli() - 1_700_000_000_000 + 5000)
}

// answerPoll answers the poll of an endpoint. The argument running lists runs as run:percent:load,
// of which percent and load may be left out, and the argument ended lists results as
// sequence:run:ending:checkpoint, of which the checkpoint may be left out. With the argument truncated there may be more
// of them, and with identified-only the reply is to the identification of the connection. The endpoint's clock is 5 s ahead of the time since the scenario began.
func (s *script) answerPoll(d *datadriven.TestData) string {
	at := arg(s.t, d, "at")
	sent, exists := s.polls[at]
	if !exists {
		return "no look is on its way to " + at + "\n"
	}
	delete(s.polls, at)
	reply := damsonwinch.PollReply{StartedUnixMs: intArg(s.t, d, "born", sent.Endpoint.Life.StartedUnixMs), ClockMs: s.clockMs(), Truncated: d.HasArg("truncated"), IdentifiedOnly: d.HasArg("identified-only")}
	for _, text := range listArg(s.t, d, "running") {
		parts := strings.Split(text+":0:0", ":")
		percent, _ := strconv.Atoi(parts[1])
		load, _ := strconv.Atoi(parts[2])
		reply.Running = append(reply.Running, damsonwinch.RunProgress{Run: parseRun(parts[0]), DonePercent: percent, Load: load})
	}
	for _, text := range listArg(s.t, d, "ended") {
		parts := strings.Split(text+":", ":")
		sequence, _ := strconv.Atoi(parts[0])
		reply.Finished = append(reply.Finished, damsonwinch.RunResult{Sequence: sequence, Run: parseRun(parts[1]), Ending: damsonwinch.Ending(parts[2]), Checkpoint: parts[3]})
	}
	s.cell.Polled(s.now, sent.Endpoint.Life, sent.Number, reply, errorArg(d, s.t))
	return s.effectLines()
}

// describeRenewal says for how long from now the poll on its way to an endpoint renews the leases there.
func (s *script) describeRenewal(at string) string {
	sent, exists := s.polls[at]
	switch {
	case !exists:
		return "no look is on its way to " + at + "\n"
	case sent.Request.LeaseUntilMs == 0:
		return "the look on its way renews no leases\n"
	}
	return fmt.Sprintf("the look on its way renews leases for %d ms\n", sent.Request.LeaseUntilMs-s.clockMs())
}

// answerPermitRequest answers the last call for permits, with permits for the endpoints in the
// argument good.
func (s *script) answerPermitRequest(d *datadriven.TestData) {
	var permits []damsonwinch.Permit
	for _, id := range listArg(s.t, d, "good") {
		permits = append(permits, damsonwinch.Permit{EndpointID: id, Ticket: "ticket-" + id})
	}
	const ttl = 2 * time.Second
	s.cell.Advised(s.now, s.now, s.permitRequest, permits, ttl, errorArg(d, s.t))
}

// setAllowance has the planner send the allowance of a customer in this cell.
func (s *script) setAllowance(d *datadriven.TestData) {
	s.lastAllowance++
	limit := damsonwinch.Resources{MilliCPU: intArg(s.t, d, "cap", 8000)}
	customer := arg(s.t, d, "customer")
	s.cell.SetCustomers(s.now, s.lastAllowance, []damsonwinch.Customer{{Name: customer, Cap: limit}})
	s.cell.ApplySync(s.now, wire.SyncArgs{
		Token: 1, CellToken: s.token, AllowanceNumber: s.lastAllowance, ConfigVersion: s.lastAllowance,
		Allowances: []wire.AllowanceRow{{Customer: customer, Amount: wire.Amount{Cpu: intArg(s.t, d, "cpu", 0)}, Cap: wire.Amount{Cpu: limit.MilliCPU}}},
	})
}

// setWeights configures customers with weights. Each line of the input is a name and a weight.
func (s *script) setWeights(d *datadriven.TestData) {
	var customers []damsonwinch.Customer
	for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
		name, text, _ := strings.Cut(line, " ")
		weight, err := strconv.Atoi(text)
		if err != nil {
			d.Fatalf(s.t, "invalid weight: %v", err)
		}
		customers = append(customers, damsonwinch.Customer{Name: name, Weight: weight})
	}
	s.lastAllowance++
	s.cell.SetCustomers(s.now, s.lastAllowance, customers)
}

// setBoxes passes the platform's list of boxes to the cell. The list was requested as many milliseconds ago as the
// argument age says.
func (s *script) setBoxes(d *datadriven.TestData) {
	var boxes []damsonwinch.Box
	for _, id := range listArg(s.t, d, "up") {
		boxes = append(boxes, damsonwinch.Box{Name: "box-" + id, State: damsonwinch.BoxUp, EndpointID: id})
	}
	requestedAt := s.now.Add(-time.Duration(intArg(s.t, d, "age", 0)) * time.Millisecond)
	s.cell.SetBoxes(s.now, requestedAt, boxes)
}

// collectEffects takes the cell's effects. It keeps the polls, the append and the last call for
// permits, and returns lines of output: one for each effect except polls, and of the log lines
// those about jobs and endpoints that the scenarios check.
func (s *script) collectEffects() []string {
	var lines []string
	effects := s.cell.TakeEffects()
	for _, poll := range effects.Polls {
		s.polls[poll.Endpoint.Life.String()] = poll
	}
	if effects.Commit != nil {
		s.commit = effects.Commit
		lines = append(lines, "append")
	}
	for _, reply := range effects.Replies {
		lines = append(lines, fmt.Sprintf("reply %d: %s %s", reply.CallID, reply.Reply.Outcome, reply.Reply.Reason))
	}
	for _, start := range effects.Starts {
		text := fmt.Sprintf("start %s attempt %d on %s", start.Request.Task, start.Request.Attempt, start.Endpoint.Life)
		if start.Request.Ticket != "" {
			text += " with " + start.Request.Ticket
		}
		if start.Request.Checkpoint != "" {
			text += " from " + start.Request.Checkpoint
		}
		lines = append(lines, text)
	}
	for _, stop := range effects.Stops {
		lines = append(lines, fmt.Sprintf("stop %s attempt %d on %s", stop.Request.Task, stop.Request.Attempt, stop.Endpoint.Life))
	}
	for _, change := range effects.SpeedChanges {
		lines = append(lines, fmt.Sprintf("pace %s attempt %d on %s: %d%%", change.Request.Task, change.Request.Attempt, change.Endpoint.Life, change.Request.SpeedPercent))
	}
	if effects.PermitTurn {
		lines = append(lines, s.awaitPermitTurn()...)
	}
	if effects.ListBoxes {
		lines = append(lines, "ask for the list of boxes")
	}
	if effects.OwnershipLost {
		lines = append(lines, "deposed")
	}
	for _, line := range effects.LogLines {
		if isChecked(line.Message) || s.removalsChecked && isRemoval(line.Message) {
			lines = append(lines, strings.TrimSpace(fmt.Sprintf("note: %s %s%s%s: %s", line.Message, line.Job, line.Endpoint, line.Zone, line.Reason)))
		}
	}
	return lines
}

// awaitPermitTurn handles that the cell wants the node's turn at the advice service: it has it at once, unless turns are
// held.
func (s *script) awaitPermitTurn() []string {
	if s.turnsHeld {
		return []string{"wants a turn at the advice service"}
	}
	return s.takePermitTurn()
}

// takePermitTurn gives the cell the node's turn at the advice service and describes the call that it makes.
func (s *script) takePermitTurn() []string {
	request, wanted := s.cell.NextPermitRequest(s.now)
	if !wanted {
		return []string{"no call for advice"}
	}
	s.permitRequest = request
	return []string{fmt.Sprintf("ask for advice on %s.%d.%d: %s", request.Job, request.Round, request.Phase, strings.Join(request.EndpointIDs(), " "))}
}

// isChecked reports whether the scenarios check log lines with a message.
func isChecked(message string) bool {
	switch message {
	case "job accepted", "endpoint listed", "endpoint attached":
		return false
	case "task given up", "long-running task waits", "poll answered by another life", "results are missing", "late result":
		return true
	}
	return strings.HasPrefix(message, "job ") || strings.HasPrefix(message, "zone ") || strings.HasPrefix(message, "endpoint ")
}

// isRemoval reports whether log lines with a message are about runs that were removed without a result.
func isRemoval(message string) bool {
	switch message {
	case "run is not there", "run lost", "run removed", "start refused", "start not sent", "stop stray run":
		return true
	}
	return false
}

// effectLines returns the output of a command: the lines of collectEffects.
func (s *script) effectLines() string {
	lines := s.collectEffects()
	if len(lines) == 0 {
		return "nothing\n"
	}
	return strings.Join(lines, "\n") + "\n"
}

// arg returns an argument of the command.
func arg(t *testing.T, d *datadriven.TestData, name string) string {
	var value string
	d.ScanArgs(t, name, &value)
	return value
}

// optionalArg returns an argument of the command, or an empty string if it is missing.
func optionalArg(t *testing.T, d *datadriven.TestData, name string) string {
	if !d.HasArg(name) {
		return ""
	}
	return arg(t, d, name)
}

// intArg returns an argument of the command as a number, or defaultValue if it is missing.
func intArg(t *testing.T, d *datadriven.TestData, name string, defaultValue int) int {
	if !d.HasArg(name) {
		return defaultValue
	}
	var value int
	d.ScanArgs(t, name, &value)
	return value
}

// listArg returns the values of an argument, or nil if it is missing.
func listArg(t *testing.T, d *datadriven.TestData, name string) []string {
	for _, candidate := range d.CmdArgs {
		if candidate.Key == name {
			return candidate.Vals
		}
	}
	return nil
}

// parseRun parses a run in the form job.round.phase.index/attempt.
func parseRun(text string) damsonwinch.Run {
	name, attempt, _ := strings.Cut(text, "/")
	parts := strings.Split(name, ".")
	numbers := make([]int, 0, len(parts))
	for _, part := range parts[1:] {
		number, _ := strconv.Atoi(part)
		numbers = append(numbers, number)
	}
	number, _ := strconv.Atoi(attempt)
	return damsonwinch.Run{Task: damsonwinch.TaskID{Job: parts[0], Round: numbers[0], Phase: numbers[1], Index: numbers[2]}, Attempt: number}
}

// errorArg returns the error that the argument error names, or nil if it is missing.
func errorArg(d *datadriven.TestData, t *testing.T) error {
	switch name := optionalArg(t, d, "error"); name {
	case "":
		return nil
	case "room":
		return damsonwinch.ErrNoCapacity
	case "ticket":
		return damsonwinch.ErrInvalidTicket
	case "old-token":
		return damsonwinch.ErrStaleToken
	case "other-life":
		return damsonwinch.ErrOtherLife
	case "not-sent":
		return damsonwinch.ErrNotSent
	default:
		return errors.New(name)
	}
}
