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

func (p *Planner) loadOrder(record damsonwinch.Record) error {
	var order wire.OrderRecord
	if err := json.Unmarshal(record.Value, &order); err != nil {
		return fmt.Errorf("read %s: %w", record.Key, err)
	}
	p.supply.LoadOrder(order)
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
	return order.Box, supply.PlacementFromRecord(order), nil
}

func (p *Planner) loadWave(record damsonwinch.Record) error {
	var wave wire.WaveRecord
	if err := json.Unmarshal(record.Value, &wave); err != nil {
		return fmt.Errorf("read %s: %w", record.Key, err)
	}
	p.supply.LoadWave(p.deps.Clock.Now(), wave)
	return nil
}

// queueOrder puts an order, and the progress of its wave, among the records to be
// appended before it is given.
func (p *Planner) queueOrder(order supply.Order, now time.Time) {
	p.queueRecord(orderPrefix+order.Box, wire.OrderRecord{
		Box: order.Box, Pool: order.Pool, Wave: order.Wave, AtMs: int(now.UnixMilli()), Endpoint: order.Life.String(), Cause: order.Cause,
		Placement: &wire.PlacementRecord{Shard: order.Shard, Before: order.PreviousShard},
	})
	if order.Wave > 0 {
		p.queueRecord(wavePrefix+strconv.Itoa(order.Wave), p.supply.WaveRecord(order.Wave))
	}
	p.pendingOrders = append(p.pendingOrders, order)
}

func (p *Planner) queueRecord(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		p.deps.Logger.WithError(err).WithField("key", key).Error("record not encoded")
		return
	}
	p.pendingRecords = append(p.pendingRecords, damsonwinch.Record{Key: key, Value: text})
}

// flush begins the next append, unless one is on its way.
func (p *Planner) flush() {
	if p.appendInFlight || len(p.pendingRecords) == 0 {
		return
	}
	p.appendInFlight = true
	records, done, fence := p.pendingRecords, appended{orders: p.pendingOrders, raised: p.pendingCustomers}, p.writer.Next()
	p.pendingRecords, p.pendingOrders, p.pendingCustomers = nil, nil, nil
	p.group.Go(func() error {
		done.err = p.writer.Append(p.ctx, records, fence)
		p.send(done)
		return nil
	})
}

// handleAppended gives the orders whose records are in the stream.
func (p *Planner) handleAppended(m appended) error {
	p.appendInFlight = false
	if m.err != nil {
		return m.err
	}
	p.allotter.MarkRecorded(m.raised)
	p.sendAllowances()
	for _, order := range m.orders {
		p.sendOrder(order)
	}
	p.flush()
	return nil
}
