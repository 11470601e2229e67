package damsonwinch

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"
)

// Resources is an amount of capacity: what a box offers or a task needs.
type Resources struct {
	// MilliCPU is CPU capacity in thousandths of a core.
	MilliCPU int
	// MemoryMB is memory in mebibytes.
	MemoryMB int
	// GPUs is the number of accelerators.
	GPUs int
}

// Plus returns the sum of r and other.
func (r Resources) Plus(other Resources) Resources {
	return Resources{MilliCPU: r.MilliCPU + other.MilliCPU, MemoryMB: r.MemoryMB + other.MemoryMB, GPUs: r.GPUs + other.GPUs}
}

// Minus returns r minus other. Fields of the result may be negative.
func (r Resources) Minus(other Resources) Resources {
	return Resources{MilliCPU: r.MilliCPU - other.MilliCPU, MemoryMB: r.MemoryMB - other.MemoryMB, GPUs: r.GPUs - other.GPUs}
}

// Times returns count times r.
func (r Resources) Times(count int) Resources {
	return Resources{MilliCPU: r.MilliCPU * count, MemoryMB: r.MemoryMB * count, GPUs: r.GPUs * count}
}

// Holds reports whether need fits into the capacity r.
func (r Resources) Holds(need Resources) bool {
	return need.MilliCPU <= r.MilliCPU && need.MemoryMB <= r.MemoryMB && need.GPUs <= r.GPUs
}

// Endpoint is one life of the program that runs tasks on a box, as registered in the store.
type Endpoint struct {
	Life    Life
	Box     string
	Address string
	// Pool names the service whose tasks the endpoint runs.
	Pool string
	Zone string
	// Rack is the one of Labels that names the box's rack, or empty if none does.
	Rack     string
	Labels   []string
	Capacity Resources
	// Cold reports whether the endpoint still runs tasks more slowly than usual, because it has
	// started recently or had no work for long.
	Cold bool
	// Draining reports whether the endpoint accepts no new tasks and will exit on its own.
	Draining bool
	// Remaining is the shortest time after which a draining endpoint exits.
	Remaining time.Duration
	// Offset is the offset of this registration in its stream.
	Offset int
	// SeenAt is when this node read the latest version of the registration.
	SeenAt time.Time
}

// Differs reports whether two registrations of an endpoint differ in anything that owners need to know.
func (e Endpoint) Differs(other Endpoint) bool {
	return e.Life != other.Life || e.Draining != other.Draining || e.Cold != other.Cold || e.Address != other.Address || e.Pool != other.Pool ||
		e.Zone != other.Zone || e.Box != other.Box || e.Capacity != other.Capacity || !slices.Equal(e.Labels, other.Labels)
}

// TaskID identifies a task of a job.
type TaskID struct {
	Job string
	// Round counts the repetitions of a repeated job, from 0.
	Round int
	Phase int
	Index int
}

// String returns job, round, phase and index, separated by dots, as logs show them.
func (t TaskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Round, t.Phase, t.Index)
}

// Run identifies one attempt at a task on an endpoint.
type Run struct {
	Task TaskID
	// Attempt numbers the starts of the task, from 1.
	Attempt int
}

// StartRequest asks an endpoint to run a task.
type StartRequest struct {
	Run
	// Spec is the client's description of the work. Only the endpoint interprets it.
	Spec string
	// Token is the fencing token of the cell's owner.
	Token int
	// LeaseUntilMs is a time on the endpoint's clock, in milliseconds. The endpoint refuses
	// the request if it arrives later, and otherwise leases the run at least until then.
	LeaseUntilMs int
	// Checkpoint is where an earlier attempt stopped, or empty.
	Checkpoint string
	// Ticket proves that the advice service permits the run, if the queue has Queue.Advice set.
	Ticket string
}

// StopRequest asks an endpoint to end a run.
type StopRequest struct {
	Run
	Token int
}

// SpeedRequest sets the speed of a run.
type SpeedRequest struct {
	Run
	Token int
	// SpeedPercent is the speed at which the run is to work, in percent of its full speed.
	SpeedPercent int
}

// PollRequest asks an endpoint for its running and finished runs, and renews the lease of
// everything that runs there.
type PollRequest struct {
	Token int
	// AckedSequence is the Sequence of the last result that is durably recorded. The endpoint
	// discards that result and all before it.
	AckedSequence int
	// LeaseUntilMs is the time on the endpoint's clock, in milliseconds, until which the lease
	// is renewed; 0 doesn't renew it.
	LeaseUntilMs int
	// MaxWait is how long the endpoint may hold the request until a run ends.
	MaxWait time.Duration
}

// RunProgress describes a run in progress on an endpoint.
type RunProgress struct {
	Run
	Checkpoint string
	// DonePercent is how much of the task is done. A long-running task reports 100 once it is
	// at work.
	DonePercent int
	// Load is the tail latency in milliseconds if the task serves users, and otherwise the
	// CPU that it uses, in thousandths of a core.
	Load int
}

// Ending is the reason why a run ended.
type Ending string

// The reasons why a run ends. The tasks of a gang run only together.
const (
	EndedDone    Ending = "done"
	EndedFailed  Ending = "failed"
	EndedStopped Ending = "stopped"
	// EndedLapsed is the ending of a run whose lease expired.
	EndedLapsed Ending = "lapsed"
	// EndedGangFailed is the ending of a member of a gang after another member has ended.
	EndedGangFailed Ending = "broken"
	// EndedGangIncomplete is the ending of a member of a gang whose other members did not
	// start in time.
	EndedGangIncomplete Ending = "alone"
)

// RunResult describes a run that has ended on an endpoint.
type RunResult struct {
	Run
	// Sequence numbers the results of one life of an endpoint and rises by one with each.
	Sequence   int
	Ending     Ending
	Checkpoint string
}

// PollReply is an endpoint's reply to a PollRequest.
type PollReply struct {
	// StartedUnixMs is the start time of the life that answers, as in Life.StartedUnixMs.
	StartedUnixMs int
	// ClockMs is the reading of the endpoint's monotonic clock in milliseconds.
	ClockMs  int
	Running  []RunProgress
	Finished []RunResult
	// Truncated reports whether the endpoint may hold more results: a reply lists only the first ones. A run
	// that a truncated reply doesn't list may have ended.
	Truncated bool
	// IdentifiedOnly reports whether another life than the one that was polled has only been identified: it has not received
	// the request, and has renewed no lease and discarded no result because of it.
	IdentifiedOnly bool
}

// Errors with which an endpoint refuses a request. After each of them it has done nothing.
var (
	// ErrStaleToken means that a higher fencing token, which is that of a newer owner, has been
	// seen.
	ErrStaleToken = errors.New("a newer fencing token has been seen")
	// ErrStaleRun means that a newer attempt at the task, or a stop of this one, came before.
	ErrStaleRun = errors.New("the endpoint has seen a newer attempt or a stop")
	// ErrTooLate means that the request arrived after its LeaseUntilMs.
	ErrTooLate = errors.New("the request arrived after its deadline")
	// ErrNoCapacity means that the task exceeds the endpoint's free capacity now.
	ErrNoCapacity = errors.New("the endpoint has too little free capacity")
	// ErrInvalidTicket means that the request has no ticket of the advice service, or one that
	// has expired.
	ErrInvalidTicket = errors.New("the ticket is missing or has expired")
	// ErrOtherLife means that another life answers at the address.
	ErrOtherLife = errors.New("another endpoint answers at this address")
	// ErrUnhealthy means that the endpoint is overloaded or unavailable.
	ErrUnhealthy = errors.New("the endpoint is unhealthy")
	// ErrInvalid means that the request makes no sense to the endpoint.
	ErrInvalid = errors.New("the request is invalid")
	// ErrNotSent means that no connection was made, so that nothing has been requested.
	ErrNotSent = errors.New("the request was not sent")
)

// EndpointControl sends requests to endpoints. After an error that is none of the refusals
// above, the request may have been carried out or may still be carried out later.
type EndpointControl interface {
	// Start starts a run.
	Start(ctx context.Context, endpoint Endpoint, request StartRequest) error
	// Stop asks the endpoint to end a run. Poll returns the result once the run has ended.
	Stop(ctx context.Context, endpoint Endpoint, request StopRequest) error
	// SetSpeed sets the speed of a run.
	SetSpeed(ctx context.Context, endpoint Endpoint, request SpeedRequest) error
	// Poll returns the endpoint's running and finished runs, and renews their leases.
	Poll(ctx context.Context, endpoint Endpoint, request PollRequest) (PollReply, error)
}

// Permit is the advice service's permission to run a phase of a job on an endpoint.
type Permit struct {
	EndpointID string
	Ticket     string
}

// Advisor decides which endpoints may run a phase of a job, for queues with Queue.Advice set.
type Advisor interface {
	// Advise takes the IDs of endpoints. It returns a permit for each of them that may run the
	// phase, and how long the permits are valid.
	Advise(ctx context.Context, job string, round, phase int, endpoints []string) ([]Permit, time.Duration, error)
}
