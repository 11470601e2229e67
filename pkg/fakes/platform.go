package fakes

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"
	"golang.org/x/sync/errgroup"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// readHeaderTimeout is how long an HTTP server waits for the headers of a request.
const readHeaderTimeout = 5 * time.Second

// Platform is the stand-in platform. It serves a log, the list of boxes and box control over the
// platform's published HTTP protocol. Tests write the list, so that it can lag behind the actual state
// of the boxes.
type Platform struct {
	Log   *Log
	clock damsonwinch.Clock
	mutex sync.Mutex
	// boxes is the list of boxes, by name.
	boxes  map[string]wire.ListedBox
	reboot func(ctx context.Context, box string) error
	server *http.Server
	group  errgroup.Group
}

// NewPlatform returns a platform with the given log and an empty list of boxes. To maintain a box it
// calls reboot, which returns once the box serves again.
func NewPlatform(clock damsonwinch.Clock, log *Log, reboot func(ctx context.Context, box string) error) *Platform {
	return &Platform{Log: log, clock: clock, boxes: map[string]wire.ListedBox{}, reboot: reboot}
}

// PutBox adds a box to the list, or replaces the listed box of the same name.
func (p *Platform) PutBox(box wire.ListedBox) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.boxes[box.Info.Name] = box
}

// SetLeaving sets whether the list shows a box as leaving. It has no effect on a box that is not listed.
func (p *Platform) SetLeaving(name string, leaving bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if box, listed := p.boxes[name]; listed {
		box.Leaving = leaving
		p.boxes[name] = box
	}
}

// RemoveBox removes a box from the list.
func (p *Platform) RemoveBox(name string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.boxes, name)
}

// Boxes returns the listed boxes of a zone, ordered by name. If the zone is empty it returns the boxes
// of all zones.
func (p *Platform) Boxes(_ context.Context, zone string) ([]wire.ListedBox, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	boxes := make([]wire.ListedBox, 0, len(p.boxes))
	for _, box := range p.boxes {
		if zone == "" || box.Info.Hall == zone {
			boxes = append(boxes, box)
		}
	}
	slices.SortFunc(boxes, func(a, b wire.ListedBox) int { return strings.Compare(a.Info.Name, b.Info.Name) })
	return boxes, nil
}

// Maintain reboots a box and returns once it serves again.
func (p *Platform) Maintain(ctx context.Context, box string) error {
	return p.reboot(ctx, box)
}

// Serve starts a server of the platform's protocol on a listener and returns. The server runs until
// Close.
func (p *Platform) Serve(listener net.Listener) {
	router := mux.NewRouter()
	router.HandleFunc("/v1/log/{stream}", p.handleAppend).Methods(http.MethodPost)
	router.HandleFunc("/v1/log/{stream}", p.handleRead).Methods(http.MethodGet)
	router.HandleFunc("/v1/list", p.handleList).Methods(http.MethodGet)
	router.HandleFunc("/v1/boxes/{box}/maintain", p.handleMaintain).Methods(http.MethodPost)
	p.server = &http.Server{Handler: router, ReadHeaderTimeout: readHeaderTimeout}
	p.group.Go(func() error { return p.server.Serve(listener) })
}

// Close stops the server and waits for its goroutines. Serve must have been called.
func (p *Platform) Close() {
	_ = p.server.Close()
	_ = p.group.Wait()
}

func (p *Platform) handleAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	offset, err := p.Log.Append(r.Context(), mux.Vars(r)["stream"], string(data))
	respond(w, wire.AppendReply{Offset: offset}, err)
}

// handleRead handles a read of the log. The query has the parameters from, max and wait_ms of Log.Read.
func (p *Platform) handleRead(w http.ResponseWriter, r *http.Request) {
	var numbers [3]int
	for i, name := range []string{"from", "max", "wait_ms"} {
		number, err := strconv.Atoi(r.URL.Query().Get(name))
		if err != nil {
			http.Error(w, fmt.Sprintf("%s: %v", name, err), http.StatusBadRequest)
			return
		}
		numbers[i] = number
	}
	page, err := p.Log.Read(r.Context(), mux.Vars(r)["stream"], numbers[0], numbers[1], numbers[2])
	respond(w, page, err)
}

// handleList responds with the list of a zone, or with status 304 if the caller has the same list
// already, as its ETag shows.
func (p *Platform) handleList(w http.ResponseWriter, r *http.Request) {
	boxes, err := p.Boxes(r.Context(), r.URL.Query().Get("hall"))
	text, marshalErr := json.Marshal(boxes)
	tag := `"` + strconv.FormatUint(xxhash.Sum64(text), 16) + `"`
	if err == nil && marshalErr == nil && r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("ETag", tag)
	respond(w, boxes, errors.Join(err, marshalErr))
}

func (p *Platform) handleMaintain(w http.ResponseWriter, r *http.Request) {
	respond(w, struct{}{}, p.Maintain(r.Context(), mux.Vars(r)["box"]))
}

// respond sends the value as JSON if err is nil, and otherwise status 503 with the text of err. If err is
// errAnswerLost it closes the connection without a response.
func respond(w http.ResponseWriter, value any, err error) {
	if errors.Is(err, errAnswerLost) {
		closeConnection(w)
		return
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// If the write fails, the caller has gone and needs no response.
	_ = json.NewEncoder(w).Encode(value)
}

// closeConnection closes a request's connection without sending a response.
func closeConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_ = conn.Close()
}
