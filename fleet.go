package damsonwinch

import (
	"context"
	"errors"
)

// BoxState says what a box is doing, as the platform knows it.
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
	Name  string
	Pool  string
	State BoxState
	Zone  string
	// Rack is the label that names its rack, empty if none does.
	Rack     string
	Labels   []string
	Capacity Resources
	// EndpointID is the ID of the life that runs on it, empty if none does. The list doesn't say
	// when it was born.
	EndpointID string
}

// Issuer proves who gives an order on boxes.
type Issuer struct {
	Node  string
	Token int
}

// Refusals of orders on boxes.
var (
	// ErrBoxNotUp says that the box isn't up, or is leaving.
	ErrBoxNotUp = errors.New("the box is not up")
	// ErrNotInWave says that the box isn't of the named wave.
	ErrNotInWave = errors.New("the box is not of this wave")
)

// Fleet is the platform's control of boxes. ErrOldToken, ErrRefused and
// ErrInvalid are as for endpoints and the store.
type Fleet interface {
	// Boxes lists all boxes.
	Boxes(ctx context.Context) ([]Box, error)
	// Move takes a box to another pool. All that runs there dies at once.
	Move(ctx context.Context, holder Issuer, box, pool string) error
	// Maintain maintains a box for a wave. All that runs there dies at once.
	Maintain(ctx context.Context, holder Issuer, box string, wave int) error
}
