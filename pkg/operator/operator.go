// Package operator is the client by which operators edit the table through a keeper
// and read the keeper's status.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/call"
	"damsonwinch/pkg/fleetstate"
	"damsonwinch/pkg/settings"
	"damsonwinch/pkg/wire"
)

const (
	callTimeout  = 5 * time.Second
	pollInterval = 50 * time.Millisecond
)

// ErrUndecided means that a keeper has queued an edit, but the result was not known
// when the context ended. The edit may still be accepted.
var ErrUndecided = errors.New("the edit is not in the log yet and may still be accepted; look with 'dwctl table show' before you edit again")

// RefusedError is the error for an edit that was refused when it was applied.
type RefusedError struct {
	Reason string // Why the edit was refused.
}

// Error returns the reason after "refused: ".
func (e *RefusedError) Error() string {
	return "refused: " + e.Reason
}

// Client calls one keeper in the name of an operator.
type Client struct {
	keeper       *call.Client
	clock        damsonwinch.Clock
	initialState fleetstate.State
	author       string
	editCount    int
}

// New returns a client of the keeper at an address. The author is the operator's name.
// initialState is the state before the first record.
func New(address string, dial damsonwinch.Dial, clock damsonwinch.Clock, initialState fleetstate.State, author string) *Client {
	return &Client{keeper: call.New(address, dial, clock), clock: clock, initialState: initialState, author: author}
}

// Close closes the connection to the keeper.
func (c *Client) Close() {
	c.keeper.Close()
}

// Status returns the keeper's status with the parts that args asks for.
func (c *Client) Status(ctx context.Context, args wire.StatusArgs) (wire.StatusReply, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply wire.StatusReply
	err := c.keeper.Do(callCtx, "Keeper.Status", args, &reply)
	return reply, err
}

// noAudit is the StatusArgs.AuditFrom that requests no audit lines.
const noAudit = -1

// State returns the fleet's state as the keeper has it.
func (c *Client) State(ctx context.Context) (fleetstate.State, error) {
	reply, err := c.Status(ctx, wire.StatusArgs{AuditFrom: noAudit, WithState: true})
	if err != nil {
		return c.initialState, err
	}
	var snapshot fleetstate.Snapshot
	if err := json.Unmarshal([]byte(reply.State), &snapshot); err != nil {
		return c.initialState, fmt.Errorf("read state of %s: %w", c.keeper.Peer(), err)
	}
	return c.initialState.Restore(snapshot)
}

// Publish edits the table so that it becomes the wanted one, and waits for the result
// as Edit does. It sets only the cells that differ from the table in force, so that
// other operators' edits of other cells remain.
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

// Edit proposes an edit and waits for its result: the audit line, with a *RefusedError
// if the edit was refused. If ctx ends first, the error is ErrUndecided. The cause goes
// into the audit trail.
func (c *Client) Edit(ctx context.Context, edit wire.Edit, cause string) (wire.AuditLine, error) {
	before, err := c.Status(ctx, wire.StatusArgs{AuditFrom: noAudit})
	if err != nil {
		return wire.AuditLine{}, err
	}
	c.editCount++
	id := fmt.Sprintf("%s/%d/%d", c.author, c.clock.Now().UnixNano(), c.editCount)
	proposal := wire.Proposal{Id: id, Kind: wire.KindEdit, Author: c.author, Cause: cause, Edit: &edit}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply wire.ProposeReply
	if err := c.keeper.Do(callCtx, "Keeper.Propose", wire.ProposeArgs{Proposals: []wire.Proposal{proposal}}, &reply); err != nil {
		return wire.AuditLine{}, err
	}
	return c.await(ctx, id, before.Offset)
}

// await polls the keeper's audit trail from an offset on until it holds the line of the
// proposal with the given ID, and returns that line. If ctx ends first, the error is
// ErrUndecided.
func (c *Client) await(ctx context.Context, id string, from int) (wire.AuditLine, error) {
	for ctx.Err() == nil {
		status, err := c.Status(ctx, wire.StatusArgs{AuditFrom: from})
		if err == nil {
			if line, found := findLine(status.Audit, id); found {
				return line, errorOf(line)
			}
		}
		select {
		case <-c.clock.After(pollInterval):
		case <-ctx.Done():
		}
	}
	return wire.AuditLine{}, ErrUndecided
}

// findLine returns the audit line of a proposal and whether there is one.
func findLine(lines []wire.AuditLine, id string) (wire.AuditLine, bool) {
	for _, line := range lines {
		if line.Id == id {
			return line, true
		}
	}
	return wire.AuditLine{}, false
}

// errorOf returns the error for a refused edit, or nil for an accepted one.
func errorOf(line wire.AuditLine) error {
	if line.Accepted {
		return nil
	}
	return &RefusedError{Reason: line.Reason}
}
