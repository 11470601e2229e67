package ownership

import (
	"maps"
	"time"

	"damsonwinch/pkg/cellclaim"
	"damsonwinch/pkg/membership"
	"damsonwinch/pkg/shard"
)

// View is what a node knows about the owners of the cells.
type View struct {
	// Claims holds the newest claim of each cell, by cell.
	Claims map[string]cellclaim.Claim
	// Members are the nodes in the group, as they were last read. Receivers must not change the slice.
	Members []membership.Member
	// Announced are the nodes without a partition of the group, which Members doesn't hold, that have announced
	// themselves to this node.
	Announced []membership.Member
	// MembersComplete reports whether Members and Announced probably hold all members.
	MembersComplete bool
	// MaxMissing is the number of members that may be missing from both, as an estimate. It is 0 if they are complete.
	MaxMissing int
	// MembersReadAt is when the members were first read, or zero.
	MembersReadAt time.Time
	// MemberGeneration is the generation of the group that Members shows; negative before they have been
	// read.
	MemberGeneration int
	// Layout is the division of the pools into cells. It is the zero value until one is decided.
	Layout shard.Layout
	// list is the list that holds Members.
	list membership.List
	// ConfirmedAt is when the newest answered read of the claims was sent. At that time no newer claims
	// existed than those in Claims. It is zero until the first response, and after a suspension until the
	// next one.
	ConfirmedAt time.Time
}

// Owner returns the newest claim of a cell, and whether the cell has an owner: whether there is a claim
// and it isn't released.
func (v View) Owner(cell string) (cellclaim.Claim, bool) {
	claim, known := v.Claims[cell]
	return claim, known && !claim.Released
}

// publishView passes a copy of the current view to OnViewChange.
func (o *Ownership) publishView() {
	s := &o.state
	view := View{
		Claims: maps.Clone(s.claims), Members: s.memberList.Members(), Announced: s.announced.Members(s.memberList),
		MembersComplete: s.completeness.Complete(), MembersReadAt: s.membersFirstReadAt,
		MemberGeneration: s.listGeneration, list: s.memberList, Layout: s.layout, ConfirmedAt: s.confirmedAt,
	}
	if !view.MembersComplete {
		view.MaxMissing = s.memberList.MaxMissing(len(view.Announced))
	}
	o.deps.OnViewChange(view)
}
