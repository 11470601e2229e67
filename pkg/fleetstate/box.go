package fleetstate

import "damsonwinch/pkg/wire"

// Phase is the state of a box in its pool: it serves, drains or is being maintained.
type Phase string

// Phases of a box. There is no phase for an empty box: the record which reports
// that a draining box is empty also moves it to its target pool, where it serves
// or is maintained.
const (
	Serving     Phase = "serving"
	Draining    Phase = "draining"
	Maintenance Phase = "maintenance"
)

// Box is the state of an enrolled box, which runs an endpoint. All times are log
// times in milliseconds since 1970.
type Box struct {
	Info   wire.BoxInfo `json:"info"`
	Pool   string       `json:"pool"`
	Phase  Phase        `json:"phase"`
	Health wire.Health  `json:"health"`
	// Epoch rises with each change of the box except a change of its health. A
	// proposal about the box names the epoch on which it was decided, and is
	// refused at any other epoch.
	Epoch int `json:"epoch"`
	// Sender is the entry that sends requests to the box.
	Sender SenderKey `json:"sender"`
	// Target is the pool to which a draining box moves. It is the box's own pool
	// if the box drains for maintenance only.
	Target string `json:"target,omitempty"`
	// Maintain reports whether a draining box goes into maintenance once it is
	// empty.
	Maintain bool `json:"maintain,omitempty"`
	// Maintainer is the keeper that carries out the maintenance.
	Maintainer KeeperKey `json:"carrier"`
	// MaintainedAt is when the last maintenance ended or, if there was none, when
	// the box was enrolled.
	MaintainedAt int `json:"maintained_at"`
	// EpochStartedAt is when the box reached its present epoch.
	EpochStartedAt int `json:"since"`
	// HealthChangedAt is when Health last changed.
	HealthChangedAt int `json:"health_at,omitempty"`
	// HeldUntil is the time until which requests of a released sender may still
	// run on the box. The box can't be reported empty before that time.
	HeldUntil int `json:"held_until,omitempty"`
	// ChangedAtOffset is the offset of the record that last changed the box.
	ChangedAtOffset int `json:"changed_by"`
}

// KeeperKey identifies one incarnation of a keeper.
type KeeperKey struct {
	Node        string `json:"node,omitempty"`
	Incarnation int    `json:"keeper,omitempty"`
}

// Usable reports whether requests can run on the box: it serves, is up and has a
// sender. Only usable boxes count for their pool's availability.
func (b Box) Usable() bool {
	return b.Phase == Serving && b.Health == wire.HealthUp && !b.Sender.IsNone()
}

// isAvailable reports whether the box doesn't count as down in its pool: it is
// usable or, in the free pool, it would be usable with a sender.
func (b Box) isAvailable() bool {
	return b.Usable() || (b.Pool == FreePool && b.AcceptsWork())
}

// AcceptsWork reports whether the box serves and is up, so that its sender, if it
// has one, may send it new requests.
func (b Box) AcceptsWork() bool {
	return b.Phase == Serving && b.Health == wire.HealthUp
}

// capacity returns the slots that the box adds to the fleet's: none if it is
// gone.
func (b Box) capacity() int {
	if b.Health == wire.HealthGone {
		return 0
	}
	return b.Info.Slots
}

// withNextEpoch returns the box with the next epoch, which starts with the
// record at the given offset and log time.
func (b Box) withNextEpoch(offset, logTimeMs int) Box {
	b.Epoch++
	b.ChangedAtOffset = offset
	b.EpochStartedAt = logTimeMs
	return b
}

// drained returns the box after its drain has ended: in its target pool, and in
// maintenance if it drained for that.
func (b Box) drained(offset, logTimeMs int) Box {
	b = b.withNextEpoch(offset, logTimeMs)
	b.Phase = Serving
	if b.Maintain {
		b.Phase = Maintenance
	}
	b.Pool, b.Target, b.Maintain = b.Target, "", false
	return b
}

// drainCancelled returns the box with its drain cancelled, serving its old pool.
func (b Box) drainCancelled(offset, logTimeMs int) Box {
	b = b.withNextEpoch(offset, logTimeMs)
	b.Phase, b.Target, b.Maintain = Serving, "", false
	return b
}
