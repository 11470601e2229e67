package planbench

import (
	"damsonwinch/pkg/fold"
	"damsonwinch/pkg/plan"
	"damsonwinch/pkg/wire"
)

// settle plans and carries out until there is nothing left to do. It returns the
// number of rounds in which something was done.
func (b *bench) settle(mostRounds int) int {
	for round := range mostRounds {
		if !b.round() {
			return round
		}
	}
	return mostRounds
}

// round lets one plan be carried out whole: drains, empties, reboots, senders.
func (b *bench) round() bool {
	b.at += stepMs
	b.renew()
	made := b.planner(b.state, plan.Options{})
	b.countMoves(b.append(made.Proposals...))
	b.append(b.steps(fold.Draining, wire.KindEmpty)...)
	b.append(b.steps(fold.Maintenance, wire.KindCarry)...)
	b.append(b.steps(fold.Maintenance, wire.KindBack)...)
	b.assign()
	return len(made.Proposals) > 0
}

func (b *bench) renew() {
	var members []wire.Member
	for _, sender := range b.state.Senders() {
		members = append(members, b.member(sender.Zone))
	}
	b.append(wire.Proposal{Kind: wire.KindRenew, Members: members})
}

func (b *bench) assign() {
	live := b.state.Senders()
	seen := map[string]bool{}
	for _, sender := range live {
		if !seen[sender.Zone] {
			seen[sender.Zone] = true
			b.append(plan.AssignSenders(b.state, sender.Zone, live, b.at)...)
		}
	}
}

// steps proposes one step for every box of a phase.
func (b *bench) steps(phase fold.Phase, kind wire.Kind) []wire.Proposal {
	var proposals []wire.Proposal
	for _, box := range b.state.Boxes() {
		if box.Phase == phase {
			change := &wire.BoxChange{Box: box.Info.Name, Epoch: box.Epoch, Node: box.Sender.Node, Entry: box.Sender.Incarnation}
			proposals = append(proposals, wire.Proposal{Kind: kind, Change: change})
		}
	}
	return proposals
}

// countMoves counts boxes that leave a pool. A box that has failed must leave, so
// that the bound counts it too.
func (b *bench) countMoves(verdicts []fold.Result) {
	for _, verdict := range verdicts {
		if !verdict.Accepted || verdict.Proposal.Kind != wire.KindDrain {
			continue
		}
		box, _ := b.state.Box(verdict.Subject)
		if box.Phase != fold.Draining || box.Target == box.Pool {
			continue
		}
		b.moves++
		if box.Health != wire.HealthUp {
			b.evicted++
		}
	}
}

// failRack takes all boxes of the rack in which a box stands off the list.
func (b *bench) setRack(hall, rack string, health wire.Health) {
	var proposals []wire.Proposal
	for _, box := range b.state.Boxes() {
		if box.Info.Hall == hall && box.Info.Rack == rack {
			proposals = append(proposals, wire.Proposal{Kind: wire.KindHealth, Change: &wire.BoxChange{Box: box.Info.Name, Epoch: box.Epoch, Health: health}})
		}
	}
	b.append(proposals...)
}
