package cell_test

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"damsonwinch"
	"damsonwinch/pkg/cell"
	"damsonwinch/pkg/wire"
)

// script is a cell that a data file leads through a scenario. It answers looks only
// when the file says so.
type script struct {
	t             *testing.T
	now           time.Time
	cell          *cell.Cell
	lastCallID    int
	listed        []damsonwinch.Endpoint
	polls         map[string]cell.Poll
	commit        *cell.Commit
	permitRequest cell.PermitRequest
	stream        map[string]damsonwinch.Record
	token         int
	queue         damsonwinch.Queue
	options       cell.Options
	// lastAllowance counts the planner's words on allowances.
	lastAllowance int
}

// TestScripts plays every scenario of testdata/script.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/script", func(t *testing.T, path string) {
		s := &script{
			t: t, now: time.UnixMilli(1_700_000_000_000), polls: map[string]cell.Poll{}, stream: map[string]damsonwinch.Record{},
			queue: damsonwinch.Queue{Name: "queue", Pool: "pool", MaxAttempts: 3, DeadlineFactor: 2, TargetLatency: time.Second},
			options: cell.Options{
				MaxLease: 10 * time.Second, RenewalGrace: 5 * time.Second, MaxStopTime: 400 * time.Millisecond, MaxStartDelay: 2 * time.Second,
				MinCommitInterval: 10 * time.Millisecond, PollWait: 500 * time.Millisecond, IdlePollInterval: 2 * time.Second, PollRetryInterval: 300 * time.Millisecond,
				EndedJobRetention: time.Minute,
			},
		}
		s.newOwner()
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string { return s.run(d) })
	})
}

// newOwner begins a new owner, with what the stream holds.
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
	s.cell.SetQueues(s.now, []damsonwinch.Queue{s.queue})
	s.cell.SetEndpoints(s.now, s.listed)
}

func (s *script) run(d *datadriven.TestData) string {
	switch d.Cmd {
	case "endpoint":
		s.listEndpoint(d)
	case "unlist":
		s.unlistEndpoint(d)
	case "queue":
		s.queue.MaxAttempts = intArg(s.t, d, "attempts", s.queue.MaxAttempts)
		if d.HasArg("advice") {
			s.queue.Advice = &damsonwinch.AdviceTimes{PermitTTL: 2 * time.Second}
		}
		s.cell.SetQueues(s.now, []damsonwinch.Queue{s.queue})
	case "submit":
		s.submit(d)
	case "cancel":
		s.lastCallID++
		s.cell.Cancel(s.now, s.jobArgs(d), s.lastCallID)
	case "commit":
		return s.commitNow()
	case "lose-owner":
		s.newOwner()
	case "look":
		return s.answerPoll(d)
	case "started":
		s.cell.Started(s.now, lifeArg(s.t, d), parseRun(arg(s.t, d, "run")), errorArg(d, s.t))
	case "stopped":
		s.cell.Stopped(s.now, lifeArg(s.t, d), parseRun(arg(s.t, d, "run")), errorArg(d, s.t))
	case "acknowledged":
		return fmt.Sprintf("the look on its way acknowledges %d ends\n", s.polls[arg(s.t, d, "at")].Request.AckedSequence)
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
	case "pass":
		// Time passes while the owner is busy with something else.
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
	case "reported":
		var lives []string
		for _, entry := range s.cell.Report(s.now).Endpoints {
			lives = append(lives, entry.Endpoint)
		}
		return strings.Join(lives, " ") + "\n"
	case "wake":
		return fmt.Sprintf("in %d ms\n", s.cell.NextTick().Sub(s.now).Milliseconds())
	case "pending":
		return fmt.Sprintf("%d\n", s.cell.Pending("queue"))
	case "show":
		state, known := s.cell.Show(s.jobArgs(d))
		return fmt.Sprintf("%q %v\n", state, known)
	default:
		d.Fatalf(s.t, "unknown command")
	}
	return s.effectLines()
}

func (s *script) listEndpoint(d *datadriven.TestData) {
	id := arg(s.t, d, "id")
	info := damsonwinch.Endpoint{
		Life: damsonwinch.Life{ID: id, StartedUnixMs: intArg(s.t, d, "born", 0)}, Box: "box-" + id, Address: id + ":1", Pool: "pool", Capacity: damsonwinch.Resources{
			MilliCPU: intArg(s.t, d, "cpu", 8000), MemoryMB: intArg(s.t, d, "memory", 8000), GPUs: intArg(s.t, d, "gpu", 0),
		},
		Draining: d.HasArg("draining"), Labels: listArg(s.t, d, "labels"), Rack: optionalArg(s.t, d, "rack"),
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

// submit hands in a job, one line of the input for each phase.
// jobArgs returns a call on a job: by the customer that a line names, or by anybody on a queue
// that asks for no key.
func (s *script) jobArgs(d *datadriven.TestData) wire.JobArgs {
	args := wire.JobArgs{Queue: "queue", Id: arg(s.t, d, "id"), Public: !d.HasArg("customer")}
	if !args.Public {
		args.Customer = arg(s.t, d, "customer")
	}
	return args
}

func (s *script) submit(d *datadriven.TestData) {
	spec := wire.JobSpec{Text: "text", FirstMs: intArg(s.t, d, "first", 0), EveryMs: intArg(s.t, d, "every", 0), Rounds: intArg(s.t, d, "rounds", 0)}
	if spec.Rounds > 0 {
		spec.FirstMs += int(s.now.UnixMilli())
	}
	for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
		phase := wire.Phase{Count: 1, Cpu: 1000, MemoryMb: 500, EstimateMs: 500}
		for _, word := range strings.Fields(line) {
			name, value, _ := strings.Cut(word, "=")
			count, _ := strconv.Atoi(value)
			switch name {
			case "count":
				phase.Count = count
			case "cpu":
				phase.Cpu = count
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
				d.Fatalf(s.t, "unknown word %s", word)
			}
		}
		spec.Phases = append(spec.Phases, phase)
	}
	s.lastCallID++
	args := s.jobArgs(d)
	args.Spec, args.ReceivedMs, args.WaitMs = &spec, int(s.now.UnixMilli()), intArg(s.t, d, "waits", 0)
	s.cell.Submit(s.now, args, s.lastCallID)
}

// commitNow puts the append on its way into the stream.
func (s *script) commitNow() string {
	s.now = s.now.Add(s.options.MinCommitInterval)
	if s.commit == nil {
		s.cell.Tick(s.now)
		s.collectEffects()
	}
	if s.commit == nil {
		return "nothing to commit\n"
	}
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
	number := s.commit.Number
	s.commit = nil
	s.cell.Committed(s.now, number)
	return "stream: " + strings.Join(keys, " ") + "\n" + s.effectLines()
}

// lifeArg returns the lifeArg that a line names, with @ before the moment of its birth.
func lifeArg(t *testing.T, d *datadriven.TestData) damsonwinch.Life {
	return damsonwinch.ParseLife(arg(t, d, "at"))
}

// answerPoll answers the answerPoll at an endpoint that is on its way; the endpoint's clock
// goes with the scenario's.
func (s *script) answerPoll(d *datadriven.TestData) string {
	at := arg(s.t, d, "at")
	sent, waits := s.polls[at]
	if !waits {
		return "no look is on its way to " + at + "\n"
	}
	delete(s.polls, at)
	found := damsonwinch.PollReply{StartedUnixMs: intArg(s.t, d, "born", sent.Endpoint.Life.StartedUnixMs), ClockMs: int(s.now.UnixMilli() - 1_700_000_000_000 + 5000)}
	for _, text := range listArg(s.t, d, "running") {
		parts := strings.Split(text+":0:0", ":")
		percent, _ := strconv.Atoi(parts[1])
		load, _ := strconv.Atoi(parts[2])
		found.Running = append(found.Running, damsonwinch.RunProgress{Run: parseRun(parts[0]), DonePercent: percent, Load: load})
	}
	for _, text := range listArg(s.t, d, "ended") {
		parts := strings.Split(text, ":")
		count, _ := strconv.Atoi(parts[0])
		found.Finished = append(found.Finished, damsonwinch.RunResult{Sequence: count, Run: parseRun(parts[1]), Ending: damsonwinch.Ending(parts[2])})
	}
	s.cell.Polled(s.now, sent.Endpoint.Life, sent.Number, found, errorArg(d, s.t))
	return s.effectLines()
}

// answerPermitRequest answers the last call for permits.
func (s *script) answerPermitRequest(d *datadriven.TestData) {
	var permits []damsonwinch.Permit
	for _, id := range listArg(s.t, d, "good") {
		permits = append(permits, damsonwinch.Permit{EndpointID: id, Ticket: "ticket-" + id})
	}
	s.cell.Advised(s.now, s.now, s.permitRequest, permits, s.queue.Advice.PermitTTL, errorArg(d, s.t))
}

// setAllowance has the planner say what the cell may have running of a customer.
func (s *script) setAllowance(d *datadriven.TestData) {
	s.lastAllowance++
	whole := damsonwinch.Resources{MilliCPU: intArg(s.t, d, "cap", 8000)}
	customer := arg(s.t, d, "customer")
	s.cell.SetCustomers(s.now, s.lastAllowance, []damsonwinch.Customer{{Name: customer, Cap: whole}})
	s.cell.ApplySync(s.now, wire.SyncArgs{
		Token: 1, CellToken: s.token, AllowanceNumber: s.lastAllowance, ConfigVersion: s.lastAllowance,
		Allowances: []wire.AllowanceRow{{Customer: customer, Amount: wire.Amount{Cpu: intArg(s.t, d, "cpu", 0)}, Cap: wire.Amount{Cpu: whole.MilliCPU}}},
	})
}

func (s *script) setBoxes(d *datadriven.TestData) {
	var boxes []damsonwinch.Box
	for _, id := range listArg(s.t, d, "up") {
		boxes = append(boxes, damsonwinch.Box{Name: "box-" + id, State: damsonwinch.BoxUp, EndpointID: id})
	}
	s.cell.SetBoxes(s.now, boxes)
}

// collectEffects keeps what is on its way and returns the rest as lines.
func (s *script) collectEffects() []string {
	var lines []string
	effects := s.cell.TakeEffects()
	for _, look := range effects.Polls {
		s.polls[look.Endpoint.Life.String()] = look
	}
	if effects.Commit != nil {
		s.commit = effects.Commit
		lines = append(lines, "append")
	}
	for _, reply := range effects.Replies {
		lines = append(lines, fmt.Sprintf("reply %d: %s %s", reply.CallID, reply.Reply.Outcome, reply.Reply.Reason))
	}
	for _, start := range effects.Starts {
		line := fmt.Sprintf("start %s attempt %d on %s", start.Request.Task, start.Request.Attempt, start.Endpoint.Life)
		if start.Request.Ticket != "" {
			line += " with " + start.Request.Ticket
		}
		lines = append(lines, line)
	}
	for _, stop := range effects.Stops {
		lines = append(lines, fmt.Sprintf("stop %s attempt %d on %s", stop.Request.Task, stop.Request.Attempt, stop.Endpoint.Life))
	}
	for _, pace := range effects.SpeedChanges {
		lines = append(lines, fmt.Sprintf("pace %s attempt %d on %s: %d%%", pace.Request.Task, pace.Request.Attempt, pace.Endpoint.Life, pace.Request.SpeedPercent))
	}
	for _, ask := range effects.PermitRequests {
		s.permitRequest = ask
		lines = append(lines, fmt.Sprintf("ask for advice on %s.%d.%d: %s", ask.Job, ask.Round, ask.Phase, strings.Join(ask.Endpoints, " ")))
	}
	if effects.ListBoxes {
		lines = append(lines, "ask for the list of boxes")
	}
	if effects.OwnershipLost {
		lines = append(lines, "deposed")
	}
	for _, note := range effects.LogLines {
		if (strings.HasPrefix(note.Message, "job ") || note.Message == "task given up") && note.Message != "job accepted" || strings.HasPrefix(note.Message, "endpoint ") && note.Message != "endpoint listed" && note.Message != "endpoint attached" {
			lines = append(lines, strings.TrimSpace(fmt.Sprintf("note: %s %s%s: %s", note.Message, note.Job, note.Endpoint, note.Reason)))
		}
	}
	return lines
}

func (s *script) effectLines() string {
	lines := s.collectEffects()
	if len(lines) == 0 {
		return "nothing\n"
	}
	return strings.Join(lines, "\n") + "\n"
}

func arg(t *testing.T, d *datadriven.TestData, name string) string {
	var value string
	d.ScanArgs(t, name, &value)
	return value
}

func optionalArg(t *testing.T, d *datadriven.TestData, name string) string {
	if !d.HasArg(name) {
		return ""
	}
	return arg(t, d, name)
}

func intArg(t *testing.T, d *datadriven.TestData, name string, usual int) int {
	if !d.HasArg(name) {
		return usual
	}
	var value int
	d.ScanArgs(t, name, &value)
	return value
}

// listArg reads an argument of one or more values.
func listArg(t *testing.T, d *datadriven.TestData, name string) []string {
	for _, given := range d.CmdArgs {
		if given.Key == name {
			return given.Vals
		}
	}
	return nil
}

// parseRun reads job.round.phase.index/attempt.
func parseRun(text string) damsonwinch.Run {
	name, attempt, _ := strings.Cut(text, "/")
	parts := strings.Split(name, ".")
	numbers := make([]int, 0, len(parts))
	for _, part := range parts[1:] {
		count, _ := strconv.Atoi(part)
		numbers = append(numbers, count)
	}
	count, _ := strconv.Atoi(attempt)
	return damsonwinch.Run{Task: damsonwinch.TaskID{Job: parts[0], Round: numbers[0], Phase: numbers[1], Index: numbers[2]}, Attempt: count}
}

// errorArg reads an error by its short name.
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
	default:
		return errors.New(name)
	}
}
