package planbench

import (
	"damsonwinch/pkg/fleetstate"
	"damsonwinch/pkg/plan"
	"damsonwinch/pkg/wire"
)

// planUntilStable makes and carries out plans until a plan proposes nothing, but no more
// than maxRounds plans. It returns the number of plans that proposed something.
func (s *simulation) planUntilStable(maxRounds int) int {
	for round := range maxRounds {
		if !s.runRound() {
			return round
		}
	}
	return maxRounds
}

// runRound makes one plan and carries it out completely: draining boxes become empty,
// boxes in maintenance are rebooted, and boxes without a sender get one. It reports
// whether the plan proposed anything.
func (s *simulation) runRound() bool {
	s.nowMs += stepMs
	s.renewLeases()
	p := s.planner(s.state, plan.Options{})
	s.countMoves(s.appendBatch(p.Proposals...))
	s.appendBatch(s.proposeForBoxes(fleetstate.Draining, wire.KindEmpty)...)
	s.appendBatch(s.proposeForBoxes(fleetstate.Maintenance, wire.KindCarry)...)
	s.appendBatch(s.proposeForBoxes(fleetstate.Maintenance, wire.KindBack)...)
	s.assignSenders()
	return len(p.Proposals) > 0
}

// renewLeases renews the leases of all senders.
func (s *simulation) renewLeases() {
	var members []wire.Member
	for _, sender := range s.state.Senders() {
		members = append(members, s.member(sender.Zone))
	}
	s.appendBatch(wire.Proposal{Kind: wire.KindRenew, Members: members})
}

// assignSenders assigns senders to the boxes that have none.
func (s *simulation) assignSenders() {
	live := s.state.Senders()
	seen := map[string]bool{}
	for _, sender := range live {
		if !seen[sender.Zone] {
			seen[sender.Zone] = true
			s.appendBatch(plan.AssignSenders(s.state, sender.Zone, live, s.nowMs)...)
		}
	}
}

// proposeForBoxes returns a proposal of the given kind for every box in a phase.
func (s *simulation) proposeForBoxes(phase fleetstate.Phase, kind wire.Kind) []wire.Proposal {
	var proposals []wire.Proposal
	for _, box := range s.state.Boxes() {
		if box.Phase == phase {
			change := &wire.BoxChange{Box: box.Info.Name, Epoch: box.Epoch, Node: box.Sender.Node, Entry: box.Sender.Incarnation}
			proposals = append(proposals, wire.Proposal{Kind: kind, Change: change})
		}
	}
	return proposals
}

// countMoves counts the boxes that accepted drains take out of a pool. It also counts
// those of them that are not up: they have to leave, so the lower bound includes them.
func (s *simulation) countMoves(results []fleetstate.Result) {
	for _, result := range results {
		if !result.Accepted || result.Proposal.Kind != wire.KindDrain {
			continue
		}
		box, _ := s.state.Box(result.Subject)
		if box.Phase != fleetstate.Draining || box.Target == box.Pool {
			continue
		}
		s.moves++
		if box.Health != wire.HealthUp {
			s.evicted++
		}
	}
}

// setRackHealth sets the health of all boxes of a zone's rack.
func (s *simulation) setRackHealth(zone, rack string, health wire.Health) {
	var proposals []wire.Proposal
	for _, box := range s.state.Boxes() {
		if box.Info.Hall == zone && box.Info.Rack == rack {
			proposals = append(proposals, wire.Proposal{Kind: wire.KindHealth, Change: &wire.BoxChange{Box: box.Info.Name, Epoch: box.Epoch, Health: health}})
		}
	}
	s.appendBatch(proposals...)
}
