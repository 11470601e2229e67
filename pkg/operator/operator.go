// Package operator is the operator's side: it publishes edits of the table
// through a keeper and reads what became of them.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/call"
	"damsonwinch/pkg/fold"
	"damsonwinch/pkg/settings"
	"damsonwinch/pkg/wire"
)

const (
	callTimeout = 5 * time.Second
	pollEvery   = 50 * time.Millisecond
)

// ErrUndecided says that an edit was handed over and not seen in the log in
// time. It may still be accepted.
var ErrUndecided = errors.New("the edit is not in the log yet and may still be accepted; look with 'dwctl table show' before you edit again")

// RefusedError is an edit that the fold refused.
type RefusedError struct {
	Reason string
}

// Error returns the reason.
func (e *RefusedError) Error() string {
	return "refused: " + e.Reason
}

// Client speaks with one keeper.
type Client struct {
	keeper *call.Client
	clock  damsonwinch.Clock
	empty  fold.State
	author string
	count  int
}

// New returns a client that edits in the author's name. Empty is the state
// before the first record.
func New(address string, dial damsonwinch.Dial, clock damsonwinch.Clock, empty fold.State, author string) *Client {
	return &Client{keeper: call.New(address, dial, clock), clock: clock, empty: empty, author: author}
}

// Close closes the connection.
func (c *Client) Close() {
	c.keeper.Close()
}

// Status returns what the keeper has in force.
func (c *Client) Status(ctx context.Context, args wire.StatusArgs) (wire.StatusReply, error) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply wire.StatusReply
	err := c.keeper.Do(limited, "Keeper.Status", args, &reply)
	return reply, err
}

const noAudit = -1

// State returns the keeper's folded state.
func (c *Client) State(ctx context.Context) (fold.State, error) {
	reply, err := c.Status(ctx, wire.StatusArgs{AuditFrom: noAudit, WithState: true})
	if err != nil {
		return c.empty, err
	}
	var snapshot fold.Snapshot
	if err := json.Unmarshal([]byte(reply.State), &snapshot); err != nil {
		return c.empty, fmt.Errorf("read state of %s: %w", c.keeper.Peer(), err)
	}
	return c.empty.Restore(snapshot)
}

// Publish makes the table as wanted. The edit names the cells that differ from
// the table in force, so that others' edits of other cells stand.
func (c *Client) Publish(ctx context.Context, wanted settings.Table, cause string) (wire.AuditLine, error) {
	state, err := c.State(ctx)
	if err != nil {
		return wire.AuditLine{}, err
	}
	edit, err := state.Table().Diff(wanted)
	if err != nil {
		return wire.AuditLine{}, err
	}
	return c.Edit(ctx, edit, cause)
}

// Edit hands an edit over and waits until the log has decided.
func (c *Client) Edit(ctx context.Context, edit wire.Edit, cause string) (wire.AuditLine, error) {
	before, err := c.Status(ctx, wire.StatusArgs{AuditFrom: noAudit})
	if err != nil {
		return wire.AuditLine{}, err
	}
	c.count++
	id := fmt.Sprintf("%s/%d/%d", c.author, c.clock.Now().UnixNano(), c.count)
	proposal := wire.Proposal{Id: id, Kind: wire.KindEdit, Author: c.author, Cause: cause, Edit: &edit}
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply wire.ProposeReply
	if err := c.keeper.Do(limited, "Keeper.Propose", wire.ProposeArgs{Proposals: []wire.Proposal{proposal}}, &reply); err != nil {
		return wire.AuditLine{}, err
	}
	return c.await(ctx, id, before.Offset)
}

func (c *Client) await(ctx context.Context, id string, from int) (wire.AuditLine, error) {
	for ctx.Err() == nil {
		status, err := c.Status(ctx, wire.StatusArgs{AuditFrom: from})
		if err == nil {
			if line, found := find(status.Audit, id); found {
				return line, verdictOf(line)
			}
		}
		select {
		case <-c.clock.After(pollEvery):
		case <-ctx.Done():
		}
	}
	return wire.AuditLine{}, ErrUndecided
}

func find(lines []wire.AuditLine, id string) (wire.AuditLine, bool) {
	for _, line := range lines {
		if line.Id == id {
			return line, true
		}
	}
	return wire.AuditLine{}, false
}

func verdictOf(line wire.AuditLine) error {
	if line.Accepted {
		return nil
	}
	return &RefusedError{Reason: line.Reason}
}
