package planner

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/supply"
	"damsonwinch/pkg/wire"
)

func (p *Planner) recallOrder(record damsonwinch.Record) error {
	var order wire.OrderRecord
	if err := json.Unmarshal(record.Value, &order); err != nil {
		return fmt.Errorf("read %s: %w", record.Key, err)
	}
	p.supply.Recall(order)
	return nil
}

// ParsePlacement reads from a record of a planner's stream to which shard an order takes its box;
// the box is empty for a record that is of no order, and the placement nil for an order that
// tells none.
func ParsePlacement(record damsonwinch.Record) (box string, placement *shard.Placement, err error) {
	if !strings.HasPrefix(record.Key, orderPrefix) {
		return "", nil, nil
	}
	var order wire.OrderRecord
	if err := json.Unmarshal(record.Value, &order); err != nil {
		return "", nil, fmt.Errorf("read %s: %w", record.Key, err)
	}
	return order.Box, supply.PlacementOf(order), nil
}

func (p *Planner) recallWave(record damsonwinch.Record) error {
	var wave wire.WaveRecord
	if err := json.Unmarshal(record.Value, &wave); err != nil {
		return fmt.Errorf("read %s: %w", record.Key, err)
	}
	p.supply.RecallWave(p.deps.Clock.Now(), wave)
	return nil
}

// record puts an order, and the progress of its wave, among the records to be
// appended before it is given.
func (p *Planner) record(order supply.Order, now time.Time) {
	p.add(orderPrefix+order.Box, wire.OrderRecord{
		Box: order.Box, Pool: order.Pool, Wave: order.Wave, AtMs: int(now.UnixMilli()), Endpoint: order.Endpoint.String(), Cause: order.Cause,
		Placement: &wire.PlacementRecord{Shard: order.Shard, Before: order.Before},
	})
	if order.Wave > 0 {
		p.add(wavePrefix+strconv.Itoa(order.Wave), p.supply.WaveRecord(order.Wave))
	}
	p.afterward = append(p.afterward, order)
}

func (p *Planner) add(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		p.deps.Logger.WithError(err).WithField("key", key).Error("record not encoded")
		return
	}
	p.pending = append(p.pending, damsonwinch.Record{Key: key, Value: text})
}

// flush begins the next append, unless one is on its way.
func (p *Planner) flush() {
	if p.appending || len(p.pending) == 0 {
		return
	}
	p.appending = true
	records, done, fence := p.pending, appended{orders: p.afterward, raised: p.raised}, p.writer.Next()
	p.pending, p.afterward, p.raised = nil, nil, nil
	p.group.Go(func() error {
		done.err = p.writer.Append(p.ctx, records, fence)
		p.send(done)
		return nil
	})
}

// recorded gives the orders whose records are in the stream.
func (p *Planner) recorded(m appended) error {
	p.appending = false
	if m.err != nil {
		return m.err
	}
	p.allotter.MarkRecorded(m.raised)
	p.tellNews()
	for _, order := range m.orders {
		p.order(order)
	}
	p.flush()
	return nil
}
