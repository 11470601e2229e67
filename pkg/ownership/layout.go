package ownership

import (
	"context"

	"github.com/sirupsen/logrus"

	"damsonwinch"
	"damsonwinch/pkg/cellclaim"
	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/wire"
)

// layoutProposed asks run to put a layout in force.
type layoutProposed struct{ layout shard.Layout }

// layoutAppended is the result of appending a layout.
type layoutAppended struct {
	layout shard.Layout
	end    int
	err    error
}

// ProposeLayout puts a layout in force unless there is one already. The next view shows the layout
// that is in force.
func (o *Ownership) ProposeLayout(layout shard.Layout) {
	o.send(layoutProposed{layout: layout})
}

// writeLayout starts to append the proposed layout at the end of the claims that have been read. If
// two nodes propose one at the same time, one of the appends conflicts.
func (o *Ownership) writeLayout() {
	s := &o.state
	if s.layout.Decided() || !s.proposedLayout.Decided() {
		return
	}
	layout, end := s.proposedLayout, s.claimsEnd
	s.appendPending = true
	o.group.Go(func() error {
		ctx, cancel := context.WithTimeout(o.ctx, callTimeout)
		defer cancel()
		o.send(layoutAppended{layout: layout, end: end, err: o.writer.AppendLayout(ctx, layout, end)})
		return nil
	})
}

// handleLayoutAppended handles the result of appending a layout.
func (o *Ownership) handleLayoutAppended(m layoutAppended) {
	if !o.finishAppend(m.err, m.end, o.deps.Logger.WithField("cell", cellclaim.LayoutKey)) {
		return
	}
	o.setLayout(m.layout)
	o.publishView()
}

// applyLayout applies the record of the layout.
func (o *Ownership) applyLayout(record damsonwinch.Record) {
	layout, err := cellclaim.DecodeLayout(record)
	if err != nil {
		o.deps.Logger.WithError(err).Error("layout cannot be decoded")
		return
	}
	o.setLayout(layout)
}

// adoptPeerLayout adopts the layout in another node's reply if this node has none, and reports
// whether it did.
func (o *Ownership) adoptPeerLayout(received *wire.Layout) bool {
	if received == nil || o.state.layout.Decided() {
		return false
	}
	o.setLayout(shard.New(received.Shards, received.Pools))
	return true
}

// setLayout puts a layout in force, and logs it unless it was in force already.
func (o *Ownership) setLayout(layout shard.Layout) {
	if o.state.layout.Equal(layout) {
		return
	}
	o.state.layout = layout
	o.deps.Logger.WithFields(logrus.Fields{"shards": layout.Shards, "pools": layout.Pools}).Info("layout of cells in force")
}
