package planner

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"damsonwinch"
	"damsonwinch/pkg/boxplan"
	"damsonwinch/pkg/idle"
)

// requestBoxList starts a request for the list of boxes.
func (p *Planner) requestBoxList(now time.Time) {
	p.group.Go(func() error {
		ctx, cancel := idle.WithTimeout(p.ctx, p.deps.Clock, callTimeout, callTimeout)
		defer cancel(nil)
		boxes, err := p.deps.Fleet.Boxes(ctx)
		p.send(boxesListed{boxes: boxes, requestedAt: now, err: err})
		return nil
	})
}

// logRowProblems logs which rows of the list of boxes are invalid: each one once for as long as it stays.
func (p *Planner) logRowProblems(boxes []damsonwinch.Box) {
	found := map[string]string{}
	for _, box := range boxes {
		if box.Problem == "" {
			continue
		}
		row := box.Name + " " + box.EndpointID
		found[row] = box.Problem
		if p.rowProblems[row] != box.Problem {
			p.deps.Logger.WithFields(logrus.Fields{"box": box.Name, "endpoint": box.EndpointID, "why": box.Problem}).Error("box known only in part: its row in the list is invalid")
		}
	}
	p.rowProblems = found
}

// sendRecorded sends an order that has been recorded, unless the life that it ends has exited or is in use again.
func (p *Planner) sendRecorded(order boxplan.Order) {
	if !p.boxPlan.HandleRecorded(order) {
		p.deps.Logger.WithFields(logrus.Fields{"box": order.Box, "pool": order.Pool, "wave": order.Wave, "endpoint": order.Life.String()}).Warn("order on box not sent: the endpoint has exited or is in use again since it was decided")
		return
	}
	p.sendOrder(order)
}

// sendOrder sends the platform an order that has been recorded.
func (p *Planner) sendOrder(order boxplan.Order) {
	p.deps.Logger.WithFields(logrus.Fields{"box": order.Box, "pool": order.Pool, "wave": order.Wave, "why": order.Cause}).Info("order on box")
	issuer := damsonwinch.Issuer{Node: p.options.Node, Token: p.options.Token}
	p.group.Go(func() error {
		ctx, cancel := context.WithTimeout(p.ctx, callTimeout)
		defer cancel()
		var err error
		if order.Pool == "" {
			err = p.deps.Fleet.Maintain(ctx, issuer, order.Box, order.Wave)
		} else {
			err = p.deps.Fleet.Move(ctx, issuer, order.Box, order.Pool)
		}
		p.send(orderResultReceived{order: order, err: err})
		return nil
	})
}

// handleOrderResult handles the platform's response to an order. ErrStaleToken stops the planner.
func (p *Planner) handleOrderResult(now time.Time, m orderResultReceived) {
	fields := logrus.Fields{"box": m.order.Box, "pool": m.order.Pool, "wave": m.order.Wave}
	if m.err != nil {
		p.deps.Logger.WithError(m.err).WithFields(fields).Warn("order on box not carried out")
	}
	if p.boxPlan.HandleOrderResult(now, m.order, m.err) {
		p.queueAcceptance(m.order, now)
		p.flush()
	}
	if errors.Is(m.err, damsonwinch.ErrStaleToken) {
		p.deps.Logger.Warn("planning lost: a newer planner has ordered")
		p.cancel()
	}
}

// reportWaves reports to the operator which waves have started or been completed.
func (p *Planner) reportWaves() {
	for _, report := range p.boxPlan.PendingWaveReports() {
		if p.reportInFlight[report.Wave] {
			continue
		}
		p.reportInFlight[report.Wave] = true
		p.group.Go(func() error {
			stream, record := p.deps.WaveReport(report.Wave, report.Completed)
			ctx, cancel := context.WithTimeout(p.ctx, callTimeout)
			defer cancel()
			_, err := p.deps.Store.Append(ctx, stream, []damsonwinch.Record{record}, damsonwinch.Fence{})
			p.send(waveReported{wave: report.Wave, completed: report.Completed, err: err})
			return nil
		})
	}
}
