package damsonwinch

import (
	"context"
	"errors"
)

// BoxState is the state of a box as the platform reports it.
type BoxState string

// The states of a box.
const (
	BoxUp          BoxState = "up"
	BoxMoving      BoxState = "moving"
	BoxMaintenance BoxState = "maintenance"
	BoxDown        BoxState = "down"
)

// Box is a machine that runs tasks, as the platform lists it.
type Box struct {
	// Name is empty if the list doesn't show it. Then only EndpointID and State count.
	Name  string
	Pool  string
	State BoxState
	Zone  string
	// Rack is the one of Labels that names the box's rack, or empty if none does.
	Rack     string
	Labels   []string
	Capacity Resources
	// EndpointID is the ID of the life that runs on the box, or empty if none does. The list
	// doesn't include the start time of the life.
	EndpointID string
	// Problem says what of the box's row in the list is invalid and has been left empty, or is empty.
	Problem string
}

// LiveEndpoints says which endpoints a list of boxes shows, or may show, on boxes that are up.
type LiveEndpoints struct {
	ids map[string]bool
	// unclearBoxes holds the boxes whose rows don't say which endpoint runs there, because they are invalid.
	unclearBoxes map[string]bool
}

// NewLiveEndpoints returns the endpoints of a list of boxes. A row whose state can't be read doesn't show that its
// endpoint has exited.
func NewLiveEndpoints(boxes []Box) LiveEndpoints {
	live := LiveEndpoints{ids: make(map[string]bool, len(boxes)), unclearBoxes: map[string]bool{}}
	for _, box := range boxes {
		switch {
		case box.State != BoxUp && box.State != "":
		case box.EndpointID != "":
			live.ids[box.EndpointID] = true
		case box.Problem != "":
			live.unclearBoxes[box.Name] = true
		}
	}
	return live
}

// MayInclude reports whether the endpoint with an ID may run, by the list. box is the name of the box on which it runs,
// or empty if that isn't known.
func (l LiveEndpoints) MayInclude(id, box string) bool {
	return l.ids[id] || box != "" && l.unclearBoxes[box]
}

// Issuer identifies the node that gives an order on a box, and its fencing token.
type Issuer struct {
	Node  string
	Token int
}

// Errors with which the platform refuses an order on a box.
var (
	// ErrBoxNotUp means that the box isn't up, or that it is about to leave.
	ErrBoxNotUp = errors.New("the box is not up")
	// ErrNotInWave means that the box isn't part of the given maintenance wave.
	ErrNotInWave = errors.New("the box is not part of this wave")
)

// Fleet is the platform's interface for listing and controlling boxes. Its methods also return
// ErrStaleToken, ErrRefused and ErrInvalid, with the same meaning as elsewhere in this package.
type Fleet interface {
	// Boxes returns all boxes of the fleet.
	Boxes(ctx context.Context) ([]Box, error)
	// Move moves a box to another pool. Everything that runs on the box is killed at once.
	Move(ctx context.Context, issuer Issuer, box, pool string) error
	// Maintain starts the maintenance of a box for a wave. Everything that runs on the box is
	// killed at once.
	Maintain(ctx context.Context, issuer Issuer, box string, wave int) error
}
