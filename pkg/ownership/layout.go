package ownership

import (
	"encoding/json"
	"time"

	"github.com/sirupsen/logrus"

	"damsonwinch"
	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/wire"
)

// layoutKey is the key of the layout in the stream of claims. No cell has this name.
const layoutKey = "@layout"

// steadyTime is for how long the number of members must have stayed the same for their
// list to be taken for complete: the group shows more of them from one reading to the
// next until it is spread over enough topics. 147 nodes stood still at 95 for a second
// while four of the eighteen strongest were missing, and cells for 60 owners were laid out.
const steadyTime = 2 * time.Second

// layoutDecided asks for a layout to be put in force.
type layoutDecided struct{ layout shard.Layout }

// layoutWritten is the answer to the append of a layout.
type layoutWritten struct {
	layout shard.Layout
	end    int
	err    error
}

// ProposeLayout puts a layout in force, unless there is one.
func (o *Ownership) ProposeLayout(layout shard.Layout) {
	o.send(layoutDecided{layout: layout})
}

// writeLayout appends the layout that is wanted, after all claims that are known, so that
// of two nodes that decide at once one finds out.
func (o *Ownership) writeLayout() {
	s := &o.state
	if s.layout.Decided() || !s.layoutWanted.Decided() {
		return
	}
	layout, end := s.layoutWanted, s.end
	s.claiming = true
	o.group.Go(func() error {
		o.send(layoutWritten{layout: layout, end: end, err: o.appendLayout(layout, end)})
		return nil
	})
}

func (o *Ownership) appendLayout(layout shard.Layout, at int) error {
	value, err := json.Marshal(wire.Layout{Shards: layout.Shards, Pools: layout.Pools})
	if err != nil {
		return err
	}
	return o.appendRecord(damsonwinch.Record{Key: layoutKey, Value: value}, at)
}

// takeWritten takes the answer to the append of a layout.
func (o *Ownership) takeWritten(m layoutWritten) {
	if !o.takeAppended(m.err, m.end, o.deps.Logger.WithField("cell", layoutKey)) {
		return
	}
	o.setLayout(m.layout)
	o.publish()
}

// takeLayout takes the record of a layout.
func (o *Ownership) takeLayout(record damsonwinch.Record) {
	var found wire.Layout
	if err := json.Unmarshal(record.Value, &found); err != nil {
		o.deps.Logger.WithError(err).Error("layout not understood")
		return
	}
	o.setLayout(shard.NewLayout(found.Shards, found.Pools))
}

// hearLayout takes the layout that another node knows, and says whether it is new here.
func (o *Ownership) hearLayout(heard *wire.Layout) bool {
	if heard == nil || o.state.layout.Decided() {
		return false
	}
	o.setLayout(shard.NewLayout(heard.Shards, heard.Pools))
	return true
}

func (o *Ownership) setLayout(layout shard.Layout) {
	if o.state.layout.Equal(layout) {
		return
	}
	o.state.layout = layout
	o.deps.Logger.WithFields(logrus.Fields{"shards": layout.Shards, "pools": layout.Pools}).Info("layout of cells in force")
}

// noteSteady notes since when the list of members has been as long as it is. One that may hide
// members counts once the group can't be spread over more topics: it gets no better.
func (o *Ownership) noteSteady(m membersListed) {
	s := &o.state
	hides := m.crowded && m.topics < mostTopics
	if hides || len(m.members) != len(s.roster.members) || m.askedAt.Before(o.settledAt()) {
		s.steadySince = m.askedAt
	}
	s.steady = m.askedAt.Sub(s.steadySince) >= steadyTime
}
