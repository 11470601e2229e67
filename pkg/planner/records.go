package planner

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/boxplan"
	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/wire"
)

// loadOrder takes over an order from the record of an earlier planner.
func (p *Planner) loadOrder(record damsonwinch.Record) error {
	var order wire.OrderRecord
	if err := json.Unmarshal(record.Value, &order); err != nil {
		return fmt.Errorf("decode record %s: %w", record.Key, err)
	}
	p.boxPlan.LoadOrder(order)
	return nil
}

// ParsePlacement parses a record of a planner's stream. If it is an order on a box, ParsePlacement returns
// the box and its placement by that order, nil if the record has no placement. For records of other kinds
// the box is empty.
func ParsePlacement(record damsonwinch.Record) (box string, placement *shard.Placement, err error) {
	if !strings.HasPrefix(record.Key, orderPrefix) {
		return "", nil, nil
	}
	var order wire.OrderRecord
	if err := json.Unmarshal(record.Value, &order); err != nil {
		return "", nil, fmt.Errorf("decode record %s: %w", record.Key, err)
	}
	return order.Box, boxplan.PlacementFromRecord(order), nil
}

// loadWave takes over the progress of a wave from the record of an earlier planner.
func (p *Planner) loadWave(record damsonwinch.Record) error {
	var wave wire.WaveRecord
	if err := json.Unmarshal(record.Value, &wave); err != nil {
		return fmt.Errorf("decode record %s: %w", record.Key, err)
	}
	p.boxPlan.LoadWave(p.deps.Clock.Now(), wave)
	return nil
}

// queueOrder queues the records of an order, decided at now, and of the progress of its wave for the next
// append. The order is sent to the platform once they have been appended.
func (p *Planner) queueOrder(order boxplan.Order, now time.Time) {
	p.queueRecord(orderPrefix+order.Box, order.Record(now))
	if order.Wave > 0 {
		p.queueWave(p.boxPlan.WaveRecord(order.Wave))
	}
	p.pendingOrders = append(p.pendingOrders, order)
}

// queueAcceptance queues the record of an order that the platform has accepted at now for the next append.
func (p *Planner) queueAcceptance(order boxplan.Order, now time.Time) {
	record := order.Record(now)
	record.Accepted = true
	p.queueRecord(orderPrefix+order.Box, record)
}

// queueWave queues the record of a wave's progress for the next append.
func (p *Planner) queueWave(wave wire.WaveRecord) {
	p.queueRecord(wavePrefix+strconv.Itoa(wave.Wave), wave)
}

// queueRecord queues a record, whose value is encoded as JSON, for the next append.
func (p *Planner) queueRecord(key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		p.deps.Logger.WithError(err).WithField("key", key).Error("record not encoded")
		return
	}
	p.pendingRecords = append(p.pendingRecords, damsonwinch.Record{Key: key, Value: encoded})
}

// flush starts to append the queued records. If an append is in progress it does nothing, since
// handleAppended calls flush again.
func (p *Planner) flush() {
	if p.appendInFlight || len(p.pendingRecords) == 0 {
		return
	}
	p.appendInFlight = true
	records, message, fence := p.pendingRecords, appended{orders: p.pendingOrders, customers: p.pendingCustomers}, p.writer.NextFence()
	p.pendingRecords, p.pendingOrders, p.pendingCustomers = nil, nil, nil
	p.group.Go(func() error {
		message.err = p.writer.Append(p.ctx, records, fence)
		p.send(message)
		return nil
	})
}

// handleAppended handles the result of an append. It sends the raised allowances whose records have been appended, and
// of the orders those that may still be sent. If the append has failed, it returns the error, which stops the planner.
func (p *Planner) handleAppended(m appended) error {
	p.appendInFlight = false
	if m.err != nil {
		return m.err
	}
	p.allocator.MarkRecorded(m.customers)
	p.sendAllowances()
	for _, order := range m.orders {
		p.sendRecorded(order)
	}
	p.flush()
	return nil
}
