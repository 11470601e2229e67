package fold

import "damsonwinch/pkg/wire"

// Phase is a box's place in its life.
type Phase string

// Phases of a box. A box that has become empty goes on at once, to its new
// pool or to maintenance, so that empty is a record and not a phase.
const (
	Serving     Phase = "serving"
	Draining    Phase = "draining"
	Maintenance Phase = "maintenance"
)

// Box is one endpoint box as the log has it.
type Box struct {
	Info   wire.BoxInfo `json:"info"`
	Pool   string       `json:"pool"`
	Phase  Phase        `json:"phase"`
	Health wire.Health  `json:"health"`
	// Epoch rises with each change of pool, phase or sender.
	Epoch  int       `json:"epoch"`
	Sender SenderKey `json:"sender"`
	// Target is the pool a draining box goes to; its own for maintenance only.
	Target   string `json:"target,omitempty"`
	Maintain bool   `json:"maintain,omitempty"`
	// Maintainer is the keeper that carries out the maintenance.
	Maintainer KeeperKey `json:"carrier"`
	// MaintainedAt and Since are the log's times, in milliseconds since 1970,
	// of the end of the last maintenance and of the last change.
	MaintainedAt   int `json:"maintained_at"`
	EpochStartedAt int `json:"since"`
	// HealthChangedAt is the log's time of the last change of Health.
	HealthChangedAt int `json:"health_at,omitempty"`
	// HeldUntil is the log's time before which requests of a lost sender may
	// still run on the box.
	HeldUntil int `json:"held_until,omitempty"`
	// ChangedAtOffset is the offset of the record that last changed the box.
	ChangedAtOffset int `json:"changed_by"`
}

// KeeperKey names one incarnation of a keeper.
type KeeperKey struct {
	Node        string `json:"node,omitempty"`
	Incarnation int    `json:"keeper,omitempty"`
}

// Usable says whether the box counts for its pool's availability.
func (b Box) Usable() bool {
	return b.Phase == Serving && b.Health == wire.HealthUp && !b.Sender.IsNone()
}

// counts says whether the box isn't down. A free one needs no sender.
func (b Box) counts() bool {
	return b.Usable() || (b.Pool == FreePool && b.AcceptsWork())
}

// AcceptsWork says whether the box takes new work when its sender has any.
func (b Box) AcceptsWork() bool {
	return b.Phase == Serving && b.Health == wire.HealthUp
}

func (b Box) capacity() int {
	if b.Health == wire.HealthGone {
		return 0
	}
	return b.Info.Slots
}

// moved returns the box one epoch on.
func (b Box) moved(offset, at int) Box {
	b.Epoch++
	b.ChangedAtOffset = offset
	b.EpochStartedAt = at
	return b
}

// emptied returns the box after its drain, in its new pool or in maintenance.
func (b Box) emptied(offset, at int) Box {
	b = b.moved(offset, at)
	b.Phase = Serving
	if b.Maintain {
		b.Phase = Maintenance
	}
	b.Pool, b.Target, b.Maintain = b.Target, "", false
	return b
}

// withdrawn returns the box as it was before its drain.
func (b Box) withdrawn(offset, at int) Box {
	b = b.moved(offset, at)
	b.Phase, b.Target, b.Maintain = Serving, "", false
	return b
}
