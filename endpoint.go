package damsonwinch

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Resources is room on a box, or what a task needs of it.
type Resources struct {
	// MilliCPU is in thousandths of a core.
	MilliCPU int
	// MemoryMB is in mebibytes.
	MemoryMB int
	// GPUs counts accelerators.
	GPUs int
}

// Plus returns the sum.
func (r Resources) Plus(other Resources) Resources {
	return Resources{MilliCPU: r.MilliCPU + other.MilliCPU, MemoryMB: r.MemoryMB + other.MemoryMB, GPUs: r.GPUs + other.GPUs}
}

// Minus returns the difference.
func (r Resources) Minus(other Resources) Resources {
	return Resources{MilliCPU: r.MilliCPU - other.MilliCPU, MemoryMB: r.MemoryMB - other.MemoryMB, GPUs: r.GPUs - other.GPUs}
}

// Holds says whether a need fits into this room.
func (r Resources) Holds(need Resources) bool {
	return need.MilliCPU <= r.MilliCPU && need.MemoryMB <= r.MemoryMB && need.GPUs <= r.GPUs
}

// Endpoint is one life of the program that runs tasks on a box.
type Endpoint struct {
	Life    Life
	Box     string
	Address string
	// Pool is the service whose tasks it runs.
	Pool string
	Zone string
	// Rack is the label that names its rack, empty if none does.
	Rack     string
	Labels   []string
	Capacity Resources
	// Draining says that it will end on its own and takes no new work.
	Draining bool
	// Remaining is the least time until it ends, when it drains.
	Remaining time.Duration
	// Offset is where the store has this entry.
	Offset int
	// SeenAt is when this node read the entry as it was last written.
	SeenAt time.Time
}

// TaskID names a task.
type TaskID struct {
	Job string
	// Round counts the times that a repeated job runs, from 0.
	Round int
	Phase int
	Index int
}

// String returns the name as logs show it.
func (t TaskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Round, t.Phase, t.Index)
}

// Run is one attempt at a task, as an endpoint knows it.
type Run struct {
	Task TaskID
	// Attempt rises with each start of the task, from 1.
	Attempt int
}

// StartRequest asks an endpoint to run a task.
type StartRequest struct {
	Run
	// Spec is the client's text that tells the endpoint what to do.
	Spec string
	// Token is the fencing token of the cell's owner.
	Token int
	// LeaseUntilMs is the endpoint's clock, in milliseconds, at which a start that is
	// late is refused; what runs is leased at least until then.
	LeaseUntilMs int
	// Checkpoint is where an earlier attempt left off, or empty.
	Checkpoint string
	// Ticket is the advice service's permission, where the queue needs one.
	Ticket string
}

// StopRequest asks an endpoint to end a run.
type StopRequest struct {
	Run
	Token int
}

// SpeedRequest sets the share of its speed at which a run works.
type SpeedRequest struct {
	Run
	Token        int
	SpeedPercent int
}

// PollRequest asks an endpoint for what runs and what has ended, and prolongs the
// lease of all that runs there.
type PollRequest struct {
	Token int
	// AckedSequence is the number of the last end that is safely recorded; the endpoint
	// forgets it and those before.
	AckedSequence int
	// LeaseUntilMs prolongs the lease, on the endpoint's clock in milliseconds; 0 leaves
	// it as it is.
	LeaseUntilMs int
	// MaxWait is how long the endpoint waits for an end before it answers.
	MaxWait time.Duration
}

// RunProgress is a run that an endpoint has in hand.
type RunProgress struct {
	Run
	Checkpoint string
	// DonePercent is how much of its work is done; a lasting task is at work at 100.
	DonePercent int
	// Load is the tail latency in milliseconds of a task that serves users, and
	// the CPU in use, in thousandths of a core, of any other.
	Load int
}

// Ending says how a run ended.
type Ending string

// The endings of a run.
const (
	EndedDone    Ending = "done"
	EndedFailed  Ending = "failed"
	EndedStopped Ending = "stopped"
	// EndedLapsed is the end of a run whose lease ran out.
	EndedLapsed Ending = "lapsed"
	// EndedGangFailed is the end of a gang's member after another member's.
	EndedGangFailed Ending = "broken"
	// EndedGangIncomplete is the end of a gang's member that waited in vain for the others.
	EndedGangIncomplete Ending = "alone"
)

// RunResult is a run that has ended on an endpoint.
type RunResult struct {
	Run
	// Sequence rises by one with each end within one life of an endpoint.
	Sequence   int
	Ending     Ending
	Checkpoint string
}

// PollReply is an endpoint's answer to a look.
type PollReply struct {
	// StartedUnixMs is when the life that answers was born, as in its name.
	StartedUnixMs int
	// ClockMs is the endpoint's steady clock in milliseconds.
	ClockMs  int
	Running  []RunProgress
	Finished []RunResult
}

// Refusals of an endpoint: in each case it has done nothing.
var (
	// ErrStaleToken says that the endpoint has seen a newer owner's token.
	ErrStaleToken = errors.New("the endpoint follows a newer owner")
	// ErrStaleRun says that a newer attempt, or a stop of this one, came before.
	ErrStaleRun = errors.New("the endpoint has seen a newer attempt or a stop")
	// ErrTooLate says that the order came after its deadline.
	ErrTooLate = errors.New("the order came too late")
	// ErrNoCapacity says that the task doesn't fit the endpoint now.
	ErrNoCapacity = errors.New("the endpoint has no room")
	// ErrInvalidTicket says that the advice's permission is missing or has ended.
	ErrInvalidTicket = errors.New("the endpoint wants another ticket")
	// ErrOtherLife says that another life answers at the address.
	ErrOtherLife = errors.New("another endpoint answers at this address")
	// ErrUnhealthy says that the endpoint is unwell.
	ErrUnhealthy = errors.New("the endpoint is unwell")
	// ErrInvalid says that the endpoint can't make sense of the order.
	ErrInvalid = errors.New("the endpoint refuses the order as invalid")
	// ErrNotSent says that no connection came about, so that nothing has been ordered.
	ErrNotSent = errors.New("not sent")
)

// EndpointControl gives orders to endpoints. An error that is none of the
// refusals leaves open whether the order was carried out, now or later.
type EndpointControl interface {
	// Start asks for a run.
	Start(ctx context.Context, at Endpoint, order StartRequest) error
	// Stop asks for the end of a run; the end is listed once it has ended.
	Stop(ctx context.Context, at Endpoint, order StopRequest) error
	// SetSpeed sets how fast a run works.
	SetSpeed(ctx context.Context, at Endpoint, order SpeedRequest) error
	// Poll asks what runs and prolongs leases.
	Poll(ctx context.Context, at Endpoint, order PollRequest) (PollReply, error)
}

// Permit is the advice service's permission for a phase of a job on an endpoint.
type Permit struct {
	EndpointID string
	Ticket     string
}

// Advisor tells which endpoints may run a phase of a job, where a queue's policy
// asks for that.
type Advisor interface {
	// Advise returns the permits among the named endpoints and how long they hold.
	Advise(ctx context.Context, job string, round, phase int, endpoints []string) ([]Permit, time.Duration, error)
}
